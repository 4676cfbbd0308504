//! One attempt: a request to a backend server or another entry VM, and the head of its response.
//!
//! Each attempt opens a connection of its own and closes it afterwards. So it is known whether the
//! connection was ever established, and a late or misdirected response can't reach another caller.

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
use waxwing_process::shutdown;
use waxwing_process::timer;
use waxwing_request::attempt;
use waxwing_request::body_length;
use waxwing_units::time as units_time;

use crate::headers;
use crate::upload;

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The body that one attempt sends.
pub enum Body {
    /// The whole body; other attempts can send it again.
    Buffered(ntex_util::Bytes),
    /// The caller's stream, which only one attempt can send, and the cell for its error.
    Streamed(upload::Upload, upload::ErrorCell),
}

/// Who a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient {
    /// A backend server.
    BackendServer,
    /// Another entry VM, which makes attempts of its own and states their outcome.
    EntryVm,
}

/// A request as it is sent to a backend server or another entry VM.
pub struct Request {
    /// Who the request is sent to.
    pub recipient: Recipient,
    /// The HTTP method of the caller's request.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// The headers that are forwarded and those that the entry VM adds.
    pub headers: Vec<(header::HeaderName, header::HeaderValue)>,
    /// The body, which may be empty.
    pub body: Body,
}

/// A response whose head has arrived and whose body is still to be read.
pub struct Response {
    /// The head and the stream of the body.
    pub response: client::ClientResponse,
    /// The length of the body.
    pub length: body_length::BodyLength,
}

/// An attempt that brought no response to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// How far the attempt got.
    pub state: attempt::State,
    /// What ended the attempt.
    pub fault: attempt::Fault,
    /// The error of the caller's upload, if that was the cause.
    pub upload_error: Option<upload::UploadError>,
}

/// The state of an attempt, shared by the connector and the sender.
type StateCell = rc::Rc<cell::Cell<attempt::State>>;

/// Sends a request and waits for the head of the response, until `deadline` or the end of the
/// process.
///
/// # Errors
///
/// Returns how far the attempt got and what ended it.
pub async fn send(
    address: net::SocketAddr,
    request: Request,
    shutdown: &shutdown::Shutdown,
    deadline: units_time::MonoInstant,
) -> Result<Response, Failure> {
    let state: StateCell = rc::Rc::new(cell::Cell::new(attempt::State::Connecting));
    let upload_error = match &request.body {
        Body::Buffered(_) => None,
        Body::Streamed(_, upload_error) => Some(upload_error.clone()),
    };
    let recipient = request.recipient;
    let is_head = request.method == http::Method::HEAD;
    let send_future = send_on_new_connection(address, request, state.clone());
    let result = shutdown.timeout(deadline, send_future).await;
    let fault = match result {
        Ok(Ok(response)) => {
            return check_outcome(recipient, response)
                .and_then(|response| check_length(response, is_head));
        }
        Ok(Err(error)) => fault_of(&error, state.get()),
        Err(timer::Elapsed) => attempt::Fault::DeadlineExceeded,
    };
    let upload_error = upload_error.and_then(|upload_error| upload_error.get());
    let fault = if upload_error.is_some() { attempt::Fault::UploadInterrupted } else { fault };
    Err(Failure { state: state.get(), fault, upload_error })
}

/// Returns a failure where the response declares that the request did not run, or where another
/// entry VM declares that it may have run without a response of a backend server.
fn check_outcome(
    recipient: Recipient,
    response: client::ClientResponse,
) -> Result<client::ClientResponse, Failure> {
    let is_not_run = response.status() == http::StatusCode::SERVICE_UNAVAILABLE
        && headers::text(response.headers(), headers::NOT_RUN) == Some("true");
    let is_unknown = recipient == Recipient::EntryVm
        && headers::text(response.headers(), headers::OUTCOME) == Some("unknown");
    if is_unknown {
        return Err(Failure {
            state: attempt::State::Sent,
            fault: attempt::Fault::Disconnected,
            upload_error: None,
        });
    }
    match is_not_run {
        true => Err(Failure {
            state: attempt::State::ReceivingResponse,
            fault: attempt::Fault::DeclaredNotRun,
            upload_error: None,
        }),
        false => Ok(response),
    }
}

/// Returns a failure where the response does not state the length of its body.
fn check_length(response: client::ClientResponse, is_head: bool) -> Result<Response, Failure> {
    let length = body_length::BodyLength::of(body_length::ResponseHead {
        is_response_to_head: is_head,
        status: response.status().as_u16(),
        content_length: headers::text(response.headers(), header::CONTENT_LENGTH.as_str()),
        transfer_encoding: headers::text(response.headers(), header::TRANSFER_ENCODING.as_str()),
    });
    match length {
        Ok(length) => Ok(Response { response, length }),
        Err(body_length::Error) => Err(Failure {
            state: attempt::State::Sent,
            fault: attempt::Fault::MalformedResponse,
            upload_error: None,
        }),
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
    let client = single_use_client(state).await?;
    let url = format!("http://{address}{}", request.path);
    let mut builder = client.request(request.method, url).address(address).force_close();
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    match request.body {
        Body::Buffered(bytes) if bytes.is_empty() => builder.send().await,
        Body::Buffered(bytes) => builder.send_body(bytes).await,
        Body::Streamed(upload, _) => builder.send_body(body::Body::from_message(upload)).await,
    }
}

/// Creates a client for one request; it sets `state` to `Sending` once its connection is open.
async fn single_use_client(state: StateCell) -> Result<client::Client, client_error::ClientError> {
    let connect = connect::Connector::<http::Uri>::new();
    let state_connector = service::apply_fn_factory(connect, async move |to, connector| {
        let connect_future = connector.call(to);
        let connected = timer::timeout(CONNECT_TIMEOUT, connect_future).await;
        let io = connected.map_err(|timer::Elapsed| connect_timeout_error())??;
        state.set(attempt::State::Sending);
        Ok::<_, connect::ConnectError>(io)
    });
    client::Client::builder()
        .connector::<http::Uri>(client::Connector::new().connector(state_connector))
        .disable_redirects()
        .no_default_headers()
        .disable_timeout()
        .build(ntex::SharedCfg::new("upstream"))
        .await
        .map_err(|_| client_error::ClientError::from(client_error::ConnectError::Unresolved))
}

fn connect_timeout_error() -> connect::ConnectError {
    connect::ConnectError::from(std::io::Error::from(std::io::ErrorKind::TimedOut))
}
