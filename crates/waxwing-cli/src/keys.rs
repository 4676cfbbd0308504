//! Generates the API keys with which callers authenticate.

use rand::RngCore;
use waxwing_record::record;
use waxwing_units::digest;
use waxwing_units::id;

/// The number of random bytes in a key.
const KEY_LEN_BYTES: usize = 32;

/// A new key, and the record that is stored for it.
pub struct IssuedKey {
    /// The key in clear text, to be handed to the organisation; it is never stored.
    pub key: String,
    /// The record to store, which holds only the key's digest.
    pub value: serde_json::Value,
    /// The kind and name of the record.
    pub id: record::RecordId,
}

/// Generates a key from random bytes, with the record that assigns it to `organisation`.
pub fn issue(name: &id::RecordName, organisation: &id::OrganisationId) -> IssuedKey {
    let mut bytes = [0; KEY_LEN_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let key = format!("wx-{digits}");
    let value = serde_json::json!({
        "kind": record::Kind::Key,
        "schema_version": 1,
        "name": name,
        "digest": digest::KeyDigest::of(key.as_bytes()),
        "organisation": organisation,
    });
    IssuedKey { key, value, id: record::RecordId { kind: record::Kind::Key, name: name.clone() } }
}
