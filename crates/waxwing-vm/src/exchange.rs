//! One attempt: a request to a backend server and its response.
//!
//! A response is read to its end before any of it is forwarded. So a truncated response never looks
//! like a shorter complete one, and an idempotent request can be retried instead.

use std::rc;
use std::time;

use futures_util::StreamExt;
use ntex::client;
use ntex::client::error as client_error;
use ntex::http;
use ntex::http::header;
use ntex::util as ntex_util;
use waxwing_machine::placement;
use waxwing_machine::server_health;
use waxwing_process::shutdown;
use waxwing_request::attempt;
use waxwing_request::body_length;
use waxwing_request::status_line;
use waxwing_units::size;
use waxwing_units::time as units_time;

use crate::body;
use crate::connection_pool;
use crate::http_adapter;
use crate::leased_server;
use crate::memory;

/// The largest response body that is buffered, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// How long a response waits for memory; a server breaks off a response that is not read for some
/// seconds.
const RESPONSE_MEMORY_WAIT_MAX: time::Duration = time::Duration::from_secs(2);

/// A request as it is sent to a backend server.
pub struct Request {
    /// The id that the response has to repeat.
    pub request_id: String,
    /// The HTTP method of the caller's request.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// The headers, as the adapter selected them.
    pub headers: Vec<http_adapter::Header>,
    /// The segments of the whole body; none if it is empty.
    pub body: rc::Rc<[ntex_util::Bytes]>,
    /// Whether the request may run more than once.
    pub repeatability: attempt::Repeatability,
    /// When the response is due.
    pub deadline: units_time::MonoInstant,
    /// The memory for the body of the response.
    pub response_memory: memory::Reservation,
}

/// A complete response.
pub struct Response {
    /// The status code, which is forwarded unchanged.
    pub status: http::StatusCode,
    /// The headers that are forwarded to the caller.
    pub headers: Vec<http_adapter::Header>,
    /// The whole body, with the memory that it takes.
    pub body: body::Body,
    /// The adapter's classification of the response.
    pub reading: http_adapter::Reading,
}

/// An attempt that brought no response to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// How far the attempt got.
    pub state: attempt::State,
    /// What ended the attempt.
    pub fault: attempt::Fault,
    /// The adapter's classification of the response, if one arrived.
    pub reading: Option<http_adapter::Reading>,
}

impl Failure {
    /// Returns what the failure says about the health of the server.
    pub const fn attempt_outcome(&self) -> server_health::AttemptOutcome {
        match self.fault {
            attempt::Fault::DeclaredNotRun => server_health::AttemptOutcome::Shed,
            attempt::Fault::ConnectFailed
            | attempt::Fault::Disconnected
            | attempt::Fault::DeadlineExceeded
            | attempt::Fault::MalformedResponse => server_health::AttemptOutcome::Failed,
            attempt::Fault::NoSlot
            | attempt::Fault::CallerDisconnected
            | attempt::Fault::ServerUnavailable
            | attempt::Fault::MemoryFull
            | attempt::Fault::UploadInterrupted => server_health::AttemptOutcome::NotAttributable,
        }
    }

    /// Returns the load that the server reported, if a response arrived with one.
    pub fn load(&self) -> Option<server_health::Load> {
        self.reading.and_then(|reading| reading.load)
    }
}

/// Sends a request to a server and reads the whole response, until its deadline or the end of the
/// process.
///
/// # Errors
///
/// Returns how far the attempt got and what ended it.
pub async fn exchange(
    pool: &connection_pool::ConnectionPool,
    adapter: &dyn http_adapter::HttpAdapter,
    server: &rc::Rc<leased_server::LeasedServer>,
    request: Request,
    shutdown: &shutdown::Shutdown,
) -> Result<Response, Failure> {
    let (request_id, deadline) = (request.request_id.clone(), request.deadline);
    let taken = pool.take(server, &request_id, request.repeatability).await;
    let Ok(mut connection) = taken else {
        log::error!("can't create an HTTP client for {}", server.lease().server);
        return Err(failure(attempt::State::Connecting, attempt::Fault::ConnectFailed));
    };
    if !server.accepts_requests() {
        return Err(failure(attempt::State::Connecting, attempt::Fault::ServerUnavailable));
    }
    let exchange_future = send_and_read(&connection, adapter, server, request);
    let result = shutdown.timeout(deadline, exchange_future).await;
    let result = result
        .unwrap_or_else(|_| Err(failure(connection.state(), attempt::Fault::DeadlineExceeded)));
    let reading = match &result {
        Ok(response) => Some(response.reading),
        Err(failure) => failure.reading,
    };
    if let Err(Failure { state, fault: attempt::Fault::Disconnected, reading: None }) = &result
        && *state == attempt::State::Sending
    {
        pool.record_reset(&connection);
    }
    if matches!(&result, Err(Failure { fault: attempt::Fault::DeclaredNotRun, .. })) {
        connection.record_refusal(&request_id);
    }
    if let Some(keeps) = reading.and_then(|reading| reading.keeps) {
        pool.put_back(connection, keeps);
    }
    result
}

const fn failure(state: attempt::State, fault: attempt::Fault) -> Failure {
    Failure { state, fault, reading: None }
}

async fn send_and_read(
    connection: &connection_pool::Connection,
    adapter: &dyn http_adapter::HttpAdapter,
    server: &leased_server::LeasedServer,
    request: Request,
) -> Result<Response, Failure> {
    let is_head = request.method == http::Method::HEAD;
    let lease = server.lease();
    let request_id = request.request_id.clone();
    let (response, memory) = send(connection, lease, request).await.map_err(|error| {
        log::debug!("no response from {} to {request_id}: {error}", lease.server);
        let state = connection.state();
        match state == attempt::State::Connecting && !server.accepts_requests() {
            true => failure(state, attempt::Fault::ServerUnavailable),
            false => failure(state, fault_of(&error, state)),
        }
    })?;
    connection.set_state(attempt::State::Sent);
    let status = response.status();
    if has_joined_head(response.headers()) {
        log::info!("the response of {} to {request_id} contains two heads", lease.server);
        return Err(failure(attempt::State::Sent, attempt::Fault::MalformedResponse));
    }
    let mut reading = adapter.parse_response(&request_id, status, response.headers());
    server.apply_reading(&reading);
    let malformed = failure(attempt::State::Sent, attempt::Fault::MalformedResponse);
    let length = body_length(&response, is_head).map_err(|error| {
        log::info!("the response of {} to {request_id} can't be read: {error}", lease.server);
        malformed
    })?;
    let headers = adapter.response_headers(response.headers());
    let body = read_body(&response, length, memory).await.map_err(|error| {
        log::info!("the response of {} to {request_id} can't be read: {error}", lease.server);
        match error {
            BodyError::TooLarge => malformed,
            BodyError::MemoryFull => Failure { fault: attempt::Fault::MemoryFull, ..malformed },
            BodyError::EndedEarly(_) | BodyError::Truncated => {
                Failure { fault: attempt::Fault::Disconnected, ..malformed }
            }
        }
    })?;
    let is_refusal_valid = !connection.is_response_premature();
    match reading.verdict {
        http_adapter::Verdict::Answered | http_adapter::Verdict::AnsweredFailure => {
            Ok(Response { status, headers, body, reading })
        }
        http_adapter::Verdict::NotRun | http_adapter::Verdict::OtherServer if is_refusal_valid => {
            let fault = attempt::Fault::DeclaredNotRun;
            Err(Failure { fault, reading: Some(reading), ..malformed })
        }
        http_adapter::Verdict::NotRun
        | http_adapter::Verdict::OtherServer
        | http_adapter::Verdict::Foreign
        | http_adapter::Verdict::Unusable => {
            log::info!(
                "the response of {} to {request_id} can't be forwarded: {reading:?}",
                lease.server
            );
            reading.keeps = None;
            Err(Failure { reading: Some(reading), ..malformed })
        }
    }
}

/// Returns whether a header's value contains the status line of another response.
fn has_joined_head(headers: &header::HeaderMap) -> bool {
    headers.iter().any(|(_, value)| status_line::is_contained_in(value.as_bytes()))
}

async fn send(
    connection: &connection_pool::Connection,
    lease: &placement::Lease,
    request: Request,
) -> Result<(client::ClientResponse, memory::Reservation), client_error::ClientError> {
    let url = format!("http://{}{}", lease.address, request.path);
    let has_body = !matches!(request.method, http::Method::GET | http::Method::HEAD)
        || !request.body.is_empty();
    let mut builder = connection.client().request(request.method, url).address(lease.address);
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    let response = match has_body {
        true => builder.send_body(body::client_body(&request.body)).await?,
        false => builder.send().await?,
    };
    Ok((response, request.response_memory))
}

fn fault_of(error: &client_error::ClientError, state: attempt::State) -> attempt::Fault {
    match error {
        _ if state == attempt::State::Connecting => attempt::Fault::ConnectFailed,
        client_error::ClientError::Response(_) => attempt::Fault::MalformedResponse,
        client_error::ClientError::Timeout => attempt::Fault::DeadlineExceeded,
        _ => attempt::Fault::Disconnected,
    }
}

fn body_length(
    response: &client::ClientResponse,
    is_head: bool,
) -> body_length::Result<body_length::BodyLength> {
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    body_length::BodyLength::of(body_length::ResponseHead {
        is_response_to_head: is_head,
        status: response.status().as_u16(),
        content_length: header(header::CONTENT_LENGTH),
        transfer_encoding: header(header::TRANSFER_ENCODING),
    })
}

/// Why the body of a response can't be read.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("the body ended early: {0}")]
    EndedEarly(http::error::PayloadError),
    #[error("the body is shorter than the response states")]
    Truncated,
    #[error("the body has more than {RESPONSE_MAX_BYTES} bytes")]
    TooLarge,
    #[error("the bodies in memory take too much")]
    MemoryFull,
}

async fn read_body(
    response: &client::ClientResponse,
    length: body_length::BodyLength,
    memory: memory::Reservation,
) -> Result<body::Body, BodyError> {
    if let body_length::BodyLength::Exact(size::Bytes(len_bytes)) = length
        && len_bytes > RESPONSE_MAX_BYTES as u64
    {
        return Err(BodyError::TooLarge);
    }
    let mut payload = response.take_payload();
    let mut buffer = body::BodyBuffer::new(memory, RESPONSE_MEMORY_WAIT_MAX);
    if let body_length::BodyLength::Exact(len) = length {
        // Responses that are read side by side could otherwise all stop midway.
        buffer.reserve(len).await.map_err(|memory::Full| BodyError::MemoryFull)?;
    }
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(BodyError::EndedEarly)?;
        if buffer.len().0 + chunk.len() as u64 > RESPONSE_MAX_BYTES as u64 {
            return Err(BodyError::TooLarge);
        }
        buffer.push(&chunk).await.map_err(|memory::Full| BodyError::MemoryFull)?;
    }
    // The HTTP library reads no body after some heads, and ends one of HTTP/1.0 with its connection.
    if !length.is_complete(buffer.len()) {
        return Err(BodyError::Truncated);
    }
    Ok(buffer.finish())
}
