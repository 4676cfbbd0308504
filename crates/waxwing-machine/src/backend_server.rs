//! A backend server's slots, health and slow start.
//!
//! What a server reports of itself lags and may be wrong, so it only ever lowers what the slots
//! and the outcomes of requests allow, never raises it.

use std::time;

use waxwing_record::record;
use waxwing_units::time as units_time;

/// Failures in a row after which a server is ejected.
pub const FAILURES_TO_EJECT: u32 = 3;

/// How long a server is ejected the first time.
pub const EJECTION_BASE: time::Duration = time::Duration::from_secs(2);

/// How long a server is ejected at most.
pub const EJECTION_MAX: time::Duration = time::Duration::from_secs(30);

/// How long a server that is new or back takes to get all of its slots.
pub const SLOW_START: time::Duration = time::Duration::from_secs(10);

/// How one attempt at a server ended, as far as the server's state is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered.
    Responded,
    /// The server said that it has no room and did not run the request.
    Shed,
    /// The server refused the connection, broke it, or was silent.
    Failed,
}

/// What a server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Slots that it says are in use.
    pub slots_in_use: u32,
}

/// A backend server as this machine uses it.
#[derive(Debug, Clone)]
pub struct BackendServer {
    record: record::BackendServer,
    in_flight: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<units_time::MonoInstant>,
    warm_since: units_time::MonoInstant,
    report: Option<Report>,
}

impl BackendServer {
    /// Creates a server that starts with few slots.
    pub const fn new(record: record::BackendServer, now: units_time::MonoInstant) -> Self {
        Self {
            record,
            in_flight: 0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            warm_since: now,
            report: None,
        }
    }

    /// Returns the server's record.
    pub const fn record(&self) -> &record::BackendServer {
        &self.record
    }

    /// Replaces the server's record.
    pub fn set_record(&mut self, record: record::BackendServer) {
        self.record = record;
    }

    /// Takes in what the server reports of itself.
    pub fn set_report(&mut self, now: units_time::MonoInstant, report: Report) {
        let was_ready = self.report.is_none_or(|report| report.is_ready);
        if report.is_ready && !was_ready {
            self.warm_since = now;
        }
        self.report = Some(report);
    }

    /// Returns requests that are at the server now.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Tells whether the server is ejected.
    pub fn is_ejected(&self, now: units_time::MonoInstant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns how many requests this machine may have at the server now.
    ///
    /// The number rises from one to all slots within [`SLOW_START`].
    pub fn slots(&self, now: units_time::MonoInstant) -> u32 {
        let warm = now.since(self.warm_since).as_millis().min(SLOW_START.as_millis());
        let grown = u128::from(self.record.slots) * warm / SLOW_START.as_millis();
        u32::try_from(grown).unwrap_or(u32::MAX).clamp(1, self.record.slots.max(1))
    }

    /// Tells whether the server takes new work, by its last report.
    pub fn is_ready(&self) -> bool {
        self.report.is_none_or(|report| report.is_ready)
    }

    /// Returns the free slots; none where the server is ejected or says that it is not ready.
    pub fn free_slots(&self, now: units_time::MonoInstant) -> u32 {
        if self.is_ejected(now) || !self.is_ready() {
            return 0;
        }
        self.slots(now).saturating_sub(self.in_flight)
    }

    /// Takes a slot.
    pub const fn acquire_slot(&mut self) {
        self.in_flight += 1;
    }

    /// Gives a slot back and judges the server by how the attempt ended.
    pub fn release_slot(&mut self, now: units_time::MonoInstant, ending: AttemptOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match ending {
            AttemptOutcome::Responded => {
                self.failures = 0;
                self.ejections = 0;
            }
            AttemptOutcome::Shed => (),
            AttemptOutcome::Failed => self.fail(now),
        }
    }

    fn fail(&mut self, now: units_time::MonoInstant) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        self.failures = 0;
        let span = EJECTION_BASE * 2_u32.saturating_pow(self.ejections.min(8));
        let until = now.after(span.min(EJECTION_MAX));
        self.ejections += 1;
        self.ejected_until = Some(until);
        self.warm_since = until;
    }
}
