//! The outcome of a request, as reported to the caller.
//!
//! The texts `answered`, `not-run` and `unknown` appear in response headers, log lines and metrics.

use std::fmt;
use std::str;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Whether a backend server ran a request, as far as the proxy knows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub enum Outcome {
    /// A backend server responded, and the caller gets the complete response.
    Answered,
    /// No backend server ran any part of the request, so the caller may safely resend it.
    NotRun,
    /// A backend server may have run the request; its response is missing or incomplete.
    Unknown,
}

/// The error for a text that names no outcome.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not an outcome; expected answered, not-run or unknown")]
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
