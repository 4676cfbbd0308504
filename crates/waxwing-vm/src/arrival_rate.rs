//! The number of requests that arrive per second, as an exponential moving average.

use std::time;

use parking_lot::Mutex;
use waxwing_units::time as units_time;

/// The time over which requests are counted before the count enters the average.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// The weight of each window in the average, as a divisor. The homes of objects, that is, the
/// backend servers that get the requests for an object, depend on the average, so it changes
/// slowly.
const AVERAGE_WINDOWS: u64 = 5;

/// Fixed-point units per request in the average, so that small changes are not lost to rounding.
const FRACTIONS_PER_REQUEST: u64 = 1_000;

/// The average rate of requests on this VM, updated as time passes.
#[derive(Debug, Default)]
pub struct ArrivalRate {
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    started_at: units_time::MonoInstant,
    requests: u64,
    /// The average of the windows that have ended, in fixed-point units; `None` until a window has
    /// had requests.
    average_fractions: Option<u64>,
}

impl ArrivalRate {
    /// Counts a request that arrives at `now`.
    pub fn record(&self, now: units_time::MonoInstant) {
        let mut window = self.window.lock();
        window.close_elapsed_windows(now);
        window.requests += 1;
    }

    /// Returns the average requests per second, rounded down.
    pub fn per_s(&self, now: units_time::MonoInstant) -> u32 {
        let mut window = self.window.lock();
        window.close_elapsed_windows(now);
        let per_s = window.average_fractions.unwrap_or(0) / FRACTIONS_PER_REQUEST;
        u32::try_from(per_s).unwrap_or(u32::MAX)
    }
}

impl Window {
    /// Ends the current window if its time has passed, and adds it to the average.
    fn close_elapsed_windows(&mut self, now: units_time::MonoInstant) {
        let elapsed = now.since(self.started_at);
        if elapsed < WINDOW {
            return;
        }
        let windows = u64::try_from(elapsed.as_millis() / WINDOW.as_millis()).unwrap_or(1);
        let window_fractions = self.requests * FRACTIONS_PER_REQUEST / windows;
        self.average_fractions = match self.average_fractions {
            None if window_fractions == 0 => None,
            None => Some(window_fractions),
            Some(average_fractions) => Some(
                (average_fractions * (AVERAGE_WINDOWS - 1) + window_fractions) / AVERAGE_WINDOWS,
            ),
        };
        self.requests = 0;
        self.started_at = now;
    }
}
