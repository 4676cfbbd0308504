//! Which requests a machine still passes on during a shutdown, and when their responses are due.
//!
//! From the signal on, the machine knows when its process ends. A request that might not be
//! answered by then is refused at once, so that its caller goes to another machine with the time
//! that it has left. What is unanswered when the last responses are due fails with its true
//! outcome, so that no connection ends without a response.

use std::time;

use waxwing_units::time as units_time;

use crate::attempt;

/// How long after the signal idempotent requests are admitted although their deadline is later than
/// the shutdown allows: in this time, callers still arrive because directories have named the
/// machine, and most need far less time than they allow.
const SHORTENED_ADMISSION: time::Duration = time::Duration::from_secs(2);

/// The instants of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// When the signal came.
    pub started_at: units_time::MonoInstant,
    /// When the machine begins to refuse all new requests.
    pub closes_at: units_time::MonoInstant,
    /// When requests without a response fail, shortly before the process ends.
    pub responses_due_at: units_time::MonoInstant,
}

/// What the decision depends on, for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// When its response is due, by its caller and its route.
    pub deadline: units_time::MonoInstant,
    /// How long it is expected to take; zero if that is not known.
    pub expected_duration: time::Duration,
    /// Whether it may be run more than once.
    pub repeatability: attempt::Repeatability,
}

impl Schedule {
    /// Returns whether a request may be passed on to a backend server at `now`.
    ///
    /// A request whose deadline is later than the last responses are due may be broken off. The
    /// caller of an at-most-once request can't repair that, so such a request is refused. An
    /// idempotent one is accepted at first, if it is expected to end in time.
    pub fn allows_attempt(&self, now: units_time::MonoInstant, request: &Request) -> bool {
        if now >= self.responses_due_at {
            return false;
        }
        if request.deadline <= self.responses_due_at {
            return true;
        }
        let time_left = self.responses_due_at.since(now);
        match request.repeatability {
            attempt::Repeatability::AtMostOnce => false,
            attempt::Repeatability::Idempotent => {
                now.since(self.started_at) < SHORTENED_ADMISSION
                    && request.expected_duration <= time_left
            }
        }
    }

    /// Returns whether a new request is accepted at `now`.
    ///
    /// Once the machine is closed to new requests, only those under way are attempted again.
    pub fn admits(&self, now: units_time::MonoInstant, request: &Request) -> bool {
        now < self.closes_at && self.allows_attempt(now, request)
    }
}
