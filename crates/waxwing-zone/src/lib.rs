//! Failure domains and regions: which entry VMs a caller uses, and where requests are sent.
//!
//! * [`client_block`]: lookup of the failure domain nearest to a caller's address.
//! * [`locality`]: how requests are distributed over the backend servers of all failure domains.
//! * [`shift`]: share of a service's traffic that goes to other regions.
//! * [`steer`]: order of entry VMs for a caller, by distance.

pub mod client_block;
pub mod locality;
pub mod shift;
pub mod steer;
