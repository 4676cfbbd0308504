//! Tests of when a message that is received in pieces is given up.

use std::time;

use waxwing_machine::transfer;
use waxwing_units::bandwidth;
use waxwing_units::size;
use waxwing_units::time as units_time;

const LIMITS: transfer::Limits = transfer::Limits {
    idle_max: time::Duration::from_millis(700),
    rate_min: bandwidth::Bandwidth(800),
};

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

#[test]
fn a_transfer_that_makes_progress_outlasts_the_idle_limit() {
    let mut progress = transfer::Transfer::begin(at_ms(0));
    assert_eq!(progress.deadline(&LIMITS), at_ms(700));
    progress.record_length(at_ms(600), Some(size::Bytes(1_000_000)));
    for ms in (1_000..6_000).step_by(500) {
        progress.record_piece(at_ms(ms), size::Bytes(80_000));
        assert_eq!(progress.deadline(&LIMITS), at_ms(ms + 700));
    }
}

/// Guards against a sender that keeps a transfer alive with single bytes.
#[test]
fn a_transfer_below_the_lowest_rate_is_given_up() {
    let mut progress = transfer::Transfer::begin(at_ms(0));
    progress.record_length(at_ms(0), Some(size::Bytes(1_000_000)));
    progress.record_piece(at_ms(10_500), size::Bytes(1));
    assert_eq!(progress.deadline(&LIMITS), at_ms(10_700));
}

/// Guards against a message without end.
#[test]
fn a_transfer_of_unstated_length_has_the_idle_limit_as_a_whole() {
    let mut progress = transfer::Transfer::begin(at_ms(0));
    progress.record_length(at_ms(100), None);
    progress.record_piece(at_ms(600), size::Bytes(1_000));
    assert_eq!(progress.deadline(&LIMITS), at_ms(700));
}

#[test]
fn a_transfer_shows_what_arrived_and_when() {
    let mut progress = transfer::Transfer::begin(at_ms(0));
    assert_eq!(progress.to_string(), "0B received, the last after 0 ms");
    progress.record_length(at_ms(100), Some(size::Bytes(963_649)));
    progress.record_piece(at_ms(690), size::Bytes(720_785));
    assert_eq!(progress.to_string(), "720785B of 963649B received, the last after 690 ms");
}
