//! Datagrams between keepers, over UDP.

use serde::{Deserialize, Serialize};
use waxwing_contract::message;
use waxwing_contract::token_balance;
use waxwing_machine::fleet;
use waxwing_machine::membership;
use waxwing_timeline::stamp;
use waxwing_units::id;
use waxwing_units::rate;

/// The version of the datagrams.
pub const VERSION: u8 = 1;

/// Largest datagram that is sent, in bytes.
pub const DATAGRAM_MAX_BYTES: usize = 1_400;

/// The result of reading or writing a datagram.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells why a datagram can't be read or written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The datagram has no content.
    #[error("the datagram is empty")]
    Empty,
    /// The datagram is of another version.
    #[error("the datagram is of version {version}, this release reads {VERSION}")]
    Version {
        /// The version that was found.
        version: u8,
    },
    /// The content can't be decoded, or has surplus bytes.
    #[error("the datagram can't be decoded: {0}")]
    Decode(postcard::Error),
    /// The content can't be encoded.
    #[error("the datagram can't be encoded: {0}")]
    Encode(postcard::Error),
}

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A heartbeat.
    Heartbeat(fleet::Heartbeat),
    /// A message about an organisation's contract.
    Contract(message::Message),
    /// A heartbeat of a member that holds shares of contracts.
    MemberHeartbeat(membership::Heartbeat),
    /// Asks for a loan of tokens.
    LoanRequest(LoanRequest),
    /// Answers that.
    Loan(Loan),
}

/// Asks for a loan of tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Names the question.
    pub nonce: id::Nonce,
    /// The organisation whose tokens are wanted.
    pub organisation: id::OrganisationId,
    /// How much is wanted.
    pub requested: rate::NanoTokens,
    /// How much it is needed.
    pub need: token_balance::Need,
}

/// A loan of tokens, which may be nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Names the question.
    pub nonce: id::Nonce,
    /// The organisation whose tokens these are.
    pub organisation: id::OrganisationId,
    /// How much is lent.
    pub amount: rate::NanoTokens,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: message::Peer,
    /// The sender's clock.
    pub stamp: stamp::Stamp,
    /// The content.
    pub body: Body,
}

/// Writes a datagram into `buffer` and returns the bytes to send.
///
/// # Errors
///
/// Returns an error where the datagram does not fit.
pub fn encode<'a>(datagram: &Datagram, buffer: &'a mut [u8]) -> Result<&'a [u8]> {
    let Some((version, rest)) = buffer.split_first_mut() else {
        return Err(Error::Empty);
    };
    *version = VERSION;
    let used = postcard::to_slice(datagram, rest).map_err(Error::Encode)?.len();
    Ok(&buffer[..=used])
}

/// Reads a datagram.
///
/// # Errors
///
/// Returns an error where the bytes are not a whole datagram of this version.
pub fn decode(bytes: &[u8]) -> Result<Datagram> {
    let (version, content) = bytes.split_first().ok_or(Error::Empty)?;
    if *version != VERSION {
        return Err(Error::Version { version: *version });
    }
    let (datagram, surplus) = postcard::take_from_bytes(content).map_err(Error::Decode)?;
    if !surplus.is_empty() {
        return Err(Error::Decode(postcard::Error::DeserializeBadEncoding));
    }
    Ok(datagram)
}
