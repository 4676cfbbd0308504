//! The admin endpoint of a process: health, readiness, metrics, events and status over HTTP.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use ntex::web;
use serde::Deserialize;
use waxwing_timeline::stamp;

use crate::metrics;
use crate::reporter;

/// Produces the JSON body of `/status`; called for each request.
pub type StatusText = sync::Arc<dyn Fn() -> String + Send + Sync>;

/// The state of a process that its admin endpoint serves.
#[derive(Clone)]
pub struct Admin {
    /// Whether `/readyz` reports the process as ready for work.
    pub is_ready: sync::Arc<atomic::AtomicBool>,
    /// The source of the events that `/events` returns.
    pub reporter: reporter::Reporter,
    /// The metrics that `/metrics` returns.
    pub metrics: metrics::Metrics,
    /// The body of `/status`, as JSON.
    pub status: StatusText,
}

/// The query of `/events`: only events after this stamp are returned, or all without one.
#[derive(Debug, Deserialize)]
struct EventsQuery {
    after: Option<stamp::Stamp>,
}

/// Starts the admin endpoint on `address` with one worker; it runs until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn start(address: net::SocketAddr, admin: Admin) -> io::Result<()> {
    let server = serve(address, admin)?;
    ntex::rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("admin endpoint failed: {error}");
        }
    });
    Ok(())
}

fn serve(address: net::SocketAddr, admin: Admin) -> io::Result<ntex::server::Server> {
    let server = web::HttpServer::new(async move || {
        web::App::new()
            .state(admin.clone())
            .service(web::resource("/healthz").to(healthy))
            .service(web::resource("/readyz").to(ready))
            .service(web::resource("/metrics").to(metrics_text))
            .service(web::resource("/events").to(events))
            .service(web::resource("/status").to(status))
    });
    Ok(server.workers(1).disable_signals().bind(address)?.run())
}

async fn healthy() -> &'static str {
    "ok\n"
}

async fn ready(admin: web::types::State<Admin>) -> web::HttpResponse {
    match admin.is_ready.load(atomic::Ordering::Acquire) {
        true => web::HttpResponse::Ok().body("ready\n"),
        false => web::HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn metrics_text(admin: web::types::State<Admin>) -> web::HttpResponse {
    match admin.metrics.text() {
        Ok(text) => web::HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(error) => web::HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn events(
    admin: web::types::State<Admin>,
    query: web::types::Query<EventsQuery>,
) -> web::HttpResponse {
    let events = admin.reporter.since(query.after.unwrap_or_default());
    web::HttpResponse::Ok().json(&events)
}

async fn status(admin: web::types::State<Admin>) -> web::HttpResponse {
    web::HttpResponse::Ok().content_type("application/json").body((admin.status)())
}
