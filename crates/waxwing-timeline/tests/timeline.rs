//! One causal order over the events of several processes.

use expect_test::expect_file;
use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_timeline::merge;
use waxwing_timeline::stamp;
use waxwing_units::id;

fn about(request: &str) -> journal::Context {
    journal::Context { request: request.parse().ok(), organisation: "kiln".parse().ok() }
}

/// A request over two machines, the second of which has a clock two seconds behind.
fn session() -> Vec<Vec<event::Event>> {
    let journal = |vm: &str, role| journal::Journal::new(vm.parse().expect("a valid name"), role);
    let entry = journal("vm-a", event::Role::Entry);
    let keeper = journal("vm-b", event::Role::Keeper);
    let received =
        event::Kind::RequestReceived { method: "GET".to_owned(), service: "ledger".to_owned() };
    entry.add(5_000, about("one"), received);
    keeper.observe(3_000, entry.stamp(5_001));
    keeper.add(3_001, about("one"), event::Kind::TokenGranted);
    entry.observe(5_004, keeper.stamp(3_002));
    let ended = event::Kind::RequestEnded { outcome: "answered".to_owned(), status: 200 };
    entry.add(5_004, about("one"), ended);
    entry.add(5_010, journal::Context::default(), event::Kind::Stopping);
    vec![entry.since(stamp::Stamp::default()), keeper.since(stamp::Stamp::default())]
}

#[test]
fn causes_stand_before_their_effects_although_clocks_differ() {
    let filter = merge::Filter { request: "one".parse().ok(), ..Default::default() };
    let events = merge::merge(session(), &filter);
    expect_file!["golden/request.txt"].assert_eq(&merge::Lines(&events).to_string());
}

#[test]
fn the_order_does_not_depend_on_who_answers_first() {
    let (forward, mut backward) = (session(), session());
    backward.reverse();
    let filter = merge::Filter::default();
    assert_eq!(merge::merge(forward, &filter), merge::merge(backward, &filter));
}

#[test]
fn a_stamp_from_a_clock_far_ahead_is_left_out() {
    let clock = stamp::Clock::default();
    let far = stamp::Stamp { wall_ms: 10_000_000, counter: 0 };
    clock.observe(1_000, far);
    assert!(clock.next(1_000) < far);
}

#[test]
fn events_read_back_as_they_were_written() {
    for event in session().concat() {
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
