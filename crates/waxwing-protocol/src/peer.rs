//! Datagrams between machines, over UDP.
//!
//! A datagram is a version byte and a payload encoded with postcard. Datagrams may be lost; this
//! layer does not retransmit them.

use serde::{Deserialize, Serialize};
use waxwing_contract::message;
use waxwing_contract::token_balance;
use waxwing_machine::fleet;
use waxwing_machine::membership;
use waxwing_machine::region_digest;
use waxwing_timeline::stamp;
use waxwing_units::bandwidth;
use waxwing_units::id;
use waxwing_units::rate;

/// The protocol version that this release writes and accepts.
pub const VERSION: u8 = 1;

/// The largest datagram that is sent, in bytes.
pub const DATAGRAM_MAX_BYTES: usize = 1_400;

/// The result of reading or writing a datagram.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a datagram can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The datagram, or the buffer to write it into, has no bytes.
    #[error("empty datagram")]
    Empty,
    /// The datagram has another protocol version.
    #[error("unsupported datagram version {version}; this release reads version {VERSION}")]
    Version {
        /// The version in the first byte.
        version: u8,
    },
    /// The payload can't be decoded, or bytes follow it.
    #[error("datagram can't be decoded: {0}")]
    Decode(postcard::Error),
    /// The payload can't be encoded, such as one that does not fit into the buffer.
    #[error("datagram can't be encoded: {0}")]
    Encode(postcard::Error),
}

/// The payload of a datagram, by the subsystem that handles it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A heartbeat between keepers.
    Heartbeat(fleet::Heartbeat),
    /// A message between keepers about the tokens of an organisation's contract.
    Contract(message::Message),
    /// A heartbeat between `waxwing-vm` machines, whose fleet divides each contract into shares.
    MemberHeartbeat(membership::Heartbeat),
    /// Requests a loan of tokens from the share of another `waxwing-vm` machine.
    LoanRequest(LoanRequest),
    /// The response to a loan request.
    Loan(Loan),
    /// The bandwidth of the sender's link, beside a `waxwing-vm` machine's heartbeats.
    MemberLink(bandwidth::Bandwidth),
    /// The heartbeats of a region, for the machines of other regions.
    RegionDigest(region_digest::RegionDigest),
}

/// Requests a loan of tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Identifies the request; the response repeats it.
    pub nonce: id::Nonce,
    /// The organisation whose tokens are requested.
    pub organisation: id::OrganisationId,
    /// The amount that the borrower requests.
    pub requested: rate::NanoTokens,
    /// Whether requests wait for the loan or the tokens are prefetched.
    pub need: token_balance::Need,
}

/// A loan of tokens; the amount is zero if the lender has none to spare.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The nonce of the loan request.
    pub nonce: id::Nonce,
    /// The organisation whose tokens are lent.
    pub organisation: id::OrganisationId,
    /// The amount that is lent.
    pub amount: rate::NanoTokens,
}

/// A datagram with its sender and the sender's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The machine that sent the datagram, and its incarnation.
    pub from: message::Peer,
    /// The sender's hybrid logical clock, which orders events of different machines.
    pub stamp: stamp::Stamp,
    /// The payload.
    pub body: Body,
}

/// Encodes a datagram into `buffer` and returns the bytes to send.
///
/// # Errors
///
/// Returns an error if the datagram does not fit into `buffer`.
pub fn encode<'a>(datagram: &Datagram, buffer: &'a mut [u8]) -> Result<&'a [u8]> {
    let Some((version, rest)) = buffer.split_first_mut() else {
        return Err(Error::Empty);
    };
    *version = VERSION;
    let payload_len = postcard::to_slice(datagram, rest).map_err(Error::Encode)?.len();
    Ok(&buffer[..=payload_len])
}

/// Decodes a received datagram.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one datagram of this version.
pub fn decode(bytes: &[u8]) -> Result<Datagram> {
    let (version, payload) = bytes.split_first().ok_or(Error::Empty)?;
    if *version != VERSION {
        return Err(Error::Version { version: *version });
    }
    let (datagram, trailing) = postcard::take_from_bytes(payload).map_err(Error::Decode)?;
    if !trailing.is_empty() {
        return Err(Error::Decode(postcard::Error::DeserializeBadEncoding));
    }
    Ok(datagram)
}
