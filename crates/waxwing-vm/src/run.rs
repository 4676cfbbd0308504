//! Starts the endpoints and background tasks of an entry VM, and shuts them down.

use std::convert;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use eyre::WrapErr;
use ntex::io;
use ntex::service;
use ntex::web;
use waxwing_platform::registry;
use waxwing_process::admin;
use waxwing_process::clock;
use waxwing_process::metrics;
use waxwing_process::reporter;
use waxwing_process::signal;
use waxwing_process::timer;
use waxwing_request::shutdown;
use waxwing_timeline::event;

use crate::caller_connection;
use crate::configuration_poll;
use crate::counters;
use crate::directory;
use crate::forward;
use crate::http_adapter;
use crate::peers;
use crate::reconcile;
use crate::region_reader;
use crate::registration;
use crate::settings;
use crate::store_poll;
use crate::store_replica;
use crate::vm;

/// How often a shutdown checks whether all requests have ended.
const IN_FLIGHT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The part of the shutdown time limit, as a divisor, that is left unused so that the process ends
/// before it is killed.
const SHUTDOWN_MARGIN_DIVISOR: u32 = 8;

/// How long removing the registration may take.
const DEREGISTRATION_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// The part of the shutdown time limit, as a divisor, that is left when requests without a response
/// fail, so that their responses are sent before the process ends.
const RESPONSE_MARGIN_DIVISOR: u32 = 6;

/// The part of the shutdown time limit, as a divisor, in which requests are still accepted.
const DRAINING_DIVISOR: u32 = 2;

/// Runs an entry VM until a signal ends it; `reload` reads the settings again.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be started.
pub async fn run<R: registry::Registry + 'static>(
    settings: settings::Checked,
    adapter: Box<dyn http_adapter::HttpAdapter>,
    registry: R,
    reload: impl Fn() -> Option<settings::Checked>,
) -> eyre::Result<()> {
    let peer_address = settings.peer_address;
    let socket = net::UdpSocket::bind(peer_address)
        .wrap_err_with(|| format!("peer_address {peer_address} can't be bound"))?;
    let metrics = metrics::Metrics::new()?;
    let counters = counters::Counters::new(&metrics);
    let vm = sync::Arc::new(vm::Vm::new(settings, adapter, counters, socket));
    counters::register_gauges(&vm, &metrics);
    log::info!("machine {} has started", vm.info.vm);
    spawn_thread("peers", &vm, peers::run_receiver)?;
    spawn_thread("heartbeats", &vm, peers::run_heartbeats)?;
    let registry = sync::Arc::new(registry);
    let listener = store_replica::listen(peer_address)
        .await
        .wrap_err_with(|| format!("peer_address {peer_address} can't be bound for replication"))?;
    ntex::rt::spawn(store_replica::serve_peers(vm.clone(), listener));
    spawn_store_tasks(&vm, &registry);
    serve_admin(&vm, metrics)?;
    serve_directory(&vm)?;
    serve_callers(&vm)?;
    handle_signals(&vm, reload).await?;
    shut_down(&vm, registry.as_ref()).await;
    Ok(())
}

/// Reloads the settings on each reload signal; returns on a signal to end.
async fn handle_signals(
    vm: &vm::Shared,
    reload: impl Fn() -> Option<settings::Checked>,
) -> eyre::Result<()> {
    let mut signals = signal::actions()?;
    while let Some(signal::Action::Reload) = signals.recv().await {
        if let Some(settings) = reload() {
            vm.set_settings(settings);
        }
    }
    Ok(())
}

fn spawn_thread(
    name: &str,
    vm: &vm::Shared,
    run: impl FnOnce(&vm::Vm) + Send + 'static,
) -> eyre::Result<()> {
    let vm = vm.clone();
    let builder = thread::Builder::new().name(name.to_owned());
    builder
        .spawn(move || run(&vm))
        .wrap_err("a thread for datagrams between VMs can't be started")?;
    Ok(())
}

fn spawn_store_tasks<R: registry::Registry + 'static>(vm: &vm::Shared, registry: &sync::Arc<R>) {
    let server_set = reconcile::SharedServerSet::default();
    ntex::rt::spawn(configuration_poll::poll_configuration(vm.clone(), registry.clone()));
    ntex::rt::spawn(store_poll::poll_servers(vm.clone(), registry.clone(), server_set.clone()));
    ntex::rt::spawn(registration::keep_registered(vm.clone(), registry.clone()));
    ntex::rt::spawn(store_poll::poll_members(vm.clone(), registry.clone()));
    ntex::rt::spawn(registration::watch_admission(vm.clone(), registry.clone()));
    ntex::rt::spawn(region_reader::poll_reader(vm.clone(), server_set.clone()));
    ntex::rt::spawn(reconcile::run_periodically(vm.clone(), server_set));
}

/// Starts the admin endpoint, if it has an address.
fn serve_admin(vm: &vm::Shared, metrics: metrics::Metrics) -> eyre::Result<()> {
    let Some(address) = vm.settings().settings.admin_address else {
        return Ok(());
    };
    let status_vm = vm.clone();
    let status = sync::Arc::new(move || status_vm.status_json());
    let reporter = reporter::Reporter::new(vm.info.vm.clone(), event::Role::Entry);
    let is_ready = vm.published_ready.clone();
    admin::start(address, admin::Admin { is_ready, reporter, metrics, status })
        .wrap_err_with(|| format!("admin_address {address} can't be bound"))
}

fn serve_directory(vm: &vm::Shared) -> eyre::Result<()> {
    let shared = vm.clone();
    let server = web::HttpServer::new(async move || {
        web::App::new().state(shared.clone()).default_service(web::route().to(directory::answer))
    });
    let (directory, readiness) = (vm.settings().directory_address, vm.settings().readiness_address);
    let server = server
        .workers(1)
        .disable_signals()
        .bind(directory)
        .wrap_err_with(|| format!("directory_address {directory} can't be bound"))?
        .bind(readiness)
        .wrap_err_with(|| format!("readiness_address {readiness} can't be bound"))?
        .run();
    supervise("directory", server);
    Ok(())
}

fn serve_callers(vm: &vm::Shared) -> eyre::Result<()> {
    let shared = vm.clone();
    let address = vm.settings().entry_address;
    let server = ntex::server::build()
        .workers(vm.settings().settings.workers)
        .disable_signals()
        .bind("entry", address, async move |_| {
            let (vm, pool) = (shared.clone(), forward::LocalPool::default());
            service::fn_service(async move |io: io::Io| {
                let peer = io.query::<io::types::PeerAddr>().as_ref().map(|peer| peer.0.ip());
                let address = peer.unwrap_or(net::Ipv4Addr::UNSPECIFIED.into());
                if let Ok(memory) = vm.memory.connect(address) {
                    caller_connection::serve(io.boxed(), vm.clone(), pool.clone(), memory).await;
                }
                Ok::<_, convert::Infallible>(())
            })
        })
        .wrap_err_with(|| format!("entry_address {address} can't be bound"))?
        .run();
    supervise("entry", server);
    Ok(())
}

fn supervise(name: &'static str, server: ntex::server::Server) {
    ntex::rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the {name} endpoint failed: {error}");
        }
    });
}

/// Announces the shutdown, accepts requests while callers may still arrive, then waits for the
/// requests in progress.
async fn shut_down<R: registry::Registry>(vm: &vm::Shared, registry: &R) {
    let started_at = clock::now();
    let end_max = vm.settings().settings.end_max.duration();
    let schedule = shutdown::Schedule {
        started_at,
        closes_at: started_at.after(end_max / DRAINING_DIVISOR),
        responses_due_at: started_at.after(end_max - end_max / RESPONSE_MARGIN_DIVISOR),
    };
    vm.shutdown.begin(schedule);
    vm.set_stage(vm::Stage::Leaving);
    peers::send_heartbeats(vm);
    timer::sleep(schedule.closes_at.since(clock::now())).await;
    vm.set_stage(vm::Stage::Closed);
    vm.membership.lock().set_registration(None);
    let deregistration = timer::timeout(DEREGISTRATION_TIMEOUT, registry.deregister());
    if let Ok(Err(error)) = deregistration.await {
        log::info!("can't remove the registration: {error}");
    }
    let shutdown_deadline = started_at.after(end_max - end_max / SHUTDOWN_MARGIN_DIVISOR);
    while vm.in_flight.load(atomic::Ordering::Acquire) > 0 && clock::now() < shutdown_deadline {
        timer::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
    // The last bytes of the last response have to be sent before the process ends.
    timer::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    log::info!("machine {} has shut down", vm.info.vm);
}
