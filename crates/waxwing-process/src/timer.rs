//! Sleeps and timeouts for asynchronous code.
//!
//! These use the timers of tokio instead of those of the HTTP library, ntex. After a process has
//! stalled for some seconds, ntex timers fire late by the length of the stall once more, which
//! delays every task that waits on them.

use std::future;
use std::time;

/// The error of [`timeout`] when the time limit passes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the time limit has passed")]
pub struct Elapsed;

/// Waits for at least `span`.
pub async fn sleep(span: time::Duration) {
    tokio::time::sleep(span).await;
}

/// Awaits a future for `limit` at most.
///
/// # Errors
///
/// Returns [`Elapsed`] if the time limit passes first; the future is dropped then.
pub async fn timeout<F: future::Future>(
    limit: time::Duration,
    awaited: F,
) -> Result<F::Output, Elapsed> {
    tokio::time::timeout(limit, awaited).await.map_err(|_| Elapsed)
}
