//! Ids, sizes, rates and instants, each as a type of its own.
//!
//! Every other crate of the workspace builds on these types:
//!
//! * [`id`]: names of the objects of the world, checked when they are read.
//! * [`prefix`]: blocks of addresses.
//! * [`rate`]: token rates and token amounts of a contract.
//! * [`ratio`]: ratios in thousandths.
//! * [`size`]: sizes in bytes.
//! * [`time`]: instants of a machine's own clock and spans in milliseconds.
//! * [`digest`]: the digest under which a caller's key is known.
//! * [`rendezvous`]: the stable hash that places objects on machines.

pub mod digest;
pub mod id;
pub mod prefix;
pub mod rate;
pub mod ratio;
pub mod rendezvous;
pub mod size;
pub mod time;
