//! Handles one request from its arrival to its response: admission, upstream attempts and retries.

use std::rc;
use std::sync::atomic;
use std::time;

use futures_util::stream;
use ntex::http;
use ntex::util as ntex_util;
use ntex::web;
use waxwing_machine::memory_budget;
use waxwing_machine::placement;
use waxwing_process::clock;
use waxwing_request::attempt;
use waxwing_request::outcome;
use waxwing_units::id;
use waxwing_units::rendezvous;

use crate::access_log;
use crate::body;
use crate::connection_pool;
use crate::exchange;
use crate::http_adapter;
use crate::memory;
use crate::refusal;
use crate::request_admission;
use crate::service_pools;
use crate::vm;

/// The least time left for which an attempt is sent; a response can't arrive within less.
const SEND_TIME_LEFT_MIN: time::Duration = time::Duration::from_millis(20);

/// The part of its latency objective, as a divisor, that a request waits for a slot; the rest is for
/// the server.
const SLOT_WAIT_DIVISOR: u32 = 4;

/// The time after a backoff over which callers are asked to return.
const RETURN_SPREAD_MAX: time::Duration = time::Duration::from_millis(500);

/// The connection pool of the worker thread that handles a request.
pub type LocalPool = rc::Rc<connection_pool::ConnectionPool>;

/// Counts a request as in progress until it is dropped.
pub struct InFlightGuard(vm::Shared);

impl InFlightGuard {
    fn begin(vm: &vm::Shared) -> Self {
        vm.in_flight.fetch_add(1, atomic::Ordering::AcqRel);
        Self(vm.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// A part of a caller's body, or why the body ended early.
pub type Chunk = std::result::Result<ntex_util::Bytes, String>;

/// A request whose body was read, before admission.
pub struct PendingRequest {
    in_flight: InFlightGuard,
    request_id: String,
    log_entry: access_log::AccessLogEntry,
    received: request_admission::ReceivedRequest,
    /// The memory that the head takes.
    memory: memory::Reservation,
}

/// Registers a request as in progress and reads its body; `memory` is that of its head.
pub async fn begin(
    vm: &vm::Shared,
    request: http::Request,
    body: impl stream::Stream<Item = Chunk> + Unpin,
    memory: memory::Reservation,
) -> PendingRequest {
    let in_flight = InFlightGuard::begin(vm);
    vm.arrival_rate.record(clock::now());
    let incoming = vm.adapter.parse_request(request.head());
    let request_id = incoming.request_id.clone();
    let mut log_entry = access_log::AccessLogEntry::begin(vm, &incoming);
    let connection = memory.connection();
    let received =
        request_admission::receive(vm, connection, request, incoming, body, &mut log_entry).await;
    PendingRequest { in_flight, request_id, log_entry, received, memory }
}

/// A response for a caller.
pub struct ResponseForCaller {
    /// The response of a backend server without its body, or the refusal.
    pub response: web::HttpResponse,
    /// The body of a backend server's response; empty with a refusal, which has its own.
    pub body: body::Body,
    /// Counts the request as in progress; held until the response was sent.
    pub in_flight: InFlightGuard,
}

/// Admits a request, forwards it and returns the response or the refusal for the caller.
pub async fn forward(
    vm: &vm::Shared,
    pool: &LocalPool,
    pending: PendingRequest,
) -> ResponseForCaller {
    let PendingRequest { in_flight, request_id, mut log_entry, received, memory } = pending;
    let allows_denial = received.allows_denial();
    let connection = memory.connection();
    let result = match request_admission::admit(vm, received, &mut log_entry).await {
        Ok(request) => send_with_retries(vm, pool, connection, &request, &mut log_entry).await,
        Err(refusal) => Err(refusal),
    };
    let (response, body) = match result {
        Ok(response) => {
            log_entry.finish(access_log::Outcome::Answered, response.status.as_u16(), "");
            build_response(response)
        }
        Err(refusal) => {
            let refusal = match refusal.depends_on_configuration() && !allows_denial {
                true => refusal::Refusal::ConfigurationStale,
                false => refusal,
            };
            let response = vm.adapter.refusal_response(&request_id, &refusal);
            let reason = refusal.to_string();
            log_entry.finish(access_log::Outcome::Refused, response.status().as_u16(), &reason);
            (response, body::Body::default())
        }
    };
    ResponseForCaller { response, body, in_flight }
}

fn build_response(response: exchange::Response) -> (web::HttpResponse, body::Body) {
    let mut builder = web::HttpResponse::build(response.status);
    for (name, value) in response.headers {
        builder.header(name, value);
    }
    (builder.finish(), response.body)
}

/// The attempts of a request so far.
#[derive(Default)]
struct PriorAttempts {
    servers: Vec<id::BackendServerId>,
    history: attempt::History,
    /// The last response by which a server reported a failure; it is forwarded if no later attempt
    /// brings a response.
    error_response: Option<exchange::Response>,
}

/// Sends the request to one server after another until a response can be forwarded or no retry is
/// allowed.
async fn send_with_retries(
    vm: &vm::Shared,
    pool: &LocalPool,
    connection: &memory::SharedConnection,
    request: &request_admission::AdmittedRequest,
    log_entry: &mut access_log::AccessLogEntry,
) -> refusal::Result<exchange::Response> {
    let mut prior = PriorAttempts::default();
    loop {
        let mut slot = match next_slot_in_time(vm, request, &mut prior).await {
            Ok(slot) => slot,
            Err(refusal) => {
                if let (true, Some(organisation)) =
                    (prior.servers.is_empty(), &request.organisation)
                {
                    vm.contracts.refund(organisation);
                }
                return prior.error_response.take().ok_or(refusal);
            }
        };
        if prior.servers.is_empty() {
            vm.pools.deposit_retry(&request.service, vm.retry_limit());
        }
        prior.servers.push(slot.lease().server.clone());
        let result = send(vm, pool, connection, request, &mut slot).await;
        record_attempt(log_entry, slot.lease(), &result);
        let failure = match result {
            Ok(response) if !should_retry_response(vm, request, &response, &prior) => {
                return Ok(response);
            }
            Ok(response) => {
                prior.error_response = Some(response);
                continue;
            }
            Err(failure) => failure,
        };
        drop(slot);
        if let Err(refusal) = retry_or_fail(vm, request, &mut prior, failure) {
            return prior.error_response.take().ok_or(refusal);
        }
    }
}

/// Takes a slot for the next attempt; if all servers that the request may use are full, waits for one
/// among the other requests of the service.
async fn next_slot_in_time(
    vm: &vm::Shared,
    request: &request_admission::AdmittedRequest,
    prior: &mut PriorAttempts,
) -> refusal::Result<service_pools::Slot> {
    let wait_max = request.route.latency_objective / SLOT_WAIT_DIVISOR;
    let wait_until = vm.shutdown.limit(request.deadline).min(clock::now().after(wait_max));
    let mut place = None;
    loop {
        let refusal = match next_slot(vm, request, prior) {
            Ok(slot) => return Ok(slot),
            Err(refusal) => refusal,
        };
        let time_left = wait_until.since(clock::now());
        if !refusal.is_for_lack_of_slots() || time_left.is_zero() {
            return Err(refusal);
        }
        if place.is_none() {
            let (service, due_at) = (&request.service, request.deadline);
            place = vm.pools.enter_waiting_room(vm, service, request.rank, due_at);
        }
        match &place {
            Some(place) if place.wait(time_left).await => (),
            _ => return Err(refusal),
        }
    }
}

/// Checks the request again and takes a slot at a server for the next attempt.
fn next_slot(
    vm: &vm::Shared,
    request: &request_admission::AdmittedRequest,
    prior: &mut PriorAttempts,
) -> refusal::Result<service_pools::Slot> {
    match request_admission::recheck(vm, request) {
        // If an earlier attempt may have run the request, the caller has to learn that, whatever
        // prevents this attempt.
        Err(_) if prior.history.may_have_run() => Err(refusal::Refusal::Failed {
            state: attempt::State::Waiting,
            fault: attempt::Fault::NoSlot,
            outcome: outcome::Outcome::Unknown,
        }),
        Err(refusal) => Err(refusal),
        Ok(()) => acquire(vm, request, prior),
    }
}

fn record_attempt(
    log_entry: &mut access_log::AccessLogEntry,
    lease: &placement::Lease,
    result: &Result<exchange::Response, exchange::Failure>,
) {
    match result {
        Ok(response) => log_entry.record_attempt(&lease.server, response.status.as_str()),
        Err(failure) => {
            let description = format!("{} while {}", failure.fault, failure.state);
            log_entry.record_attempt(&lease.server, &description);
        }
    }
}

/// Returns whether a response that reports a failure leads to a retry, and withdraws one from the
/// retry budget if so.
fn should_retry_response(
    vm: &vm::Shared,
    request: &request_admission::AdmittedRequest,
    response: &exchange::Response,
    prior: &PriorAttempts,
) -> bool {
    response.reading.verdict == http_adapter::Verdict::AnsweredFailure
        && request.route.repeatability == attempt::Repeatability::Idempotent
        && may_retry(vm, request, prior)
}

fn may_retry(
    vm: &vm::Shared,
    request: &request_admission::AdmittedRequest,
    prior: &PriorAttempts,
) -> bool {
    (prior.servers.len() as u64) < u64::from(request.route.attempts_max)
        && request.time_left(vm) > SEND_TIME_LEFT_MIN
        && vm.pools.withdraw_retry(&request.service)
}

/// Takes a slot at a server that has not been tried yet, if enough time is left.
fn acquire(
    vm: &vm::Shared,
    request: &request_admission::AdmittedRequest,
    prior: &mut PriorAttempts,
) -> refusal::Result<service_pools::Slot> {
    let settings = vm.settings();
    let allows = |domain: &id::FailureDomainId| request.allows_region(settings.region_of(domain));
    let object = request.object();
    let criteria = placement::Criteria {
        object: object.as_deref(),
        allows: &allows,
        has_large_bodies: request.route.has_large_bodies,
        rank: request.rank,
        tried: &prior.servers,
    };
    let fault = match request.time_left(vm) > SEND_TIME_LEFT_MIN {
        true => match vm.pools.acquire(vm, &request.service, &criteria) {
            service_pools::Acquired::Slot(slot) => return Ok(slot),
            service_pools::Acquired::NoneEligible if prior.servers.is_empty() => {
                return Err(refusal::Refusal::NoServer);
            }
            service_pools::Acquired::Full | service_pools::Acquired::NoneEligible => {
                attempt::Fault::NoSlot
            }
        },
        false => attempt::Fault::DeadlineExceeded,
    };
    let state = attempt::State::Waiting;
    let repeatability = request.route.repeatability;
    let action = prior.history.decide(state, fault, repeatability, attempt::Body::Buffered);
    Err(failed(vm, request, state, fault, outcome_of(action)))
}

const fn outcome_of(action: attempt::Action) -> outcome::Outcome {
    match action {
        attempt::Action::Fail(outcome) => outcome,
        attempt::Action::Retry { otherwise } => otherwise,
        attempt::Action::AbortResponse => outcome::Outcome::Unknown,
    }
}

async fn send(
    vm: &vm::Shared,
    pool: &LocalPool,
    connection: &memory::SharedConnection,
    request: &request_admission::AdmittedRequest,
    slot: &mut service_pools::Slot,
) -> Result<exchange::Response, exchange::Failure> {
    let server = slot.server();
    let time_left = request.time_left(vm);
    let organisation = request.organisation.as_ref();
    let context = http_adapter::ForwardContext { lease: server.lease(), time_left, organisation };
    let upstream_request = exchange::Request {
        request_id: request.incoming.request_id.clone(),
        method: request.method.clone(),
        path: request.incoming.path.clone(),
        headers: vm.adapter.upstream_headers(&request.headers, &context),
        body: request.body.segments(),
        repeatability: request.route.repeatability,
        deadline: request.deadline,
        response_memory: connection.reservation(memory_budget::Purpose::Response),
    };
    let adapter = vm.adapter.as_ref();
    let result = exchange::exchange(pool, adapter, server, upstream_request, &vm.shutdown).await;
    match &result {
        Ok(response) => slot.set_outcome(attempt_outcome_of(response), response.reading.load),
        Err(failure) => slot.set_outcome(failure.attempt_outcome(), failure.load()),
    }
    result
}

const fn attempt_outcome_of(
    response: &exchange::Response,
) -> waxwing_machine::server_health::AttemptOutcome {
    match response.reading.verdict {
        http_adapter::Verdict::AnsweredFailure => {
            waxwing_machine::server_health::AttemptOutcome::ErrorResponse
        }
        _ => waxwing_machine::server_health::AttemptOutcome::Responded,
    }
}

/// Returns `Ok` if the request is to be retried, or else the error for the caller.
fn retry_or_fail(
    vm: &vm::Shared,
    request: &request_admission::AdmittedRequest,
    prior: &mut PriorAttempts,
    failure: exchange::Failure,
) -> refusal::Result<()> {
    let exchange::Failure { state, fault, .. } = failure;
    let repeatability = request.route.repeatability;
    let action = prior.history.decide(state, fault, repeatability, attempt::Body::Buffered);
    let is_retry = matches!(action, attempt::Action::Retry { .. });
    // Nothing was sent, so another attempt takes nothing from the retry budget.
    let was_withheld = fault == attempt::Fault::ServerUnavailable;
    match is_retry && (was_withheld || may_retry(vm, request, prior)) {
        true => Ok(()),
        false => Err(failed(vm, request, state, fault, outcome_of(action))),
    }
}

/// Returns the error for a request that failed; if it did not run and all servers are backing off,
/// the error says for how long.
fn failed(
    vm: &vm::Vm,
    request: &request_admission::AdmittedRequest,
    state: attempt::State,
    fault: attempt::Fault,
    outcome: outcome::Outcome,
) -> refusal::Refusal {
    let settings = vm.settings();
    let allows = |domain: &id::FailureDomainId| request.allows_region(settings.region_of(domain));
    let backoff_left = match outcome {
        outcome::Outcome::NotRun => vm.pools.backoff_left(&request.service, &allows),
        outcome::Outcome::Answered | outcome::Outcome::Unknown => None,
    };
    match backoff_left {
        Some(backoff_left) => {
            let retry_after = backoff_left + return_spread(&request.incoming.request_id);
            refusal::Refusal::ServersBackingOff { retry_after }
        }
        None => refusal::Refusal::Failed { state, fault, outcome },
    }
}

/// Returns how much later than the end of a backoff a caller is asked to return, so that not all
/// callers return at once.
fn return_spread(request_id: &str) -> time::Duration {
    let spread_ms = RETURN_SPREAD_MAX.as_millis() as u64;
    time::Duration::from_millis(rendezvous::hash(request_id) % spread_ms)
}
