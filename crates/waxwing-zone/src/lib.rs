//! Failure domains and regions: which machines a caller uses, in which order.
//!
//! * [`client_block`]: the failure domain that is nearest to an address.
//! * [`locality`]: how requests are shared out among the backend servers of all failure domains.
//! * [`shift`]: how much of a service's traffic goes to other regions.
//! * [`steer`]: the order of entry VMs for a caller.

pub mod client_block;
pub mod locality;
pub mod shift;
pub mod steer;
