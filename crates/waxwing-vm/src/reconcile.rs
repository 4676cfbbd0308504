//! Recomputes, from configuration and membership, this VM's shares of contracts and the weight and
//! owner of each service's backend servers. The owner is the one VM that sends requests to a server
//! while it is cold, that is, able to handle only a few requests per second.

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

use crate::server_events;
use crate::vm;

/// How often contract shares and the owners of servers are recomputed.
const RECONCILE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The slot weight of a failure domain that the settings do not list.
const LEAST_SLOT_WEIGHT: u32 = 1;

/// The known backend servers, shared by the tasks that update them.
pub type SharedServerSet = sync::Arc<Mutex<server_set::ServerSet>>;

/// Recomputes shares, pools and the published readiness at a fixed interval; never returns.
pub async fn run_periodically(vm: vm::Shared, servers: SharedServerSet) {
    loop {
        timer::sleep(RECONCILE_INTERVAL).await;
        vm.published_ready.store(vm.is_ready(), atomic::Ordering::Release);
        update_shares(&vm);
        update_pools(&vm, &servers);
    }
}

/// Recomputes this VM's shares of all contracts.
pub fn update_shares(vm: &vm::Vm) {
    let Some(table) = vm.table() else {
        return;
    };
    let membership = vm.membership.lock();
    vm.contracts.update(&table, &membership, vm.settings().settings.contract_slack);
}

/// Updates the pool of each service with its servers, their weights, and which of them this VM
/// owns.
pub fn update_pools(vm: &vm::Vm, servers: &SharedServerSet) {
    let configuration = vm.active_configuration();
    let Some(table) = configuration.table else {
        return;
    };
    let live: Vec<id::VmId> = {
        let membership = vm.membership.lock();
        let live = membership.reachable(clock::now(), entry_vm::Phase::Live);
        live.into_iter().map(|peer| peer.vm.clone()).chain([vm.info.vm.clone()]).collect()
    };
    let owns = |server: &id::BackendServerId| owner(server, &live) == Some(&vm.info.vm);
    let settings = vm.settings();
    let options = settings.placement();
    let server_set = servers.lock();
    for service in table.services() {
        let known: Vec<&server_set::KnownServer> = server_set
            .servers()
            .iter()
            .filter(|known| known.registration.service == service.service)
            .collect();
        let loads = domain_loads(vm, &known, &configuration.evacuated);
        let own = &vm.info.failure_domain;
        let weights = |preference| locality::domain_weights(&loads, own, preference);
        let small = weights(locality::Preference::Region);
        let large = weights(locality::Preference::FailureDomain);
        let slot_weight = |domain: &id::FailureDomainId| placement::SlotWeight {
            small_bodies: weight_of(&small, domain),
            large_bodies: weight_of(&large, domain),
        };
        let context = placement::Context {
            evacuated: &configuration.evacuated,
            owns: &owns,
            slot_weight: &slot_weight,
            cold_rate_per_second: service.cold_rate_per_second,
            options,
        };
        let transitions = vm.pools.update(&service.service, &known, &context);
        transitions.iter().for_each(|transition| server_events::record(vm, transition));
    }
    let has_read = vm.store_replica.servers_at().is_some();
    if has_read && !vm.has_servers.swap(true, atomic::Ordering::AcqRel) {
        vm.start_progressed.notify_waiters();
    }
}

/// Returns the weight of a failure domain in `weights`; the least one if it is not listed.
fn weight_of(weights: &[locality::DomainWeight], domain: &id::FailureDomainId) -> u32 {
    let found = weights.iter().find(|weight| weight.failure_domain == *domain);
    found.map_or(LEAST_SLOT_WEIGHT, |weight| weight.slot_weight)
}

/// Returns the slots and the demand of all failure domains for one service, whose servers are
/// `known`.
fn domain_loads(
    vm: &vm::Vm,
    known: &[&server_set::KnownServer],
    evacuated: &[id::FailureDomainId],
) -> Vec<locality::DomainLoad> {
    let settings = vm.settings();
    let places = settings.settings.places.iter();
    let accepts_requests = |known: &&&server_set::KnownServer| {
        known.registration.state == server_registration::State::Ready
            && !evacuated.contains(&known.registration.failure_domain)
    };
    let slots = |domain: &id::FailureDomainId| -> u64 {
        let usable = known.iter().filter(accepts_requests);
        let in_domain = usable.filter(|known| known.registration.failure_domain == *domain);
        in_domain.map(|known| u64::from(known.registration.slots)).sum()
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

/// Returns the requests per second that arrive in a failure domain.
fn demand(vm: &vm::Vm, failure_domain: &id::FailureDomainId) -> u64 {
    let now = clock::now();
    let from_peers = vm.membership.lock().requests_per_s(now, failure_domain);
    let local = match *failure_domain == vm.info.failure_domain {
        true => u64::from(vm.arrival_rate.per_s(now)),
        false => 0,
    };
    from_peers + local
}

fn owner<'a>(server: &id::BackendServerId, live: &'a [id::VmId]) -> Option<&'a id::VmId> {
    live.iter().max_by_key(|vm| rendezvous::weight(server.as_str(), vm.as_str()))
}
