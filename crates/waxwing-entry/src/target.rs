//! Where a request is attempted next, and the wait for a slot there.

use std::net;

use waxwing_machine::backend_server;
use waxwing_machine::entry_vm;
use waxwing_process::timer;
use waxwing_request::attempt;
use waxwing_request::outcome;
use waxwing_units::id;

use crate::entry;
use crate::journey;
use crate::places;
use crate::pools;
use crate::refusal;

/// Where a request was attempted already.
#[derive(Debug, Default)]
pub(crate) struct Tried {
    pub(crate) attempts: u32,
    pub(crate) servers: Vec<id::BackendServerId>,
    pub(crate) vms: Vec<id::VmId>,
}

impl Tried {
    pub(crate) fn note(&mut self, target: &Target) {
        self.attempts += 1;
        match target {
            Target::Slot(slot) => self.servers.push(slot.server().backend_server.clone()),
            Target::EntryVm(vm) => self.vms.push(vm.vm.clone()),
        }
    }
}

/// Where a request is attempted.
pub(crate) enum Target {
    /// At a backend server of this machine.
    Slot(pools::Slot),
    /// At another entry VM.
    EntryVm(entry_vm::EntryVm),
}

impl Target {
    pub(crate) const fn address(&self) -> net::SocketAddr {
        match self {
            Self::Slot(slot) => slot.server().address,
            Self::EntryVm(vm) => vm.forward_address,
        }
    }

    /// Returns the name under which the time line shows the target.
    pub(crate) fn name(&self) -> String {
        match self {
            Self::Slot(slot) => slot.server().backend_server.to_string(),
            Self::EntryVm(vm) => vm.vm.to_string(),
        }
    }

    pub(crate) const fn set_ending(&mut self, ending: backend_server::AttemptOutcome) {
        if let Self::Slot(slot) = self {
            slot.set_ending(ending);
        }
    }
}

/// Chooses where the request is attempted next.
pub(crate) async fn choose(
    entry: &entry::Entry,
    journey: &journey::Journey,
    tried: &Tried,
    history: &mut attempt::History,
) -> journey::Result<Target> {
    if journey.is_guest {
        let slot = entry.pools.acquire_guest(&journey.service.service);
        return slot.map(Target::Slot).ok_or(refusal::Refusal::NoSlotToSpare);
    }
    let view = entry.keeper.view();
    let is_usable = entry.pools.is_usable(&journey.service.service);
    let place = match tried.attempts {
        0 => entry.places.first(&view, &journey.service, is_usable),
        _ => entry.places.again(&view, &journey.service, is_usable, &tried.vms),
    };
    match place {
        places::Place::There(vm) => Ok(Target::EntryVm(vm)),
        places::Place::Here => {
            wait_for_slot(entry, journey, &tried.servers, history).await.map(Target::Slot)
        }
        places::Place::Capped if tried.attempts == 0 => Err(refusal::Refusal::ShiftCapped),
        places::Place::None if tried.attempts == 0 => Err(refusal::Refusal::NoBackendServer),
        places::Place::Capped | places::Place::None => Err(no_slot(journey, history)),
    }
}

pub(crate) async fn wait_for_slot(
    entry: &entry::Entry,
    journey: &journey::Journey,
    tried: &[id::BackendServerId],
    history: &mut attempt::History,
) -> journey::Result<pools::Slot> {
    let service = &journey.service.service;
    let flow = &journey.organisation;
    match entry.pools.acquire(service, flow, journey.deadline, tried) {
        pools::Acquired::Slot(slot) => Ok(slot),
        pools::Acquired::QueueFull if tried.is_empty() => Err(refusal::Refusal::QueueFull),
        pools::Acquired::QueueFull => Err(no_slot(journey, history)),
        pools::Acquired::Waits(mut waiting) => {
            let waited = timer::timeout(journey.left(), waiting.slot()).await;
            waited.ok().flatten().ok_or_else(|| no_slot(journey, history))
        }
    }
}

/// Tells the caller that no slot came free in time.
pub(crate) fn no_slot(
    journey: &journey::Journey,
    history: &mut attempt::History,
) -> refusal::Refusal {
    let (state, fault) = (attempt::State::Waiting, attempt::Fault::NoSlot);
    let kept = attempt::Body::Buffered;
    let outcome = match history.decide(state, fault, journey.repeatability, kept) {
        attempt::Action::Fail(outcome) => outcome,
        attempt::Action::Retry { otherwise } => otherwise,
        attempt::Action::AbortResponse => outcome::Outcome::Unknown,
    };
    refusal::Refusal::Failed { state, fault, outcome }
}
