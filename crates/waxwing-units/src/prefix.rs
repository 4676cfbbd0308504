//! Blocks of IP addresses in CIDR notation.

use std::fmt;
use std::net;
use std::str;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The result of parsing a block of addresses.
pub type Result<T> = std::result::Result<T, Error>;

/// The error for a text that is not a block of addresses.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not an address block; write an IP address and a length, such as 10.1.0.0/16")]
pub struct Error {
    /// The text that was read.
    pub text: String,
}

/// A block of IPv4 or IPv6 addresses that share their leading bits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Prefix {
    /// An address in the block; bits after the prefix may be set and are ignored.
    pub network: net::IpAddr,
    /// The number of leading bits that all addresses of the block share.
    pub len_bits: u8,
}

impl Prefix {
    /// Returns whether `address` is in the block; an address of the other IP version never is.
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
        let invalid = || Error { text: text.to_owned() };
        let (network, len) = text.split_once('/').ok_or_else(invalid)?;
        let network: net::IpAddr = network.parse().map_err(|_| invalid())?;
        let len_bits: u8 = len.parse().map_err(|_| invalid())?;
        let len_max_bits = if network.is_ipv4() { 32 } else { 128 };
        if len_bits > len_max_bits {
            return Err(invalid());
        }
        Ok(Self { network, len_bits })
    }
}
