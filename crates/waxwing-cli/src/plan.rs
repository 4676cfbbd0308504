//! Validates requested changes of records against the stored ones and computes the differences.
//!
//! All errors are reported at once, and a plan with an error is not written at all.

use std::fmt;

use waxwing_platform::store;
use waxwing_record::document;
use waxwing_record::record;
use waxwing_record::schema;
use waxwing_record::snapshot;
use waxwing_record::validation;
use waxwing_units::id;

/// The result of making a plan.
pub type Result<T> = std::result::Result<T, Errors>;

/// All errors of the requested changes, as texts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Errors(pub Vec<String>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "nothing was written; errors: {}", self.0.len())?;
        self.0.iter().try_for_each(|error| writeln!(f, "  {error}"))
    }
}

impl std::error::Error for Errors {}

/// A planned change of one record.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The kind and name of the record.
    pub id: record::RecordId,
    /// The value to write; `None` to withdraw the record.
    pub value: Option<serde_json::Value>,
    /// The revision of the stored record, checked again by the write; zero if there is none.
    pub expected: id::Revision,
    /// How the requested record differs from the stored one.
    pub difference: document::Difference,
}

/// All stored records, as read from the store at one revision.
#[derive(Debug, Clone, Default)]
pub struct StoredRecords {
    /// The revision of the whole store.
    pub revision: id::Revision,
    entries: Vec<StoredRecord>,
}

/// A record as it is stored, whether or not this release can parse its value.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRecord {
    /// The kind and name of the record.
    pub id: record::RecordId,
    /// The revision of the last write to the record.
    pub revision: id::Revision,
    /// The id of the operation that wrote it last; `None` if the stored value has none.
    pub operation: Option<u64>,
    /// The fields as they were written, with kind and schema version.
    pub value: serde_json::Value,
}

impl StoredRecords {
    /// Parses a listing of the store and sorts it by record; skips keys that don't name a record.
    pub fn from_listing(listing: &store::Listing) -> Self {
        let mut entries: Vec<StoredRecord> =
            listing.entries.iter().filter_map(stored_record).collect();
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        Self { revision: listing.revision, entries }
    }

    /// Returns all stored records, sorted by kind and name.
    pub fn records(&self) -> &[StoredRecord] {
        &self.entries
    }

    /// Returns the stored record with this kind and name, if there is one.
    pub fn record(&self, id: &record::RecordId) -> Option<&StoredRecord> {
        let at = self.entries.binary_search_by(|entry| entry.id.cmp(id)).ok()?;
        Some(&self.entries[at])
    }

    fn revision_of(&self, id: &record::RecordId) -> id::Revision {
        self.record(id).map_or(id::Revision(0), |entry| entry.revision)
    }
}

fn stored_record(entry: &store::Entry) -> Option<StoredRecord> {
    let path = entry.key.strip_prefix(store::RECORDS_PREFIX)?;
    Some(StoredRecord {
        id: path.parse().ok()?,
        revision: entry.revision,
        operation: entry.value.get("operation").and_then(serde_json::Value::as_u64),
        value: entry.value.get("record").cloned().unwrap_or_default(),
    })
}

/// Plans to write documents; stored records that they do not name stay as they are.
///
/// # Errors
///
/// Returns all errors of the requested changes, and those that they would introduce into the set of
/// all records.
pub fn write(stored: &StoredRecords, documents: &[document::Document]) -> Result<Vec<Change>> {
    let mut errors = duplicates(documents);
    for document in documents {
        errors.extend(replacement_errors(stored, &document.versioned));
    }
    let mut changes: Vec<Change> =
        documents.iter().map(|document| plan_write(stored, document)).collect();
    changes.sort_by(|a, b| a.id.cmp(&b.id));
    errors.extend(introduced_errors(stored, &changes));
    if errors.is_empty() { Ok(changes) } else { Err(Errors(errors)) }
}

fn duplicates(documents: &[document::Document]) -> Vec<String> {
    let mut ids: Vec<&record::RecordId> = documents.iter().map(|d| &d.versioned.id).collect();
    ids.sort();
    let repeated = ids.windows(2).filter(|pair| pair[0] == pair[1]);
    repeated.map(|pair| format!("{}: defined more than once in the files", pair[0])).collect()
}

fn replacement_errors(stored: &StoredRecords, requested: &schema::Versioned) -> Vec<String> {
    let Some(old) = stored.record(&requested.id) else {
        return Vec::new();
    };
    let old = schema::read(old.value.clone()).map(|versioned| versioned.record);
    match (old, &requested.record) {
        (Ok(record::Record::Organisation(old)), record::Record::Organisation(new)) => {
            validation::replacement_errors(&old, new).iter().map(ToString::to_string).collect()
        }
        _ => Vec::new(),
    }
}

fn plan_write(stored: &StoredRecords, document: &document::Document) -> Change {
    let id = document.versioned.id.clone();
    let old = stored.record(&id).map(|entry| &entry.value);
    Change {
        expected: stored.revision_of(&id),
        difference: document::compare(&id, old, &document.value),
        value: Some(document.value.clone()),
        id,
    }
}

/// Plans to withdraw records.
///
/// # Errors
///
/// Returns all errors of the requested changes, and those that they would introduce into the set of
/// all records.
pub fn withdraw(stored: &StoredRecords, ids: &[record::RecordId]) -> Result<Vec<Change>> {
    let missing = ids.iter().filter(|id| stored.record(id).is_none());
    let mut errors: Vec<String> = missing.map(|id| format!("{id}: no such record")).collect();
    let plan_withdrawal = |id: &record::RecordId| Change {
        id: id.clone(),
        value: None,
        expected: stored.revision_of(id),
        difference: document::Difference::Changed(id.clone(), Vec::new()),
    };
    let mut changes: Vec<Change> = ids.iter().map(plan_withdrawal).collect();
    changes.sort_by(|a, b| b.id.cmp(&a.id));
    errors.extend(introduced_errors(stored, &changes));
    if errors.is_empty() { Ok(changes) } else { Err(Errors(errors)) }
}

/// Returns the errors that the changes would introduce into the set of all records.
///
/// Errors that the stored set already has are left out, so that they don't block other changes.
fn introduced_errors(stored: &StoredRecords, changes: &[Change]) -> Vec<String> {
    let is_changed = |id: &record::RecordId| changes.iter().any(|change| change.id == *id);
    let mut after: Vec<snapshot::StoredValue> = stored
        .entries
        .iter()
        .filter(|entry| !is_changed(&entry.id))
        .map(|entry| snapshot_entry(&entry.id, &entry.value))
        .collect();
    let written = changes.iter().filter_map(|change| Some((&change.id, change.value.as_ref()?)));
    after.extend(written.map(|(id, value)| snapshot_entry(id, value)));
    let before: Vec<snapshot::StoredValue> =
        stored.entries.iter().map(|entry| snapshot_entry(&entry.id, &entry.value)).collect();
    let known = set_errors(&before);
    set_errors(&after).into_iter().filter(|error| !known.contains(error)).collect()
}

fn snapshot_entry(id: &record::RecordId, value: &serde_json::Value) -> snapshot::StoredValue {
    snapshot::StoredValue { path: id.to_string(), revision: id::Revision(1), value: value.clone() }
}

fn set_errors(entries: &[snapshot::StoredValue]) -> Vec<String> {
    let snapshot = snapshot::Snapshot::read(id::Revision(1), entries);
    validation::errors(&snapshot).iter().map(ToString::to_string).collect()
}
