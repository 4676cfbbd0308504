//! Tests of the order of entry VMs for a caller.

use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_record::record;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_zone::steer;

fn reachable(vm: &str, domain: &str, phase: entry_vm::Phase) -> fleet::ReachableVm {
    let address = "127.0.0.1:1".parse().expect("an address");
    fleet::ReachableVm {
        entry_vm: entry_vm::EntryVm {
            vm: vm.parse().expect("a valid name"),
            failure_domain: domain.parse().expect("a valid name"),
            peer_address: address,
            entry_address: address,
            forward_address: address,
            phase,
        },
        incarnation: id::Incarnation(1),
        load: fleet::Load::default(),
    }
}

fn snapshot(drained: Vec<record::DrainTarget>) -> snapshot::Snapshot {
    let region = |name: &str, domains: [&str; 2]| record::Region {
        region: name.parse().expect("a valid name"),
        failure_domains: domains.map(|d| d.parse().expect("a valid name")).to_vec(),
    };
    snapshot::Snapshot {
        regions: vec![
            region("vanua-levu", ["labasa", "savusavu"]),
            region("viti-levu", ["lautoka", "nausori"]),
        ],
        drained,
        ..Default::default()
    }
}

fn order(snapshot: &snapshot::Snapshot, reachable: &[fleet::ReachableVm]) -> Vec<String> {
    let failure_domain = "lautoka".parse().expect("a valid name");
    let origin = steer::Origin { failure_domain: &failure_domain, caller: "10.0.0.7" };
    let vms = steer::nearest_entry_vms(snapshot, reachable, origin, 3);
    vms.into_iter().map(|vm| vm.vm.to_string()).collect()
}

#[test]
fn the_nearest_machines_come_first_and_unusable_ones_are_omitted() {
    use entry_vm::Phase::{Leaving, Live};
    let all = [
        reachable("a-labasa", "labasa", Live),
        reachable("b-nausori", "nausori", Live),
        reachable("c-lautoka", "lautoka", Live),
        reachable("d-lautoka", "lautoka", Leaving),
    ];
    let drained = |target| snapshot(vec![target]);
    let cases = [
        ("all", snapshot(vec![]), 4, vec!["c-lautoka", "b-nausori", "a-labasa"]),
        ("one only", snapshot(vec![]), 1, vec!["a-labasa"]),
        (
            "a drained machine",
            drained(record::DrainTarget::EntryVm("b-nausori".parse().expect("a valid name"))),
            4,
            vec!["c-lautoka", "a-labasa"],
        ),
        (
            "a drained failure domain",
            drained(record::DrainTarget::FailureDomain("lautoka".parse().expect("a valid name"))),
            4,
            vec!["b-nausori", "a-labasa"],
        ),
    ];
    for (what, snapshot, known, expected) in cases {
        assert_eq!(order(&snapshot, &all[..known]), expected, "{what}");
    }
}

#[test]
fn unusable_machines_are_named_if_there_are_no_others() {
    let leaving = [reachable("d-lautoka", "lautoka", entry_vm::Phase::Leaving)];
    assert_eq!(order(&snapshot(vec![]), &leaving), ["d-lautoka"]);
}
