//! Restorations of the platform's store from a copy, as one machine observes them.
//!
//! A restoration undoes acknowledged writes. Operators and backend servers write theirs again soon
//! after it; until then, what the store lacks proves nothing.

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::server_set;

/// The era of the store, and when this machine observed that it began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreHistory {
    /// The newest era; `None` before the first response.
    era: Option<id::StoreEra>,
    restored_at: Option<units_time::MonoInstant>,
}

impl StoreHistory {
    /// Records the era of a response that arrived at `now`; returns whether the store was restored
    /// since the last one, or may have been restored right before the first.
    ///
    /// A machine that has just started can't tell how long a later era than the first has lasted.
    pub fn enter_era(&mut self, now: units_time::MonoInstant, era: id::StoreEra) -> bool {
        let era = era.max(id::StoreEra::FIRST);
        let is_restored = self.era.unwrap_or(id::StoreEra::FIRST) < era;
        if is_restored {
            self.restored_at = Some(now);
        }
        self.era = self.era.max(Some(era));
        is_restored
    }

    /// Returns the newest era; `None` before the first response.
    pub const fn era(&self) -> Option<id::StoreEra> {
        self.era
    }

    /// Returns when the last restoration was observed, if writes that it undid may still be missing
    /// at `now`.
    pub fn unsettled_since(&self, now: units_time::MonoInstant) -> Option<units_time::MonoInstant> {
        self.restored_at.filter(|at| now.since(*at) <= server_set::REREGISTRATION_MAX)
    }
}
