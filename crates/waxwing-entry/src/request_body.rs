//! A caller's request body: short bodies are buffered for retries, long ones are streamed once.

use futures_util::StreamExt;
use ntex::http;
use ntex::http::header;
use ntex::util as ntex_util;
use ntex::web;
use waxwing_request::outcome;

use crate::entry;
use crate::refusal;
use crate::request_admission;
use crate::upload;
use crate::upstream;

/// The largest body that is buffered before the first attempt, so that a retry can send it again.
pub(crate) const BUFFERED_BODY_MAX_BYTES: u64 = 64 * 1024;

/// A caller's request body, from which each attempt takes its own.
pub(crate) enum RequestBody {
    /// The whole body; empty where there is none.
    Buffered(ntex_util::Bytes),
    /// The caller's stream; `None` once an attempt has taken it.
    Streamed(Option<http::Payload>),
}

/// Reads a short body whole, within the request's deadline; a long one or one without a length is
/// left to be streamed.
pub(crate) async fn receive(
    entry: &entry::Entry,
    request: &web::HttpRequest,
    payload: web::types::Payload,
    admitted: &request_admission::AdmittedRequest,
) -> request_admission::Result<RequestBody> {
    let payload = payload.into_inner();
    let has_body = request.headers().contains_key(header::TRANSFER_ENCODING);
    match request_admission::content_length(request) {
        None if !has_body => Ok(RequestBody::Buffered(ntex_util::Bytes::new())),
        Some(len_bytes) if len_bytes <= BUFFERED_BODY_MAX_BYTES => {
            let reading = read_all(payload, len_bytes);
            let read = entry.shutdown.timeout(admitted.deadline, reading).await;
            let read = read.unwrap_or_else(|_| match entry.shutdown.are_responses_due() {
                true => Err(refusal::Refusal::ShuttingDown),
                false => Err(refusal::Refusal::BodyTimeout),
            });
            read.map(RequestBody::Buffered)
        }
        _ => Ok(RequestBody::Streamed(Some(payload))),
    }
}

/// Reads a body that has to be exactly `len_bytes` long.
pub(crate) async fn read_all(
    mut payload: http::Payload,
    len_bytes: u64,
) -> request_admission::Result<ntex_util::Bytes> {
    let incomplete = refusal::Refusal::BodyIncomplete { outcome: outcome::Outcome::NotRun };
    let mut contents = ntex_util::BytesMut::with_capacity(usize::try_from(len_bytes).unwrap_or(0));
    while let Some(chunk) = payload.next().await {
        contents.extend_from_slice(&chunk.map_err(|_| incomplete.clone())?);
    }
    match contents.len() as u64 == len_bytes {
        true => Ok(contents.freeze()),
        false => Err(incomplete),
    }
}

/// Returns the body for one attempt: a copy that shares the memory, or the caller's stream.
pub(crate) fn upstream_body(
    request: &web::HttpRequest,
    admitted: &request_admission::AdmittedRequest,
    caller_body: &mut RequestBody,
) -> upstream::Body {
    match caller_body {
        RequestBody::Buffered(bytes) => upstream::Body::Buffered(bytes.clone()),
        RequestBody::Streamed(payload) => {
            let payload = payload.take().unwrap_or(http::Payload::None);
            let upload_error = upload::ErrorCell::default();
            let max_bytes = admitted.service.body_max_bytes.0;
            let len_bytes = request_admission::content_length(request);
            let upload = upload::Upload::new(payload, len_bytes, max_bytes, upload_error.clone());
            upstream::Body::Streamed(upload, upload_error)
        }
    }
}
