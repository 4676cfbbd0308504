//! What machines say to each other about a contract.

use std::fmt;

use serde::{Deserialize, Serialize};
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::contract;

/// One start of the keeper on one machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The machine.
    pub vm: id::VmId,
    /// The start of the process.
    pub incarnation: id::Incarnation,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation)
    }
}

/// The part of a contract that a message is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PartName {
    /// The base part.
    Base,
    /// The floor part of a failure domain.
    Floor(id::FailureDomainId),
}

/// Why a holder did not grant tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The part has no tokens and won't have any in time.
    Exhausted {
        /// When a token is expected.
        retry_after_ms: units_time::Millis,
    },
    /// The holder has just begun and waits for grants of its predecessor to expire.
    Starting,
    /// The floor part is lent to the holder of the base part.
    Lent,
    /// The machine does not hold the part.
    NotHolder,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A borrower asks a holder for tokens.
    Ask {
        /// The part that is asked for tokens.
        part: PartName,
        /// Tells this question from others of the same borrower.
        nonce: id::Nonce,
        /// Tokens that are needed now; zero asks only whether the holder is there.
        needed: rate::Tokens,
        /// Tokens that are welcome besides, if there are plenty.
        ahead: rate::Tokens,
        /// How long the borrower can wait for the tokens.
        wait_ms: units_time::Millis,
        /// How long ago, by the borrower's estimate, the request was made when the question
        /// arrives.
        age_us: units_time::Micros,
    },
    /// A holder grants tokens.
    Grant {
        /// The part that grants.
        part: PartName,
        /// The question that is answered.
        nonce: id::Nonce,
        /// Granted tokens.
        tokens: rate::Tokens,
        /// How long the borrower must wait before it spends the first token.
        start_after_ms: units_time::Millis,
    },
    /// A holder grants nothing.
    Deny {
        /// The part that denies.
        part: PartName,
        /// The question that is answered.
        nonce: id::Nonce,
        /// The reason.
        denial: Denial,
    },
    /// A borrower has spent or gives back all tokens of a grant.
    Settle {
        /// The part that granted.
        part: PartName,
        /// The question under which the tokens were granted.
        nonce: id::Nonce,
        /// Tokens that were never spent and never will be.
        unspent: rate::Tokens,
    },
    /// The holder of the base part asks for a lease of a floor part.
    LeaseAsk {
        /// The failure domain of the floor part.
        failure_domain: id::FailureDomainId,
        /// Tells this question from others of the same holder.
        nonce: id::Nonce,
    },
    /// The holder of a floor part lends it.
    LeaseGrant {
        /// The failure domain of the floor part.
        failure_domain: id::FailureDomainId,
        /// The question that is answered.
        nonce: id::Nonce,
        /// What is lent.
        lent: contract::RateLimit,
    },
}

/// A message about one organisation's contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The organisation.
    pub organisation: id::OrganisationId,
    /// The sender.
    pub from: Peer,
    /// The start of the receiver that an answer is for; a question goes to any start.
    pub answers: Option<id::Incarnation>,
    /// The content.
    pub body: Body,
}

/// A message and the machine that it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiving machine.
    pub to: id::VmId,
    /// The message.
    pub message: Message,
}
