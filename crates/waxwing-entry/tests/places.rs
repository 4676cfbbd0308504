//! Where requests are attempted, and with which share a machine begins.

use std::sync;

use waxwing_entry::places;
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

fn places() -> places::Places {
    places::Places::new(
        "vm-new".parse().expect("a valid name"),
        "athens".parse().expect("a valid name"),
    )
}

fn name(place: &places::Place) -> &str {
    match place {
        places::Place::Here => "here",
        places::Place::There(vm) => vm.vm.as_str(),
        places::Place::Capped => "capped",
        places::Place::None => "none",
    }
}

#[test]
fn a_machine_that_starts_in_the_middle_of_a_shift_takes_its_neighbours_share() {
    let view = view(vec![
        reachable("a", "athens", 1, 300),
        reachable("b", "athens", 1, 500),
        reachable("c", "chania", 1, 0),
    ]);
    let places = places();
    let away = (0..1_000)
        .filter(|_| matches!(places.first(&view, &service(), true), places::Place::There(_)));
    let away = away.count();
    assert!((380..=400).contains(&away), "{away} of 1000, the neighbours send 400 away");
}

#[test]
fn the_region_comes_before_other_regions_and_a_full_machine_not_at_all() {
    let near = || reachable("near", "piraeus", 1, 0);
    let far = || reachable("far", "chania", 9, 0);
    let full = || reachable("full", "piraeus", 0, 0);
    let cases = [
        ("usable here", true, vec![near(), far()], "here"),
        ("not usable here", false, vec![near(), far()], "near"),
        ("a full neighbour", false, vec![full(), far()], "capped"),
        ("nobody", false, vec![], "none"),
    ];
    for (what, is_usable, reachable, expected) in cases {
        let place = places().first(&view(reachable), &service(), is_usable);
        assert_eq!(name(&place), expected, "{what}");
    }
}
