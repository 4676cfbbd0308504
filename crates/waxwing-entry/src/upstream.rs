//! One attempt at one backend server.
//!
//! Each attempt has a connection of its own, which is closed after it. So it is known whether
//! the connection was ever open, and a late or crossed answer has no way to another caller.

use std::cell;
use std::net;
use std::rc;
use std::time;

use ntex::client;
use ntex::client::error as client_error;
use ntex::connect;
use ntex::http;
use ntex::http::body;
use ntex::http::header;
use ntex::service;
use ntex::util as ntex_util;
use waxwing_process::timer;
use waxwing_request::attempt;

use crate::headers;
use crate::upload;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The body of a request.
pub enum Body {
    /// All of it, which can be sent again.
    Kept(ntex_util::Bytes),
    /// A stream from the caller.
    Streamed(upload::Upload, upload::BrokenCell),
}

/// What is sent to a backend server.
pub struct Request {
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(header::HeaderName, header::HeaderValue)>,
    /// The body.
    pub body: Body,
}

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// How far the attempt came.
    pub state: attempt::State,
    /// What ended it.
    pub fault: attempt::Fault,
    /// What became of the caller's upload, if that was the cause.
    pub broken: Option<upload::Broken>,
}

/// How far an attempt has come, noted where it happens.
type StateCell = rc::Rc<cell::Cell<attempt::State>>;

/// Sends a request and waits for the head of the answer, until `timeout` has passed.
///
/// # Errors
///
/// Returns how far the attempt came and what ended it.
pub async fn send(
    address: net::SocketAddr,
    request: Request,
    timeout: time::Duration,
) -> Result<client::ClientResponse, Failure> {
    let state: StateCell = rc::Rc::new(cell::Cell::new(attempt::State::Connecting));
    let broken = match &request.body {
        Body::Kept(_) => None,
        Body::Streamed(_, broken) => Some(broken.clone()),
    };
    let sending = send_on_new_connection(address, request, state.clone());
    let sent = timer::timeout(timeout, sending).await;
    let fault = match sent {
        Ok(Ok(response)) => return declared(response),
        Ok(Err(error)) => fault_of(&error, state.get()),
        Err(timer::Elapsed) => attempt::Fault::DeadlineExceeded,
    };
    let broken = broken.and_then(|broken| broken.get());
    let fault = if broken.is_some() { attempt::Fault::UploadInterrupted } else { fault };
    Err(Failure { state: state.get(), fault, broken })
}

/// Tells answers apart from a server's word that it did not run the request.
fn declared(response: client::ClientResponse) -> Result<client::ClientResponse, Failure> {
    let is_declared = response.status() == http::StatusCode::SERVICE_UNAVAILABLE
        && headers::text(response.headers(), headers::NOT_RUN) == Some("true");
    let is_unknown = headers::text(response.headers(), headers::OUTCOME) == Some("unknown");
    if is_unknown {
        // Another entry VM passes on what it knows of its own attempt.
        return Err(Failure {
            state: attempt::State::Sent,
            fault: attempt::Fault::Disconnected,
            broken: None,
        });
    }
    match is_declared {
        true => Err(Failure {
            state: attempt::State::ReceivingResponse,
            fault: attempt::Fault::DeclaredNotRun,
            broken: None,
        }),
        false => Ok(response),
    }
}

fn fault_of(error: &client_error::ClientError, state: attempt::State) -> attempt::Fault {
    use client_error::ClientError;
    match error {
        _ if state == attempt::State::Connecting => attempt::Fault::ConnectFailed,
        ClientError::Response(_) => attempt::Fault::MalformedResponse,
        ClientError::Timeout => attempt::Fault::DeadlineExceeded,
        _ => attempt::Fault::Disconnected,
    }
}

async fn send_on_new_connection(
    address: net::SocketAddr,
    request: Request,
    state: StateCell,
) -> Result<client::ClientResponse, client_error::ClientError> {
    let client = one_connection_client(state).await?;
    let url = format!("http://{address}{}", request.path);
    let mut sending = client.request(request.method, url).address(address).force_close();
    for (name, value) in request.headers {
        sending = sending.header(name, value);
    }
    match request.body {
        Body::Kept(bytes) if bytes.is_empty() => sending.send().await,
        Body::Kept(bytes) => sending.send_body(bytes).await,
        Body::Streamed(upload, _) => sending.send_body(body::Body::from_message(upload)).await,
    }
}

/// Creates a client that notes when its connection is open.
async fn one_connection_client(
    state: StateCell,
) -> Result<client::Client, client_error::ClientError> {
    let connect = connect::Connector::<http::Uri>::new();
    let noting = service::apply_fn_factory(connect, async move |to, connector| {
        let connecting = connector.call(to);
        let connected = timer::timeout(CONNECT_TIMEOUT, connecting).await;
        let io = connected.map_err(|timer::Elapsed| timed_out())??;
        state.set(attempt::State::Sending);
        Ok::<_, connect::ConnectError>(io)
    });
    client::Client::builder()
        .connector::<http::Uri>(client::Connector::new().connector(noting))
        .disable_redirects()
        .no_default_headers()
        .disable_timeout()
        .build(ntex::SharedCfg::new("upstream"))
        .await
        .map_err(|_| client_error::ClientError::from(client_error::ConnectError::Unresolved))
}

fn timed_out() -> connect::ConnectError {
    connect::ConnectError::from(std::io::Error::from(std::io::ErrorKind::TimedOut))
}
