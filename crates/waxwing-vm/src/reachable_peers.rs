//! The machines that may be asked for tokens.

use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::vm;

/// How long the holders are asked in the same order, in nanoseconds.
const TURN_NS: u64 = 10_000_000;

/// The machines that may be asked, in turns.
pub(crate) struct Reachable {
    pub(crate) near: Vec<membership::MachineInfo>,
    pub(crate) far: Vec<membership::MachineInfo>,
}

impl Reachable {
    /// Returns those that are heard, near ones apart.
    pub(crate) fn of(vm: &vm::Vm, now: units_time::MonoInstant) -> Self {
        let settings = vm.settings();
        let here = settings.region_of(&vm.about.failure_domain);
        let mut all: Vec<membership::MachineInfo> = {
            let membership = vm.membership.lock();
            membership.reachable(now, entry_vm::Phase::Live).into_iter().cloned().collect()
        };
        if !all.is_empty() {
            let turn = usize::try_from(now.0 / TURN_NS).unwrap_or(0) % all.len();
            all.rotate_left(turn);
        }
        let is_near =
            |about: &membership::MachineInfo| settings.region_of(&about.failure_domain) == here;
        let (near, far) = all.into_iter().partition(is_near);
        Self { near, far }
    }
}

/// Returns the names of those among `all` that hold shares.
pub(crate) fn names_among(all: &[membership::MachineInfo], holders: &[id::VmId]) -> Vec<id::VmId> {
    all.iter().map(|about| &about.vm).filter(|vm| holders.contains(vm)).cloned().collect()
}
