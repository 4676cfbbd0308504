//! Slots are handed to waiting requests and never lost.

use std::sync;
use std::time;

use waxwing_entry::pools;
use waxwing_keeper_client::client;
use waxwing_machine::backend_server;
use waxwing_process::clock;
use waxwing_record::record;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_units::time as units_time;

fn service() -> id::ServiceId {
    "ledger".parse().expect("a valid name")
}

/// The pools of a machine with one backend server of one slot.
fn one_slot() -> sync::Arc<pools::Pools> {
    let failure_domain: id::FailureDomainId = "lautoka".parse().expect("a valid name");
    let pools = pools::Pools::new("vm-a".parse().expect("a valid name"), failure_domain.clone());
    let records = snapshot::Snapshot {
        services: vec![record::Service {
            service: service(),
            access: record::Access::Open,
            body_max_bytes: waxwing_units::size::Bytes(1),
            deadline_ms: units_time::Millis(1_000),
            key_staleness_max_ms: None,
            shift_cap_permille: 100,
        }],
        backend_servers: vec![record::BackendServer {
            backend_server: "ledger-1".parse().expect("a valid name"),
            service: service(),
            failure_domain,
            address: "127.0.0.1:1".parse().expect("an address"),
            slots: 1,
        }],
        ..Default::default()
    };
    let view = client::View { records: sync::Arc::new(records), ..Default::default() };
    pools.update(&view);
    sync::Arc::new(pools)
}

fn acquire(pools: &sync::Arc<pools::Pools>) -> pools::Acquired {
    let deadline = clock::now().after(time::Duration::from_secs(60));
    pools.acquire(&service(), &None, deadline, &[])
}

fn slot(pools: &sync::Arc<pools::Pools>) -> pools::Slot {
    match acquire(pools) {
        pools::Acquired::Slot(slot) => slot,
        other => panic!("no slot: {other:?}"),
    }
}

fn waiting(pools: &sync::Arc<pools::Pools>) -> pools::Waiting {
    match acquire(pools) {
        pools::Acquired::Waits(waiting) => waiting,
        other => panic!("not waiting: {other:?}"),
    }
}

#[ntex::test]
async fn a_freed_slot_goes_to_the_request_that_waits() {
    let pools = one_slot();
    let first = slot(&pools);
    let mut second = waiting(&pools);
    drop(first);
    let second = second.slot().await.expect("a slot");
    assert_eq!(pools.load().0, 1);
    drop(second);
    assert_eq!(pools.load(), (0, 1));
}

#[test]
fn a_slot_handed_to_a_request_that_has_gone_is_free_again() {
    let pools = one_slot();
    let first = slot(&pools);
    let second = waiting(&pools);
    drop(first);
    assert_eq!(pools.load().0, 1, "the slot was handed on");
    drop(second);
    assert_eq!(pools.load(), (0, 1), "nobody has taken it");
    drop(slot(&pools));
}

#[test]
fn a_request_that_went_before_its_turn_is_passed_over() {
    let pools = one_slot();
    let first = slot(&pools);
    let second = waiting(&pools);
    let third = waiting(&pools);
    drop(second);
    drop(first);
    assert_eq!(pools.load().0, 1, "the third request has it");
    drop(third);
    assert_eq!(pools.load(), (0, 1));
}

#[test]
fn a_guest_gets_no_slot_that_own_requests_may_need() {
    let pools = one_slot();
    let mut own = slot(&pools);
    assert!(pools.acquire_guest(&service()).is_none());
    own.set_ending(backend_server::AttemptOutcome::Responded);
    drop(own);
    assert!(pools.acquire_guest(&service()).is_some(), "a free slot beyond a quarter of all");
}
