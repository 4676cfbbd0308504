//! What a reader sends of the configuration to the machines of its region.

use std::sync;
use std::time;

use waxwing_protocol::replication;
use waxwing_route::policy;
use waxwing_route::table;
use waxwing_units::size;
use waxwing_vm::store_replica;

fn table(version: u64) -> sync::Arc<table::Table> {
    let limits = policy::CallerLimits {
        body_max_bytes: size::Bytes(1_000),
        idle_timeout: time::Duration::from_secs(15),
    };
    let version = table::Version(version);
    sync::Arc::new(table::Table::new(version, Vec::new(), Vec::new(), Vec::new(), limits))
}

fn known(version: u64) -> replication::KnownConfiguration {
    store_replica::identify(&table(version))
}

#[test]
fn machines_receive_the_changes_from_what_they_have() {
    let replica = store_replica::StoreReplica::default();
    (1..=6).for_each(|version| replica.record_table(table(version)));
    let base_for = |known| {
        let changes = replica.table_changes(known, &table(6)).expect("an older version");
        changes.base()
    };
    assert_eq!(base_for(Some(known(5))), Some(known(5).fingerprint));
    assert_eq!(base_for(Some(known(1))), None, "it is not kept any more");
    assert_eq!(base_for(None), None);
}

/// Guards against a reader that is behind its machines, as one just elected, and sends each of them its
/// whole table with each answer.
#[test]
fn a_machine_with_the_same_or_a_newer_version_receives_no_table() {
    let replica = store_replica::StoreReplica::default();
    replica.record_table(table(2));
    assert!(replica.table_changes(Some(known(2)), &table(2)).is_none());
    assert!(replica.table_changes(Some(known(3)), &table(2)).is_none());
}
