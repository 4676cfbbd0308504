//! Watches the platform's store and list of machines, and takes free seats.

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

/// Keepers of each failure domain that watch the store.
const WATCHERS_PER_FAILURE_DOMAIN: usize = 2;

/// How long one watch waits for news.
///
/// It bounds the age of the news that nothing has changed, which keys may depend on.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(2);

/// How long to wait before the store is called again after it failed.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How often a keeper looks whether it has to watch.
const DUTY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// How often the list of machines is read.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Watches the store while it is this keeper's turn; never returns.
pub async fn watch(keeper: &keeper::Keeper, platform: &http::Platform) {
    let mut first = true;
    loop {
        if !first && !is_watcher(keeper) {
            timer::sleep(DUTY_INTERVAL).await;
            continue;
        }
        match read_and_wait(keeper, platform).await {
            Ok(()) => first = false,
            Err(error) => {
                note_store(keeper, false);
                log::debug!("the store could not be watched: {error}");
                timer::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn read_and_wait(keeper: &keeper::Keeper, platform: &http::Platform) -> store::Result<()> {
    let read_at = clock::now();
    let listing = platform.list("").await?;
    note_store(keeper, true);
    let agreed = records::Agreed::read(&listing);
    let revision = agreed.revision;
    keeper.put_in_force(agreed, event::Source::Store, read_at);
    keeper.records.confirm(revision, read_at);
    confirm_seats(keeper, revision, read_at);
    loop {
        let asked_at = clock::now();
        if platform.watch(revision, WATCH_WAIT).await? > revision {
            return Ok(());
        }
        note_store(keeper, true);
        keeper.records.confirm(revision, asked_at);
        if !is_watcher(keeper) || is_unconfirmed(keeper) {
            return Ok(());
        }
    }
}

/// Shows the seats again where the store says what is in force here already, so that a machine
/// that stood still may go on.
fn confirm_seats(
    keeper: &keeper::Keeper,
    revision: id::Revision,
    read_at: units_time::MonoInstant,
) {
    let agreed = keeper.records.get();
    if agreed.revision == revision && is_unconfirmed(keeper) {
        keeper.show_seats(&agreed, read_at);
    }
}

fn is_unconfirmed(keeper: &keeper::Keeper) -> bool {
    keeper.accounts.summaries().iter().any(|summary| summary.is_unconfirmed)
}

/// Tells whether it is this keeper's turn to watch the store.
fn is_watcher(keeper: &keeper::Keeper) -> bool {
    let me = keeper.entry_vm();
    let reachable = keeper.fleet.lock().reachable(clock::now());
    let duty = format!("watch/{}", me.failure_domain);
    let weight = |vm: &id::VmId| rendezvous::weight(&duty, vm.as_str());
    let mine = weight(&me.vm);
    let ahead = reachable
        .iter()
        .map(|reachable| &reachable.entry_vm)
        .filter(|vm| vm.failure_domain == me.failure_domain && vm.vm != me.vm)
        .filter(|vm| weight(&vm.vm) > mine)
        .count();
    ahead < WATCHERS_PER_FAILURE_DOMAIN || is_unconfirmed(keeper)
}

fn note_store(keeper: &keeper::Keeper, answers: bool) {
    let answered = keeper.store_answers.swap(answers, atomic::Ordering::AcqRel);
    match (answered, answers) {
        (false, true) => keeper.reporter.report(event::What::StoreBack),
        (true, false) => keeper.reporter.report(event::What::StoreLost),
        _ => (),
    }
}

/// Reads the list of machines and takes free seats; never returns.
pub async fn follow_list(keeper: &keeper::Keeper, platform: &http::Platform) {
    loop {
        match platform.vms().await {
            Ok(list) => {
                keeper.fleet.lock().set_platform_list(clock::now(), &list);
                take_seats(keeper, platform).await;
            }
            Err(error) => log::debug!("the list of machines could not be read: {error}"),
        }
        timer::sleep(LIST_INTERVAL).await;
    }
}

/// Takes the seats that are free and that this machine is preferred for.
async fn take_seats(keeper: &keeper::Keeper, platform: &http::Platform) {
    let me = keeper.entry_vm();
    if me.phase != entry_vm::Phase::Live {
        return;
    }
    let agreed = keeper.records.get();
    for domain in agreed.snapshot.failure_domains() {
        let candidates = candidates(keeper, &domain);
        let at = agreed.seats_of(&domain);
        let free = |vm: &id::VmId| is_free(keeper, vm);
        if let Some(table) = seat::claim(&at.table, &me.vm, &candidates, free) {
            write_seats(keeper, platform, at.revision, &table).await;
        }
    }
}

/// Returns the machines among which the seats of a failure domain are shared out: those in it,
/// or all machines where the list names none in it.
fn candidates(keeper: &keeper::Keeper, domain: &id::FailureDomainId) -> Vec<id::VmId> {
    let now = clock::now();
    let me = keeper.entry_vm();
    let fleet = keeper.fleet.lock();
    let has_machines = fleet.members().iter().any(|member| {
        member.entry_vm.failure_domain == *domain && (member.is_listed || member.is_reachable(now))
    });
    let mut candidates: Vec<id::VmId> = fleet
        .reachable(now)
        .into_iter()
        .map(|reachable| reachable.entry_vm)
        .chain([me])
        .filter(|vm| vm.phase == entry_vm::Phase::Live)
        .filter(|vm| !has_machines || vm.failure_domain == *domain)
        .map(|vm| vm.vm)
        .collect();
    candidates.sort();
    candidates.dedup();
    candidates
}

fn is_free(keeper: &keeper::Keeper, vm: &id::VmId) -> bool {
    if *vm == keeper.me.vm {
        return false;
    }
    let fleet = keeper.fleet.lock();
    let sighting = match fleet.member(vm) {
        Some(fleet::Member { last_heard_at, is_listed, .. }) => {
            seat::Liveness { last_contact_at: *last_heard_at, is_listed: *is_listed }
        }
        None => seat::Liveness { last_contact_at: keeper.started_at, is_listed: false },
    };
    seat::may_take_over(&options::Options::default(), clock::now(), &sighting)
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
            let seats = table.holders.iter().flatten().filter(|vm| **vm == keeper.me.vm).count();
            let failure_domain = table.failure_domain.clone();
            keeper.reporter.report(match seats {
                0 => event::What::SeatsGivenUp { failure_domain },
                _ => event::What::SeatsTaken { failure_domain, seats },
            });
        }
        Ok(store::WriteOutcome::Conflict { .. }) => {
            log::debug!("another machine changed the seats of {}", table.failure_domain);
        }
        Err(error) => log::debug!("the seats could not be written: {error}"),
    }
}

/// Returns the machines that the seats of a failure domain go to when this machine leaves.
///
/// Only machines of that failure domain are heirs: a floor part that is held elsewhere is of no
/// use when the failure domain is cut off.
fn heirs(keeper: &keeper::Keeper, domain: &id::FailureDomainId) -> Vec<id::VmId> {
    let reachable = keeper.fleet.lock().reachable(clock::now());
    reachable
        .into_iter()
        .map(|reachable| reachable.entry_vm)
        .filter(|vm| vm.phase == entry_vm::Phase::Live && vm.failure_domain == *domain)
        .filter(|vm| vm.vm != keeper.me.vm)
        .map(|vm| vm.vm)
        .collect()
}

/// Gives up all seats of this machine: first the parts, then the records.
pub async fn give_up_seats(keeper: &keeper::Keeper, platform: &http::Platform) {
    keeper.accounts.release_seats();
    let agreed = keeper.records.get();
    for at in &agreed.seats {
        let heirs = heirs(keeper, &at.table.failure_domain);
        if let Some(table) = seat::release(&at.table, &keeper.me.vm, &heirs) {
            write_seats(keeper, platform, at.revision, &table).await;
        }
    }
}

/// Tells whether an operator drains this machine or its failure domain.
pub fn is_drained(keeper: &keeper::Keeper) -> bool {
    let me = keeper.entry_vm();
    let agreed = keeper.records.get();
    agreed.snapshot.is_drained(&record::DrainTarget::EntryVm(me.vm))
        || agreed.snapshot.is_drained(&record::DrainTarget::FailureDomain(me.failure_domain))
}
