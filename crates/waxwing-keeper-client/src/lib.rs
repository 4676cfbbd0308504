//! The keeper as the other processes of its machine see it.
//!
//! * [`client`]: keeps a connection to the keeper and what it last said.

pub mod client;
