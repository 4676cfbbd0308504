//! What of a caller's headers is used, and what a backend server gets to see.

use ntex::http::header;
use waxwing_units::id;

/// The header with the caller's key.
pub const KEY: &str = "waxwing-key";

/// The header with the request's name; the caller may choose it.
pub const REQUEST: &str = "waxwing-request";

/// The header with how long the caller waits, in milliseconds.
pub const TIMEOUT_MS: &str = "waxwing-timeout-ms";

/// The header with which a caller says that a request is idempotent.
pub const IDEMPOTENT: &str = "waxwing-idempotent";

/// The header that tells the caller whether the request ran.
pub const OUTCOME: &str = "waxwing-outcome";

/// The header that tells the backend server how long the caller still waits, in milliseconds.
pub const DEADLINE_MS: &str = "waxwing-deadline-ms";

/// The header that tells the backend server whose request it is.
pub const ORGANISATION: &str = "waxwing-organisation";

/// The header that names the entry VM which passed a request on.
pub const FORWARDED_BY: &str = "waxwing-forwarded-by";

/// The header with which a backend server says that it did not run a request.
pub const NOT_RUN: &str = "waxwing-not-run";

/// Headers that belong to one connection and are not passed on, sorted.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers of the system that only it may set towards backend servers, sorted.
const RESERVED: [&str; 8] =
    [DEADLINE_MS, FORWARDED_BY, IDEMPOTENT, KEY, NOT_RUN, ORGANISATION, REQUEST, TIMEOUT_MS];

/// Returns the value of a header as text.
pub fn text<'a>(headers: &'a header::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the name that the caller chose for its request, if it is a valid one.
pub fn request_id(headers: &header::HeaderMap) -> Option<id::RequestId> {
    text(headers, REQUEST)?.parse().ok()
}

/// Returns the headers that a backend server gets to see.
///
/// Those of the connection and of the system are left out, and so is every header whose value
/// holds the caller's key.
pub fn passed_on(
    headers: &header::HeaderMap,
    key: Option<&[u8]>,
) -> Vec<(header::HeaderName, header::HeaderValue)> {
    let named = connection_named(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_left_out(name.as_str()))
        .filter(|(name, _)| !named.iter().any(|named| named == name.as_str()))
        .filter(|(_, value)| !key.is_some_and(|key| holds(value.as_bytes(), key)))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn is_left_out(name: &str) -> bool {
    HOP_BY_HOP.binary_search(&name).is_ok()
        || RESERVED.binary_search(&name).is_ok()
        || name == "host"
}

/// Returns the headers that the Connection header names.
fn connection_named(headers: &header::HeaderMap) -> Vec<String> {
    let named = text(headers, "connection").unwrap_or_default();
    named.split(',').map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Tells whether `bytes` hold `part`.
pub fn holds(bytes: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && bytes.windows(part.len()).any(|window| window == part)
}

/// Returns the headers of a backend server's answer that a caller gets to see.
pub fn answered(headers: &header::HeaderMap) -> Vec<(header::HeaderName, header::HeaderValue)> {
    let named = connection_named(headers);
    headers
        .iter()
        .filter(|(name, _)| HOP_BY_HOP.binary_search(&name.as_str()).is_err())
        .filter(|(name, _)| !named.iter().any(|named| named == name.as_str()))
        .filter(|(name, _)| !matches!(name.as_str(), NOT_RUN | OUTCOME | REQUEST))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
