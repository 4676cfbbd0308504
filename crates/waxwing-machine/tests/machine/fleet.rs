//! Tests of reachability and of the choice of heartbeat targets.

use std::time;

use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::backend_server::at_ms;

fn entry_vm(name: &str, domain: &str) -> entry_vm::EntryVm {
    entry_vm::EntryVm {
        vm: name.parse().expect("a valid name"),
        failure_domain: domain.parse().expect("a valid name"),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        entry_address: "127.0.0.1:2".parse().expect("an address"),
        forward_address: "127.0.0.1:3".parse().expect("an address"),
        phase: entry_vm::Phase::Live,
    }
}

fn heartbeat(entry_vm: entry_vm::EntryVm) -> fleet::Heartbeat {
    fleet::Heartbeat {
        entry_vm,
        revision: id::Revision(1),
        confirmed_ago_ms: Some(units_time::Millis(4_000)),
        interval_ms: units_time::Millis(500),
        load: fleet::Load::default(),
    }
}

#[test]
fn heartbeats_stay_within_their_bandwidth() {
    let cases = [(0, 500), (4, 500), (6, 650), (48, 5_200)];
    for (targets, interval_ms) in cases {
        let interval = fleet::heartbeat_interval(targets);
        assert_eq!(interval, time::Duration::from_millis(interval_ms), "{targets} machines");
    }
}

#[test]
fn heartbeats_and_not_the_platform_list_decide_who_is_reachable() {
    let mut fleet = fleet::Fleet::default();
    fleet.set_platform_list(at_ms(0), &[entry_vm("dead", "d")]);
    fleet.record_heartbeat(at_ms(0), heartbeat(entry_vm("new", "d")), id::Incarnation(1));
    let reachable = fleet.reachable(at_ms(100));
    assert_eq!(reachable.len(), 1);
    assert_eq!(reachable[0].entry_vm.vm.as_str(), "new");
}

#[test]
fn a_machine_is_unreachable_from_missed_heartbeats_until_the_next_one() {
    let mut fleet = fleet::Fleet::default();
    assert!(
        fleet.record_heartbeat(at_ms(0), heartbeat(entry_vm("a", "d")), id::Incarnation(1)),
        "new"
    );
    assert!(
        !fleet.record_heartbeat(at_ms(500), heartbeat(entry_vm("a", "d")), id::Incarnation(1)),
        "known"
    );
    assert_eq!(fleet.reachable(at_ms(2_500)).len(), 1);
    assert_eq!(fleet.reachable(at_ms(2_501)).len(), 0);
    assert!(
        fleet.record_heartbeat(at_ms(9_000), heartbeat(entry_vm("a", "d")), id::Incarnation(1)),
        "back"
    );
}

#[test]
fn a_heartbeat_takes_precedence_over_the_platform_list() {
    let mut fleet = fleet::Fleet::default();
    let leaving = entry_vm::EntryVm { phase: entry_vm::Phase::Leaving, ..entry_vm("a", "d") };
    fleet.record_heartbeat(at_ms(0), heartbeat(leaving), id::Incarnation(1));
    fleet.set_platform_list(at_ms(1), &[entry_vm("a", "d")]);
    let member = fleet.member(&"a".parse().expect("a valid name")).expect("known");
    assert_eq!(member.entry_vm.phase, entry_vm::Phase::Leaving);
    fleet.set_platform_list(at_ms(2), &[]);
    fleet.remove_silent(at_ms(30_000), time::Duration::from_secs(60));
    assert_eq!(fleet.members().len(), 1, "kept for a minute, since a failover may need it");
    fleet.remove_silent(at_ms(60_000), time::Duration::from_secs(60));
    assert_eq!(fleet.members().len(), 0);
}

#[test]
fn heartbeats_reach_every_machine_and_their_number_grows_with_failure_domains() {
    let mut fleet = fleet::Fleet::default();
    let vms: Vec<entry_vm::EntryVm> =
        (0..950).map(|n| entry_vm(&format!("vm-{n}"), &format!("d-{}", n % 21))).collect();
    fleet.set_platform_list(at_ms(0), &vms);
    let mut heard = vec![0; vms.len()];
    for me in &vms {
        let targets = fleet.heartbeat_targets(me);
        assert!(targets.len() <= fleet::NEAR_TARGETS_MAX + 20 * fleet::FAR_TARGETS_MAX);
        for target in targets {
            let number: usize = target.vm.as_str()[3..].parse().expect("a number");
            heard[number] += 1;
        }
    }
    assert!(
        heard.iter().all(|from| *from >= fleet::NEAR_TARGETS_MAX),
        "some machine receives too few heartbeats"
    );
}
