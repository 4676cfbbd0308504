//! Failure domains and regions: which machines a caller uses, in which order.
//!
//! * [`shift`]: how much of a service's traffic goes to other regions.
//! * [`steer`]: the order of entry VMs for a caller.

pub mod shift;
pub mod steer;
