//! Sleeps and timeouts for asynchronous code.
//!
//! These use the timers of tokio instead of those of the HTTP library, ntex. After a process has
//! stalled for some seconds, ntex timers fire late by the length of the stall once more, which
//! delays every task that waits on them.

use std::cell;
use std::future;
use std::pin;
use std::task;
use std::time;

use tokio::time as tokio_time;
use waxwing_machine::transfer;

use crate::clock;

/// The error of [`timeout`] when the time limit passes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the time limit has passed")]
pub struct Elapsed;

/// Waits for at least `span`.
pub async fn sleep(span: time::Duration) {
    tokio_time::sleep(span).await;
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
    let Some(deadline) = tokio_time::Instant::now().checked_add(limit) else {
        return Ok(awaited.await);
    };
    let mut awaited = pin::pin!(awaited);
    let mut sleep = pin::pin!(tokio_time::sleep_until(deadline));
    future::poll_fn(|context| {
        if let task::Poll::Ready(output) = awaited.as_mut().poll(context) {
            return task::Poll::Ready(Ok(output));
        }
        // The runtime does not look at its timers for many rounds while tasks are ready, as one is
        // that reads without end.
        if tokio_time::Instant::now() >= deadline {
            return task::Poll::Ready(Err(Elapsed));
        }
        sleep.as_mut().poll(context).map(|()| Err(Elapsed))
    })
    .await
}

/// Awaits a future that receives a message and records its progress in `progress`, until the
/// deadline of the transfer, which each piece that arrives moves.
///
/// # Errors
///
/// Returns [`Elapsed`] if the deadline passes first; the future is dropped then.
pub async fn timeout_transfer<F: future::Future>(
    limits: transfer::Limits,
    progress: &cell::Cell<transfer::Transfer>,
    awaited: F,
) -> Result<F::Output, Elapsed> {
    let mut awaited = pin::pin!(awaited);
    let mut sleep = pin::pin!(tokio_time::sleep(limits.idle_max));
    future::poll_fn(|context| {
        if let task::Poll::Ready(output) = awaited.as_mut().poll(context) {
            return task::Poll::Ready(Ok(output));
        }
        loop {
            let time_left = progress.get().deadline(&limits).since(clock::now());
            if time_left.is_zero() {
                return task::Poll::Ready(Err(Elapsed));
            }
            if sleep.as_mut().poll(context).is_pending() {
                return task::Poll::Pending;
            }
            sleep.as_mut().reset(tokio_time::Instant::now() + time_left);
        }
    })
    .await
}
