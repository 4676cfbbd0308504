//! Ratios in thousandths.

use std::fmt;
use std::str;

/// The result of parsing a ratio.
pub type Result<T> = std::result::Result<T, Error>;

/// The error for a text that is not a ratio.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a ratio; write a number with at most three decimal places, such as 0.2")]
pub struct Error {
    /// The text that was read.
    pub text: String,
}

/// A ratio in thousandths, written as a decimal number such as `0.2`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permille(pub u64);

impl fmt::Display for Permille {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

impl str::FromStr for Permille {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error { text: text.to_owned() };
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        if fraction.is_empty() || fraction.len() > 3 {
            return Err(invalid());
        }
        let whole: u64 = whole.parse().map_err(|_| invalid())?;
        let milli: u64 = format!("{fraction:0<3}").parse().map_err(|_| invalid())?;
        whole
            .checked_mul(1_000)
            .and_then(|whole| whole.checked_add(milli))
            .map(Self)
            .ok_or_else(invalid)
    }
}
