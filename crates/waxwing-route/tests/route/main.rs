//! Decisions about routes, object by object.

mod split;
mod staleness;
mod table;
