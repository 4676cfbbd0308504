//! Compares what is wanted with what is stored, and finds every fault.

use std::fmt;

use waxwing_platform::store;
use waxwing_record::document;
use waxwing_record::record;
use waxwing_record::schema;
use waxwing_record::snapshot;
use waxwing_record::validation;
use waxwing_units::id;

/// The result of making a plan.
pub type Result<T> = std::result::Result<T, Faults>;

/// Everything that is wrong with the wanted records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<String>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "nothing was written; {} to mend:", self.0.len())?;
        self.0.iter().try_for_each(|fault| writeln!(f, "  {fault}"))
    }
}

impl std::error::Error for Faults {}

/// A change of one record.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The record.
    pub id: record::RecordId,
    /// The wanted value; none to withdraw it.
    pub value: Option<serde_json::Value>,
    /// The revision that the stored record has; zero where there is none.
    pub expected: id::Revision,
    /// How the wanted record differs from the stored one.
    pub difference: document::Difference,
}

/// What is stored, as operators see it.
#[derive(Debug, Clone, Default)]
pub struct Stored {
    /// The revision of the store.
    pub revision: id::Revision,
    entries: Vec<StoredRecord>,
}

/// A stored record.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRecord {
    /// Kind and name.
    pub id: record::RecordId,
    /// The revision of the last write.
    pub revision: id::Revision,
    /// The operation of the last write.
    pub operation: Option<u64>,
    /// The value.
    pub value: serde_json::Value,
}

impl Stored {
    /// Reads what the store listed, sorted by record; keys that are no records are passed over.
    pub fn read(listing: &store::Listing) -> Self {
        let mut entries: Vec<StoredRecord> =
            listing.entries.iter().filter_map(stored_record).collect();
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        Self { revision: listing.revision, entries }
    }

    /// Returns all stored records, sorted.
    pub fn records(&self) -> &[StoredRecord] {
        &self.entries
    }

    /// Returns one stored record.
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

/// Plans to write documents; records that they do not name stay as they are.
///
/// # Errors
///
/// Returns all faults of the set as it would be.
pub fn write(stored: &Stored, documents: &[document::Document]) -> Result<Vec<Change>> {
    let mut faults = twice(documents);
    for document in documents {
        faults.extend(replace_faults(stored, &document.versioned));
    }
    let mut changes: Vec<Change> =
        documents.iter().map(|document| write_one(stored, document)).collect();
    changes.sort_by(|a, b| a.id.cmp(&b.id));
    faults.extend(whole_faults(stored, &changes));
    if faults.is_empty() { Ok(changes) } else { Err(Faults(faults)) }
}

fn twice(documents: &[document::Document]) -> Vec<String> {
    let mut ids: Vec<&record::RecordId> = documents.iter().map(|d| &d.versioned.id).collect();
    ids.sort();
    let twice = ids.windows(2).filter(|pair| pair[0] == pair[1]);
    twice.map(|pair| format!("{}: stands twice in the files", pair[0])).collect()
}

fn replace_faults(stored: &Stored, wanted: &schema::Versioned) -> Vec<String> {
    let Some(old) = stored.record(&wanted.id) else {
        return Vec::new();
    };
    let old = schema::read(old.value.clone()).map(|versioned| versioned.record);
    match (old, &wanted.record) {
        (Ok(record::Record::Organisation(old)), record::Record::Organisation(new)) => {
            validation::replacement_errors(&old, new).iter().map(ToString::to_string).collect()
        }
        _ => Vec::new(),
    }
}

fn write_one(stored: &Stored, document: &document::Document) -> Change {
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
/// Returns all faults of the set as it would be.
pub fn withdraw(stored: &Stored, ids: &[record::RecordId]) -> Result<Vec<Change>> {
    let missing = ids.iter().filter(|id| stored.record(id).is_none());
    let mut faults: Vec<String> =
        missing.map(|id| format!("{id}: there is no such record")).collect();
    let withdraw_one = |id: &record::RecordId| Change {
        id: id.clone(),
        value: None,
        expected: stored.revision_of(id),
        difference: document::Difference::Changed(id.clone(), Vec::new()),
    };
    let mut changes: Vec<Change> = ids.iter().map(withdraw_one).collect();
    changes.sort_by(|a, b| b.id.cmp(&a.id));
    faults.extend(whole_faults(stored, &changes));
    if faults.is_empty() { Ok(changes) } else { Err(Faults(faults)) }
}

/// Returns the faults of the set as it would be, but for those that it has already.
fn whole_faults(stored: &Stored, changes: &[Change]) -> Vec<String> {
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
    let old = faults_of(&before);
    faults_of(&after).into_iter().filter(|fault| !old.contains(fault)).collect()
}

fn snapshot_entry(id: &record::RecordId, value: &serde_json::Value) -> snapshot::StoredValue {
    snapshot::StoredValue { path: id.to_string(), revision: id::Revision(1), value: value.clone() }
}

fn faults_of(stored: &[snapshot::StoredValue]) -> Vec<String> {
    let snapshot = snapshot::Snapshot::read(id::Revision(1), stored);
    validation::errors(&snapshot).iter().map(ToString::to_string).collect()
}
