//! Routes, how they split their requests, and the terms of organisations.
//!
//! The crate decides; it opens no socket and reads no clock.
//!
//! * [`table`]: the [`table::Table`] of all routes, services and organisations of one version.
//! * [`route`]: one route and what it allows.
//! * [`policy`]: organisations, services, and what callers may send.
//! * [`split`]: shares a route's requests out by weight.
//! * [`staleness`]: how old the table may be before keys are not taken any more.

pub mod policy;
pub mod route;
pub mod split;
pub mod staleness;
pub mod table;
