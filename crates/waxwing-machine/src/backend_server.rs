//! State of one backend server on an entry VM: slots in use, outlier ejection and slow start.
//!
//! A server's own report lags and may be wrong, so it can only lower the number of requests that
//! the slots and the outcomes of earlier requests allow.

use std::time;

use waxwing_record::record;
use waxwing_units::time as units_time;

/// The number of consecutive failures after which a server is ejected.
pub const FAILURES_TO_EJECT: u32 = 3;

/// The duration of the first ejection; it doubles with each further one.
pub const EJECTION_BASE: time::Duration = time::Duration::from_secs(2);

/// The longest duration of an ejection.
pub const EJECTION_MAX: time::Duration = time::Duration::from_secs(30);

/// How long a new or returning server takes to ramp up to all of its slots.
pub const SLOW_START: time::Duration = time::Duration::from_secs(10);

/// The outcome of one attempt at a server, as far as it affects the server's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server sent a response.
    Responded,
    /// The server rejected the request for lack of capacity and did not run it.
    Shed,
    /// The server refused or broke the connection, or did not respond.
    Failed,
}

/// The state that a server reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// The number of slots in use, by its own count.
    pub slots_in_use: u32,
}

/// A backend server with its state on this machine.
#[derive(Debug, Clone)]
pub struct BackendServer {
    record: record::BackendServer,
    in_flight: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<units_time::MonoInstant>,
    ramp_up_since: units_time::MonoInstant,
    report: Option<Report>,
}

impl BackendServer {
    /// Creates a server at the beginning of its slow start.
    pub const fn new(record: record::BackendServer, now: units_time::MonoInstant) -> Self {
        Self {
            record,
            in_flight: 0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            ramp_up_since: now,
            report: None,
        }
    }

    /// Returns the server's record, as the store has it.
    pub const fn record(&self) -> &record::BackendServer {
        &self.record
    }

    /// Replaces the server's record; requests in progress and ejections stay.
    pub fn set_record(&mut self, record: record::BackendServer) {
        self.record = record;
    }

    /// Stores the server's report. A server that becomes ready again starts slowly.
    pub fn set_report(&mut self, now: units_time::MonoInstant, report: Report) {
        let was_ready = self.report.is_none_or(|report| report.is_ready);
        if report.is_ready && !was_ready {
            self.ramp_up_since = now;
        }
        self.report = Some(report);
    }

    /// Returns the number of this machine's requests in progress at the server.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, now: units_time::MonoInstant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the limit on this machine's concurrent requests to the server.
    ///
    /// The limit rises from one to all slots within [`SLOW_START`].
    pub fn slots(&self, now: units_time::MonoInstant) -> u32 {
        let elapsed_ms = now.since(self.ramp_up_since).as_millis().min(SLOW_START.as_millis());
        let ramped_up = u128::from(self.record.slots) * elapsed_ms / SLOW_START.as_millis();
        u32::try_from(ramped_up).unwrap_or(u32::MAX).clamp(1, self.record.slots.max(1))
    }

    /// Returns whether the server accepts new requests by its last report; true before the first.
    pub fn is_ready(&self) -> bool {
        self.report.is_none_or(|report| report.is_ready)
    }

    /// Returns the free slots; zero if the server is ejected or reports that it is not ready.
    pub fn free_slots(&self, now: units_time::MonoInstant) -> u32 {
        if self.is_ejected(now) || !self.is_ready() {
            return 0;
        }
        self.slots(now).saturating_sub(self.in_flight)
    }

    /// Acquires a slot for a request that is sent to the server.
    pub const fn acquire_slot(&mut self) {
        self.in_flight += 1;
    }

    /// Releases a slot and updates the server's failures and ejection by the outcome.
    pub fn release_slot(&mut self, now: units_time::MonoInstant, outcome: AttemptOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Responded => {
                self.failures = 0;
                self.ejections = 0;
            }
            AttemptOutcome::Shed => (),
            AttemptOutcome::Failed => self.record_failure(now),
        }
    }

    fn record_failure(&mut self, now: units_time::MonoInstant) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        self.failures = 0;
        let span = EJECTION_BASE * 2_u32.saturating_pow(self.ejections.min(8));
        let until = now.after(span.min(EJECTION_MAX));
        self.ejections += 1;
        self.ejected_until = Some(until);
        self.ramp_up_since = until;
    }
}
