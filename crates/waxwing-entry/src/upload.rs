//! A request body that is streamed from the caller to a backend server.

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

/// Why an upload ended before its body was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadError {
    /// The caller's stream failed or ended before the end of the body.
    Incomplete,
    /// The body exceeds the service's limit.
    TooLarge,
}

impl fmt::Display for UploadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Incomplete => "the upload ended early",
            Self::TooLarge => "the upload is too large",
        })
    }
}

impl error::Error for UploadError {}

/// The error of an upload, if it has one. The HTTP client owns the upload while it sends it, so the
/// sender reads the error through this cell.
pub type ErrorCell = rc::Rc<cell::Cell<Option<UploadError>>>;

/// A body that is streamed from the caller.
///
/// If the caller's stream fails or is too large, the connection to the backend server is closed
/// before the end of the body, so that a truncated upload never looks like a shorter complete one.
pub struct Upload {
    payload: http::Payload,
    size: body::BodySize,
    forwarded_bytes: u64,
    max_bytes: u64,
    upload_error: ErrorCell,
}

impl Upload {
    /// Creates the body of a request with the given Content-Length, if it has one. An error is
    /// stored in `upload_error`.
    pub const fn new(
        payload: http::Payload,
        len_bytes: Option<u64>,
        max_bytes: u64,
        upload_error: ErrorCell,
    ) -> Self {
        let size = match len_bytes {
            Some(len_bytes) => body::BodySize::Sized(len_bytes),
            None => body::BodySize::Stream,
        };
        Self { payload, size, forwarded_bytes: 0, max_bytes, upload_error }
    }

    fn fail(&self, upload_error: UploadError) -> task::Poll<Option<Chunk>> {
        self.upload_error.set(Some(upload_error));
        let error: rc::Rc<dyn error::Error> = rc::Rc::new(upload_error);
        task::Poll::Ready(Some(Err(error)))
    }

    fn end(&self) -> task::Poll<Option<Chunk>> {
        match self.size {
            body::BodySize::Sized(len_bytes) if self.forwarded_bytes < len_bytes => {
                self.fail(UploadError::Incomplete)
            }
            _ => task::Poll::Ready(None),
        }
    }
}

/// A part of the body, or the error that ends it.
type Chunk = Result<ntex_util::Bytes, rc::Rc<dyn error::Error>>;

impl body::MessageBody for Upload {
    fn size(&self) -> body::BodySize {
        self.size
    }

    fn poll_next_chunk(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Option<Chunk>> {
        match task::ready!(pin::Pin::new(&mut self.payload).poll_next(cx)) {
            Some(Ok(chunk)) => {
                self.forwarded_bytes += chunk.len() as u64;
                if self.forwarded_bytes > self.max_bytes {
                    return self.fail(UploadError::TooLarge);
                }
                task::Poll::Ready(Some(Ok(chunk)))
            }
            Some(Err(_)) => self.fail(UploadError::Incomplete),
            None => self.end(),
        }
    }
}
