//! A response body that is streamed from a backend server to the caller.

use std::error;
use std::pin;
use std::rc;
use std::task;

use futures_util::Stream;
use ntex::http;
use ntex::http::body;
use ntex::util as ntex_util;

/// Called once, when the response's body has ended or is dropped; the argument is whether the body
/// was complete.
pub type OnEnd = Box<dyn FnOnce(bool)>;

/// The body of a backend server's response.
///
/// If the backend server's stream fails, the caller's connection is closed before the end of the
/// body, so that a truncated response never looks like a shorter complete one. The backend server's
/// slot stays in use until the body has ended.
pub struct ResponseBody {
    payload: http::Payload,
    size: body::BodySize,
    forwarded_bytes: u64,
    on_end: Option<OnEnd>,
}

impl ResponseBody {
    /// Creates the body of a response with the given Content-Length, if it has one.
    pub fn new(payload: http::Payload, len_bytes: Option<u64>, on_end: OnEnd) -> Self {
        let size = len_bytes.map_or(body::BodySize::Stream, body::BodySize::Sized);
        Self { payload, size, forwarded_bytes: 0, on_end: Some(on_end) }
    }

    fn end(&mut self, is_complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(is_complete);
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let is_complete =
            matches!(self.size, body::BodySize::Sized(len) if len == self.forwarded_bytes);
        self.end(is_complete);
    }
}

impl body::MessageBody for ResponseBody {
    fn size(&self) -> body::BodySize {
        self.size
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<ntex_util::Bytes, rc::Rc<dyn error::Error>>>> {
        match task::ready!(pin::Pin::new(&mut self.payload).poll_next(cx)) {
            Some(Ok(chunk)) => {
                self.forwarded_bytes += chunk.len() as u64;
                task::Poll::Ready(Some(Ok(chunk)))
            }
            Some(Err(error)) => {
                self.end(false);
                let error: rc::Rc<dyn error::Error> = rc::Rc::new(error);
                task::Poll::Ready(Some(Err(error)))
            }
            None => {
                self.end(true);
                task::Poll::Ready(None)
            }
        }
    }
}
