//! Decides whether a request may be forwarded: finds its service, checks its headers, authenticates
//! the caller and charges its organisation.

use std::time;

use ntex::http;
use ntex::http::header;
use ntex::web;
use waxwing_keeper_client::client as keeper_client;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_record::record;
use waxwing_request::attempt;
use waxwing_request::shutdown;
use waxwing_route::staleness;
use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_units::digest;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::entry;
use crate::headers;
use crate::refusal;

/// The time that the keeper has for its response beyond the wait for a token.
pub(crate) const KEEPER_RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(200);

/// How soon changed records have to be in force on all entry VMs.
const RECORDS_APPLY_MAX: time::Duration = time::Duration::from_secs(18);

/// The result of a step in handling a request.
pub(crate) type Result<T> = std::result::Result<T, refusal::Refusal>;

/// A request that passed all checks.
pub(crate) struct AdmittedRequest {
    /// The caller's id for the request, or a generated one.
    pub(crate) request_id: id::RequestId,
    /// The service that the path names.
    pub(crate) service: record::Service,
    /// The organisation that is charged; `None` for a service without keys.
    pub(crate) organisation: Option<id::OrganisationId>,
    /// The caller's key, as sent; `None` if another entry VM forwarded the request.
    pub(crate) key: Option<Vec<u8>>,
    /// When the response is due.
    pub(crate) deadline: units_time::MonoInstant,
    /// Whether the request may run more than once.
    pub(crate) repeatability: attempt::Repeatability,
    /// When the request arrived.
    pub(crate) received_at: units_time::MonoInstant,
    /// Whether another entry VM forwarded the request; this machine then neither charges it nor
    /// forwards it to a third one.
    pub(crate) is_forwarded: bool,
}

impl AdmittedRequest {
    /// Returns the context of events of this request: its id and its organisation.
    pub(crate) fn event_context(&self) -> journal::Context {
        journal::Context {
            request: Some(self.request_id.clone()),
            organisation: self.organisation.clone(),
        }
    }

    /// Returns the time left until the deadline, or until the last responses of the process are
    /// due; zero once it has passed.
    pub(crate) fn time_left(&self, entry: &entry::Entry) -> time::Duration {
        entry.shutdown.limit(self.deadline).since(clock::now())
    }

    /// Returns what a shutdown's decision on this request depends on.
    pub(crate) const fn shutdown_request(&self) -> shutdown::Request {
        shutdown::Request {
            deadline: self.deadline,
            // Services do not state how long their requests take.
            expected_duration: time::Duration::ZERO,
            repeatability: self.repeatability,
        }
    }

    /// Returns whether the request may be sent to a backend server now, rather than outlast the
    /// process.
    pub(crate) fn allows_attempt(&self, entry: &entry::Entry) -> bool {
        entry.shutdown.allows_attempt(&self.shutdown_request())
    }
}

/// Returns whether a request that arrived at `received_at` may be rejected for good because of what
/// the records do not allow.
pub(crate) fn allows_denials(entry: &entry::Entry, received_at: units_time::MonoInstant) -> bool {
    let confirmed_at = entry.keeper.view().confirmed_at;
    staleness::allows_denials(received_at, confirmed_at, RECORDS_APPLY_MAX)
}

/// Checks a request that another entry VM has authenticated, charged and forwarded.
pub(crate) fn admit_forwarded(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    request_id: &id::RequestId,
    received_at: units_time::MonoInstant,
) -> Result<AdmittedRequest> {
    let records = entry.keeper.view().records;
    let service = records.service(service_name(request.path())).cloned();
    let service = service.ok_or(refusal::Refusal::UnknownService)?;
    check_len(request, &service)?;
    let timeout = timeout(request, &service)?;
    let organisation = headers::text(request.headers(), headers::ORGANISATION);
    let admitted = AdmittedRequest {
        request_id: request_id.clone(),
        organisation: organisation.and_then(|name| name.parse().ok()),
        service,
        key: None,
        deadline: received_at.after(timeout),
        repeatability: repeatability(request),
        received_at,
        is_forwarded: true,
    };
    check_shutdown(entry, &admitted)?;
    Ok(admitted)
}

/// Refuses new requests that might outlast the process.
fn check_shutdown(entry: &entry::Entry, admitted: &AdmittedRequest) -> Result<()> {
    match entry.shutdown.admits(&admitted.shutdown_request()) {
        true => Ok(()),
        false => Err(refusal::Refusal::ShuttingDown),
    }
}

/// Returns the first segment of a path, which names the service.
pub(crate) fn service_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}

/// Checks a caller's request and charges its organisation.
///
/// `organisation` is set as soon as the caller is authenticated, so that a later refusal can be
/// reported with it.
pub(crate) async fn admit(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    request_id: &id::RequestId,
    received_at: units_time::MonoInstant,
    organisation: &mut Option<id::OrganisationId>,
) -> Result<AdmittedRequest> {
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
    let admitted = AdmittedRequest {
        request_id: request_id.clone(),
        organisation: authenticate(entry, &service, key.as_deref())?,
        service,
        key,
        deadline: received_at.after(timeout),
        repeatability: repeatability(request),
        received_at,
        is_forwarded: false,
    };
    organisation.clone_from(&admitted.organisation);
    check_shutdown(entry, &admitted)?;
    charge(entry, &admitted).await?;
    Ok(admitted)
}

/// Rejects a key in the path or query, which the backend server would receive.
pub(crate) fn check_path(request: &web::HttpRequest, key: Option<&[u8]>) -> Result<()> {
    let path = request.uri().to_string();
    match key.is_some_and(|key| headers::contains(path.as_bytes(), key)) {
        true => Err(refusal::Refusal::KeyInPath),
        false => Ok(()),
    }
}

pub(crate) fn content_length(request: &web::HttpRequest) -> Option<u64> {
    headers::text(request.headers(), header::CONTENT_LENGTH.as_str())?.parse().ok()
}

/// Rejects a Content-Length above the service's limit. A body without one is checked while it is
/// streamed.
pub(crate) fn check_len(request: &web::HttpRequest, service: &record::Service) -> Result<()> {
    let max = service.body_max_bytes;
    match content_length(request).is_some_and(|len_bytes| len_bytes > max.0) {
        true => Err(refusal::Refusal::BodyTooLarge { max }),
        false => Ok(()),
    }
}

/// Returns how long the request may take: as long as the caller waits, up to the limit of the
/// service.
pub(crate) fn timeout(
    request: &web::HttpRequest,
    service: &record::Service,
) -> Result<time::Duration> {
    let max = service.deadline_ms;
    let Some(value) = request.headers().get(headers::TIMEOUT_MS) else {
        return Ok(max.duration());
    };
    let requested = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match requested {
        Some(requested_ms) if requested_ms > 0 => {
            Ok(max.min(units_time::Millis(requested_ms)).duration())
        }
        _ => Err(refusal::Refusal::InvalidTimeout),
    }
}

/// Returns whether the request may run more than once, by its method or the caller's declaration.
pub(crate) fn repeatability(request: &web::HttpRequest) -> attempt::Repeatability {
    let is_safe =
        matches!(*request.method(), http::Method::GET | http::Method::HEAD | http::Method::OPTIONS);
    let is_declared = headers::text(request.headers(), headers::IDEMPOTENT) == Some("true");
    match is_safe || is_declared {
        true => attempt::Repeatability::Idempotent,
        false => attempt::Repeatability::AtMostOnce,
    }
}

/// Returns the organisation of the caller's key; `None` for a service without keys.
pub(crate) fn authenticate(
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

/// Returns whether the records may be older than the service's limit on key staleness.
pub(crate) fn are_keys_stale(view: &keeper_client::View, service: &record::Service) -> bool {
    let Some(staleness_max) = service.key_staleness_max_ms else {
        return false;
    };
    let is_fresh = |at: units_time::MonoInstant| clock::now().since(at) <= staleness_max.duration();
    !view.confirmed_at.is_some_and(is_fresh)
}

/// Charges the request's organisation for one token, waiting for it if necessary.
pub(crate) async fn charge(entry: &entry::Entry, admitted: &AdmittedRequest) -> Result<()> {
    let Some(organisation) = admitted.organisation.clone() else {
        return Ok(());
    };
    let wait = admitted.time_left(entry).min(entry.settings.charge_wait.duration());
    let wait_ms = units_time::Millis(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    let charge_future = entry.keeper.charge(organisation, admitted.request_id.clone(), wait_ms);
    match timer::timeout(wait + KEEPER_RESPONSE_MARGIN, charge_future).await {
        Ok(charged) => charged?,
        Err(timer::Elapsed) => return Err(refusal::Refusal::ContractUnreachable),
    }
    // The key may have been withdrawn while the request waited for a token.
    let key_owner = authenticate(entry, &admitted.service, admitted.key.as_deref())?;
    if key_owner != admitted.organisation {
        return Err(refusal::Refusal::OrganisationChanged);
    }
    entry.reporter.report_with_context(admitted.event_context(), event::Kind::Charged);
    Ok(())
}
