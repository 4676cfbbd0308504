//! How many requests come, as a slow average.

use std::time;

use parking_lot::Mutex;
use waxwing_units::time as units_time;

/// How long a window of requests is.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// The part of the average that each window makes, one in so many; homes of objects follow the
/// average, so it moves slowly.
const WINDOW_PART: u64 = 5;

/// Fractions of a request in the average, so that small steps are not rounded away.
const FRACTIONS: u64 = 1_000;

/// Counts requests.
#[derive(Debug, Default)]
pub struct Arrivals {
    counted: Mutex<Counted>,
}

#[derive(Debug, Default)]
struct Counted {
    window_began_at: units_time::MonoInstant,
    in_window: u64,
    /// The average of windows that have ended, in fractions; none before the first.
    average: Option<u64>,
}

impl Arrivals {
    /// Counts a request.
    pub fn count(&self, now: units_time::MonoInstant) {
        let mut counted = self.counted.lock();
        counted.roll(now);
        counted.in_window += 1;
    }

    /// Returns the requests that came each second lately.
    pub fn per_s(&self, now: units_time::MonoInstant) -> u32 {
        let mut counted = self.counted.lock();
        counted.roll(now);
        let per_s = counted.average.unwrap_or(0) / FRACTIONS;
        u32::try_from(per_s).unwrap_or(u32::MAX)
    }
}

impl Counted {
    /// Ends the window if its time is over.
    fn roll(&mut self, now: units_time::MonoInstant) {
        let passed = now.since(self.window_began_at);
        if passed < WINDOW {
            return;
        }
        let windows = u64::try_from(passed.as_millis() / WINDOW.as_millis()).unwrap_or(1);
        let seen = self.in_window * FRACTIONS / windows;
        self.average = match self.average {
            None if seen == 0 => None,
            None => Some(seen),
            Some(average) => Some((average * (WINDOW_PART - 1) + seen) / WINDOW_PART),
        };
        self.in_window = 0;
        self.window_began_at = now;
    }
}
