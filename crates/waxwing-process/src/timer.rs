//! Waiting on the clock in asynchronous code.
//!
//! The timers of the HTTP library are not used: after a machine stood still for seconds, they go
//! off late by as much again, and whatever waits on them stands still for that long.

use std::future;
use std::time;

/// Tells that a time limit has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the time limit has passed")]
pub struct Elapsed;

/// Waits for a span.
pub async fn sleep(span: time::Duration) {
    tokio::time::sleep(span).await;
}

/// Waits for something, until a time limit has passed.
///
/// # Errors
///
/// Returns an error where the time limit passes first; what was waited for is dropped then.
pub async fn timeout<F: future::Future>(
    limit: time::Duration,
    awaited: F,
) -> Result<F::Output, Elapsed> {
    tokio::time::timeout(limit, awaited).await.map_err(|_| Elapsed)
}
