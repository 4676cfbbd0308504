//! Reads and validates YAML settings, and reports all errors at once.

use std::fmt;
use std::fs;
use std::io;
use std::path;

use serde::de;
use serde_yaml_ng as yaml;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {error}; write the settings there or name another file with --settings", .path.display())]
    File {
        /// The path of the file.
        path: path::PathBuf,
        /// The error of the read.
        error: io::Error,
    },
    /// The file is not a YAML mapping, or its fields don't form valid settings together.
    #[error("{}: {message}; settings are a mapping of fields to values", .path.display())]
    NotMapping {
        /// The path of the file.
        path: path::PathBuf,
        /// The error of the YAML parser.
        message: String,
    },
    /// Some fields are invalid.
    #[error("{}: {} invalid setting(s):\n{}", .path.display(), .errors.0.len(), .errors)]
    Fields {
        /// The path of the file.
        path: path::PathBuf,
        /// The errors of all fields.
        errors: FieldErrors,
    },
}

/// An invalid field, and what to write instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// The name of the field.
    pub field: String,
    /// What is wrong with the value, and a correct form where one helps.
    pub message: String,
}

/// All invalid fields of a settings file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FieldErrors(pub Vec<FieldError>);

impl FieldErrors {
    /// Adds an error for `field` unless `is_valid`.
    pub fn require(&mut self, is_valid: bool, field: &str, message: &str) {
        if !is_valid {
            self.0.push(FieldError { field: field.to_owned(), message: message.to_owned() });
        }
    }
}

impl fmt::Display for FieldErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, field_error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "  {}: {}", field_error.field, field_error.message)?;
        }
        Ok(())
    }
}

/// The settings of a process.
///
/// Every field needs a default, so that each can be parsed on its own and one error does not hide
/// the next; [`Settings::validate`] rejects defaults where a value is required.
pub trait Settings: de::DeserializeOwned {
    /// Adds an error for each field that is missing or invalid in itself or beside the others.
    fn validate(&self, errors: &mut FieldErrors);
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns an error if the file can't be read, or one that lists all invalid fields.
pub fn load<T: Settings>(path: &path::Path) -> Result<T> {
    let text =
        fs::read_to_string(path).map_err(|error| Error::File { path: path.to_owned(), error })?;
    parse(path, &text)
}

/// Parses and validates settings; `path` is only for error messages.
///
/// # Errors
///
/// Returns an error that lists all invalid fields.
pub fn parse<T: Settings>(path: &path::Path, text: &str) -> Result<T> {
    let not_mapping = |message: String| Error::NotMapping { path: path.to_owned(), message };
    let mapping: yaml::Mapping =
        yaml::from_str(text).map_err(|error| not_mapping(error.to_string()))?;
    let mut errors = field_errors::<T>(&mapping);
    let parsed = yaml::from_value::<T>(yaml::Value::Mapping(mapping));
    match parsed {
        Ok(settings) => {
            settings.validate(&mut errors);
            match errors.0.is_empty() {
                true => Ok(settings),
                false => Err(Error::Fields { path: path.to_owned(), errors }),
            }
        }
        Err(error) if errors.0.is_empty() => Err(not_mapping(error.to_string())),
        Err(_) => Err(Error::Fields { path: path.to_owned(), errors }),
    }
}

/// Parses each field on its own, so that one error does not hide the next.
fn field_errors<T: Settings>(mapping: &yaml::Mapping) -> FieldErrors {
    let mut errors = FieldErrors::default();
    for (key, value) in mapping {
        let single_field = yaml::Mapping::from_iter([(key.clone(), value.clone())]);
        if let Err(error) = yaml::from_value::<T>(yaml::Value::Mapping(single_field)) {
            let field = key.as_str().unwrap_or("(a field whose name is not a string)").to_owned();
            errors.0.push(FieldError { field, message: error.to_string() });
        }
    }
    errors
}
