//! How old the routing table may be before keys are no longer accepted, and before a request that
//! it does not allow is no longer rejected for good.
//!
//! A table is confirmed as the newest at the instant at which the request to the store was *sent*,
//! not when its response arrived: a key may have been withdrawn in between. Instants are on a clock
//! that also counts suspended time, so a machine that was suspended treats its table as stale.

use std::time;

use waxwing_units::time as units_time;

/// The limit on the age of the table for keys to be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessLimit {
    /// How long a withdrawn key may still be accepted; `None` accepts keys at any age.
    pub withdrawal_max: Option<time::Duration>,
    /// How much earlier keys are rejected, to cover the time that an accepted request is in
    /// progress.
    pub margin: time::Duration,
}

impl StalenessLimit {
    /// Returns whether keys may be accepted at `now` with a table that was last confirmed as the
    /// newest at `confirmed_at`.
    ///
    /// With a limit, a table that was never confirmed accepts no keys.
    pub fn allows_keys(
        &self,
        now: units_time::MonoInstant,
        confirmed_at: Option<units_time::MonoInstant>,
    ) -> bool {
        let Some(withdrawal_max) = self.withdrawal_max else {
            return true;
        };
        let age_max =
            units_time::shorten_by_clock_drift(withdrawal_max).saturating_sub(self.margin);
        confirmed_at.is_some_and(|confirmed_at| now.since(confirmed_at) < age_max)
    }
}

/// Returns whether a request that arrives at `now` may be rejected for good because of what the
/// table, last confirmed as the newest at `confirmed_at`, does not list.
///
/// A newer table, which has to be in force within `apply_max`, may have added the route or the key.
/// A table that was never confirmed rejects nothing for good.
pub fn allows_denials(
    now: units_time::MonoInstant,
    confirmed_at: Option<units_time::MonoInstant>,
    apply_max: time::Duration,
) -> bool {
    let age_max = units_time::shorten_by_clock_drift(apply_max);
    confirmed_at.is_some_and(|confirmed_at| now.since(confirmed_at) < age_max)
}
