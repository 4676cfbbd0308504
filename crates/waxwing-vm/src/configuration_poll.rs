//! Polls the platform's store for the configuration, and applies what another VM has read of it.
//!
//! A VM that is not the reader of its region receives the changes of each configuration from the
//! reader. It reads the store itself only while the reader's data is old or can't be applied, and gives
//! that up as soon as the reader's data makes it needless.

use std::pin;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_util::future;
use waxwing_machine::store_reader;
use waxwing_platform::registry;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::replication;
use waxwing_route::changes;
use waxwing_route::staleness;
use waxwing_route::table;
use waxwing_units::time as units_time;

use crate::reconcile;
use crate::store_poll;
use crate::store_replica;
use crate::vm;

/// The number of reads without a confirmation after which they become rarer and a line tells why; the
/// store may lack writes for less time.
const UNCONFIRMED_READS_MAX: u32 = 15;

/// Polls the configuration; never returns.
pub async fn poll_configuration<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    let mut results = ReadResults::default();
    loop {
        let requested_at = clock::now();
        vm.configuration_reads.lock().begin(requested_at);
        let read = read_unless_replicated(&vm, registry.as_ref()).await;
        record_read(&vm, read.as_ref());
        if let Some(result) = read {
            log::debug!(
                "configuration query sent at {requested_at}, error: {:?}",
                result.as_ref().err()
            );
            if result.is_ok() {
                vm.enter_store_era(registry.era());
            }
            let delay = results.apply(&vm, result, requested_at);
            timer::sleep(delay).await;
        }
        let known_at = || match vm.needs_newer_table.load(atomic::Ordering::Acquire) {
            true => None,
            false => vm.active_configuration.lock().confirmed_at,
        };
        store_poll::wait_for_direct_read(&vm, configuration_poll_interval(&vm), known_at).await;
    }
}

/// What the last reads of the store led to.
#[derive(Debug, Default)]
struct ReadResults {
    failures_in_a_row: u32,
    /// The number of reads since the last one that confirmed the configuration.
    unconfirmed_in_a_row: u32,
}

impl ReadResults {
    /// Applies the result of a read, and returns how long the next one has to wait at least.
    fn apply(
        &mut self,
        vm: &vm::Vm,
        result: registry::Result<registry::ConfigurationUpdate>,
        requested_at: units_time::MonoInstant,
    ) -> time::Duration {
        let (what, error) = ("configuration", result.as_ref().err());
        vm.counters.count_store_call(what, error.is_none());
        store_poll::record_store_call(vm, what, &mut self.failures_in_a_row, error);
        let Ok(update) = result else {
            vm.newer_configuration.lock().lose();
            return store_reader::retry_backoff(self.failures_in_a_row, vm.is_store_reader());
        };
        if activate(vm, update, requested_at) {
            self.unconfirmed_in_a_row = 0;
            return time::Duration::ZERO;
        }
        self.unconfirmed_in_a_row = record_unconfirmed(vm, self.unconfirmed_in_a_row);
        unsettled_poll_interval(self.unconfirmed_in_a_row)
    }
}

/// Records how a read ended, of which the choice of the region's reader depends; `None` if it was given
/// up.
fn record_read(vm: &vm::Vm, read: Option<&registry::Result<registry::ConfigurationUpdate>>) {
    let mut reads = vm.configuration_reads.lock();
    match read {
        Some(Ok(_)) => reads.succeed(),
        Some(Err(_)) => reads.fail(clock::now(), false),
        None => reads.fail(clock::now(), true),
    }
}

/// Counts a read that did not confirm the configuration, and logs once why keys may be refused.
fn record_unconfirmed(vm: &vm::Vm, unconfirmed_in_a_row: u32) -> u32 {
    let unconfirmed_in_a_row = unconfirmed_in_a_row.saturating_add(1);
    if unconfirmed_in_a_row == UNCONFIRMED_READS_MAX {
        let active = vm.active_configuration();
        let version = active.table.map(|table| table.version());
        log::warn!(
            "the store holds an older configuration than {version:?} or {:?}, which another machine \
             has; it confirms nothing",
            active.newest_version
        );
    }
    unconfirmed_in_a_row
}

/// Returns how soon the configuration is read again after a read that confirmed nothing.
const fn unsettled_poll_interval(unconfirmed_in_a_row: u32) -> time::Duration {
    match unconfirmed_in_a_row < UNCONFIRMED_READS_MAX {
        true => store_poll::UNSETTLED_POLL_INTERVAL,
        false => store_poll::POLL_INTERVAL_MAX,
    }
}

/// Reads the configuration from the store; `None` if a newer one arrives from another VM first.
async fn read_unless_replicated<R: registry::Registry>(
    vm: &vm::Vm,
    registry: &R,
) -> Option<registry::Result<registry::ConfigurationUpdate>> {
    let replicated = pin::pin!(vm.configuration_replicated.notified());
    let mark = vm.active_configuration.lock().mark.clone();
    registry.adopt(&mark);
    let newer_arrives = || vm.newer_configuration.lock().begin_arrival(clock::now());
    let reading = pin::pin!(registry.configuration(newer_arrives));
    match future::select(reading, replicated).await {
        future::Either::Left((result, _)) => Some(result),
        future::Either::Right(_) => None,
    }
}

/// Returns the interval at which the configuration is read.
///
/// Where withdrawn keys have to stop working sooner than a new configuration has to be in force,
/// the shorter bound decides.
fn configuration_poll_interval(vm: &vm::Vm) -> time::Duration {
    let settings = vm.settings();
    let apply_max = settings.settings.apply_max.duration();
    let withdrawal_max = settings.settings.withdrawal_max.map_or(apply_max, |max| max.duration());
    (apply_max.min(withdrawal_max) / store_reader::READS_PER_BOUND)
        .min(store_poll::POLL_INTERVAL_MAX)
}

/// Puts a newer configuration in force; an older one is ignored.
///
/// Returns whether the store confirmed the configuration: it does not while it may lack writes that
/// a restoration undid.
fn activate(
    vm: &vm::Vm,
    update: registry::ConfigurationUpdate,
    requested_at: units_time::MonoInstant,
) -> bool {
    let has_settled = vm.store_history.lock().unsettled_since(requested_at).is_none();
    let (has_changed, is_confirmed) = {
        let mut active = vm.active_configuration.lock();
        let mut has_changed = false;
        if let Some(table) = update.table {
            let current = active.table.as_deref();
            let is_same = current.is_some_and(|old| old.fingerprint() == table.fingerprint());
            if !is_same && current.map(table::Table::version) <= Some(table.version()) {
                put_in_force(vm, &mut active, table);
                has_changed = true;
            }
        }
        let is_confirmed = has_settled && !active.is_newer_than(update.stored_version);
        has_changed |= match is_confirmed {
            true => active.confirm(requested_at, update.evacuated, Some(update.mark)),
            false => active.add_evacuated(update.evacuated),
        };
        (has_changed, is_confirmed)
    };
    record_newest_in_force(vm);
    if has_changed {
        announce_change(vm);
    }
    is_confirmed
}

fn put_in_force(vm: &vm::Vm, active: &mut vm::ActiveConfiguration, table: table::Table) {
    log::info!("version {} of the configuration is in force", table.version());
    let table = sync::Arc::new(table);
    vm.store_replica.record_table(table.clone());
    active.table = Some(table);
}

/// Records that no newer configuration than the one in force is known.
fn record_newest_in_force(vm: &vm::Vm) {
    vm.needs_newer_table.store(false, atomic::Ordering::Release);
    *vm.newer_configuration.lock() = staleness::NewerConfiguration::default();
}

/// Informs what depends on the configuration in force of a change.
fn announce_change(vm: &vm::Vm) {
    reconcile::update_shares(vm);
    vm.start_progressed.notify_waiters();
}

/// Applies what another VM knows of the configuration.
///
/// Its state confirms the configuration in force here only if both are the same. If its changes can't
/// be applied, the store is read instead.
pub fn apply_peer_configuration(
    vm: &vm::Vm,
    known_at: units_time::MonoInstant,
    peer: replication::Configuration,
) {
    let replicated = peer.changes.and_then(|changes| replicated_table(vm, changes));
    let mut has_changed = false;
    {
        let mut active = vm.active_configuration.lock();
        let version = active.table.as_ref().map(|table| table.version());
        if let Some(table) = replicated.filter(|table| version < Some(table.version())) {
            put_in_force(vm, &mut active, table);
            has_changed = true;
        }
        let current = active.table.as_deref().map(store_replica::identify);
        let peer_version = peer.identity.version;
        if current == Some(peer.identity) {
            if !active.is_newer_than(Some(peer_version)) {
                has_changed |= active.confirm(known_at, peer.evacuated, peer.mark);
                record_newest_in_force(vm);
            }
        } else if current.map(|current| current.version) <= Some(peer_version) {
            vm.newer_configuration.lock().see(clock::now());
            active.newest_version = active.newest_version.max(Some(peer_version));
            vm.needs_newer_table.store(true, atomic::Ordering::Release);
        }
    }
    if has_changed {
        announce_change(vm);
        vm.configuration_replicated.notify_waiters();
    }
}

/// Returns the table that the changes of another VM lead to, if they can be applied here.
fn replicated_table(vm: &vm::Vm, changes: changes::Changes) -> Option<table::Table> {
    match changes.apply(vm.table().as_deref()) {
        Ok(table) => Some(table),
        // The table in force has changed since the query that named it.
        Err(error @ changes::Error::OtherBase { .. }) => {
            log::debug!("changes of the configuration are not applied: {error}");
            None
        }
        Err(error @ changes::Error::OtherResult { .. }) => {
            log::warn!("changes of the configuration can't be applied: {error}");
            None
        }
    }
}
