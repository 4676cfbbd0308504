//! Failure domains and regions: which machines a caller uses, in which order.
//!
//! * [`steer`]: the order of entry VMs for a caller.

pub mod steer;
