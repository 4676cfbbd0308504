//! Entry VMs and backend servers, object by object.

mod backend_server;
mod fleet;
mod listing;
mod membership;
mod placement;
mod pool;
mod reader;
mod roster;
