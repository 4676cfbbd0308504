//! Recognition of an HTTP status line inside another part of a response.
//!
//! A server that breaks off a response and starts another on the same connection joins the two. The
//! status line of the second then continues a line of the first, and a head read from both names the
//! status of one response and the headers of the other.

/// The start of the status line of every HTTP/1 response, up to the minor version.
const VERSION: &[u8] = b"HTTP/1.";

/// The length of a status line up to its status code: version, minor digit, space and three digits.
const STATUS_END: usize = VERSION.len() + 5;

/// Returns whether `bytes` contain the start of a status line, such as `HTTP/1.1 200`.
pub fn is_contained_in(bytes: &[u8]) -> bool {
    bytes.windows(STATUS_END).any(is_status_line)
}

/// Returns whether the first line of a response contains a second status line after its own.
pub fn is_repeated_in(first_line: &[u8]) -> bool {
    first_line.get(1..).is_some_and(is_contained_in)
}

fn is_status_line(window: &[u8]) -> bool {
    let Some([minor, space, status @ ..]) = window.strip_prefix(VERSION) else {
        return false;
    };
    minor.is_ascii_digit() && *space == b' ' && status.iter().all(u8::is_ascii_digit)
}
