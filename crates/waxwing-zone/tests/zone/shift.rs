//! Tests that a shift of traffic stays within its cap in both directions.

use std::time;

use waxwing_units::time as units_time;
use waxwing_zone::shift;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

/// Returns whether the home region is usable at a time in milliseconds.
type Usable = fn(u64) -> bool;

/// Runs a shift for two minutes in steps of `step_ms`, during which `usable` decides whether the
/// home region is usable. Returns the share at each step, in thousandths.
fn run(cap_permille: u64, step_ms: u64, usable: Usable) -> Vec<u64> {
    let mut shift = shift::Shift::with_share(at_ms(0), 0);
    (0..120_000)
        .step_by(usize::try_from(step_ms).expect("a short step"))
        .map(|ms| {
            shift.advance(at_ms(ms), cap_permille, usable(ms));
            shift.share_permille()
        })
        .collect()
}

#[test]
fn the_share_changes_by_the_cap_at_most_within_ten_seconds() {
    let patterns: [(&str, Usable); 4] = [
        ("lost permanently", |_| false),
        ("lost and recovered", |ms| ms >= 40_000),
        ("flapping every second", |ms| (ms / 1_000).is_multiple_of(2)),
        ("flapping every step", |ms| (ms / 10).is_multiple_of(2)),
    ];
    for (what, usable) in patterns {
        for cap_permille in [1, 50, 100, 1_000] {
            for step_ms in [10, 70, 900, 30_000] {
                let shares = run(cap_permille, step_ms, usable);
                let window = usize::try_from(10_000 / step_ms).expect("a short step").max(1);
                for pair in shares.windows(window + 1) {
                    let moved = pair[0].abs_diff(pair[window]);
                    assert!(
                        moved <= cap_permille + 1,
                        "{what}, {cap_permille}, {step_ms}: {moved}"
                    );
                }
            }
        }
    }
}

#[test]
fn traffic_leaves_a_lost_region_in_time_and_returns() {
    let shares = run(100, 100, |ms| ms >= 110_000);
    assert!((99..=100).contains(&shares[100]), "{}", shares[100]);
    assert!((498..=500).contains(&shares[500]), "{}", shares[500]);
    assert_eq!(shares[1_090], 1_000);
    assert!(shares[1_199] < 1_000);
}

#[test]
fn requests_follow_the_share() {
    for share in [0, 1, 333, 999, 1_000] {
        let mut shift = shift::Shift::with_share(at_ms(0), share);
        let away =
            (0..10_000).filter(|_| shift.next_direction() == shift::Direction::OtherRegion).count();
        let expected = usize::try_from(share).expect("a small share") * 10;
        assert!(away.abs_diff(expected) <= 1, "{share}: {away}");
    }
}

#[test]
fn a_pause_does_not_allow_a_larger_step() {
    let mut shift = shift::Shift::with_share(at_ms(0), 0);
    shift.advance(at_ms(3_600_000), 100, false);
    assert!(shift.share_permille() <= 100);
}
