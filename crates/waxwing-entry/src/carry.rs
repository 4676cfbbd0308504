//! From the caller's request to the answer.

use std::net;
use std::sync::atomic;
use std::time;

use futures_util::StreamExt;
use ntex::client;
use ntex::http;
use ntex::http::body;
use ntex::http::header;
use ntex::time as ntex_time;
use ntex::util as ntex_util;
use ntex::web;
use rand::Rng;
use waxwing_keeper_client::client as keeper_client;
use waxwing_machine::backend_server;
use waxwing_machine::entry_vm;
use waxwing_process::clock;
use waxwing_record::record;
use waxwing_request::attempt;
use waxwing_request::outcome;
use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_units::digest;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::answer;
use crate::entry;
use crate::headers;
use crate::places;
use crate::pools;
use crate::refusal;
use crate::upload;
use crate::upstream;

/// Bodies up to this size are read before they are sent, so that they can be sent again.
const KEPT_BODY_MAX_BYTES: u64 = 64 * 1024;

/// How much longer than the token's wait the keeper may take to answer.
const KEEPER_MARGIN: time::Duration = time::Duration::from_millis(200);

/// The result of a part of the way.
type Result<T> = std::result::Result<T, refusal::Refusal>;

/// What is known of a request on its way.
struct Journey {
    request: id::RequestId,
    service: record::Service,
    organisation: Option<id::OrganisationId>,
    key: Option<Vec<u8>>,
    deadline: units_time::MonoInstant,
    repeatability: attempt::Repeatability,
    began_at: units_time::MonoInstant,
    /// Whether another entry VM passed the request on.
    is_guest: bool,
}

impl Journey {
    fn about(&self) -> journal::About {
        journal::About {
            request: Some(self.request.clone()),
            organisation: self.organisation.clone(),
        }
    }

    fn left(&self) -> time::Duration {
        self.deadline.since(clock::now())
    }
}

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
    let carried = match prepare(&entry, &request, &name, began_at, &mut organisation).await {
        Ok(journey) => run(&entry, &request, payload, &journey, under_way).await,
        Err(refusal) => Err(refusal),
    };
    let response = carried.unwrap_or_else(|refusal| {
        let about = journal::About { request: Some(name.clone()), organisation };
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
    let carried = match prepare_guest(&entry, &request, &name, began_at) {
        Ok(journey) => run(&entry, &request, payload, &journey, under_way).await,
        Err(refusal) => Err(refusal),
    };
    carried.unwrap_or_else(|refusal| {
        let about = journal::About { request: Some(name.clone()), organisation: None };
        report_ended(&entry, about, refusal.outcome(), refusal.status().as_u16(), began_at);
        refusal.guest_response(&name)
    })
}

fn prepare_guest(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    name: &id::RequestId,
    began_at: units_time::MonoInstant,
) -> Result<Journey> {
    if entry.is_closed.load(atomic::Ordering::Acquire) {
        return Err(refusal::Refusal::Leaving);
    }
    let records = entry.keeper.view().records;
    let service = records.service(service_name(request.path())).cloned();
    let service = service.ok_or(refusal::Refusal::UnknownService)?;
    check_len(request, &service)?;
    let timeout = timeout(request, &service)?;
    let organisation = headers::text(request.headers(), headers::ORGANISATION);
    Ok(Journey {
        request: name.clone(),
        organisation: organisation.and_then(|name| name.parse().ok()),
        service,
        key: None,
        deadline: began_at.after(timeout),
        repeatability: repeatability(request),
        began_at,
        is_guest: true,
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
    let about = journal::About { request: Some(name.clone()), organisation: None };
    let method = request.method().to_string();
    let service = service_name(request.path());
    let is_known = entry.keeper.view().records.service(service).is_some();
    let service = if is_known { service.to_owned() } else { "(unknown)".to_owned() };
    entry.reporter.report_about(about, event::What::RequestReceived { method, service });
}

fn report_ended(
    entry: &entry::Entry,
    about: journal::About,
    outcome: outcome::Outcome,
    status: u16,
    began_at: units_time::MonoInstant,
) {
    let outcome = outcome.to_string();
    let duration_ms = clock::now().since(began_at).as_secs_f64() * 1e3;
    entry.counters.count_request(&outcome, status, duration_ms);
    entry.reporter.report_about(about, event::What::RequestEnded { outcome, status });
}

/// Returns the first part of a path.
fn service_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}

/// Checks the request, charges its organisation, and tells what it needs on its way.
async fn prepare(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    name: &id::RequestId,
    began_at: units_time::MonoInstant,
    organisation: &mut Option<id::OrganisationId>,
) -> Result<Journey> {
    if entry.is_closed.load(atomic::Ordering::Acquire) {
        return Err(refusal::Refusal::Leaving);
    }
    let records = entry.keeper.view().records;
    if records.revision == id::Revision(0) {
        return Err(refusal::Refusal::NoRecords);
    }
    let service = records.service(service_name(request.path())).cloned();
    let service = service.ok_or(refusal::Refusal::UnknownService)?;
    let key = request.headers().get(headers::KEY).map(|key| key.as_bytes().to_vec());
    check_path(request, key.as_deref())?;
    check_len(request, &service)?;
    let timeout = timeout(request, &service)?;
    let journey = Journey {
        request: name.clone(),
        organisation: owner(entry, &service, key.as_deref())?,
        service,
        key,
        deadline: began_at.after(timeout),
        repeatability: repeatability(request),
        began_at,
        is_guest: false,
    };
    organisation.clone_from(&journey.organisation);
    charge(entry, &journey).await?;
    Ok(journey)
}

/// Refuses a key in the path or query, where a backend server would see it.
fn check_path(request: &web::HttpRequest, key: Option<&[u8]>) -> Result<()> {
    let path = request.uri().to_string();
    match key.is_some_and(|key| headers::holds(path.as_bytes(), key)) {
        true => Err(refusal::Refusal::KeyInPath),
        false => Ok(()),
    }
}

fn content_length(request: &web::HttpRequest) -> Option<u64> {
    headers::text(request.headers(), header::CONTENT_LENGTH.as_str())?.parse().ok()
}

fn check_len(request: &web::HttpRequest, service: &record::Service) -> Result<()> {
    let max = service.body_max_bytes;
    match content_length(request).is_some_and(|len_bytes| len_bytes > max.0) {
        true => Err(refusal::Refusal::BodyTooLarge { max }),
        false => Ok(()),
    }
}

/// Returns how long the request may take: as long as the caller waits, but not longer than the
/// service allows.
fn timeout(request: &web::HttpRequest, service: &record::Service) -> Result<time::Duration> {
    let most = service.deadline_ms;
    let Some(value) = request.headers().get(headers::TIMEOUT_MS) else {
        return Ok(most.duration());
    };
    let wanted = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match wanted {
        Some(wanted_ms) if wanted_ms > 0 => Ok(most.min(units_time::Millis(wanted_ms)).duration()),
        _ => Err(refusal::Refusal::BadTimeout),
    }
}

fn repeatability(request: &web::HttpRequest) -> attempt::Repeatability {
    let is_safe =
        matches!(*request.method(), http::Method::GET | http::Method::HEAD | http::Method::OPTIONS);
    let is_declared = headers::text(request.headers(), headers::IDEMPOTENT) == Some("true");
    match is_safe || is_declared {
        true => attempt::Repeatability::Idempotent,
        false => attempt::Repeatability::AtMostOnce,
    }
}

/// Returns the organisation whose key came with the request; none on routes open to all.
fn owner(
    entry: &entry::Entry,
    service: &record::Service,
    key: Option<&[u8]>,
) -> Result<Option<id::OrganisationId>> {
    if service.access == record::Access::Open {
        return Ok(None);
    }
    let key = key.ok_or(refusal::Refusal::MissingKey)?;
    let digest = digest::KeyDigest::of(key);
    let view = entry.keeper.view();
    if are_keys_stale(&view, service) {
        return Err(refusal::Refusal::KeysStale);
    }
    let organisation = view.records.organisation_of(&digest).cloned();
    organisation.map(Some).ok_or(refusal::Refusal::UnknownKey)
}

/// Tells whether the records may be older than the service allows.
fn are_keys_stale(view: &keeper_client::View, service: &record::Service) -> bool {
    let Some(most_ms) = service.key_staleness_max_ms else {
        return false;
    };
    let is_fresh = |at: units_time::MonoInstant| clock::now().since(at) <= most_ms.duration();
    !view.confirmed_at.is_some_and(is_fresh)
}

async fn charge(entry: &entry::Entry, journey: &Journey) -> Result<()> {
    let Some(organisation) = journey.organisation.clone() else {
        return Ok(());
    };
    let wait = journey.left().min(entry.settings.charge_wait.duration());
    let wait_ms = units_time::Millis(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    let charging = entry.keeper.charge(organisation, journey.request.clone(), wait_ms);
    match ntex_time::timeout(wait + KEEPER_MARGIN, charging).await {
        Ok(charged) => charged?,
        Err(()) => return Err(refusal::Refusal::ContractUnreachable),
    }
    // The key may have been withdrawn while the request waited.
    let owner = owner(entry, &journey.service, journey.key.as_deref())?;
    if owner != journey.organisation {
        return Err(refusal::Refusal::UnknownKey);
    }
    entry.reporter.report_about(journey.about(), event::What::Charged);
    Ok(())
}

/// A request's body, before it is known which attempt sends it.
enum Source {
    Kept(ntex_util::Bytes),
    Streamed(Option<http::Payload>),
}

/// Attempts the request until it is answered or must not be attempted again.
async fn run(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    payload: web::types::Payload,
    journey: &Journey,
    under_way: entry::UnderWay,
) -> Result<web::HttpResponse> {
    let mut source = take_body(request, payload, journey).await?;
    let mut tried = Tried::default();
    let mut history = attempt::History::default();
    entry.pools.earn_retry(&journey.service.service);
    loop {
        let target = choose(entry, journey, &tried, &mut history).await?;
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

/// Where a request was attempted already.
#[derive(Debug, Default)]
struct Tried {
    attempts: u32,
    servers: Vec<id::BackendServerId>,
    vms: Vec<id::VmId>,
}

impl Tried {
    fn note(&mut self, target: &Target) {
        self.attempts += 1;
        match target {
            Target::Slot(slot) => self.servers.push(slot.server().backend_server.clone()),
            Target::EntryVm(vm) => self.vms.push(vm.vm.clone()),
        }
    }
}

/// Where a request is attempted.
enum Target {
    /// At a backend server of this machine.
    Slot(pools::Slot),
    /// At another entry VM.
    EntryVm(entry_vm::EntryVm),
}

impl Target {
    const fn address(&self) -> net::SocketAddr {
        match self {
            Self::Slot(slot) => slot.server().address,
            Self::EntryVm(vm) => vm.forward_address,
        }
    }

    /// Returns the name under which the time line shows the target.
    fn name(&self) -> String {
        match self {
            Self::Slot(slot) => slot.server().backend_server.to_string(),
            Self::EntryVm(vm) => vm.vm.to_string(),
        }
    }

    const fn set_ending(&mut self, ending: backend_server::Ending) {
        if let Self::Slot(slot) = self {
            slot.set_ending(ending);
        }
    }
}

/// Chooses where the request is attempted next.
async fn choose(
    entry: &entry::Entry,
    journey: &Journey,
    tried: &Tried,
    history: &mut attempt::History,
) -> Result<Target> {
    if journey.is_guest {
        let slot = entry.pools.acquire_guest(&journey.service.service);
        return slot.map(Target::Slot).ok_or(refusal::Refusal::NoSlotToSpare);
    }
    let view = entry.keeper.view();
    let is_usable = entry.pools.is_usable(&journey.service.service);
    let place = match tried.attempts {
        0 => entry.places.first(&view, &journey.service, is_usable),
        _ => entry.places.again(&view, &journey.service, is_usable, &tried.vms),
    };
    match place {
        places::Place::There(vm) => Ok(Target::EntryVm(vm)),
        places::Place::Here => {
            wait_for_slot(entry, journey, &tried.servers, history).await.map(Target::Slot)
        }
        places::Place::Capped if tried.attempts == 0 => Err(refusal::Refusal::ShiftCapped),
        places::Place::None if tried.attempts == 0 => Err(refusal::Refusal::NoBackendServer),
        places::Place::Capped | places::Place::None => Err(no_slot(journey, history)),
    }
}

/// Reads a short body, so that it can be sent again; a long one is streamed.
async fn take_body(
    request: &web::HttpRequest,
    payload: web::types::Payload,
    journey: &Journey,
) -> Result<Source> {
    let payload = payload.into_inner();
    let has_body = request.headers().contains_key(header::TRANSFER_ENCODING);
    match content_length(request) {
        None if !has_body => Ok(Source::Kept(ntex_util::Bytes::new())),
        Some(len_bytes) if len_bytes <= KEPT_BODY_MAX_BYTES => {
            let reading = read_all(payload, len_bytes);
            let read = ntex_time::timeout(journey.left(), reading).await;
            let outcome = outcome::Outcome::NotRun;
            read.unwrap_or(Err(refusal::Refusal::UploadBroken { outcome })).map(Source::Kept)
        }
        _ => Ok(Source::Streamed(Some(payload))),
    }
}

async fn read_all(mut payload: http::Payload, len_bytes: u64) -> Result<ntex_util::Bytes> {
    let broken = refusal::Refusal::UploadBroken { outcome: outcome::Outcome::NotRun };
    let mut body = ntex_util::BytesMut::with_capacity(usize::try_from(len_bytes).unwrap_or(0));
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.map_err(|_| broken.clone())?);
    }
    match body.len() as u64 == len_bytes {
        true => Ok(body.freeze()),
        false => Err(broken),
    }
}

async fn wait_for_slot(
    entry: &entry::Entry,
    journey: &Journey,
    tried: &[id::BackendServerId],
    history: &mut attempt::History,
) -> Result<pools::Slot> {
    let service = &journey.service.service;
    let flow = &journey.organisation;
    match entry.pools.acquire(service, flow, journey.deadline, tried) {
        pools::Acquired::Slot(slot) => Ok(slot),
        pools::Acquired::QueueFull if tried.is_empty() => Err(refusal::Refusal::QueueFull),
        pools::Acquired::QueueFull => Err(no_slot(journey, history)),
        pools::Acquired::Waits(mut waiting) => {
            let waited = ntex_time::timeout(journey.left(), waiting.slot()).await;
            waited.ok().flatten().ok_or_else(|| no_slot(journey, history))
        }
    }
}

/// Tells the caller that no slot came free in time.
fn no_slot(journey: &Journey, history: &mut attempt::History) -> refusal::Refusal {
    let (state, fault) = (attempt::State::Waiting, attempt::Fault::NoSlot);
    let kept = attempt::Body::Kept;
    let outcome = match history.judge(state, fault, journey.repeatability, kept) {
        attempt::Verdict::Tell(outcome) => outcome,
        attempt::Verdict::TryAgain { otherwise } => otherwise,
        attempt::Verdict::BreakAnswer => outcome::Outcome::Unknown,
    };
    refusal::Refusal::Failed { state, fault, outcome }
}

/// Tells whether the request is attempted again; an error is what the caller is told.
fn judge(
    entry: &entry::Entry,
    journey: &Journey,
    source: &Source,
    history: &mut attempt::History,
    failure: upstream::Failure,
    attempts: u32,
) -> Result<()> {
    let kept = match source {
        Source::Kept(_) => attempt::Body::Kept,
        Source::Streamed(_) => attempt::Body::Streamed,
    };
    let upstream::Failure { state, fault, broken } = failure;
    let outcome = match history.judge(state, fault, journey.repeatability, kept) {
        attempt::Verdict::TryAgain { otherwise } => {
            let has_time = !journey.left().is_zero();
            if has_time && entry.pools.spend_retry(&journey.service.service, attempts) {
                return Ok(());
            }
            otherwise
        }
        attempt::Verdict::Tell(outcome) => outcome,
        attempt::Verdict::BreakAnswer => outcome::Outcome::Unknown,
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
    journey: &Journey,
    source: &mut Source,
    mut target: Target,
) -> std::result::Result<(client::ClientResponse, Target), upstream::Failure> {
    entry.counters.count_attempt(journey.service.service.as_str());
    let started = event::What::AttemptStarted { target: target.name() };
    entry.reporter.report_about(journey.about(), started);
    let sending = outgoing(entry, request, journey, source, &target);
    match upstream::send(target.address(), sending, journey.left()).await {
        Ok(response) => {
            target.set_ending(backend_server::Ending::Answered);
            Ok((response, target))
        }
        Err(failure) => {
            target.set_ending(ending_of(failure.fault));
            let ending = format!("{} while {}", failure.fault, failure.state);
            let ended = event::What::AttemptEnded { target: target.name(), ending };
            entry.reporter.report_about(journey.about(), ended);
            Err(failure)
        }
    }
}

/// Returns what a fault says about the backend server.
const fn ending_of(fault: attempt::Fault) -> backend_server::Ending {
    match fault {
        attempt::Fault::ConnectFailed
        | attempt::Fault::Disconnected
        | attempt::Fault::DeadlinePassed
        | attempt::Fault::AnswerMalformed => backend_server::Ending::Failed,
        attempt::Fault::DeclaredNotRun
        | attempt::Fault::NoSlot
        | attempt::Fault::CallerGone
        | attempt::Fault::UploadBroken => backend_server::Ending::Shed,
    }
}

fn outgoing(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    journey: &Journey,
    source: &mut Source,
    target: &Target,
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
    if let (Target::EntryVm(_), Some(vm)) = (target, &entry.settings.vm) {
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
        body: outgoing_body(request, journey, source),
    }
}

fn outgoing_body(
    request: &web::HttpRequest,
    journey: &Journey,
    source: &mut Source,
) -> upstream::Body {
    match source {
        Source::Kept(bytes) => upstream::Body::Kept(bytes.clone()),
        Source::Streamed(payload) => {
            let payload = payload.take().unwrap_or(http::Payload::None);
            let broken = upload::BrokenCell::default();
            let max_bytes = journey.service.body_max_bytes.0;
            let len_bytes = content_length(request);
            let upload = upload::Upload::new(payload, len_bytes, max_bytes, broken.clone());
            upstream::Body::Streamed(upload, broken)
        }
    }
}

/// Passes an answer on; the target is free when its body has ended.
fn answer(
    entry: &entry::Entry,
    journey: &Journey,
    response: &client::ClientResponse,
    target: Target,
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
    journey: &Journey,
    target: Target,
    under_way: entry::UnderWay,
) -> answer::OnEnd {
    let reporter = entry.reporter.clone();
    let about = journey.about();
    Box::new(move |is_whole| {
        let mut target = target;
        if !is_whole {
            target.set_ending(backend_server::Ending::Failed);
        }
        let ending = if is_whole { "whole answer" } else { "answer broke off" }.to_owned();
        reporter.report_about(about, event::What::AttemptEnded { target: target.name(), ending });
        drop(under_way);
    })
}
