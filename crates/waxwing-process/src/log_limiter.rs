//! Bounds how much is logged, so that load never turns into logs.
//!
//! Each second a number of lines is written. What fails may use all of them, what is usual only a
//! part, so that failures are kept when there is more than can be written. What is left out is
//! counted.

use std::time;

use parking_lot::Mutex;
use waxwing_units::time as units_time;

/// How long a count goes on.
const SPAN: time::Duration = time::Duration::from_secs(1);

/// The part of the lines that what is usual may use: one in this many.
const USUAL_PART: u32 = 2;

/// What a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Something that goes as it should.
    Routine,
    /// Something that fails.
    Failure,
}

/// Lines within the present span.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    began_at: units_time::MonoInstant,
    written: u32,
    left_out: u64,
}

/// Bounds how many lines are written each second.
#[derive(Debug)]
pub struct LogLimiter {
    lines_max: u32,
    count: Mutex<Count>,
}

impl LogLimiter {
    /// Creates a bound of `lines_max` lines each second.
    pub fn new(lines_max: u32) -> Self {
        Self { lines_max, count: Mutex::default() }
    }

    /// Returns how many lines were left out before this one; none where it is left out itself.
    pub fn admit(&self, now: units_time::MonoInstant, kind: Kind) -> Option<u64> {
        let mut count = self.count.lock();
        if now.since(count.began_at) >= SPAN {
            *count = Count { began_at: now, written: 0, left_out: count.left_out };
        }
        let most = match kind {
            Kind::Routine => self.lines_max / USUAL_PART,
            Kind::Failure => self.lines_max,
        };
        if count.written >= most {
            count.left_out += 1;
            return None;
        }
        count.written += 1;
        Some(std::mem::take(&mut count.left_out))
    }
}
