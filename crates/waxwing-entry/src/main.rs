//! Starts the endpoints and background tasks of the entry process, and shuts them down.

use std::sync;
use std::sync::atomic;
use std::time;

use eyre::OptionExt;
use eyre::WrapErr;
use ntex::http;
use ntex::time as ntex_time;
use ntex::web;
use waxwing_entry::entry;
use waxwing_entry::failover;
use waxwing_entry::forward;
use waxwing_entry::probe;
use waxwing_entry::service_pools;
use waxwing_entry::settings;
use waxwing_keeper_client::client;
use waxwing_process::admin;
use waxwing_process::arguments;
use waxwing_process::clock;
use waxwing_process::metrics;
use waxwing_process::reporter;
use waxwing_process::shutdown as process_shutdown;
use waxwing_process::signal;
use waxwing_process::timer;
use waxwing_request::shutdown;
use waxwing_timeline::event;

/// How often a shutdown checks whether all requests have ended.
const IN_FLIGHT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The most headers of a request: as many as fit into the largest head that the HTTP library reads.
const HEADERS_MAX: usize = 16 * 1024;

/// How long sending the responses may take that are due when requests in progress have to end.
const LAST_RESPONSES_MAX: time::Duration = time::Duration::from_millis(200);

/// Milliseconds per second.
const MS_PER_S: u64 = 1_000;

fn main() {
    let settings: settings::Settings = arguments::settings_or_exit();
    arguments::exit_on_error("waxwing-entry", run(settings));
}

#[ntex::main]
async fn run(settings: settings::Settings) -> eyre::Result<()> {
    let metrics = metrics::Metrics::new()?;
    let entry = create_entry(&settings, &metrics)?;
    entry.reporter.report(event::Kind::Started);
    ntex::rt::spawn(probe::run(entry.clone()));
    ntex::rt::spawn(probe::assign_free_slots(entry.clone()));
    let is_ready = sync::Arc::new(atomic::AtomicBool::new(true));
    serve_admin(&entry, metrics, is_ready.clone())?;
    let peer_server = serve_entry_vms(&entry)?;
    let server = serve_callers(&entry)?;
    signal::on_shutdown()?.await?;
    is_ready.store(false, atomic::Ordering::Release);
    shut_down(&entry, &server).await;
    peer_server.stop(true).await;
    Ok(())
}

/// Creates the shared state and connects it to the keeper.
fn create_entry(
    settings: &settings::Settings,
    metrics: &metrics::Metrics,
) -> eyre::Result<entry::Shared> {
    let vm = settings.vm.clone().ok_or_eyre("vm is missing")?;
    let failure_domain = settings.failure_domain.clone().ok_or_eyre("failure_domain is missing")?;
    let keeper_address = settings.keeper_address.ok_or_eyre("keeper_address is missing")?;
    let reporter = reporter::Reporter::new(vm.clone(), event::Role::Entry);
    let failover = failover::Failover::new(vm.clone(), failure_domain.clone());
    let pools = sync::Arc::new(service_pools::ServicePools::new(vm, failure_domain));
    let updated_pools = pools.clone();
    let on_change: client::OnChange = Box::new(move |view| updated_pools.update(view));
    let role = event::Role::Entry;
    let keeper = client::Client::start(keeper_address, role, reporter.clone(), on_change)?;
    Ok(sync::Arc::new(entry::Entry {
        settings: settings.clone(),
        keeper,
        pools,
        failover,
        reporter,
        shutdown: process_shutdown::Shutdown::default(),
        in_flight: sync::Arc::default(),
        counters: entry::Counters::new(metrics),
    }))
}

fn serve_admin(
    entry: &entry::Shared,
    metrics: metrics::Metrics,
    is_ready: sync::Arc<atomic::AtomicBool>,
) -> eyre::Result<()> {
    let address = entry.settings.admin_address.ok_or_eyre("admin_address is missing")?;
    let status_entry = entry.clone();
    let status = sync::Arc::new(move || {
        let (in_flight, free_slots) = status_entry.pools.load();
        serde_json::json!({ "in_flight": in_flight, "free_slots": free_slots }).to_string()
    });
    let reporter = entry.reporter.clone();
    let admin = admin::Admin { is_ready, reporter, metrics, status };
    admin::start(address, admin).wrap_err_with(|| format!("admin_address {address} can't be bound"))
}

/// Starts the endpoint for callers.
fn serve_callers(entry: &entry::Shared) -> eyre::Result<ntex::server::Server> {
    let address = entry.settings.listen_address.ok_or_eyre("listen_address is missing")?;
    let shared = entry.clone();
    let finish_s = entry.settings.finish_max.0.div_ceil(MS_PER_S);
    let finish_s = u16::try_from(finish_s).unwrap_or(u16::MAX);
    let server = web::HttpServer::new(async move || {
        web::App::new().state(shared.clone()).default_service(web::route().to(forward::forward))
    });
    let http = http::HttpServiceConfig::new()
        .set_client_timeout(ntex_time::Seconds(10))
        .set_max_headers(HEADERS_MAX);
    let server = server
        .workers(entry.settings.workers)
        .disable_signals()
        .shutdown_timeout(ntex_time::Seconds(finish_s))
        .config(ntex::SharedCfg::new("entry").add(http))
        .bind(address)
        .wrap_err_with(|| format!("listen_address {address} can't be bound"))?;
    Ok(server.run())
}

/// Starts the endpoint for requests that other entry VMs forward.
fn serve_entry_vms(entry: &entry::Shared) -> eyre::Result<ntex::server::Server> {
    let address = entry.settings.forward_address.ok_or_eyre("forward_address is missing")?;
    let shared = entry.clone();
    let server = web::HttpServer::new(async move || {
        web::App::new()
            .state(shared.clone())
            .default_service(web::route().to(forward::forward_from_peer))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .bind(address)
        .wrap_err_with(|| format!("forward_address {address} can't be bound"))?;
    Ok(server.run())
}

/// Accepts requests for as long as callers may hold directory responses that name this machine,
/// then waits for the requests in progress.
async fn shut_down(entry: &entry::Shared, server: &ntex::server::Server) {
    entry.reporter.report(event::Kind::Stopping);
    let started_at = clock::now();
    let closes_at = started_at.after(entry.settings.linger.duration());
    let responses_due_at = closes_at.after(entry.settings.finish_max.duration());
    entry.shutdown.begin(shutdown::Schedule { started_at, closes_at, responses_due_at });
    timer::sleep(closes_at.since(clock::now())).await;
    let ends_at = responses_due_at.after(LAST_RESPONSES_MAX);
    while entry.in_flight.load(atomic::Ordering::Acquire) > 0 && clock::now() < ends_at {
        timer::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
    // Leaves time to send the last bytes of the last response.
    timer::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    server.stop(true).await;
}
