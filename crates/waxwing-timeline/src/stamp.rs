//! Hybrid logical clocks, which order events across machines whose wall clocks differ.

use std::fmt;
use std::str;

use parking_lot::Mutex;
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The result of parsing a stamp.
pub type Result<T> = std::result::Result<T, Error>;

/// A text is not a valid stamp.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{text:?} is not a valid stamp; expected milliseconds and a counter, such as 1700000000000.3"
)]
pub struct Error {
    /// The text that failed to parse.
    pub text: String,
}

/// How far a received stamp may be ahead of the local wall clock, in milliseconds.
const CLOCK_SKEW_MAX_MS: u64 = 60_000;

/// A timestamp of a hybrid logical clock.
///
/// It is close to wall time, and later than every stamp that its clock had issued or observed
/// before. Written as `wall_ms.counter`.
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
    /// Orders stamps with the same `wall_ms`.
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
        let invalid = || Error { text: text.to_owned() };
        let (wall, counter) = text.split_once('.').ok_or_else(invalid)?;
        let wall_ms = wall.parse().map_err(|_| invalid())?;
        let counter = counter.parse().map_err(|_| invalid())?;
        Ok(Self { wall_ms, counter })
    }
}

/// The hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    last: Mutex<Stamp>,
}

impl Clock {
    /// Returns a stamp later than all that the clock has issued or observed.
    pub fn next(&self, wall_ms: u64) -> Stamp {
        let mut last = self.last.lock();
        *last = match wall_ms > last.wall_ms {
            true => Stamp { wall_ms, counter: 0 },
            false => Stamp { wall_ms: last.wall_ms, counter: last.counter + 1 },
        };
        *last
    }

    /// Advances the clock to at least a stamp received from another process.
    ///
    /// Ignores a stamp too far in the future: the sender's clock is wrong.
    pub fn observe(&self, wall_ms: u64, received: Stamp) {
        if received.wall_ms > wall_ms.saturating_add(CLOCK_SKEW_MAX_MS) {
            return;
        }
        let mut last = self.last.lock();
        *last = (*last).max(received);
    }
}
