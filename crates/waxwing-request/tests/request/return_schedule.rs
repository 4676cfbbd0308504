//! Replays of loads in which refused callers come back when they are told to.

use std::time;

use waxwing_request::return_schedule;
use waxwing_units::time as units_time;

/// Tokens per second of the simulated resource, which has a token for a second at most.
const RATE: u64 = 20;

/// The interval between two tokens.
const INTERVAL: time::Duration = time::Duration::from_millis(1_000 / RATE);

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

/// Runs 3 s with `per_s` requests a second, then 7 s with few, in steps of a millisecond. Returns
/// how many callers were refused, and how many of them were refused again when they came back.
fn refused_and_again(
    per_s: u64,
    mut delay: impl FnMut(units_time::MonoInstant, time::Duration) -> time::Duration,
) -> (usize, usize) {
    let mut next_token_ms = 0;
    let mut returning: Vec<u64> = Vec::new();
    let (mut refused, mut again) = (0, 0);
    for ms in 0..10_000_u64 {
        let interval_ms = if ms < 3_000 { 1_000 / per_s } else { 250 };
        let returned = returning.extract_if(.., |at| *at <= ms).count();
        let arrivals = usize::from(ms.is_multiple_of(interval_ms));
        for is_return in std::iter::repeat_n(true, returned).chain(vec![false; arrivals]) {
            if next_token_ms <= ms {
                next_token_ms = ms + 1_000 / RATE;
                continue;
            }
            if is_return {
                again += 1;
                continue;
            }
            refused += 1;
            let free_in = time::Duration::from_millis(next_token_ms - ms);
            let delay = delay(at_ms(ms), free_in).as_millis();
            returning.push(ms + u64::try_from(delay).expect("a short delay"));
        }
    }
    (refused, again)
}

#[test]
fn callers_with_turns_of_their_own_are_seldom_refused_again() {
    for per_s in [30, 40] {
        let mut schedule = return_schedule::ReturnSchedule::default();
        let turns = |now, free_in| schedule.next_turn_in(now, free_in, INTERVAL);
        let (refused, again) = refused_and_again(per_s, turns);
        let (refused_alike, again_alike) = refused_and_again(per_s, |_, free_in| free_in);
        println!("{per_s}/s: {again} of {refused} again, {again_alike} of {refused_alike} alike");
        assert!(again * refused_alike * 4 < again_alike * refused * 3, "{per_s}/s");
    }
}

#[test]
fn turns_follow_each_other_at_the_rate_and_begin_anew_when_they_get_too_late() {
    let mut schedule = return_schedule::ReturnSchedule::default();
    let free_in = time::Duration::from_millis(10);
    let mut turn_ms = |now_ms| schedule.next_turn_in(at_ms(now_ms), free_in, INTERVAL).as_millis();
    assert_eq!([turn_ms(0), turn_ms(0), turn_ms(20)], [10, 60, 90]);
    assert_eq!(turn_ms(1_000), 10, "earlier turns have passed");
    let latest = (0..1_000).map(|_| turn_ms(1_000)).max().expect("some turns");
    assert!((1_900..=2_010).contains(&latest), "{latest} ms");
}
