//! The entry VMs that can be asked for a loan of tokens, grouped by distance.

use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::vm;

/// How long the order of the VMs stays the same before it rotates, in nanoseconds.
const ROTATION_NS: u64 = 10_000_000;

/// The live entry VMs, in an order that rotates over time so that loan requests spread among them.
pub(crate) struct ReachablePeers {
    pub(crate) near: Vec<membership::MachineInfo>,
    pub(crate) far: Vec<membership::MachineInfo>,
}

impl ReachablePeers {
    /// Returns the live VMs whose heartbeats arrive, with those of this VM's region in `near`.
    pub(crate) fn of(vm: &vm::Vm, now: units_time::MonoInstant) -> Self {
        let settings = vm.settings();
        let local_region = settings.region_of(&vm.info.failure_domain);
        let mut all: Vec<membership::MachineInfo> = {
            let membership = vm.membership.lock();
            membership.reachable(now, entry_vm::Phase::Live).into_iter().cloned().collect()
        };
        if !all.is_empty() {
            let offset = usize::try_from(now.0 / ROTATION_NS).unwrap_or(0) % all.len();
            all.rotate_left(offset);
        }
        let is_near = |peer: &membership::MachineInfo| {
            settings.region_of(&peer.failure_domain) == local_region
        };
        let (near, far) = all.into_iter().partition(is_near);
        Self { near, far }
    }
}

/// Returns the names of the VMs in `all` that hold shares.
pub(crate) fn holders_among(
    all: &[membership::MachineInfo],
    holders: &[id::VmId],
) -> Vec<id::VmId> {
    all.iter().map(|peer| &peer.vm).filter(|vm| holders.contains(vm)).cloned().collect()
}
