//! Estimates how many tokens to prefetch from recent demand.

use std::time;

use waxwing_units::rate;
use waxwing_units::time as units_time;

/// Counts the requests of the current and the previous window.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    pub(crate) window_started_at: units_time::MonoInstant,
    pub(crate) current: u64,
    pub(crate) previous: u64,
}

impl Demand {
    pub(crate) fn record(&mut self, now: units_time::MonoInstant, window: time::Duration) {
        let age = now.since(self.window_started_at);
        if age >= window {
            self.previous = if age < window * 2 { self.current } else { 0 };
            self.current = 0;
            self.window_started_at = now;
        }
        self.current += 1;
    }

    /// Returns the larger count of the two windows, without the request that is being charged.
    pub(crate) fn prefetch_target(&self) -> rate::Tokens {
        rate::Tokens(self.previous.max(self.current.saturating_sub(1)))
    }
}
