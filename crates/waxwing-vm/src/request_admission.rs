//! Decides whether a request may be forwarded: reads its body, finds its route, authenticates the
//! caller and charges its organisation.

use std::mem;
use std::sync;
use std::time;

use futures_util::StreamExt;
use futures_util::stream;
use ntex::http;
use ntex::http::header;
use waxwing_machine::memory_budget;
use waxwing_process::clock;
use waxwing_request::shutdown;
use waxwing_route::route;
use waxwing_route::staleness;
use waxwing_route::table;
use waxwing_units::id;
use waxwing_units::size;
use waxwing_units::time as units_time;

use crate::access_log;
use crate::body;
use crate::contracts;
use crate::forward;
use crate::http_adapter;
use crate::memory;
use crate::refusal;
use crate::vm;

/// A request that passed all checks and was charged.
pub struct AdmittedRequest {
    /// The parsed head of the request.
    pub incoming: http_adapter::IncomingRequest,
    /// The HTTP method, which is forwarded unchanged.
    pub method: http::Method,
    /// All headers of the caller; the adapter selects those to forward.
    pub headers: header::HeaderMap,
    /// The route that matched host and path.
    pub route: route::Route,
    /// The service that the route's traffic split selected.
    pub service: id::ServiceId,
    /// The organisation that was charged; `None` for an anonymous request.
    pub organisation: Option<id::OrganisationId>,
    /// The regions in which the request may run, sorted; `None` if all are allowed.
    pub allowed_regions: Option<Vec<id::RegionId>>,
    /// The number of priority levels that are more urgent than that of this request.
    pub rank: u32,
    /// When the response is due.
    pub deadline: units_time::MonoInstant,
    /// The buffered body, which every attempt sends.
    pub body: body::Body,
}

impl AdmittedRequest {
    /// Returns the time left until the deadline, or until this VM's last responses are due; zero
    /// once it has passed.
    pub fn time_left(&self, vm: &vm::Vm) -> time::Duration {
        vm.shutdown.limit(self.deadline).since(clock::now())
    }

    /// Returns the affinity key, qualified by the route's path prefix so that equal keys of
    /// different routes differ; `None` if the route has no affinity, since all servers are then
    /// equally fast.
    pub fn object(&self) -> Option<String> {
        let object = self.incoming.object.as_ref().filter(|_| self.route.has_affinity)?;
        Some(format!("{}{object}", self.route.path_prefix))
    }

    /// Returns whether the request may run in a region; an unknown region is allowed only if all
    /// are.
    pub fn allows_region(&self, region: Option<&id::RegionId>) -> bool {
        match (&self.allowed_regions, region) {
            (None, _) => true,
            (Some(allowed), Some(region)) => allowed.binary_search(region).is_ok(),
            (Some(_), None) => false,
        }
    }
}

/// A request with its body, before the checks.
pub struct ReceivedRequest {
    incoming: http_adapter::IncomingRequest,
    method: http::Method,
    headers: header::HeaderMap,
    table: Option<sync::Arc<table::Table>>,
    allows_denial: bool,
    route: Option<route::Route>,
    deadline: units_time::MonoInstant,
    body: refusal::Result<body::Body>,
}

impl ReceivedRequest {
    /// Returns whether the configuration was recent enough at the arrival to reject the request for
    /// good because of what it does not allow.
    pub const fn allows_denial(&self) -> bool {
        self.allows_denial
    }
}

/// Reads a request's body, within the timeout of its route.
///
/// The body is read before any response, even one that refuses the request, because a response on a
/// connection with unread bytes may be lost.
pub async fn receive(
    vm: &vm::Shared,
    connection: &memory::SharedConnection,
    mut request: http::Request,
    incoming: http_adapter::IncomingRequest,
    body: impl stream::Stream<Item = forward::Chunk> + Unpin,
    log_entry: &mut access_log::AccessLogEntry,
) -> ReceivedRequest {
    let received_at = clock::now();
    let wait_max = incoming.timeout.unwrap_or(UNROUTED_TIMEOUT) / START_WAIT_DIVISOR;
    vm.wait_until_started(wait_max.min(START_WAIT_MAX)).await;
    let configuration = vm.active_configuration();
    log_entry.record_configuration(&configuration);
    let apply_max = vm.settings().settings.apply_max.duration();
    let allows_denial =
        staleness::allows_denials(received_at, configuration.confirmed_at, apply_max);
    let table = configuration.table;
    let route =
        table.as_ref().and_then(|table| table.route(&incoming.host, &incoming.path)).cloned();
    let timeout = match (&route, incoming.timeout) {
        (Some(route), Some(requested)) => requested.min(route.timeout),
        (Some(route), None) => route.timeout,
        (None, requested) => requested.unwrap_or(UNROUTED_TIMEOUT),
    };
    let deadline = received_at.after(timeout);
    let method = request.head().method.clone();
    let headers = mem::take(&mut request.head_mut().headers);
    drop(request);
    let body = read_body(vm, connection, body, deadline, table.as_deref()).await;
    ReceivedRequest { incoming, method, headers, table, allows_denial, route, deadline, body }
}

/// Checks a request and charges its organisation.
///
/// # Errors
///
/// Returns why the request must not run.
pub async fn admit(
    vm: &vm::Shared,
    received: ReceivedRequest,
    log_entry: &mut access_log::AccessLogEntry,
) -> refusal::Result<AdmittedRequest> {
    let ReceivedRequest { incoming, method, headers, table, route, deadline, body, .. } = received;
    let table = table.ok_or(refusal::Refusal::NoConfiguration)?;
    let route = route.ok_or(refusal::Refusal::NoRoute)?;
    log_entry.record_route(&route.name);
    let body = body?;
    if vm.is_configuration_overdue() {
        return Err(refusal::Refusal::ConfigurationOverdue);
    }
    if !vm.shutdown.admits(&shutdown_request(&route, deadline)) {
        return Err(refusal::Refusal::ShuttingDown);
    }
    let organisation = authenticate(vm, &table, &route, &incoming)?;
    log_entry.record_organisation(organisation.as_ref());
    if let Some(organisation) = &organisation {
        let deadline = vm.shutdown.limit(deadline);
        let charged = contracts::charge(vm, organisation, deadline, route.latency_objective).await;
        vm.counters.count_charge(if charged.is_ok() { "charged" } else { "refused" });
        charged.map_err(refusal::Refusal::NotCharged)?;
    }
    let terms = organisation.as_ref().and_then(|organisation| table.organisation(organisation));
    let allowed_regions =
        allowed_regions(&route, terms.map(|terms| terms.allowed_regions.as_slice()));
    let priority = terms.and_then(|terms| terms.priority).unwrap_or(route.priority);
    let rank = table.rank(priority);
    let service = vm.pools.next_service(&route).ok_or(refusal::Refusal::NoServer)?;
    let request = AdmittedRequest {
        incoming,
        method,
        headers,
        route,
        service,
        organisation,
        allowed_regions,
        rank,
        deadline,
        body,
    };
    log_entry.record_service(&request);
    Ok(request)
}

/// How long a request waits, at most, on a VM that has just started and reads its configuration.
const START_WAIT_MAX: time::Duration = time::Duration::from_secs(2);

/// The part of a request's time, as a divisor, that it waits for that; a caller that is refused comes
/// back within that time too.
const START_WAIT_DIVISOR: u32 = 3;

/// How long the body of a request waits for memory.
const BODY_MEMORY_WAIT_MAX: time::Duration = time::Duration::from_secs(1);

/// The timeout of a request that no route matches and that does not state one.
const UNROUTED_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Returns the organisation that the caller's key belongs to in `table`; `None` for an anonymous
/// caller.
fn authenticate(
    vm: &vm::Vm,
    table: &sync::Arc<table::Table>,
    route: &route::Route,
    incoming: &http_adapter::IncomingRequest,
) -> refusal::Result<Option<id::OrganisationId>> {
    let is_anonymous = route.is_open || table.organisations().is_empty();
    if !is_anonymous && !vm.allows_keys() {
        return Err(refusal::Refusal::KeysStale);
    }
    match table.authenticate(route, incoming.key.as_deref()) {
        table::Caller::Anonymous => Ok(None),
        table::Caller::Organisation(terms) => Ok(Some(terms.organisation.clone())),
        table::Caller::Unauthenticated => Err(refusal::Refusal::UnknownKey),
    }
}

/// Returns what a shutdown's decision on a request depends on.
const fn shutdown_request(
    route: &route::Route,
    deadline: units_time::MonoInstant,
) -> shutdown::Request {
    shutdown::Request {
        deadline,
        expected_duration: route.latency_objective,
        repeatability: route.repeatability,
    }
}

/// Checks again right before an attempt whether the request may run, since its key may have been
/// withdrawn, or a shutdown begun, after the request was admitted.
///
/// # Errors
///
/// Returns an error if the process may end before the attempt does, if the key was withdrawn or
/// belongs to another organisation than the charged one, or if the configuration is missing or too
/// old to determine that.
pub fn recheck(vm: &vm::Vm, request: &AdmittedRequest) -> refusal::Result<()> {
    if !vm.shutdown.allows_attempt(&shutdown_request(&request.route, request.deadline)) {
        return Err(refusal::Refusal::ShuttingDown);
    }
    recheck_key(vm, request)
}

/// Checks the key by the configuration in force now.
fn recheck_key(vm: &vm::Vm, request: &AdmittedRequest) -> refusal::Result<()> {
    let Some(organisation) = &request.organisation else {
        return Ok(());
    };
    let table = vm.table().ok_or(refusal::Refusal::NoConfiguration)?;
    let caller = authenticate(vm, &table, &request.route, &request.incoming)?;
    match caller.as_ref() == Some(organisation) {
        true => Ok(()),
        false => Err(refusal::Refusal::OrganisationChanged),
    }
}

/// Returns the regions that both the route and the organisation allow; `None` if neither restricts
/// them.
fn allowed_regions(
    route: &route::Route,
    organisation: Option<&[id::RegionId]>,
) -> Option<Vec<id::RegionId>> {
    let by_route = Some(route.allowed_regions.as_slice()).filter(|regions| !regions.is_empty());
    let by_organisation = organisation.filter(|regions| !regions.is_empty());
    match (by_route, by_organisation) {
        (None, None) => None,
        (Some(regions), None) | (None, Some(regions)) => Some(regions.to_vec()),
        (Some(route_regions), Some(organisation_regions)) => Some(
            route_regions
                .iter()
                .filter(|region| organisation_regions.contains(region))
                .cloned()
                .collect(),
        ),
    }
}

/// Reads the whole body, up to the deadline and the configured size limit.
async fn read_body(
    vm: &vm::Shared,
    connection: &memory::SharedConnection,
    body: impl stream::Stream<Item = forward::Chunk> + Unpin,
    deadline: units_time::MonoInstant,
    table: Option<&table::Table>,
) -> refusal::Result<body::Body> {
    let max = table.map_or(size::Bytes(u64::MAX), |table| table.limits().body_max_bytes);
    let reading = connection.unless_evicted(read_chunks(connection, body, max));
    match vm.shutdown.timeout(deadline, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(memory::Full)) => Err(refusal::Refusal::BodyMemoryFull),
        Err(_) if vm.shutdown.are_responses_due() => Err(refusal::Refusal::ShuttingDown),
        Err(_) => Err(refusal::Refusal::BodyTimeout),
    }
}

async fn read_chunks(
    connection: &memory::SharedConnection,
    mut body: impl stream::Stream<Item = forward::Chunk> + Unpin,
    max: size::Bytes,
) -> refusal::Result<body::Body> {
    let reservation = connection.reservation(memory_budget::Purpose::RequestBody);
    let mut buffer = body::BodyBuffer::new(reservation, BODY_MEMORY_WAIT_MAX);
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|error| {
            log::debug!("a request body ended early: {error}");
            refusal::Refusal::BodyIncomplete
        })?;
        connection.record_progress(chunk.len());
        if buffer.len().0 + chunk.len() as u64 > max.0 {
            return Err(refusal::Refusal::BodyTooLarge);
        }
        buffer.push(&chunk).await.map_err(|memory::Full| refusal::Refusal::BodyMemoryFull)?;
    }
    Ok(buffer.finish())
}
