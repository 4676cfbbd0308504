//! The shutdown of a process, as the requests in progress see it.

use std::future;
use std::pin;
use std::task;

use tokio::sync::watch;
use waxwing_request::shutdown;
use waxwing_units::time as units_time;

use crate::clock;
use crate::timer;

/// The schedule of the process's shutdown, once the signal has come.
#[derive(Debug, Default)]
pub struct Shutdown {
    schedule: watch::Sender<Option<shutdown::Schedule>>,
}

impl Shutdown {
    /// Sets the schedule, which also ends earlier timeouts in time.
    pub fn begin(&self, schedule: shutdown::Schedule) {
        self.schedule.send_replace(Some(schedule));
    }

    /// Returns the schedule; `None` before the signal.
    pub fn schedule(&self) -> Option<shutdown::Schedule> {
        *self.schedule.borrow()
    }

    /// Returns whether a new request is accepted now; see [`shutdown::Schedule::admits`].
    pub fn admits(&self, request: &shutdown::Request) -> bool {
        self.schedule().is_none_or(|schedule| schedule.admits(clock::now(), request))
    }

    /// Returns whether a request may be passed on to a backend server now; see
    /// [`shutdown::Schedule::allows_attempt`].
    pub fn allows_attempt(&self, request: &shutdown::Request) -> bool {
        self.schedule().is_none_or(|schedule| schedule.allows_attempt(clock::now(), request))
    }

    /// Returns whether the last responses of the process are due.
    pub fn are_responses_due(&self) -> bool {
        self.schedule().is_some_and(|schedule| clock::now() >= schedule.responses_due_at)
    }

    /// Returns `deadline`, or when the last responses of the process are due if that is earlier.
    pub fn limit(&self, deadline: units_time::MonoInstant) -> units_time::MonoInstant {
        self.schedule().map_or(deadline, |schedule| deadline.min(schedule.responses_due_at))
    }

    /// Awaits a future until `deadline`, or until the last responses of the process are due, also
    /// if the shutdown begins meanwhile.
    ///
    /// # Errors
    ///
    /// Returns [`timer::Elapsed`] if the time has passed first; the future is dropped then.
    pub async fn timeout<F: future::Future>(
        &self,
        deadline: units_time::MonoInstant,
        awaited: F,
    ) -> Result<F::Output, timer::Elapsed> {
        self.timeout_with(deadline, || self.limit(deadline), awaited).await
    }

    /// Awaits a future that an attempt needs, until the deadline of `request` or until the shutdown
    /// no longer allows the attempt.
    ///
    /// # Errors
    ///
    /// Returns [`timer::Elapsed`] if the time has passed first; the future is dropped then.
    pub async fn timeout_before_attempt<F: future::Future>(
        &self,
        request: &shutdown::Request,
        awaited: F,
    ) -> Result<F::Output, timer::Elapsed> {
        let limit = || match self.allows_attempt(request) {
            true => self.limit(request.deadline),
            false => units_time::MonoInstant::default(),
        };
        self.timeout_with(request.deadline, limit, awaited).await
    }

    /// Awaits a future until `deadline`; once the shutdown has begun, until what `limit` returns.
    async fn timeout_with<F: future::Future>(
        &self,
        deadline: units_time::MonoInstant,
        limit: impl Fn() -> units_time::MonoInstant,
        awaited: F,
    ) -> Result<F::Output, timer::Elapsed> {
        let mut changes = self.schedule.subscribe();
        let mut awaited = pin::pin!(awaited);
        if self.schedule().is_none() {
            let changed = async {
                drop(changes.changed().await);
            };
            let time_left = deadline.since(clock::now());
            let first = timer::timeout(time_left, either(awaited.as_mut(), changed)).await?;
            if let Some(output) = first {
                return Ok(output);
            }
        }
        timer::timeout(limit().since(clock::now()), awaited).await
    }
}

/// Awaits the first of two futures to end; returns the output of `awaited`, or `None` if `other`
/// ends first.
async fn either<F: future::Future>(
    mut awaited: pin::Pin<&mut F>,
    other: impl future::Future<Output = ()>,
) -> Option<F::Output> {
    let mut other = pin::pin!(other);
    future::poll_fn(|context| match awaited.as_mut().poll(context) {
        task::Poll::Ready(output) => task::Poll::Ready(Some(output)),
        task::Poll::Pending => other.as_mut().poll(context).map(|()| None),
    })
    .await
}
