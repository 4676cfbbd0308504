//! Follows the platform's store: configuration, backend servers, and members of the fleet.

use std::sync;
use std::sync::atomic;
use std::time;

use waxwing_machine::membership;
use waxwing_machine::server_registration;
use waxwing_machine::store_reader;
use waxwing_platform::registry;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::replication;
use waxwing_units::time as units_time;

use crate::peers;
use crate::reconcile;
use crate::vm;

/// How long between two questions at most.
const INTERVAL_MAX: time::Duration = time::Duration::from_secs(1);

/// How soon backend servers are read again while those that are missing may yet register.
const UNSETTLED_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How often a machine looks whether it reads the store for others.
const READER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How often members are read.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Follows the configuration; never returns.
pub async fn configuration<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    let mut failed = 0;
    loop {
        let asked_at = clock::now();
        let answered = registry.configuration().await;
        log::debug!("asked for the configuration at {asked_at}: {:?}", answered.as_ref().err());
        vm.counters.count_store_call("configuration", answered.is_ok());
        note_store(&vm, "configuration", &mut failed, answered.as_ref().err());
        match answered {
            Ok(news) => put_in_force(&vm, news, asked_at),
            Err(_) => timer::sleep(store_reader::retry_backoff(failed, vm.reads_store())).await,
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
        let left =
            store_reader::direct_read_in(clock::now(), known_at(), interval, vm.reads_store());
        if left.is_zero() {
            return;
        }
        timer::sleep(left.min(READER_CHECK_INTERVAL)).await;
    }
}

/// Returns how long until the store is asked for the configuration again.
///
/// Keys need a newer word than the configuration where they have to stop working sooner.
fn configuration_interval(vm: &vm::Vm) -> time::Duration {
    let settings = vm.settings();
    let apply_max = settings.settings.apply_max.duration();
    let withdrawal_max = settings.settings.withdrawal_max.map_or(apply_max, |max| max.duration());
    (apply_max.min(withdrawal_max) / store_reader::READS_PER_BOUND).min(INTERVAL_MAX)
}

/// Notes whether the store answered, and logs when it stops or begins again to; `failed` counts the
/// calls in a row that it did not answer.
fn note_store(vm: &vm::Vm, what: &str, failed: &mut u32, error: Option<&registry::Error>) {
    vm.reaches_store.store(error.is_none(), atomic::Ordering::Release);
    match error {
        Some(error) if *failed == 0 => log::warn!("the store does not tell the {what}: {error}"),
        None if *failed > 0 => log::info!("the store tells the {what} again"),
        _ => (),
    }
    *failed = if error.is_none() { 0 } else { failed.saturating_add(1) };
}

/// Puts a newer table in force; an older one changes nothing.
fn put_in_force(
    vm: &vm::Vm,
    news: registry::ConfigurationUpdate,
    asked_at: units_time::MonoInstant,
) {
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
        reconcile::share_out(vm);
    }
}

/// Takes in what another machine knows of the configuration.
///
/// A table that is newer is read from the store; until then nothing is known of its age.
pub fn hear_configuration(
    vm: &vm::Vm,
    known_at: units_time::MonoInstant,
    told: replication::Configuration,
) {
    let mut in_force = vm.in_force.lock();
    let version = in_force.table.as_ref().map(|table| table.version().0);
    if version < Some(told.version) {
        vm.wants_table.store(true, atomic::Ordering::Release);
    } else if version == Some(told.version) {
        in_force.confirm(known_at, told.evacuated);
    }
}

/// Follows backend servers; never returns.
pub async fn servers<R: registry::Registry>(
    vm: vm::Shared,
    registry: sync::Arc<R>,
    servers: reconcile::Servers,
) {
    let drain_max = vm.settings().settings.drain_max.duration();
    let interval = (drain_max / store_reader::READS_PER_BOUND).min(INTERVAL_MAX);
    let mut failed = 0;
    loop {
        let asked_at = clock::now();
        let answered = registry.servers().await;
        vm.counters.count_store_call("servers", answered.is_ok());
        note_store(&vm, "backend servers", &mut failed, answered.as_ref().err());
        match answered {
            Ok(listed) => {
                vm.note_store_answered();
                hear_servers(&vm, &servers, asked_at, None, listed);
                if vm.reads_store() && servers.lock().last_store_failure(clock::now()).is_some() {
                    timer::sleep(UNSETTLED_INTERVAL).await;
                    continue;
                }
            }
            Err(_) => {
                servers.lock().record_store_failure(asked_at);
                vm.copies.note_failed(asked_at);
                vm.note_store_failed();
                timer::sleep(store_reader::retry_backoff(failed, vm.reads_store())).await;
            }
        }
        own_reading(&vm, interval, || vm.copies.servers_at()).await;
    }
}

/// Takes in the backend servers that the store listed when it was asked at `known_at`, and when it
/// last did not answer, if another machine has told that.
pub fn hear_servers(
    vm: &vm::Vm,
    servers: &reconcile::Servers,
    known_at: units_time::MonoInstant,
    failed_at: Option<units_time::MonoInstant>,
    listed: Vec<server_registration::ServerRegistration>,
) {
    if !vm.copies.note_servers(known_at, listed.clone()) {
        return;
    }
    if let Some(failed_at) = failed_at {
        vm.copies.note_failed(failed_at);
        servers.lock().record_peer_store_failure(failed_at);
    }
    take_in(vm, servers, listed);
    reconcile::refill(vm, servers);
}

/// Takes in the members that the store listed when it was asked at `known_at`.
pub fn hear_members(
    vm: &vm::Vm,
    known_at: units_time::MonoInstant,
    reading: membership::MemberList,
) {
    vm.copies.note_members(known_at, &reading);
    vm.membership.lock().apply_list(reading);
}

/// Takes in what the store lists.
fn take_in(
    vm: &vm::Vm,
    servers: &reconcile::Servers,
    listed: Vec<server_registration::ServerRegistration>,
) {
    let now = clock::now();
    let mut roster = servers.lock();
    if let Some(failed_at) = roster.last_store_failure(now)
        && vm.membership.lock().was_store_reachable(now, failed_at)
    {
        roster.clear_store_failure();
    }
    roster.apply_list(now, listed);
    vm.has_servers.store(true, atomic::Ordering::Release);
}

/// Follows the members of the fleet; never returns.
pub async fn members<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    let mut failed = 0;
    loop {
        let asked_at = clock::now();
        let answered = registry.members().await;
        vm.counters.count_store_call("members", answered.is_ok());
        note_store(&vm, "members", &mut failed, answered.as_ref().err());
        match answered {
            Ok(reading) => {
                hear_members(&vm, asked_at, reading);
                peers::beat(&vm);
            }
            Err(_) => timer::sleep(store_reader::retry_backoff(failed, vm.reads_store())).await,
        }
        own_reading(&vm, members_interval(&vm), || vm.copies.members_at()).await;
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
