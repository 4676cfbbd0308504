//! Watches the platform's store, polls its list of machines, and claims free seats.

use std::sync::atomic;
use std::time;

use waxwing_contract::options;
use waxwing_contract::seat;
use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_platform::http;
use waxwing_platform::store;
use waxwing_platform::store::Store;
use waxwing_platform::vm_list::VmList;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_record::record;
use waxwing_timeline::event;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::keeper;
use crate::records;

/// The number of keepers per failure domain that watch the store; the others get the records from
/// them.
const WATCHERS_PER_FAILURE_DOMAIN: usize = 2;

/// How long one watch call waits for a change.
///
/// This bounds the age of the confirmation that the records are unchanged, which the accepted
/// staleness of keys depends on.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(2);

/// The backoff after a failed call to the store.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How often a keeper that does not watch the store checks whether it has to.
const WATCHER_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The interval between reads of the list of machines.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Watches the store while this keeper is one of the watchers of its failure domain; never returns.
///
/// Every keeper does so at the start, until one round of read and watch succeeds.
pub async fn watch(keeper: &keeper::Keeper, platform: &http::Platform) {
    let mut is_first_read = true;
    loop {
        if !is_first_read && !is_watcher(keeper) {
            timer::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        match read_and_watch(keeper, platform).await {
            Ok(()) => is_first_read = false,
            Err(error) => {
                record_store_state(keeper, false);
                log::debug!("watching the store failed: {error}");
                timer::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn read_and_watch(keeper: &keeper::Keeper, platform: &http::Platform) -> store::Result<()> {
    let read_at = clock::now();
    let listing = platform.list("").await?;
    record_store_state(keeper, true);
    let record_set = records::RecordSet::from_listing(&listing);
    let revision = record_set.revision;
    // Confirmed first, so that what tells others of the records carries the confirmation.
    keeper.records.confirm(revision, read_at);
    keeper.apply_records(record_set, event::Source::Store, read_at);
    confirm_seats(keeper, revision, read_at);
    loop {
        let watched_at = clock::now();
        if platform.watch(revision, WATCH_WAIT).await? > revision {
            return Ok(());
        }
        record_store_state(keeper, true);
        keeper.records.confirm(revision, watched_at);
        if !is_watcher(keeper) || is_unconfirmed(keeper) {
            return Ok(());
        }
    }
}

/// Confirms this machine's seats if a read of the store shows that the current records are the
/// newest, so that a machine whose process stalled may use its seats again.
fn confirm_seats(
    keeper: &keeper::Keeper,
    revision: id::Revision,
    read_at: units_time::MonoInstant,
) {
    let record_set = keeper.records.current();
    if record_set.revision == revision && is_unconfirmed(keeper) {
        keeper.apply_seats(&record_set, read_at);
    }
}

fn is_unconfirmed(keeper: &keeper::Keeper) -> bool {
    keeper.accounts.summaries().iter().any(|summary| summary.is_unconfirmed)
}

/// Returns whether this keeper watches the store: by rendezvous hashing among the reachable
/// machines of its failure domain, or because its seats are unconfirmed.
fn is_watcher(keeper: &keeper::Keeper) -> bool {
    let local_vm = keeper.entry_vm();
    let reachable = keeper.fleet.lock().reachable(clock::now());
    let object = format!("watch/{}", local_vm.failure_domain);
    let weight = |vm: &id::VmId| rendezvous::weight(&object, vm.as_str());
    let local_weight = weight(&local_vm.vm);
    let preferred = reachable
        .iter()
        .map(|reachable| &reachable.entry_vm)
        .filter(|vm| vm.failure_domain == local_vm.failure_domain && vm.vm != local_vm.vm)
        .filter(|vm| weight(&vm.vm) > local_weight)
        .count();
    preferred < WATCHERS_PER_FAILURE_DOMAIN || is_unconfirmed(keeper)
}

fn record_store_state(keeper: &keeper::Keeper, answers: bool) {
    let answered_before = keeper.store_answers.swap(answers, atomic::Ordering::AcqRel);
    match (answered_before, answers) {
        (false, true) => keeper.reporter.report(event::Kind::StoreBack),
        (true, false) => keeper.reporter.report(event::Kind::StoreLost),
        _ => (),
    }
}

/// Polls the list of machines and claims free seats; never returns.
pub async fn poll_vm_list(keeper: &keeper::Keeper, platform: &http::Platform) {
    loop {
        match platform.vms().await {
            Ok(list) => {
                keeper.fleet.lock().set_platform_list(clock::now(), &list);
                claim_seats(keeper, platform).await;
            }
            Err(error) => log::debug!("reading the list of machines failed: {error}"),
        }
        timer::sleep(LIST_INTERVAL).await;
    }
}

/// Claims the free seats that this machine is preferred for, in all failure domains.
async fn claim_seats(keeper: &keeper::Keeper, platform: &http::Platform) {
    let local_vm = keeper.entry_vm();
    if local_vm.phase != entry_vm::Phase::Live {
        return;
    }
    let record_set = keeper.records.current();
    for domain in record_set.snapshot.failure_domains() {
        let candidates = candidates(keeper, &domain);
        let versioned = record_set.seats_of(&domain);
        let free = |vm: &id::VmId| is_free(keeper, vm);
        if let Some(table) = seat::claim(&versioned.table, &local_vm.vm, &candidates, free) {
            write_seats(keeper, platform, versioned.revision, &table).await;
        }
    }
}

/// Returns the machines that may claim seats of a failure domain: the live ones in it, or all live
/// ones if no machine of it is listed or reachable.
fn candidates(keeper: &keeper::Keeper, domain: &id::FailureDomainId) -> Vec<id::VmId> {
    let now = clock::now();
    let local_vm = keeper.entry_vm();
    let fleet = keeper.fleet.lock();
    let has_machines = fleet.members().iter().any(|member| {
        member.entry_vm.failure_domain == *domain && (member.is_listed || member.is_reachable(now))
    });
    let mut candidates: Vec<id::VmId> = fleet
        .reachable(now)
        .into_iter()
        .map(|reachable| reachable.entry_vm)
        .chain([local_vm])
        .filter(|vm| vm.phase == entry_vm::Phase::Live)
        .filter(|vm| !has_machines || vm.failure_domain == *domain)
        .map(|vm| vm.vm)
        .collect();
    candidates.sort();
    candidates.dedup();
    candidates
}

/// Returns whether the seats of `vm` may be taken over; never those of this machine itself.
fn is_free(keeper: &keeper::Keeper, vm: &id::VmId) -> bool {
    if *vm == keeper.local_peer.vm {
        return false;
    }
    let fleet = keeper.fleet.lock();
    let liveness = match fleet.member(vm) {
        Some(fleet::Member { last_heard_at, is_listed, .. }) => {
            seat::Liveness { last_contact_at: *last_heard_at, is_listed: *is_listed }
        }
        None => seat::Liveness { last_contact_at: keeper.started_at, is_listed: false },
    };
    seat::may_take_over(&options::Options::default(), clock::now(), &liveness)
}

async fn write_seats(
    keeper: &keeper::Keeper,
    platform: &http::Platform,
    expected: id::Revision,
    table: &seat::SeatTable,
) {
    let key = format!("{}{}", store::SEATS_PREFIX, table.failure_domain);
    let Ok(value) = serde_json::to_value(table) else {
        return;
    };
    let write = store::Write { key, value: Some(value), expected };
    match platform.write(&write).await {
        Ok(store::WriteOutcome::At(_)) => {
            let seats =
                table.holders.iter().flatten().filter(|vm| **vm == keeper.local_peer.vm).count();
            let failure_domain = table.failure_domain.clone();
            keeper.reporter.report(match seats {
                0 => event::Kind::SeatsGivenUp { failure_domain },
                _ => event::Kind::SeatsTaken { failure_domain, seats },
            });
        }
        Ok(store::WriteOutcome::Conflict { .. }) => {
            log::debug!("another machine changed the seat table of {} first", table.failure_domain);
        }
        Err(error) => log::debug!("writing a seat table failed: {error}"),
    }
}

/// Returns the machines that this machine's seats of a failure domain pass to when it leaves.
///
/// Only machines of that failure domain are eligible: a floor part, which is reserved for one
/// failure domain, is of no use elsewhere while that failure domain is partitioned from the others.
fn successors(keeper: &keeper::Keeper, domain: &id::FailureDomainId) -> Vec<id::VmId> {
    let reachable = keeper.fleet.lock().reachable(clock::now());
    reachable
        .into_iter()
        .map(|reachable| reachable.entry_vm)
        .filter(|vm| vm.phase == entry_vm::Phase::Live && vm.failure_domain == *domain)
        .filter(|vm| vm.vm != keeper.local_peer.vm)
        .map(|vm| vm.vm)
        .collect()
}

/// Releases all seats of this machine: it first stops using their parts, then writes the tables.
pub async fn release_seats(keeper: &keeper::Keeper, platform: &http::Platform) {
    keeper.accounts.release_seats();
    let record_set = keeper.records.current();
    for versioned in &record_set.seats {
        let successors = successors(keeper, &versioned.table.failure_domain);
        if let Some(table) = seat::release(&versioned.table, &keeper.local_peer.vm, &successors) {
            write_seats(keeper, platform, versioned.revision, &table).await;
        }
    }
}

/// Returns whether an operator has drained this machine or its failure domain.
pub fn is_drained(keeper: &keeper::Keeper) -> bool {
    let local_vm = keeper.entry_vm();
    let record_set = keeper.records.current();
    record_set.snapshot.is_drained(&record::DrainTarget::EntryVm(local_vm.vm))
        || record_set
            .snapshot
            .is_drained(&record::DrainTarget::FailureDomain(local_vm.failure_domain))
}
