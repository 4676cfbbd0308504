//! Test doubles for the platform, backend servers and callers.
//!
//! They are not part of the product. They replace the users' own services in tests and in the
//! demonstration, and inject faults on request.
//!
//! * [`platform`]: the key-value store and the list of entry VMs, over HTTP.
//! * [`backend`]: a backend server that records the requests it runs.
//! * [`caller`]: a blocking HTTP client that can also break off in the middle of a request.

pub mod backend;
pub mod caller;
pub mod platform;
