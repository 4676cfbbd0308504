//! The answer's body on its way to the caller.

use std::error;
use std::pin;
use std::rc;
use std::task;

use futures_util::Stream;
use ntex::http;
use ntex::http::body;
use ntex::util as ntex_util;

/// Is called once when the answer's body has ended, with whether it was whole.
pub type OnEnd = Box<dyn FnOnce(bool)>;

/// The body of a backend server's answer.
///
/// A break is passed on as a break. While the body is under way the backend server's slot is
/// taken.
pub struct Answer {
    payload: http::Payload,
    size: body::BodySize,
    passed_bytes: u64,
    on_end: Option<OnEnd>,
}

impl Answer {
    /// Creates the body of an answer with the given Content-Length, if it has one.
    pub fn new(payload: http::Payload, len_bytes: Option<u64>, on_end: OnEnd) -> Self {
        let size = len_bytes.map_or(body::BodySize::Stream, body::BodySize::Sized);
        Self { payload, size, passed_bytes: 0, on_end: Some(on_end) }
    }

    fn end(&mut self, is_whole: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(is_whole);
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        let is_whole = matches!(self.size, body::BodySize::Sized(len) if len == self.passed_bytes);
        self.end(is_whole);
    }
}

impl body::MessageBody for Answer {
    fn size(&self) -> body::BodySize {
        self.size
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<ntex_util::Bytes, rc::Rc<dyn error::Error>>>> {
        match task::ready!(pin::Pin::new(&mut self.payload).poll_next(cx)) {
            Some(Ok(chunk)) => {
                self.passed_bytes += chunk.len() as u64;
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
