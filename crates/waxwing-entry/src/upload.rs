//! The request's body on its way to the backend server.

use std::cell;
use std::error;
use std::fmt;
use std::pin;
use std::rc;
use std::task;

use futures_util::Stream;
use ntex::http;
use ntex::http::body;
use ntex::util as ntex_util;

/// Tells that the caller's upload broke off or was too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// The caller's connection ended before the end of the body.
    BrokeOff,
    /// The body is larger than the service takes.
    TooLarge,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::BrokeOff => "the upload broke off",
            Self::TooLarge => "the upload is too large",
        })
    }
}

impl error::Error for Broken {}

/// What became of an upload, for the one who sends it.
pub type BrokenCell = rc::Rc<cell::Cell<Option<Broken>>>;

/// A body that is streamed from the caller.
///
/// A break is passed on as a break: the connection to the backend server ends before the body
/// does, so that a part of an upload can't pass for a shorter whole one.
pub struct Upload {
    payload: http::Payload,
    size: body::BodySize,
    passed_bytes: u64,
    max_bytes: u64,
    broken: BrokenCell,
}

impl Upload {
    /// Creates the body of a request with the given Content-Length, if it has one.
    pub const fn new(
        payload: http::Payload,
        len_bytes: Option<u64>,
        max_bytes: u64,
        broken: BrokenCell,
    ) -> Self {
        let size = match len_bytes {
            Some(len_bytes) => body::BodySize::Sized(len_bytes),
            None => body::BodySize::Stream,
        };
        Self { payload, size, passed_bytes: 0, max_bytes, broken }
    }

    fn fail(&self, broken: Broken) -> task::Poll<Option<Chunk>> {
        self.broken.set(Some(broken));
        let error: rc::Rc<dyn error::Error> = rc::Rc::new(broken);
        task::Poll::Ready(Some(Err(error)))
    }

    fn end(&self) -> task::Poll<Option<Chunk>> {
        match self.size {
            body::BodySize::Sized(len_bytes) if self.passed_bytes < len_bytes => {
                self.fail(Broken::BrokeOff)
            }
            _ => task::Poll::Ready(None),
        }
    }
}

/// A part of a body.
type Chunk = Result<ntex_util::Bytes, rc::Rc<dyn error::Error>>;

impl body::MessageBody for Upload {
    fn size(&self) -> body::BodySize {
        self.size
    }

    fn poll_next_chunk(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Option<Chunk>> {
        match task::ready!(pin::Pin::new(&mut self.payload).poll_next(cx)) {
            Some(Ok(chunk)) => {
                self.passed_bytes += chunk.len() as u64;
                if self.passed_bytes > self.max_bytes {
                    return self.fail(Broken::TooLarge);
                }
                task::Poll::Ready(Some(Ok(chunk)))
            }
            Some(Err(_)) => self.fail(Broken::BrokeOff),
            None => self.end(),
        }
    }
}
