//! Asks all machines for their state and their events.

use std::net;

use futures_util::future;
use ntex::client;
use ntex::time as ntex_time;
use serde::de;
use waxwing_keeper::keeper;
use waxwing_timeline::event;
use waxwing_timeline::stamp;

/// How long a process may take to answer, in milliseconds.
const TIMEOUT_MS: u32 = 1_500;

/// Largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// A process that did not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Silent {
    /// Its admin address.
    pub address: net::SocketAddr,
    /// What went wrong.
    pub why: String,
}

async fn get<T: de::DeserializeOwned>(
    client: &client::Client,
    address: net::SocketAddr,
    path: &str,
) -> Result<T, Silent> {
    let silent = |why: String| Silent { address, why };
    let request = client.get(format!("http://{address}{path}"));
    let request = request.timeout(ntex_time::Millis(TIMEOUT_MS));
    let response = request.send().await.map_err(|error| silent(error.to_string()))?;
    let body = response.body().limit(ANSWER_MAX_BYTES).await;
    let body = body.map_err(|error| silent(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| silent(error.to_string()))
}

/// A process and the last of its events that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    /// Its admin address.
    pub address: net::SocketAddr,
    /// The stamp of its last known event.
    pub after: stamp::Stamp,
}

/// Asks all processes for their events that are not known yet.
pub async fn events(sources: &mut [Source]) -> (Vec<Vec<event::Event>>, Vec<Silent>) {
    let client = client::Client::new().await;
    let calls = sources.iter_mut().map(|source| new_events(&client, source));
    part(future::join_all(calls).await)
}

async fn new_events(
    client: &client::Client,
    source: &mut Source,
) -> Result<Vec<event::Event>, Silent> {
    let path = format!("/events?after={}", source.after);
    let events: Vec<event::Event> = get(client, source.address, &path).await?;
    source.after = events.last().map_or(source.after, |event| event.at);
    Ok(events)
}

/// Asks all processes for their state; those that are no keepers are passed over.
pub async fn status(addresses: &[net::SocketAddr]) -> (Vec<keeper::Status>, Vec<Silent>) {
    let client = client::Client::new().await;
    let calls =
        addresses.iter().map(|address| get::<serde_json::Value>(&client, *address, "/status"));
    let (values, silent) = part(future::join_all(calls).await);
    let keepers = values.into_iter().filter_map(|value| serde_json::from_value(value).ok());
    (keepers.collect(), silent)
}

fn part<T>(answers: Vec<Result<T, Silent>>) -> (Vec<T>, Vec<Silent>) {
    let mut found = Vec::new();
    let mut silent = Vec::new();
    for answer in answers {
        match answer {
            Ok(value) => found.push(value),
            Err(error) => silent.push(error),
        }
    }
    (found, silent)
}
