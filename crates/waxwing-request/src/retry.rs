//! How often requests may be attempted again.

/// Attempts at one request, at most.
pub const ATTEMPTS_MAX: u32 = 3;

/// Thousandths of a retry that each first attempt earns.
const EARNED_MILLI: u64 = 100;

/// Thousandths in one retry.
const RETRY_MILLI: u64 = 1_000;

/// Retries that can be saved up.
const SAVED_MAX: u64 = 20;

/// A budget that keeps retries to a share of the first attempts.
#[derive(Debug, Clone)]
pub struct Budget {
    saved_milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved_milli: SAVED_MAX * RETRY_MILLI }
    }
}

impl Budget {
    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.saved_milli = (self.saved_milli + EARNED_MILLI).min(SAVED_MAX * RETRY_MILLI);
    }

    /// Spends one retry after `attempts` attempts; returns whether it may be made.
    pub const fn try_withdraw(&mut self, attempts: u32) -> bool {
        if attempts >= ATTEMPTS_MAX || self.saved_milli < RETRY_MILLI {
            return false;
        }
        self.saved_milli -= RETRY_MILLI;
        true
    }
}
