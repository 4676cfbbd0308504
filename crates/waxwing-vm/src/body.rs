//! Bodies in memory, in segments: a body grows without being copied, and what was sent is released.

use std::collections::VecDeque;
use std::error;
use std::rc;
use std::time;

use futures_util::stream;
use ntex::http::body;
use ntex::util as ntex_util;
use waxwing_units::size;

use crate::memory;

/// The size of a segment, except for the first ones of a short body.
const SEGMENT_BYTES: usize = 64 * 1024;

/// The size of the first segment of a body whose length is not known.
const FIRST_SEGMENT_BYTES: usize = 4 * 1024;

/// A body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    full: Vec<ntex_util::Bytes>,
    last: ntex_util::BytesMut,
    memory: memory::Reservation,
    /// The part of the reservation that no segment uses yet.
    unused: size::Bytes,
    len: size::Bytes,
    wait_max: time::Duration,
}

impl BodyBuffer {
    /// Creates an empty body that waits for memory for `wait_max` at most, each time that it grows.
    pub fn new(memory: memory::Reservation, wait_max: time::Duration) -> Self {
        Self {
            full: Vec::new(),
            last: ntex_util::BytesMut::new(),
            memory,
            unused: size::Bytes(0),
            len: size::Bytes(0),
            wait_max,
        }
    }

    /// Reserves the memory of a body of known length at once, so that it isn't stopped midway.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory is not available in time.
    pub async fn reserve(&mut self, len: size::Bytes) -> memory::Result<()> {
        self.memory.grow(len, self.wait_max).await?;
        self.unused.0 += len.0;
        Ok(())
    }

    /// Returns the number of bytes received.
    pub const fn len(&self) -> size::Bytes {
        self.len
    }

    /// Returns whether nothing was received.
    pub const fn is_empty(&self) -> bool {
        self.len.0 == 0
    }

    /// Appends what was received.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory is not available in time.
    pub async fn push(&mut self, mut bytes: &[u8]) -> memory::Result<()> {
        self.len.0 += bytes.len() as u64;
        while !bytes.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                self.begin_segment(bytes.len()).await?;
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.last.extend_from_slice(now);
            bytes = later;
        }
        Ok(())
    }

    async fn begin_segment(&mut self, needed_bytes: usize) -> memory::Result<()> {
        let grown = if self.full.is_empty() && self.last.is_empty() {
            FIRST_SEGMENT_BYTES
        } else {
            SEGMENT_BYTES
        };
        let unused = usize::try_from(self.unused.0).unwrap_or(usize::MAX);
        let segment_bytes = match unused {
            0 => needed_bytes.clamp(grown, SEGMENT_BYTES),
            _ => unused.min(SEGMENT_BYTES),
        };
        if unused == 0 {
            self.memory.grow(size::Bytes(segment_bytes as u64), self.wait_max).await?;
        } else {
            self.unused.0 -= segment_bytes as u64;
        }
        self.finish_segment();
        self.last = ntex_util::BytesMut::with_capacity(segment_bytes);
        Ok(())
    }

    fn finish_segment(&mut self) {
        if !self.last.is_empty() {
            self.full.push(std::mem::take(&mut self.last).freeze());
        }
    }

    /// Returns the whole body.
    pub fn finish(mut self) -> Body {
        self.finish_segment();
        Body { segments: self.full, len: self.len, memory: Some(self.memory) }
    }
}

/// A complete body.
#[derive(Debug, Default)]
pub struct Body {
    segments: Vec<ntex_util::Bytes>,
    len: size::Bytes,
    /// The memory of the body; `None` if that is not counted.
    memory: Option<memory::Reservation>,
}

impl Body {
    /// Returns the number of bytes.
    pub const fn len(&self) -> size::Bytes {
        self.len
    }

    /// Returns whether the body has no bytes.
    pub const fn is_empty(&self) -> bool {
        self.len.0 == 0
    }

    /// Returns the segments, which share the memory of the body.
    pub fn segments(&self) -> rc::Rc<[ntex_util::Bytes]> {
        self.segments.as_slice().into()
    }

    /// Returns the body as what remains to be sent.
    pub fn into_unsent(self) -> UnsentBody {
        UnsentBody { segments: self.segments.into(), memory: self.memory }
    }
}

impl From<ntex_util::Bytes> for Body {
    fn from(bytes: ntex_util::Bytes) -> Self {
        let len = size::Bytes(bytes.len() as u64);
        let segments = if bytes.is_empty() { Vec::new() } else { vec![bytes] };
        Self { segments, len, memory: None }
    }
}

/// The part of a body that was not sent yet.
#[derive(Debug)]
pub struct UnsentBody {
    segments: VecDeque<ntex_util::Bytes>,
    memory: Option<memory::Reservation>,
}

impl UnsentBody {
    /// Removes and returns the next part to send; `None` once all were returned.
    pub fn next_segment(&mut self) -> Option<ntex_util::Bytes> {
        self.segments.pop_front()
    }

    /// Returns whether nothing remains to be sent.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Releases the memory of `bytes` that were sent.
    pub fn release(&mut self, bytes: usize) {
        if let Some(memory) = &mut self.memory {
            memory.shrink(size::Bytes(bytes as u64));
        }
    }
}

/// Returns segments as the body of a request of the HTTP client.
pub fn client_body(segments: &rc::Rc<[ntex_util::Bytes]>) -> body::Body {
    match segments.as_ref() {
        [] => body::Body::Bytes(ntex_util::Bytes::new()),
        [only] => body::Body::Bytes(only.clone()),
        all => {
            let len = all.iter().map(|segment| segment.len() as u64).sum();
            let parts: Vec<Result<_, rc::Rc<dyn error::Error>>> =
                all.iter().cloned().map(Ok).collect();
            body::Body::from_message(body::SizedStream::new(len, stream::iter(parts)))
        }
    }
}
