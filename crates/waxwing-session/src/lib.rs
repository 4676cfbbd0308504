//! Whole sessions over the real processes.
//!
//! * [`deployment`]: a platform, backend servers and entry VMs, each process on an address of
//!   its own in the loopback range.

pub mod deployment;
