//! The order of entry VMs for a caller.

use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_record::record;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_units::rendezvous;

/// Where a caller is, as far as the system knows.
#[derive(Debug, Clone, Copy)]
pub struct Origin<'a> {
    /// The failure domain that the caller is nearest to.
    pub failure_domain: &'a id::FailureDomainId,
    /// Tells callers apart, so that they spread over machines that are as near.
    pub caller: &'a str,
}

/// How near a machine is to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameFailureDomain,
    SameRegion,
    OtherRegion,
}

/// Returns the entry VMs that a caller may use, nearest first, `most` at most.
///
/// Machines that leave or are drained are left out. If all are, all reachable ones are named:
/// an answer that may fail is better than none.
pub fn nearest_entry_vms(
    snapshot: &snapshot::Snapshot,
    reachable: &[fleet::ReachableVm],
    origin: Origin<'_>,
    most: usize,
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
    vms.into_iter().take(most).cloned().collect()
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
