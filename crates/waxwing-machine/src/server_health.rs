//! What one backend server bears, by its answers.

use std::time;

use waxwing_units::time as units_time;

/// How long what a server reported of its load counts.
const REPORT_VALIDITY: time::Duration = time::Duration::from_millis(400);

/// The weight of the newest answer in the share of failures, as one in this many.
const FAILURE_WEIGHT: u32 = 4;

/// The share of failures above which a server is left alone, in thousandths.
const FAILURES_MAX_PERMILLE: u32 = 600;

/// The share of failures that a server is taken to have when it is tried again.
const FAILURES_RETRIED_PERMILLE: u32 = 400;

/// How long a server is left alone the first time.
const REST_MIN: time::Duration = time::Duration::from_millis(1_000);

/// How often the rest is doubled at most.
const REST_DOUBLINGS_MAX: u32 = 3;

/// How an attempt at a server ended, as far as the server is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Responded,
    /// It answered that it failed.
    ErrorResponse,
    /// It said that it did not run the request.
    Shed,
    /// It refused or broke the connection, or was silent.
    Failed,
    /// The attempt ended for a cause that is not the server's.
    NotAttributable,
}

/// What a server reports of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
}

/// What was reported, and how much of it was this machine's own.
#[derive(Debug, Clone, Copy)]
struct Report {
    others: u32,
    at: units_time::MonoInstant,
}

/// What one backend server bears.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    in_flight: u32,
    report: Option<Report>,
    failures_permille: u32,
    rests: u32,
    rests_until: Option<units_time::MonoInstant>,
}

impl ServerHealth {
    /// Returns this machine's requests at the server.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns all requests at the server, as far as this machine knows.
    pub fn load(&self, now: units_time::MonoInstant) -> u32 {
        let report = self.report.filter(|report| now.since(report.at) < REPORT_VALIDITY);
        self.in_flight + report.map_or(0, |report| report.others)
    }

    /// Tells whether the server is left alone now.
    pub fn is_ejected(&self, now: units_time::MonoInstant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Tells whether the server failed lately, so that one request at a time finds out whether it
    /// is well again.
    pub const fn is_on_probation(&self) -> bool {
        self.rests_until.is_some()
    }

    /// Notes a request that is sent.
    pub const fn begin_request(&mut self) {
        self.in_flight += 1;
    }

    /// Notes how a request ended.
    pub fn end_request(
        &mut self,
        now: units_time::MonoInstant,
        ending: AttemptOutcome,
        load: Option<Load>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            let others = (load.running + load.waiting).saturating_sub(self.in_flight);
            self.report = Some(Report { others, at: now });
        }
        match ending {
            AttemptOutcome::Responded => self.judge(now, 0),
            AttemptOutcome::ErrorResponse | AttemptOutcome::Failed => self.judge(now, 1_000),
            AttemptOutcome::Shed | AttemptOutcome::NotAttributable => (),
        }
    }

    fn judge(&mut self, now: units_time::MonoInstant, failure_permille: u32) {
        let kept = self.failures_permille * (FAILURE_WEIGHT - 1);
        self.failures_permille = (kept + failure_permille) / FAILURE_WEIGHT;
        if failure_permille == 0 && !self.is_ejected(now) {
            self.rests_until = None;
            self.rests = 0;
        }
        if self.is_ejected(now) {
            return;
        }
        let is_back_too_soon = self.is_on_probation() && failure_permille > 0;
        if self.failures_permille > FAILURES_MAX_PERMILLE || is_back_too_soon {
            let doublings = self.rests.min(REST_DOUBLINGS_MAX);
            self.rests += 1;
            self.failures_permille = FAILURES_RETRIED_PERMILLE;
            self.rests_until = Some(now.after(REST_MIN * 2_u32.pow(doublings)));
        }
    }
}
