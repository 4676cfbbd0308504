//! Reads the requests of a caller's connection, one after the other, with their bodies.

use std::cell;
use std::io as std_io;
use std::pin;
use std::rc;
use std::time;

use futures_util::stream;
use ntex::http;
use ntex::http::error as http_error;
use ntex::http::h1;
use ntex::http::header;
use ntex::io;
use ntex::util as ntex_util;
use waxwing_machine::memory_budget;
use waxwing_process::timer;

use crate::forward;
use crate::head_decoder;
use crate::memory;
use crate::trailers;
use crate::vm;

/// How long a caller's connection may be idle.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(120);

/// How long reading the head of a request may take.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The interim response to a caller that sent `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What was read from a caller's connection.
pub enum Incoming {
    /// A request, the codec state for its response, and whether its body was read to its end.
    Request(Box<forward::PendingRequest>, h1::Codec, bool),
    /// Bytes that are not a valid request, or a head that did not arrive in time or for which there is no
    /// memory; the connection ends with this status.
    Malformed(http::StatusCode),
    /// No bytes arrived within the idle timeout.
    Idle,
    /// No request has begun, and the connection has to give way.
    Evicted,
}

/// State that the reading and the writing side of a connection share.
pub struct ConnectionState {
    /// The memory held for the connection.
    pub memory: memory::SharedConnection,
    /// Whether the body of a request is being read.
    pub is_reading_body: cell::Cell<bool>,
    /// Requests whose responses were not written yet.
    pub pending_responses: cell::Cell<usize>,
    /// Whether a response was not sent to its end.
    pub has_unsent: cell::Cell<bool>,
    is_receiving: cell::Cell<bool>,
}

impl ConnectionState {
    /// Creates the state of a new connection.
    pub const fn new(memory: memory::SharedConnection) -> Self {
        Self {
            memory,
            is_reading_body: cell::Cell::new(false),
            pending_responses: cell::Cell::new(0),
            has_unsent: cell::Cell::new(false),
            is_receiving: cell::Cell::new(false),
        }
    }

    /// Records what the connection waits for.
    pub fn update_phase(&self) {
        self.memory.set_phase(match self.has_unsent.get() {
            true => memory_budget::Phase::Sending,
            false if self.is_receiving.get() => memory_budget::Phase::Receiving,
            false if self.pending_responses.get() > 0 => memory_budget::Phase::Working,
            false => memory_budget::Phase::Idle,
        });
    }

    fn set_receiving(&self, is_receiving: bool) {
        self.is_receiving.set(is_receiving);
        self.update_phase();
    }
}

/// Reads the requests of a connection.
pub struct RequestReader<'a> {
    io: &'a io::IoBoxed,
    head: head_decoder::HeadDecoder,
    vm: &'a vm::Shared,
    state: &'a ConnectionState,
    is_finished: bool,
}

impl<'a> RequestReader<'a> {
    /// Creates the reader of a connection.
    pub fn new(io: &'a io::IoBoxed, vm: &'a vm::Shared, state: &'a ConnectionState) -> Self {
        let head = head_decoder::HeadDecoder::new(state.memory.clone());
        Self { io, head, vm, state, is_finished: false }
    }

    /// Returns what is read next; `None` once the caller has disconnected.
    pub async fn next(mut self) -> Option<(Incoming, Self)> {
        if self.is_finished {
            return None;
        }
        let first_bytes = self.state.memory.unless_evicted(self.first_bytes());
        match timer::timeout(IDLE_TIMEOUT, first_bytes).await {
            Err(timer::Elapsed) => return Some((Incoming::Idle, self)),
            Ok(Err(memory::Full)) => return Some((Incoming::Evicted, self)),
            Ok(Ok(has_bytes)) if !has_bytes => return None,
            Ok(Ok(_)) => (),
        }
        self.state.set_receiving(true);
        let reading = self.state.memory.unless_evicted(self.io.recv(&self.head));
        let (request, payload, memory) = match timer::timeout(HEAD_TIMEOUT, reading).await {
            Ok(Ok(Ok(Some(read)))) => read,
            Ok(Ok(Ok(None) | Err(ntex_util::Either::Right(_)))) => return None,
            Ok(Ok(Err(ntex_util::Either::Left(error)))) => return Some(self.malformed(&error)),
            Ok(Err(full)) => return Some(self.malformed(&head_decoder::Error::MemoryFull(full))),
            Err(timer::Elapsed) => return Some(self.finish(http::StatusCode::REQUEST_TIMEOUT)),
        };
        let codec = self.head.codec();
        self.state.is_reading_body.set(true);
        let pending = self.receive(request, payload, memory).await;
        self.state.is_reading_body.set(false);
        self.state.set_receiving(false);
        Some((Incoming::Request(Box::new(pending), codec, !self.is_finished), self))
    }

    /// Waits for the first bytes of a request; returns false if the caller disconnects before.
    async fn first_bytes(&self) -> bool {
        if !self.io.with_read_buf(|buffer| buffer.is_empty()) {
            return true;
        }
        matches!(self.io.read_ready().await, Ok(Some(())))
    }

    fn malformed(self, error: &head_decoder::Error) -> (Incoming, Self) {
        self.vm.log_malformed(error);
        let status = match error {
            head_decoder::Error::MemoryFull(_) => http::StatusCode::SERVICE_UNAVAILABLE,
            head_decoder::Error::Malformed(
                http_error::DecodeError::MaxHeaders | http_error::DecodeError::TooLarge(_),
            ) => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            head_decoder::Error::Malformed(_) | head_decoder::Error::EmptyLines => {
                http::StatusCode::BAD_REQUEST
            }
        };
        self.finish(status)
    }

    fn finish(mut self, status: http::StatusCode) -> (Incoming, Self) {
        self.is_finished = true;
        self.state.set_receiving(false);
        (Incoming::Malformed(status), self)
    }

    /// Reads the body of a request and registers it as in progress.
    async fn receive(
        &mut self,
        request: http::Request,
        payload: h1::PayloadType,
        memory: memory::Reservation,
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
        let pending = forward::begin(self.vm, request, chunks, memory).await;
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
