//! The contract that every key-value service has to satisfy, checked on the test double over HTTP.
//!
//! The cases are written against [`Store`], so that a real service can be checked with the same
//! cases.

use std::net;
use std::time;

use serde_json::json;
use waxwing_platform::http;
use waxwing_platform::store;
use waxwing_platform::store::Store;
use waxwing_stand_ins::caller;
use waxwing_stand_ins::platform;
use waxwing_units::id;

fn write(key: &str, value: Option<serde_json::Value>, expected: u64) -> store::Write {
    store::Write { key: key.to_owned(), value, expected: id::Revision(expected) }
}

fn written_at(written: store::Result<store::WriteOutcome>) -> u64 {
    match written {
        Ok(store::WriteOutcome::At(revision)) => revision.0,
        other => panic!("the write was not accepted: {other:?}"),
    }
}

/// Starts the test double and returns a client for it.
async fn start(number: u8) -> (http::Platform, net::SocketAddr) {
    let process_octet = u8::try_from(std::process::id() % 200).unwrap_or(0) + 20;
    let address = net::SocketAddr::from(([127, process_octet, 200, number], 7300));
    let server = platform::serve(address, platform::Platform::default()).expect("it listens");
    ntex::rt::spawn(async move { server.await.is_ok() });
    (http::Platform::new(address).await, address)
}

async fn post(address: net::SocketAddr, path: &'static str, value: serde_json::Value) -> u16 {
    let request = caller::Request::new("POST", path)
        .header("content-type", "application/json")
        .body(value.to_string().into_bytes());
    let called = std::thread::spawn(move || caller::call(address, &request));
    while !called.is_finished() {
        ntex::time::sleep(ntex::time::Millis(10)).await;
    }
    called.join().expect("no panic").expect("a response").status
}

async fn compare_and_swap(store: &impl Store) {
    let first = written_at(store.write(&write("records/a", Some(json!(1)), 0)).await);
    let current = id::Revision(first);
    for expected in [0, first + 1] {
        let conflict = store.write(&write("records/a", Some(json!(2)), expected)).await;
        assert_eq!(conflict, Ok(store::WriteOutcome::Conflict { current }), "{expected} expected");
    }
    let second = written_at(store.write(&write("records/a", Some(json!(2)), first)).await);
    assert!(second > first);
    let third = written_at(store.write(&write("records/a", None, second)).await);
    let conflict_after_removal = store.write(&write("records/a", Some(json!(3)), third)).await;
    let none = id::Revision(0);
    assert_eq!(
        conflict_after_removal,
        Ok(store::WriteOutcome::Conflict { current: none }),
        "a removed key is absent"
    );
}

async fn listings(store: &impl Store) {
    let first = written_at(store.write(&write("list/b", Some(json!("b")), 0)).await);
    let second = written_at(store.write(&write("list/a", Some(json!("a")), 0)).await);
    written_at(store.write(&write("other/c", Some(json!("c")), 0)).await);
    let listing = store.list("list/").await.expect("a listing");
    let entries: Vec<(&str, u64)> =
        listing.entries.iter().map(|entry| (entry.key.as_str(), entry.revision.0)).collect();
    assert_eq!(entries, [("list/a", second), ("list/b", first)]);
    assert!(listing.revision.0 > second, "one revision for the whole store");
}

async fn watches(store: &impl Store) {
    let now = store.list("").await.expect("a listing").revision;
    let short = time::Duration::from_millis(100);
    assert_eq!(store.watch(now, short).await, Ok(now), "nothing has changed");
    let changed = written_at(store.write(&write("watch/a", Some(json!(1)), 0)).await);
    let long = time::Duration::from_secs(30);
    let started_at = time::Instant::now();
    assert_eq!(store.watch(now, long).await, Ok(id::Revision(changed)));
    assert!(started_at.elapsed() < time::Duration::from_secs(5), "a change ends the watch at once");
}

async fn large_values(store: &impl Store) {
    let fits = json!("x".repeat(900_000));
    written_at(store.write(&write("large/fits", Some(fits), 0)).await);
    let too_large = json!("x".repeat(1_100_000));
    let refused = store.write(&write("large/not", Some(too_large), 0)).await;
    assert!(matches!(refused, Err(store::Error::Refused { status: 413, .. })), "{refused:?}");
    assert_eq!(store.list("large/not").await.expect("a listing").entries, []);
}

#[ntex::test]
async fn the_test_double_satisfies_the_store_contract() {
    let (store, _) = start(1).await;
    compare_and_swap(&store).await;
    listings(&store).await;
    watches(&store).await;
    large_values(&store).await;
}

#[ntex::test]
async fn faults_say_whether_a_write_may_have_taken_effect() {
    let (store, address) = start(2).await;
    let closed_port = http::Platform::new("127.0.0.1:1".parse().expect("an address")).await;
    let unreachable = closed_port.write(&write("a", Some(json!(1)), 0)).await;
    assert!(matches!(unreachable, Err(store::Error::Unreachable(_))), "{unreachable:?}");
    assert_eq!(post(address, "/control/faults", json!({"is_out": true})).await, 200);
    let out = store.write(&write("a", Some(json!(1)), 0)).await;
    assert!(matches!(out, Err(store::Error::Refused { status: 503, .. })), "{out:?}");
    assert_eq!(post(address, "/control/faults", json!({"lost_answers": 1})).await, 200);
    let lost_response = store.write(&write("a", Some(json!(1)), 0)).await;
    assert!(matches!(lost_response, Err(store::Error::NoAnswer(_))), "{lost_response:?}");
    assert_eq!(store.list("a").await.expect("a listing").entries.len(), 1, "the write took effect");
}

#[ntex::test]
async fn a_leased_value_expires_unless_it_is_written_again() {
    let (store, address) = start(3).await;
    let leased = json!({"key": "lease/a", "value": 1, "expected": 0, "lease_ms": 2_000});
    assert_eq!(post(address, "/v1/write", leased).await, 200);
    assert_eq!(store.list("lease/").await.expect("a listing").entries.len(), 1);
    ntex::time::sleep(ntex::time::Millis(2_400)).await;
    assert_eq!(store.list("lease/").await.expect("a listing").entries, []);
}
