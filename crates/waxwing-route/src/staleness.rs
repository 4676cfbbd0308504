//! How old the routing table may be before keys are no longer accepted, before a request that it does
//! not allow is no longer rejected for good, and before it is no longer used because a newer one is
//! known.
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

/// How long after its last sign a newer configuration counts as within reach.
const REACH_VALIDITY: time::Duration = time::Duration::from_secs(2);

/// The part of the time in which a configuration has to be in force, as a divisor, after which one that
/// is known and missing is overdue. The rest covers the time until it becomes known, and the requests in
/// progress.
const OVERDUE_DIVISOR: u32 = 2;

/// What a machine knows of a newer configuration than the one in force.
///
/// While the newer one is within reach and overdue, requests must not run by the old one. A machine that
/// was cut off since goes on with what it has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NewerConfiguration {
    known_since: Option<units_time::MonoInstant>,
    /// When it was last seen at another machine or in the store.
    seen_at: Option<units_time::MonoInstant>,
    is_arriving: bool,
}

impl NewerConfiguration {
    /// Records that another machine has it, or that the store has begun to send it.
    pub fn see(&mut self, now: units_time::MonoInstant) {
        self.known_since = self.known_since.or(Some(now));
        self.seen_at = Some(now);
    }

    /// Records that it is being received.
    pub fn begin_arrival(&mut self, now: units_time::MonoInstant) {
        self.see(now);
        self.is_arriving = true;
    }

    /// Records that receiving it has failed: it is out of reach until it is seen again.
    pub fn lose(&mut self) {
        *self = Self::default();
    }

    /// Returns whether requests must not run by the configuration in force, since a newer one had to
    /// replace it within `apply_max`.
    pub fn is_overdue(&self, now: units_time::MonoInstant, apply_max: time::Duration) -> bool {
        let is_in_reach =
            self.is_arriving || self.seen_at.is_some_and(|at| now.since(at) < REACH_VALIDITY);
        let known_max = units_time::shorten_by_clock_drift(apply_max) / OVERDUE_DIVISOR;
        is_in_reach && self.known_since.is_some_and(|since| now.since(since) >= known_max)
    }
}
