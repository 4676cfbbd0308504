//! Tests how old the table may be for keys to be accepted and for requests to be denied.

use std::time;

use waxwing_route::staleness;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

#[test]
fn keys_are_rejected_before_the_withdrawal_bound_ends() {
    let limit = staleness::StalenessLimit {
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
        let allows = limit.allows_keys(at_ms(now_ms), confirmed_ms.map(at_ms));
        assert_eq!(allows, allowed, "confirmed at {confirmed_ms:?}, checked at {now_ms}");
    }
}

#[test]
fn keys_are_always_accepted_without_a_bound() {
    let limit = staleness::StalenessLimit {
        withdrawal_max: None,
        margin: time::Duration::from_millis(300),
    };
    assert!(limit.allows_keys(at_ms(1_000_000), None));
}

#[test]
fn requests_are_denied_only_by_a_table_that_may_be_the_newest() {
    let apply_max = time::Duration::from_millis(3_000);
    let rows = [(Some(0), 2_980, true), (Some(0), 3_000, false), (Some(500), 3_400, true)];
    for (confirmed_ms, now_ms, allowed) in rows.into_iter().chain([(None, 0, false)]) {
        let confirmed_at = confirmed_ms.map(at_ms);
        let allows = staleness::allows_denials(at_ms(now_ms), confirmed_at, apply_max);
        assert_eq!(allows, allowed, "confirmed at {confirmed_ms:?}, checked at {now_ms}");
    }
}

/// Guards against requests that run by a configuration that had to be replaced in time.
#[test]
fn a_newer_configuration_is_overdue_while_it_is_within_reach() {
    let apply_max = time::Duration::from_secs(3);
    let mut newer = staleness::NewerConfiguration::default();
    let is_overdue =
        |newer: &staleness::NewerConfiguration, ms| newer.is_overdue(at_ms(ms), apply_max);
    assert!(!is_overdue(&newer, 10_000));
    newer.begin_arrival(at_ms(10_000));
    assert!(!is_overdue(&newer, 11_400));
    assert!(is_overdue(&newer, 11_500));
    assert!(is_overdue(&newer, 60_000), "it is still arriving");
    newer.lose();
    assert!(!is_overdue(&newer, 60_000), "a machine that is cut off serves by what it has");
    newer.see(at_ms(70_000));
    newer.see(at_ms(71_000));
    assert!(is_overdue(&newer, 72_900));
    assert!(!is_overdue(&newer, 73_000), "the machine that has it was not heard of again");
    newer.see(at_ms(75_000));
    assert!(is_overdue(&newer, 75_000), "it has been known for long");
}
