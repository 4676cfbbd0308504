//! How much is logged under load.

use std::time;

use waxwing_process::log_limiter;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

#[test]
fn failures_are_kept_when_there_is_more_than_can_be_written() {
    let volume = log_limiter::LogLimiter::new(10);
    let usual = (0..100).filter(|_| volume.admit(at_ms(0), log_limiter::Kind::Routine).is_some());
    assert_eq!(usual.count(), 5);
    let failures =
        (0..100).filter(|_| volume.admit(at_ms(500), log_limiter::Kind::Failure).is_some());
    assert_eq!(failures.count(), 5);
}

#[test]
fn what_is_left_out_is_counted() {
    let volume = log_limiter::LogLimiter::new(2);
    let admitted: Vec<Option<u64>> =
        (0..5).map(|_| volume.admit(at_ms(0), log_limiter::Kind::Failure)).collect();
    assert_eq!(admitted, [Some(0), Some(0), None, None, None]);
    assert_eq!(volume.admit(at_ms(1_000), log_limiter::Kind::Routine), Some(3));
    assert_eq!(volume.admit(at_ms(2_000), log_limiter::Kind::Routine), Some(0));
}
