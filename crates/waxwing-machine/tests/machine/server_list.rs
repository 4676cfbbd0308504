//! Tests of the versioned list of backend servers and its replicas.

use std::time;

use rand::{Rng, SeedableRng};
use waxwing_machine::server_list;
use waxwing_machine::server_registration;
use waxwing_units::id;

fn registered(number: usize, sequence: u64) -> server_registration::ServerRegistration {
    server_registration::ServerRegistration {
        server: format!("s-{number:02}").parse().expect("a valid name"),
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

fn names(changes: &server_list::Changes) -> (Vec<String>, Vec<String>) {
    let servers = changes.servers.iter().map(|registered| registered.server.to_string());
    (servers.collect(), changes.removed.iter().map(ToString::to_string).collect())
}

#[test]
fn renewals_are_not_sent_to_replicas() {
    let mut list = server_list::ServerList::default();
    list.apply_list((0..700).map(|n| registered(n, 1)).collect());
    let first = list.changes_since(0);
    assert!(first.is_whole && first.servers.len() == 700);
    list.apply_list((0..700).map(|n| registered(n, 2)).collect());
    assert_eq!(names(&list.changes_since(first.version)), (vec![], vec![]));
}

#[test]
fn removals_draining_restarts_and_longer_cold_times_are_sent_to_replicas() {
    let mut list = server_list::ServerList::default();
    list.apply_list((0..5).map(|n| registered(n, 1)).collect());
    let version = list.changes_since(0).version;
    let draining = server_registration::ServerRegistration {
        state: server_registration::State::Draining,
        ..registered(1, 2)
    };
    let cold = server_registration::ServerRegistration {
        cold_left: time::Duration::from_secs(2),
        ..registered(2, 2)
    };
    let restarted = server_registration::ServerRegistration {
        started: id::Incarnation(200),
        ..registered(3, 1)
    };
    list.apply_list(vec![registered(0, 2), draining, cold.clone(), restarted]);
    let expected = ["s-01", "s-02", "s-03"].map(str::to_owned).to_vec();
    assert_eq!(names(&list.changes_since(version)), (expected, vec!["s-04".to_owned()]));
    // A cold time that runs down is no change.
    let version = list.changes_since(0).version;
    let warmer = server_registration::ServerRegistration {
        cold_left: time::Duration::from_secs(1),
        ..cold.clone()
    };
    list.apply_list(vec![warmer]);
    assert_eq!(names(&list.changes_since(version)).0, Vec::<String>::new());
    let version = list.changes_since(0).version;
    list.apply_list(vec![cold]);
    assert_eq!(names(&list.changes_since(version)).0, ["s-02"]);
}

#[test]
fn an_unknown_version_receives_the_whole_list() {
    let mut list = server_list::ServerList::default();
    list.apply_list((0..2_000).map(|n| registered(n, 1)).collect());
    list.apply_list(vec![registered(0, 2)]);
    let from_another_start = list.changes_since(77);
    assert!(from_another_start.is_whole && from_another_start.servers.len() == 1);
    let outdated = list.changes_since(1);
    assert!(outdated.is_whole, "2,000 removals are not remembered");
}

/// Replicas that ask at different times always match the list, except for registration counters.
#[test]
fn a_replica_matches_the_list_whenever_it_asks() {
    for seed in 0..300 {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut list = server_list::ServerList::default();
        let mut replicas = [server_list::Replica::default(), server_list::Replica::default()];
        for sequence in 1..60 {
            let is_listed: Vec<bool> = (0..12).map(|_| rng.random_bool(0.8)).collect();
            let listed = (0..12).filter(|n| is_listed[*n]).map(|n| {
                let state = match rng.random_bool(0.2) {
                    true => server_registration::State::Draining,
                    false => server_registration::State::Ready,
                };
                server_registration::ServerRegistration { state, ..registered(n, sequence) }
            });
            list.apply_list(listed.collect());
            for replica in &mut replicas {
                if rng.random_bool(0.4) {
                    replica.apply(list.changes_since(replica.version()));
                    let states = |servers: &[server_registration::ServerRegistration]| -> Vec<(String, server_registration::State)> {
                        servers.iter().map(|r| (r.server.to_string(), r.state)).collect()
                    };
                    let whole = list.changes_since(0).servers;
                    assert_eq!(states(replica.servers()), states(&whole), "seed {seed}");
                }
            }
        }
    }
}
