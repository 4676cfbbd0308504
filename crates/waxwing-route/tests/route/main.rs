//! Decisions about routes, object by object.

mod freshness;
mod split;
mod table;
