//! Sizes in bytes.

use std::fmt;
use std::str;

/// The size of a kibibyte, in bytes.
const KIB_BYTES: u64 = 1024;

/// Unit suffixes with their sizes in bytes, largest first.
const UNITS: [(&str, u64); 4] = [
    ("GiB", KIB_BYTES * KIB_BYTES * KIB_BYTES),
    ("MiB", KIB_BYTES * KIB_BYTES),
    ("KiB", KIB_BYTES),
    ("B", 1),
];

/// The result of parsing a size.
pub type Result<T> = std::result::Result<T, Error>;

/// The error for a text that is not a size.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a size; write a number and B, KiB, MiB or GiB, such as 64KiB")]
pub struct Error {
    /// The text that was read.
    pub text: String,
}

/// A size in bytes, written with the largest unit that divides it, such as `64KiB`.
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
pub struct Bytes(pub u64);

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |(_, unit): &&(&str, u64)| self.0 >= *unit && self.0.is_multiple_of(*unit);
        match UNITS.iter().find(fits) {
            Some((suffix, unit)) => write!(f, "{}{suffix}", self.0 / unit),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl str::FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error { text: text.to_owned() };
        let split =
            UNITS.iter().find_map(|(suffix, unit)| Some((text.strip_suffix(suffix)?, unit)));
        let (number, unit) = split.ok_or_else(invalid)?;
        let count: u64 = number.trim().parse().map_err(|_| invalid())?;
        count.checked_mul(*unit).map(Self).ok_or_else(invalid)
    }
}
