//! Timers are punctual after the process has stalled.

use std::thread;
use std::time;

use waxwing_process::timer;

/// How late a sleep or timeout may end.
const LATE_MAX: time::Duration = time::Duration::from_millis(300);

/// Guards against timers that fire late after a stall. After a stall of 6.5 s, a machine did not
/// read its configuration again until 7.6 s later, because its timers fired that late. Found by
/// fault injection (freeze-and-step, seed 892496342494).
#[test]
fn a_sleep_is_punctual_after_the_thread_stalled() {
    let system = ntex::rt::System::new("timer", ntex::rt::DefaultRuntime);
    system.block_on(async {
        for stall_ms in [300, 1_100, 2_300] {
            // Timers of various lengths are pending, as in a running process.
            for span_ms in [40, 200, 900, 2_000, 15_000] {
                ntex::rt::spawn(timer::sleep(time::Duration::from_millis(span_ms)));
            }
            timer::sleep(time::Duration::from_millis(30)).await;
            thread::sleep(time::Duration::from_millis(stall_ms));
            for span_ms in [200, 800] {
                let started_at = time::Instant::now();
                timer::sleep(time::Duration::from_millis(span_ms)).await;
                let late =
                    started_at.elapsed().saturating_sub(time::Duration::from_millis(span_ms));
                assert!(late < LATE_MAX, "{late:?} late after {stall_ms} ms");
            }
        }
    });
}

#[test]
fn a_timeout_is_punctual_after_the_thread_stalled() {
    let system = ntex::rt::System::new("timer", ntex::rt::DefaultRuntime);
    system.block_on(async {
        timer::sleep(time::Duration::from_millis(30)).await;
        thread::sleep(time::Duration::from_millis(1_500));
        let started_at = time::Instant::now();
        let limit = time::Duration::from_millis(400);
        let waited = timer::timeout(limit, std::future::pending::<()>()).await;
        assert_eq!(waited, Err(timer::Elapsed));
        assert!(started_at.elapsed() < limit + LATE_MAX);
    });
}
