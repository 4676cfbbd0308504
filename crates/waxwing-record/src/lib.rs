//! What operators write: records, their schema versions, and snapshots of them.
//!
//! * [`record`]: the kinds of record and what each one says.
//! * [`schema`]: reads any known schema version of a record into its newest form.
//! * [`document`]: YAML files with several records, and the differences between two sets.
//! * [`validation`]: finds every fault of a whole set at once.
//! * [`snapshot`]: all records at one revision, sorted for look-up.

pub mod document;
pub mod record;
pub mod schema;
pub mod snapshot;
pub mod validation;
