//! Asks backend servers how they are.

use std::sync;
use std::time;

use ntex::client;
use ntex::time as ntex_time;
use waxwing_machine::backend_server;
use waxwing_machine::fleet;
use waxwing_process::timer;
use waxwing_record::record;

use crate::entry;

/// How often each backend server is asked.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// How long a backend server may take to say how it is, in milliseconds.
const PROBE_TIMEOUT_MS: u32 = 800;

/// How often slots that came free by the passing of time are handed out.
const HAND_OUT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Asks all backend servers of this machine; never returns.
pub async fn run(entry: sync::Arc<entry::Entry>) {
    let client = client::Client::new().await;
    loop {
        for (service, server) in entry.pools.servers() {
            let (entry, client) = (entry.clone(), client.clone());
            ntex::rt::spawn(async move {
                if let Some(report) = ask(&client, &server).await {
                    entry.pools.set_report(&service, &server.backend_server, report);
                }
            });
        }
        let (in_flight, free_slots) = entry.pools.load();
        let shares = entry.places.shares();
        entry.keeper.send_load(fleet::Load { in_flight, free_slots, shares });
        timer::sleep(PROBE_INTERVAL).await;
    }
}

async fn ask(
    client: &client::Client,
    server: &record::BackendServer,
) -> Option<backend_server::Report> {
    let url = format!("http://{}/load", server.address);
    let request = client.get(url).timeout(ntex_time::Millis(PROBE_TIMEOUT_MS));
    let response = request.send().await.ok()?;
    response.json().await.ok()
}

/// Hands out slots that came free by the passing of time; never returns.
pub async fn hand_out(entry: sync::Arc<entry::Entry>) {
    loop {
        timer::sleep(HAND_OUT_INTERVAL).await;
        entry.pools.hand_out();
    }
}
