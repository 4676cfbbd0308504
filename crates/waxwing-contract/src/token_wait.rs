//! Whether a request without a token waits for one, and for how long.
//!
//! Tokens are what is scarce when an organisation asks for more than its rate. A request that waits long
//! for one mostly ends late, although another could have used its token in time; so requests wait for a
//! part of their latency objective only, and not at all once nothing is known to be left. Right after a
//! restart the balances are empty whatever the organisation has used, and the tokens that are due soon
//! are worth more time.

use std::time;

use waxwing_units::time as units_time;

/// The part of its latency objective, as a divisor, that a request waits for a loan.
const LOAN_WAIT_DIVISOR: u32 = 4;

/// The part of the lenders, as a divisor, that in a row have to lend nothing before the organisation
/// counts as spent over the fleet.
const FRUITLESS_DIVISOR: usize = 2;

/// How long a response without tokens counts as knowledge of the lender.
const FRUITLESS_VALIDITY: time::Duration = time::Duration::from_secs(1);

/// How long after its share began, or after the process did, an account recovers.
const RECOVERY: time::Duration = time::Duration::from_secs(3);

/// What one machine knows about the tokens that it could get for an organisation.
#[derive(Debug, Clone, Copy)]
pub struct TokenWait {
    /// The lenders in a row that had nothing to lend, and when the last of them said so.
    fruitless: usize,
    fruitless_at: units_time::MonoInstant,
    recovers_until: units_time::MonoInstant,
}

impl TokenWait {
    /// Creates the state of an account whose balance begins empty.
    pub fn recovering(now: units_time::MonoInstant) -> Self {
        Self {
            fruitless: 0,
            fruitless_at: units_time::MonoInstant::default(),
            recovers_until: now.after(RECOVERY),
        }
    }

    /// Records that the balance began empty once more.
    pub fn restart_recovery(&mut self, now: units_time::MonoInstant) {
        self.recovers_until = now.after(RECOVERY);
    }

    /// Returns whether the balance began empty a short time ago.
    pub fn is_recovering(&self, now: units_time::MonoInstant) -> bool {
        now < self.recovers_until
    }

    /// Records the response of a lender.
    pub const fn record_response(&mut self, now: units_time::MonoInstant, has_loan: bool) {
        if has_loan {
            self.fruitless = 0;
        } else {
            self.fruitless += 1;
            self.fruitless_at = now;
        }
    }

    /// Returns whether nothing is known to be left at any of `lenders` machines.
    pub fn is_spent(&self, now: units_time::MonoInstant, lenders: usize) -> bool {
        self.fruitless >= lenders.div_ceil(FRUITLESS_DIVISOR).max(1)
            && now.since(self.fruitless_at) < FRUITLESS_VALIDITY
    }

    /// Returns how long a request may wait for its token at most.
    pub fn wait_max(
        &self,
        now: units_time::MonoInstant,
        latency_objective: time::Duration,
    ) -> time::Duration {
        match self.is_recovering(now) {
            true => latency_objective,
            false => latency_objective / LOAN_WAIT_DIVISOR,
        }
    }
}
