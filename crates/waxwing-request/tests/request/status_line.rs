//! A second status line joined to a response.

use waxwing_request::status_line;

#[test]
fn a_status_line_is_found_wherever_it_starts() {
    for joined in ["HTTP/1.1 200 OK", "0HTTP/1.1 503 Busy", "a, bHTTP/1.0 404"] {
        assert!(status_line::is_contained_in(joined.as_bytes()), "{joined}");
    }
}

/// Guards against refusing headers that name the protocol.
#[test]
fn protocol_names_are_not_status_lines() {
    for value in ["", "HTTP/1.1", "HTTP/1.1 proxy", "1.1 cache, HTTP/2.0 200", "http/1.1 200"] {
        assert!(!status_line::is_contained_in(value.as_bytes()), "{value}");
    }
}

#[test]
fn only_a_second_status_line_counts_in_the_first_line() {
    assert!(!status_line::is_repeated_in(b"HTTP/1.1 200 OK\r"));
    assert!(!status_line::is_repeated_in(b""));
    assert!(status_line::is_repeated_in(b"HTTP/1.1 421 MisdHTTP/1.1 200 OK\r"));
}
