//! Polls the platform's store for the backend servers and the members of the fleet, and decides when
//! this VM reads the store itself.
//!
//! In each region one VM reads the store at short intervals; the others get its results through
//! [`crate::store_replica`] and read the store themselves only when those get old.

use std::sync;
use std::sync::atomic;
use std::time;

use waxwing_machine::membership;
use waxwing_machine::server_registration;
use waxwing_machine::store_reader;
use waxwing_platform::registry;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_units::time as units_time;

use crate::peers;
use crate::reconcile;
use crate::vm;

/// The longest interval between two reads of the configuration or the backend servers.
pub const POLL_INTERVAL_MAX: time::Duration = time::Duration::from_secs(1);

/// How soon the store is read again while it may lack what was written before: after an outage, in
/// which registrations may have expired, and after a restoration.
pub const UNSETTLED_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How often a VM checks whether it has become the reader of its region.
const READER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How often members are read.
const MEMBERS_POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Waits until this VM has to read the store itself; `known_at` is when its present data was read.
pub async fn wait_for_direct_read(
    vm: &vm::Vm,
    interval: time::Duration,
    known_at: impl Fn() -> Option<units_time::MonoInstant>,
) {
    loop {
        let time_left =
            store_reader::direct_read_in(clock::now(), known_at(), interval, vm.is_store_reader());
        if time_left.is_zero() {
            return;
        }
        timer::sleep(time_left.min(READER_CHECK_INTERVAL)).await;
    }
}

/// Records whether a call to the store succeeded, and logs the recovery and, ever more rarely, the
/// failures; `failures_in_a_row` counts those since the last success.
pub fn record_store_call(
    vm: &vm::Vm,
    what: &str,
    failures_in_a_row: &mut u32,
    error: Option<&registry::Error>,
) {
    vm.last_store_call_succeeded.store(error.is_none(), atomic::Ordering::Release);
    match error {
        Some(error) => {
            *failures_in_a_row = failures_in_a_row.saturating_add(1);
            if failures_in_a_row.is_power_of_two() {
                let known = vm.active_configuration().versions();
                log::warn!(
                    "the store does not tell the {what}: {error}; failures in a row: \
                     {failures_in_a_row}; {known}"
                );
            }
        }
        None => {
            if *failures_in_a_row > 0 {
                log::info!("the store tells the {what} again, after {failures_in_a_row} failures");
            }
            *failures_in_a_row = 0;
        }
    }
}

/// Polls the backend servers; never returns.
pub async fn poll_servers<R: registry::Registry>(
    vm: vm::Shared,
    registry: sync::Arc<R>,
    server_set: reconcile::SharedServerSet,
) {
    let drain_max = vm.settings().settings.drain_max.duration();
    let interval = (drain_max / store_reader::READS_PER_BOUND).min(POLL_INTERVAL_MAX);
    let mut failures_in_a_row = 0;
    loop {
        let requested_at = clock::now();
        let result = registry.servers().await;
        vm.counters.count_store_call("servers", result.is_ok());
        record_store_call(&vm, "backend servers", &mut failures_in_a_row, result.as_ref().err());
        match result {
            Ok(listed) => {
                vm.record_store_success();
                vm.enter_store_era(registry.era());
                apply_servers(&vm, &server_set, requested_at, None, listed);
                if vm.is_store_reader() && server_set.lock().is_unsettled(clock::now()) {
                    timer::sleep(UNSETTLED_POLL_INTERVAL).await;
                    continue;
                }
            }
            Err(_) => {
                server_set.lock().record_store_failure(requested_at);
                vm.store_replica.record_failure(requested_at);
                vm.record_store_failure();
                timer::sleep(store_reader::retry_backoff(failures_in_a_row, vm.is_store_reader()))
                    .await;
            }
        }
        wait_for_direct_read(&vm, interval, || vm.store_replica.servers_at()).await;
    }
}

/// Applies the backend servers that the store listed for a query sent at `known_at`. `failed_at` is
/// when the store last failed the VM that read them, if another VM did.
pub fn apply_servers(
    vm: &vm::Vm,
    server_set: &reconcile::SharedServerSet,
    known_at: units_time::MonoInstant,
    failed_at: Option<units_time::MonoInstant>,
    listed: Vec<server_registration::ServerRegistration>,
) {
    if !vm.store_replica.record_servers(known_at, listed.clone()) {
        return;
    }
    if let Some(failed_at) = failed_at {
        vm.store_replica.record_failure(failed_at);
        server_set.lock().record_peer_store_failure(failed_at);
    }
    update_server_set(vm, server_set, listed);
    reconcile::update_pools(vm, server_set);
}

/// Applies the members that the store listed for a query sent at `known_at`.
pub fn apply_members(
    vm: &vm::Vm,
    known_at: units_time::MonoInstant,
    member_list: membership::MemberList,
) {
    vm.enter_store_era(member_list.revision.era());
    vm.store_replica.record_members(known_at, &member_list);
    let lease_max = vm.settings().settings.registration_lease.duration();
    vm.membership.lock().apply_list(clock::now(), lease_max, member_list);
}

/// Applies a list of servers. If another VM could reach the store when it last failed this one, the
/// failure no longer delays the removal of missing servers.
fn update_server_set(
    vm: &vm::Vm,
    server_set: &reconcile::SharedServerSet,
    listed: Vec<server_registration::ServerRegistration>,
) {
    let now = clock::now();
    let mut known_servers = server_set.lock();
    if let Some(failed_at) = known_servers.last_store_failure(now)
        && vm.membership.lock().was_store_reachable(now, failed_at)
    {
        known_servers.clear_store_failure();
    }
    if let Some(restored_at) = vm.store_history.lock().unsettled_since(now) {
        known_servers.record_restoration(restored_at);
    }
    known_servers.apply_list(now, listed);
}

/// Polls the members of the fleet; never returns.
pub async fn poll_members<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    let mut failures_in_a_row = 0;
    loop {
        let requested_at = clock::now();
        let result = registry.members().await;
        vm.counters.count_store_call("members", result.is_ok());
        record_store_call(&vm, "members", &mut failures_in_a_row, result.as_ref().err());
        match result {
            Ok(member_list) => {
                apply_members(&vm, requested_at, member_list);
                peers::send_heartbeats(&vm);
            }
            Err(_) => {
                timer::sleep(store_reader::retry_backoff(failures_in_a_row, vm.is_store_reader()))
                    .await
            }
        }
        // Other VMs learn of a new era from the revision of the member list.
        let known_at = || {
            let newest_era = vm.store_history.lock().era();
            let list_era = vm.membership.lock().revision().era();
            vm.store_replica.members_at().filter(|_| newest_era <= Some(list_era))
        };
        wait_for_direct_read(&vm, members_poll_interval(&vm), known_at).await;
    }
}

/// Returns the interval at which members are read, which is shorter until this VM is admitted.
fn members_poll_interval(vm: &vm::Vm) -> time::Duration {
    let registration = vm.membership.lock().registration();
    match registration.is_some_and(|registration| registration.is_admitted) {
        true => MEMBERS_POLL_INTERVAL,
        false => MEMBERS_POLL_INTERVAL / 4,
    }
}
