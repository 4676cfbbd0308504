//! End-to-end tests of the real processes on loopback.
//!
//! * [`deployment`]: starts and controls a platform, backend servers and entry VMs, each machine
//!   on its own loopback address.

pub mod deployment;
