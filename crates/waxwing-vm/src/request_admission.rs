//! What is known of a request, and the checks before it may run.

use std::sync;
use std::sync::atomic;
use std::time;

use futures_util::StreamExt;
use futures_util::stream;
use ntex::http;
use ntex::http::header;
use ntex::util as ntex_util;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_route::route;
use waxwing_route::table;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::access_log;
use crate::contracts;
use crate::forward;
use crate::http_adapter;
use crate::refusal;
use crate::vm;

/// What is known of a request on its way.
pub struct Journey {
    /// What the caller said.
    pub arrival: http_adapter::IncomingRequest,
    /// The method.
    pub method: http::Method,
    /// The headers.
    pub headers: header::HeaderMap,
    /// The route.
    pub route: route::Route,
    /// The service that the request goes to.
    pub service: id::ServiceId,
    /// The organisation whose request it is.
    pub organisation: Option<id::OrganisationId>,
    /// The regions in which it may run; none where all may.
    pub allowed_regions: Option<Vec<id::RegionId>>,
    /// How many ranks of requests are more urgent.
    pub rank: u32,
    /// When it has to be answered.
    pub deadline: units_time::MonoInstant,
    /// The body.
    pub body: Kept,
}

impl Journey {
    /// Returns the time that is left.
    pub fn left(&self) -> time::Duration {
        self.deadline.since(clock::now())
    }

    /// Returns the object that the request is about, told apart from those of other routes; none
    /// where all servers are as quick.
    pub fn object(&self) -> Option<String> {
        let object = self.arrival.object.as_ref().filter(|_| self.route.has_affinity)?;
        Some(format!("{}{object}", self.route.path_prefix))
    }

    /// Tells whether the request may run in a region.
    pub fn allows(&self, region: Option<&id::RegionId>) -> bool {
        match (&self.allowed_regions, region) {
            (None, _) => true,
            (Some(allowed), Some(region)) => allowed.binary_search(region).is_ok(),
            (Some(_), None) => false,
        }
    }
}

/// A body that is kept, counted for as long as it is.
pub struct Kept {
    vm: vm::Shared,
    bytes: ntex_util::Bytes,
    counted_bytes: u64,
}

impl Kept {
    /// Returns the body.
    pub fn bytes(&self) -> ntex_util::Bytes {
        self.bytes.clone()
    }

    const fn empty(vm: vm::Shared) -> Self {
        Self { vm, bytes: ntex_util::Bytes::new(), counted_bytes: 0 }
    }

    /// Counts `more_bytes`; returns whether there was memory for them.
    fn count(&mut self, more_bytes: u64) -> bool {
        let before = self.vm.kept_bytes.fetch_add(more_bytes, atomic::Ordering::AcqRel);
        self.counted_bytes += more_bytes;
        before + more_bytes <= self.vm.kept_max_bytes()
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.vm.kept_bytes.fetch_sub(self.counted_bytes, atomic::Ordering::AcqRel);
    }
}

/// A request whose body was read, before the checks.
pub struct Received {
    arrival: http_adapter::IncomingRequest,
    method: http::Method,
    headers: header::HeaderMap,
    table: Option<sync::Arc<table::Table>>,
    route: Option<route::Route>,
    deadline: units_time::MonoInstant,
    body: refusal::Result<Kept>,
}

/// Reads a request's body, within the time that its route allows.
///
/// The body is read before any answer, also before one that refuses it: an answer to a connection
/// with unread bytes may be lost.
pub async fn receive(
    vm: &vm::Shared,
    head: &http::RequestHead,
    body: impl stream::Stream<Item = forward::Chunk> + Unpin,
    arrival: http_adapter::IncomingRequest,
    trace: &mut access_log::Trace,
) -> Received {
    let began_at = clock::now();
    let in_force = vm.in_force();
    trace.note_configuration(&in_force);
    let table = in_force.table;
    let route = table.as_ref().and_then(|table| table.route(&arrival.host, &arrival.path)).cloned();
    let timeout = match (&route, arrival.timeout) {
        (Some(route), Some(wanted)) => wanted.min(route.timeout),
        (Some(route), None) => route.timeout,
        (None, wanted) => wanted.unwrap_or(UNROUTED_TIMEOUT),
    };
    let deadline = began_at.after(timeout);
    let body = read_body(vm, body, deadline, table.as_deref()).await;
    let (method, headers) = (head.method.clone(), head.headers.clone());
    Received { arrival, method, headers, table, route, deadline, body }
}

/// Checks a request and charges its organisation.
///
/// # Errors
///
/// Returns why the request must not run.
pub async fn prepare(
    vm: &vm::Shared,
    received: Received,
    trace: &mut access_log::Trace,
) -> refusal::Result<Journey> {
    let Received { arrival, method, headers, table, route, deadline, body } = received;
    if vm.stage() == vm::Stage::Closed {
        return Err(refusal::Refusal::ShuttingDown);
    }
    let table = table.ok_or(refusal::Refusal::NoConfiguration)?;
    let route = route.ok_or(refusal::Refusal::NoRoute)?;
    trace.note_route(&route.name);
    let body = body?;
    let organisation = sender(vm, &table, &route, &arrival)?;
    trace.note_organisation(organisation.as_ref());
    if let Some(organisation) = &organisation {
        let charged = contracts::charge(vm, organisation, deadline).await;
        vm.counters.count_charge(if charged.is_ok() { "charged" } else { "refused" });
        charged.map_err(refusal::Refusal::NotCharged)?;
    }
    let terms = organisation.as_ref().and_then(|organisation| table.organisation(organisation));
    let allowed_regions =
        allowed_regions(&route, terms.map(|terms| terms.allowed_regions.as_slice()));
    let priority = terms.and_then(|terms| terms.priority).unwrap_or(route.priority);
    let rank = table.rank(priority);
    let service = vm.pools.next_service(&route).ok_or(refusal::Refusal::NoServer)?;
    let journey = Journey {
        arrival,
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
    trace.note_journey(&journey);
    Ok(journey)
}

/// How long a request may take of which no route tells.
const UNROUTED_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Tells whose request it is, by the newest configuration.
fn sender(
    vm: &vm::Vm,
    table: &sync::Arc<table::Table>,
    route: &route::Route,
    arrival: &http_adapter::IncomingRequest,
) -> refusal::Result<Option<id::OrganisationId>> {
    let is_keyless = route.is_open || table.organisations().is_empty();
    if !is_keyless && !vm.allows_keys() {
        return Err(refusal::Refusal::KeysStale);
    }
    match table.authenticate(route, arrival.key.as_deref()) {
        table::Caller::Anonymous => Ok(None),
        table::Caller::Organisation(terms) => Ok(Some(terms.organisation.clone())),
        table::Caller::Unauthenticated => Err(refusal::Refusal::UnknownKey),
    }
}

/// Checks a key again, right before the request is sent.
///
/// # Errors
///
/// Returns why the request must not run.
pub fn check_again(vm: &vm::Vm, journey: &Journey) -> refusal::Result<()> {
    let Some(organisation) = &journey.organisation else {
        return Ok(());
    };
    let table = vm.table().ok_or(refusal::Refusal::NoConfiguration)?;
    let sender = sender(vm, &table, &journey.route, &journey.arrival)?;
    match sender.as_ref() == Some(organisation) {
        true => Ok(()),
        false => Err(refusal::Refusal::UnknownKey),
    }
}

/// Returns the regions that both route and organisation allow.
fn allowed_regions(
    route: &route::Route,
    organisation: Option<&[id::RegionId]>,
) -> Option<Vec<id::RegionId>> {
    let by_route = Some(route.allowed_regions.as_slice()).filter(|regions| !regions.is_empty());
    let by_organisation = organisation.filter(|regions| !regions.is_empty());
    match (by_route, by_organisation) {
        (None, None) => None,
        (Some(regions), None) | (None, Some(regions)) => Some(regions.to_vec()),
        (Some(one), Some(other)) => {
            Some(one.iter().filter(|region| other.contains(region)).cloned().collect())
        }
    }
}

/// Reads a body to its end.
async fn read_body(
    vm: &vm::Shared,
    body: impl stream::Stream<Item = forward::Chunk> + Unpin,
    deadline: units_time::MonoInstant,
    table: Option<&table::Table>,
) -> refusal::Result<Kept> {
    let max_bytes = table.map_or(u64::MAX, |table| table.limits().body_max_bytes.0);
    let reading = read_chunks(vm, body, max_bytes);
    let read = timer::timeout(deadline.since(clock::now()), reading).await;
    read.unwrap_or(Err(refusal::Refusal::BodyTimeout))
}

async fn read_chunks(
    vm: &vm::Shared,
    mut body: impl stream::Stream<Item = forward::Chunk> + Unpin,
    max_bytes: u64,
) -> refusal::Result<Kept> {
    let mut kept = Kept::empty(vm.clone());
    let mut whole = ntex_util::BytesMut::new();
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|error| {
            log::debug!("a body broke off: {error}");
            refusal::Refusal::BodyIncomplete
        })?;
        if !kept.count(chunk.len() as u64) {
            return Err(refusal::Refusal::BodyMemoryFull);
        }
        if kept.counted_bytes > max_bytes {
            return Err(refusal::Refusal::BodyTooLarge);
        }
        whole.extend_from_slice(&chunk);
    }
    kept.bytes = whole.freeze();
    Ok(kept)
}
