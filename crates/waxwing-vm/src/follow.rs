//! Follows the platform's store: configuration, backend servers, and members of the fleet.

use std::sync;
use std::sync::atomic;
use std::time;

use parking_lot::Mutex;
use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_machine::placement;
use waxwing_machine::reader;
use waxwing_machine::roster;
use waxwing_machine::server;
use waxwing_platform::registry;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::copy;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;
use waxwing_zone::flow;

use crate::peers;
use crate::vm;

/// How often the store is asked whether the configuration has changed, as a part of the time in
/// which a change has to be in force.
const CONFIGURATION_PART: u32 = 3;

/// How often backend servers are read, as a part of the time in which a drain has to be known.
const SERVERS_PART: u32 = 3;

/// How long between two questions at most.
const INTERVAL_MAX: time::Duration = time::Duration::from_secs(1);

/// How soon the store is asked again after it did not answer.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How soon a machine asks again that does not read the store for others.
const RETRY_INTERVAL_OTHERS: time::Duration = time::Duration::from_millis(800);

/// How often a machine looks whether it reads the store for others.
const READER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How much more likely a backend server of the own region is a home of an object whose requests
/// have small bodies than one further away.
const NEAR_PULL: u32 = 2;

/// How often members are read.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// How often a registration is renewed, as a part of its lease.
const RENEWAL_PART: u32 = 5;

/// How often shares of contracts and owners of servers are worked out again.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Follows the configuration; never returns.
pub async fn configuration<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    let mut was_answered = true;
    loop {
        let asked_at = clock::now();
        let answered = registry.configuration().await;
        log::debug!("asked for the configuration at {asked_at}: {:?}", answered.as_ref().err());
        vm.counters.count_store_call("configuration", answered.is_ok());
        note_store(&vm, "configuration", &mut was_answered, answered.as_ref().err());
        match answered {
            Ok(news) => put_in_force(&vm, news, asked_at),
            Err(_) => timer::sleep(retry_interval(&vm)).await,
        }
        let known_at = || match vm.wants_table.load(atomic::Ordering::Acquire) {
            true => None,
            false => vm.in_force.lock().confirmed_at,
        };
        own_reading(&vm, configuration_interval(&vm), known_at).await;
    }
}

/// Waits until this machine has to read the store by itself.
async fn own_reading(
    vm: &vm::Vm,
    interval: time::Duration,
    known_at: impl Fn() -> Option<units_time::MonoInstant>,
) {
    loop {
        let left = reader::own_reading_in(clock::now(), known_at(), interval, vm.reads_store());
        if left.is_zero() {
            return;
        }
        timer::sleep(left.min(READER_CHECK_INTERVAL)).await;
    }
}

/// Returns how long until the store is asked again after it did not answer: soon by the machine
/// that reads it for others, which the others then hear from.
fn retry_interval(vm: &vm::Vm) -> time::Duration {
    if vm.reads_store() { RETRY_INTERVAL } else { RETRY_INTERVAL_OTHERS }
}

/// Returns how long until the store is asked for the configuration again.
///
/// Keys need a newer word than the configuration where they have to stop working sooner.
fn configuration_interval(vm: &vm::Vm) -> time::Duration {
    let settings = vm.settings();
    let apply_max = settings.settings.apply_max.duration();
    let withdrawal_max = settings.settings.withdrawal_max.map_or(apply_max, |max| max.duration());
    (apply_max.min(withdrawal_max) / CONFIGURATION_PART).min(INTERVAL_MAX)
}

/// Logs when the store stops or begins again to answer.
fn note_store(vm: &vm::Vm, what: &str, was_answered: &mut bool, error: Option<&registry::Error>) {
    vm.reaches_store.store(error.is_none(), atomic::Ordering::Release);
    match error {
        Some(error) if *was_answered => log::warn!("the store does not tell the {what}: {error}"),
        None if !*was_answered => log::info!("the store tells the {what} again"),
        _ => (),
    }
    *was_answered = error.is_none();
}

/// Puts a newer table in force; an older one changes nothing.
fn put_in_force(vm: &vm::Vm, news: registry::News, asked_at: units_time::MonoInstant) {
    let is_news = {
        let mut in_force = vm.in_force.lock();
        let mut is_news = false;
        if let Some(table) = news.table {
            let version = in_force.table.as_ref().map(|table| table.version());
            if version <= Some(table.version()) {
                log::info!("version {} of the configuration is in force", table.version());
                in_force.table = Some(sync::Arc::new(table));
                is_news = true;
            }
        }
        is_news | in_force.confirm(asked_at, news.evacuated)
    };
    vm.wants_table.store(false, atomic::Ordering::Release);
    if is_news {
        share_out(vm);
    }
}

/// Takes in what another machine knows of the configuration.
///
/// A table that is newer is read from the store; until then nothing is known of its age.
pub fn hear_configuration(
    vm: &vm::Vm,
    known_at: units_time::MonoInstant,
    told: copy::Configuration,
) {
    let mut in_force = vm.in_force.lock();
    let version = in_force.table.as_ref().map(|table| table.version().0);
    if version < Some(told.version) {
        vm.wants_table.store(true, atomic::Ordering::Release);
    } else if version == Some(told.version) {
        in_force.confirm(known_at, told.evacuated);
    }
}

/// What is known of backend servers, for the loops that change it.
pub type Servers = sync::Arc<Mutex<roster::Roster>>;

/// Follows backend servers; never returns.
pub async fn servers<R: registry::Registry>(
    vm: vm::Shared,
    registry: sync::Arc<R>,
    servers: Servers,
) {
    let drain_max = vm.settings().settings.drain_max.duration();
    let interval = (drain_max / SERVERS_PART).min(INTERVAL_MAX);
    let mut was_answered = true;
    loop {
        let asked_at = clock::now();
        let answered = registry.servers().await;
        vm.counters.count_store_call("servers", answered.is_ok());
        note_store(&vm, "backend servers", &mut was_answered, answered.as_ref().err());
        match answered {
            Ok(listed) => {
                vm.note_store_answered();
                hear_servers(&vm, &servers, asked_at, None, listed);
                if vm.reads_store() && servers.lock().failed_at(clock::now()).is_some() {
                    timer::sleep(RETRY_INTERVAL).await;
                    continue;
                }
            }
            Err(_) => {
                servers.lock().store_failed(asked_at);
                vm.copies.note_failed(asked_at);
                vm.note_store_failed();
                timer::sleep(retry_interval(&vm)).await;
            }
        }
        own_reading(&vm, interval, || vm.copies.servers_at()).await;
    }
}

/// Takes in the backend servers that the store listed when it was asked at `known_at`, and when it
/// last did not answer, if another machine has told that.
pub fn hear_servers(
    vm: &vm::Vm,
    servers: &Servers,
    known_at: units_time::MonoInstant,
    failed_at: Option<units_time::MonoInstant>,
    listed: Vec<server::Registered>,
) {
    if !vm.copies.note_servers(known_at, listed.clone()) {
        return;
    }
    if let Some(failed_at) = failed_at {
        vm.copies.note_failed(failed_at);
        servers.lock().note_failed(failed_at);
    }
    take_in(vm, servers, listed);
    refill(vm, servers);
}

/// Takes in the members that the store listed when it was asked at `known_at`.
pub fn hear_members(vm: &vm::Vm, known_at: units_time::MonoInstant, reading: membership::Reading) {
    vm.copies.note_members(known_at, &reading);
    vm.membership.lock().read(reading);
}

/// Takes in what the store lists.
fn take_in(vm: &vm::Vm, servers: &Servers, listed: Vec<server::Registered>) {
    let now = clock::now();
    let mut roster = servers.lock();
    if let Some(failed_at) = roster.failed_at(now)
        && vm.membership.lock().was_store_there(now, failed_at)
    {
        roster.store_was_there();
    }
    roster.read(now, listed);
    vm.has_servers.store(true, atomic::Ordering::Release);
}

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
fn share_out(vm: &vm::Vm) {
    let Some(table) = vm.table() else {
        return;
    };
    let membership = vm.membership.lock();
    vm.contracts.update(&table, &membership, vm.settings().settings.contract_slack);
}

/// Takes in which servers there are, and which of them this machine owns.
fn refill(vm: &vm::Vm, servers: &Servers) {
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
        let known: Vec<&roster::Known> = roster
            .servers()
            .iter()
            .filter(|known| known.registered.service == service.service)
            .collect();
        let pulls =
            flow::pulls(&domains(vm, &known, &in_force.evacuated), &vm.about.failure_domain);
        let pull = |domain: &id::FailureDomainId| placement::Pull {
            light: if settings.region_of(domain) == here { NEAR_PULL } else { 1 },
            bulky: pulls.iter().find(|p| p.failure_domain == *domain).map_or(1, |p| p.per_slot),
        };
        let around = placement::Surroundings {
            evacuated: &in_force.evacuated,
            owns: &owns,
            pull: &pull,
            cold_rate_per_second: service.cold_rate_per_second,
            options,
        };
        vm.pools.update(&service.service, &known, &around);
    }
}

/// Returns all failure domains with their slots for one service, whose servers are `known`.
fn domains(
    vm: &vm::Vm,
    known: &[&roster::Known],
    evacuated: &[id::FailureDomainId],
) -> Vec<flow::Domain> {
    let settings = vm.settings();
    let places = settings.settings.places.iter();
    let takes_requests = |known: &&&roster::Known| {
        known.registered.state == server::State::Ready
            && !evacuated.contains(&known.registered.failure_domain)
    };
    let slots = |domain: &id::FailureDomainId| -> u64 {
        let usable = known.iter().filter(takes_requests);
        let here = usable.filter(|known| known.registered.failure_domain == *domain);
        here.map(|known| u64::from(known.registered.slots)).sum()
    };
    places
        .map(|place| flow::Domain {
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

/// Registers this machine and keeps it registered; never returns.
pub async fn registration<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    let lease = vm.settings().settings.registration_lease.duration();
    loop {
        if vm.stage() != vm::Stage::Serving {
            return;
        }
        let asked_at = clock::now();
        let registered = vm.membership.lock().registration();
        let result = match registered {
            None => registry.register(&vm.about, lease).await.map(|taken| {
                log::info!("this machine is registered since {}", taken.created);
                membership::Registration {
                    created: taken.created,
                    is_admitted: taken.is_admitted,
                    valid_until: asked_at.after(units_time::surely_passed(taken.lease)),
                }
            }),
            Some(mine) => registry.renew().await.map(|lease| membership::Registration {
                valid_until: asked_at.after(units_time::surely_passed(lease)),
                ..mine
            }),
        };
        let is_there =
            !matches!(result, Err(registry::Error::NoAnswer(_) | registry::Error::Refused(_)));
        vm.reaches_store.store(is_there, atomic::Ordering::Release);
        let pause = match result {
            Ok(renewed) => {
                keep_registration(&vm, renewed);
                lease / RENEWAL_PART
            }
            Err(registry::Error::Ended) => {
                log::warn!("the registration has ended");
                vm.membership.lock().set_registration(None);
                RETRY_INTERVAL
            }
            Err(error) => {
                log::info!("the registration could not be renewed: {error}");
                RETRY_INTERVAL
            }
        };
        timer::sleep(pause).await;
    }
}

/// Notes a registration; one that was admitted meanwhile stays so.
fn keep_registration(vm: &vm::Vm, renewed: membership::Registration) {
    let mut membership = vm.membership.lock();
    let was_admitted = membership
        .registration()
        .is_some_and(|mine| mine.is_admitted && mine.created == renewed.created);
    let is_admitted = renewed.is_admitted || was_admitted;
    membership.set_registration(Some(membership::Registration { is_admitted, ..renewed }));
}

/// Follows the members of the fleet; never returns.
pub async fn members<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    let mut was_answered = true;
    loop {
        let asked_at = clock::now();
        let answered = registry.members().await;
        vm.counters.count_store_call("members", answered.is_ok());
        note_store(&vm, "members", &mut was_answered, answered.as_ref().err());
        match answered {
            Ok(reading) => {
                hear_members(&vm, asked_at, reading);
                peers::beat(&vm);
            }
            Err(_) => timer::sleep(retry_interval(&vm)).await,
        }
        own_reading(&vm, members_interval(&vm), || vm.copies.members_at()).await;
    }
}

/// Joins the members that hold shares once all others have read this machine's name; never returns.
pub async fn admission<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    loop {
        timer::sleep(TICK_INTERVAL).await;
        admit(&vm, registry.as_ref()).await;
    }
}

/// Returns how long until the members are read again: shorter while this machine is not admitted.
fn members_interval(vm: &vm::Vm) -> time::Duration {
    let registration = vm.membership.lock().registration();
    match registration.is_some_and(|mine| mine.is_admitted) {
        true => MEMBERS_INTERVAL,
        false => MEMBERS_INTERVAL / 4,
    }
}

async fn admit<R: registry::Registry>(vm: &vm::Vm, registry: &R) {
    if !vm.membership.lock().admit() {
        return;
    }
    log::info!("all members have read this machine's name");
    if let Err(error) = registry.admit(&vm.about).await {
        log::info!("the admission could not be written: {error}");
    }
}
