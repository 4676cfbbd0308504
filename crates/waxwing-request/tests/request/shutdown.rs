//! The instants of a shutdown, as a table over deadlines, repeatability and time of arrival.

use std::time;

use waxwing_request::attempt;
use waxwing_request::shutdown;
use waxwing_units::time as units_time;

const ONCE: attempt::Repeatability = attempt::Repeatability::AtMostOnce;

const OFTEN: attempt::Repeatability = attempt::Repeatability::Idempotent;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

#[test]
fn only_requests_that_end_in_time_or_that_may_be_repeated_are_passed_on() {
    let schedule = shutdown::Schedule {
        started_at: at_ms(1_000),
        closes_at: at_ms(4_000),
        responses_due_at: at_ms(6_000),
    };
    // (now, deadline, expected duration, repeatability, admitted, attempted again)
    let table = [
        (1_000, 6_000, 0, ONCE, true, true),
        (1_000, 6_001, 0, ONCE, false, false),
        (1_000, 60_000, 5_000, OFTEN, true, true),
        (1_000, 60_000, 5_001, OFTEN, false, false),
        (2_999, 6_001, 500, OFTEN, true, true),
        (3_000, 6_001, 500, OFTEN, false, false),
        (3_999, 6_000, 9_000, OFTEN, true, true),
        (3_999, 6_000, 9_000, ONCE, true, true),
        (4_000, 4_500, 0, ONCE, false, true),
        (4_000, 6_001, 0, OFTEN, false, false),
        (5_999, 6_000, 0, OFTEN, false, true),
        (6_000, 6_000, 0, OFTEN, false, false),
    ];
    for (now_ms, deadline_ms, expected_ms, repeatability, admitted, again) in table {
        let request = shutdown::Request {
            deadline: at_ms(deadline_ms),
            expected_duration: time::Duration::from_millis(expected_ms),
            repeatability,
        };
        let now = at_ms(now_ms);
        let seen = (schedule.admits(now, &request), schedule.allows_attempt(now, &request));
        assert_eq!(seen, (admitted, again), "at {now_ms} ms: {request:?}");
    }
}
