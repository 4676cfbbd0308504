//! Starts the parts of an entry VM and ends them.

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
use waxwing_timeline::event;

use crate::caller_connection;
use crate::counters;
use crate::directory;
use crate::forward;
use crate::http_adapter;
use crate::peers;
use crate::reconcile;
use crate::registration;
use crate::settings;
use crate::store_poll;
use crate::store_replica;
use crate::vm;

/// How often the process looks whether all requests have ended.
const FINISH_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// How long before it is killed the process ends by itself: this part of the time to end, one in
/// so many.
const END_MARGIN_PART: u32 = 8;

/// How long withdrawing the registration may take.
const LEAVE_MAX: time::Duration = time::Duration::from_millis(300);

/// The part of the time to end in which the process still takes requests: one in this many.
const LEAVING_PART: u32 = 2;

/// Runs an entry VM until it is told to end; `reload` reads its settings again.
///
/// # Errors
///
/// Returns an error where an address can't be bound or a thread can't be started.
pub async fn run<R: registry::Registry + 'static>(
    settings: settings::Checked,
    front: Box<dyn http_adapter::HttpAdapter>,
    registry: R,
    reload: impl Fn() -> Option<settings::Checked>,
) -> eyre::Result<()> {
    let peer_address = settings.peer_address;
    let socket = net::UdpSocket::bind(peer_address)
        .wrap_err_with(|| format!("peer_address {peer_address} can't be bound"))?;
    let metrics = metrics::Metrics::new()?;
    let counters = counters::Counters::new(&metrics);
    let vm = sync::Arc::new(vm::Vm::new(settings, front, counters, socket));
    counters::observe(&vm, &metrics);
    log::info!("machine {} has started", vm.about.vm);
    start("peers", &vm, peers::receive_all)?;
    start("heartbeats", &vm, peers::beat_all)?;
    let registry = sync::Arc::new(registry);
    let listener = store_replica::listen(peer_address)
        .await
        .wrap_err_with(|| format!("peer_address {peer_address} can't be bound for questions"))?;
    ntex::rt::spawn(store_replica::answer_all(vm.clone(), listener));
    follow_store(&vm, &registry);
    serve_admin(&vm, metrics)?;
    serve_directory(&vm)?;
    serve_callers(&vm)?;
    obey(&vm, reload).await?;
    end(&vm, registry.as_ref()).await;
    Ok(())
}

/// Reads the settings again as often as the process is told to, until it is told to end.
async fn obey(vm: &vm::Shared, reload: impl Fn() -> Option<settings::Checked>) -> eyre::Result<()> {
    let mut orders = signal::actions()?;
    while let Some(signal::Action::Reload) = orders.recv().await {
        if let Some(settings) = reload() {
            vm.set_settings(settings);
        }
    }
    Ok(())
}

fn start(
    name: &str,
    vm: &vm::Shared,
    run: impl FnOnce(&vm::Vm) + Send + 'static,
) -> eyre::Result<()> {
    let vm = vm.clone();
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(move || run(&vm)).wrap_err("a thread can't be started")?;
    Ok(())
}

fn follow_store<R: registry::Registry + 'static>(vm: &vm::Shared, registry: &sync::Arc<R>) {
    let servers = reconcile::Servers::default();
    ntex::rt::spawn(store_poll::configuration(vm.clone(), registry.clone()));
    ntex::rt::spawn(store_poll::servers(vm.clone(), registry.clone(), servers.clone()));
    ntex::rt::spawn(registration::registration(vm.clone(), registry.clone()));
    ntex::rt::spawn(store_poll::members(vm.clone(), registry.clone()));
    ntex::rt::spawn(registration::admission(vm.clone(), registry.clone()));
    ntex::rt::spawn(store_replica::follow(vm.clone(), servers.clone()));
    ntex::rt::spawn(reconcile::tick(vm.clone(), servers));
}

/// Begins to answer operators, where the settings say so.
fn serve_admin(vm: &vm::Shared, metrics: metrics::Metrics) -> eyre::Result<()> {
    let Some(address) = vm.settings().settings.admin_address else {
        return Ok(());
    };
    let shown = vm.clone();
    let status = sync::Arc::new(move || shown.status_text());
    let reporter = reporter::Reporter::new(vm.about.vm.clone(), event::Role::Entry);
    let is_ready = vm.shown_ready.clone();
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
            let (vm, kept) = (shared.clone(), forward::Kept::default());
            service::fn_service(async move |io: io::Io| {
                caller_connection::serve(io.boxed(), vm.clone(), kept.clone()).await;
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
            log::error!("the {name} endpoint ended: {error}");
        }
    });
}

/// Tells everybody, goes on for as long as callers may still come, and finishes what there is.
async fn end<R: registry::Registry>(vm: &vm::Shared, registry: &R) {
    let began_at = clock::now();
    let end_max = vm.settings().settings.end_max.duration();
    vm.set_stage(vm::Stage::Leaving);
    peers::beat(vm);
    timer::sleep((end_max / LEAVING_PART).saturating_sub(clock::now().since(began_at))).await;
    vm.set_stage(vm::Stage::Closed);
    vm.membership.lock().set_registration(None);
    let leaving = timer::timeout(LEAVE_MAX, registry.deregister());
    if let Ok(Err(error)) = leaving.await {
        log::info!("the registration could not be withdrawn: {error}");
    }
    let last_at = began_at.after(end_max - end_max / END_MARGIN_PART);
    while vm.under_way.load(atomic::Ordering::Acquire) > 0 && clock::now() < last_at {
        timer::sleep(FINISH_INTERVAL).await;
    }
    // The last bytes of the last answer leave before the process does.
    timer::sleep(FINISH_INTERVAL).await;
    log::info!("machine {} ends", vm.about.vm);
}
