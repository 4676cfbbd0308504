//! Length-prefixed frames on a stream.

use std::io;

use serde::Serialize;
use serde::de;

/// Bytes of a frame's head: the length and the version.
pub const HEADER_LEN_BYTES: usize = 5;

/// The version of the frames.
pub const VERSION: u8 = 1;

/// Largest frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The result of reading or writing a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells why a frame can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stream failed or ended.
    #[error("the stream failed: {0}")]
    Io(#[from] io::Error),
    /// The frame is of another version.
    #[error("the frame is of version {version}, this release reads {VERSION}")]
    Version {
        /// The version that was found.
        version: u8,
    },
    /// The frame is too large.
    #[error("the frame has {len_bytes} bytes, at most {FRAME_MAX_BYTES} are read")]
    TooLarge {
        /// The length that was found, in bytes.
        len_bytes: usize,
    },
    /// The content can't be decoded or encoded.
    #[error("the frame's content: {0}")]
    Content(#[from] postcard::Error),
}

/// Encodes a message with its head.
///
/// # Errors
///
/// Returns an error where the message is too large.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut bytes = vec![0; HEADER_LEN_BYTES];
    bytes = postcard::to_extend(message, bytes)?;
    let len_bytes = bytes.len() - HEADER_LEN_BYTES;
    let len = u32::try_from(len_bytes).map_err(|_| Error::TooLarge { len_bytes })?;
    if len_bytes > FRAME_MAX_BYTES {
        return Err(Error::TooLarge { len_bytes });
    }
    bytes[..4].copy_from_slice(&len.to_be_bytes());
    bytes[4] = VERSION;
    Ok(bytes)
}

/// Returns how many bytes follow a frame's head.
///
/// # Errors
///
/// Returns an error where the frame is of another version or too large.
pub fn content_len_bytes(head: [u8; HEADER_LEN_BYTES]) -> Result<usize> {
    let [a, b, c, d, version] = head;
    if version != VERSION {
        return Err(Error::Version { version });
    }
    let len_bytes = u32::from_be_bytes([a, b, c, d]) as usize;
    if len_bytes > FRAME_MAX_BYTES {
        return Err(Error::TooLarge { len_bytes });
    }
    Ok(len_bytes)
}

/// Decodes what follows a frame's head.
///
/// # Errors
///
/// Returns an error where it is no message of this type.
pub fn decode<T: de::DeserializeOwned>(content: &[u8]) -> Result<T> {
    Ok(postcard::from_bytes(content)?)
}

/// Reads one message.
///
/// # Errors
///
/// Returns an error where the stream fails or ends, or the frame can't be read.
pub fn read<T: de::DeserializeOwned>(stream: &mut impl io::Read) -> Result<T> {
    let mut head = [0; HEADER_LEN_BYTES];
    stream.read_exact(&mut head)?;
    let mut content = vec![0; content_len_bytes(head)?];
    stream.read_exact(&mut content)?;
    decode(&content)
}

/// Writes one message.
///
/// # Errors
///
/// Returns an error where the stream fails or the message is too large.
pub fn write<T: Serialize>(stream: &mut impl io::Write, message: &T) -> Result<()> {
    stream.write_all(&encode(message)?)?;
    Ok(stream.flush()?)
}
