//! One request and its answer on a connection to a backend server.
//!
//! An answer is read to its end before any of it is passed on, so a broken answer never looks like
//! a shorter whole one, and an idempotent request can be sent again instead.

use std::time;

use futures_util::StreamExt;
use ntex::client;
use ntex::client::error as client_error;
use ntex::http;
use ntex::http::body;
use ntex::http::header;
use ntex::util as ntex_util;
use waxwing_machine::placement;
use waxwing_machine::server_health;
use waxwing_process::timer;
use waxwing_request::attempt;

use crate::connection_pool;
use crate::http_adapter;

/// The largest answer that is kept, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// What is sent to a backend server.
pub struct Request {
    /// The name that the answer has to repeat.
    pub request: String,
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<http_adapter::Header>,
    /// The body.
    pub body: ntex_util::Bytes,
    /// Whether it may run more than once.
    pub repeatability: attempt::Repeatability,
}

/// A whole answer.
pub struct Answer {
    /// The status.
    pub status: http::StatusCode,
    /// The headers that the caller gets to see.
    pub headers: Vec<http_adapter::Header>,
    /// The body.
    pub body: ntex_util::Bytes,
    /// What it says.
    pub reading: http_adapter::Reading,
}

/// Why an attempt brought no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// How far the attempt came.
    pub state: attempt::State,
    /// What ended it.
    pub fault: attempt::Fault,
    /// What the server said, if it answered at all.
    pub reading: Option<http_adapter::Reading>,
}

impl Failure {
    /// Returns what the failure says of the server.
    pub const fn ending(&self) -> server_health::AttemptOutcome {
        match self.fault {
            attempt::Fault::DeclaredNotRun => server_health::AttemptOutcome::Shed,
            attempt::Fault::ConnectFailed
            | attempt::Fault::Disconnected
            | attempt::Fault::DeadlineExceeded
            | attempt::Fault::MalformedResponse => server_health::AttemptOutcome::Failed,
            attempt::Fault::NoSlot
            | attempt::Fault::CallerDisconnected
            | attempt::Fault::UploadInterrupted => server_health::AttemptOutcome::NotAttributable,
        }
    }

    /// Returns the load that the server reported.
    pub fn load(&self) -> Option<server_health::Load> {
        self.reading.and_then(|reading| reading.load)
    }
}

/// Sends a request to a server and reads its answer to the end, until `timeout` has passed.
///
/// # Errors
///
/// Returns how far the attempt came and what ended it.
pub async fn exchange(
    kept: &connection_pool::Connections,
    front: &dyn http_adapter::HttpAdapter,
    lease: &placement::Lease,
    request: Request,
    timeout: time::Duration,
) -> Result<Answer, Failure> {
    let Ok(connection) = kept.take(lease, request.repeatability).await else {
        log::error!("no client could be made for {}", lease.server);
        return Err(failure(attempt::State::Connecting, attempt::Fault::ConnectFailed));
    };
    let name = request.request.clone();
    let exchanging = send_and_read(&connection, front, &name, lease, request);
    let exchanged = timer::timeout(timeout, exchanging).await;
    let exchanged = exchanged
        .unwrap_or_else(|_| Err(failure(connection.state(), attempt::Fault::DeadlineExceeded)));
    let reading = match &exchanged {
        Ok(answer) => Some(answer.reading),
        Err(failure) => failure.reading,
    };
    if let Err(Failure { state, fault: attempt::Fault::Disconnected, reading: None }) = &exchanged
        && *state == attempt::State::Sending
    {
        kept.note_broken(&connection);
    }
    if let Some(keeps) = reading.and_then(|reading| reading.keeps) {
        kept.give_back(connection, keeps);
    }
    exchanged
}

const fn failure(state: attempt::State, fault: attempt::Fault) -> Failure {
    Failure { state, fault, reading: None }
}

async fn send_and_read(
    connection: &connection_pool::Connection,
    front: &dyn http_adapter::HttpAdapter,
    name: &str,
    lease: &placement::Lease,
    request: Request,
) -> Result<Answer, Failure> {
    let response = send(connection, lease, request).await.map_err(|error| {
        log::debug!("{} did not answer {name}: {error}", lease.server);
        failure(connection.state(), fault_of(&error, connection.state()))
    })?;
    connection.set_state(attempt::State::Sent);
    let status = response.status();
    let mut reading = front.parse_response(name, status, response.headers());
    let malformed = Failure {
        state: attempt::State::Sent,
        fault: attempt::Fault::MalformedResponse,
        reading: None,
    };
    if !has_length(&response) {
        log::info!("the answer of {} to {name} has no length", lease.server);
        return Err(malformed);
    }
    let headers = front.response_headers(response.headers());
    let body = read_body(&response).await.map_err(|error| {
        log::info!("the answer of {} to {name} broke off: {error}", lease.server);
        Failure { fault: attempt::Fault::Disconnected, ..malformed }
    })?;
    match reading.verdict {
        http_adapter::Verdict::Answered | http_adapter::Verdict::AnsweredFailure => {
            Ok(Answer { status, headers, body, reading })
        }
        http_adapter::Verdict::NotRun | http_adapter::Verdict::OtherServer => Err(Failure {
            state: attempt::State::Sent,
            fault: attempt::Fault::DeclaredNotRun,
            reading: Some(reading),
        }),
        http_adapter::Verdict::Foreign | http_adapter::Verdict::Unusable => {
            log::info!("the answer of {} to {name} can't be used: {reading:?}", lease.server);
            reading.keeps = None;
            Err(Failure { reading: Some(reading), ..malformed })
        }
    }
}

async fn send(
    connection: &connection_pool::Connection,
    lease: &placement::Lease,
    request: Request,
) -> Result<client::ClientResponse, client_error::ClientError> {
    let url = format!("http://{}{}", lease.address, request.path);
    let has_body = !matches!(request.method, http::Method::GET | http::Method::HEAD)
        || !request.body.is_empty();
    let mut sending = connection.client().request(request.method, url).address(lease.address);
    for (name, value) in request.headers {
        sending = sending.header(name, value);
    }
    match has_body {
        true => sending.send_body(body::Body::Bytes(request.body)).await,
        false => sending.send().await,
    }
}

fn fault_of(error: &client_error::ClientError, state: attempt::State) -> attempt::Fault {
    match error {
        _ if state == attempt::State::Connecting => attempt::Fault::ConnectFailed,
        client_error::ClientError::Response(_) => attempt::Fault::MalformedResponse,
        client_error::ClientError::Timeout => attempt::Fault::DeadlineExceeded,
        _ => attempt::Fault::Disconnected,
    }
}

/// Tells whether the end of an answer can be told from a break.
///
/// The HTTP library takes an answer without a length for one without a body.
fn has_length(response: &client::ClientResponse) -> bool {
    let headers = response.headers();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || matches!(response.status().as_u16(), 204 | 304)
}

async fn read_body(
    response: &client::ClientResponse,
) -> Result<ntex_util::Bytes, http::error::PayloadError> {
    let mut payload = response.take_payload();
    let mut whole = ntex_util::BytesMut::new();
    while let Some(chunk) = payload.next().await {
        whole.extend_from_slice(&chunk?);
        if whole.len() > ANSWER_MAX_BYTES {
            return Err(http::error::PayloadError::Overflow);
        }
    }
    Ok(whole.freeze())
}
