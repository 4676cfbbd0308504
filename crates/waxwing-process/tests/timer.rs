//! Timers after the machine stood still.

use std::thread;
use std::time;

use waxwing_process::timer;

/// How long after its span a sleep may end.
const LATE_MAX: time::Duration = time::Duration::from_millis(300);

/// Found by a hunt (freeze-and-step, seed 892496342494): a machine that had stood still for 6.5 s
/// read its configuration again only 7.6 s after that, since its timers went off so late.
#[test]
fn a_sleep_takes_as_long_as_it_says_after_the_thread_stood_still() {
    let system = ntex::rt::System::new("timer", ntex::rt::DefaultRuntime);
    system.block_on(async {
        for stood_still_ms in [300, 1_100, 2_300] {
            // Timers of the usual lengths are under way, as in a running process.
            for span_ms in [40, 200, 900, 2_000, 15_000] {
                ntex::rt::spawn(timer::sleep(time::Duration::from_millis(span_ms)));
            }
            timer::sleep(time::Duration::from_millis(30)).await;
            thread::sleep(time::Duration::from_millis(stood_still_ms));
            for span_ms in [200, 800] {
                let began_at = time::Instant::now();
                timer::sleep(time::Duration::from_millis(span_ms)).await;
                let late = began_at.elapsed().saturating_sub(time::Duration::from_millis(span_ms));
                assert!(late < LATE_MAX, "{late:?} late after {stood_still_ms} ms");
            }
        }
    });
}

#[test]
fn a_time_limit_passes_in_time_after_the_thread_stood_still() {
    let system = ntex::rt::System::new("timer", ntex::rt::DefaultRuntime);
    system.block_on(async {
        timer::sleep(time::Duration::from_millis(30)).await;
        thread::sleep(time::Duration::from_millis(1_500));
        let began_at = time::Instant::now();
        let limit = time::Duration::from_millis(400);
        let waited = timer::timeout(limit, std::future::pending::<()>()).await;
        assert_eq!(waited, Err(timer::Elapsed));
        assert!(began_at.elapsed() < limit + LATE_MAX);
    });
}
