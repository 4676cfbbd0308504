//! A client for the platform's store and machine list, over HTTP with JSON.

use std::cell;
use std::future;
use std::io;
use std::net;
use std::time;

use ntex::client;
use ntex::client::error as client_error;
use ntex::http;
use ntex::time as ntex_time;
use serde::de;
use serde_json::value;
use waxwing_machine::entry_vm;
use waxwing_machine::transfer;
use waxwing_process::clock;
use waxwing_process::response_body;
use waxwing_process::timer;
use waxwing_units::bandwidth;
use waxwing_units::id;
use waxwing_units::size;

use crate::store;
use crate::vm_list;

/// How long a call may make no progress; a watch may take its wait in addition.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The mean rate that a response must have.
const RATE_MIN: bandwidth::Bandwidth = bandwidth::Bandwidth(128);

/// The largest response body that is read.
const RESPONSE_MAX: size::Bytes = size::Bytes(256 * 1024 * 1024);

/// A client for the platform's HTTP endpoint.
#[derive(Debug, Clone)]
pub struct Platform {
    address: net::SocketAddr,
    client: client::Client,
}

impl Platform {
    /// Creates a client of the endpoint at `address`; it connects on the first call.
    pub async fn new(address: net::SocketAddr) -> Self {
        Self { address, client: client::Client::new().await }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }

    async fn get<T: de::DeserializeOwned>(
        &self,
        path: &str,
        idle_max: time::Duration,
    ) -> store::Result<T> {
        let request = self.client.get(self.url(path)).timeout(head_timeout(idle_max));
        read_in_time(idle_max, request.send()).await
    }
}

/// Returns the time limit on the head of a response, which the HTTP library would set otherwise.
fn head_timeout(idle_max: time::Duration) -> ntex_time::Millis {
    ntex_time::Millis(u32::try_from(idle_max.as_millis()).unwrap_or(u32::MAX))
}

/// Awaits the response to a call and reads it while it makes progress.
async fn read_in_time<T: de::DeserializeOwned>(
    idle_max: time::Duration,
    sent: impl future::Future<Output = Result<client::ClientResponse, client_error::ClientError>>,
) -> store::Result<T> {
    let limits = transfer::Limits { idle_max, rate_min: RATE_MIN };
    let progress = cell::Cell::new(transfer::Transfer::begin(clock::now()));
    let reading = async {
        let response = sent.await.map_err(transport_error)?;
        read_response(response, &progress).await
    };
    let result = timer::timeout_transfer(limits, &progress, reading).await;
    result.unwrap_or_else(|_| {
        Err(store::Error::NoAnswer(format!("the call timed out; {}", progress.get())))
    })
}

/// Maps a transport error to what is known about the effect of the call: a refused or failed
/// connection means that the store was not reached; any other error, such as a connection that was
/// closed, leaves the effect unknown.
fn transport_error(error: client_error::ClientError) -> store::Error {
    use client_error::{ClientError, ConnectError};
    match error {
        ClientError::Connect(ConnectError::Disconnected(Some(error)))
            if error.kind() == io::ErrorKind::ConnectionRefused =>
        {
            store::Error::Unreachable(error.to_string())
        }
        ClientError::Connect(ConnectError::Disconnected(_)) => {
            store::Error::NoAnswer("connection closed".to_owned())
        }
        ClientError::Connect(error) => store::Error::Unreachable(error.to_string()),
        other => store::Error::NoAnswer(other.to_string()),
    }
}

async fn read_response<T: de::DeserializeOwned>(
    response: client::ClientResponse,
    progress: &cell::Cell<transfer::Transfer>,
) -> store::Result<T> {
    let status = response.status();
    let body = response_body::read(response, RESPONSE_MAX, progress).await;
    let body = body.map_err(|error| store::Error::NoAnswer(error.to_string()))?;
    if status != http::StatusCode::OK {
        let text = String::from_utf8_lossy(&body).into_owned();
        return Err(store::Error::Refused { status: status.as_u16(), text });
    }
    serde_json::from_slice(&body).map_err(|error| store::Error::Answer(error.to_string()))
}

/// A listing whose entries are not decoded yet, so that an invalid one does not affect the others.
#[derive(serde::Deserialize)]
struct RawListing {
    revision: id::Revision,
    entries: Vec<Box<value::RawValue>>,
}

impl RawListing {
    /// Decodes the entries; those that are invalid are skipped.
    fn decode(self) -> store::Listing {
        let stored = self.entries.len();
        let decode = |raw: Box<value::RawValue>| serde_json::from_str(raw.get()).ok();
        let entries: Vec<store::Entry> = self.entries.into_iter().filter_map(decode).collect();
        if entries.len() < stored {
            log::warn!("{} of {stored} entries of the store are invalid", stored - entries.len());
        }
        store::Listing { revision: self.revision, entries }
    }
}

impl store::Store for Platform {
    async fn list(&self, prefix: &str) -> store::Result<store::Listing> {
        let path = format!("list?prefix={prefix}");
        self.get::<RawListing>(&path, CALL_TIMEOUT).await.map(RawListing::decode)
    }

    async fn write(&self, write: &store::Write) -> store::Result<store::WriteOutcome> {
        let request = self.client.post(self.url("write")).timeout(head_timeout(CALL_TIMEOUT));
        read_in_time(CALL_TIMEOUT, request.send_json(write)).await
    }

    async fn watch(
        &self,
        after: id::Revision,
        wait: time::Duration,
    ) -> store::Result<id::Revision> {
        let path = format!("watch?after={after}&wait_ms={}", wait.as_millis());
        self.get(&path, wait.saturating_add(CALL_TIMEOUT)).await
    }
}

impl vm_list::VmList for Platform {
    async fn vms(&self) -> store::Result<Vec<entry_vm::EntryVm>> {
        self.get("vms", CALL_TIMEOUT).await
    }
}
