//! YAML files with several records, and the differences between two sets.

use serde::Deserialize;
use serde_yaml_ng as yaml;

use crate::record;
use crate::schema;

/// The result of reading a file of records.
pub type Result<T> = std::result::Result<T, Vec<Error>>;

/// A fault in a file of records.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}: document {document}: {message}")]
pub struct Error {
    /// The file.
    pub file: String,
    /// The place of the document in the file, from 1 on.
    pub document: usize,
    /// What is wrong, and what to write instead.
    pub message: String,
}

/// A record as it was written and as it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// The text's value, which is what is stored.
    pub value: serde_json::Value,
    /// The record that it says.
    pub versioned: schema::Versioned,
}

/// Reads a file with one or more YAML documents, each a record.
///
/// # Errors
///
/// Returns all faults of all documents.
pub fn read(file: &str, text: &str) -> Result<Vec<Document>> {
    let mut documents = Vec::new();
    let mut faults = Vec::new();
    for (index, document) in yaml::Deserializer::from_str(text).enumerate() {
        match read_one(document) {
            Ok(Some(document)) => documents.push(document),
            Ok(None) => (),
            Err(what) => {
                faults.push(Error { file: file.to_owned(), document: index + 1, message: what });
            }
        }
    }
    if faults.is_empty() { Ok(documents) } else { Err(faults) }
}

fn read_one(document: yaml::Deserializer<'_>) -> std::result::Result<Option<Document>, String> {
    let value = serde_json::Value::deserialize(document).map_err(|error| error.to_string())?;
    if value.is_null() {
        return Ok(None);
    }
    let read = schema::read(value.clone());
    let versioned = read.map_err(|error| format!("{}{error}", label(&value)))?;
    Ok(Some(Document { value, versioned }))
}

/// Names the record that a fault is in, as far as it can be read.
fn label(value: &serde_json::Value) -> String {
    let field = |name: &str| value.get(name).and_then(serde_json::Value::as_str);
    match (field("kind"), field("name")) {
        (Some(kind), Some(name)) => format!("{kind}/{name}: "),
        _ => String::new(),
    }
}

/// How a stored record differs from the one that an operator wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// The record is new.
    Added(record::RecordId),
    /// Some fields differ, each with its old and its new value.
    Changed(record::RecordId, Vec<FieldChange>),
    /// The record is as wanted.
    Unchanged(record::RecordId),
}

/// A field with its old and its new value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldChange {
    /// The field's name.
    pub field: String,
    /// The value that is stored.
    pub old: String,
    /// The value that is wanted.
    pub new: String,
}

/// Compares a stored record with the wanted one.
pub fn compare(
    id: &record::RecordId,
    stored: Option<&serde_json::Value>,
    wanted: &serde_json::Value,
) -> Difference {
    let Some(stored) = stored else {
        return Difference::Added(id.clone());
    };
    let changes = field_changes(stored, wanted);
    match changes.is_empty() {
        true => Difference::Unchanged(id.clone()),
        false => Difference::Changed(id.clone(), changes),
    }
}

fn field_changes(stored: &serde_json::Value, wanted: &serde_json::Value) -> Vec<FieldChange> {
    let keys = |value: &serde_json::Value| -> Vec<String> {
        value.as_object().map(|fields| fields.keys().cloned().collect()).unwrap_or_default()
    };
    let mut fields = keys(stored);
    fields.extend(keys(wanted));
    fields.sort();
    fields.dedup();
    let show = |value: Option<&serde_json::Value>| {
        value.map_or_else(|| "(none)".to_owned(), serde_json::Value::to_string)
    };
    fields
        .into_iter()
        .filter(|field| stored.get(field) != wanted.get(field))
        .map(|field| FieldChange {
            old: show(stored.get(&field)),
            new: show(wanted.get(&field)),
            field,
        })
        .collect()
}
