//! Heartbeats that cross regions in digests.

use std::time;

use waxwing_machine::entry_vm;
use waxwing_machine::membership::{Heartbeat, MachineInfo, Member, MemberList, Membership};
use waxwing_machine::region_digest;
use waxwing_units::id;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

fn info(name: &str, domain: &str) -> MachineInfo {
    MachineInfo {
        vm: name.parse().expect("a valid name"),
        started: id::Incarnation(7),
        failure_domain: domain.parse().expect("a valid name"),
        peer_address: "127.0.0.1:1".parse().expect("a valid address"),
        entry_address: "127.0.0.1:2".parse().expect("a valid address"),
    }
}

fn heartbeat(about: &MachineInfo, phase: entry_vm::Phase) -> Heartbeat {
    Heartbeat {
        about: about.clone(),
        revision: id::Revision(5),
        phase,
        store_steady_ms: units_time::Millis(1_000),
        reaches_store: true,
        requests_per_s: 40,
    }
}

/// Returns the view of machine `a`, whose member list names the machines of both regions.
fn view() -> Membership {
    let mut membership = Membership::new("a".parse().expect("a valid name"));
    let machines = [info("a", "near"), info("b", "near"), info("x", "far"), info("y", "far")];
    let member = |about| Member { about, created: id::Revision(1), is_admitted: true };
    let members = machines.into_iter().map(member).collect();
    let list = MemberList { revision: id::Revision(5), members };
    membership.apply_list(at_ms(0), time::Duration::from_secs(10), list);
    membership
}

/// Returns the digest that a relay of the far region makes at `ms` of a heartbeat from `heard_ms`.
fn digest(heard_ms: u64, ms: u64, phase: entry_vm::Phase) -> Vec<region_digest::Entry> {
    let mut relay = Membership::new("y".parse().expect("a valid name"));
    relay.record_heartbeat(at_ms(heard_ms), heartbeat(&info("x", "far"), phase));
    relay.digest_entries(at_ms(ms), |_| true)
}

fn reachable(membership: &Membership, ms: u64) -> Vec<String> {
    let live = membership.live_peers(at_ms(ms));
    live.map(|(info, _)| info.vm.to_string()).collect()
}

#[test]
fn a_machine_is_reachable_by_a_digest_until_it_is_silent_for_too_long() {
    let mut membership = view();
    let entries = digest(1_000, 1_400, entry_vm::Phase::Live);
    assert_eq!(membership.apply_digest(at_ms(1_500), &entries).changed.len(), 1);
    assert_eq!(reachable(&membership, 1_500), ["x"]);
    // The heartbeat arrived at the relay at 1,000 ms; the digest's own way of 100 ms is not known.
    let silent_at_ms = 1_100 + region_digest::SILENCE_MAX.as_millis() as u64;
    assert_eq!(reachable(&membership, silent_at_ms), ["x"]);
    assert_eq!(reachable(&membership, silent_at_ms + 1), Vec::<String>::new());
    assert_eq!(membership.requests_per_s(at_ms(1_500), &info("x", "far").failure_domain), 40);
}

/// Guards against an older digest, on another way, that revives a machine which has announced its end.
#[test]
fn an_older_digest_changes_nothing() {
    let mut membership = view();
    membership.apply_digest(at_ms(2_000), &digest(1_900, 1_990, entry_vm::Phase::Leaving));
    membership.apply_digest(at_ms(2_050), &digest(1_500, 1_990, entry_vm::Phase::Live));
    assert_eq!(reachable(&membership, 2_100), Vec::<String>::new());
}

#[test]
fn a_machine_that_the_member_list_does_not_name_is_ignored() {
    let mut membership = Membership::new("a".parse().expect("a valid name"));
    let entries = digest(1_000, 1_400, entry_vm::Phase::Live);
    assert_eq!(membership.apply_digest(at_ms(1_500), &entries), region_digest::News::default());
}

/// Guards against a region that nobody tells anything: before any heartbeat arrives, the member list
/// names the relays, and afterwards the machines that live.
#[test]
fn relays_are_members_until_machines_are_heard() {
    let mut membership = view();
    let in_far = |info: &MachineInfo| info.failure_domain.as_str() == "far";
    assert_eq!(membership.relays_of(at_ms(0), in_far).len(), region_digest::RELAYS);
    membership.apply_digest(at_ms(1_500), &digest(1_000, 1_400, entry_vm::Phase::Live));
    let relays = membership.relays_of(at_ms(1_500), in_far);
    assert_eq!(relays, [info("x", "far")]);
}

#[test]
fn heartbeats_can_be_kept_within_a_region() {
    let membership = view();
    let all = membership.heartbeat_targets(at_ms(0), |_| true);
    assert_eq!(all, [info("b", "near").peer_address], "addresses are listed once");
    assert_eq!(membership.heartbeat_targets(at_ms(0), |_| false), []);
}

/// Guards against a relay that passes every digest on twice, since two of its region's machines get it.
#[test]
fn a_digest_that_comes_twice_is_news_once() {
    let mut membership = view();
    let entries = digest(1_000, 1_400, entry_vm::Phase::Live);
    assert_eq!(membership.apply_digest(at_ms(1_420), &entries).entries.len(), 1);
    assert_eq!(membership.apply_digest(at_ms(1_500), &entries).entries.len(), 0);
    let later = digest(1_400, 1_800, entry_vm::Phase::Live);
    assert_eq!(membership.apply_digest(at_ms(1_820), &later).entries.len(), 1);
}
