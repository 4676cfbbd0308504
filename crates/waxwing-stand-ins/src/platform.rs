//! A test double of the platform: an in-memory key-value store with revisions, leases and watches,
//! and the list of entry VMs, both over HTTP.
//!
//! `/control/faults` injects faults, `/control/vms` replaces the list of entry VMs, and
//! `/control/calls` returns the number of calls.

use std::collections;
use std::net;
use std::sync;
use std::time;

use ntex::time as ntex_time;
use ntex::web;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use waxwing_machine::entry_vm;
use waxwing_platform::store;
use waxwing_units::id;

/// Largest value that the store accepts, in bytes of JSON.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// The injected faults, as set through `/control/faults`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Whether every call fails with status 503.
    pub is_out: bool,
    /// Additional latency of each call, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next writes take effect without their result being returned.
    pub lost_answers: u64,
}

/// A write with an optional lease.
#[derive(Debug, Deserialize)]
struct LeasedWrite {
    #[serde(flatten)]
    write: store::Write,
    /// How long the value is stored unless it is written again, in milliseconds; without a lease it
    /// does not expire.
    #[serde(default)]
    lease_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Data {
    revision: u64,
    leases: collections::BTreeMap<String, time::Instant>,
    entries: collections::BTreeMap<String, store::Entry>,
    vms: Vec<entry_vm::EntryVm>,
    control: Control,
    calls: u64,
}

/// The state of the platform, shared by its handlers.
#[derive(Debug, Clone)]
pub struct Platform {
    data: sync::Arc<Mutex<Data>>,
    changed: watch::Sender<u64>,
}

impl Default for Platform {
    fn default() -> Self {
        Self { data: sync::Arc::default(), changed: watch::Sender::new(0) }
    }
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    prefix: String,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

impl Platform {
    /// Replaces the list of entry VMs that the platform returns.
    pub fn set_vms(&self, vms: Vec<entry_vm::EntryVm>) {
        self.data.lock().vms = vms;
    }

    /// Counts a call and returns the faults to inject into it.
    fn record_call(&self) -> Control {
        let mut data = self.data.lock();
        data.calls += 1;
        data.control.clone()
    }

    /// Removes values whose leases have expired, and wakes watches.
    fn expire_leases(&self) {
        let mut data = self.data.lock();
        let now = time::Instant::now();
        let expired_keys: Vec<String> = data
            .leases
            .iter()
            .filter(|(_, expires_at)| **expires_at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired_keys {
            data.leases.remove(&key);
            if data.entries.remove(&key).is_some() {
                data.revision += 1;
            }
        }
        self.changed.send_replace(data.revision);
    }

    fn list(&self, prefix: &str) -> store::Listing {
        self.expire_leases();
        let data = self.data.lock();
        let entries = data.entries.range(prefix.to_owned()..);
        let entries = entries.take_while(|(key, _)| key.starts_with(prefix));
        store::Listing {
            revision: id::Revision(data.revision),
            entries: entries.map(|(_, entry)| entry.clone()).collect(),
        }
    }

    fn write(&self, LeasedWrite { write, lease_ms }: LeasedWrite) -> store::WriteOutcome {
        self.expire_leases();
        let mut data = self.data.lock();
        let current = data.entries.get(&write.key).map_or(id::Revision(0), |entry| entry.revision);
        if current != write.expected {
            return store::WriteOutcome::Conflict { current };
        }
        data.revision += 1;
        let revision = id::Revision(data.revision);
        data.leases.remove(&write.key);
        if let Some(lease_ms) = lease_ms {
            let expires_at = time::Instant::now() + time::Duration::from_millis(lease_ms);
            data.leases.insert(write.key.clone(), expires_at);
        }
        match write.value {
            Some(value) => {
                let entry = store::Entry { key: write.key.clone(), value, revision };
                data.entries.insert(write.key, entry);
            }
            None => {
                data.entries.remove(&write.key);
            }
        }
        self.changed.send_replace(data.revision);
        store::WriteOutcome::At(revision)
    }

    /// Returns whether the result of this write is to be lost, and counts it down.
    fn take_lost_response(&self) -> bool {
        let mut data = self.data.lock();
        let is_lost = data.control.lost_answers > 0;
        data.control.lost_answers = data.control.lost_answers.saturating_sub(1);
        is_lost
    }
}

/// Delays a call as configured; returns whether it has to fail.
async fn inject_faults(control: &Control) -> bool {
    if control.delay_ms > 0 {
        ntex_time::sleep(time::Duration::from_millis(control.delay_ms)).await;
    }
    control.is_out
}

fn unavailable() -> web::HttpResponse {
    web::HttpResponse::ServiceUnavailable().body("the store is out")
}

async fn get_list(
    platform: web::types::State<Platform>,
    query: web::types::Query<ListQuery>,
) -> web::HttpResponse {
    let control = platform.record_call();
    if inject_faults(&control).await {
        return unavailable();
    }
    web::HttpResponse::Ok().json(&platform.list(&query.prefix))
}

async fn put_value(
    platform: web::types::State<Platform>,
    body: web::types::Json<LeasedWrite>,
) -> web::HttpResponse {
    let control = platform.record_call();
    if inject_faults(&control).await {
        return unavailable();
    }
    let write = body.into_inner();
    let size = write.write.value.as_ref().map_or(0, |value| value.to_string().len());
    if size > VALUE_MAX_BYTES {
        return web::HttpResponse::PayloadTooLarge().body("a value has at most a megabyte");
    }
    let written = platform.write(write);
    if platform.take_lost_response() {
        // Longer than the 2 s timeout of the platform client, which receives no response.
        ntex_time::sleep(time::Duration::from_secs(3)).await;
        return web::HttpResponse::BadGateway().body("the answer was lost");
    }
    web::HttpResponse::Ok().json(&written)
}

async fn wait_for_change(
    platform: web::types::State<Platform>,
    query: web::types::Query<WatchQuery>,
) -> web::HttpResponse {
    let control = platform.record_call();
    if inject_faults(&control).await {
        return unavailable();
    }
    let mut revisions = platform.changed.subscribe();
    let wait = time::Duration::from_millis(query.wait_ms);
    let revision_change = revisions.wait_for(|revision| *revision > query.after);
    let _: Result<_, ()> = ntex_time::timeout(wait, revision_change).await.map(|_| ());
    if platform.data.lock().control.is_out {
        return unavailable();
    }
    let revision = id::Revision(platform.data.lock().revision);
    web::HttpResponse::Ok().json(&revision)
}

async fn get_vms(platform: web::types::State<Platform>) -> web::HttpResponse {
    let control = platform.record_call();
    if inject_faults(&control).await {
        return unavailable();
    }
    let vms = platform.data.lock().vms.clone();
    web::HttpResponse::Ok().json(&vms)
}

async fn set_vms(
    platform: web::types::State<Platform>,
    body: web::types::Json<Vec<entry_vm::EntryVm>>,
) -> web::HttpResponse {
    platform.set_vms(body.into_inner());
    web::HttpResponse::Ok().finish()
}

async fn set_faults(
    platform: web::types::State<Platform>,
    body: web::types::Json<Control>,
) -> web::HttpResponse {
    platform.data.lock().control = body.into_inner();
    web::HttpResponse::Ok().finish()
}

async fn get_calls(platform: web::types::State<Platform>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&platform.data.lock().calls)
}

/// Starts the HTTP server on `address`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn serve(
    address: net::SocketAddr,
    platform: Platform,
) -> std::io::Result<ntex::server::Server> {
    let server = web::HttpServer::new(async move || {
        web::App::new()
            .state(platform.clone())
            .state(web::types::JsonConfig::default().limit(2 * VALUE_MAX_BYTES))
            .service(web::resource("/v1/list").to(get_list))
            .service(web::resource("/v1/write").to(put_value))
            .service(web::resource("/v1/watch").to(wait_for_change))
            .service(web::resource("/v1/vms").to(get_vms))
            .service(web::resource("/control/vms").to(set_vms))
            .service(web::resource("/control/faults").to(set_faults))
            .service(web::resource("/control/calls").to(get_calls))
    });
    Ok(server.workers(1).stop_runtime().bind(address)?.run())
}
