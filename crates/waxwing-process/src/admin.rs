//! Health, readiness, metrics and events over HTTP.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use ntex::web;
use serde::Deserialize;
use waxwing_timeline::stamp;

use crate::metrics;
use crate::reporter;

/// A text that a process shows to operators on its admin endpoint, made anew for each call.
pub type StatusText = sync::Arc<dyn Fn() -> String + Send + Sync>;

/// What the admin endpoint shows of its process.
#[derive(Clone)]
pub struct Admin {
    /// Whether the process is ready for work.
    pub is_ready: sync::Arc<atomic::AtomicBool>,
    /// The events of the process.
    pub reporter: reporter::Reporter,
    /// The metrics of the process.
    pub metrics: metrics::Metrics,
    /// The state of the process, as JSON.
    pub status: StatusText,
}

/// Which events a call wants.
#[derive(Debug, Deserialize)]
struct EventsQuery {
    after: Option<stamp::Stamp>,
}

/// Begins to answer on `address` with one worker, until the process ends.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub fn start(address: net::SocketAddr, admin: Admin) -> io::Result<()> {
    let server = serve(address, admin)?;
    ntex::rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the admin endpoint ended: {error}");
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
