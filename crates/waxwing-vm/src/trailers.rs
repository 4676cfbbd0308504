//! Skips the trailers of a caller's chunked body, which concern one connection only and are not
//! forwarded.

use std::cell;

use ntex::codec;
use ntex::http::error as http_error;
use ntex::util as ntex_util;

/// The most bytes of trailers that are skipped.
const TRAILERS_MAX_BYTES: usize = 16 * 1024;

/// The end of a line.
const LINE_END: &[u8] = b"\r\n";

/// The error by which the HTTP library reports that the last chunk is followed by something else
/// than the empty line without trailers. It has read the first byte of that by then.
const EMPTY_LINE_MISSING: http_error::DecodeError =
    http_error::DecodeError::InvalidInput("Invalid chunk end CR");

/// Returns whether the HTTP library failed because trailers may follow the last chunk.
pub fn may_follow(error: &http_error::DecodeError) -> bool {
    *error == EMPTY_LINE_MISSING
}

/// Reads trailers up to the empty line that ends them, from the second byte of the first trailer.
#[derive(Debug, Default)]
pub struct TrailersDecoder {
    skipped_bytes: cell::Cell<usize>,
}

impl codec::Decoder for TrailersDecoder {
    type Item = ();
    type Error = http_error::DecodeError;

    fn decode(&self, buffer: &mut ntex_util::BytesMut) -> Result<Option<()>, Self::Error> {
        while let Some(line_bytes) = buffer.windows(LINE_END.len()).position(|at| at == LINE_END) {
            let line = buffer.split_to(line_bytes + LINE_END.len());
            if line_bytes == 0 && self.skipped_bytes.get() > 0 {
                return Ok(Some(()));
            }
            let line = &line[..line_bytes];
            if !line.contains(&b':') || line.contains(&b'\n') {
                return Err(http_error::DecodeError::Header);
            }
            self.skipped_bytes.update(|skipped| skipped + line_bytes + LINE_END.len());
        }
        let read_bytes = self.skipped_bytes.get() + buffer.len();
        match read_bytes > TRAILERS_MAX_BYTES {
            true => Err(http_error::DecodeError::TooLarge(read_bytes)),
            false => Ok(None),
        }
    }
}
