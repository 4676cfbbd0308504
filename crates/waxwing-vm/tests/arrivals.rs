//! The average request rate: where it starts and how fast it follows a change.

use std::time;

use waxwing_units::time as units_time;
use waxwing_vm::arrival_rate;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

#[test]
fn the_average_begins_with_the_first_window_and_then_moves_slowly() {
    let rate = arrival_rate::ArrivalRate::default();
    (0..100).for_each(|n| rate.record(at_ms(10 * n)));
    assert_eq!(rate.per_s(at_ms(1_000)), 100);
    (0..300).for_each(|n| rate.record(at_ms(1_000 + 3 * n)));
    assert_eq!(rate.per_s(at_ms(2_000)), 140);
}

#[test]
fn windows_without_requests_lower_the_average() {
    let rate = arrival_rate::ArrivalRate::default();
    (0..100).for_each(|n| rate.record(at_ms(10 * n)));
    assert_eq!(rate.per_s(at_ms(1_000)), 100);
    assert_eq!(rate.per_s(at_ms(2_000)), 80);
    assert_eq!(rate.per_s(at_ms(2_500)), 80);
    assert_eq!(rate.per_s(at_ms(3_000)), 64);
}
