//! The messages that machines exchange about a contract.

use std::fmt;

use serde::{Deserialize, Serialize};
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::contract;

/// One incarnation of the process that manages contracts on a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The machine that the process runs on.
    pub vm: id::VmId,
    /// The incarnation of the process.
    pub incarnation: id::Incarnation,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation)
    }
}

/// Identifies the part of a contract that a message is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PartName {
    /// The base part, held in the home failure domain.
    Base,
    /// The floor part of a failure domain.
    Floor(id::FailureDomainId),
}

/// Why a holder did not grant tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The part has too few tokens, and the refill comes too late for the request.
    Exhausted {
        /// How long until a token is expected.
        retry_after_ms: units_time::Millis,
    },
    /// The holder has just started and waits until all grants of its predecessor have expired.
    Starting,
    /// The floor part is lent, or about to be lent, to the holder of the base part.
    Lent,
    /// The machine does not hold the part.
    NotHolder,
}

/// The payload of a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A borrower requests tokens from a holder.
    Ask {
        /// The part to take the tokens from.
        part: PartName,
        /// Identifies the request among those of the same borrower.
        nonce: id::Nonce,
        /// Tokens that are needed now; if `prefetch` is zero as well, the message only probes the
        /// holder.
        needed: rate::Tokens,
        /// Tokens to prefetch besides, if the part has tokens to spare.
        prefetch: rate::Tokens,
        /// How long the borrower can wait for the tokens.
        wait_ms: units_time::Millis,
        /// How long before the arrival of this message the caller's request was made, as estimated
        /// by the borrower.
        age_us: units_time::Micros,
    },
    /// A holder grants tokens.
    Grant {
        /// The part that the tokens are taken from.
        part: PartName,
        /// The nonce of the token request.
        nonce: id::Nonce,
        /// The number of granted tokens.
        tokens: rate::Tokens,
        /// How long the borrower must wait before it spends the first token.
        start_after_ms: units_time::Millis,
    },
    /// A holder denies a token request.
    Deny {
        /// The part that was requested.
        part: PartName,
        /// The nonce of the token request.
        nonce: id::Nonce,
        /// Why no tokens are granted.
        denial: Denial,
    },
    /// A borrower ends a grant: it has spent the tokens and returns the unspent ones.
    Settle {
        /// The part that the tokens were taken from.
        part: PartName,
        /// The nonce of the token request that was granted.
        nonce: id::Nonce,
        /// Tokens that were not spent and will not be.
        unspent: rate::Tokens,
    },
    /// The holder of the base part requests or renews the lease of a floor part.
    LeaseAsk {
        /// The failure domain of the floor part.
        failure_domain: id::FailureDomainId,
        /// Identifies the lease request among those of the same holder.
        nonce: id::Nonce,
    },
    /// The holder of a floor part lends it.
    LeaseGrant {
        /// The failure domain of the floor part.
        failure_domain: id::FailureDomainId,
        /// The nonce of the lease request.
        nonce: id::Nonce,
        /// The limit of the lent part.
        lent: contract::RateLimit,
    },
}

/// A message about the contract of one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The organisation whose contract the message is about.
    pub organisation: id::OrganisationId,
    /// The process that sent the message.
    pub from: Peer,
    /// The incarnation of the receiver that a response is for; `None` in a request, which any
    /// incarnation handles.
    pub answers: Option<id::Incarnation>,
    /// The payload.
    pub body: Body,
}

/// A message and the machine to send it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiving machine.
    pub to: id::VmId,
    /// The message to send.
    pub message: Message,
}
