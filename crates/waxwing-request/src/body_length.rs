//! The length of a response's body, which tells a truncated response from a complete one.
//!
//! A response that ends with its connection is not accepted: a backend server that fails closes the
//! connection in the same way.

use waxwing_units::size;

/// The result of reading the length of a body.
pub type Result<T> = std::result::Result<T, Error>;

/// The error for a response that does not state the length of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response does not state the length of its body")]
pub struct Error;

/// The parts of a request and its response that determine the length of the body.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResponseHead<'a> {
    /// Whether the method of the request is `HEAD`.
    pub is_response_to_head: bool,
    /// The status code of the response.
    pub status: u16,
    /// The value of `Content-Length`.
    pub content_length: Option<&'a str>,
    /// The value of `Transfer-Encoding`.
    pub transfer_encoding: Option<&'a str>,
}

/// The length of a response's body, as its head states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// The response has no body, whatever its headers state.
    NoBody,
    /// The body has this length.
    Exact(size::Bytes),
    /// The body is sent in chunks, the last of which marks its end.
    Chunked,
}

impl BodyLength {
    /// Reads the length of the body from the head of a response.
    ///
    /// # Errors
    ///
    /// Returns an error if the head does not state it, or if the response is an interim one.
    pub fn of(head: ResponseHead<'_>) -> Result<Self> {
        let is_chunked =
            head.transfer_encoding.is_some_and(|te| te.trim().eq_ignore_ascii_case("chunked"));
        match head.status {
            100..200 => Err(Error),
            204 | 304 => Ok(Self::NoBody),
            _ if head.is_response_to_head => Ok(Self::NoBody),
            _ if is_chunked => Ok(Self::Chunked),
            _ => {
                let len_bytes = head.content_length.and_then(|len| len.trim().parse().ok());
                len_bytes.map(size::Bytes).map(Self::Exact).ok_or(Error)
            }
        }
    }

    /// Returns whether a body that ended after `received` bytes is complete.
    ///
    /// The decoder of a chunked body has already checked that its last chunk arrived.
    pub fn is_complete(self, received: size::Bytes) -> bool {
        match self {
            Self::NoBody | Self::Chunked => true,
            Self::Exact(len) => received == len,
        }
    }
}
