//! Tests of the choice of a backend server by its free slots.

use waxwing_machine::backend_server;
use waxwing_machine::pool;
use waxwing_record::record;
use waxwing_record::snapshot;
use waxwing_units::id;

use crate::backend_server::{at_ms, record};

fn pool_of(names: &[&str], slots: u32) -> pool::Pool {
    let mut pool = pool::Pool::default();
    pool.set_records(at_ms(0), names.iter().map(|name| record(name, slots)).collect());
    pool
}

#[test]
fn no_server_gets_more_than_its_slots() {
    let mut pool = pool_of(&["a", "b"], 3);
    let now = at_ms(60_000);
    let mut leases = Vec::new();
    while let Some(lease) = pool.acquire(now, &[]) {
        leases.push(lease);
    }
    assert_eq!(leases.len(), 6);
    pool.release(now, &leases[0], backend_server::AttemptOutcome::Responded);
    assert!(pool.acquire(now, &[]).is_some());
    assert!(pool.acquire(now, &[]).is_none());
}

#[test]
fn a_second_attempt_uses_another_server() {
    let mut pool = pool_of(&["a", "b"], 3);
    let tried: Vec<id::BackendServerId> = vec!["a".parse().expect("a valid name")];
    for _ in 0..2 {
        let lease = pool.acquire(at_ms(60_000), &tried).expect("a slot");
        assert_eq!(lease.server.backend_server.as_str(), "b");
    }
}

#[test]
fn when_most_servers_are_ejected_each_is_still_tried_one_request_at_a_time() {
    let mut pool = pool_of(&["a", "b", "c"], 3);
    let now = at_ms(60_000);
    for _ in 0..backend_server::FAILURES_TO_EJECT * 3 {
        if let Some(lease) = pool.acquire(now, &[]) {
            pool.release(now, &lease, backend_server::AttemptOutcome::Failed);
        }
    }
    let mut leases = 0;
    while pool.acquire(now, &[]).is_some() {
        leases += 1;
    }
    assert!((1..=3).contains(&leases), "{leases} requests at servers that fail");
}

#[test]
fn each_server_is_assigned_to_one_machine_of_its_failure_domain() {
    let servers: Vec<record::BackendServer> =
        (0..30).map(|number| record(&format!("ledger-{number}"), 3)).collect();
    let snapshot = snapshot::Snapshot { backend_servers: servers, ..Default::default() };
    let service = "ledger".parse().expect("a valid name");
    let domain = "lautoka".parse().expect("a valid name");
    let vms: Vec<id::VmId> =
        ["vm-a", "vm-b", "vm-c"].map(|vm| vm.parse().expect("a valid name")).to_vec();
    let mut owned = Vec::new();
    for vm in &vms {
        let own = pool::own_servers(&snapshot, &service, vm, &domain, &vms);
        assert!(!own.is_empty(), "{vm} has none");
        owned.extend(own.into_iter().map(|server| server.backend_server));
    }
    owned.sort();
    owned.dedup();
    assert_eq!(owned.len(), 30);
    let alone = pool::own_servers(&snapshot, &service, &vms[0], &domain, &vms[..1]);
    assert_eq!(alone.len(), 30, "a disconnected machine uses all of them");
}

#[test]
fn a_removed_or_drained_server_receives_no_new_requests() {
    let mut pool = pool_of(&["a", "b"], 3);
    let now = at_ms(60_000);
    let lease = pool.acquire(now, &[]).expect("a slot");
    let other = if lease.server.backend_server.as_str() == "a" { "b" } else { "a" };
    pool.set_records(now, vec![record(other, 3)]);
    pool.release(now, &lease, backend_server::AttemptOutcome::Responded);
    for _ in 0..3 {
        let lease = pool.acquire(now, &[]).expect("a slot");
        assert_eq!(lease.server.backend_server.as_str(), other);
    }
    assert!(pool.acquire(now, &[]).is_none());
}
