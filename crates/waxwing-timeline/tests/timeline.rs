//! Stamps, journals and the merged time line: causal order, bounds on clock skew and the JSON form.

use expect_test::expect_file;
use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_timeline::merge;
use waxwing_timeline::stamp;
use waxwing_units::id;

fn context(request: &str) -> journal::Context {
    journal::Context { request: request.parse().ok(), organisation: "kiln".parse().ok() }
}

/// The events of a request handled by two machines; the clock of the second is two seconds behind.
fn events_of_two_machines() -> Vec<Vec<event::Event>> {
    let journal = |vm: &str, role| journal::Journal::new(vm.parse().expect("a valid name"), role);
    let entry = journal("vm-a", event::Role::Entry);
    let keeper = journal("vm-b", event::Role::Keeper);
    let received =
        event::Kind::RequestReceived { method: "GET".to_owned(), service: "ledger".to_owned() };
    entry.add(5_000, context("one"), received);
    keeper.observe(3_000, entry.stamp(5_001));
    keeper.add(3_001, context("one"), event::Kind::TokenGranted);
    entry.observe(5_004, keeper.stamp(3_002));
    let ended = event::Kind::RequestEnded { outcome: "answered".to_owned(), status: 200 };
    entry.add(5_004, context("one"), ended);
    entry.add(5_010, journal::Context::default(), event::Kind::Stopping);
    vec![entry.since(stamp::Stamp::default()), keeper.since(stamp::Stamp::default())]
}

#[test]
fn merged_events_are_in_causal_order_despite_clock_skew() {
    let filter = merge::Filter { request: "one".parse().ok(), ..Default::default() };
    let events = merge::merge(events_of_two_machines(), &filter);
    expect_file!["golden/request.txt"].assert_eq(&merge::Lines(&events).to_string());
}

#[test]
fn merged_order_does_not_depend_on_input_order() {
    let (forward, mut backward) = (events_of_two_machines(), events_of_two_machines());
    backward.reverse();
    let filter = merge::Filter::default();
    assert_eq!(merge::merge(forward, &filter), merge::merge(backward, &filter));
}

#[test]
fn clock_ignores_a_stamp_too_far_in_the_future() {
    let clock = stamp::Clock::default();
    let future = stamp::Stamp { wall_ms: 10_000_000, counter: 0 };
    clock.observe(1_000, future);
    assert!(clock.next(1_000) < future);
}

#[test]
fn events_round_trip_through_json() {
    for event in events_of_two_machines().concat() {
        let text = serde_json::to_string(&event).expect("JSON");
        let read: event::Event = serde_json::from_str(&text).expect("an event");
        assert_eq!(read, event);
    }
    let peer: id::VmId = "vm-b".parse().expect("a valid name");
    let journal = journal::Journal::new("vm-a".parse().expect("a name"), event::Role::Keeper);
    let heard = journal.add(1, journal::Context::default(), event::Kind::PeerHeard { peer });
    let text = serde_json::to_string(&heard).expect("JSON");
    assert_eq!(serde_json::from_str::<event::Event>(&text).expect("an event"), heard);
}
