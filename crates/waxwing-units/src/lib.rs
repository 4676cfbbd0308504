//! Newtypes for ids, sizes, rates, ratios and times, with their text forms.
//!
//! All other crates of the workspace use these types:
//!
//! * [`bandwidth`]: bandwidths of network links.
//! * [`id`]: names and numbers that identify objects, such as organisations and requests.
//! * [`prefix`]: blocks of IP addresses.
//! * [`rate`]: token rates and token amounts of a rate limit.
//! * [`ratio`]: ratios in thousandths.
//! * [`size`]: sizes in bytes.
//! * [`time`]: instants of a machine's monotonic clock, durations, and bounds for clock drift.
//! * [`digest`]: the digest by which a caller's key is stored and compared.
//! * [`rendezvous`]: rendezvous hashing, which places objects on machines.

pub mod bandwidth;
pub mod digest;
pub mod id;
pub mod prefix;
pub mod rate;
pub mod ratio;
pub mod rendezvous;
pub mod size;
pub mod time;
