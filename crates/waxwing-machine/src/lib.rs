//! Entry VMs and backend servers, as one machine knows them.
//!
//! * [`entry_vm`]: an entry VM and what is known of its state.
//! * [`fleet`]: the view of all entry VMs, from heartbeats and the platform's list.
//! * [`backend_server`]: a backend server's slots, health and slow start.
//! * [`pool`]: the choice of a backend server.

pub mod backend_server;
pub mod entry_vm;
pub mod fleet;
pub mod pool;
