//! What a copy of the listing of backend servers is told.

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

fn told(changes: &server_list::Changes) -> (Vec<String>, Vec<String>) {
    let servers = changes.servers.iter().map(|registered| registered.server.to_string());
    (servers.collect(), changes.gone.iter().map(ToString::to_string).collect())
}

#[test]
fn registrations_with_nothing_new_are_not_told() {
    let mut listing = server_list::ServerList::default();
    listing.apply_list((0..700).map(|n| registered(n, 1)).collect());
    let first = listing.changes_since(0);
    assert!(first.is_whole && first.servers.len() == 700);
    listing.apply_list((0..700).map(|n| registered(n, 2)).collect());
    assert_eq!(told(&listing.changes_since(first.number)), (vec![], vec![]));
}

#[test]
fn what_leaves_cools_down_restarts_or_turns_cold_is_told() {
    let mut listing = server_list::ServerList::default();
    listing.apply_list((0..5).map(|n| registered(n, 1)).collect());
    let number = listing.changes_since(0).number;
    let leaving = server_registration::ServerRegistration {
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
    listing.apply_list(vec![registered(0, 2), leaving, cold.clone(), restarted]);
    let expected = ["s-01", "s-02", "s-03"].map(str::to_owned).to_vec();
    assert_eq!(told(&listing.changes_since(number)), (expected, vec!["s-04".to_owned()]));
    // A server that gets warmer is known to.
    let number = listing.changes_since(0).number;
    let warmer = server_registration::ServerRegistration {
        cold_left: time::Duration::from_secs(1),
        ..cold.clone()
    };
    listing.apply_list(vec![warmer]);
    assert_eq!(told(&listing.changes_since(number)).0, Vec::<String>::new());
    let number = listing.changes_since(0).number;
    listing.apply_list(vec![cold]);
    assert_eq!(told(&listing.changes_since(number)).0, ["s-02"]);
}

#[test]
fn a_number_that_is_not_known_is_told_everything() {
    let mut listing = server_list::ServerList::default();
    listing.apply_list((0..2_000).map(|n| registered(n, 1)).collect());
    listing.apply_list(vec![registered(0, 2)]);
    let of_another_start = listing.changes_since(77);
    assert!(of_another_start.is_whole && of_another_start.servers.len() == 1);
    let long_ago = listing.changes_since(1);
    assert!(long_ago.is_whole, "2,000 departures are not remembered");
}

/// Copies that ask at different times always hold what the listing holds, but for counts.
#[test]
fn a_copy_holds_what_the_listing_holds_whenever_it_asks() {
    for seed in 0..300 {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut listing = server_list::ServerList::default();
        let mut copies = [server_list::Replica::default(), server_list::Replica::default()];
        for sequence in 1..60 {
            let is_there: Vec<bool> = (0..12).map(|_| rng.random_bool(0.8)).collect();
            let listed = (0..12).filter(|n| is_there[*n]).map(|n| {
                let state = match rng.random_bool(0.2) {
                    true => server_registration::State::Draining,
                    false => server_registration::State::Ready,
                };
                server_registration::ServerRegistration { state, ..registered(n, sequence) }
            });
            listing.apply_list(listed.collect());
            for copy in &mut copies {
                if rng.random_bool(0.4) {
                    copy.apply(listing.changes_since(copy.version()));
                    let plain = |servers: &[server_registration::ServerRegistration]| -> Vec<(String, server_registration::State)> {
                        servers.iter().map(|r| (r.server.to_string(), r.state)).collect()
                    };
                    let whole = listing.changes_since(0).servers;
                    assert_eq!(plain(copy.servers()), plain(&whole), "seed {seed}");
                }
            }
        }
    }
}
