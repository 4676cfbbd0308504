//! Entry VMs and backend servers, as one machine knows them.
//!
//! * [`entry_vm`]: an entry VM and what is known of its state.
//! * [`fleet`]: the view of all entry VMs, from heartbeats and the platform's list.
//! * [`backend_server`]: a backend server's slots, health and slow start.
//! * [`pool`]: the choice of a backend server.
//! * [`membership`]: who belongs to the fleet by the store, and whether this machine may hold shares.
//! * [`server_registration`]: a backend server as it registers itself.
//! * [`server_list`]: all registered backend servers, numbered, so that copies are told only changes.
//! * [`store_reader`]: which machine of a region reads the store for the others.
//! * [`server_set`]: all registered backend servers, over outages of the store.
//! * [`placement`]: the choice among all backend servers of a service, by object.
//! * [`server_health`]: what one backend server bears, by its answers.

pub mod backend_server;
pub mod entry_vm;
pub mod fleet;
pub mod membership;
pub mod placement;
pub mod pool;
pub mod server_health;
pub mod server_list;
pub mod server_registration;
pub mod server_set;
pub mod store_reader;
