//! When keys are not taken any more.

use std::time;

use waxwing_route::staleness;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

#[test]
fn keys_are_refused_before_one_that_was_withdrawn_has_to_stop() {
    let fence = staleness::StalenessLimit {
        withdrawal_max: Some(time::Duration::from_secs(5)),
        margin: time::Duration::from_millis(300),
    };
    let rows = [
        (Some(0), 0, true),
        (Some(0), 4_690, true),
        (Some(0), 4_700, false),
        (Some(1_000), 5_690, true),
        (Some(1_000), 20_000, false),
        (None, 0, false),
    ];
    for (confirmed_ms, now_ms, allowed) in rows {
        let allows = fence.allows_keys(at_ms(now_ms), confirmed_ms.map(at_ms));
        assert_eq!(allows, allowed, "confirmed at {confirmed_ms:?}, asked at {now_ms}");
    }
}

#[test]
fn without_a_bound_keys_are_taken() {
    let fence = staleness::StalenessLimit {
        withdrawal_max: None,
        margin: time::Duration::from_millis(300),
    };
    assert!(fence.allows_keys(at_ms(1_000_000), None));
}
