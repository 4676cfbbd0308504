//! A request's body before it is known which attempt sends it.

use futures_util::StreamExt;
use ntex::http;
use ntex::http::header;
use ntex::util as ntex_util;
use ntex::web;
use waxwing_process::timer;
use waxwing_request::outcome;

use crate::journey;
use crate::refusal;
use crate::upload;
use crate::upstream;

/// Bodies up to this size are read before they are sent, so that they can be sent again.
pub(crate) const KEPT_BODY_MAX_BYTES: u64 = 64 * 1024;

/// A request's body, before it is known which attempt sends it.
pub(crate) enum Source {
    Kept(ntex_util::Bytes),
    Streamed(Option<http::Payload>),
}

/// Reads a short body, so that it can be sent again; a long one is streamed.
pub(crate) async fn take_body(
    request: &web::HttpRequest,
    payload: web::types::Payload,
    journey: &journey::Journey,
) -> journey::Result<Source> {
    let payload = payload.into_inner();
    let has_body = request.headers().contains_key(header::TRANSFER_ENCODING);
    match journey::content_length(request) {
        None if !has_body => Ok(Source::Kept(ntex_util::Bytes::new())),
        Some(len_bytes) if len_bytes <= KEPT_BODY_MAX_BYTES => {
            let reading = read_all(payload, len_bytes);
            let read = timer::timeout(journey.left(), reading).await;
            let outcome = outcome::Outcome::NotRun;
            read.unwrap_or(Err(refusal::Refusal::UploadBroken { outcome })).map(Source::Kept)
        }
        _ => Ok(Source::Streamed(Some(payload))),
    }
}

pub(crate) async fn read_all(
    mut payload: http::Payload,
    len_bytes: u64,
) -> journey::Result<ntex_util::Bytes> {
    let broken = refusal::Refusal::UploadBroken { outcome: outcome::Outcome::NotRun };
    let mut body = ntex_util::BytesMut::with_capacity(usize::try_from(len_bytes).unwrap_or(0));
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.map_err(|_| broken.clone())?);
    }
    match body.len() as u64 == len_bytes {
        true => Ok(body.freeze()),
        false => Err(broken),
    }
}

pub(crate) fn outgoing_body(
    request: &web::HttpRequest,
    journey: &journey::Journey,
    source: &mut Source,
) -> upstream::Body {
    match source {
        Source::Kept(bytes) => upstream::Body::Kept(bytes.clone()),
        Source::Streamed(payload) => {
            let payload = payload.take().unwrap_or(http::Payload::None);
            let broken = upload::BrokenCell::default();
            let max_bytes = journey.service.body_max_bytes.0;
            let len_bytes = journey::content_length(request);
            let upload = upload::Upload::new(payload, len_bytes, max_bytes, broken.clone());
            upstream::Body::Streamed(upload, broken)
        }
    }
}
