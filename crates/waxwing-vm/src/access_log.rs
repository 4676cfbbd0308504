//! What is written and counted of one request: one line when it ends, whatever its end.

use waxwing_process::clock;
use waxwing_process::log_limiter;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::http_adapter;
use crate::request_admission;
use crate::vm;

/// What became of a request, as logs and metrics name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A backend server's answer was passed on.
    Answered,
    /// The request was refused or failed.
    Refused,
    /// The caller has gone before an answer.
    CallerGone,
}

impl Outcome {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CallerGone => "caller-gone",
        }
    }
}

/// What is known of a request when it ends; dropped before, its caller has gone.
pub struct Trace {
    vm: vm::Shared,
    began_at: units_time::MonoInstant,
    request: String,
    path: String,
    route: String,
    service: String,
    organisation: String,
    object: String,
    /// The version of the configuration that decided, and how old the word is that it is the newest.
    version: u64,
    version_age_ms: u64,
    attempts: Vec<String>,
    is_ended: bool,
}

impl Trace {
    /// Begins the trace of a request.
    pub fn begin(vm: &vm::Shared, arrival: &http_adapter::IncomingRequest) -> Self {
        Self {
            vm: vm.clone(),
            began_at: clock::now(),
            request: arrival.request_id.clone(),
            path: arrival.path.clone(),
            route: String::new(),
            service: String::new(),
            organisation: String::new(),
            object: arrival.object.clone().unwrap_or_default(),
            version: 0,
            version_age_ms: 0,
            attempts: Vec::new(),
            is_ended: false,
        }
    }

    /// Notes by which configuration the request was checked.
    pub fn note_configuration(&mut self, in_force: &vm::InForce) {
        self.version = in_force.table.as_ref().map_or(0, |table| table.version().0);
        let age = in_force.confirmed_at.map(|at| clock::now().since(at)).unwrap_or_default();
        self.version_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    }

    /// Notes the route.
    pub fn note_route(&mut self, route: &str) {
        route.clone_into(&mut self.route);
    }

    /// Notes whose request it is.
    pub fn note_organisation(&mut self, organisation: Option<&id::OrganisationId>) {
        self.organisation = organisation.map(ToString::to_string).unwrap_or_default();
    }

    /// Notes where the request goes.
    pub fn note_journey(&mut self, journey: &request_admission::Journey) {
        self.service = journey.service.to_string();
    }

    /// Notes an attempt and how it ended.
    pub fn note_attempt(&mut self, server: &id::BackendServerId, ending: &str) {
        self.attempts.push(format!("{server}: {ending}"));
        self.vm.counters.count_attempt(ending);
    }

    /// Ends the trace.
    pub fn end(mut self, outcome: Outcome, status: u16, reason: &str) {
        self.write(outcome, status, reason);
    }

    fn write(&mut self, outcome: Outcome, status: u16, reason: &str) {
        self.is_ended = true;
        let now = clock::now();
        let took = now.since(self.began_at);
        self.vm.counters.count_request(outcome.name(), status, took);
        let kind = match outcome {
            Outcome::Answered if self.attempts.len() == 1 => log_limiter::Kind::Routine,
            _ => log_limiter::Kind::Failure,
        };
        let Some(left_out) = self.vm.volume.admit(now, kind) else {
            return;
        };
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        log::info!(
            request = self.request.as_str(),
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

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.is_ended {
            self.write(Outcome::CallerGone, 0, "the caller has gone");
        }
    }
}
