//! Instants of a machine's monotonic clock, durations, and bounds for clock drift.

use std::fmt;
use std::str;
use std::time;

/// The largest drift of a machine's clock from true time, in parts per million.
pub const CLOCK_DRIFT_MAX_PPM: u64 = 200;

/// An instant of a machine's monotonic clock, in nanoseconds.
///
/// The clock also advances while the machine is suspended. Instants of different machines, or of
/// different boots of one machine, can't be compared.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct MonoInstant(pub u64);

impl MonoInstant {
    /// Returns the instant `span` after this one.
    pub fn after(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }

    /// Returns the instant `span` before this one.
    pub fn before(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is the later instant.
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for MonoInstant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.6}s", self.0 as f64 / 1e9)
    }
}

/// Returns the least time that has really passed when a drifting clock has measured `span`.
pub fn shorten_by_clock_drift(span: time::Duration) -> time::Duration {
    let drift = span.as_nanos() * u128::from(CLOCK_DRIFT_MAX_PPM) / 1_000_000 + 1;
    let drift_ns = u64::try_from(drift).unwrap_or(u64::MAX);
    span.saturating_sub(time::Duration::from_nanos(drift_ns))
}

/// Returns the time that a drifting clock must measure for at least `span` to have really passed.
///
/// The result is longer than `span` by twice the largest drift.
pub fn extend_by_clock_drift(span: time::Duration) -> time::Duration {
    let drift = span.as_nanos() * u128::from(2 * CLOCK_DRIFT_MAX_PPM) / 1_000_000 + 1;
    span.saturating_add(time::Duration::from_nanos(u64::try_from(drift).unwrap_or(u64::MAX)))
}

/// The result of parsing a duration.
pub type Result<T> = std::result::Result<T, Error>;

/// The error for a text that is not a duration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a duration; write a number and ms or s, such as 250ms")]
pub struct Error {
    /// The text that was read.
    pub text: String,
}

/// The largest number of decimal places in a duration in seconds.
const MILLI_DIGITS: usize = 3;

/// A duration in whole milliseconds, written as `250ms`; seconds such as `1.5s` are parsed too.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the milliseconds as a standard duration.
    pub const fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A duration in whole microseconds, written as `250us`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// Returns the microseconds as a standard duration.
    pub const fn duration(self) -> time::Duration {
        time::Duration::from_micros(self.0)
    }

    /// Returns `span` in whole microseconds, rounded down.
    pub fn from_duration(span: time::Duration) -> Self {
        Self(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl str::FromStr for Micros {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_suffix("us").and_then(|number| number.parse().ok());
        number.map(Self).ok_or_else(|| Error { text: text.to_owned() })
    }
}

impl str::FromStr for Millis {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error { text: text.to_owned() };
        if let Some(number) = text.strip_suffix("ms") {
            return number.parse().map(Self).map_err(|_| invalid());
        }
        let number = text.strip_suffix('s').ok_or_else(invalid)?;
        parse_milli(number).map(Self).ok_or_else(invalid)
    }
}

/// Parses a decimal number with at most three decimal places as thousandths.
fn parse_milli(number: &str) -> Option<u64> {
    let (whole, fraction) = number.split_once('.').unwrap_or((number, ""));
    let is_digits = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    if fraction.len() > MILLI_DIGITS || !is_digits(whole) || !is_digits(fraction) {
        return None;
    }
    let whole: u64 = whole.parse().ok()?;
    let milli: u64 = format!("{fraction:0<MILLI_DIGITS$}").parse().ok()?;
    whole.checked_mul(1_000)?.checked_add(milli)
}
