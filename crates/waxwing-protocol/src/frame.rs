//! Length-prefixed frames on a stream.
//!
//! A frame is a header, made of the payload length as four big-endian bytes and a version byte,
//! and a payload encoded with postcard.

use std::io;

use serde::Serialize;
use serde::de;

/// Bytes of the frame header: four for the payload length and one for the version.
pub const HEADER_LEN_BYTES: usize = 5;

/// The version of the messages between the processes of a machine, and between keepers.
pub const VERSION: u8 = 1;

/// The largest payload that is written or read, in bytes.
pub const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The result of reading or writing a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a frame can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stream failed, or ended within a frame.
    #[error("stream error: {0}")]
    Io(#[from] io::Error),
    /// The frame has another protocol version.
    #[error("unsupported frame version {version}; this release reads version {expected}")]
    Version {
        /// The version in the header.
        version: u8,
        /// The version that this release reads.
        expected: u8,
    },
    /// The payload exceeds [`FRAME_MAX_BYTES`].
    #[error("frame payload of {len_bytes} bytes exceeds the limit of {FRAME_MAX_BYTES}")]
    TooLarge {
        /// The length of the payload, in bytes.
        len_bytes: usize,
    },
    /// The payload can't be decoded or encoded.
    #[error("frame payload can't be encoded or decoded: {0}")]
    Content(#[from] postcard::Error),
}

/// Encodes a message as a frame of [`VERSION`], including the header.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the payload exceeds [`FRAME_MAX_BYTES`], and [`Error::Content`]
/// if the message can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    encode_as(VERSION, message)
}

/// Encodes a message as a frame of the given version, including the header.
///
/// # Errors
///
/// Returns the same errors as [`encode`].
pub fn encode_as<T: Serialize>(version: u8, message: &T) -> Result<Vec<u8>> {
    let mut bytes = vec![0; HEADER_LEN_BYTES];
    bytes = postcard::to_extend(message, bytes)?;
    let len_bytes = bytes.len() - HEADER_LEN_BYTES;
    let len = u32::try_from(len_bytes).map_err(|_| Error::TooLarge { len_bytes })?;
    if len_bytes > FRAME_MAX_BYTES {
        return Err(Error::TooLarge { len_bytes });
    }
    bytes[..4].copy_from_slice(&len.to_be_bytes());
    bytes[4] = version;
    Ok(bytes)
}

/// Validates the header of a frame of the given version and returns the length of the payload that
/// follows, in bytes.
///
/// # Errors
///
/// Returns an error if the frame has another version or is too large.
pub fn content_len_bytes(expected: u8, header: [u8; HEADER_LEN_BYTES]) -> Result<usize> {
    let [a, b, c, d, version] = header;
    if version != expected {
        return Err(Error::Version { version, expected });
    }
    let len_bytes = u32::from_be_bytes([a, b, c, d]) as usize;
    if len_bytes > FRAME_MAX_BYTES {
        return Err(Error::TooLarge { len_bytes });
    }
    Ok(len_bytes)
}

/// Decodes the payload of a frame.
///
/// # Errors
///
/// Returns [`Error::Content`] if the payload is not a message of this type.
pub fn decode<T: de::DeserializeOwned>(payload: &[u8]) -> Result<T> {
    Ok(postcard::from_bytes(payload)?)
}

/// Reads one frame from a blocking stream and decodes its message.
///
/// # Errors
///
/// Returns an error if the stream fails or ends, or if the frame is invalid.
pub fn read<T: de::DeserializeOwned>(stream: &mut impl io::Read) -> Result<T> {
    let mut header = [0; HEADER_LEN_BYTES];
    stream.read_exact(&mut header)?;
    let mut payload = vec![0; content_len_bytes(VERSION, header)?];
    stream.read_exact(&mut payload)?;
    decode(&payload)
}

/// Writes one message as a frame to a blocking stream and flushes it.
///
/// # Errors
///
/// Returns an error if the stream fails or the message can't be encoded.
pub fn write<T: Serialize>(stream: &mut impl io::Write, message: &T) -> Result<()> {
    stream.write_all(&encode(message)?)?;
    Ok(stream.flush()?)
}
