//! Small stand-ins for the platform and for backend servers.
//!
//! They are no part of the product: they take the place of the users' own services in tests and
//! in the demonstration, and can fail on command.
//!
//! * [`platform`]: the key-value store and the list of entry VMs.
//! * [`backend`]: a backend server.
//! * [`caller`]: a caller, which asks where to go and sends requests.

pub mod backend;
pub mod caller;
pub mod platform;
