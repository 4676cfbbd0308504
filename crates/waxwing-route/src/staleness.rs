//! How old the table may be before keys are not taken any more.
//!
//! A table is known to be the newest as of the instant at which the question that the store
//! answered was *asked*: a key may have been withdrawn right after that. Instants are on the clock
//! that counts suspension, so a machine that stood still finds its table old.

use std::time;

use waxwing_units::time as units_time;

/// How old the table may be for a key to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessLimit {
    /// How long a withdrawn key may go on to work; none where there is no such bound.
    pub withdrawal_max: Option<time::Duration>,
    /// How much sooner keys are refused, for the time that a request is under way.
    pub margin: time::Duration,
}

impl StalenessLimit {
    /// Tells whether a key may be taken at `now` by a table known to be the newest at
    /// `confirmed_at`.
    pub fn allows_keys(
        &self,
        now: units_time::MonoInstant,
        confirmed_at: Option<units_time::MonoInstant>,
    ) -> bool {
        let Some(withdrawal_max) = self.withdrawal_max else {
            return true;
        };
        let most = units_time::shorten_by_clock_drift(withdrawal_max).saturating_sub(self.margin);
        confirmed_at.is_some_and(|confirmed_at| now.since(confirmed_at) < most)
    }
}
