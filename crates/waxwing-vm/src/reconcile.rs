//! Shares out what is known: this machine's shares of contracts, and the backend servers of each
//! service with their pull.

use std::sync;
use std::sync::atomic;
use std::time;

use parking_lot::Mutex;
use waxwing_machine::entry_vm;
use waxwing_machine::placement;
use waxwing_machine::server_registration;
use waxwing_machine::server_set;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_zone::locality;

use crate::vm;

/// How often shares of contracts and owners of servers are worked out again.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How much more likely a backend server of the own region is a home of an object whose requests
/// have small bodies than one further away.
const NEAR_PULL: u32 = 2;

/// What is known of backend servers, for the loops that change it.
pub type Servers = sync::Arc<Mutex<server_set::ServerSet>>;

/// Works out shares of contracts and owners of servers again; never returns.
pub async fn tick(vm: vm::Shared, servers: Servers) {
    loop {
        timer::sleep(TICK_INTERVAL).await;
        vm.shown_ready.store(vm.is_ready(), atomic::Ordering::Release);
        share_out(&vm);
        refill(&vm, &servers);
    }
}

/// Works out this machine's shares of all contracts.
pub fn share_out(vm: &vm::Vm) {
    let Some(table) = vm.table() else {
        return;
    };
    let membership = vm.membership.lock();
    vm.contracts.update(&table, &membership, vm.settings().settings.contract_slack);
}

/// Takes in which servers there are, and which of them this machine owns.
pub fn refill(vm: &vm::Vm, servers: &Servers) {
    let in_force = vm.in_force();
    let Some(table) = in_force.table else {
        return;
    };
    let live: Vec<id::VmId> = {
        let membership = vm.membership.lock();
        let live = membership.reachable(clock::now(), entry_vm::Phase::Live);
        live.into_iter().map(|about| about.vm.clone()).chain([vm.about.vm.clone()]).collect()
    };
    let owns = |server: &id::BackendServerId| owner(server, &live) == Some(&vm.about.vm);
    let settings = vm.settings();
    let (options, here) = (settings.placement(), settings.region_of(&vm.about.failure_domain));
    let roster = servers.lock();
    for service in table.services() {
        let known: Vec<&server_set::KnownServer> = roster
            .servers()
            .iter()
            .filter(|known| known.registration.service == service.service)
            .collect();
        let pulls = locality::domain_weights(
            &domains(vm, &known, &in_force.evacuated),
            &vm.about.failure_domain,
        );
        let pull = |domain: &id::FailureDomainId| placement::SlotWeight {
            small_bodies: if settings.region_of(domain) == here { NEAR_PULL } else { 1 },
            large_bodies: pulls
                .iter()
                .find(|p| p.failure_domain == *domain)
                .map_or(1, |p| p.slot_weight),
        };
        let around = placement::Context {
            evacuated: &in_force.evacuated,
            owns: &owns,
            slot_weight: &pull,
            cold_rate_per_second: service.cold_rate_per_second,
            options,
        };
        vm.pools.update(&service.service, &known, &around);
    }
}

/// Returns all failure domains with their slots for one service, whose servers are `known`.
fn domains(
    vm: &vm::Vm,
    known: &[&server_set::KnownServer],
    evacuated: &[id::FailureDomainId],
) -> Vec<locality::DomainLoad> {
    let settings = vm.settings();
    let places = settings.settings.places.iter();
    let takes_requests = |known: &&&server_set::KnownServer| {
        known.registration.state == server_registration::State::Ready
            && !evacuated.contains(&known.registration.failure_domain)
    };
    let slots = |domain: &id::FailureDomainId| -> u64 {
        let usable = known.iter().filter(takes_requests);
        let here = usable.filter(|known| known.registration.failure_domain == *domain);
        here.map(|known| u64::from(known.registration.slots)).sum()
    };
    places
        .map(|place| locality::DomainLoad {
            failure_domain: place.failure_domain.clone(),
            region: place.region.clone(),
            slots: slots(&place.failure_domain),
            demand: demand(vm, &place.failure_domain),
        })
        .collect()
}

/// Returns the requests that come to a failure domain each second.
fn demand(vm: &vm::Vm, failure_domain: &id::FailureDomainId) -> u64 {
    let now = clock::now();
    let others = vm.membership.lock().requests_per_s(now, failure_domain);
    let mine = match *failure_domain == vm.about.failure_domain {
        true => u64::from(vm.arrivals.per_s(now)),
        false => 0,
    };
    others + mine
}

fn owner<'a>(server: &id::BackendServerId, live: &'a [id::VmId]) -> Option<&'a id::VmId> {
    live.iter().max_by_key(|vm| rendezvous::weight(server.as_str(), vm.as_str()))
}
