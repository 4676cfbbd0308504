//! From the caller's request to the answer.

use std::sync::atomic;

use ntex::client;
use ntex::http;
use ntex::http::body;
use ntex::http::header;
use ntex::web;
use rand::Rng;
use waxwing_machine::backend_server;
use waxwing_process::clock;
use waxwing_request::attempt;
use waxwing_request::outcome;
use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::answer;
use crate::entry;
use crate::headers;
use crate::journey;
use crate::refusal;
use crate::source;
use crate::target;
use crate::upload;
use crate::upstream;

/// Carries one request.
pub async fn carry(
    request: web::HttpRequest,
    payload: web::types::Payload,
    entry: web::types::State<entry::Shared>,
) -> web::HttpResponse {
    let began_at = clock::now();
    let under_way = entry::UnderWay::begin(&entry.under_way);
    let name = headers::request_id(request.headers()).unwrap_or_else(new_request_id);
    report_received(&entry, &request, &name);
    let mut organisation = None;
    let carried = match journey::prepare(&entry, &request, &name, began_at, &mut organisation).await
    {
        Ok(journey) => run(&entry, &request, payload, &journey, under_way).await,
        Err(refusal) => Err(refusal),
    };
    let response = carried.unwrap_or_else(|refusal| {
        let about = journal::Context { request: Some(name.clone()), organisation };
        report_ended(&entry, about, refusal.outcome(), refusal.status().as_u16(), began_at);
        refusal.response(&name)
    });
    close_if_stopping(&entry, response)
}

/// Carries one request that another entry VM passed on, which has checked and charged it.
pub async fn carry_guest(
    request: web::HttpRequest,
    payload: web::types::Payload,
    entry: web::types::State<entry::Shared>,
) -> web::HttpResponse {
    let began_at = clock::now();
    let under_way = entry::UnderWay::begin(&entry.under_way);
    let name = headers::request_id(request.headers()).unwrap_or_else(new_request_id);
    report_received(&entry, &request, &name);
    let carried = match journey::prepare_guest(&entry, &request, &name, began_at) {
        Ok(journey) => run(&entry, &request, payload, &journey, under_way).await,
        Err(refusal) => Err(refusal),
    };
    carried.unwrap_or_else(|refusal| {
        let about = journal::Context { request: Some(name.clone()), organisation: None };
        report_ended(&entry, about, refusal.outcome(), refusal.status().as_u16(), began_at);
        refusal.guest_response(&name)
    })
}

/// Asks the caller to open its next connection elsewhere where the process ends.
fn close_if_stopping(entry: &entry::Entry, mut response: web::HttpResponse) -> web::HttpResponse {
    if entry.is_stopping.load(atomic::Ordering::Acquire) {
        response.head_mut().set_connection_type(http::ConnectionType::Close);
    }
    response
}

fn new_request_id() -> id::RequestId {
    let text = format!("r-{:016x}", rand::rng().random::<u64>());
    text.parse().unwrap_or_else(|_| unreachable!("sixteen hexadecimal digits are a valid name"))
}

fn report_received(entry: &entry::Entry, request: &web::HttpRequest, name: &id::RequestId) {
    let about = journal::Context { request: Some(name.clone()), organisation: None };
    let method = request.method().to_string();
    let service = journey::service_name(request.path());
    let is_known = entry.keeper.view().records.service(service).is_some();
    let service = if is_known { service.to_owned() } else { "(unknown)".to_owned() };
    entry.reporter.report_about(about, event::Kind::RequestReceived { method, service });
}

fn report_ended(
    entry: &entry::Entry,
    about: journal::Context,
    outcome: outcome::Outcome,
    status: u16,
    began_at: units_time::MonoInstant,
) {
    let outcome = outcome.to_string();
    let duration_ms = clock::now().since(began_at).as_secs_f64() * 1e3;
    entry.counters.count_request(&outcome, status, duration_ms);
    entry.reporter.report_about(about, event::Kind::RequestEnded { outcome, status });
}

/// Attempts the request until it is answered or must not be attempted again.
async fn run(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    payload: web::types::Payload,
    journey: &journey::Journey,
    under_way: entry::UnderWay,
) -> journey::Result<web::HttpResponse> {
    let mut source = source::take_body(request, payload, journey).await?;
    let mut tried = target::Tried::default();
    let mut history = attempt::History::default();
    entry.pools.earn_retry(&journey.service.service);
    loop {
        let target = target::choose(entry, journey, &tried, &mut history).await?;
        tried.note(&target);
        let attempted = attempt_once(entry, request, journey, &mut source, target).await;
        let failure = match attempted {
            Ok((response, target)) => {
                return Ok(answer(entry, journey, &response, target, under_way));
            }
            Err(failure) => failure,
        };
        judge(entry, journey, &source, &mut history, failure, tried.attempts)?;
    }
}

/// Tells whether the request is attempted again; an error is what the caller is told.
fn judge(
    entry: &entry::Entry,
    journey: &journey::Journey,
    source: &source::Source,
    history: &mut attempt::History,
    failure: upstream::Failure,
    attempts: u32,
) -> journey::Result<()> {
    let kept = match source {
        source::Source::Kept(_) => attempt::Body::Buffered,
        source::Source::Streamed(_) => attempt::Body::Streamed,
    };
    let upstream::Failure { state, fault, broken } = failure;
    let outcome = match history.decide(state, fault, journey.repeatability, kept) {
        attempt::Action::Retry { otherwise } => {
            let has_time = !journey.left().is_zero();
            if has_time && entry.pools.spend_retry(&journey.service.service, attempts) {
                return Ok(());
            }
            otherwise
        }
        attempt::Action::Fail(outcome) => outcome,
        attempt::Action::AbortResponse => outcome::Outcome::Unknown,
    };
    Err(match broken {
        Some(upload::Broken::TooLarge) if outcome == outcome::Outcome::NotRun => {
            refusal::Refusal::BodyTooLarge { max: journey.service.body_max_bytes }
        }
        Some(_) => refusal::Refusal::UploadBroken { outcome },
        None => refusal::Refusal::Failed { state, fault, outcome },
    })
}

async fn attempt_once(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    journey: &journey::Journey,
    source: &mut source::Source,
    mut target: target::Target,
) -> std::result::Result<(client::ClientResponse, target::Target), upstream::Failure> {
    entry.counters.count_attempt(journey.service.service.as_str());
    let started = event::Kind::AttemptStarted { target: target.name() };
    entry.reporter.report_about(journey.about(), started);
    let sending = outgoing(entry, request, journey, source, &target);
    match upstream::send(target.address(), sending, journey.left()).await {
        Ok(response) => {
            target.set_ending(backend_server::AttemptOutcome::Responded);
            Ok((response, target))
        }
        Err(failure) => {
            target.set_ending(ending_of(failure.fault));
            let ending = format!("{} while {}", failure.fault, failure.state);
            let ended = event::Kind::AttemptEnded { target: target.name(), ending };
            entry.reporter.report_about(journey.about(), ended);
            Err(failure)
        }
    }
}

/// Returns what a fault says about the backend server.
const fn ending_of(fault: attempt::Fault) -> backend_server::AttemptOutcome {
    match fault {
        attempt::Fault::ConnectFailed
        | attempt::Fault::Disconnected
        | attempt::Fault::DeadlineExceeded
        | attempt::Fault::MalformedResponse => backend_server::AttemptOutcome::Failed,
        attempt::Fault::DeclaredNotRun
        | attempt::Fault::NoSlot
        | attempt::Fault::CallerDisconnected
        | attempt::Fault::UploadInterrupted => backend_server::AttemptOutcome::Shed,
    }
}

fn outgoing(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    journey: &journey::Journey,
    source: &mut source::Source,
    target: &target::Target,
) -> upstream::Request {
    let mut passed = headers::passed_on(request.headers(), journey.key.as_deref());
    let mut add = |name: &'static str, value: String| {
        if let Ok(value) = header::HeaderValue::from_str(&value) {
            passed.push((header::HeaderName::from_static(name), value));
        }
    };
    add(headers::REQUEST, journey.request.to_string());
    add(headers::DEADLINE_MS, journey.left().as_millis().to_string());
    if let Some(organisation) = &journey.organisation {
        add(headers::ORGANISATION, organisation.to_string());
    }
    if let (target::Target::EntryVm(_), Some(vm)) = (target, &entry.settings.vm) {
        add(headers::FORWARDED_BY, vm.to_string());
        add(headers::TIMEOUT_MS, journey.left().as_millis().max(1).to_string());
        let is_idempotent = journey.repeatability == attempt::Repeatability::Idempotent;
        add(headers::IDEMPOTENT, is_idempotent.to_string());
    }
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    upstream::Request {
        method: request.method().clone(),
        path: path.to_owned(),
        headers: passed,
        body: source::outgoing_body(request, journey, source),
    }
}

/// Passes an answer on; the target is free when its body has ended.
fn answer(
    entry: &entry::Entry,
    journey: &journey::Journey,
    response: &client::ClientResponse,
    target: target::Target,
    under_way: entry::UnderWay,
) -> web::HttpResponse {
    let status = response.status();
    report_ended(
        entry,
        journey.about(),
        outcome::Outcome::Answered,
        status.as_u16(),
        journey.began_at,
    );
    let mut builder = web::HttpResponse::build(status);
    for (name, value) in headers::answered(response.headers()) {
        builder.header(name, value);
    }
    builder.header(headers::OUTCOME, outcome::Outcome::Answered.to_string());
    builder.header(headers::REQUEST, journey.request.as_str());
    let on_end = report_attempt(entry, journey, target, under_way);
    let len_bytes = headers::text(response.headers(), header::CONTENT_LENGTH.as_str());
    let len_bytes = len_bytes.and_then(|text| text.parse().ok());
    let body = answer::Answer::new(response.take_payload(), len_bytes, on_end);
    builder.message_body(body::Body::from_message(body))
}

/// Returns what is done when the answer's body has ended.
fn report_attempt(
    entry: &entry::Entry,
    journey: &journey::Journey,
    target: target::Target,
    under_way: entry::UnderWay,
) -> answer::OnEnd {
    let reporter = entry.reporter.clone();
    let about = journey.about();
    Box::new(move |is_whole| {
        let mut target = target;
        if !is_whole {
            target.set_ending(backend_server::AttemptOutcome::Failed);
        }
        let ending = if is_whole { "whole answer" } else { "answer broke off" }.to_owned();
        reporter.report_about(about, event::Kind::AttemptEnded { target: target.name(), ending });
        drop(under_way);
    })
}
