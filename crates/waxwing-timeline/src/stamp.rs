//! Hybrid logical clocks, which order events across machines.

use std::fmt;
use std::str;

use parking_lot::Mutex;
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The result of reading a stamp.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells that a text is not a stamp.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a stamp; write milliseconds and a counter, such as 1700000000000.3")]
pub struct Error {
    /// The text that was read.
    pub text: String,
}

/// How far ahead of this machine's wall clock a stamp from elsewhere may be, in milliseconds.
const AHEAD_MAX_MS: u64 = 60_000;

/// An instant of a hybrid logical clock.
///
/// It is close to wall time, and larger than every stamp that was known when it was made.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Stamp {
    /// Wall time, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Tells stamps of one millisecond apart.
    pub counter: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

impl str::FromStr for Stamp {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || Error { text: text.to_owned() };
        let (wall, counter) = text.split_once('.').ok_or_else(bad)?;
        let wall_ms = wall.parse().map_err(|_| bad())?;
        let counter = counter.parse().map_err(|_| bad())?;
        Ok(Self { wall_ms, counter })
    }
}

/// The hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    last: Mutex<Stamp>,
}

impl Clock {
    /// Returns a stamp that is larger than all that the clock has returned or seen.
    pub fn next(&self, wall_ms: u64) -> Stamp {
        let mut last = self.last.lock();
        *last = match wall_ms > last.wall_ms {
            true => Stamp { wall_ms, counter: 0 },
            false => Stamp { wall_ms: last.wall_ms, counter: last.counter + 1 },
        };
        *last
    }

    /// Takes note of a stamp from elsewhere.
    ///
    /// A stamp too far in the future is a fault of its sender's clock and left out.
    pub fn observe(&self, wall_ms: u64, seen: Stamp) {
        if seen.wall_ms > wall_ms.saturating_add(AHEAD_MAX_MS) {
            return;
        }
        let mut last = self.last.lock();
        *last = (*last).max(seen);
    }
}
