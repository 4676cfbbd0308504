//! A caller's HTTP/1.1 connection: requests are read one by one, handled concurrently, and answered
//! in the order of their arrival.
//!
//! A caller may pipeline requests. If they were handled one by one, each would wait for all before
//! it, so up to `PIPELINED_MAX` of a connection are handled concurrently. A body is read to its
//! end before the next request is.

use std::cell;
use std::future::{self, Future};
use std::io as std_io;
use std::pin;
use std::rc;
use std::task;
use std::time;

use futures_util::StreamExt;
use futures_util::stream;
use ntex::http;
use ntex::http::body;
use ntex::http::error as http_error;
use ntex::http::h1;
use ntex::http::header;
use ntex::io;
use ntex::util as ntex_util;
use waxwing_process::timer;

use crate::forward;
use crate::trailers;
use crate::vm;

/// How long a caller's connection may be idle.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(120);

/// How long reading the head of a request may take.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// How long sending the last response on a connection may take.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long what a caller still sends is read and dropped after the last response.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The most requests of one connection that are handled concurrently.
const PIPELINED_MAX: usize = 16;

/// The most headers of a request: as many as fit into the largest head that the HTTP library reads.
const HEADERS_MAX: usize = 16 * 1024;

/// The interim response to a caller that sent `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What was read from a caller's connection.
enum Incoming {
    /// A request, the codec state for its response, and whether its body was read to its end.
    Request(Box<forward::PendingRequest>, h1::Codec, bool),
    /// Bytes that are not a valid request, or a head that did not arrive in time; the connection
    /// ends with this status.
    Malformed(http::StatusCode),
    /// No bytes arrived within the idle timeout.
    Idle,
}

/// Reads the requests of a connection.
struct RequestReader<'a> {
    io: &'a io::IoBoxed,
    codec: h1::Codec,
    vm: &'a vm::Shared,
    state: &'a ConnectionState,
    is_finished: bool,
}

/// State that the reading and the writing side of a connection share.
#[derive(Default)]
struct ConnectionState {
    /// Whether a request is being read.
    is_reading: cell::Cell<bool>,
    /// Requests whose responses were not written yet.
    pending_responses: cell::Cell<usize>,
}

/// A response with what sending it takes.
struct EncodableResponse {
    response: http::Response,
    /// Encodes the response.
    codec: h1::Codec,
    /// Counts the request as in progress, if it was one.
    in_flight: Option<forward::InFlightGuard>,
}

/// What a connection waits for.
enum Event {
    /// The next response in order is ready.
    Response(EncodableResponse),
    /// All written responses were sent, or can't be.
    Sent,
    /// A request, an error or an idle timeout came from the reading side.
    Incoming(Incoming),
    /// The caller disconnected.
    Disconnected,
}

/// Serves a caller's connection until its end.
///
/// When the caller disconnects, its requests in progress are dropped, which cancels the attempts at
/// backend servers.
pub async fn serve(io: io::IoBoxed, vm: vm::Shared, pool: forward::LocalPool) {
    let state = ConnectionState::default();
    let http = http::HttpServiceConfig::new().set_max_headers(HEADERS_MAX);
    let codec = h1::Codec::new(0, ntex::SharedCfg::new("caller").add(http).build().into());
    let reader = RequestReader { io: &io, codec, vm: &vm, state: &state, is_finished: false };
    let mut incoming = pin::pin!(stream::unfold(reader, RequestReader::next));
    let mut disconnected = pin::pin!(io.on_disconnect());
    let mut responses = stream::FuturesOrdered::new();
    let mut unsent = Vec::new();
    let mut accepts_requests = true;
    loop {
        let may_read = accepts_requests && responses.len() < PIPELINED_MAX;
        let event = future::poll_fn(|context| {
            if let task::Poll::Ready(Some(response)) = responses.poll_next_unpin(context) {
                return task::Poll::Ready(Event::Response(response));
            }
            if !unsent.is_empty() && io.poll_flush(context, true).is_ready() {
                return task::Poll::Ready(Event::Sent);
            }
            if may_read && let task::Poll::Ready(next) = incoming.as_mut().poll_next_unpin(context)
            {
                return task::Poll::Ready(next.map_or(Event::Disconnected, Event::Incoming));
            }
            disconnected.as_mut().poll(context).map(|()| Event::Disconnected)
        });
        match event.await {
            Event::Disconnected => return,
            Event::Sent => unsent.clear(),
            Event::Incoming(Incoming::Idle) if responses.is_empty() => break,
            Event::Incoming(Incoming::Idle) => (),
            Event::Incoming(Incoming::Malformed(status)) => {
                accepts_requests = false;
                let codec = h1::Codec::new(0, ntex::Cfg::default());
                responses.push_back(respond(Work::Malformed(status), codec, &vm, &pool));
            }
            Event::Incoming(Incoming::Request(pending, codec, is_body_complete)) => {
                accepts_requests &= codec.keepalive() && is_body_complete;
                responses.push_back(respond(Work::Request(pending), codec, &vm, &pool));
            }
            Event::Response(mut response) => {
                unsent.extend(response.in_flight.take());
                accepts_requests &= vm.stage() == vm::Stage::Serving || state.is_reading.get();
                let is_last = responses.is_empty() && !accepts_requests;
                if !write(&io, response, is_last) || is_last {
                    break;
                }
            }
        }
        state.pending_responses.set(responses.len());
    }
    close(&io, unsent).await;
}

/// What a response is produced for.
enum Work {
    Request(Box<forward::PendingRequest>),
    Malformed(http::StatusCode),
}

async fn respond(
    work: Work,
    codec: h1::Codec,
    vm: &vm::Shared,
    pool: &forward::LocalPool,
) -> EncodableResponse {
    match work {
        Work::Request(pending) => {
            let forward::ResponseForCaller { response, in_flight } =
                forward::forward(vm, pool, *pending).await;
            EncodableResponse { response, codec, in_flight: Some(in_flight) }
        }
        Work::Malformed(status) => {
            EncodableResponse { response: http::Response::new(status), codec, in_flight: None }
        }
    }
}

/// Writes a response; returns false if it can't be encoded, or if the codec ends the connection
/// although more responses were to follow.
fn write(io: &io::IoBoxed, encodable: EncodableResponse, is_last: bool) -> bool {
    let EncodableResponse { response, codec, .. } = encodable;
    let (mut head, body) = response.into_parts();
    if is_last {
        head.head_mut().set_connection_type(http::ConnectionType::Close);
    }
    let bytes = match body {
        body::ResponseBody::Body(body::Body::Bytes(bytes))
        | body::ResponseBody::Other(body::Body::Bytes(bytes)) => bytes,
        _ => ntex_util::Bytes::new(),
    };
    let size = body::BodySize::Sized(bytes.len() as u64);
    let encoded =
        io.encode(h1::Message::Item((head, size)), &codec).and_then(|()| match bytes.is_empty() {
            true => Ok(()),
            false => io.encode(h1::Message::Chunk(Some(bytes)), &codec),
        });
    if let Err(error) = &encoded {
        log::info!("can't encode a response: {error}");
    }
    encoded.is_ok() && (codec.keepalive() || is_last)
}

/// Closes a connection after all written bytes were sent; `unsent` is dropped then.
///
/// What the caller still sends is read and dropped until it closes the connection, for
/// [`LINGER_TIMEOUT`] at most. Closing with unread bytes, or before requests that are under way arrive,
/// would reset the connection, and the caller's system then drops responses that it has not delivered.
async fn close(io: &io::IoBoxed, unsent: Vec<forward::InFlightGuard>) {
    match timer::timeout(FLUSH_TIMEOUT, io.flush(true)).await {
        Ok(Ok(())) => drop(timer::timeout(LINGER_TIMEOUT, drop_input(io)).await),
        Ok(Err(error)) => log::debug!("sending the last response to a caller failed: {error}"),
        Err(timer::Elapsed) => log::info!("a caller did not read its last response in time"),
    }
    drop(unsent);
    if let Ok(Err(error)) = timer::timeout(FLUSH_TIMEOUT, io.shutdown()).await {
        log::debug!("closing a caller's connection failed: {error}");
    }
}

/// Reads and drops what arrives, until the caller closes the connection.
async fn drop_input(io: &io::IoBoxed) {
    loop {
        io.with_read_buf(|buffer| buffer.clear());
        if !matches!(io.read_ready().await, Ok(Some(()))) {
            return;
        }
    }
}

impl RequestReader<'_> {
    /// Returns what is read next; `None` once the caller has disconnected.
    async fn next(mut self) -> Option<(Incoming, Self)> {
        if self.is_finished {
            return None;
        }
        let idle = timer::timeout(IDLE_TIMEOUT, self.first_bytes()).await;
        match idle {
            Err(timer::Elapsed) => return Some((Incoming::Idle, self)),
            Ok(has_bytes) if !has_bytes => return None,
            Ok(_) => (),
        }
        let head = timer::timeout(HEAD_TIMEOUT, self.io.recv(&self.codec)).await;
        let (request, payload) = match head {
            Ok(Ok(Some(read))) => read,
            Ok(Ok(None) | Err(ntex_util::Either::Right(_))) => return None,
            Ok(Err(ntex_util::Either::Left(error))) => return Some(self.malformed(&error)),
            Err(timer::Elapsed) => {
                self.is_finished = true;
                return Some((Incoming::Malformed(http::StatusCode::REQUEST_TIMEOUT), self));
            }
        };
        let codec = self.codec.clone();
        self.state.is_reading.set(true);
        let pending = self.receive(request, payload).await;
        self.state.is_reading.set(false);
        Some((Incoming::Request(Box::new(pending), codec, !self.is_finished), self))
    }

    /// Waits for the first bytes of a request; returns false if the caller disconnects before.
    async fn first_bytes(&self) -> bool {
        if !self.io.with_read_buf(|buffer| buffer.is_empty()) {
            return true;
        }
        matches!(self.io.read_ready().await, Ok(Some(())))
    }

    fn malformed(mut self, error: &http_error::DecodeError) -> (Incoming, Self) {
        log::info!("a caller sent a malformed request: {error}");
        self.is_finished = true;
        let status = match error {
            http_error::DecodeError::MaxHeaders | http_error::DecodeError::TooLarge(_) => {
                http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            _ => http::StatusCode::BAD_REQUEST,
        };
        (Incoming::Malformed(status), self)
    }

    /// Reads the body of a request and registers it as in progress.
    async fn receive(
        &mut self,
        request: http::Request,
        payload: h1::PayloadType,
    ) -> forward::PendingRequest {
        let has_length = request.head().headers().contains_key(header::CONTENT_LENGTH);
        let decoder = match payload {
            h1::PayloadType::None => None,
            // The upgrade that the caller asks for is not made, so no bytes belong to it.
            h1::PayloadType::Stream(_) if !has_length => None,
            h1::PayloadType::Payload(decoder) | h1::PayloadType::Stream(decoder) => Some(decoder),
        };
        if decoder.is_some() && request.head().expect() && self.state.pending_responses.get() == 0 {
            self.send_continue();
        }
        let is_complete = rc::Rc::new(cell::Cell::new(decoder.is_none()));
        let chunks = Chunks { io: self.io, decoder, is_complete: is_complete.clone() };
        let chunks = pin::pin!(stream::unfold(chunks, Chunks::next));
        let pending = forward::begin(self.vm, request.head(), chunks).await;
        // The rest of an incomplete body can't be distinguished from the next request.
        self.is_finished = !is_complete.get();
        pending
    }

    fn send_continue(&self) {
        if let Err(error) = self.io.encode_slice(CONTINUE) {
            log::debug!("can't send 100 Continue to a caller: {error}");
        }
    }
}

/// The body of a request, as a stream of chunks.
struct Chunks<'a> {
    io: &'a io::IoBoxed,
    decoder: Option<h1::PayloadDecoder>,
    is_complete: rc::Rc<cell::Cell<bool>>,
}

impl Chunks<'_> {
    async fn next(mut self) -> Option<(forward::Chunk, Self)> {
        let decoder = self.decoder.take()?;
        let error = match self.io.recv(&decoder).await {
            Ok(Some(h1::PayloadItem::Chunk(bytes))) => {
                self.decoder = Some(decoder);
                return Some((Ok(bytes), self));
            }
            Ok(Some(h1::PayloadItem::Eof)) => None,
            Err(ntex_util::Either::Left(error)) if trailers::may_follow(&error) => {
                reading_error(self.io.recv(&trailers::TrailersDecoder::default()).await)
            }
            read => reading_error(read),
        };
        if let Some(error) = error {
            return Some((Err(error), self));
        }
        self.is_complete.set(true);
        None
    }
}

/// Returns why nothing was read; `None` if something was.
fn reading_error<T>(
    read: Result<Option<T>, ntex_util::Either<http_error::DecodeError, std_io::Error>>,
) -> Option<String> {
    match read {
        Ok(Some(_)) => None,
        Ok(None) => Some("the caller has gone".to_owned()),
        Err(ntex_util::Either::Left(error)) => Some(error.to_string()),
        Err(ntex_util::Either::Right(error)) => Some(error.to_string()),
    }
}
