//! Traits and a client for the services of the hosting platform.
//!
//! * [`store`]: the key-value store that persists records and seat tables, with compare-and-swap
//!   writes.
//! * [`vm_list`]: the platform's list of live and leaving entry VMs, which lags behind.
//! * [`http`]: implements `store` and `vm_list` over HTTP with JSON.
//! * [`registry`]: the store of a `waxwing-vm` fleet: configuration, backend servers and members.
//!
//! The HTTP protocol is described in `docs/PLATFORM.md`.

pub mod http;
pub mod registry;
pub mod store;
pub mod vm_list;
