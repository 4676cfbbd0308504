//! YAML files with several records, and how records differ from the stored ones.

use serde::Deserialize;
use serde_yaml_ng as yaml;

use crate::record;
use crate::schema;

/// The result of reading a file; an error lists the errors of all its documents.
pub type Result<T> = std::result::Result<T, Vec<Error>>;

/// An error in one document of a file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}: document {document}: {message}")]
pub struct Error {
    /// The name of the file, as given by the operator.
    pub file: String,
    /// The position of the document in the file, starting at 1.
    pub document: usize,
    /// What is wrong and what to write instead.
    pub message: String,
}

/// A record as written in a file, with its parsed form.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// The document as written; this value is stored.
    pub value: serde_json::Value,
    /// The record parsed from the value.
    pub versioned: schema::Versioned,
}

/// Reads a file of YAML documents, each with one record; empty documents are skipped.
///
/// # Errors
///
/// Returns the errors of all documents, and no record if there is any error.
pub fn read(file: &str, text: &str) -> Result<Vec<Document>> {
    let mut documents = Vec::new();
    let mut errors = Vec::new();
    for (index, document) in yaml::Deserializer::from_str(text).enumerate() {
        match read_document(document) {
            Ok(Some(document)) => documents.push(document),
            Ok(None) => (),
            Err(message) => {
                errors.push(Error { file: file.to_owned(), document: index + 1, message });
            }
        }
    }
    if errors.is_empty() { Ok(documents) } else { Err(errors) }
}

fn read_document(
    document: yaml::Deserializer<'_>,
) -> std::result::Result<Option<Document>, String> {
    let value = serde_json::Value::deserialize(document).map_err(|error| error.to_string())?;
    if value.is_null() {
        return Ok(None);
    }
    let read = schema::read(value.clone());
    let versioned = read.map_err(|error| format!("{}{error}", label(&value)))?;
    Ok(Some(Document { value, versioned }))
}

/// Returns the prefix that names the record in an error message; empty if kind or name can't be
/// read.
fn label(value: &serde_json::Value) -> String {
    let field = |name: &str| value.get(name).and_then(serde_json::Value::as_str);
    match (field("kind"), field("name")) {
        (Some(kind), Some(name)) => format!("{kind}/{name}: "),
        _ => String::new(),
    }
}

/// The difference between a stored record and the one that an operator applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// No record with this id is stored.
    Added(record::RecordId),
    /// The stored record differs in these fields.
    Changed(record::RecordId, Vec<FieldChange>),
    /// The stored record has the same fields and values.
    Unchanged(record::RecordId),
}

/// A field whose stored value differs from the applied one, with both values as JSON text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldChange {
    /// The name of the top-level field.
    pub field: String,
    /// The stored value, or `(none)`.
    pub old: String,
    /// The applied value, or `(none)`.
    pub new: String,
}

/// Compares the stored value of a record, if there is one, with the value to apply.
pub fn compare(
    id: &record::RecordId,
    stored: Option<&serde_json::Value>,
    applied: &serde_json::Value,
) -> Difference {
    let Some(stored) = stored else {
        return Difference::Added(id.clone());
    };
    let changes = field_changes(stored, applied);
    match changes.is_empty() {
        true => Difference::Unchanged(id.clone()),
        false => Difference::Changed(id.clone(), changes),
    }
}

fn field_changes(stored: &serde_json::Value, applied: &serde_json::Value) -> Vec<FieldChange> {
    let keys = |value: &serde_json::Value| -> Vec<String> {
        value.as_object().map(|fields| fields.keys().cloned().collect()).unwrap_or_default()
    };
    let mut fields = keys(stored);
    fields.extend(keys(applied));
    fields.sort();
    fields.dedup();
    let show = |value: Option<&serde_json::Value>| {
        value.map_or_else(|| "(none)".to_owned(), serde_json::Value::to_string)
    };
    fields
        .into_iter()
        .filter(|field| stored.get(field) != applied.get(field))
        .map(|field| FieldChange {
            old: show(stored.get(&field)),
            new: show(applied.get(&field)),
            field,
        })
        .collect()
}
