//! Blocks of addresses.

use std::fmt;
use std::net;
use std::str;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The result of reading a block of addresses.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells that a text is no block of addresses.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is no block of addresses; write an IP number and a length, such as 10.1.0.0/16")]
pub struct Error {
    /// The text that was read.
    pub text: String,
}

/// A block of addresses.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Prefix {
    /// An address in the block.
    pub network: net::IpAddr,
    /// How many leading bits all addresses of the block share.
    pub len_bits: u8,
}

impl Prefix {
    /// Tells whether the block holds an address.
    pub fn contains(&self, address: net::IpAddr) -> bool {
        let shared = match (self.network, address) {
            (net::IpAddr::V4(a), net::IpAddr::V4(b)) => (a.to_bits() ^ b.to_bits()).leading_zeros(),
            (net::IpAddr::V6(a), net::IpAddr::V6(b)) => (a.to_bits() ^ b.to_bits()).leading_zeros(),
            _ => return false,
        };
        shared >= u32::from(self.len_bits)
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.network, self.len_bits)
    }
}

impl str::FromStr for Prefix {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || Error { text: text.to_owned() };
        let (network, len) = text.split_once('/').ok_or_else(bad)?;
        let network: net::IpAddr = network.parse().map_err(|_| bad())?;
        let len_bits: u8 = len.parse().map_err(|_| bad())?;
        let most = if network.is_ipv4() { 32 } else { 128 };
        if len_bits > most {
            return Err(bad());
        }
        Ok(Self { network, len_bits })
    }
}
