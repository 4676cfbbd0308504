//! Reads the heads of a caller's requests and counts the memory that they take.

use std::cell;

use ntex::codec;
use ntex::http;
use ntex::http::error as http_error;
use ntex::http::h1;
use ntex::util as ntex_util;
use waxwing_machine::memory_budget;
use waxwing_units::size;

use crate::memory;

/// The most headers of a request: as many as fit into the largest head that is read.
const HEADERS_MAX: usize = 16 * 1024;

/// The memory that each header line takes beside its bytes: an entry in the map of the request, one in
/// the list that is forwarded, and one in the request to the backend server.
const HEADER_LINE_BYTES: u64 = 384;

/// The copies of a head's bytes: as received, and as sent to a backend server.
const HEAD_COPIES: u64 = 2;

/// The bytes of empty lines that may precede a request.
const EMPTY_LINES_MAX_BYTES: usize = 64;

/// Why no request can be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a valid head, or one that is too large.
    #[error("{0}")]
    Malformed(http_error::DecodeError),
    /// Too many empty lines precede the request.
    #[error("more than {EMPTY_LINES_MAX_BYTES} bytes of empty lines")]
    EmptyLines,
    /// No memory is available for the head.
    #[error("{0}")]
    MemoryFull(memory::Full),
}

/// A head with the body's decoder and the memory that the head takes.
pub type Item = (http::Request, h1::PayloadType, memory::Reservation);

/// Reads the heads of one connection.
#[derive(Debug)]
pub struct HeadDecoder {
    codec: h1::Codec,
    connection: memory::SharedConnection,
    /// The memory of the head that is being read.
    memory: cell::RefCell<memory::Reservation>,
    /// The bytes in the buffer that were counted already.
    counted_bytes: cell::Cell<usize>,
    empty_line_bytes: cell::Cell<usize>,
    has_begun: cell::Cell<bool>,
}

impl HeadDecoder {
    /// Creates the decoder of a connection.
    pub fn new(connection: memory::SharedConnection) -> Self {
        let http = http::HttpServiceConfig::new().set_max_headers(HEADERS_MAX);
        let codec = h1::Codec::new(0, ntex::SharedCfg::new("caller").add(http).build().into());
        let memory = cell::RefCell::new(connection.reservation(memory_budget::Purpose::Head));
        Self {
            codec,
            connection,
            memory,
            counted_bytes: cell::Cell::new(0),
            empty_line_bytes: cell::Cell::new(0),
            has_begun: cell::Cell::new(false),
        }
    }

    /// Returns the codec, with the state for the response to the last request.
    pub fn codec(&self) -> h1::Codec {
        self.codec.clone()
    }

    /// Drops the empty lines before a request.
    fn skip_empty_lines(&self, buffer: &mut ntex_util::BytesMut) -> Result<(), Error> {
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let skipped = buffer.iter().take_while(|byte| is_line_end(byte)).count();
        if skipped > 0 {
            drop(buffer.split_to(skipped));
        }
        self.empty_line_bytes.update(|bytes| bytes + skipped);
        self.has_begun.set(!buffer.is_empty());
        match self.empty_line_bytes.get() > EMPTY_LINES_MAX_BYTES {
            true => Err(Error::EmptyLines),
            false => Ok(()),
        }
    }

    /// Counts the part of the head that is new in the buffer.
    fn count(&self, buffer: &[u8]) -> Result<(), Error> {
        let counted = self.counted_bytes.get().min(buffer.len());
        let new = &buffer[counted..head_end(buffer, counted)];
        let lines = new.iter().filter(|byte| **byte == b'\n').count() as u64;
        let bytes = new.len() as u64 * HEAD_COPIES + lines * HEADER_LINE_BYTES;
        self.connection.record_progress(new.len());
        self.memory.borrow_mut().try_grow(size::Bytes(bytes)).map_err(Error::MemoryFull)
    }

    fn begin_next(&self) -> memory::Reservation {
        self.counted_bytes.set(0);
        self.empty_line_bytes.set(0);
        self.has_begun.set(false);
        self.memory.replace(self.connection.reservation(memory_budget::Purpose::Head))
    }
}

/// Returns the end of the head in the buffer, which lies behind `from`; the end of the buffer if the head
/// goes on.
fn head_end(buffer: &[u8], from: usize) -> usize {
    let is_end = |at: &usize| {
        let rest = &buffer[*at..];
        rest.starts_with(b"\n\r\n") || rest.starts_with(b"\n\n")
    };
    // The line end before the empty line may have been counted already.
    (from.saturating_sub(2)..buffer.len())
        .find(is_end)
        .map_or(buffer.len(), |at| (at + 1).max(from))
}

impl codec::Decoder for HeadDecoder {
    type Item = Item;
    type Error = Error;

    fn decode(&self, buffer: &mut ntex_util::BytesMut) -> Result<Option<Item>, Error> {
        if !self.has_begun.get() {
            self.skip_empty_lines(buffer)?;
        }
        if !self.has_begun.get() {
            return Ok(None);
        }
        self.count(buffer)?;
        let read = self.codec.decode(buffer).map_err(Error::Malformed)?;
        self.counted_bytes.set(buffer.len());
        Ok(read.map(|(request, payload)| (request, payload, self.begin_next())))
    }
}
