//! Runs the look-up process.

use std::sync;
use std::sync::atomic;

use eyre::OptionExt;
use eyre::WrapErr;
use ntex::web;
use waxwing_keeper_client::client;
use waxwing_lookup::answer;
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
    let lookup = share(&settings, &metrics)?;
    lookup.reporter.report(event::What::Started);
    let is_ready = sync::Arc::new(atomic::AtomicBool::new(true));
    serve_admin(&settings, &lookup, metrics, is_ready.clone())?;
    let server = serve(&settings, &lookup)?;
    signal::on_shutdown()?.await?;
    lookup.reporter.report(event::What::Stopping);
    is_ready.store(false, atomic::Ordering::Release);
    server.stop(true).await;
    Ok(())
}

fn share(
    settings: &settings::Settings,
    metrics: &metrics::Metrics,
) -> eyre::Result<sync::Arc<answer::Lookup>> {
    let vm = settings.vm.clone().ok_or_eyre("vm is missing")?;
    let failure_domain = settings.failure_domain.clone().ok_or_eyre("failure_domain is missing")?;
    let keeper_address = settings.keeper_address.ok_or_eyre("keeper_address is missing")?;
    let reporter = reporter::Reporter::new(vm, event::Role::Lookup);
    let role = event::Role::Lookup;
    let blocks = sync::Arc::new(answer::Blocks::default());
    let updated = blocks.clone();
    let on_change: client::OnChange = Box::new(move |view| updated.update(view));
    let keeper = client::Client::start(keeper_address, role, reporter.clone(), on_change)?;
    let lookups = metrics
        .meter()
        .u64_counter("waxwing_lookups")
        .with_description("Look-ups that were answered")
        .build();
    Ok(sync::Arc::new(answer::Lookup { failure_domain, keeper, blocks, reporter, lookups }))
}

fn serve_admin(
    settings: &settings::Settings,
    lookup: &sync::Arc<answer::Lookup>,
    metrics: metrics::Metrics,
    is_ready: sync::Arc<atomic::AtomicBool>,
) -> eyre::Result<()> {
    let address = settings.admin_address.ok_or_eyre("admin_address is missing")?;
    let shown = lookup.clone();
    let status = sync::Arc::new(move || {
        let view = shown.keeper.view();
        let vms = view.reachable.len();
        serde_json::json!({ "revision": view.records.revision, "reachable_vms": vms }).to_string()
    });
    let reporter = lookup.reporter.clone();
    let admin = admin::Admin { is_ready, reporter, metrics, status };
    admin::start(address, admin).wrap_err_with(|| format!("admin_address {address} can't be bound"))
}

fn serve(
    settings: &settings::Settings,
    lookup: &sync::Arc<answer::Lookup>,
) -> eyre::Result<ntex::server::Server> {
    let address = settings.listen_address.ok_or_eyre("listen_address is missing")?;
    let shared = lookup.clone();
    let server = web::HttpServer::new(async move || {
        web::App::new().state(shared.clone()).service(web::resource("/lookup").to(answer::lookup))
    });
    let server = server
        .workers(settings.workers)
        .disable_signals()
        .bind(address)
        .wrap_err_with(|| format!("listen_address {address} can't be bound"))?;
    Ok(server.run())
}
