//! Watches a connection to a backend server for bytes that don't belong to the response of the request
//! that was sent last.
//!
//! The HTTP library checks for such bytes only when a connection is reused. A faulty server may also
//! send them right before a response, where both are read as one.

use std::cell;
use std::io as std_io;
use std::rc;

use ntex::io;
use waxwing_request::status_line;

/// How far the exchange on a connection has got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Progress {
    /// Nothing was sent since the connection was taken for a request, or it is not in use.
    #[default]
    Idle,
    /// A part of the request was written; no byte of a response was read.
    Written,
    /// A part of a response was read after the last write.
    Responding,
    /// A part of the request was written after a part of a response was read.
    Overlapping,
}

/// The bytes of a status line that are checked; servers send far shorter ones.
const FIRST_LINE_MAX_BYTES: usize = 1_024;

/// The state of a connection, shared by its filter and the request that uses it.
#[derive(Debug, Clone, Default)]
pub struct ResponseGuard {
    state: rc::Rc<State>,
}

#[derive(Debug, Default)]
struct State {
    progress: cell::Cell<Progress>,
    /// What was read of the first line of the response.
    first_line: cell::RefCell<Vec<u8>>,
}

impl ResponseGuard {
    /// Resets the guard for the next request, or for the time in which the connection is not in use.
    pub fn reset(&self) {
        self.state.progress.set(Progress::Idle);
        self.state.first_line.borrow_mut().clear();
    }

    /// Returns whether the response began before the last byte of its request was written.
    pub fn is_premature(&self) -> bool {
        self.state.progress.get() == Progress::Overlapping
    }

    fn record_write(&self) {
        self.state.progress.set(match self.state.progress.get() {
            Progress::Idle | Progress::Written => Progress::Written,
            Progress::Responding | Progress::Overlapping => Progress::Overlapping,
        });
    }

    /// Checks bytes that were read now.
    fn check_read(&self, bytes: &[u8]) -> std_io::Result<()> {
        match self.state.progress.get() {
            Progress::Idle => Err(std_io::Error::other("the server sent bytes without a request")),
            Progress::Written => self.check_first_line(bytes),
            Progress::Responding | Progress::Overlapping => Ok(()),
        }
    }

    /// Checks the first line of a response, which may arrive in parts.
    fn check_first_line(&self, bytes: &[u8]) -> std_io::Result<()> {
        let mut first_line = self.state.first_line.borrow_mut();
        let end = bytes.iter().position(|byte| *byte == b'\n');
        first_line.extend_from_slice(&bytes[..end.unwrap_or(bytes.len())]);
        if end.is_none() && first_line.len() <= FIRST_LINE_MAX_BYTES {
            return Ok(());
        }
        if status_line::is_repeated_in(&first_line) {
            return Err(std_io::Error::other("the status line contains another one"));
        }
        first_line.clear();
        self.state.progress.set(Progress::Responding);
        Ok(())
    }
}

impl io::FilterLayer for ResponseGuard {
    fn process_read_buf(&self, buffers: &io::FilterBuf<'_>) -> std_io::Result<()> {
        buffers.with_read_buffers(|source, unread| {
            let Some(source) = source.as_mut().filter(|source| !source.is_empty()) else {
                return Ok(());
            };
            self.check_read(source)?;
            match unread.is_empty() {
                true => std::mem::swap(source, unread),
                false => {
                    unread.extend_from_slice(source);
                    source.clear();
                }
            }
            Ok(())
        })
    }

    fn process_write_buf(&self, buffers: &io::FilterBuf<'_>) -> std_io::Result<()> {
        buffers.with_write_buffers(|source, written| {
            if !source.is_empty() {
                self.record_write();
                source.move_to(written);
            }
        });
        Ok(())
    }
}
