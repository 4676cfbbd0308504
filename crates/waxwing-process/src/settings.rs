//! Reads YAML settings and lists all their faults at once.

use std::fmt;
use std::fs;
use std::io;
use std::path;

use serde::de;
use serde_yaml_ng as yaml;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {error}; write the settings there or name another file with --settings", .path.display())]
    File {
        /// The file.
        path: path::PathBuf,
        /// What went wrong.
        error: io::Error,
    },
    /// The file is no YAML mapping.
    #[error("{}: {what}; settings are a mapping of fields to values", .path.display())]
    Form {
        /// The file.
        path: path::PathBuf,
        /// What went wrong.
        what: String,
    },
    /// Some fields are wrong.
    #[error("{}: {} of the settings are wrong:\n{}", .path.display(), .faults.0.len(), .faults)]
    Fields {
        /// The file.
        path: path::PathBuf,
        /// What is wrong.
        faults: FieldErrors,
    },
}

/// What is wrong with a field, and what to write instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// The field.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

/// Everything that is wrong with a file of settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FieldErrors(pub Vec<FieldError>);

impl FieldErrors {
    /// Adds a fault unless `is_right`.
    pub fn require(&mut self, is_right: bool, field: &str, what: &str) {
        if !is_right {
            self.0.push(FieldError { field: field.to_owned(), message: what.to_owned() });
        }
    }
}

impl fmt::Display for FieldErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "  {}: {}", fault.field, fault.message)?;
        }
        Ok(())
    }
}

/// Settings of a process.
///
/// Each field has a default, so that each can be read on its own; [`Settings::validate`] tells
/// which defaults are not enough.
pub trait Settings: de::DeserializeOwned {
    /// Adds what is wrong with the settings as a whole.
    fn validate(&self, faults: &mut FieldErrors);
}

/// Reads and checks the settings in a file.
///
/// # Errors
///
/// Returns an error that lists all faults.
pub fn load<T: Settings>(path: &path::Path) -> Result<T> {
    let text =
        fs::read_to_string(path).map_err(|error| Error::File { path: path.to_owned(), error })?;
    parse(path, &text)
}

/// Reads and checks settings from a text; `path` is named in errors.
///
/// # Errors
///
/// Returns an error that lists all faults.
pub fn parse<T: Settings>(path: &path::Path, text: &str) -> Result<T> {
    let form = |what: String| Error::Form { path: path.to_owned(), what };
    let mapping: yaml::Mapping = yaml::from_str(text).map_err(|error| form(error.to_string()))?;
    let mut faults = field_faults::<T>(&mapping);
    let whole = yaml::from_value::<T>(yaml::Value::Mapping(mapping));
    match whole {
        Ok(settings) => {
            settings.validate(&mut faults);
            match faults.0.is_empty() {
                true => Ok(settings),
                false => Err(Error::Fields { path: path.to_owned(), faults }),
            }
        }
        Err(error) if faults.0.is_empty() => Err(form(error.to_string())),
        Err(_) => Err(Error::Fields { path: path.to_owned(), faults }),
    }
}

/// Reads each field on its own, so that one fault does not hide the next.
fn field_faults<T: Settings>(mapping: &yaml::Mapping) -> FieldErrors {
    let mut faults = FieldErrors::default();
    for (key, value) in mapping {
        let one = yaml::Mapping::from_iter([(key.clone(), value.clone())]);
        if let Err(error) = yaml::from_value::<T>(yaml::Value::Mapping(one)) {
            let field = key.as_str().unwrap_or("(a field whose name is no text)").to_owned();
            faults.0.push(FieldError { field, message: error.to_string() });
        }
    }
    faults
}
