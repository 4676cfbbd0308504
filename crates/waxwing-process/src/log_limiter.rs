//! Limits the rate of log lines, so that the log volume does not grow with the request rate.
//!
//! A fixed number of lines is written per one-second window. Lines about failures may use all of
//! it, routine lines only a part, so that failures are still logged under load. Suppressed lines
//! are counted.

use std::time;

use parking_lot::Mutex;
use waxwing_units::time as units_time;

/// How long lines are counted before the count starts again.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Routine lines may use the limit divided by this.
const ROUTINE_DIVISOR: u32 = 2;

/// Whether a line reports a failure, which decides its share of the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Normal operation.
    Routine,
    /// A failure.
    Failure,
}

/// The lines of the current window.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    started_at: units_time::MonoInstant,
    written: u32,
    suppressed: u64,
}

/// Limits how many lines are written per second.
#[derive(Debug)]
pub struct LogLimiter {
    lines_max: u32,
    window: Mutex<Window>,
}

impl LogLimiter {
    /// Creates a limiter of `lines_max` lines per second.
    pub fn new(lines_max: u32) -> Self {
        Self { lines_max, window: Mutex::default() }
    }

    /// Decides whether to write a line: returns the number of lines suppressed since the last
    /// written one, or `None` if this line is suppressed too.
    pub fn admit(&self, now: units_time::MonoInstant, kind: Kind) -> Option<u64> {
        let mut window = self.window.lock();
        if now.since(window.started_at) >= WINDOW {
            *window = Window { started_at: now, written: 0, suppressed: window.suppressed };
        }
        let limit = match kind {
            Kind::Routine => self.lines_max / ROUTINE_DIVISOR,
            Kind::Failure => self.lines_max,
        };
        if window.written >= limit {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
