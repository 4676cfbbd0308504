//! Identity, addresses and lifecycle phase of an entry VM.

use std::net;

use serde::{Deserialize, Serialize};
use waxwing_units::id;

/// The lifecycle phase of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The machine accepts new requests.
    Live,
    /// The machine shuts down: it finishes requests in progress and accepts no new ones.
    Leaving,
}

/// An entry VM, as it describes itself to other machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// The machine's name.
    pub vm: id::VmId,
    /// The machine's failure domain.
    pub failure_domain: id::FailureDomainId,
    /// The address of its keeper process, which exchanges state with the keepers of other machines.
    pub peer_address: net::SocketAddr,
    /// The address at which its entry process accepts requests of callers.
    pub entry_address: net::SocketAddr,
    /// The address at which its entry process accepts requests that other entry VMs forward.
    pub forward_address: net::SocketAddr,
    /// Whether it serves or shuts down.
    pub phase: Phase,
}
