//! Tests of entry VMs and backend servers, with a module for each tested module of the crate.

mod availability;
mod backend_server;
mod entry_choice;
mod fleet;
mod membership;
mod memory_budget;
mod placement;
mod pool;
mod region_digest;
mod server_list;
mod server_set;
mod store_history;
mod store_reader;
mod transfer;
