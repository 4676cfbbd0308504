//! The client through which the lookup and entry processes use the keeper of their machine.
//!
//! * [`client`]: the connection to the keeper, a view of its last state, and charges.

pub mod client;
