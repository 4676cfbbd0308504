//! The heartbeats of a region in one message, for the machines of other regions.
//!
//! If every machine sent its heartbeats to all others, the bytes between regions would grow with the
//! square of the fleet. In a fleet of some size machines send them within their region only. One machine of
//! each region, the relay, sends a digest of its region to the relay of each other region, which
//! passes it on to the machines of its own. Machines need not agree on the relay: a digest that comes
//! twice is passed on once, and one that reaches another machine is passed to the relay.

use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::bandwidth;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::entry_vm;
use crate::membership;

/// The number of members up to which all machines send heartbeats to each other: their bytes are few
/// then, and a machine's end is noticed sooner.
pub const DIRECT_MEMBERS_MAX: usize = 48;

/// The number of members above which machines send heartbeats to each other again: the link of one relay
/// would carry too much of what all machines of its region have to know.
pub const DIGEST_MEMBERS_MAX: usize = 128;

/// The most entries of one digest, so that it fits into a datagram.
pub const ENTRIES_MAX: usize = 24;

/// How long after its last heartbeat a machine counts as reachable that is known through digests: the
/// region may have elected another relay meanwhile.
pub const SILENCE_MAX: time::Duration = time::Duration::from_millis(3_200);

/// The most by which the ways of two digests with the same heartbeat differ; less than the time between
/// two heartbeats.
pub const WAY_MAX: time::Duration = time::Duration::from_millis(200);

/// The number of heartbeats for each digest, which keeps the bytes that a relay sends to its region low:
/// the machines of other regions are known by digests for longer than three of them.
const HEARTBEATS_PER_DIGEST: u64 = 3;

/// The number of heartbeats after a start for which each has a digest, as all machines may have started.
const START_HEARTBEATS: u64 = 8;

/// The number of machines of a region to which a digest is sent, in case the first is gone.
pub const RELAYS: usize = 2;

/// The key of the rendezvous hashing that elects the relay.
const ELECTION_KEY: &str = "relays heartbeats";

/// Identifies a start of a machine in fewer bytes than its name, addresses and incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineKey(u32);

impl MachineKey {
    /// Returns the key of a machine; receivers know the machine from the member list.
    pub fn of(info: &membership::MachineInfo) -> Self {
        let hash = rendezvous::weight(&info.started.to_string(), info.vm.as_str());
        Self((hash >> u32::BITS) as u32)
    }
}

/// What a relay knows of one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The machine.
    pub machine: MachineKey,
    /// The time since its last heartbeat arrived at the relay.
    pub age_ms: u16,
    /// The revision of its member list.
    pub revision: id::Revision,
    /// Whether it serves or shuts down.
    pub phase: entry_vm::Phase,
    /// How long the store has been responding to all of its calls.
    pub store_steady_ms: units_time::Millis,
    /// Whether the store responded to its last call.
    pub reaches_store: bool,
    /// The recent rate of requests that arrive at it from callers.
    pub requests_per_s: u32,
    /// The bandwidth of its link, if it has reported one.
    pub link_bandwidth: Option<bandwidth::Bandwidth>,
}

/// Who still has to receive a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Route {
    /// The receiver, which passes it on to its region, or to the relay if it is another machine.
    ToRegion,
    /// The relay of the receiver's region; a machine that is not the relay drops it.
    ToRelay,
    /// The receiver only.
    ToMachine,
}

/// A part of the heartbeats of one region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionDigest {
    /// Who still has to receive it.
    pub route: Route,
    /// The machines.
    pub entries: Vec<Entry>,
}

/// Returns whether a digest is due with the heartbeat of this number since the start.
pub const fn is_due(heartbeat: u64) -> bool {
    heartbeat < START_HEARTBEATS || heartbeat.is_multiple_of(HEARTBEATS_PER_DIGEST)
}

/// What a digest has told a machine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct News {
    /// The entries that it did not know.
    pub entries: Vec<Entry>,
    /// The machines that were unreachable before or have changed their phases.
    pub changed: Vec<id::VmId>,
}

/// Returns the machines that relay for a region, the first one first.
pub fn relays<'a>(
    machines: impl Iterator<Item = &'a membership::MachineInfo>,
) -> Vec<&'a membership::MachineInfo> {
    let weight =
        |info: &membership::MachineInfo| rendezvous::weight(ELECTION_KEY, info.vm.as_str());
    let mut relays: Vec<&membership::MachineInfo> = machines.collect();
    relays.sort_by_cached_key(|info| std::cmp::Reverse((weight(info), info.vm.clone())));
    relays.truncate(RELAYS);
    relays
}
