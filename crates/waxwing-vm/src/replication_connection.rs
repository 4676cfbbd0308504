//! A connection over which machines replicate the contents of the store.
//!
//! A message is given up when it makes no progress, not after a fixed time as a whole: the first
//! response of a reader can take a narrow or full link for longer than any fixed time.

use std::cell;
use std::io;
use std::net;
use std::time;

use serde::Serialize;
use serde::de;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use waxwing_machine::transfer;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::frame;
use waxwing_protocol::replication;
use waxwing_units::bandwidth;
use waxwing_units::size;

/// How long a message that is sent may make no progress.
const SEND_TIMEOUT: time::Duration = time::Duration::from_millis(2_400);

/// The mean rate that a message must have.
const RATE_MIN: bandwidth::Bandwidth = bandwidth::Bandwidth(128);

/// The most bytes that are handed to the system at once, so that progress is seen.
const PIECE_MAX_BYTES: usize = 16 * 1024;

/// The result of sending or receiving a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a message can't be sent or received.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed or was closed, or the message is invalid.
    #[error("{0}")]
    Frame(#[from] frame::Error),
    /// The message made no progress, or too little.
    #[error("timed out; {0}")]
    TimedOut(transfer::Transfer),
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Frame(error.into())
    }
}

/// A connection to another machine.
pub struct Connection {
    stream: tokio_net::TcpStream,
}

impl Connection {
    /// Connects to a reader within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be established in time.
    pub async fn connect(address: net::SocketAddr, limit: time::Duration) -> Result<Self> {
        let pending = tokio_net::TcpStream::connect(address);
        match timer::timeout(limit, pending).await {
            Ok(stream) => Ok(Self { stream: stream? }),
            Err(timer::Elapsed) => Err(Error::TimedOut(transfer::Transfer::begin(clock::now()))),
        }
    }

    /// Takes a connection that was accepted from another machine.
    pub const fn accepted(stream: tokio_net::TcpStream) -> Self {
        Self { stream }
    }

    /// Receives a message and records its progress in `progress`; `idle_max` is how long nothing may
    /// arrive.
    ///
    /// # Errors
    ///
    /// Returns an error if the message makes no progress, the connection ends, or the message is
    /// invalid.
    pub async fn receive<T: de::DeserializeOwned>(
        &mut self,
        idle_max: time::Duration,
        progress: &cell::Cell<transfer::Transfer>,
    ) -> Result<T> {
        progress.set(transfer::Transfer::begin(clock::now()));
        let limits = transfer::Limits { idle_max, rate_min: RATE_MIN };
        let pending = read(&mut self.stream, progress);
        let result = timer::timeout_transfer(limits, progress, pending).await;
        result.unwrap_or_else(|_| Err(Error::TimedOut(progress.get())))
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message makes no progress, the connection ends, or the message can't be
    /// encoded.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<()> {
        let bytes = frame::encode_as(replication::VERSION, message)?;
        let mut transfer = transfer::Transfer::begin(clock::now());
        transfer.record_length(clock::now(), Some(size::Bytes(bytes.len() as u64)));
        let progress = cell::Cell::new(transfer);
        let limits = transfer::Limits { idle_max: SEND_TIMEOUT, rate_min: RATE_MIN };
        let pending = write(&mut self.stream, &bytes, &progress);
        let result = timer::timeout_transfer(limits, &progress, pending).await;
        result.unwrap_or_else(|_| Err(Error::TimedOut(progress.get())))
    }
}

async fn read<T: de::DeserializeOwned>(
    stream: &mut tokio_net::TcpStream,
    progress: &cell::Cell<transfer::Transfer>,
) -> Result<T> {
    let mut transfer = progress.get();
    let mut head = [0; frame::HEADER_LEN_BYTES];
    stream.read_exact(&mut head).await?;
    let len_bytes = frame::content_len_bytes(replication::VERSION, head)?;
    transfer.record_length(clock::now(), Some(size::Bytes(len_bytes as u64)));
    progress.set(transfer);
    // Grows with what arrives, since the header may state any length.
    let mut content = Vec::new();
    let mut rest = stream.take(len_bytes as u64);
    while content.len() < len_bytes {
        let piece_len_bytes = rest.read_buf(&mut content).await?;
        if piece_len_bytes == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        transfer.record_piece(clock::now(), size::Bytes(piece_len_bytes as u64));
        progress.set(transfer);
    }
    Ok(frame::decode(&content)?)
}

async fn write(
    stream: &mut tokio_net::TcpStream,
    bytes: &[u8],
    progress: &cell::Cell<transfer::Transfer>,
) -> Result<()> {
    let mut transfer = progress.get();
    for piece in bytes.chunks(PIECE_MAX_BYTES) {
        stream.write_all(piece).await?;
        transfer.record_piece(clock::now(), size::Bytes(piece.len() as u64));
        progress.set(transfer);
    }
    Ok(())
}
