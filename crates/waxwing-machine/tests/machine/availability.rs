//! Tests of the state of a backend server process, by registrations and responses.

use std::mem;
use std::time;

use waxwing_machine::availability;
use waxwing_machine::retry_after;
use waxwing_machine::server_registration;
use waxwing_units::id;
use waxwing_units::time as units_time;

const fn at_s(seconds: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(seconds * 1_000_000_000)
}

const READY: availability::Observation =
    availability::Observation::Registered(server_registration::State::Ready);
const DRAINING: availability::Observation =
    availability::Observation::Registered(server_registration::State::Draining);
const UNLISTED: availability::Observation = availability::Observation::NotRegistered;
const ANNOUNCED: availability::Observation = availability::Observation::DrainingAnnounced;
const REUSED: availability::Observation = availability::Observation::AddressReused;

const fn backoff(until_s: u64) -> availability::Observation {
    availability::Observation::BackoffRequested { until: at_s(until_s) }
}

const SERVING: availability::State = availability::State::Serving;
const DRAINING_BY_STORE: availability::State =
    availability::State::Draining { source: availability::Source::Registration };
const DRAINING_BY_RESPONSE: availability::State =
    availability::State::Draining { source: availability::Source::Response };
const GONE_BY_STORE: availability::State =
    availability::State::Gone { source: availability::Source::Registration };
const GONE_BY_RESPONSE: availability::State =
    availability::State::Gone { source: availability::Source::Response };

const fn backing_off(until_s: u64) -> availability::State {
    availability::State::BackingOff { until: at_s(until_s) }
}

/// Statements, made one second after another from second 0 on, and the state at second 10.
const ROWS: [(&[availability::Observation], availability::State); 13] = [
    (&[], SERVING),
    (&[DRAINING], DRAINING_BY_STORE),
    (&[DRAINING, READY], SERVING),
    (&[UNLISTED], GONE_BY_STORE),
    (&[UNLISTED, READY], SERVING),
    (&[ANNOUNCED, READY], DRAINING_BY_RESPONSE),
    (&[ANNOUNCED, backoff(20)], DRAINING_BY_RESPONSE),
    (&[ANNOUNCED, UNLISTED], GONE_BY_STORE),
    (&[REUSED, READY, ANNOUNCED], GONE_BY_RESPONSE),
    (&[backoff(20), DRAINING, READY], backing_off(20)),
    (&[backoff(20), backoff(12)], backing_off(20)),
    (&[backoff(9), backoff(12)], backing_off(12)),
    (&[backoff(10)], SERVING),
];

#[test]
fn states_follow_from_registrations_and_responses() {
    for (observations, expected) in ROWS {
        let mut server = availability::Availability::default();
        for (second, observation) in (0..).zip(observations) {
            let before = server.state(at_s(second));
            let change = server.apply(at_s(second), *observation);
            let after = server.state(at_s(second));
            let is_reported = mem::discriminant(&before) != mem::discriminant(&after)
                || (before != after && !matches!(after, availability::State::BackingOff { .. }));
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
    let mut draining = availability::Availability::default();
    draining.apply(at_s(0), ANNOUNCED);
    draining.apply(at_s(0), UNLISTED);
    let mut memory = availability::Memory::default();
    for n in 0..2_000 {
        memory.record(at_s(n), &name(n), id::Incarnation(1), &draining);
    }
    let state = |n, incarnation| memory.get(&name(n), id::Incarnation(incarnation)).state(at_s(0));
    assert_eq!(state(1_999, 1), DRAINING_BY_RESPONSE);
    assert_eq!(state(1_999, 2), SERVING);
    assert_eq!((0..2_000).filter(|n| state(*n, 1) != SERVING).count(), 1_024);
    assert_eq!(state(975, 1), SERVING, "the oldest are forgotten first");
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
