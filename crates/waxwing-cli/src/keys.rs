//! Makes keys.

use rand::RngCore;
use waxwing_record::record;
use waxwing_units::digest;
use waxwing_units::id;

/// Random bytes of a key.
const KEY_LEN_BYTES: usize = 32;

/// A key as it is handed to an organisation, and the record that is stored.
pub struct Issued {
    /// The key.
    pub key: String,
    /// The record, which has the key's digest only.
    pub value: serde_json::Value,
    /// The record's id.
    pub id: record::RecordId,
}

/// Makes a key.
pub fn issue(name: &id::RecordName, organisation: &id::OrganisationId) -> Issued {
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
    Issued { key, value, id: record::RecordId { kind: record::Kind::Key, name: name.clone() } }
}
