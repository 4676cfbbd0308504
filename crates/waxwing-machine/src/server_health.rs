//! Health and load of one backend server, by the outcomes of requests to it.

use std::time;

use waxwing_units::time as units_time;

/// How long a load report of a server counts.
const REPORT_VALIDITY: time::Duration = time::Duration::from_millis(400);

/// The weight of the newest result in the failure rate, a moving average, as one part in this many.
const NEWEST_WEIGHT_DIVISOR: u32 = 4;

/// The failure rate above which a server is ejected, in thousandths.
const FAILURES_MAX_PERMILLE: u32 = 600;

/// The failure rate that an ejected server starts with when it is tried again, in thousandths.
const FAILURES_PROBATION_PERMILLE: u32 = 400;

/// The duration of the first ejection; it doubles with each further one.
const EJECTION_MIN: time::Duration = time::Duration::from_millis(1_000);

/// The maximum number of doublings of the duration of an ejection.
const EJECTION_DOUBLINGS_MAX: u32 = 3;

/// The number of concurrent requests at a server that has just ended its probation; it doubles with
/// each success.
const RAMP_START: u32 = 2;

/// The number of concurrent requests from which the ramp no longer limits them.
const RAMP_END: u32 = 64;

/// The outcome of an attempt at a server, as far as it affects the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server sent a response that reports no failure.
    Responded,
    /// The server sent a response that reports a failure.
    ErrorResponse,
    /// The server reported that it did not run the request.
    Shed,
    /// The server refused or broke the connection, or did not respond.
    Failed,
    /// The attempt ended for a reason that is not the server's.
    NotAttributable,
}

/// The load that a server reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// The number of requests that it runs now.
    pub running: u32,
    /// The number of requests in its queue.
    pub waiting: u32,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
}

/// The last load report, without this machine's own requests.
#[derive(Debug, Clone, Copy)]
struct Report {
    load_of_others: u32,
    reported_at: units_time::MonoInstant,
}

/// The health and load of one backend server on this machine.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    in_flight: u32,
    report: Option<Report>,
    failures_permille: u32,
    ejections: u32,
    ejected_until: Option<units_time::MonoInstant>,
    /// The largest number of concurrent requests, until the ramp after a probation has ended.
    ramp_max: Option<u32>,
}

impl ServerHealth {
    /// Returns the number of this machine's requests in progress at the server.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of all machines' requests at the server, by its last report while that
    /// is recent.
    pub fn load(&self, now: units_time::MonoInstant) -> u32 {
        let report = self.report.filter(|report| now.since(report.reported_at) < REPORT_VALIDITY);
        self.in_flight.saturating_add(report.map_or(0, |report| report.load_of_others))
    }

    /// Returns whether the server may receive one more request now.
    pub fn accepts_request(&self, now: units_time::MonoInstant) -> bool {
        let concurrent_max = match self.is_on_probation() {
            true => 1,
            false => self.ramp_max.unwrap_or(u32::MAX),
        };
        !self.is_ejected(now) && self.in_flight < concurrent_max
    }

    /// Sends no requests until an instant; the server is on probation then.
    pub fn eject_until(&mut self, until: units_time::MonoInstant) {
        self.ejected_until = self.ejected_until.max(Some(until));
    }

    /// Returns whether the server is ejected and receives no requests.
    pub fn is_ejected(&self, now: units_time::MonoInstant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server has not recovered since its last ejection. After the ejection it
    /// receives one request at a time, until one succeeds, and then a few more with each success.
    pub const fn is_on_probation(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Counts a request that is sent to the server.
    pub const fn begin_request(&mut self) {
        self.in_flight += 1;
    }

    /// Records the outcome of a request, with the server's load report if it sent one.
    pub fn end_request(
        &mut self,
        now: units_time::MonoInstant,
        outcome: AttemptOutcome,
        load: Option<Load>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            let load_of_others =
                load.running.saturating_add(load.waiting).saturating_sub(self.in_flight);
            self.report = Some(Report { load_of_others, reported_at: now });
        }
        match outcome {
            AttemptOutcome::Responded => self.record_result(now, 0),
            AttemptOutcome::ErrorResponse | AttemptOutcome::Failed => {
                self.record_result(now, 1_000)
            }
            AttemptOutcome::Shed | AttemptOutcome::NotAttributable => (),
        }
    }

    fn record_result(&mut self, now: units_time::MonoInstant, failure_permille: u32) {
        let retained = self.failures_permille * (NEWEST_WEIGHT_DIVISOR - 1);
        self.failures_permille = (retained + failure_permille) / NEWEST_WEIGHT_DIVISOR;
        if self.is_ejected(now) {
            return;
        }
        if failure_permille == 0 {
            self.advance_ramp();
            self.ejected_until = None;
            self.ejections = 0;
        }
        let failed_on_probation = self.is_on_probation() && failure_permille > 0;
        if self.failures_permille > FAILURES_MAX_PERMILLE || failed_on_probation {
            let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
            self.ejections += 1;
            self.failures_permille = FAILURES_PROBATION_PERMILLE;
            self.ejected_until = Some(now.after(EJECTION_MIN * 2_u32.pow(doublings)));
        }
    }

    /// Allows more concurrent requests after one has succeeded.
    fn advance_ramp(&mut self) {
        self.ramp_max = match self.is_on_probation() {
            true => Some(RAMP_START),
            false => self.ramp_max.map(|max| max * 2).filter(|max| *max < RAMP_END),
        };
    }
}
