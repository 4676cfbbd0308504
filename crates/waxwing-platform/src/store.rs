//! The small key-value service that keeps what must last.

use std::future;
use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::id;

/// Where records are kept.
pub const RECORDS_PREFIX: &str = "records/";

/// Where seat records are kept.
pub const SEATS_PREFIX: &str = "seats/";

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells why a call to the store brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call did not reach the store, so it changed nothing.
    #[error("the store can't be reached: {0}")]
    Unreachable(String),
    /// The call may have reached the store; whether it changed anything is not known.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// The store refused the call, which changed nothing.
    #[error("the store refused the call with status {status}: {text}")]
    Refused {
        /// The status of the answer.
        status: u16,
        /// The text of the answer.
        text: String,
    },
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Answer(String),
}

/// A stored value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it is stored.
    pub key: String,
    /// The value.
    pub value: serde_json::Value,
    /// The revision of its last write.
    pub revision: id::Revision,
}

/// All values under a prefix at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision of the whole store.
    pub revision: id::Revision,
    /// The values, sorted by key.
    pub entries: Vec<Entry>,
}

/// What became of a write that the store answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOutcome {
    /// The write took effect at this revision.
    At(id::Revision),
    /// The value has another revision than expected; nothing was changed.
    Conflict {
        /// The value's revision; zero where there is none.
        current: id::Revision,
    },
}

/// A write that takes effect only if the value has the expected revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Where to write.
    pub key: String,
    /// The value; none to withdraw it.
    pub value: Option<serde_json::Value>,
    /// The revision that the value must have; zero where there must be none.
    pub expected: id::Revision,
}

/// The small key-value service that keeps what must last.
pub trait Store {
    /// Reads all values under `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer.
    fn list(&self, prefix: &str) -> impl future::Future<Output = Result<Listing>>;

    /// Writes one value if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoAnswer`] where the write may or may not have taken effect, and other
    /// errors where it has not.
    fn write(&self, write: &Write) -> impl future::Future<Output = Result<WriteOutcome>>;

    /// Waits until the store's revision is above `after`, for `wait` at most, and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer.
    fn watch(
        &self,
        after: id::Revision,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<id::Revision>>;
}
