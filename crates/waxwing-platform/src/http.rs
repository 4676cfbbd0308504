//! A client for the platform's store and machine list, over HTTP with JSON.

use std::io;
use std::net;
use std::time;

use ntex::client;
use ntex::client::error as client_error;
use ntex::http;
use ntex::time as ntex_time;
use serde::de;
use waxwing_machine::entry_vm;
use waxwing_units::id;

use crate::store;
use crate::vm_list;

/// The timeout of a call, in milliseconds; a watch may take its wait in addition.
const CALL_TIMEOUT_MS: u32 = 2_000;

/// The largest response body that is read, in bytes.
const RESPONSE_MAX_BYTES: usize = 256 * 1024 * 1024;

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

    async fn get<T: de::DeserializeOwned>(&self, path: &str, timeout_ms: u32) -> store::Result<T> {
        let request = self.client.get(self.url(path)).timeout(ntex_time::Millis(timeout_ms));
        let response = request.send().await.map_err(transport_error)?;
        read_response(response).await
    }
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
) -> store::Result<T> {
    let status = response.status();
    let body = response.body().limit(RESPONSE_MAX_BYTES).await;
    let body = body.map_err(|error| store::Error::NoAnswer(error.to_string()))?;
    if status != http::StatusCode::OK {
        let text = String::from_utf8_lossy(&body).into_owned();
        return Err(store::Error::Refused { status: status.as_u16(), text });
    }
    serde_json::from_slice(&body).map_err(|error| store::Error::Answer(error.to_string()))
}

impl store::Store for Platform {
    async fn list(&self, prefix: &str) -> store::Result<store::Listing> {
        self.get(&format!("list?prefix={prefix}"), CALL_TIMEOUT_MS).await
    }

    async fn write(&self, write: &store::Write) -> store::Result<store::WriteOutcome> {
        let request = self.client.post(self.url("write"));
        let request = request.timeout(ntex_time::Millis(CALL_TIMEOUT_MS));
        let response = request.send_json(write).await.map_err(transport_error)?;
        read_response(response).await
    }

    async fn watch(
        &self,
        after: id::Revision,
        wait: time::Duration,
    ) -> store::Result<id::Revision> {
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let path = format!("watch?after={after}&wait_ms={wait_ms}");
        self.get(&path, wait_ms.saturating_add(CALL_TIMEOUT_MS)).await
    }
}

impl vm_list::VmList for Platform {
    async fn vms(&self) -> store::Result<Vec<entry_vm::EntryVm>> {
        self.get("vms", CALL_TIMEOUT_MS).await
    }
}
