//! Order of the entry VMs that a caller is told to use, nearest first.

use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_record::record;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_units::rendezvous;

/// Assumed location of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Origin<'a> {
    /// Failure domain nearest to the caller.
    pub failure_domain: &'a id::FailureDomainId,
    /// Identifies the caller, so that callers spread over equally near machines.
    pub caller: &'a str,
}

/// Distance of a machine from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameFailureDomain,
    SameRegion,
    OtherRegion,
}

/// Returns up to `count_max` entry VMs that a caller may use, nearest first.
///
/// Machines that shut down or are drained are omitted. If that leaves none, all reachable machines
/// are candidates: an address that may fail is better than none.
pub fn nearest_entry_vms(
    snapshot: &snapshot::Snapshot,
    reachable: &[fleet::ReachableVm],
    origin: Origin<'_>,
    count_max: usize,
) -> Vec<entry_vm::EntryVm> {
    let usable = |vm: &&fleet::ReachableVm| is_usable(snapshot, &vm.entry_vm);
    let mut vms: Vec<&entry_vm::EntryVm> =
        reachable.iter().filter(usable).map(|r| &r.entry_vm).collect();
    if vms.is_empty() {
        vms = reachable.iter().map(|r| &r.entry_vm).collect();
    }
    vms.sort_by_key(|vm| {
        let spread = rendezvous::weight(origin.caller, vm.vm.as_str());
        (distance(snapshot, &vm.failure_domain, origin.failure_domain), spread)
    });
    vms.into_iter().take(count_max).cloned().collect()
}

fn is_usable(snapshot: &snapshot::Snapshot, vm: &entry_vm::EntryVm) -> bool {
    let by_vm = record::DrainTarget::EntryVm(vm.vm.clone());
    let by_domain = record::DrainTarget::FailureDomain(vm.failure_domain.clone());
    vm.phase == entry_vm::Phase::Live
        && !snapshot.is_drained(&by_vm)
        && !snapshot.is_drained(&by_domain)
}

fn distance(
    snapshot: &snapshot::Snapshot,
    vm: &id::FailureDomainId,
    origin: &id::FailureDomainId,
) -> Distance {
    let region = snapshot.region_of(vm);
    match vm == origin {
        true => Distance::SameFailureDomain,
        false if region.is_some() && region == snapshot.region_of(origin) => Distance::SameRegion,
        false => Distance::OtherRegion,
    }
}
