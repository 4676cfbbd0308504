//! A caller's HTTP/1.1 connection: requests are read one by one, handled concurrently, and answered
//! in the order of their arrival.
//!
//! A caller may pipeline requests. If they were handled one by one, each would wait for all before
//! it, so up to `PIPELINED_MAX` of a connection are handled concurrently. A body is read to its
//! end before the next request is. Responses are sent no faster than the caller reads them, and
//! hold their memory until they were sent.

use std::future::{self, Future};
use std::pin;
use std::task;
use std::time;

use futures_util::StreamExt;
use futures_util::stream;
use ntex::http;
use ntex::http::body as http_body;
use ntex::http::h1;
use ntex::io;
use ntex::util as ntex_util;
use waxwing_process::timer;

use crate::body;
use crate::forward;
use crate::memory;
use crate::request_reader;
use crate::vm;

/// How long sending the last part of the last response on a connection may take.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long what a caller still sends is read and dropped after the last response.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The most requests of one connection that are handled concurrently.
const PIPELINED_MAX: usize = 16;

/// What the head of a response counts for among the bytes that are written and not yet sent.
const HEAD_BYTES: usize = 512;

/// The most bytes of responses that are written and not yet sent before the next one is written.
const UNSENT_MAX_BYTES: usize = 64 * 1024;

/// A response with what sending it takes.
struct EncodableResponse {
    head: http::Response<()>,
    body: body::Body,
    /// Encodes the response.
    codec: h1::Codec,
    /// Counts the request as in progress, if it was one.
    in_flight: Option<forward::InFlightGuard>,
}

/// A response of which the head was written.
struct OutgoingResponse {
    body: body::UnsentBody,
    codec: h1::Codec,
    /// The bytes that were written since the last ones were sent.
    written_bytes: usize,
    _in_flight: Option<forward::InFlightGuard>,
}

/// What a connection waits for.
enum Event {
    /// The next response in order is ready.
    Response(EncodableResponse),
    /// All written bytes were sent, or can't be.
    Sent,
    /// A request, an error or an idle timeout came from the reading side.
    Incoming(request_reader::Incoming),
    /// The caller disconnected.
    Disconnected,
    /// The caller does not read, and the memory that is held for it is needed.
    Evicted,
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Its last response was written; the caller learns from it that the connection ends.
    LastResponse,
    /// No request was in progress.
    Idle,
    /// The caller disconnected; nothing can be sent.
    Disconnected,
    /// The memory that is held for responses is needed, and the caller does not read them.
    Evicted,
}

/// Serves a caller's connection until its end.
///
/// When the caller disconnects, its requests in progress are dropped, which cancels the attempts at
/// backend servers.
pub async fn serve(
    io: io::IoBoxed,
    vm: vm::Shared,
    pool: forward::LocalPool,
    memory: memory::SharedConnection,
) {
    let mut outgoing = OutgoingResponses::default();
    // `memory` counts the connection until its descriptor is closed.
    match exchange_all(&io, &vm, &pool, memory.clone(), &mut outgoing).await {
        End::LastResponse => close_after_last_response(&io, outgoing).await,
        End::Idle => shut_down(&io).await,
        End::Disconnected => (),
        End::Evicted => io.terminate(),
    }
}

/// Reads requests and writes responses until the connection ends.
async fn exchange_all(
    io: &io::IoBoxed,
    vm: &vm::Shared,
    pool: &forward::LocalPool,
    memory: memory::SharedConnection,
    outgoing: &mut OutgoingResponses,
) -> End {
    let state = request_reader::ConnectionState::new(memory);
    let reader = request_reader::RequestReader::new(io, vm, &state);
    let mut incoming = pin::pin!(stream::unfold(reader, request_reader::RequestReader::next));
    let mut disconnected = pin::pin!(io.on_disconnect());
    let mut evicted = pin::pin!(state.memory.evicted());
    let mut is_evicted = false;
    let mut exchange = Exchange {
        io,
        vm,
        state: &state,
        responses: stream::FuturesOrdered::new(),
        outgoing,
        accepts_requests: true,
    };
    loop {
        let may_read = exchange.accepts_requests && exchange.responses.len() < PIPELINED_MAX;
        let may_write = exchange.outgoing.has_room();
        let has_unsent = !exchange.outgoing.is_empty();
        let event = future::poll_fn(|context| {
            is_evicted = is_evicted || evicted.as_mut().poll(context).is_ready();
            if is_evicted && has_unsent {
                return task::Poll::Ready(Event::Evicted);
            }
            if may_write
                && let task::Poll::Ready(Some(next)) = exchange.responses.poll_next_unpin(context)
            {
                return task::Poll::Ready(Event::Response(next));
            }
            if has_unsent && io.poll_flush(context, true).is_ready() {
                return task::Poll::Ready(Event::Sent);
            }
            if may_read && let task::Poll::Ready(next) = incoming.as_mut().poll_next_unpin(context)
            {
                return task::Poll::Ready(next.map_or(Event::Disconnected, Event::Incoming));
            }
            disconnected.as_mut().poll(context).map(|()| Event::Disconnected)
        });
        let end = match event.await {
            Event::Disconnected => Some(End::Disconnected),
            Event::Evicted => Some(End::Evicted),
            Event::Sent => exchange.continue_sending(),
            Event::Incoming(incoming) => {
                exchange.handle(incoming, |work, codec| respond(work, codec, vm, pool))
            }
            Event::Response(response) => exchange.send(response),
        };
        if let Some(end) = end {
            return end;
        }
    }
}

/// The requests and responses of a connection.
struct Exchange<'a, R: Future<Output = EncodableResponse>> {
    io: &'a io::IoBoxed,
    vm: &'a vm::Shared,
    state: &'a request_reader::ConnectionState,
    /// The responses that were not written yet, in the order of their requests.
    responses: stream::FuturesOrdered<R>,
    outgoing: &'a mut OutgoingResponses,
    accepts_requests: bool,
}

impl<R: Future<Output = EncodableResponse>> Exchange<'_, R> {
    /// Handles what was read; returns how the connection ends, if it does.
    fn handle(
        &mut self,
        incoming: request_reader::Incoming,
        respond: impl FnOnce(Work, h1::Codec) -> R,
    ) -> Option<End> {
        let has_work = !self.responses.is_empty() || !self.outgoing.is_empty();
        match incoming {
            request_reader::Incoming::Idle if !has_work => return Some(End::Idle),
            request_reader::Incoming::Idle => (),
            request_reader::Incoming::Evicted if !has_work => return Some(End::Idle),
            request_reader::Incoming::Evicted => self.accepts_requests = false,
            request_reader::Incoming::Malformed(status) => {
                self.accepts_requests = false;
                let codec = h1::Codec::new(0, ntex::Cfg::default());
                self.responses.push_back(respond(Work::Malformed(status), codec));
            }
            request_reader::Incoming::Request(pending, codec, is_complete) => {
                self.accepts_requests &= codec.keepalive() && is_complete;
                self.responses.push_back(respond(Work::Request(pending), codec));
            }
        }
        self.finish_step()
    }

    /// Begins to send a response; returns how the connection ends, if it does.
    fn send(&mut self, response: EncodableResponse) -> Option<End> {
        self.accepts_requests &=
            self.vm.stage() == vm::Stage::Serving || self.state.is_reading_body.get();
        let is_last = self.responses.is_empty() && !self.accepts_requests;
        if !self.outgoing.write(self.io, response, is_last) {
            // The codec has ended the connection, so no other response can follow.
            self.accepts_requests = false;
            self.responses.clear();
        }
        self.finish_step()
    }

    /// Writes what follows the bytes that were sent; returns how the connection ends, if it does.
    fn continue_sending(&mut self) -> Option<End> {
        match self.outgoing.write_next(self.io, &self.state.memory) {
            true => self.finish_step(),
            false => Some(End::LastResponse),
        }
    }

    fn finish_step(&self) -> Option<End> {
        self.state.pending_responses.set(self.responses.len());
        self.state.has_unsent.set(!self.outgoing.is_empty());
        self.state.update_phase();
        let is_last_written =
            !self.accepts_requests && self.responses.is_empty() && self.outgoing.is_written();
        is_last_written.then_some(End::LastResponse)
    }
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
            let forward::ResponseForCaller { response, body, in_flight } =
                forward::forward(vm, pool, *pending).await;
            let (head, refusal_body) = response.into_parts();
            let body = match refusal_body {
                http_body::ResponseBody::Body(http_body::Body::Bytes(bytes))
                | http_body::ResponseBody::Other(http_body::Body::Bytes(bytes)) => bytes.into(),
                _ => body,
            };
            EncodableResponse { head, body, codec, in_flight: Some(in_flight) }
        }
        Work::Malformed(status) => {
            let (head, _) = http::Response::new(status).into_parts();
            EncodableResponse { head, body: body::Body::default(), codec, in_flight: None }
        }
    }
}

/// The responses of a connection that were written at least in part, in order; all but the last one
/// were written to their end.
#[derive(Default)]
struct OutgoingResponses {
    responses: Vec<OutgoingResponse>,
}

impl OutgoingResponses {
    /// Returns whether all responses were sent to their ends.
    const fn is_empty(&self) -> bool {
        self.responses.is_empty()
    }

    /// Returns whether all responses were written to their ends.
    fn is_written(&self) -> bool {
        self.responses.last().is_none_or(|last| last.body.is_empty())
    }

    /// Returns whether one more response may be written.
    fn has_room(&self) -> bool {
        let written_bytes: usize =
            self.responses.iter().map(|response| response.written_bytes).sum();
        self.is_written() && written_bytes < UNSENT_MAX_BYTES
    }

    /// Writes the head and the first part of a response; returns false if it can't be encoded, or if
    /// the codec ends the connection although more responses were to follow.
    fn write(&mut self, io: &io::IoBoxed, encodable: EncodableResponse, is_last: bool) -> bool {
        let EncodableResponse { mut head, body, codec, in_flight } = encodable;
        if is_last {
            head.head_mut().set_connection_type(http::ConnectionType::Close);
        }
        let size = http_body::BodySize::Sized(body.len().0);
        let is_encoded = is_encoded(io.encode(h1::Message::Item((head, size)), &codec));
        let is_consistent = codec.keepalive() || is_last;
        let mut response = OutgoingResponse {
            body: body.into_unsent(),
            codec,
            written_bytes: HEAD_BYTES,
            _in_flight: in_flight,
        };
        let is_written = is_encoded && response.write_part(io);
        self.responses.push(response);
        is_written && is_consistent
    }

    /// Releases what was sent and writes the next part; returns false if it can't be encoded.
    fn write_next(&mut self, io: &io::IoBoxed, memory: &memory::Connection) -> bool {
        for response in &mut self.responses {
            memory.record_progress(response.written_bytes);
            response.body.release(response.written_bytes);
            response.written_bytes = 0;
        }
        self.responses.retain(|response| !response.body.is_empty());
        self.responses.iter_mut().all(|response| response.write_part(io))
    }
}

impl OutgoingResponse {
    /// Writes the next part of the body, if any; returns false if it can't be encoded.
    fn write_part(&mut self, io: &io::IoBoxed) -> bool {
        let Some(part) = self.body.next_segment() else {
            return true;
        };
        self.written_bytes += part.len();
        is_encoded(io.encode(h1::Message::Chunk(Some(part)), &self.codec))
    }
}

fn is_encoded(encoded: Result<(), http::error::EncodeError>) -> bool {
    if let Err(error) = &encoded {
        log::info!("can't encode a response: {error}");
    }
    encoded.is_ok()
}

/// Closes a connection after all written bytes were sent; `outgoing` is dropped then.
///
/// What the caller still sends is read and dropped until it closes the connection, for
/// [`LINGER_TIMEOUT`] at most. Closing with unread bytes, or before requests that are under way arrive,
/// would reset the connection, and the caller's system then drops responses that it has not delivered.
async fn close_after_last_response(io: &io::IoBoxed, outgoing: OutgoingResponses) {
    match timer::timeout(FLUSH_TIMEOUT, io.flush(true)).await {
        Ok(Ok(())) => drop(timer::timeout(LINGER_TIMEOUT, drop_input(io)).await),
        Ok(Err(error)) => log::debug!("sending the last response to a caller failed: {error}"),
        Err(timer::Elapsed) => log::info!("a caller did not read its last response in time"),
    }
    drop(outgoing);
    shut_down(io).await;
}

async fn shut_down(io: &io::IoBoxed) {
    if let Ok(Err(error)) = timer::timeout(FLUSH_TIMEOUT, io.shutdown()).await {
        log::debug!("closing a caller's connection failed: {error}");
    }
}

/// Reads and drops what arrives, until the caller closes the connection.
async fn drop_input(io: &io::IoBoxed) {
    loop {
        io.with_read_buf(ntex_util::BytesMut::clear);
        if !matches!(io.read_ready().await, Ok(Some(()))) {
            return;
        }
    }
}
