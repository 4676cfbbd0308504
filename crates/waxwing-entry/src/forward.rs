//! Handles one request from its arrival to its response: admission, upstream attempts and retries.

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

use crate::entry;
use crate::headers;
use crate::refusal;
use crate::request_admission;
use crate::request_body;
use crate::response_body;
use crate::target;
use crate::upload;
use crate::upstream;

/// Admits a caller's request, forwards it and returns the response or the refusal for the caller.
pub async fn forward(
    request: web::HttpRequest,
    payload: web::types::Payload,
    entry: web::types::State<entry::Shared>,
) -> web::HttpResponse {
    let received_at = clock::now();
    let in_flight = entry::InFlightGuard::begin(&entry.in_flight);
    let request_id = headers::request_id(request.headers()).unwrap_or_else(new_request_id);
    report_received(&entry, &request, &request_id);
    let allows_denial = request_admission::allows_denials(&entry, received_at);
    let mut organisation = None;
    let result = match request_admission::admit(
        &entry,
        &request,
        &request_id,
        received_at,
        &mut organisation,
    )
    .await
    {
        Ok(admitted) => send_with_retries(&entry, &request, payload, &admitted, in_flight).await,
        Err(refusal) => Err(refusal),
    };
    let response = result.unwrap_or_else(|refusal| {
        let refusal = match refusal.depends_on_records() && !allows_denial {
            true => refusal::Refusal::RecordsStale,
            false => refusal,
        };
        let context = journal::Context { request: Some(request_id.clone()), organisation };
        report_ended(&entry, context, refusal.outcome(), refusal.status().as_u16(), received_at);
        refusal.response(&request_id)
    });
    close_if_stopping(&entry, response)
}

/// Handles a request that another entry VM has authenticated, charged and forwarded to this one.
pub async fn forward_from_peer(
    request: web::HttpRequest,
    payload: web::types::Payload,
    entry: web::types::State<entry::Shared>,
) -> web::HttpResponse {
    let received_at = clock::now();
    let in_flight = entry::InFlightGuard::begin(&entry.in_flight);
    let request_id = headers::request_id(request.headers()).unwrap_or_else(new_request_id);
    report_received(&entry, &request, &request_id);
    let result =
        match request_admission::admit_forwarded(&entry, &request, &request_id, received_at) {
            Ok(admitted) => {
                send_with_retries(&entry, &request, payload, &admitted, in_flight).await
            }
            Err(refusal) => Err(refusal),
        };
    result.unwrap_or_else(|refusal| {
        let context = journal::Context { request: Some(request_id.clone()), organisation: None };
        report_ended(&entry, context, refusal.outcome(), refusal.status().as_u16(), received_at);
        refusal.peer_response(&request_id)
    })
}

/// During a shutdown, closes the caller's connection after the response, so that the caller opens
/// its next one to another entry VM.
fn close_if_stopping(entry: &entry::Entry, mut response: web::HttpResponse) -> web::HttpResponse {
    if entry.shutdown.schedule().is_some() {
        response.head_mut().set_connection_type(http::ConnectionType::Close);
    }
    response
}

fn new_request_id() -> id::RequestId {
    let text = format!("r-{:016x}", rand::rng().random::<u64>());
    text.parse().unwrap_or_else(|_| unreachable!("sixteen hexadecimal digits are a valid name"))
}

fn report_received(entry: &entry::Entry, request: &web::HttpRequest, request_id: &id::RequestId) {
    let context = journal::Context { request: Some(request_id.clone()), organisation: None };
    let method = request.method().to_string();
    let service = request_admission::service_name(request.path());
    let is_known = entry.keeper.view().records.service(service).is_some();
    let service = if is_known { service.to_owned() } else { "(unknown)".to_owned() };
    entry.reporter.report_with_context(context, event::Kind::RequestReceived { method, service });
}

fn report_ended(
    entry: &entry::Entry,
    context: journal::Context,
    outcome: outcome::Outcome,
    status: u16,
    received_at: units_time::MonoInstant,
) {
    let outcome = outcome.to_string();
    let duration_ms = clock::now().since(received_at).as_secs_f64() * 1e3;
    entry.counters.count_request(&outcome, status, duration_ms);
    entry.reporter.report_with_context(context, event::Kind::RequestEnded { outcome, status });
}

/// Sends the request to one target after another until a response can be forwarded or no retry is
/// allowed.
async fn send_with_retries(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    payload: web::types::Payload,
    admitted: &request_admission::AdmittedRequest,
    in_flight: entry::InFlightGuard,
) -> request_admission::Result<web::HttpResponse> {
    let mut caller_body = request_body::receive(entry, request, payload, admitted).await?;
    let mut prior = target::PriorAttempts::default();
    let mut history = attempt::History::default();
    entry.pools.deposit_retry(&admitted.service.service);
    loop {
        let target = target::choose(entry, admitted, &prior, &mut history).await?;
        prior.record(&target);
        let result = send(entry, request, admitted, &mut caller_body, target).await;
        let failure = match result {
            Ok((response, target)) => {
                return Ok(build_response(entry, request, admitted, &response, target, in_flight));
            }
            Err(failure) => failure,
        };
        retry_or_fail(entry, admitted, &caller_body, &mut history, failure, prior.attempts)?;
    }
}

/// Returns `Ok` where the request is retried, or else the error for the caller.
fn retry_or_fail(
    entry: &entry::Entry,
    admitted: &request_admission::AdmittedRequest,
    caller_body: &request_body::RequestBody,
    history: &mut attempt::History,
    failure: upstream::Failure,
    attempts: u32,
) -> request_admission::Result<()> {
    let body_kind = match caller_body {
        request_body::RequestBody::Buffered(_) => attempt::Body::Buffered,
        request_body::RequestBody::Streamed(_) => attempt::Body::Streamed,
    };
    let upstream::Failure { state, fault, upload_error } = failure;
    let outcome = match history.decide(state, fault, admitted.repeatability, body_kind) {
        attempt::Action::Retry { otherwise } => {
            let has_time = !admitted.time_left(entry).is_zero();
            if has_time && entry.pools.withdraw_retry(&admitted.service.service, attempts) {
                return Ok(());
            }
            otherwise
        }
        attempt::Action::Fail(outcome) => outcome,
        attempt::Action::AbortResponse => outcome::Outcome::Unknown,
    };
    Err(match upload_error {
        Some(upload::UploadError::TooLarge) if outcome == outcome::Outcome::NotRun => {
            refusal::Refusal::BodyTooLarge { max: admitted.service.body_max_bytes }
        }
        Some(_) => refusal::Refusal::BodyIncomplete { outcome },
        None => refusal::Refusal::Failed { state, fault, outcome },
    })
}

/// Makes one attempt; a response comes with its target, whose slot stays in use until the response
/// has ended.
async fn send(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    admitted: &request_admission::AdmittedRequest,
    caller_body: &mut request_body::RequestBody,
    mut target: target::Target,
) -> std::result::Result<(upstream::Response, target::Target), upstream::Failure> {
    entry.counters.count_attempt(admitted.service.service.as_str());
    let started = event::Kind::AttemptStarted { target: target.name() };
    entry.reporter.report_with_context(admitted.event_context(), started);
    let upstream_request = build_upstream_request(entry, request, admitted, caller_body, &target);
    let (address, deadline) = (target.address(), admitted.deadline);
    match upstream::send(address, upstream_request, &entry.shutdown, deadline).await {
        Ok(response) => {
            target.set_outcome(backend_server::AttemptOutcome::Responded);
            Ok((response, target))
        }
        Err(failure) => {
            target.set_outcome(attempt_outcome_of(failure.fault));
            let ending = format!("{} while {}", failure.fault, failure.state);
            let ended = event::Kind::AttemptEnded { target: target.name(), ending };
            entry.reporter.report_with_context(admitted.event_context(), ended);
            Err(failure)
        }
    }
}

/// Returns what a fault says about the health of the backend server.
const fn attempt_outcome_of(fault: attempt::Fault) -> backend_server::AttemptOutcome {
    match fault {
        attempt::Fault::ConnectFailed
        | attempt::Fault::Disconnected
        | attempt::Fault::DeadlineExceeded
        | attempt::Fault::MalformedResponse => backend_server::AttemptOutcome::Failed,
        attempt::Fault::DeclaredNotRun
        | attempt::Fault::NoSlot
        | attempt::Fault::ServerUnavailable
        | attempt::Fault::CallerDisconnected
        | attempt::Fault::MemoryFull
        | attempt::Fault::UploadInterrupted => backend_server::AttemptOutcome::Shed,
    }
}

/// Builds the request for a target. Another entry VM also gets the timeout and whether the request
/// is idempotent, because it makes attempts of its own.
fn build_upstream_request(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    admitted: &request_admission::AdmittedRequest,
    caller_body: &mut request_body::RequestBody,
    target: &target::Target,
) -> upstream::Request {
    let mut forwarded_headers =
        headers::upstream_headers(request.headers(), admitted.key.as_deref());
    let mut add = |name: &'static str, value: String| {
        if let Ok(value) = header::HeaderValue::from_str(&value) {
            forwarded_headers.push((header::HeaderName::from_static(name), value));
        }
    };
    add(headers::REQUEST_ID, admitted.request_id.to_string());
    add(headers::DEADLINE_MS, admitted.time_left(entry).as_millis().to_string());
    if let Some(organisation) = &admitted.organisation {
        add(headers::ORGANISATION, organisation.to_string());
    }
    if let (target::Target::EntryVm(_), Some(vm)) = (target, &entry.settings.vm) {
        add(headers::FORWARDED_BY, vm.to_string());
        add(headers::TIMEOUT_MS, admitted.time_left(entry).as_millis().max(1).to_string());
        let is_idempotent = admitted.repeatability == attempt::Repeatability::Idempotent;
        add(headers::IDEMPOTENT, is_idempotent.to_string());
    }
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    upstream::Request {
        recipient: target.recipient(),
        method: request.method().clone(),
        path: path.to_owned(),
        headers: forwarded_headers,
        body: request_body::upstream_body(request, admitted, caller_body),
    }
}

/// Builds the caller's response, whose body is streamed. The target's slot is released once the
/// body has ended.
fn build_response(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    admitted: &request_admission::AdmittedRequest,
    response: &upstream::Response,
    target: target::Target,
    in_flight: entry::InFlightGuard,
) -> web::HttpResponse {
    let upstream_headers = response.response.headers();
    let status = response.response.status();
    report_ended(
        entry,
        admitted.event_context(),
        outcome::Outcome::Answered,
        status.as_u16(),
        admitted.received_at,
    );
    let mut builder = web::HttpResponse::build(status);
    for (name, value) in headers::response_headers(upstream_headers) {
        builder.header(name, value);
    }
    builder.header(headers::OUTCOME, outcome::Outcome::Answered.to_string());
    builder.header(headers::REQUEST_ID, admitted.request_id.as_str());
    let on_end = on_response_end(entry, admitted, target, in_flight);
    let body = response_body::ResponseBody::new(response, request.io().cloned(), on_end);
    builder.message_body(body::Body::from_message(body))
}

/// Returns the callback for the end of a response's body. It reports the attempt, releases the
/// target's slot and ends the request's count as in progress.
fn on_response_end(
    entry: &entry::Entry,
    admitted: &request_admission::AdmittedRequest,
    target: target::Target,
    in_flight: entry::InFlightGuard,
) -> response_body::OnEnd {
    let reporter = entry.reporter.clone();
    let context = admitted.event_context();
    Box::new(move |is_complete| {
        let mut target = target;
        if !is_complete {
            target.set_outcome(backend_server::AttemptOutcome::Failed);
        }
        let ending = if is_complete { "whole answer" } else { "answer broke off" }.to_owned();
        reporter.report_with_context(
            context,
            event::Kind::AttemptEnded { target: target.name(), ending },
        );
        drop(in_flight);
    })
}
