//! A caller's connection: requests are read one after the other, carried at the same time, and
//! answered in the order in which they came.
//!
//! A caller may send further requests before the first is answered. Carried one after the other,
//! each would wait for all before it; so up to [`PIPELINED_MAX`] of a connection are carried at the
//! same time. A body is read to its end before the next request is.

use std::cell;
use std::future::{self, Future};
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
use ntex::io;
use ntex::util as ntex_util;
use waxwing_process::timer;

use crate::forward;
use crate::vm;

/// How long a caller's connection may be idle.
const IDLE_MAX: time::Duration = time::Duration::from_secs(120);

/// How long the head of a request may take.
const HEAD_MAX: time::Duration = time::Duration::from_secs(10);

/// How long the last answer on a connection may take to leave.
const FLUSH_MAX: time::Duration = time::Duration::from_secs(5);

/// Requests of one connection that are carried at the same time.
const PIPELINED_MAX: usize = 16;

/// What is sent to a caller that waits to be asked for its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What a caller's connection brings.
enum Incoming {
    /// A request, the codec that knows how to answer it, and whether its body was read to its end.
    Request(Box<forward::Begun>, h1::Codec, bool),
    /// Bytes that are no request.
    Malformed(http::StatusCode),
    /// Nothing for a long time.
    Idle,
}

/// Reads requests from a connection.
struct Reader<'a> {
    io: &'a io::IoBoxed,
    codec: h1::Codec,
    vm: &'a vm::Shared,
    progress: &'a Progress,
    has_ended: bool,
}

/// How far both directions of a connection are.
#[derive(Default)]
struct Progress {
    /// Whether a request is being read.
    is_reading: cell::Cell<bool>,
    /// Requests that are not answered yet.
    unanswered: cell::Cell<usize>,
}

/// An answer, with the codec that writes it.
type Answered = (http::Response, h1::Codec);

/// What happens next on a connection.
enum Step {
    /// The next answer in order is there.
    Answer(Answered),
    /// The caller sent something.
    Incoming(Incoming),
    /// The caller has gone.
    Gone,
}

/// Serves a caller's connection until its end.
///
/// Requests whose caller has gone are dropped, which ends the work at backend servers.
pub async fn serve(io: io::IoBoxed, vm: vm::Shared, kept: forward::Kept) {
    let progress = Progress::default();
    let codec = h1::Codec::new(0, ntex::Cfg::default());
    let reader = Reader { io: &io, codec, vm: &vm, progress: &progress, has_ended: false };
    let mut incoming = pin::pin!(stream::unfold(reader, Reader::next));
    let mut gone = pin::pin!(io.on_disconnect());
    let mut answers = stream::FuturesOrdered::new();
    let mut takes_more = true;
    loop {
        let may_read = takes_more && answers.len() < PIPELINED_MAX;
        let step = future::poll_fn(|context| {
            if let task::Poll::Ready(Some(answer)) = answers.poll_next_unpin(context) {
                return task::Poll::Ready(Step::Answer(answer));
            }
            if may_read && let task::Poll::Ready(next) = incoming.as_mut().poll_next_unpin(context)
            {
                return task::Poll::Ready(next.map_or(Step::Gone, Step::Incoming));
            }
            gone.as_mut().poll(context).map(|()| Step::Gone)
        });
        match step.await {
            Step::Gone => return,
            Step::Incoming(Incoming::Idle) if answers.is_empty() => break,
            Step::Incoming(Incoming::Idle) => (),
            Step::Incoming(Incoming::Malformed(status)) => {
                takes_more = false;
                let codec = h1::Codec::new(0, ntex::Cfg::default());
                answers.push_back(carried(Carrying::Malformed(status), codec, &vm, &kept));
            }
            Step::Incoming(Incoming::Request(begun, codec, is_whole)) => {
                takes_more &= codec.keepalive() && is_whole;
                answers.push_back(carried(Carrying::Request(begun), codec, &vm, &kept));
            }
            Step::Answer(answer) => {
                takes_more &= vm.stage() == vm::Stage::Serving || progress.is_reading.get();
                let is_last = answers.is_empty() && !takes_more;
                if !write(&io, answer, is_last) || is_last {
                    break;
                }
            }
        }
        progress.unanswered.set(answers.len());
    }
    end(&io).await;
}

/// What is carried.
enum Carrying {
    Request(Box<forward::Begun>),
    Malformed(http::StatusCode),
}

async fn carried(
    what: Carrying,
    codec: h1::Codec,
    vm: &vm::Shared,
    kept: &forward::Kept,
) -> Answered {
    let response = match what {
        Carrying::Request(begun) => forward::carry(vm, kept, *begun).await,
        Carrying::Malformed(status) => http::Response::new(status),
    };
    (response, codec)
}

/// Writes an answer; returns whether the connection can take it.
fn write(io: &io::IoBoxed, (response, codec): Answered, is_last: bool) -> bool {
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
        log::info!("an answer could not be written: {error}");
    }
    encoded.is_ok() && (codec.keepalive() || is_last)
}

/// Closes a connection after all that was written has left.
async fn end(io: &io::IoBoxed) {
    let ending = async {
        io.flush(true).await?;
        io.shutdown().await
    };
    match timer::timeout(FLUSH_MAX, ending).await {
        Ok(Ok(())) => (),
        Ok(Err(error)) => log::debug!("a caller's connection broke at its end: {error}"),
        Err(timer::Elapsed) => log::info!("a caller did not read its last answer in time"),
    }
}

impl Reader<'_> {
    /// Returns what comes next; none once the caller has gone.
    async fn next(mut self) -> Option<(Incoming, Self)> {
        if self.has_ended {
            return None;
        }
        let idle = timer::timeout(IDLE_MAX, self.first_bytes()).await;
        match idle {
            Err(timer::Elapsed) => return Some((Incoming::Idle, self)),
            Ok(is_there) if !is_there => return None,
            Ok(_) => (),
        }
        let head = timer::timeout(HEAD_MAX, self.io.recv(&self.codec)).await;
        let (request, payload) = match head {
            Ok(Ok(Some(read))) => read,
            Ok(Ok(None) | Err(ntex_util::Either::Right(_))) => return None,
            Ok(Err(ntex_util::Either::Left(error))) => return Some(self.malformed(&error)),
            Err(timer::Elapsed) => {
                self.has_ended = true;
                return Some((Incoming::Malformed(http::StatusCode::REQUEST_TIMEOUT), self));
            }
        };
        let codec = self.codec.clone();
        self.progress.is_reading.set(true);
        let begun = self.begin(request, payload).await;
        self.progress.is_reading.set(false);
        Some((Incoming::Request(Box::new(begun), codec, !self.has_ended), self))
    }

    /// Waits for the first bytes of a request; returns false if the caller goes before.
    async fn first_bytes(&self) -> bool {
        if !self.io.with_read_buf(|buffer| buffer.is_empty()) {
            return true;
        }
        matches!(self.io.read_ready().await, Ok(Some(())))
    }

    fn malformed(mut self, error: &http_error::DecodeError) -> (Incoming, Self) {
        log::info!("a caller sent what is no request: {error}");
        self.has_ended = true;
        let status = match error {
            http_error::DecodeError::MaxHeaders | http_error::DecodeError::TooLarge(_) => {
                http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            _ => http::StatusCode::BAD_REQUEST,
        };
        (Incoming::Malformed(status), self)
    }

    /// Begins a request and reads its body.
    async fn begin(&mut self, request: http::Request, payload: h1::PayloadType) -> forward::Begun {
        let decoder = match payload {
            h1::PayloadType::None => None,
            h1::PayloadType::Payload(decoder) | h1::PayloadType::Stream(decoder) => Some(decoder),
        };
        if decoder.is_some() && request.head().expect() && self.progress.unanswered.get() == 0 {
            self.ask_for_body();
        }
        let is_read = rc::Rc::new(cell::Cell::new(decoder.is_none()));
        let chunks = Chunks { io: self.io, decoder, is_read: is_read.clone() };
        let chunks = pin::pin!(stream::unfold(chunks, Chunks::next));
        let begun = forward::begin(self.vm, request.head(), chunks).await;
        // What is left of a body can't be told from the next request.
        self.has_ended = !is_read.get();
        begun
    }

    fn ask_for_body(&self) {
        if let Err(error) = self.io.encode_slice(CONTINUE) {
            log::debug!("a caller could not be asked for its body: {error}");
        }
    }
}

/// The body of a request, in the chunks in which it comes.
struct Chunks<'a> {
    io: &'a io::IoBoxed,
    decoder: Option<h1::PayloadDecoder>,
    is_read: rc::Rc<cell::Cell<bool>>,
}

impl Chunks<'_> {
    async fn next(mut self) -> Option<(forward::Chunk, Self)> {
        let decoder = self.decoder.take()?;
        match self.io.recv(&decoder).await {
            Ok(Some(h1::PayloadItem::Chunk(bytes))) => {
                self.decoder = Some(decoder);
                Some((Ok(bytes), self))
            }
            Ok(Some(h1::PayloadItem::Eof)) => {
                self.is_read.set(true);
                None
            }
            Ok(None) => Some((Err("the caller has gone".to_owned()), self)),
            Err(ntex_util::Either::Left(error)) => Some((Err(error.to_string()), self)),
            Err(ntex_util::Either::Right(error)) => Some((Err(error.to_string()), self)),
        }
    }
}
