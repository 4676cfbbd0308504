//! Registered backend servers, over outages of the store.

use std::time;

use waxwing_machine::server_registration;
use waxwing_machine::server_set;
use waxwing_units::id;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

fn registered(name: &str, sequence: u64) -> server_registration::ServerRegistration {
    server_registration::ServerRegistration {
        server: name.parse().expect("a valid name"),
        started: id::Incarnation(100),
        service: "ledger".parse().expect("a valid name"),
        failure_domain: "lautoka".parse().expect("a valid name"),
        address: "127.0.0.1:80".parse().expect("a valid address"),
        slots: 3,
        state: server_registration::State::Ready,
        cold_left: time::Duration::ZERO,
        sequence,
    }
}

fn names(roster: &server_set::ServerSet) -> Vec<String> {
    roster.servers().iter().map(|known| known.registration.server.to_string()).collect()
}

#[test]
fn a_server_that_is_not_listed_any_more_has_gone() {
    let mut roster = server_set::ServerSet::default();
    roster.apply_list(at_ms(0), vec![registered("s-1", 1), registered("s-2", 1)]);
    roster.apply_list(at_ms(1_000), vec![registered("s-2", 2)]);
    assert_eq!(names(&roster), ["s-2"]);
}

#[test]
fn what_lapsed_during_an_outage_stays_until_living_servers_had_time_to_register() {
    let mut roster = server_set::ServerSet::default();
    roster.apply_list(at_ms(0), vec![registered("s-1", 1), registered("s-2", 1)]);
    roster.record_store_failure(at_ms(5_000));
    roster.apply_list(at_ms(6_000), vec![registered("s-2", 2)]);
    assert_eq!(names(&roster), ["s-1", "s-2"]);
    roster.apply_list(at_ms(7_200), vec![registered("s-2", 3)]);
    assert_eq!(names(&roster), ["s-2"]);
}

/// Found by a standard day: a server that had left was used 12 s later by a machine whose own link
/// had been cut, since it took the cut for an outage.
#[test]
fn after_a_cut_of_this_machine_alone_what_is_missing_has_gone() {
    let mut roster = server_set::ServerSet::default();
    roster.apply_list(at_ms(0), vec![registered("s-1", 1), registered("s-2", 1)]);
    roster.record_store_failure(at_ms(12_500));
    roster.clear_store_failure();
    roster.apply_list(at_ms(13_000), vec![registered("s-2", 9)]);
    assert_eq!(names(&roster), ["s-2"]);
}

#[test]
fn a_registration_that_was_overtaken_changes_nothing() {
    let mut roster = server_set::ServerSet::default();
    let draining = server_registration::ServerRegistration {
        state: server_registration::State::Draining,
        ..registered("s-1", 7)
    };
    roster.apply_list(at_ms(0), vec![draining]);
    roster.apply_list(at_ms(1_000), vec![registered("s-1", 6)]);
    assert_eq!(roster.servers()[0].registration.state, server_registration::State::Draining);
    let restarted = server_registration::ServerRegistration {
        started: id::Incarnation(200),
        ..registered("s-1", 1)
    };
    roster.apply_list(at_ms(2_000), vec![restarted]);
    assert_eq!(roster.servers()[0].registration.state, server_registration::State::Ready);
}

#[test]
fn a_server_is_cold_from_when_it_says_so() {
    let mut roster = server_set::ServerSet::default();
    let cold = server_registration::ServerRegistration {
        cold_left: time::Duration::from_secs(3),
        ..registered("s-1", 1)
    };
    roster.apply_list(at_ms(1_000), vec![cold.clone()]);
    roster.apply_list(at_ms(2_000), vec![cold]);
    assert_eq!(roster.servers()[0].cold_until, at_ms(4_000), "the same word counts once");
    roster.apply_list(at_ms(2_500), vec![registered("s-1", 2)]);
    assert_eq!(roster.servers()[0].cold_until, at_ms(2_500));
}
