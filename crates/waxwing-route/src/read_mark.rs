//! What a read of the configuration found in the store, by the revisions of its keys.
//!
//! A read that names the revisions found before returns nothing if none has changed. A machine that has
//! its configuration from another one names the revisions that the other one found, so it does not
//! fetch the same configuration again.

use serde::{Deserialize, Serialize};
use waxwing_units::id;

use crate::table;

/// A key of the store that a read covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRevision {
    /// The key.
    pub key: String,
    /// The revision of its last write; zero if it does not exist.
    pub revision: u64,
}

/// The keys that a read covers, with the revisions that it found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadMark {
    /// The era that the revisions are from.
    pub era: id::StoreEra,
    /// The keys.
    pub keys: Vec<KeyRevision>,
    /// The version of the configuration found; `None` if it could not be decoded, or there was none.
    pub version: Option<table::Version>,
}

impl ReadMark {
    /// Returns what identifies this mark, on any machine.
    pub fn fingerprint(&self) -> table::Fingerprint {
        table::Fingerprint::of(self)
    }

    /// Returns the newest revision of its keys.
    pub fn newest_revision(&self) -> u64 {
        self.keys.iter().map(|key| key.revision).max().unwrap_or(0)
    }

    /// Returns whether what `other` found is from a later time.
    pub fn is_before(&self, other: &Self) -> bool {
        (self.era, self.newest_revision()) < (other.era, other.newest_revision())
    }

    /// Takes over the revisions that `other` found for the same keys.
    pub fn adopt(&mut self, other: &Self) {
        for key in &mut self.keys {
            let found = other.keys.iter().find(|found| found.key == key.key);
            key.revision = found.map_or(0, |found| found.revision);
        }
        self.era = other.era;
        self.version = other.version;
    }
}
