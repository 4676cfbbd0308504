//! HTTP client that fetches state and events from the admin endpoints of all processes.

use std::net;

use futures_util::future;
use ntex::client;
use ntex::time as ntex_time;
use serde::de;
use waxwing_keeper::keeper;
use waxwing_timeline::event;
use waxwing_timeline::stamp;

/// Timeout of one request, in milliseconds.
const TIMEOUT_MS: u32 = 1_500;

/// The largest response body that is read, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// A process that sent no usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The admin address of the process.
    pub address: net::SocketAddr,
    /// The error, as text.
    pub message: String,
}

async fn get<T: de::DeserializeOwned>(
    client: &client::Client,
    address: net::SocketAddr,
    path: &str,
) -> Result<T, Failure> {
    let failure = |message: String| Failure { address, message };
    let request = client.get(format!("http://{address}{path}"));
    let request = request.timeout(ntex_time::Millis(TIMEOUT_MS));
    let response = request.send().await.map_err(|error| failure(error.to_string()))?;
    let body = response.body().limit(RESPONSE_MAX_BYTES).await;
    let body = body.map_err(|error| failure(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| failure(error.to_string()))
}

/// The position in the event log of one process up to which events were fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cursor {
    /// The admin address of the process.
    pub address: net::SocketAddr,
    /// The stamp of the last fetched event.
    pub after: stamp::Stamp,
}

/// Fetches the new events of all processes concurrently, and advances the cursors.
pub async fn events(cursors: &mut [Cursor]) -> (Vec<Vec<event::Event>>, Vec<Failure>) {
    let client = client::Client::new().await;
    let calls = cursors.iter_mut().map(|cursor| new_events(&client, cursor));
    partition(future::join_all(calls).await)
}

async fn new_events(
    client: &client::Client,
    cursor: &mut Cursor,
) -> Result<Vec<event::Event>, Failure> {
    let path = format!("/events?after={}", cursor.after);
    let events: Vec<event::Event> = get(client, cursor.address, &path).await?;
    cursor.after = events.last().map_or(cursor.after, |event| event.at);
    Ok(events)
}

/// Fetches the state of all keepers concurrently; ignores the responses of other processes.
pub async fn status(addresses: &[net::SocketAddr]) -> (Vec<keeper::Status>, Vec<Failure>) {
    let client = client::Client::new().await;
    let calls =
        addresses.iter().map(|address| get::<serde_json::Value>(&client, *address, "/status"));
    let (values, failures) = partition(future::join_all(calls).await);
    let statuses = values.into_iter().filter_map(|value| serde_json::from_value(value).ok());
    (statuses.collect(), failures)
}

fn partition<T>(results: Vec<Result<T, Failure>>) -> (Vec<T>, Vec<Failure>) {
    let mut values = Vec::new();
    let mut failures = Vec::new();
    for result in results {
        match result {
            Ok(value) => values.push(value),
            Err(error) => failures.push(error),
        }
    }
    (values, failures)
}
