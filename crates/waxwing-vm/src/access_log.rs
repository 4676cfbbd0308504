//! The access log: one log line and the metrics of each request, written when it ends. The lines
//! are bounded per second.

use waxwing_process::clock;
use waxwing_process::log_limiter;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::http_adapter;
use crate::request_admission;
use crate::vm;

/// How a request ended, as logs and metrics name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A backend server's response was forwarded.
    Answered,
    /// The request was rejected, or all attempts failed.
    Refused,
    /// The caller disconnected before a response.
    CallerGone,
}

impl Outcome {
    /// Returns the value of the log key and the metric label `outcome`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CallerGone => "caller-gone",
        }
    }
}

/// The access log entry of a request in progress. If it is dropped before [`finish`](Self::finish),
/// the caller has disconnected, and the entry says so.
pub struct AccessLogEntry {
    vm: vm::Shared,
    received_at: units_time::MonoInstant,
    request_id: String,
    path: String,
    route: String,
    service: String,
    organisation: String,
    object: String,
    /// The version of the configuration that decided, and how long ago it was last confirmed as the
    /// newest.
    version: u64,
    version_age_ms: u64,
    attempts: Vec<String>,
    is_written: bool,
}

impl AccessLogEntry {
    /// Starts the entry of a request that has just arrived.
    pub fn begin(vm: &vm::Shared, incoming: &http_adapter::IncomingRequest) -> Self {
        Self {
            vm: vm.clone(),
            received_at: clock::now(),
            request_id: incoming.request_id.clone(),
            path: incoming.path.clone(),
            route: String::new(),
            service: String::new(),
            organisation: String::new(),
            object: incoming.object.clone().unwrap_or_default(),
            version: 0,
            version_age_ms: 0,
            attempts: Vec::new(),
            is_written: false,
        }
    }

    /// Records the configuration by which the request is decided.
    pub fn record_configuration(&mut self, configuration: &vm::ActiveConfiguration) {
        self.version = configuration.table.as_ref().map_or(0, |table| table.version().0);
        let age = configuration.confirmed_at.map(|at| clock::now().since(at)).unwrap_or_default();
        self.version_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    }

    /// Records the name of the route that matched.
    pub fn record_route(&mut self, route: &str) {
        route.clone_into(&mut self.route);
    }

    /// Records the organisation that sent the request.
    pub fn record_organisation(&mut self, organisation: Option<&id::OrganisationId>) {
        self.organisation = organisation.map(ToString::to_string).unwrap_or_default();
    }

    /// Records the service that the request is forwarded to.
    pub fn record_service(&mut self, request: &request_admission::AdmittedRequest) {
        self.service = request.service.to_string();
    }

    /// Records and counts an attempt with its outcome.
    pub fn record_attempt(&mut self, server: &id::BackendServerId, outcome: &str) {
        self.attempts.push(format!("{server}: {outcome}"));
        self.vm.counters.count_attempt(outcome);
    }

    /// Writes the entry and counts the request.
    pub fn finish(mut self, outcome: Outcome, status: u16, reason: &str) {
        self.write(outcome, status, reason);
    }

    fn write(&mut self, outcome: Outcome, status: u16, reason: &str) {
        self.is_written = true;
        let now = clock::now();
        let duration = now.since(self.received_at);
        self.vm.counters.count_request(outcome.name(), status, duration);
        let kind = match outcome {
            Outcome::Answered if self.attempts.len() == 1 => log_limiter::Kind::Routine,
            _ => log_limiter::Kind::Failure,
        };
        let Some(left_out) = self.vm.access_log_limiter.admit(now, kind) else {
            return;
        };
        let took_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        log::info!(
            request = self.request_id.as_str(),
            path = self.path.as_str(),
            route = self.route.as_str(),
            service = self.service.as_str(),
            organisation = self.organisation.as_str(),
            object = self.object.as_str(),
            version = self.version,
            version_age_ms = self.version_age_ms,
            attempts = self.attempts.join("; ").as_str(),
            outcome = outcome.name(),
            status = status,
            reason = reason,
            took_ms = took_ms,
            left_out = left_out;
            "request ended"
        );
    }
}

impl Drop for AccessLogEntry {
    fn drop(&mut self) {
        if !self.is_written {
            self.write(Outcome::CallerGone, 0, "the caller has gone");
        }
    }
}
