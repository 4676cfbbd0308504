//! The platform's services, as the system uses them.
//!
//! * [`store`]: the small key-value service that keeps what must last.
//! * [`vm_list`]: the lagging list of live and leaving entry VMs.
//! * [`registry`]: configuration, backend servers and members, as a shared store has them.
//! * [`http`]: both of them over HTTP with JSON.
//!
//! The protocol is described in `docs/PLATFORM.md`.

pub mod http;
pub mod registry;
pub mod store;
pub mod vm_list;
