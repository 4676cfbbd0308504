//! A retry budget that each machine applies by itself, so that an outage adds little load.
//!
//! Each first attempt adds a tenth of a retry, and each retry takes one. The entry process uses
//! this budget, `waxwing-vm` the one of [`crate::budget`].

/// The largest number of attempts at one request, the first included.
pub const ATTEMPTS_MAX: u32 = 3;

/// What each first attempt adds to the balance, in thousandths of a retry.
const EARNED_MILLI: u64 = 100;

/// One retry, in thousandths.
const RETRY_MILLI: u64 = 1_000;

/// The largest balance, in retries; a new budget starts with it.
const BALANCE_MAX_RETRIES: u64 = 20;

/// A token bucket that limits retries to a share of the first attempts.
#[derive(Debug, Clone)]
pub struct Budget {
    balance_milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance_milli: BALANCE_MAX_RETRIES * RETRY_MILLI }
    }
}

impl Budget {
    /// Adds what one first attempt earns.
    pub fn deposit(&mut self) {
        self.balance_milli =
            (self.balance_milli + EARNED_MILLI).min(BALANCE_MAX_RETRIES * RETRY_MILLI);
    }

    /// Takes one retry from the balance after `attempts` attempts; returns whether the request may
    /// be retried.
    pub const fn try_withdraw(&mut self, attempts: u32) -> bool {
        if attempts >= ATTEMPTS_MAX || self.balance_milli < RETRY_MILLI {
            return false;
        }
        self.balance_milli -= RETRY_MILLI;
        true
    }
}
