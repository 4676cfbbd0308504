//! Tests of the changes between two tables.

use std::time;

use waxwing_request::attempt;
use waxwing_route::changes;
use waxwing_route::policy;
use waxwing_route::route;
use waxwing_route::table;
use waxwing_units::digest;
use waxwing_units::rate;
use waxwing_units::size;

fn route(prefix: &str, timeout_s: u64) -> route::Route {
    route::Route {
        name: format!("route {prefix}"),
        path_prefix: prefix.to_owned(),
        services: vec![route::WeightedService {
            service: "ledger".parse().expect("a valid name"),
            weight: 1,
        }],
        repeatability: attempt::Repeatability::Idempotent,
        attempts_max: 2,
        timeout: time::Duration::from_secs(timeout_s),
        latency_objective: time::Duration::from_millis(400),
        priority: route::Priority(1),
        is_open: false,
        has_large_bodies: false,
        has_affinity: true,
        allowed_regions: Vec::new(),
    }
}

fn organisation(name: &str, key: &str) -> policy::Organisation {
    policy::Organisation {
        organisation: name.parse().expect("a valid name"),
        keys: vec![digest::KeyDigest::of(key.as_bytes())],
        priority: None,
        limit: None,
        allowed_regions: Vec::new(),
    }
}

fn service(name: &str) -> policy::Service {
    policy::Service {
        service: name.parse().expect("a valid name"),
        connections_max: 100,
        cold_rate_per_second: rate::TokenRate::from_milli_per_second(3_000),
    }
}

fn table(
    version: u64,
    hosts: Vec<route::Host>,
    organisations: Vec<policy::Organisation>,
) -> table::Table {
    let limits = policy::CallerLimits {
        body_max_bytes: size::Bytes(1_000 * version),
        idle_timeout: time::Duration::from_secs(15),
    };
    let services = vec![service("ledger"), service(&format!("v{version}"))];
    table::Table::new(table::Version(version), hosts, services, organisations, limits)
}

fn large_host(routes: u64, timeout_s: u64) -> route::Host {
    let routes = (0..routes).map(|n| route(&format!("/r{n}/"), timeout_s)).collect();
    route::Host::new("a.example", routes)
}

/// Tables that differ in each kind of part.
fn tables() -> Vec<table::Table> {
    let host = |name: &str, routes: &[(&str, u64)]| {
        route::Host::new(name, routes.iter().map(|(prefix, s)| route(prefix, *s)).collect())
    };
    let many = large_host(3_000, 3);
    let key = |name: &str| organisation("kiln", name);
    vec![
        table(1, vec![host("a.example", &[("/a/", 1), ("/b/", 2)])], vec![key("first")]),
        table(2, vec![host("a.example", &[("/b/", 3)])], vec![key("second")]),
        table(
            3,
            vec![host("b.example", &[("/a/", 1)])],
            vec![key("second"), organisation("z", "")],
        ),
        table(4, vec![many.clone(), host("b.example", &[("/a/", 1)])], Vec::new()),
        table(5, vec![many], Vec::new()),
        table(6, Vec::new(), vec![key("first")]),
    ]
}

#[test]
fn changes_lead_from_each_table_to_each_other_and_from_none() {
    let tables = tables();
    for after in &tables {
        let whole = changes::Changes::between(None, after);
        assert_eq!(whole.apply(None).as_ref(), Ok(after));
        for before in &tables {
            let changes = changes::Changes::between(Some(before), after);
            assert_eq!(changes.apply(Some(before)).as_ref(), Ok(after));
        }
    }
}

/// Guards against a table that is a mixture of two: the changes are relative to a table that the receiver
/// does not have any more.
#[test]
fn changes_are_not_applied_to_another_table() {
    let tables = tables();
    let changes = changes::Changes::between(Some(&tables[0]), &tables[1]);
    let expected = changes::Error::OtherBase { expected: tables[0].fingerprint() };
    for other in [None, Some(&tables[2])] {
        assert_eq!(changes.clone().apply(other), Err(expected.clone()));
    }
}

/// Guards against hosts and routes that stand twice: such a table is not rebuilt differently without
/// notice.
#[test]
fn a_table_with_repeated_entries_is_rebuilt_the_same_or_rejected() {
    let host = |timeout_s| route::Host::new("a.example", vec![route("/a/", timeout_s); 2]);
    let repeated = table(7, vec![host(1), host(2)], vec![organisation("kiln", "k"); 2]);
    for before in [None, Some(&tables()[0])] {
        let rebuilt = changes::Changes::between(before, &repeated).apply(before);
        assert!(rebuilt.is_err() || rebuilt.as_ref() == Ok(&repeated), "{rebuilt:?}");
    }
}

/// Guards against a change that costs each link the whole configuration: one route of 3,000 is changed.
#[test]
fn a_small_change_of_a_large_table_is_small() {
    let before = table(1, vec![large_host(3_000, 3)], Vec::new());
    let mut host = large_host(3_000, 3);
    host.routes[17].timeout = time::Duration::from_secs(9);
    let after = table(2, vec![host], Vec::new());
    let len_bytes = |changes| postcard::to_stdvec(&changes).expect("changes can be encoded").len();
    let whole = len_bytes(changes::Changes::between(None, &after));
    let changed = len_bytes(changes::Changes::between(Some(&before), &after));
    assert!(changed < 1_000 && whole > 100_000, "{changed} of {whole} bytes");
}
