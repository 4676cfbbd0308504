//! Runs the keeper.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use eyre::OptionExt;
use eyre::WrapErr;
use waxwing_keeper::connections;
use waxwing_keeper::copies;
use waxwing_keeper::heartbeats;
use waxwing_keeper::keeper;
use waxwing_keeper::peers;
use waxwing_keeper::platform;
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

/// Threads that receive datagrams.
const PEER_THREADS: usize = 2;

/// How long the other processes of this machine may take to leave.
const LEAVE_MAX: time::Duration = time::Duration::from_secs(120);

/// How often the keeper looks whether they have left.
const LEAVE_INTERVAL: time::Duration = time::Duration::from_millis(200);

fn main() {
    let settings: settings::Settings = arguments::settings_or_exit();
    let ended = settings.checked().ok_or_eyre("a setting is missing").and_then(run);
    arguments::exit_on_error("waxwing-keeper", ended);
}

#[ntex::main]
async fn run(settings: settings::Checked) -> eyre::Result<()> {
    let peer_address = settings.entry_vm.peer_address;
    let socket = net::UdpSocket::bind(peer_address)
        .wrap_err_with(|| format!("peer_address {peer_address} can't be bound"))?;
    let incarnation = id::Incarnation(clock::wall_ms());
    let (keeper, heard) = keeper::Keeper::new(settings.entry_vm.clone(), incarnation, socket);
    let keeper = sync::Arc::new(keeper);
    keeper.reporter.report(event::What::Started);
    start_threads(&keeper, &settings, heard)?;
    let is_ready = sync::Arc::new(atomic::AtomicBool::new(true));
    serve_admin(&keeper, &settings, is_ready.clone())?;
    follow_platform(&keeper, &settings);
    signal::on_shutdown()?.await?;
    is_ready.store(false, atomic::Ordering::Release);
    leave(&keeper, &settings).await;
    Ok(())
}

fn start_threads(
    keeper: &keeper::Shared,
    settings: &settings::Checked,
    heard: copies::Heard,
) -> eyre::Result<()> {
    let local = net::TcpListener::bind(settings.local_address)
        .wrap_err_with(|| format!("local_address {} can't be bound", settings.local_address))?;
    let copy = net::TcpListener::bind(settings.entry_vm.peer_address)
        .wrap_err("peer_address can't be bound for TCP")?;
    for _ in 0..PEER_THREADS {
        start("peers", keeper, |keeper| peers::run(keeper))?;
    }
    start("timer", keeper, |keeper| timer::run(keeper))?;
    start("heartbeats", keeper, |keeper| heartbeats::run(keeper))?;
    start("local", keeper, move |keeper| report_end(connections::run(keeper, &local)))?;
    start("copies", keeper, move |keeper| report_end(copies::serve(keeper, &copy)))?;
    start("fetch", keeper, move |keeper| copies::run(keeper, &heard))?;
    let first_peers = settings.first_peers.clone();
    start("first-fetch", keeper, move |keeper| copies::fetch_first(keeper, &first_peers))
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

fn report_end(ended: std::io::Result<()>) {
    if let Err(error) = ended {
        log::error!("a listener ended: {error}");
    }
}

fn serve_admin(
    keeper: &keeper::Shared,
    settings: &settings::Checked,
    is_ready: sync::Arc<atomic::AtomicBool>,
) -> eyre::Result<()> {
    let metrics = metrics::Metrics::new()?;
    observe(keeper, &metrics);
    let shown = keeper.clone();
    let status = sync::Arc::new(move || shown.status_text());
    let reporter = keeper.reporter.clone();
    let admin = admin::Admin { is_ready, reporter, metrics, status };
    admin::start(settings.admin_address, admin)
        .wrap_err_with(|| format!("admin_address {} can't be bound", settings.admin_address))
}

fn observe(keeper: &keeper::Shared, metrics: &metrics::Metrics) {
    let meter = metrics.meter();
    let of = keeper.clone();
    meter
        .u64_observable_gauge("waxwing_records_revision")
        .with_description("Revision of the records in force")
        .with_callback(move |observer| observer.observe(of.records.get().revision.0, &[]))
        .build();
    let of = keeper.clone();
    meter
        .u64_observable_counter("waxwing_malformed_messages")
        .with_description("Datagrams and frames that could not be read")
        .with_callback(move |observer| {
            observer.observe(of.malformed.load(atomic::Ordering::Relaxed), &[]);
        })
        .build();
    let of = keeper.clone();
    meter
        .u64_observable_gauge("waxwing_reachable_vms")
        .with_description("Entry VMs that can be reached, without this one")
        .with_callback(move |observer| {
            let reachable = of.fleet.lock().reachable(clock::now()).len();
            observer.observe(reachable as u64, &[]);
        })
        .build();
}

fn follow_platform(keeper: &keeper::Shared, settings: &settings::Checked) {
    let (watching, address) = (keeper.clone(), settings.platform_address);
    ntex::rt::spawn(async move {
        let platform = http::Platform::new(address).await;
        platform::watch(&watching, &platform).await;
    });
    let listing = keeper.clone();
    ntex::rt::spawn(async move {
        let platform = http::Platform::new(address).await;
        platform::follow_list(&listing, &platform).await;
    });
}

/// Tells everybody, gives the seats up, and waits for the other processes to finish.
async fn leave(keeper: &keeper::Shared, settings: &settings::Checked) {
    keeper.reporter.report(event::What::Stopping);
    keeper.entry_vm.lock().phase = entry_vm::Phase::Leaving;
    keeper.publish_fleet();
    heartbeats::beat(keeper);
    keeper.connections.leave();
    let platform = http::Platform::new(settings.platform_address).await;
    platform::give_up_seats(keeper, &platform).await;
    let began_at = clock::now();
    while keeper.connections.count() > 0 && clock::now().since(began_at) < LEAVE_MAX {
        process_timer::sleep(LEAVE_INTERVAL).await;
    }
}
