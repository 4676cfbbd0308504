//! A response body that is streamed from a backend server to the caller.

use std::error;
use std::pin;
use std::rc;
use std::task;

use futures_util::Stream;
use ntex::http;
use ntex::http::body;
use ntex::http::header;
use ntex::io;
use ntex::util as ntex_util;
use waxwing_request::body_length;
use waxwing_units::size;

use crate::headers;
use crate::upstream;

/// Called once, when the response's body has ended or is dropped; the argument is whether the body
/// was complete.
pub type OnEnd = Box<dyn FnOnce(bool)>;

/// The body of a backend server's response.
///
/// If the backend server's stream fails or ends early, the caller's connection is closed before the
/// end of the body, so that a truncated response never looks like a complete one. The backend
/// server's slot stays in use until the body has ended.
pub struct ResponseBody {
    payload: http::Payload,
    /// The size that the head of the caller's response states.
    size: body::BodySize,
    length: body_length::BodyLength,
    forwarded_bytes: u64,
    /// The caller's connection.
    connection: Option<io::IoRef>,
    on_end: Option<OnEnd>,
}

/// The error for a body that is shorter than its head states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the body of the response ended early")]
pub struct EndedEarly;

/// A part of the body, or the error that ends it.
type Chunk = Result<ntex_util::Bytes, rc::Rc<dyn error::Error>>;

impl ResponseBody {
    /// Creates the body of a response to the caller on `connection`.
    pub fn new(
        response: &upstream::Response,
        connection: Option<io::IoRef>,
        on_end: OnEnd,
    ) -> Self {
        let upstream::Response { response, length } = response;
        let len_bytes = headers::text(response.headers(), header::CONTENT_LENGTH.as_str());
        let len_bytes = len_bytes.and_then(|text| text.parse().ok());
        Self {
            payload: response.take_payload(),
            size: len_bytes.map_or(body::BodySize::Stream, body::BodySize::Sized),
            length: *length,
            forwarded_bytes: 0,
            connection,
            on_end: Some(on_end),
        }
    }

    fn is_complete(&self) -> bool {
        self.length.is_complete(size::Bytes(self.forwarded_bytes))
    }

    /// Ends the body early.
    ///
    /// The HTTP library responds to an error with a response of its own, whose bytes would complete
    /// the body, so the connection is closed first.
    fn fail(&mut self, error: rc::Rc<dyn error::Error>) -> task::Poll<Option<Chunk>> {
        if let Some(connection) = &self.connection {
            connection.close();
        }
        self.end(false);
        task::Poll::Ready(Some(Err(error)))
    }

    fn end(&mut self, is_complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(is_complete);
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let is_exact = matches!(self.length, body_length::BodyLength::Exact(_));
        self.end(is_exact && self.is_complete());
    }
}

impl body::MessageBody for ResponseBody {
    fn size(&self) -> body::BodySize {
        self.size
    }

    fn poll_next_chunk(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Option<Chunk>> {
        match task::ready!(pin::Pin::new(&mut self.payload).poll_next(cx)) {
            Some(Ok(chunk)) => {
                self.forwarded_bytes += chunk.len() as u64;
                task::Poll::Ready(Some(Ok(chunk)))
            }
            Some(Err(error)) => self.fail(rc::Rc::new(error)),
            None if !self.is_complete() => self.fail(rc::Rc::new(EndedEarly)),
            None => {
                self.end(true);
                task::Poll::Ready(None)
            }
        }
    }
}
