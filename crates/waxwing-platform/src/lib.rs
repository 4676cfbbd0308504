//! The platform's services, as the system uses them.
//!
//! * [`store`]: the small key-value service that keeps what must last.
//! * [`vm_list`]: the lagging list of live and leaving entry VMs.
//! * [`http`]: both of them over HTTP with JSON.
//!
//! The protocol is described in `docs/PLATFORM.md`.

pub mod http;
pub mod store;
pub mod vm_list;
