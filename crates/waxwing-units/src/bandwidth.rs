//! Bandwidths of network links.

use std::fmt;
use std::str;
use std::time;

use crate::size;

/// Bits in a byte.
const BITS_PER_BYTE: u64 = 8;

/// Unit suffixes with their bandwidths in kilobits per second, largest first.
const UNITS: [(&str, u64); 3] = [("Gbit/s", 1_000_000), ("Mbit/s", 1_000), ("kbit/s", 1)];

/// The result of parsing a bandwidth.
pub type Result<T> = std::result::Result<T, Error>;

/// The error for a text that is not a bandwidth.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a bandwidth; write a number and kbit/s, Mbit/s or Gbit/s")]
pub struct Error {
    /// The text that was read.
    pub text: String,
}

/// A bandwidth in kilobits per second, written with the largest unit that divides it, such as
/// `200Mbit/s`.
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
pub struct Bandwidth(pub u64);

impl Bandwidth {
    /// Returns how long `len` takes at this bandwidth; a bandwidth of zero counts as 1 kbit/s.
    pub const fn transfer_time(self, len: size::Bytes) -> time::Duration {
        let kilobits_per_s = if self.0 == 0 { 1 } else { self.0 };
        // One kilobit per second is one bit per millisecond.
        time::Duration::from_millis(len.0.saturating_mul(BITS_PER_BYTE) / kilobits_per_s)
    }
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |(_, unit): &&(&str, u64)| self.0 > 0 && self.0.is_multiple_of(*unit);
        match UNITS.iter().find(divides) {
            Some((suffix, unit)) => write!(f, "{}{suffix}", self.0 / unit),
            None => write!(f, "{}kbit/s", self.0),
        }
    }
}

impl str::FromStr for Bandwidth {
    type Err = Error;

    /// Parses a number with or without decimal places and a unit; a fraction of a kilobit is
    /// dropped.
    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error { text: text.to_owned() };
        let split =
            UNITS.iter().find_map(|(suffix, unit)| Some((text.strip_suffix(suffix)?, unit)));
        let (number, unit) = split.ok_or_else(invalid)?;
        let number: f64 = number.trim().parse().map_err(|_| invalid())?;
        let kilobits = number * *unit as f64;
        match kilobits.is_finite() && kilobits >= 0.0 {
            true => Ok(Self(kilobits as u64)),
            false => Err(invalid()),
        }
    }
}
