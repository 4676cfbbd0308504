//! Tests of the backend servers in use, through outages of the store.

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

fn names(set: &server_set::ServerSet) -> Vec<String> {
    set.servers().iter().map(|known| known.registration.server.to_string()).collect()
}

#[test]
fn a_server_that_is_no_longer_listed_is_removed() {
    let mut set = server_set::ServerSet::default();
    set.apply_list(at_ms(0), vec![registered("s-1", 1), registered("s-2", 1)]);
    set.apply_list(at_ms(1_000), vec![registered("s-2", 2)]);
    assert_eq!(names(&set), ["s-2"]);
}

#[test]
fn servers_missing_after_an_outage_stay_until_live_ones_had_time_to_register() {
    let mut set = server_set::ServerSet::default();
    set.apply_list(at_ms(0), vec![registered("s-1", 1), registered("s-2", 1)]);
    set.record_store_failure(at_ms(5_000));
    set.apply_list(at_ms(6_000), vec![registered("s-2", 2)]);
    assert_eq!(names(&set), ["s-1", "s-2"]);
    set.apply_list(at_ms(7_200), vec![registered("s-2", 3)]);
    assert_eq!(names(&set), ["s-2"]);
}

/// Guards against requests to a server that has left: a machine whose own link had been cut took
/// the cut for an outage of the store and still used the server 12 s after it had left.
#[test]
fn servers_missing_after_a_disconnection_of_this_machine_alone_are_removed() {
    let mut set = server_set::ServerSet::default();
    set.apply_list(at_ms(0), vec![registered("s-1", 1), registered("s-2", 1)]);
    set.record_store_failure(at_ms(12_500));
    set.clear_store_failure();
    set.apply_list(at_ms(13_000), vec![registered("s-2", 9)]);
    assert_eq!(names(&set), ["s-2"]);
}

#[test]
fn an_outdated_registration_is_ignored() {
    let mut set = server_set::ServerSet::default();
    let draining = server_registration::ServerRegistration {
        state: server_registration::State::Draining,
        ..registered("s-1", 7)
    };
    set.apply_list(at_ms(0), vec![draining]);
    set.apply_list(at_ms(1_000), vec![registered("s-1", 6)]);
    assert_eq!(set.servers()[0].registration.state, server_registration::State::Draining);
    let restarted = server_registration::ServerRegistration {
        started: id::Incarnation(200),
        ..registered("s-1", 1)
    };
    set.apply_list(at_ms(2_000), vec![restarted]);
    assert_eq!(set.servers()[0].registration.state, server_registration::State::Ready);
}

#[test]
fn cold_time_counts_from_the_first_read_of_a_registration() {
    let mut set = server_set::ServerSet::default();
    let cold = server_registration::ServerRegistration {
        cold_left: time::Duration::from_secs(3),
        ..registered("s-1", 1)
    };
    set.apply_list(at_ms(1_000), vec![cold.clone()]);
    set.apply_list(at_ms(2_000), vec![cold]);
    assert_eq!(set.servers()[0].cold_until, at_ms(4_000), "the same registration counts once");
    set.apply_list(at_ms(2_500), vec![registered("s-1", 2)]);
    assert_eq!(set.servers()[0].cold_until, at_ms(2_500));
}

/// Regression: a restored store listed a server that had left, and it got requests again.
#[test]
fn a_server_that_has_left_comes_back_only_with_a_newer_registration() {
    let mut set = server_set::ServerSet::default();
    set.apply_list(at_ms(0), vec![registered("s-1", 5), registered("s-2", 5)]);
    set.apply_list(at_ms(1_000), vec![registered("s-2", 6)]);
    for (sequence, expected) in [(3, 1), (5, 1), (6, 2)] {
        let listed = vec![registered("s-1", sequence), registered("s-2", 7)];
        set.apply_list(at_ms(2_000), listed);
        assert_eq!(names(&set).len(), expected, "sequence {sequence}");
    }
    let restarted = server_registration::ServerRegistration {
        started: id::Incarnation(200),
        ..registered("s-1", 1)
    };
    set.apply_list(at_ms(3_000), vec![registered("s-2", 8)]);
    set.apply_list(at_ms(4_000), vec![restarted]);
    assert_eq!(names(&set), ["s-1"], "a new start has a new order");
}

#[test]
fn servers_that_a_restored_store_lost_stay_until_live_ones_had_time_to_register() {
    let draining = |sequence| server_registration::ServerRegistration {
        state: server_registration::State::Draining,
        ..registered("s-2", sequence)
    };
    let mut set = server_set::ServerSet::default();
    set.apply_list(at_ms(0), vec![registered("s-1", 5), draining(5)]);
    set.record_restoration(at_ms(5_000));
    set.clear_store_failure();
    set.apply_list(at_ms(6_000), vec![registered("s-2", 2)]);
    assert_eq!(names(&set), ["s-1", "s-2"]);
    assert_eq!(set.servers()[1].registration.state, server_registration::State::Draining);
    set.apply_list(at_ms(7_200), vec![draining(6)]);
    assert_eq!(names(&set), ["s-2"]);
}

/// Regression: a server whose clock was set back, so that it started earlier than it had left, was ignored
/// until it had counted beyond its old sequence.
#[test]
fn a_server_that_has_left_is_forgotten_after_a_while() {
    let mut set = server_set::ServerSet::default();
    set.apply_list(at_ms(0), vec![registered("s-1", 500)]);
    set.apply_list(at_ms(1_000), Vec::new());
    set.apply_list(at_ms(30_000), vec![registered("s-1", 1)]);
    assert_eq!(names(&set), Vec::<String>::new());
    set.apply_list(at_ms(61_000), vec![registered("s-1", 2)]);
    assert_eq!(names(&set), ["s-1"]);
}
