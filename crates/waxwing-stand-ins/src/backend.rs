//! A test double of a backend server.
//!
//! It records each request that it runs, so that tests can count executions. `/stand-in/control`
//! makes it slow, shed load, break connections or report a false load.

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

/// Response header with which a backend server states that it did not run the request.
pub const NOT_RUN_HEADER: &str = "waxwing-not-run";

/// Request header with the id of the request.
pub const REQUEST_HEADER: &str = "waxwing-request";

/// How the server handles a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Runs the request and responds with status 200.
    #[default]
    Answer,
    /// Sheds the request: responds that it was not run.
    Shed,
    /// Responds with status 500 and does not state whether the request was run; it was not.
    Fail,
    /// Runs the request and breaks the connection in the middle of the response.
    BreakAnswer,
    /// Runs the request and closes the connection before the response.
    Drop,
    /// Does what `Drop` does for the first request to a path and what `Shed` does for later ones.
    DropThenShed,
    /// Sheds the request and, after `work_ms`, repeats the refusal on the same connection.
    ShedTwice,
    /// Runs the first request to a path, sends the bytes of `raw_response` and closes the
    /// connection; does what `Answer` does for later ones.
    RawThenAnswer,
}

/// The behaviour of the server, as set through `/stand-in/control`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// How requests are handled.
    pub mode: Mode,
    /// Processing time of a request, in milliseconds.
    pub work_ms: u64,
    /// The bytes that the server sends in place of a response, with [`Mode::RawThenAnswer`].
    pub raw_response: String,
    /// How many of the next requests take `cold_work_ms` longer, as with a cold cache.
    pub cold_requests: u64,
    /// Additional processing time of these requests, in milliseconds.
    pub cold_work_ms: u64,
    /// Whether the server reports that it is not ready for new requests.
    pub is_draining: bool,
    /// The number of slots in use to report instead of the true one.
    pub reported_slots_in_use: Option<u32>,
}

/// A request that the server ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request id from [`REQUEST_HEADER`]; empty where the header is missing.
    pub request: String,
    /// The HTTP method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// Length of the body in bytes.
    pub body_bytes: u64,
    /// Names and values of all request headers.
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

/// The state of the server, shared by its handlers.
#[derive(Debug, Clone)]
pub struct Backend {
    name: String,
    slots: u32,
    data: sync::Arc<Mutex<Data>>,
}

/// A slot in use by a request; released on drop.
struct SlotGuard<'a>(&'a Backend);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.data.lock().in_flight -= 1;
    }
}

impl Backend {
    /// Creates a server that runs at most `slots` requests at the same time.
    pub fn new(name: String, slots: u32) -> Self {
        Self { name, slots, data: sync::Arc::default() }
    }

    fn has_run(&self, path: &str) -> bool {
        self.data.lock().runs.iter().any(|run| run.path == path)
    }

    /// Acquires a slot; returns `None`, to shed the request, where all are in use or the mode is
    /// [`Mode::Shed`].
    fn acquire_slot(&self) -> Option<(SlotGuard<'_>, Control)> {
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
        Some((SlotGuard(self), control))
    }
}

/// The bytes of a response without a body that declares that the request was not run.
const SHED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Busy\r\nwaxwing-not-run: true\r\ncontent-length: 0\r\n\r\n";

/// Sheds a request and repeats the refusal on its connection after `delay_ms`.
fn shed_twice(request: &web::HttpRequest, delay_ms: u64) -> web::HttpResponse {
    if let Some(io) = request.io().cloned() {
        let repeat = async move {
            ntex_time::sleep(time::Duration::from_millis(delay_ms)).await;
            // Fails only if the connection has been closed.
            drop(io.encode_slice(SHED_RESPONSE));
        };
        drop(ntex::rt::spawn(repeat));
    }
    web::HttpResponse::ServiceUnavailable().header(NOT_RUN_HEADER, "true").finish()
}

/// Sends `bytes` in place of a response and closes the connection.
fn send_raw(request: &web::HttpRequest, bytes: &str) -> web::HttpResponse {
    if let Some(io) = request.io() {
        // Fails only if the connection has been closed.
        drop(io.encode_slice(bytes.as_bytes()));
        io.close();
    }
    web::HttpResponse::Ok().finish()
}

fn shed_response() -> web::HttpResponse {
    web::HttpResponse::ServiceUnavailable().header(NOT_RUN_HEADER, "true").body("no free slot\n")
}

async fn run_request(
    request: web::HttpRequest,
    mut payload: web::types::Payload,
    backend: web::types::State<Backend>,
) -> web::HttpResponse {
    let Some((_slot, control)) = backend.acquire_slot() else {
        return shed_response();
    };
    if control.mode == Mode::Fail {
        return web::HttpResponse::InternalServerError().body("failed\n");
    }
    if control.mode == Mode::ShedTwice {
        return shed_twice(&request, control.work_ms);
    }
    let is_first = !backend.has_run(request.path());
    if control.mode == Mode::DropThenShed && !is_first {
        return shed_response();
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
    let run = record_of(&request, body_bytes);
    let text =
        format!("{} ran {} {} with {body_bytes} bytes\n", backend.name, run.method, run.path);
    backend.data.lock().runs.push(run);
    match control.mode {
        Mode::BreakAnswer => aborted_response(),
        Mode::Drop | Mode::DropThenShed => {
            if let Some(io) = request.io() {
                io.close();
            }
            web::HttpResponse::Ok().finish()
        }
        Mode::RawThenAnswer if is_first => send_raw(&request, &control.raw_response),
        _ => web::HttpResponse::Ok().body(text),
    }
}

fn record_of(request: &web::HttpRequest, body_bytes: u64) -> Run {
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

fn aborted_response() -> web::HttpResponse {
    let first_half = Ok(ntex_util::Bytes::from_static(b"half an ans"));
    let aborted = Err(std::io::Error::other("response aborted by the test double"));
    web::HttpResponse::Ok().streaming(futures_util::stream::iter([first_half, aborted]))
}

async fn get_runs(backend: web::types::State<Backend>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&backend.data.lock().runs)
}

async fn get_counts(backend: web::types::State<Backend>) -> web::HttpResponse {
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

async fn set_control(
    backend: web::types::State<Backend>,
    body: web::types::Json<Control>,
) -> web::HttpResponse {
    backend.data.lock().control = body.into_inner();
    web::HttpResponse::Ok().finish()
}

async fn get_load(backend: web::types::State<Backend>) -> web::HttpResponse {
    let data = backend.data.lock();
    let report = waxwing_machine::backend_server::Report {
        is_ready: !data.control.is_draining,
        slots_in_use: data.control.reported_slots_in_use.unwrap_or(data.in_flight),
    };
    web::HttpResponse::Ok().json(&report)
}

/// Starts the HTTP server on `address`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn serve(address: net::SocketAddr, backend: Backend) -> std::io::Result<ntex::server::Server> {
    let server = web::HttpServer::new(async move || {
        web::App::new()
            .state(backend.clone())
            .service(web::resource("/stand-in/runs").to(get_runs))
            .service(web::resource("/stand-in/counts").to(get_counts))
            .service(web::resource("/stand-in/control").to(set_control))
            .service(web::resource("/load").to(get_load))
            .default_service(web::route().to(run_request))
    });
    Ok(server.workers(1).stop_runtime().bind(address)?.run())
}
