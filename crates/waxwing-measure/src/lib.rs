//! Simulations of the distributed rate limit, and benchmarks of cost against deployment size.
//!
//! They call the library crates directly, without processes or sockets, and draw all random input
//! from fixed seeds.
//!
//! * [`accuracy`]: how closely the fleet enforces a rate limit, compared with one central bucket.
//! * [`capacity`]: message sizes, memory and processor time against the size of a deployment.
//! * [`central_bucket`]: the token bucket that the fleet is compared with.
//! * [`fleet`]: a simulated fleet of entry VMs that enforce one organisation's rate limit.
//! * [`placement_cost`]: processor time to choose a backend server.
//! * [`trace`]: generated request arrivals.

pub mod accuracy;
pub mod capacity;
pub mod central_bucket;
pub mod fleet;
pub mod placement_cost;
pub mod trace;
