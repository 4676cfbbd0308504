//! What is known of a request on its way, and the checks before it may run.

use std::sync::atomic;
use std::time;

use ntex::http;
use ntex::http::header;
use ntex::web;
use waxwing_keeper_client::client as keeper_client;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_record::record;
use waxwing_request::attempt;
use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_units::digest;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::entry;
use crate::headers;
use crate::refusal;

/// How much longer than the token's wait the keeper may take to answer.
pub(crate) const KEEPER_MARGIN: time::Duration = time::Duration::from_millis(200);

/// The result of a part of the way.
pub(crate) type Result<T> = std::result::Result<T, refusal::Refusal>;

/// What is known of a request on its way.
pub(crate) struct Journey {
    pub(crate) request: id::RequestId,
    pub(crate) service: record::Service,
    pub(crate) organisation: Option<id::OrganisationId>,
    pub(crate) key: Option<Vec<u8>>,
    pub(crate) deadline: units_time::MonoInstant,
    pub(crate) repeatability: attempt::Repeatability,
    pub(crate) began_at: units_time::MonoInstant,
    /// Whether another entry VM passed the request on.
    pub(crate) is_guest: bool,
}

impl Journey {
    pub(crate) fn about(&self) -> journal::Context {
        journal::Context {
            request: Some(self.request.clone()),
            organisation: self.organisation.clone(),
        }
    }

    pub(crate) fn left(&self) -> time::Duration {
        self.deadline.since(clock::now())
    }
}

pub(crate) fn prepare_guest(
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

/// Returns the first part of a path.
pub(crate) fn service_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}

/// Checks the request, charges its organisation, and tells what it needs on its way.
pub(crate) async fn prepare(
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
pub(crate) fn check_path(request: &web::HttpRequest, key: Option<&[u8]>) -> Result<()> {
    let path = request.uri().to_string();
    match key.is_some_and(|key| headers::holds(path.as_bytes(), key)) {
        true => Err(refusal::Refusal::KeyInPath),
        false => Ok(()),
    }
}

pub(crate) fn content_length(request: &web::HttpRequest) -> Option<u64> {
    headers::text(request.headers(), header::CONTENT_LENGTH.as_str())?.parse().ok()
}

pub(crate) fn check_len(request: &web::HttpRequest, service: &record::Service) -> Result<()> {
    let max = service.body_max_bytes;
    match content_length(request).is_some_and(|len_bytes| len_bytes > max.0) {
        true => Err(refusal::Refusal::BodyTooLarge { max }),
        false => Ok(()),
    }
}

/// Returns how long the request may take: as long as the caller waits, but not longer than the
/// service allows.
pub(crate) fn timeout(
    request: &web::HttpRequest,
    service: &record::Service,
) -> Result<time::Duration> {
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

pub(crate) fn repeatability(request: &web::HttpRequest) -> attempt::Repeatability {
    let is_safe =
        matches!(*request.method(), http::Method::GET | http::Method::HEAD | http::Method::OPTIONS);
    let is_declared = headers::text(request.headers(), headers::IDEMPOTENT) == Some("true");
    match is_safe || is_declared {
        true => attempt::Repeatability::Idempotent,
        false => attempt::Repeatability::AtMostOnce,
    }
}

/// Returns the organisation whose key came with the request; none on routes open to all.
pub(crate) fn owner(
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
pub(crate) fn are_keys_stale(view: &keeper_client::View, service: &record::Service) -> bool {
    let Some(most_ms) = service.key_staleness_max_ms else {
        return false;
    };
    let is_fresh = |at: units_time::MonoInstant| clock::now().since(at) <= most_ms.duration();
    !view.confirmed_at.is_some_and(is_fresh)
}

pub(crate) async fn charge(entry: &entry::Entry, journey: &Journey) -> Result<()> {
    let Some(organisation) = journey.organisation.clone() else {
        return Ok(());
    };
    let wait = journey.left().min(entry.settings.charge_wait.duration());
    let wait_ms = units_time::Millis(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    let charging = entry.keeper.charge(organisation, journey.request.clone(), wait_ms);
    match timer::timeout(wait + KEEPER_MARGIN, charging).await {
        Ok(charged) => charged?,
        Err(timer::Elapsed) => return Err(refusal::Refusal::ContractUnreachable),
    }
    // The key may have been withdrawn while the request waited.
    let owner = owner(entry, &journey.service, journey.key.as_deref())?;
    if owner != journey.organisation {
        return Err(refusal::Refusal::UnknownKey);
    }
    entry.reporter.report_about(journey.about(), event::Kind::Charged);
    Ok(())
}
