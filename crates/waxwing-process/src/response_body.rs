//! The body of an HTTP response, read with its progress.

use std::cell;

use futures_util::StreamExt;
use ntex::client;
use ntex::http;
use ntex::http::error as http_error;
use waxwing_machine::transfer;
use waxwing_units::size;

use crate::clock;

/// The result of reading a body.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a body can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is longer than the limit.
    #[error("a body of more than {max}")]
    TooLarge {
        /// The limit.
        max: size::Bytes,
    },
    /// The connection failed, or ended within the body.
    #[error("{0}")]
    Payload(#[from] http_error::PayloadError),
}

/// Reads the body of a response and records its progress, for [`crate::timer::timeout_transfer`].
///
/// # Errors
///
/// Returns an error if the body is longer than `max` or ends early.
pub async fn read(
    response: client::ClientResponse,
    max: size::Bytes,
    progress: &cell::Cell<transfer::Transfer>,
) -> Result<Vec<u8>> {
    let declared_len = response.headers().get(http::header::CONTENT_LENGTH);
    let declared_len: Option<u64> =
        declared_len.and_then(|value| value.to_str().ok()?.parse().ok());
    if declared_len.is_some_and(|len| len > max.0) {
        return Err(Error::TooLarge { max });
    }
    let mut transfer = progress.get();
    transfer.record_length(clock::now(), declared_len.map(size::Bytes));
    progress.set(transfer);
    let mut payload = response.take_payload();
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk?;
        if (body.len() + chunk.len()) as u64 > max.0 {
            return Err(Error::TooLarge { max });
        }
        body.extend_from_slice(&chunk);
        transfer.record_piece(clock::now(), size::Bytes(chunk.len() as u64));
        progress.set(transfer);
    }
    Ok(body)
}
