//! The platform's key-value store, which persists operators' records and seat tables.
//!
//! Records are services, organisations, keys and the like; seat tables list which machine holds
//! which part of the organisations' rate limits.
//!
//! The whole store has one revision, which rises with every successful write. A write is a
//! compare-and-swap on the revision of a single value.

use std::future;
use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::id;

/// The key prefix of operators' records.
pub const RECORDS_PREFIX: &str = "records/";

/// The key prefix of seat tables, one for each failure domain.
pub const SEATS_PREFIX: &str = "seats/";

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call did not reach the store, so it had no effect.
    #[error("the store is unreachable: {0}")]
    Unreachable(String),
    /// No response was received; whether the call had an effect is unknown.
    #[error("no response from the store: {0}")]
    NoAnswer(String),
    /// The store rejected the call, which had no effect.
    #[error("the store rejected the call with status {status}: {text}")]
    Refused {
        /// The HTTP status of the response.
        status: u16,
        /// The body of the response.
        text: String,
    },
    /// The response can't be decoded.
    #[error("invalid response from the store: {0}")]
    Answer(String),
}

/// A stored value with its key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The key, with its prefix.
    pub key: String,
    /// The value, as JSON.
    pub value: serde_json::Value,
    /// The store revision of the last write of this value.
    pub revision: id::Revision,
}

/// All values under a key prefix, read at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision of the whole store at the time of the read.
    pub revision: id::Revision,
    /// The values, sorted by key.
    pub entries: Vec<Entry>,
}

/// The outcome of a write to which the store responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOutcome {
    /// The write took effect at this revision.
    At(id::Revision),
    /// The value does not have the expected revision; the write had no effect.
    Conflict {
        /// The current revision of the value; zero if there is none.
        current: id::Revision,
    },
}

/// A compare-and-swap write of one value, by its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key to write.
    pub key: String,
    /// The new value; `None` to remove it.
    pub value: Option<serde_json::Value>,
    /// The revision that the value must have; zero if the value must not exist.
    pub expected: id::Revision,
}

/// The operations of the platform's key-value store.
pub trait Store {
    /// Reads all values whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn list(&self, prefix: &str) -> impl future::Future<Output = Result<Listing>>;

    /// Writes or removes one value if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoAnswer`] if the write may have taken effect, and other errors if it has
    /// not.
    fn write(&self, write: &Write) -> impl future::Future<Output = Result<WriteOutcome>>;

    /// Waits until the store's revision is above `after`, for `wait` at most, and returns the
    /// current revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn watch(
        &self,
        after: id::Revision,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<id::Revision>>;
}
