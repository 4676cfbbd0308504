//! What a caller is told.

use std::fmt;
use std::str;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Whether a request ran, as far as the system knows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub enum Outcome {
    /// A backend server answered; the caller gets its whole answer.
    Answered,
    /// No backend server ran any of the request.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

/// Tells that a text is no outcome.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("an outcome is answered, not-run or unknown")]
pub struct Error;

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

impl str::FromStr for Outcome {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "answered" => Ok(Self::Answered),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(Error),
        }
    }
}
