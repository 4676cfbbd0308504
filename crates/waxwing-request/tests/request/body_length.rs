//! Tests the length of a body for each way in which a response can state it.

use waxwing_request::body_length;
use waxwing_units::size;

/// Status, `Content-Length`, `Transfer-Encoding`, and the length.
type Row = (u16, Option<&'static str>, Option<&'static str>, Option<Length>);

type Length = body_length::BodyLength;

const ROWS: [Row; 10] = [
    (200, Some("4"), None, Some(Length::Exact(size::Bytes(4)))),
    (503, Some("0"), None, Some(Length::Exact(size::Bytes(0)))),
    (200, None, Some("Chunked"), Some(Length::Chunked)),
    (200, Some("4"), Some("identity"), Some(Length::Exact(size::Bytes(4)))),
    (204, None, None, Some(Length::NoBody)),
    (304, Some("4"), None, Some(Length::NoBody)),
    (200, None, Some("identity"), None),
    (200, Some("four"), None, None),
    (200, None, None, None),
    (100, Some("0"), None, None),
];

#[test]
fn a_response_without_a_length_is_rejected() {
    for (status, content_length, transfer_encoding, expected) in ROWS {
        let head = |is_response_to_head| body_length::ResponseHead {
            is_response_to_head,
            status,
            content_length,
            transfer_encoding,
        };
        assert_eq!(Length::of(head(false)).ok(), expected, "{:?}", head(false));
        let is_bodiless = Length::of(head(true)) == Ok(Length::NoBody);
        assert_eq!(is_bodiless, status != 100, "{:?}", head(true));
    }
}

#[test]
fn only_a_body_of_the_stated_length_is_complete() {
    let length = Length::Exact(size::Bytes(4));
    let complete: Vec<u64> = (0..6).filter(|len| length.is_complete(size::Bytes(*len))).collect();
    assert_eq!(complete, [4]);
}
