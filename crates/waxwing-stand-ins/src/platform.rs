//! The key-value store and the list of entry VMs.

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

/// Largest value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// How the stand-in misbehaves, and what it has counted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Whether every call fails.
    pub is_out: bool,
    /// How long each call takes besides, in milliseconds.
    pub delay_ms: u64,
    /// How many writes from now on take effect without an answer.
    pub lost_answers: u64,
}

/// A write whose value may go by itself.
#[derive(Debug, Deserialize)]
struct LeasedWrite {
    #[serde(flatten)]
    write: store::Write,
    /// How long the value stays unless it is written again, in milliseconds.
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

/// The state of the stand-in.
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
    /// Replaces the list of entry VMs.
    pub fn set_vms(&self, vms: Vec<entry_vm::EntryVm>) {
        self.data.lock().vms = vms;
    }

    /// Counts a call and tells how it is to misbehave.
    fn begin(&self) -> Control {
        let mut data = self.data.lock();
        data.calls += 1;
        data.control.clone()
    }

    /// Removes values whose leases have lapsed.
    fn lapse(&self) {
        let mut data = self.data.lock();
        let now = time::Instant::now();
        let lapsed: Vec<String> = data
            .leases
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in lapsed {
            data.leases.remove(&key);
            if data.entries.remove(&key).is_some() {
                data.revision += 1;
            }
        }
        self.changed.send_replace(data.revision);
    }

    fn list(&self, prefix: &str) -> store::Listing {
        self.lapse();
        let data = self.data.lock();
        let entries = data.entries.range(prefix.to_owned()..);
        let entries = entries.take_while(|(key, _)| key.starts_with(prefix));
        store::Listing {
            revision: id::Revision(data.revision),
            entries: entries.map(|(_, entry)| entry.clone()).collect(),
        }
    }

    fn write(&self, LeasedWrite { write, lease_ms }: LeasedWrite) -> store::WriteOutcome {
        self.lapse();
        let mut data = self.data.lock();
        let current = data.entries.get(&write.key).map_or(id::Revision(0), |e| e.revision);
        if current != write.expected {
            return store::WriteOutcome::Conflict { current };
        }
        data.revision += 1;
        let revision = id::Revision(data.revision);
        data.leases.remove(&write.key);
        if let Some(lease_ms) = lease_ms {
            let until = time::Instant::now() + time::Duration::from_millis(lease_ms);
            data.leases.insert(write.key.clone(), until);
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

    fn takes_answer(&self) -> bool {
        let mut data = self.data.lock();
        let is_lost = data.control.lost_answers > 0;
        data.control.lost_answers = data.control.lost_answers.saturating_sub(1);
        is_lost
    }
}

/// Delays a call as told; tells whether the store is out.
async fn misbehave(control: &Control) -> bool {
    if control.delay_ms > 0 {
        ntex_time::sleep(time::Duration::from_millis(control.delay_ms)).await;
    }
    control.is_out
}

fn out() -> web::HttpResponse {
    web::HttpResponse::ServiceUnavailable().body("the store is out")
}

async fn list(
    platform: web::types::State<Platform>,
    query: web::types::Query<ListQuery>,
) -> web::HttpResponse {
    let control = platform.begin();
    if misbehave(&control).await {
        return out();
    }
    web::HttpResponse::Ok().json(&platform.list(&query.prefix))
}

async fn write(
    platform: web::types::State<Platform>,
    body: web::types::Json<LeasedWrite>,
) -> web::HttpResponse {
    let control = platform.begin();
    if misbehave(&control).await {
        return out();
    }
    let write = body.into_inner();
    let size = write.write.value.as_ref().map_or(0, |value| value.to_string().len());
    if size > VALUE_MAX_BYTES {
        return web::HttpResponse::PayloadTooLarge().body("a value has at most a megabyte");
    }
    let written = platform.write(write);
    if platform.takes_answer() {
        ntex_time::sleep(time::Duration::from_secs(3)).await;
        return web::HttpResponse::BadGateway().body("the answer was lost");
    }
    web::HttpResponse::Ok().json(&written)
}

async fn watch(
    platform: web::types::State<Platform>,
    query: web::types::Query<WatchQuery>,
) -> web::HttpResponse {
    let control = platform.begin();
    if misbehave(&control).await {
        return out();
    }
    let mut changed = platform.changed.subscribe();
    let wait = time::Duration::from_millis(query.wait_ms);
    let newer = changed.wait_for(|revision| *revision > query.after);
    let _: Result<_, ()> = ntex_time::timeout(wait, newer).await.map(|_| ());
    if platform.data.lock().control.is_out {
        return out();
    }
    let revision = id::Revision(platform.data.lock().revision);
    web::HttpResponse::Ok().json(&revision)
}

async fn vms(platform: web::types::State<Platform>) -> web::HttpResponse {
    let control = platform.begin();
    if misbehave(&control).await {
        return out();
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

async fn set_control(
    platform: web::types::State<Platform>,
    body: web::types::Json<Control>,
) -> web::HttpResponse {
    platform.data.lock().control = body.into_inner();
    web::HttpResponse::Ok().finish()
}

async fn calls(platform: web::types::State<Platform>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&platform.data.lock().calls)
}

/// Begins to answer on `address`.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub fn serve(
    address: net::SocketAddr,
    platform: Platform,
) -> std::io::Result<ntex::server::Server> {
    let server = web::HttpServer::new(async move || {
        web::App::new()
            .state(platform.clone())
            .state(web::types::JsonConfig::default().limit(2 * VALUE_MAX_BYTES))
            .service(web::resource("/v1/list").to(list))
            .service(web::resource("/v1/write").to(write))
            .service(web::resource("/v1/watch").to(watch))
            .service(web::resource("/v1/vms").to(vms))
            .service(web::resource("/control/vms").to(set_vms))
            .service(web::resource("/control/faults").to(set_control))
            .service(web::resource("/control/calls").to(calls))
    });
    Ok(server.workers(1).stop_runtime().bind(address)?.run())
}
