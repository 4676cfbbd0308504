//! Tests of the state of a backend server process, by registrations and responses.

use std::mem;
use std::time;

use waxwing_machine::availability::{Availability, Memory, Observation, Source, State};
use waxwing_machine::retry_after;
use waxwing_machine::server_registration::State::{Draining, Ready};
use waxwing_units::id;
use waxwing_units::time as units_time;

const fn at_s(seconds: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(seconds * 1_000_000_000)
}

const fn backoff(until_s: u64) -> Observation {
    Observation::BackoffRequested { until: at_s(until_s) }
}

const DRAINING_BY_STORE: State = State::Draining { source: Source::Registration };
const DRAINING_BY_RESPONSE: State = State::Draining { source: Source::Response };
const GONE_BY_STORE: State = State::Gone { source: Source::Registration };
const GONE_BY_RESPONSE: State = State::Gone { source: Source::Response };

/// Statements, made one second after another from second 0 on, and the state at second 10.
#[rustfmt::skip]
const ROWS: [(&[Observation], State); 13] = [
    (&[], State::Serving),
    (&[Observation::Registered(Draining)], DRAINING_BY_STORE),
    (&[Observation::Registered(Draining), Observation::Registered(Ready)], State::Serving),
    (&[Observation::NotRegistered], GONE_BY_STORE),
    (&[Observation::NotRegistered, Observation::Registered(Ready)], State::Serving),
    (&[Observation::DrainingAnnounced, Observation::Registered(Ready)], DRAINING_BY_RESPONSE),
    (&[Observation::DrainingAnnounced, backoff(20)], DRAINING_BY_RESPONSE),
    (&[Observation::DrainingAnnounced, Observation::NotRegistered], GONE_BY_STORE),
    (&[Observation::AddressReused, Observation::Registered(Ready), Observation::DrainingAnnounced], GONE_BY_RESPONSE),
    (&[backoff(20), Observation::Registered(Ready)], State::BackingOff { until: at_s(20) }),
    (&[backoff(20), backoff(12)], State::BackingOff { until: at_s(20) }),
    (&[backoff(9), backoff(12)], State::BackingOff { until: at_s(12) }),
    (&[backoff(10)], State::Serving),
];

#[test]
fn states_follow_from_registrations_and_responses() {
    for (observations, expected) in ROWS {
        let mut server = Availability::default();
        for (second, observation) in (0..).zip(observations) {
            let before = server.state(at_s(second));
            let change = server.apply(at_s(second), *observation);
            let after = server.state(at_s(second));
            let is_reported = mem::discriminant(&before) != mem::discriminant(&after)
                || (before != after && !matches!(after, State::BackingOff { .. }));
            let reported = change.map(|change| (change.from, change.to));
            assert_eq!(reported, is_reported.then_some((before, after)), "{observations:?}");
            assert!(change.is_none_or(|change| change.source == observation.source()));
        }
        assert_eq!(server.state(at_s(10)), expected, "{observations:?}");
    }
}

#[test]
fn the_memory_holds_what_responses_said_for_one_incarnation_and_is_bounded() {
    let name = |n: u64| -> id::BackendServerId { format!("s-{n}").parse().expect("a valid name") };
    let mut draining = Availability::default();
    draining.apply(at_s(0), Observation::DrainingAnnounced);
    draining.apply(at_s(0), Observation::NotRegistered);
    let mut memory = Memory::default();
    for n in 0..2_000 {
        memory.record(at_s(n), &name(n), id::Incarnation(1), &draining);
    }
    let state = |n, incarnation| memory.get(&name(n), id::Incarnation(incarnation)).state(at_s(0));
    assert_eq!(state(1_999, 1), DRAINING_BY_RESPONSE);
    assert_eq!(state(1_999, 2), State::Serving);
    assert_eq!((0..2_000).filter(|n| state(*n, 1) != State::Serving).count(), 1_024);
    assert_eq!(state(975, 1), State::Serving, "the oldest are forgotten first");
}

#[test]
fn retry_after_is_a_number_of_seconds_up_to_a_maximum() {
    let parse = |values: &[&'static str]| {
        let values = values.iter().map(|value| value.as_bytes());
        retry_after::RetryAfter::from_values(values)
            .map(|parsed| parsed.map(retry_after::RetryAfter::delay))
    };
    let huge: &str = Box::leak("9".repeat(400).into_boxed_str());
    let seconds = |seconds: f64| Some(Ok(time::Duration::from_secs_f64(seconds)));
    assert_eq!(parse(&[]), None);
    for (text, expected) in
        [("0", 0.0), (" 1.25 ", 1.25), ("3600", 3_600.0), ("3601", 3_600.0), (huge, 3_600.0)]
    {
        assert_eq!(parse(&[text]), seconds(expected), "{text}");
    }
    for text in
        ["", "-1", "+1", "NaN", "inf", "1e3", ".", "1, 2", "soon", "Fri, 04 Dec 2026 21:00:00 GMT"]
    {
        assert_eq!(parse(&[text]), Some(Err(retry_after::Error::NotSeconds)), "{text}");
    }
    assert_eq!(parse(&["2", "2"]), seconds(2.0));
    assert_eq!(parse(&["2", "3"]), Some(Err(retry_after::Error::Conflicting)));
}
