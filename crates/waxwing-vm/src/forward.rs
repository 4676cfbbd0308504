//! A request from its arrival to its answer.

use std::rc;
use std::sync::atomic;

use futures_util::stream;
use ntex::http;
use ntex::util as ntex_util;
use ntex::web;
use waxwing_machine::placement;
use waxwing_process::clock;
use waxwing_request::attempt;
use waxwing_request::outcome;
use waxwing_units::id;

use crate::access_log;
use crate::connection_pool;
use crate::exchange;
use crate::http_adapter;
use crate::refusal;
use crate::request_admission;
use crate::service_pools;
use crate::vm;

/// The time below which a request is not sent, since no answer can come back within it.
const SENT_LEFT_MIN: std::time::Duration = std::time::Duration::from_millis(20);

/// The connections of the thread that a request is on.
pub type Kept = rc::Rc<connection_pool::Connections>;

/// Counts a request until its answer has ended.
struct UnderWay(vm::Shared);

impl UnderWay {
    fn begin(vm: &vm::Shared) -> Self {
        vm.under_way.fetch_add(1, atomic::Ordering::AcqRel);
        Self(vm.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.under_way.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// A part of a caller's body, or why there are no more.
pub type Chunk = std::result::Result<ntex_util::Bytes, String>;

/// A request whose body was read.
pub struct Begun {
    under_way: UnderWay,
    name: String,
    trace: access_log::Trace,
    received: request_admission::Received,
}

/// Begins a request and reads its body.
pub async fn begin(
    vm: &vm::Shared,
    head: &http::RequestHead,
    body: impl stream::Stream<Item = Chunk> + Unpin,
) -> Begun {
    let under_way = UnderWay::begin(vm);
    vm.arrivals.count(clock::now());
    let arrival = vm.front.parse_request(head);
    let name = arrival.request_id.clone();
    let mut trace = access_log::Trace::begin(vm, &arrival);
    let received = request_admission::receive(vm, head, body, arrival, &mut trace).await;
    Begun { under_way, name, trace, received }
}

/// Carries one request.
pub async fn carry(vm: &vm::Shared, kept: &Kept, begun: Begun) -> web::HttpResponse {
    let Begun { under_way, name, mut trace, received } = begun;
    let carried = match request_admission::prepare(vm, received, &mut trace).await {
        Ok(journey) => run(vm, kept, &journey, &mut trace).await,
        Err(refusal) => Err(refusal),
    };
    let response = match carried {
        Ok(answer) => {
            trace.end(access_log::Outcome::Answered, answer.status.as_u16(), "");
            respond(answer)
        }
        Err(refusal) => {
            let response = vm.front.refusal_response(&name, &refusal);
            let reason = refusal.to_string();
            trace.end(access_log::Outcome::Refused, response.status().as_u16(), &reason);
            response
        }
    };
    drop(under_way);
    response
}

fn respond(answer: exchange::Answer) -> web::HttpResponse {
    let mut builder = web::HttpResponse::build(answer.status);
    for (name, value) in answer.headers {
        builder.header(name, value);
    }
    builder.body(answer.body)
}

/// Where a request was sent already.
#[derive(Default)]
struct Tried {
    servers: Vec<id::BackendServerId>,
    history: attempt::History,
    /// The answer of a server that ran the request and failed, for want of a better one.
    failed: Option<exchange::Answer>,
}

/// Sends the request until it is answered or must not be sent again.
async fn run(
    vm: &vm::Shared,
    kept: &Kept,
    journey: &request_admission::Journey,
    trace: &mut access_log::Trace,
) -> refusal::Result<exchange::Answer> {
    let mut tried = Tried::default();
    loop {
        let mut slot = match next_slot(vm, journey, &mut tried) {
            Ok(slot) => slot,
            Err(refusal) => {
                if let (true, Some(organisation)) =
                    (tried.servers.is_empty(), &journey.organisation)
                {
                    vm.contracts.give_back(organisation);
                }
                return tried.failed.take().ok_or(refusal);
            }
        };
        if tried.servers.is_empty() {
            vm.pools.earn_repeat(&journey.service, vm.repeats());
        }
        tried.servers.push(slot.lease().server.clone());
        let exchanged = send(vm, kept, journey, &mut slot).await;
        note_attempt(trace, slot.lease(), &exchanged);
        let failure = match exchanged {
            Ok(answer) if !wants_better(vm, journey, &answer, &tried) => return Ok(answer),
            Ok(answer) => {
                tried.failed = Some(answer);
                continue;
            }
            Err(failure) => failure,
        };
        drop(slot);
        if let Err(refusal) = judge(vm, journey, &mut tried, failure) {
            return tried.failed.take().ok_or(refusal);
        }
    }
}

/// Checks a request and takes a place at a server for its next attempt.
fn next_slot(
    vm: &vm::Shared,
    journey: &request_admission::Journey,
    tried: &mut Tried,
) -> refusal::Result<service_pools::Slot> {
    match request_admission::check_again(vm, journey) {
        // What an earlier attempt may have done stays true, whatever forbids another one.
        Err(_) if tried.history.may_have_run() => Err(refusal::Refusal::Failed {
            state: attempt::State::Waiting,
            fault: attempt::Fault::NoSlot,
            outcome: outcome::Outcome::Unknown,
        }),
        Err(refusal) => Err(refusal),
        Ok(()) => acquire(vm, journey, tried),
    }
}

fn note_attempt(
    trace: &mut access_log::Trace,
    lease: &placement::Lease,
    exchanged: &Result<exchange::Answer, exchange::Failure>,
) {
    match exchanged {
        Ok(answer) => trace.note_attempt(&lease.server, answer.status.as_str()),
        Err(failure) => {
            let ending = format!("{} while {}", failure.fault, failure.state);
            trace.note_attempt(&lease.server, &ending);
        }
    }
}

/// Tells whether a failed answer is worth another attempt, and takes a repeat for it.
fn wants_better(
    vm: &vm::Shared,
    journey: &request_admission::Journey,
    answer: &exchange::Answer,
    tried: &Tried,
) -> bool {
    answer.reading.verdict == http_adapter::Verdict::AnsweredFailure
        && journey.route.repeatability == attempt::Repeatability::Idempotent
        && may_send_again(vm, journey, tried)
}

fn may_send_again(vm: &vm::Shared, journey: &request_admission::Journey, tried: &Tried) -> bool {
    (tried.servers.len() as u64) < u64::from(journey.route.attempts_max)
        && journey.left() > SENT_LEFT_MIN
        && vm.pools.spend_repeat(&journey.service)
}

/// Takes a place at a server.
fn acquire(
    vm: &vm::Shared,
    journey: &request_admission::Journey,
    tried: &mut Tried,
) -> refusal::Result<service_pools::Slot> {
    let settings = vm.settings();
    let allows = |domain: &id::FailureDomainId| journey.allows(settings.region_of(domain));
    let object = journey.object();
    let want = placement::Criteria {
        object: object.as_deref(),
        allows: &allows,
        has_large_bodies: journey.route.has_large_bodies,
        rank: journey.rank,
        tried: &tried.servers,
    };
    let fault = match journey.left() > SENT_LEFT_MIN {
        true => match vm.pools.acquire(vm, &journey.service, &want) {
            service_pools::Acquired::Slot(slot) => return Ok(slot),
            service_pools::Acquired::Nobody if tried.servers.is_empty() => {
                return Err(refusal::Refusal::NoServer);
            }
            service_pools::Acquired::Full | service_pools::Acquired::Nobody => {
                attempt::Fault::NoSlot
            }
        },
        false => attempt::Fault::DeadlineExceeded,
    };
    let state = attempt::State::Waiting;
    let repeatability = journey.route.repeatability;
    let verdict = tried.history.decide(state, fault, repeatability, attempt::Body::Buffered);
    Err(refusal::Refusal::Failed { state, fault, outcome: outcome_of(verdict) })
}

const fn outcome_of(verdict: attempt::Action) -> outcome::Outcome {
    match verdict {
        attempt::Action::Fail(outcome) => outcome,
        attempt::Action::Retry { otherwise } => otherwise,
        attempt::Action::AbortResponse => outcome::Outcome::Unknown,
    }
}

async fn send(
    vm: &vm::Shared,
    kept: &Kept,
    journey: &request_admission::Journey,
    slot: &mut service_pools::Slot,
) -> Result<exchange::Answer, exchange::Failure> {
    let lease = slot.lease().clone();
    let left = journey.left();
    let organisation = journey.organisation.as_ref();
    let passing = http_adapter::ForwardContext { lease: &lease, time_left: left, organisation };
    let sending = exchange::Request {
        request: journey.arrival.request_id.clone(),
        method: journey.method.clone(),
        path: journey.arrival.path.clone(),
        headers: vm.front.upstream_headers(&journey.headers, &passing),
        body: journey.body.bytes(),
        repeatability: journey.route.repeatability,
    };
    let exchanged = exchange::exchange(kept, vm.front.as_ref(), &lease, sending, left).await;
    let reading = match &exchanged {
        Ok(answer) => {
            slot.set_ending(ending_of(answer), answer.reading.load);
            Some(answer.reading)
        }
        Err(failure) => {
            slot.set_ending(failure.ending(), failure.load());
            failure.reading
        }
    };
    if let Some(reading) = reading {
        note(vm, journey, &lease, reading);
    }
    exchanged
}

const fn ending_of(answer: &exchange::Answer) -> waxwing_machine::server_health::AttemptOutcome {
    match answer.reading.verdict {
        http_adapter::Verdict::AnsweredFailure => {
            waxwing_machine::server_health::AttemptOutcome::ErrorResponse
        }
        _ => waxwing_machine::server_health::AttemptOutcome::Responded,
    }
}

/// Takes in what an answer says of its server.
fn note(
    vm: &vm::Vm,
    journey: &request_admission::Journey,
    lease: &placement::Lease,
    reading: http_adapter::Reading,
) {
    if reading.verdict == http_adapter::Verdict::OtherServer {
        vm.pools.forget(&journey.service, lease);
    }
    if let Some(left) = reading.cold_left {
        vm.pools.set_cold(&journey.service, lease, left);
    }
}

/// Tells whether the request is sent again; an error is what the caller is told.
fn judge(
    vm: &vm::Shared,
    journey: &request_admission::Journey,
    tried: &mut Tried,
    failure: exchange::Failure,
) -> refusal::Result<()> {
    let exchange::Failure { state, fault, .. } = failure;
    let repeatability = journey.route.repeatability;
    let verdict = tried.history.decide(state, fault, repeatability, attempt::Body::Buffered);
    let is_again = matches!(verdict, attempt::Action::Retry { .. });
    match is_again && may_send_again(vm, journey, tried) {
        true => Ok(()),
        false => Err(refusal::Refusal::Failed { state, fault, outcome: outcome_of(verdict) }),
    }
}
