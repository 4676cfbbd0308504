//! Entry VMs and backend servers as one machine sees them: membership, health and placement.
//!
//! A machine is an entry VM. An entry VM runs either the single process of `waxwing-vm`, or a
//! keeper, a lookup and an entry process. Both variants use:
//!
//! * [`entry_vm`]: identity, addresses and lifecycle phase of an entry VM.
//!
//! The keeper, lookup and entry processes know the backend servers from operators' records and use:
//!
//! * [`fleet`]: one machine's view of all entry VMs, from heartbeats and the platform's list.
//! * [`backend_server`]: slots in use, ejection and slow start of a backend server.
//! * [`pool`]: choice of a backend server by its free slots.
//!
//! `waxwing-vm` knows the backend servers from their registrations in the store and uses:
//!
//! * [`membership`]: fleet membership by the store, and when a machine may hold shares.
//! * [`region_digest`]: the heartbeats of a region in one message, for large fleets.
//! * [`server_registration`]: registration of a backend server in the store.
//! * [`server_list`]: versioned list of all registered backend servers, for replication by changes.
//! * [`entry_choice`]: the entry VMs that a directory names to callers, by their links.
//! * [`store_history`]: restorations of the store from a copy, as one machine observes them.
//! * [`store_reader`]: election of the machine that reads the store for its region.
//! * [`transfer`]: progress of a message that is received in pieces, and when it is given up.
//! * [`server_set`]: the backend servers in use, through outages of the store.
//! * [`memory_budget`]: the memory held for callers, and which connection gives way when it runs out.
//! * [`placement`]: choice among all backend servers of a service by object affinity.
//! * `pooled_server`: one server of such a choice.
//! * [`availability`]: whether a server accepts new requests, by its registration and responses.
//! * [`retry_after`]: the delay that a server asks for.
//! * [`server_order`]: order of a service's servers for an object, with a cache.
//! * [`server_health`]: health and load of one backend server, by the outcomes of requests.

pub mod availability;
pub mod backend_server;
pub mod entry_choice;
pub mod entry_vm;
pub mod fleet;
pub mod membership;
pub mod memory_budget;
pub mod placement;
pub mod pool;
mod pooled_server;
pub mod region_digest;
pub mod retry_after;
pub mod server_health;
pub mod server_list;
pub mod server_order;
pub mod server_registration;
pub mod server_set;
pub mod store_history;
pub mod store_reader;
pub mod transfer;
