//! Polls the load reports of backend servers.

use std::sync;
use std::time;

use ntex::client;
use ntex::time as ntex_time;
use waxwing_machine::backend_server;
use waxwing_machine::fleet;
use waxwing_process::timer;
use waxwing_record::record;

use crate::entry;

/// How often each backend server is polled.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The time limit for a load report, in milliseconds.
const PROBE_TIMEOUT_MS: u32 = 800;

/// How often free slots are assigned to queued requests.
const SLOT_ASSIGNMENT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Polls all backend servers of this machine and sends its own load to the keeper; never returns.
pub async fn run(entry: sync::Arc<entry::Entry>) {
    let client = client::Client::new().await;
    loop {
        for (service, server) in entry.pools.servers() {
            let (entry, client) = (entry.clone(), client.clone());
            ntex::rt::spawn(async move {
                if let Some(report) = fetch_report(&client, &server).await {
                    entry.pools.set_report(&service, &server.backend_server, report);
                }
            });
        }
        let (in_flight, free_slots) = entry.pools.load();
        let shares = entry.failover.shares();
        entry.keeper.send_load(fleet::Load { in_flight, free_slots, shares });
        timer::sleep(PROBE_INTERVAL).await;
    }
}

/// Requests a server's load report; returns `None` if it fails or is not valid.
async fn fetch_report(
    client: &client::Client,
    server: &record::BackendServer,
) -> Option<backend_server::Report> {
    let url = format!("http://{}/load", server.address);
    let request = client.get(url).timeout(ntex_time::Millis(PROBE_TIMEOUT_MS));
    let response = request.send().await.ok()?;
    response.json().await.ok()
}

/// Periodically assigns free slots to queued requests, also those that became free without a
/// release; never returns.
pub async fn assign_free_slots(entry: sync::Arc<entry::Entry>) {
    loop {
        timer::sleep(SLOT_ASSIGNMENT_INTERVAL).await;
        entry.pools.assign_free_slots();
    }
}
