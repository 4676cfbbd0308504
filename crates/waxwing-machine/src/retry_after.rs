//! The delay that a backend server asks for with `Retry-After`.
//!
//! A delay is a decimal number of seconds, with or without a fraction. Everything else, dates and
//! several different values included, asks for nothing. A delay above [`DELAY_MAX`] is cut to it.

use std::fmt;
use std::str;
use std::time;

/// The longest delay that a server can ask for.
pub const DELAY_MAX: time::Duration = time::Duration::from_secs(3_600);

/// The result of parsing a delay.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a server's values ask for no delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The value is not a decimal number of seconds.
    #[error("not a number of seconds")]
    NotSeconds,
    /// There are several values, which differ.
    #[error("several different values")]
    Conflicting,
}

/// A delay of at most [`DELAY_MAX`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(time::Duration);

impl RetryAfter {
    /// Returns the delay.
    pub const fn delay(self) -> time::Duration {
        self.0
    }

    /// Parses the values of all headers of one response; returns `None` if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the values differ or are not a number of seconds.
    pub fn from_values<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Option<Result<Self>> {
        let first = values.next()?;
        if values.any(|value| value != first) {
            return Some(Err(Error::Conflicting));
        }
        let text = str::from_utf8(first).map_err(|_| Error::NotSeconds);
        Some(text.and_then(str::parse))
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}

impl str::FromStr for RetryAfter {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let text = text.trim();
        // Unlike `f64`, a delay has no sign, exponent or name.
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        if !is_decimal {
            return Err(Error::NotSeconds);
        }
        let seconds: f64 = text.parse().map_err(|_| Error::NotSeconds)?;
        Ok(Self(time::Duration::from_secs_f64(seconds.min(DELAY_MAX.as_secs_f64()))))
    }
}
