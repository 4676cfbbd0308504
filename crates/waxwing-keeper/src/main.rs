//! The `waxwing-keeper` process: starts the threads of the keeper and shuts the machine down.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use eyre::OptionExt;
use eyre::WrapErr;
use waxwing_keeper::connections;
use waxwing_keeper::heartbeats;
use waxwing_keeper::keeper;
use waxwing_keeper::peers;
use waxwing_keeper::platform;
use waxwing_keeper::record_replication;
use waxwing_keeper::settings;
use waxwing_keeper::timer;
use waxwing_machine::entry_vm;
use waxwing_platform::http;
use waxwing_process::admin;
use waxwing_process::arguments;
use waxwing_process::clock;
use waxwing_process::metrics;
use waxwing_process::signal;
use waxwing_process::timer as process_timer;
use waxwing_timeline::event;
use waxwing_units::id;

/// The number of threads that receive datagrams.
const PEER_THREADS: usize = 2;

/// How long the keeper waits for the other processes of this machine to disconnect at shutdown.
const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(120);

/// The interval between checks whether they have disconnected.
const SHUTDOWN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

fn main() {
    let settings: settings::Settings = arguments::settings_or_exit();
    let result = settings.checked().ok_or_eyre("a required setting is missing").and_then(run);
    arguments::exit_on_error("waxwing-keeper", result);
}

#[ntex::main]
async fn run(settings: settings::Checked) -> eyre::Result<()> {
    let peer_address = settings.entry_vm.peer_address;
    let socket = net::UdpSocket::bind(peer_address)
        .wrap_err_with(|| format!("peer_address {peer_address} can't be bound"))?;
    let incarnation = id::Incarnation(clock::wall_ms());
    let (keeper, revision_queue) =
        keeper::Keeper::new(settings.entry_vm.clone(), incarnation, socket);
    let keeper = sync::Arc::new(keeper);
    keeper.reporter.report(event::Kind::Started);
    start_threads(&keeper, &settings, revision_queue)?;
    let is_ready = sync::Arc::new(atomic::AtomicBool::new(true));
    serve_admin(&keeper, &settings, is_ready.clone())?;
    spawn_platform_tasks(&keeper, &settings);
    signal::on_shutdown()?.await?;
    is_ready.store(false, atomic::Ordering::Release);
    shut_down(&keeper, &settings).await;
    Ok(())
}

fn start_threads(
    keeper: &keeper::Shared,
    settings: &settings::Checked,
    revision_queue: record_replication::RevisionQueue,
) -> eyre::Result<()> {
    let local_listener = net::TcpListener::bind(settings.local_address)
        .wrap_err_with(|| format!("local_address {} can't be bound", settings.local_address))?;
    let replication_listener = net::TcpListener::bind(settings.entry_vm.peer_address)
        .wrap_err("peer_address can't be bound for TCP")?;
    for _ in 0..PEER_THREADS {
        start("peers", keeper, |keeper| peers::run(keeper))?;
    }
    start("timer", keeper, |keeper| timer::run(keeper))?;
    start("heartbeats", keeper, |keeper| heartbeats::run(keeper))?;
    start("local", keeper, move |keeper| connections::run(keeper, &local_listener))?;
    start("copies", keeper, move |keeper| {
        record_replication::serve(keeper, &replication_listener)
    })?;
    start("fetch", keeper, move |keeper| record_replication::fetch_newer(keeper, &revision_queue))?;
    let first_peers = settings.first_peers.clone();
    start("first-fetch", keeper, move |keeper| {
        record_replication::fetch_initial(keeper, &first_peers)
    })
}

fn start(
    name: &str,
    keeper: &keeper::Shared,
    run: impl FnOnce(&keeper::Shared) + Send + 'static,
) -> eyre::Result<()> {
    let keeper = keeper.clone();
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(move || run(&keeper)).wrap_err("a thread can't be started")?;
    Ok(())
}

fn serve_admin(
    keeper: &keeper::Shared,
    settings: &settings::Checked,
    is_ready: sync::Arc<atomic::AtomicBool>,
) -> eyre::Result<()> {
    let metrics = metrics::Metrics::new()?;
    register_metrics(keeper, &metrics);
    let status_keeper = keeper.clone();
    let status = sync::Arc::new(move || status_keeper.status_json());
    let reporter = keeper.reporter.clone();
    let admin = admin::Admin { is_ready, reporter, metrics, status };
    admin::start(settings.admin_address, admin)
        .wrap_err_with(|| format!("admin_address {} can't be bound", settings.admin_address))
}

fn register_metrics(keeper: &keeper::Shared, metrics: &metrics::Metrics) {
    let meter = metrics.meter();
    let observed = keeper.clone();
    meter
        .u64_observable_gauge("waxwing_records_revision")
        .with_description("Revision of the current records")
        .with_callback(move |observer| observer.observe(observed.records.current().revision.0, &[]))
        .build();
    let observed = keeper.clone();
    meter
        .u64_observable_counter("waxwing_malformed_messages")
        .with_description("Datagrams and frames that could not be decoded")
        .with_callback(move |observer| {
            observer.observe(observed.malformed.load(atomic::Ordering::Relaxed), &[]);
        })
        .build();
    let observed = keeper.clone();
    meter
        .u64_observable_gauge("waxwing_reachable_vms")
        .with_description("Reachable entry VMs, without this one")
        .with_callback(move |observer| {
            let reachable = observed.fleet.lock().reachable(clock::now()).len();
            observer.observe(reachable as u64, &[]);
        })
        .build();
}

fn spawn_platform_tasks(keeper: &keeper::Shared, settings: &settings::Checked) {
    let (watch_keeper, address) = (keeper.clone(), settings.platform_address);
    ntex::rt::spawn(async move {
        let platform = http::Platform::new(address).await;
        platform::watch(&watch_keeper, &platform).await;
    });
    let list_keeper = keeper.clone();
    ntex::rt::spawn(async move {
        let platform = http::Platform::new(address).await;
        platform::poll_vm_list(&list_keeper, &platform).await;
    });
}

/// Shuts the machine down: announces that it is leaving, releases its seats, and waits until the
/// other processes have finished their requests and disconnected, for [`SHUTDOWN_TIMEOUT`] at most.
async fn shut_down(keeper: &keeper::Shared, settings: &settings::Checked) {
    keeper.reporter.report(event::Kind::Stopping);
    keeper.entry_vm.lock().phase = entry_vm::Phase::Leaving;
    keeper.publish_fleet();
    heartbeats::send_round(keeper);
    keeper.connections.broadcast_leave();
    let platform = http::Platform::new(settings.platform_address).await;
    platform::release_seats(keeper, &platform).await;
    let started_at = clock::now();
    while keeper.connections.count() > 0 && clock::now().since(started_at) < SHUTDOWN_TIMEOUT {
        process_timer::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}
