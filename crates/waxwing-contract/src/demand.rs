//! How many tokens to ask for ahead.

use std::time;

use waxwing_units::rate;
use waxwing_units::time as units_time;

/// Counts requests to tell how many tokens to ask for ahead.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    pub(crate) window_began_at: units_time::MonoInstant,
    pub(crate) current: u64,
    pub(crate) previous: u64,
}

impl Demand {
    pub(crate) fn count(&mut self, now: units_time::MonoInstant, window: time::Duration) {
        let age = now.since(self.window_began_at);
        if age >= window {
            self.previous = if age < window * 2 { self.current } else { 0 };
            self.current = 0;
            self.window_began_at = now;
        }
        self.current += 1;
    }

    pub(crate) fn ahead(&self) -> rate::Tokens {
        rate::Tokens(self.previous.max(self.current.saturating_sub(1)))
    }
}
