//! The header names of callers, entry VMs and backend servers, and which headers are forwarded.

use ntex::http::header;
use waxwing_units::id;

/// The header with the caller's key.
pub const KEY: &str = "waxwing-key";

/// The header with the id of the request, which the caller may choose; each response repeats it.
pub const REQUEST_ID: &str = "waxwing-request";

/// The header with the time that the caller waits for the response, in milliseconds.
pub const TIMEOUT_MS: &str = "waxwing-timeout-ms";

/// The header in which a caller declares with `true` that its request is idempotent.
pub const IDEMPOTENT: &str = "waxwing-idempotent";

/// The response header that states whether the request ran.
pub const OUTCOME: &str = "waxwing-outcome";

/// The header that tells the backend server how long the caller still waits, in milliseconds.
pub const DEADLINE_MS: &str = "waxwing-deadline-ms";

/// The header that tells the backend server which organisation was charged.
pub const ORGANISATION: &str = "waxwing-organisation";

/// The header with the name of the entry VM that forwarded the request to another one.
pub const FORWARDED_BY: &str = "waxwing-forwarded-by";

/// The response header in which a backend server declares that it did not run the request.
pub const NOT_RUN: &str = "waxwing-not-run";

/// Headers that concern one connection only and are not forwarded, sorted for binary search.
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

/// Headers that an entry VM sets or interprets itself; those of a caller are not forwarded. Sorted
/// for binary search.
const RESERVED: [&str; 9] = [
    DEADLINE_MS,
    FORWARDED_BY,
    IDEMPOTENT,
    KEY,
    NOT_RUN,
    ORGANISATION,
    OUTCOME,
    REQUEST_ID,
    TIMEOUT_MS,
];

/// Returns the value of a header as text; `None` if it is missing or not ASCII text.
pub fn text<'a>(headers: &'a header::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the request id that the caller chose, if it is valid.
pub fn request_id(headers: &header::HeaderMap) -> Option<id::RequestId> {
    text(headers, REQUEST_ID)?.parse().ok()
}

/// Returns the caller's headers that are forwarded to a backend server.
///
/// Dropped are hop-by-hop and reserved headers, `Host`, and every header whose value contains the
/// caller's key.
pub fn upstream_headers(
    headers: &header::HeaderMap,
    key: Option<&[u8]>,
) -> Vec<(header::HeaderName, header::HeaderValue)> {
    let per_connection = listed_in_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_dropped(name.as_str()))
        .filter(|(name, _)| !per_connection.iter().any(|listed| listed == name.as_str()))
        .filter(|(_, value)| !key.is_some_and(|key| contains(value.as_bytes(), key)))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn is_dropped(name: &str) -> bool {
    HOP_BY_HOP.binary_search(&name).is_ok()
        || RESERVED.binary_search(&name).is_ok()
        || name == "host"
}

/// Returns the header names that the `Connection` header lists as hop-by-hop, in lower case.
fn listed_in_connection(headers: &header::HeaderMap) -> Vec<String> {
    let listed = text(headers, "connection").unwrap_or_default();
    listed.split(',').map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Returns whether `part` occurs in `bytes`; false for an empty `part`.
pub fn contains(bytes: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && bytes.windows(part.len()).any(|window| window == part)
}

/// Returns the headers of a backend server's response that are forwarded to the caller.
///
/// Dropped are hop-by-hop headers and those that the entry VM sets itself.
pub fn response_headers(
    headers: &header::HeaderMap,
) -> Vec<(header::HeaderName, header::HeaderValue)> {
    let per_connection = listed_in_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| HOP_BY_HOP.binary_search(&name.as_str()).is_err())
        .filter(|(name, _)| !per_connection.iter().any(|listed| listed == name.as_str()))
        .filter(|(name, _)| !matches!(name.as_str(), NOT_RUN | OUTCOME | REQUEST_ID))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
