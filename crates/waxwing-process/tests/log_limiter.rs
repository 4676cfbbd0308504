//! Limits of the log limiter under load.

use std::time;

use waxwing_process::log_limiter;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

#[test]
fn failures_are_logged_when_routine_lines_use_up_their_part() {
    let limiter = log_limiter::LogLimiter::new(10);
    let routine =
        (0..100).filter(|_| limiter.admit(at_ms(0), log_limiter::Kind::Routine).is_some());
    assert_eq!(routine.count(), 5);
    let failures =
        (0..100).filter(|_| limiter.admit(at_ms(500), log_limiter::Kind::Failure).is_some());
    assert_eq!(failures.count(), 5);
}

#[test]
fn suppressed_lines_are_counted() {
    let limiter = log_limiter::LogLimiter::new(2);
    let admitted: Vec<Option<u64>> =
        (0..5).map(|_| limiter.admit(at_ms(0), log_limiter::Kind::Failure)).collect();
    assert_eq!(admitted, [Some(0), Some(0), None, None, None]);
    assert_eq!(limiter.admit(at_ms(1_000), log_limiter::Kind::Routine), Some(3));
    assert_eq!(limiter.admit(at_ms(2_000), log_limiter::Kind::Routine), Some(0));
}
