//! Routing table: routes, traffic splitting, and the policies of organisations and services.
//!
//! The crate only decides; it opens no socket and reads no clock.
//!
//! * [`table`]: the [`table::Table`] with all routes, services and organisations of one version.
//! * [`route`]: one route with its match, limits and services, and the routes of one host.
//! * [`policy`]: the limits of organisations, of services and of single requests.
//! * [`split`]: splits a route's requests among its services by weight.
//! * [`changes`]: the differences between two tables.
//! * [`read_mark`]: what a read of the configuration found in the store.
//! * [`staleness`]: how old the table may be before keys are no longer accepted.

pub mod changes;
pub mod policy;
pub mod read_mark;
pub mod route;
pub mod split;
pub mod staleness;
pub mod table;
