//! Tests the lookup of routes and the authentication of callers.

use std::time;

use waxwing_request::attempt;
use waxwing_route::policy;
use waxwing_route::route;
use waxwing_route::table;
use waxwing_units::digest;
use waxwing_units::size;

fn route(prefix: &str, is_open: bool) -> route::Route {
    route::Route {
        name: format!("route {prefix}"),
        path_prefix: prefix.to_owned(),
        services: Vec::new(),
        repeatability: attempt::Repeatability::AtMostOnce,
        attempts_max: 2,
        timeout: time::Duration::from_secs(3),
        latency_objective: time::Duration::from_millis(400),
        priority: route::Priority(1),
        is_open,
        has_large_bodies: false,
        has_affinity: true,
        allowed_regions: Vec::new(),
    }
}

fn organisation(name: &str, keys: &[&str]) -> policy::Organisation {
    policy::Organisation {
        organisation: name.parse().expect("a valid name"),
        keys: keys.iter().map(|key| digest::KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        limit: None,
        allowed_regions: Vec::new(),
    }
}

fn table(organisations: Vec<policy::Organisation>) -> table::Table {
    let hosts = vec![
        route::Host::new(
            "Ledger.example",
            vec![route("/a/", false), route("/a/b/", false), route("/open/", true)],
        ),
        route::Host::new("other.example", vec![route("/", false)]),
    ];
    let limits = policy::CallerLimits {
        body_max_bytes: size::Bytes(1_000),
        idle_timeout: time::Duration::from_secs(15),
    };
    table::Table::new(table::Version(3), hosts, Vec::new(), organisations, limits)
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_found() {
    let table = table(Vec::new());
    let rows = [
        ("ledger.example", "/a/x", Some("/a/")),
        ("LEDGER.example:8080", "/a/b/x", Some("/a/b/")),
        ("ledger.example", "/a/bc", Some("/a/")),
        ("ledger.example", "/a/b", Some("/a/")),
        ("ledger.example", "/a", None),
        ("ledger.example", "/c/?next=/a/", None),
        ("ledger.example", "/a/?next=/b/", Some("/a/")),
        ("other.example", "/a/x", Some("/")),
        ("third.example", "/a/x", None),
        ("", "", None),
    ];
    for (host, path, prefix) in rows {
        let found = table.route(host, path).map(|route| route.path_prefix.as_str());
        assert_eq!(found, prefix, "{host} {path}");
    }
}

#[test]
fn each_key_authenticates_its_organisation() {
    let table = table(vec![organisation("kiln", &["k-1", "k-2"]), organisation("reef", &["r-1"])]);
    let keyed_route = route("/a/", false);
    for (key, name) in [("k-1", "kiln"), ("k-2", "kiln"), ("r-1", "reef")] {
        match table.authenticate(&keyed_route, Some(key.as_bytes())) {
            table::Caller::Organisation(found) => assert_eq!(found.organisation.as_str(), name),
            other => panic!("{key}: {other:?}"),
        }
    }
    assert_eq!(table.authenticate(&keyed_route, Some(b"k-3")), table::Caller::Unauthenticated);
    assert_eq!(table.authenticate(&keyed_route, None), table::Caller::Unauthenticated);
}

#[test]
fn an_open_route_and_a_table_without_organisations_need_no_key() {
    let with_organisations = table(vec![organisation("kiln", &["k-1"])]);
    assert_eq!(
        with_organisations.authenticate(&route("/open/", true), Some(b"k-1")),
        table::Caller::Anonymous
    );
    assert_eq!(
        table(Vec::new()).authenticate(&route("/a/", false), None),
        table::Caller::Anonymous
    );
}
