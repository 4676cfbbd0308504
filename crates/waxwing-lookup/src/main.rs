//! Starts the endpoints of the lookup process, and shuts them down.

use std::sync;
use std::sync::atomic;

use eyre::OptionExt;
use eyre::WrapErr;
use ntex::web;
use waxwing_keeper_client::client;
use waxwing_lookup::directory;
use waxwing_lookup::settings;
use waxwing_process::admin;
use waxwing_process::arguments;
use waxwing_process::metrics;
use waxwing_process::reporter;
use waxwing_process::signal;
use waxwing_timeline::event;

fn main() {
    let settings: settings::Settings = arguments::settings_or_exit();
    arguments::exit_on_error("waxwing-lookup", run(settings));
}

#[ntex::main]
async fn run(settings: settings::Settings) -> eyre::Result<()> {
    let metrics = metrics::Metrics::new()?;
    let directory = create_directory(&settings, &metrics)?;
    directory.reporter.report(event::Kind::Started);
    let is_ready = sync::Arc::new(atomic::AtomicBool::new(true));
    serve_admin(&settings, &directory, metrics, is_ready.clone())?;
    let server = serve(&settings, &directory)?;
    signal::on_shutdown()?.await?;
    directory.reporter.report(event::Kind::Stopping);
    is_ready.store(false, atomic::Ordering::Release);
    server.stop(true).await;
    Ok(())
}

/// Creates the shared state and connects it to the keeper.
fn create_directory(
    settings: &settings::Settings,
    metrics: &metrics::Metrics,
) -> eyre::Result<sync::Arc<directory::Directory>> {
    let vm = settings.vm.clone().ok_or_eyre("vm is missing")?;
    let failure_domain = settings.failure_domain.clone().ok_or_eyre("failure_domain is missing")?;
    let keeper_address = settings.keeper_address.ok_or_eyre("keeper_address is missing")?;
    let reporter = reporter::Reporter::new(vm, event::Role::Lookup);
    let role = event::Role::Lookup;
    let blocks = sync::Arc::new(directory::ClientBlocks::default());
    let updated_blocks = blocks.clone();
    let on_change: client::OnChange = Box::new(move |view| updated_blocks.update(view));
    let keeper = client::Client::start(keeper_address, role, reporter.clone(), on_change)?;
    let lookups = metrics
        .meter()
        .u64_counter("waxwing_lookups")
        .with_description("Directory queries")
        .build();
    Ok(sync::Arc::new(directory::Directory { failure_domain, keeper, blocks, reporter, lookups }))
}

fn serve_admin(
    settings: &settings::Settings,
    directory: &sync::Arc<directory::Directory>,
    metrics: metrics::Metrics,
    is_ready: sync::Arc<atomic::AtomicBool>,
) -> eyre::Result<()> {
    let address = settings.admin_address.ok_or_eyre("admin_address is missing")?;
    let status_directory = directory.clone();
    let status = sync::Arc::new(move || {
        let view = status_directory.keeper.view();
        let vms = view.reachable.len();
        serde_json::json!({ "revision": view.records.revision, "reachable_vms": vms }).to_string()
    });
    let reporter = directory.reporter.clone();
    let admin = admin::Admin { is_ready, reporter, metrics, status };
    admin::start(address, admin).wrap_err_with(|| format!("admin_address {address} can't be bound"))
}

fn serve(
    settings: &settings::Settings,
    directory: &sync::Arc<directory::Directory>,
) -> eyre::Result<ntex::server::Server> {
    let address = settings.listen_address.ok_or_eyre("listen_address is missing")?;
    let shared = directory.clone();
    let server = web::HttpServer::new(async move || {
        web::App::new()
            .state(shared.clone())
            .service(web::resource("/lookup").to(directory::answer))
    });
    let server = server
        .workers(settings.workers)
        .disable_signals()
        .bind(address)
        .wrap_err_with(|| format!("listen_address {address} can't be bound"))?;
    Ok(server.run())
}
