//! A backend server.
//!
//! It remembers each request that it ran, so that tests can count executions, and it can be told
//! to be slow, to shed, to break connections, or to report nonsense.

use std::collections;
use std::net;
use std::sync;
use std::time;

use futures_util::StreamExt;
use ntex::time as ntex_time;
use ntex::util as ntex_util;
use ntex::web;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// The header with which a server says that it did not run a request.
pub const NOT_RUN_HEADER: &str = "waxwing-not-run";

/// The header with the name of a request.
pub const REQUEST_HEADER: &str = "waxwing-request";

/// How the stand-in treats a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It runs the request and answers.
    #[default]
    Answer,
    /// It says that it did not run the request.
    Shed,
    /// It refuses without saying whether it ran the request.
    Fail,
    /// It runs the request and breaks the connection in the middle of the answer.
    BreakAnswer,
    /// It runs the request and breaks the connection before any answer.
    Drop,
    /// It does so once, and then says that it did not run the request.
    DropThenShed,
}

/// How the stand-in behaves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// How it treats requests.
    pub mode: Mode,
    /// How long a request takes, in milliseconds.
    pub work_ms: u64,
    /// How many requests from now on take `cold_work_ms` besides, as a cold cache makes them.
    pub cold_requests: u64,
    /// How much longer a request takes while the server is cold, in milliseconds.
    pub cold_work_ms: u64,
    /// Whether it says that it takes no new work.
    pub is_draining: bool,
    /// The slots in use that it reports, if not the true ones.
    pub reported_slots_in_use: Option<u32>,
}

/// A request that was run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's name.
    pub request: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// Bytes of the body.
    pub body_bytes: u64,
    /// Names and values of all headers.
    pub headers: Vec<(String, String)>,
}

#[derive(Debug, Default)]
struct Data {
    control: Control,
    runs: Vec<Run>,
    broken_uploads: u64,
    in_flight: u32,
    most_in_flight: u32,
    over_slots: u64,
}

/// The state of the stand-in.
#[derive(Debug, Clone)]
pub struct Backend {
    name: String,
    slots: u32,
    data: sync::Arc<Mutex<Data>>,
}

/// Counts a request that is under way.
struct InFlight<'a>(&'a Backend);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.data.lock().in_flight -= 1;
    }
}

impl Backend {
    /// Creates a server with `slots` slots that has run nothing.
    pub fn new(name: String, slots: u32) -> Self {
        Self { name, slots, data: sync::Arc::default() }
    }

    fn has_run(&self, path: &str) -> bool {
        self.data.lock().runs.iter().any(|run| run.path == path)
    }

    /// Takes a slot, if one is free.
    fn begin(&self) -> Option<(InFlight<'_>, Control)> {
        let mut data = self.data.lock();
        if data.in_flight >= self.slots {
            data.over_slots += 1;
            return None;
        }
        if data.control.mode == Mode::Shed {
            return None;
        }
        data.in_flight += 1;
        data.most_in_flight = data.most_in_flight.max(data.in_flight);
        let mut control = data.control.clone();
        if data.control.cold_requests > 0 {
            data.control.cold_requests -= 1;
            control.work_ms += control.cold_work_ms;
        }
        Some((InFlight(self), control))
    }
}

fn shed() -> web::HttpResponse {
    web::HttpResponse::ServiceUnavailable().header(NOT_RUN_HEADER, "true").body("no free slot\n")
}

async fn run(
    request: web::HttpRequest,
    mut payload: web::types::Payload,
    backend: web::types::State<Backend>,
) -> web::HttpResponse {
    let Some((_in_flight, control)) = backend.begin() else {
        return shed();
    };
    if control.mode == Mode::Fail {
        return web::HttpResponse::InternalServerError().body("failed\n");
    }
    if control.mode == Mode::DropThenShed && backend.has_run(request.path()) {
        return shed();
    }
    let mut body_bytes = 0;
    while let Some(chunk) = payload.next().await {
        match chunk {
            Ok(chunk) => body_bytes += chunk.len() as u64,
            Err(_) => {
                backend.data.lock().broken_uploads += 1;
                return web::HttpResponse::BadRequest().body("the upload broke off\n");
            }
        }
    }
    if control.work_ms > 0 {
        ntex_time::sleep(time::Duration::from_millis(control.work_ms)).await;
    }
    let run = describe(&request, body_bytes);
    let text =
        format!("{} ran {} {} with {body_bytes} bytes\n", backend.name, run.method, run.path);
    backend.data.lock().runs.push(run);
    match control.mode {
        Mode::BreakAnswer => break_answer(),
        Mode::Drop | Mode::DropThenShed => {
            if let Some(io) = request.io() {
                io.close();
            }
            web::HttpResponse::Ok().finish()
        }
        _ => web::HttpResponse::Ok().body(text),
    }
}

fn describe(request: &web::HttpRequest, body_bytes: u64) -> Run {
    let header = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
    };
    let headers = request.headers().iter().map(|(name, value)| {
        (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    });
    Run {
        request: header(REQUEST_HEADER),
        method: request.method().to_string(),
        path: request.path().to_owned(),
        body_bytes,
        headers: headers.collect(),
    }
}

fn break_answer() -> web::HttpResponse {
    let half = Ok(ntex_util::Bytes::from_static(b"half an ans"));
    let broken = Err(std::io::Error::other("told to break"));
    web::HttpResponse::Ok().streaming(futures_util::stream::iter([half, broken]))
}

async fn runs(backend: web::types::State<Backend>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&backend.data.lock().runs)
}

async fn counts(backend: web::types::State<Backend>) -> web::HttpResponse {
    let data = backend.data.lock();
    let counts = collections::BTreeMap::from([
        ("runs", data.runs.len() as u64),
        ("broken_uploads", data.broken_uploads),
        ("in_flight", u64::from(data.in_flight)),
        ("most_in_flight", u64::from(data.most_in_flight)),
        ("over_slots", data.over_slots),
    ]);
    web::HttpResponse::Ok().json(&counts)
}

async fn control(
    backend: web::types::State<Backend>,
    body: web::types::Json<Control>,
) -> web::HttpResponse {
    backend.data.lock().control = body.into_inner();
    web::HttpResponse::Ok().finish()
}

async fn health(backend: web::types::State<Backend>) -> web::HttpResponse {
    let data = backend.data.lock();
    let report = waxwing_machine::backend_server::Report {
        is_ready: !data.control.is_draining,
        slots_in_use: data.control.reported_slots_in_use.unwrap_or(data.in_flight),
    };
    web::HttpResponse::Ok().json(&report)
}

/// Begins to answer on `address`.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub fn serve(address: net::SocketAddr, backend: Backend) -> std::io::Result<ntex::server::Server> {
    let server = web::HttpServer::new(async move || {
        web::App::new()
            .state(backend.clone())
            .service(web::resource("/stand-in/runs").to(runs))
            .service(web::resource("/stand-in/counts").to(counts))
            .service(web::resource("/stand-in/control").to(control))
            .service(web::resource("/load").to(health))
            .default_service(web::route().to(run))
    });
    Ok(server.workers(1).stop_runtime().bind(address)?.run())
}
