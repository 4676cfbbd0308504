//! Slots are assigned to queued requests and are never lost.

use std::sync;
use std::time;

use waxwing_entry::service_pools;
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

/// Returns the pools of a machine with one backend server that has one slot.
fn pools_with_one_slot() -> sync::Arc<service_pools::ServicePools> {
    let failure_domain: id::FailureDomainId = "lautoka".parse().expect("a valid name");
    let pools = service_pools::ServicePools::new(
        "vm-a".parse().expect("a valid name"),
        failure_domain.clone(),
    );
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

fn acquire(pools: &sync::Arc<service_pools::ServicePools>) -> service_pools::Acquired {
    let deadline = clock::now().after(time::Duration::from_secs(60));
    pools.acquire(&service(), &None, deadline, &[])
}

fn acquire_slot(pools: &sync::Arc<service_pools::ServicePools>) -> service_pools::Slot {
    match acquire(pools) {
        service_pools::Acquired::Slot(slot) => slot,
        other => panic!("no slot: {other:?}"),
    }
}

fn queue_request(pools: &sync::Arc<service_pools::ServicePools>) -> service_pools::QueuedRequest {
    match acquire(pools) {
        service_pools::Acquired::Queued(queued) => queued,
        other => panic!("not queued: {other:?}"),
    }
}

#[ntex::test]
async fn a_released_slot_goes_to_the_queued_request() {
    let pools = pools_with_one_slot();
    let first = acquire_slot(&pools);
    let mut second = queue_request(&pools);
    drop(first);
    let second = second.slot().await.expect("a slot");
    assert_eq!(pools.load().0, 1);
    drop(second);
    assert_eq!(pools.load(), (0, 1));
}

/// A request may be cancelled between the assignment of a slot and its next poll.
#[test]
fn a_slot_assigned_to_a_cancelled_request_is_released() {
    let pools = pools_with_one_slot();
    let first = acquire_slot(&pools);
    let second = queue_request(&pools);
    drop(first);
    assert_eq!(pools.load().0, 1, "the slot is assigned to the queued request");
    drop(second);
    assert_eq!(pools.load(), (0, 1), "the assigned slot is released");
    drop(acquire_slot(&pools));
}

#[test]
fn a_request_that_is_cancelled_in_the_queue_is_skipped() {
    let pools = pools_with_one_slot();
    let first = acquire_slot(&pools);
    let second = queue_request(&pools);
    let third = queue_request(&pools);
    drop(second);
    drop(first);
    assert_eq!(pools.load().0, 1, "the third request has the slot");
    drop(third);
    assert_eq!(pools.load(), (0, 1));
}

/// Without the reserve, other machines with outdated load reports could overload this one.
#[test]
fn a_forwarded_request_gets_only_slots_beyond_the_local_reserve() {
    let pools = pools_with_one_slot();
    let mut own = acquire_slot(&pools);
    assert!(pools.acquire_forwarded(&service()).is_none());
    own.set_outcome(backend_server::AttemptOutcome::Responded);
    drop(own);
    assert!(
        pools.acquire_forwarded(&service()).is_some(),
        "more than a quarter of the slots is free"
    );
}
