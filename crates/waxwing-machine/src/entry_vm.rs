//! An entry VM and what is known of its state.

use std::net;

use serde::{Deserialize, Serialize};
use waxwing_units::id;

/// Whether a machine goes on serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The machine serves.
    Live,
    /// The machine finishes what it has and takes nothing new.
    Leaving,
}

/// An entry VM, as it tells about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// The machine's name.
    pub vm: id::VmId,
    /// The machine's failure domain.
    pub failure_domain: id::FailureDomainId,
    /// Where its keeper listens for other keepers.
    pub peer_address: net::SocketAddr,
    /// Where its entry process listens for callers.
    pub entry_address: net::SocketAddr,
    /// Where its entry process listens for requests that other entry VMs pass on.
    pub forward_address: net::SocketAddr,
    /// Whether it goes on serving.
    pub phase: Phase,
}
