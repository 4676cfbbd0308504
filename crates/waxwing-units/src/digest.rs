//! The digest by which a caller's key is stored and compared.

use std::fmt;
use std::str;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The length of a digest, in bytes.
const DIGEST_LEN_BYTES: usize = 32;

/// The result of parsing a digest.
pub type Result<T> = std::result::Result<T, Error>;

/// The error for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a key digest is 64 hexadecimal digits")]
pub struct Error;

/// The BLAKE3 digest of a caller's key; the key can't be derived from it.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct KeyDigest([u8; DIGEST_LEN_BYTES]);

impl KeyDigest {
    /// Returns the digest of `key`, as sent by the caller.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl str::FromStr for KeyDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        blake3::Hash::from_hex(text).map(|hash| Self(*hash.as_bytes())).map_err(|_| Error)
    }
}
