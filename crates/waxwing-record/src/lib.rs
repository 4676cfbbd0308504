//! Configuration records that operators write: schema versions, validation and snapshots.
//!
//! * [`record`]: the kinds of records and their fields.
//! * [`schema`]: reads a record of any supported schema version into its newest form.
//! * [`document`]: YAML files with several records, and how records differ from the stored ones.
//! * [`validation`]: checks a whole set of records and reports all errors at once.
//! * [`snapshot`]: all records at one revision of the store, sorted for binary search.

pub mod document;
pub mod record;
pub mod schema;
pub mod snapshot;
pub mod validation;
