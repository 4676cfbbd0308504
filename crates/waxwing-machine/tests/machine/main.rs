//! Entry VMs and backend servers, object by object.

mod backend_server;
mod fleet;
mod membership;
mod placement;
mod pool;
mod roster;
