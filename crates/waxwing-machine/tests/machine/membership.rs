//! Tests of the rule by which a machine may hold shares of contracts.

use std::time;

use rand::{Rng, SeedableRng};
use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_units::bandwidth;
use waxwing_units::id;
use waxwing_units::time as units_time;

const LEASE: time::Duration = time::Duration::from_secs(10);

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

fn info(name: &str) -> membership::MachineInfo {
    membership::MachineInfo {
        vm: name.parse().expect("a valid name"),
        started: id::Incarnation(1),
        failure_domain: "attica-a".parse().expect("a valid name"),
        peer_address: "127.0.0.1:1".parse().expect("a valid address"),
        entry_address: "127.0.0.1:2".parse().expect("a valid address"),
    }
}

fn member(name: &str, created: u64) -> membership::Member {
    membership::Member { about: info(name), created: id::Revision(created), is_admitted: false }
}

fn member_list(revision: u64, members: &[(&str, u64)]) -> membership::MemberList {
    let members = members.iter().map(|(name, created)| member(name, *created)).collect();
    membership::MemberList { revision: id::Revision(revision), members }
}

fn heartbeat(name: &str, revision: u64) -> membership::Heartbeat {
    membership::Heartbeat {
        about: info(name),
        revision: id::Revision(revision),
        phase: entry_vm::Phase::Live,
        store_steady_ms: units_time::Millis(0),
        reaches_store: true,
        requests_per_s: 0,
    }
}

fn registered(created: u64, valid_until_ms: u64) -> membership::Registration {
    membership::Registration {
        created: id::Revision(created),
        is_admitted: false,
        valid_until: at_ms(valid_until_ms),
    }
}

fn membership_of(name: &str) -> membership::Membership {
    membership::Membership::new(name.parse().expect("a valid name"))
}

#[test]
fn a_single_machine_holds_shares_after_reading_its_own_name() {
    let mut membership = membership_of("a");
    membership.set_registration(Some(registered(5, 1_000)));
    assert!(!membership.update_admission());
    membership.apply_list(at_ms(0), LEASE, member_list(6, &[("a", 5)]));
    assert!(membership.update_admission());
    assert_eq!(membership.holders(at_ms(0)).map(|holders| holders.len()), Some(1));
}

#[test]
fn a_joining_machine_waits_until_all_others_have_read_its_name() {
    let mut membership = membership_of("c");
    membership.set_registration(Some(registered(9, 1_000)));
    membership.apply_list(at_ms(0), LEASE, member_list(9, &[("a", 1), ("b", 2), ("c", 9)]));
    membership.record_heartbeat(at_ms(0), heartbeat("a", 9));
    membership.record_heartbeat(at_ms(0), heartbeat("b", 8));
    assert!(!membership.update_admission());
    assert_eq!(membership.holders(at_ms(0)), None);
    membership.record_heartbeat(at_ms(1), heartbeat("b", 9));
    assert!(membership.update_admission());
    assert!(membership.holders(at_ms(1)).is_some());
}

#[test]
fn a_machine_stops_holding_shares_when_its_registration_expires() {
    let mut membership = membership_of("a");
    membership.set_registration(Some(registered(5, 1_000)));
    membership.apply_list(at_ms(0), LEASE, member_list(6, &[("a", 5)]));
    membership.update_admission();
    assert!(membership.holders(at_ms(999)).is_some());
    assert_eq!(membership.holders(at_ms(1_000)), None);
}

#[test]
fn an_older_member_list_is_ignored() {
    let mut membership = membership_of("a");
    membership.apply_list(at_ms(0), LEASE, member_list(9, &[("a", 1), ("b", 2)]));
    membership.apply_list(at_ms(0), LEASE, member_list(8, &[("a", 1)]));
    assert_eq!(membership.len(), 2);
}

#[test]
fn heartbeats_show_whether_the_store_was_available_to_other_machines() {
    let mut membership = membership_of("a");
    let heartbeat_with_steady_store =
        |ms| membership::Heartbeat { store_steady_ms: units_time::Millis(ms), ..heartbeat("b", 1) };
    membership.record_heartbeat(at_ms(9_000), heartbeat_with_steady_store(500));
    assert!(!membership.was_store_reachable(at_ms(9_000), at_ms(8_000)));
    membership.record_heartbeat(at_ms(9_000), heartbeat_with_steady_store(5_000));
    assert!(membership.was_store_reachable(at_ms(9_000), at_ms(8_000)));
    assert!(
        !membership.was_store_reachable(at_ms(20_000), at_ms(8_000)),
        "an unreachable machine is not evidence"
    );
}

#[test]
fn a_machine_without_recent_heartbeats_is_unreachable() {
    let mut membership = membership_of("a");
    membership.record_heartbeat(at_ms(0), heartbeat("b", 1));
    assert_eq!(membership.reachable(at_ms(1_000), entry_vm::Phase::Live).len(), 1);
    assert_eq!(membership.reachable(at_ms(2_000), entry_vm::Phase::Live).len(), 0);
    assert_eq!(membership.reachable(at_ms(1_000), entry_vm::Phase::Leaving).len(), 0);
}

/// A store, and machines that register, expire, read late and lose heartbeats.
struct Simulation {
    revision: u64,
    names: Vec<(String, u64)>,
    machines: Vec<(String, membership::Membership)>,
}

impl Simulation {
    fn new() -> Self {
        let machines = (0..6).map(|n| format!("vm-{n}"));
        let machines = machines.map(|name| (name.clone(), membership_of(&name))).collect();
        Self { revision: 1, names: Vec::new(), machines }
    }

    fn register(&mut self, at: usize) {
        self.revision += 1;
        let name = self.machines[at].0.clone();
        let found = self.names.iter().position(|(found, _)| *found == name);
        let created = match found {
            Some(found) => self.names[found].1,
            None => {
                self.names.push((name, self.revision));
                self.revision
            }
        };
        self.machines[at].1.set_registration(Some(registered(created, u64::MAX / 2_000_000)));
    }

    /// Expires a registration that the machine has stopped using already.
    fn expire(&mut self, at: usize) {
        self.revision += 1;
        self.machines[at].1.set_registration(None);
        let name = self.machines[at].0.clone();
        self.names.retain(|(found, _)| *found != name);
    }

    fn read(&mut self, at: usize) {
        let members: Vec<(&str, u64)> =
            self.names.iter().map(|(name, created)| (name.as_str(), *created)).collect();
        let list = member_list(self.revision, &members);
        self.machines[at].1.apply_list(at_ms(0), LEASE, list);
    }

    fn send_heartbeat(&mut self, from: usize, to: usize) {
        let revision = self.machines[from].1.revision().0;
        let heartbeat = heartbeat(&self.machines[from].0.clone(), revision);
        self.machines[to].1.record_heartbeat(at_ms(0), heartbeat);
        self.machines[to].1.update_admission();
    }

    fn check(&self, seed: u64) {
        let now = at_ms(0);
        let holders: Vec<(&str, Vec<id::VmId>)> = self
            .machines
            .iter()
            .filter_map(|(name, membership)| Some((name.as_str(), membership.holders(now)?)))
            .collect();
        for (name, members) in &holders {
            for (other, _) in &holders {
                let is_named = members.iter().any(|vm| vm.as_str() == *other);
                assert!(is_named, "seed {seed}: the member list of {name} does not name {other}");
            }
        }
    }
}

#[test]
fn each_holder_has_read_the_names_of_all_other_holders() {
    for seed in 0..2_000 {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut simulation = Simulation::new();
        for _ in 0..120 {
            let (one, other) = (rng.random_range(0..6), rng.random_range(0..6));
            match rng.random_range(0..10) {
                0 => simulation.register(one),
                1 if rng.random_bool(0.3) => simulation.expire(one),
                2..5 => simulation.read(one),
                _ if one != other => simulation.send_heartbeat(one, other),
                _ => (),
            }
            simulation.check(seed);
        }
    }
}

#[test]
fn the_link_of_a_machine_is_known_from_its_report_and_outlives_its_heartbeats() {
    let mut membership = membership_of("a");
    let peer = info("b").vm;
    let link = bandwidth::Bandwidth(200_000);
    membership.record_link_bandwidth(&peer, link);
    assert_eq!(membership.link_bandwidth(&peer), None, "no heartbeat of that machine yet");
    membership.record_heartbeat(at_ms(0), heartbeat("b", 1));
    membership.record_link_bandwidth(&peer, link);
    membership.record_heartbeat(at_ms(400), heartbeat("b", 2));
    assert_eq!(membership.link_bandwidth(&peer), Some(link));
}

/// Regression: lists of a restored store were ignored, since its revisions had gone back.
#[test]
fn members_that_a_restored_store_lost_are_counted_until_their_leases_have_ended() {
    let restored = |counter: u64, members: &[(&str, u64)]| membership::MemberList {
        revision: id::Revision::in_era(id::StoreEra(2), counter),
        ..member_list(counter, members)
    };
    let names = |membership: &membership::Membership| {
        membership.member_vms().iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let mut membership = membership_of("a");
    membership.apply_list(at_ms(0), LEASE, member_list(9, &[("a", 1), ("b", 2), ("c", 9)]));
    membership.apply_list(at_ms(1_000), LEASE, restored(4, &[("a", 1), ("d", 4)]));
    assert_eq!(names(&membership), ["a", "b", "c", "d"]);
    membership.apply_list(at_ms(2_000), LEASE, member_list(10, &[("a", 1)]));
    membership.apply_list(at_ms(9_000), LEASE, restored(6, &[("a", 1), ("c", 6), ("d", 4)]));
    assert_eq!(names(&membership), ["a", "b", "c", "d"], "a list of the earlier era is ignored");
    membership.apply_list(at_ms(12_000), LEASE, restored(7, &[("a", 1), ("d", 4)]));
    assert_eq!(names(&membership), ["a", "d"]);
}

/// Regression: a member that the copy listed was forgotten, although its restored lease may end before it
/// registers again while it still relies on its share.
#[test]
fn a_lost_member_that_is_listed_for_a_while_is_counted_until_its_lease_has_ended() {
    let restored = |counter: u64, members: &[(&str, u64)]| membership::MemberList {
        revision: id::Revision::in_era(id::StoreEra(2), counter),
        ..member_list(counter, members)
    };
    let mut membership = membership_of("a");
    membership.apply_list(at_ms(0), LEASE, member_list(9, &[("a", 1), ("b", 2)]));
    membership.apply_list(at_ms(1_000), LEASE, restored(4, &[("a", 1), ("b", 2)]));
    membership.apply_list(at_ms(2_000), LEASE, restored(5, &[("a", 1)]));
    assert_eq!(membership.member_vms().len(), 2);
    membership.apply_list(at_ms(12_000), LEASE, restored(6, &[("a", 1)]));
    assert_eq!(membership.member_vms().len(), 1);
}

/// A heartbeat from before the restoration is no proof that its sender read a later registration.
#[test]
fn a_machine_is_not_admitted_by_revisions_of_an_earlier_era() {
    let created = id::Revision::in_era(id::StoreEra(2), 5);
    let members = [member("b", 1), membership::Member { created, ..member("a", 0) }];
    let mut membership = membership_of("a");
    let list = membership::MemberList { revision: created, members: members.to_vec() };
    membership.apply_list(at_ms(0), LEASE, list);
    membership.set_registration(Some(membership::Registration { created, ..registered(0, 9_000) }));
    membership.record_heartbeat(at_ms(0), heartbeat("b", 900));
    assert!(!membership.update_admission());
    let current = membership::Heartbeat { revision: created, ..heartbeat("b", 0) };
    membership.record_heartbeat(at_ms(0), current);
    assert!(membership.update_admission());
}
