//! Destinations of requests, and the initial share of traffic that goes to other regions.

use std::sync;

use waxwing_entry::failover;
use waxwing_keeper_client::client;
use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_record::record;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_units::time as units_time;

fn reachable(vm: &str, domain: &str, free_slots: u32, away_permille: u64) -> fleet::ReachableVm {
    let address = "127.0.0.1:1".parse().expect("an address");
    let service = "ledger".parse().expect("a valid name");
    fleet::ReachableVm {
        entry_vm: entry_vm::EntryVm {
            vm: vm.parse().expect("a valid name"),
            failure_domain: domain.parse().expect("a valid name"),
            peer_address: address,
            entry_address: address,
            forward_address: address,
            phase: entry_vm::Phase::Live,
        },
        incarnation: id::Incarnation(1),
        load: fleet::Load {
            in_flight: 0,
            free_slots,
            shares: vec![fleet::ShiftedShare { service, away_permille }],
        },
    }
}

fn service() -> record::Service {
    record::Service {
        service: "ledger".parse().expect("a valid name"),
        access: record::Access::Open,
        body_max_bytes: waxwing_units::size::Bytes(1),
        deadline_ms: units_time::Millis(1_000),
        key_staleness_max_ms: None,
        shift_cap_permille: 100,
    }
}

fn view(reachable: Vec<fleet::ReachableVm>) -> client::View {
    let region = |name: &str, domains: &[&str]| record::Region {
        region: name.parse().expect("a valid name"),
        failure_domains: domains.iter().map(|d| d.parse().expect("a valid name")).collect(),
    };
    let records = snapshot::Snapshot {
        regions: vec![region("attica", &["athens", "piraeus"]), region("crete", &["chania"])],
        ..Default::default()
    };
    client::View {
        records: sync::Arc::new(records),
        reachable: sync::Arc::new(reachable),
        ..Default::default()
    }
}

fn failover() -> failover::Failover {
    failover::Failover::new(
        "vm-new".parse().expect("a valid name"),
        "athens".parse().expect("a valid name"),
    )
}

fn name(destination: &failover::Destination) -> &str {
    match destination {
        failover::Destination::Local => "local",
        failover::Destination::EntryVm(vm) => vm.vm.as_str(),
        failover::Destination::ShiftCapped => "capped",
        failover::Destination::None => "none",
    }
}

/// A machine that starts during a shift and sent nothing to other regions would undo a part of it.
#[test]
fn a_new_machine_starts_with_the_mean_shifted_share_of_its_failure_domain() {
    let view = view(vec![
        reachable("a", "athens", 1, 300),
        reachable("b", "athens", 1, 500),
        reachable("c", "chania", 1, 0),
    ]);
    let failover = failover();
    let shifted = (0..1_000).filter(|_| {
        matches!(
            failover.first_destination(&view, &service(), true),
            failover::Destination::EntryVm(_)
        )
    });
    let shifted = shifted.count();
    assert!(
        (380..=400).contains(&shifted),
        "{shifted} of 1000 left the region, 400 is the mean of the failure domain"
    );
}

#[test]
fn machines_of_the_region_come_before_other_regions_and_full_ones_are_skipped() {
    let near = || reachable("near", "piraeus", 1, 0);
    let far = || reachable("far", "chania", 9, 0);
    let full = || reachable("full", "piraeus", 0, 0);
    let cases = [
        ("usable here", true, vec![near(), far()], "local"),
        ("not usable here", false, vec![near(), far()], "near"),
        ("full machine in the region", false, vec![full(), far()], "capped"),
        ("no other machine", false, vec![], "none"),
    ];
    for (case, is_local_usable, reachable, expected) in cases {
        let destination =
            failover().first_destination(&view(reachable), &service(), is_local_usable);
        assert_eq!(name(&destination), expected, "{case}");
    }
}
