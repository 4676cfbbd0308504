//! Selects the backend server or entry VM for the next attempt and waits for a free slot.

use std::net;

use waxwing_machine::backend_server;
use waxwing_machine::entry_vm;
use waxwing_request::attempt;
use waxwing_request::outcome;
use waxwing_units::id;

use crate::entry;
use crate::failover;
use crate::refusal;
use crate::request_admission;
use crate::service_pools;
use crate::upstream;

/// The targets of a request's attempts so far.
#[derive(Debug, Default)]
pub(crate) struct PriorAttempts {
    /// The number of attempts at servers and entry VMs together.
    pub(crate) attempts: u32,
    pub(crate) servers: Vec<id::BackendServerId>,
    pub(crate) vms: Vec<id::VmId>,
}

impl PriorAttempts {
    pub(crate) fn record(&mut self, target: &Target) {
        self.attempts += 1;
        match target {
            Target::Slot(slot) => self.servers.push(slot.server().backend_server.clone()),
            Target::EntryVm(vm) => self.vms.push(vm.vm.clone()),
        }
    }
}

/// The recipient of one attempt.
pub(crate) enum Target {
    /// A backend server of this machine, at which a slot is taken.
    Slot(service_pools::Slot),
    /// Another entry VM, which forwards the request to one of its backend servers.
    EntryVm(entry_vm::EntryVm),
}

impl Target {
    pub(crate) const fn address(&self) -> net::SocketAddr {
        match self {
            Self::Slot(slot) => slot.server().address,
            Self::EntryVm(vm) => vm.forward_address,
        }
    }

    pub(crate) const fn recipient(&self) -> upstream::Recipient {
        match self {
            Self::Slot(_) => upstream::Recipient::BackendServer,
            Self::EntryVm(_) => upstream::Recipient::EntryVm,
        }
    }

    /// Returns the name of the target for events.
    pub(crate) fn name(&self) -> String {
        match self {
            Self::Slot(slot) => slot.server().backend_server.to_string(),
            Self::EntryVm(vm) => vm.vm.to_string(),
        }
    }

    /// Records how the attempt ended; other entry VMs have no health state here.
    pub(crate) const fn set_outcome(&mut self, attempt_outcome: backend_server::AttemptOutcome) {
        if let Self::Slot(slot) = self {
            slot.set_outcome(attempt_outcome);
        }
    }
}

/// Selects the target of the next attempt, unless the process may end before the attempt does.
pub(crate) async fn choose(
    entry: &entry::Entry,
    admitted: &request_admission::AdmittedRequest,
    prior: &PriorAttempts,
    history: &mut attempt::History,
) -> request_admission::Result<Target> {
    if !admitted.allows_attempt(entry) {
        return Err(shutting_down(history));
    }
    let target = select(entry, admitted, prior, history).await?;
    // The shutdown may have begun while the request waited for a slot.
    match admitted.allows_attempt(entry) {
        true => Ok(target),
        false => Err(shutting_down(history)),
    }
}

/// Selects the target of the next attempt.
///
/// A request that another entry VM forwarded gets a spare slot of this machine or none.
async fn select(
    entry: &entry::Entry,
    admitted: &request_admission::AdmittedRequest,
    prior: &PriorAttempts,
    history: &mut attempt::History,
) -> request_admission::Result<Target> {
    if admitted.is_forwarded {
        let slot = entry.pools.acquire_forwarded(&admitted.service.service);
        return slot.map(Target::Slot).ok_or_else(|| match prior.attempts {
            0 => refusal::Refusal::NoSpareSlot,
            _ => no_slot(admitted, history),
        });
    }
    let view = entry.keeper.view();
    let is_local_usable = entry.pools.is_usable(&admitted.service.service);
    let destination = match prior.attempts {
        0 => entry.failover.first_destination(&view, &admitted.service, is_local_usable),
        _ => {
            entry.failover.retry_destination(&view, &admitted.service, is_local_usable, &prior.vms)
        }
    };
    match destination {
        failover::Destination::EntryVm(vm) => Ok(Target::EntryVm(vm)),
        failover::Destination::Local => {
            wait_for_slot(entry, admitted, prior, history).await.map(Target::Slot)
        }
        failover::Destination::ShiftCapped if prior.attempts == 0 => {
            Err(refusal::Refusal::ShiftCapped)
        }
        failover::Destination::None if prior.attempts == 0 => {
            Err(refusal::Refusal::NoBackendServer)
        }
        failover::Destination::ShiftCapped | failover::Destination::None => {
            Err(no_slot(admitted, history))
        }
    }
}

/// Takes a slot at a backend server of this machine, queueing for it until the deadline.
pub(crate) async fn wait_for_slot(
    entry: &entry::Entry,
    admitted: &request_admission::AdmittedRequest,
    prior: &PriorAttempts,
    history: &mut attempt::History,
) -> request_admission::Result<service_pools::Slot> {
    let service = &admitted.service.service;
    let flow = &admitted.organisation;
    match entry.pools.acquire(service, flow, admitted.deadline, &prior.servers) {
        service_pools::Acquired::Slot(slot) => Ok(slot),
        service_pools::Acquired::QueueFull if prior.attempts == 0 => {
            Err(refusal::Refusal::QueueFull)
        }
        service_pools::Acquired::QueueFull => Err(no_slot(admitted, history)),
        service_pools::Acquired::Queued(mut queued) => {
            let request = admitted.shutdown_request();
            let waited = entry.shutdown.timeout_before_attempt(&request, queued.slot()).await;
            waited.ok().flatten().ok_or_else(|| match entry.shutdown.allows_attempt(&request) {
                true => no_slot(admitted, history),
                false => shutting_down(history),
            })
        }
    }
}

/// Returns the refusal where the process may end before an attempt does. Its outcome includes
/// earlier attempts, which may have run the request.
const fn shutting_down(history: &attempt::History) -> refusal::Refusal {
    match history.may_have_run() {
        true => refusal::Refusal::Failed {
            state: attempt::State::Waiting,
            fault: attempt::Fault::DeadlineExceeded,
            outcome: outcome::Outcome::Unknown,
        },
        false => refusal::Refusal::ShuttingDown,
    }
}

/// Returns the refusal where no slot was released in time. Its outcome includes earlier attempts,
/// which may have run the request.
pub(crate) fn no_slot(
    admitted: &request_admission::AdmittedRequest,
    history: &mut attempt::History,
) -> refusal::Refusal {
    let (state, fault) = (attempt::State::Waiting, attempt::Fault::NoSlot);
    let body_kind = attempt::Body::Buffered;
    let outcome = match history.decide(state, fault, admitted.repeatability, body_kind) {
        attempt::Action::Fail(outcome) => outcome,
        attempt::Action::Retry { otherwise } => otherwise,
        attempt::Action::AbortResponse => outcome::Outcome::Unknown,
    };
    refusal::Refusal::Failed { state, fault, outcome }
}
