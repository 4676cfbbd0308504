//! The charge of one request, from the request for a token to the decision.

use std::fmt;

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::message;

/// Identifies a request of this machine that waits for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket {}", self.0)
    }
}

/// Why a request got no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// The organisation has used up its rate and burst.
    Exhausted {
        /// How long until a token is expected.
        retry_after_ms: units_time::Millis,
    },
    /// No holder responded in time, or those that did declined for another reason than a lack of
    /// tokens; or only the floor part responded and has no tokens, which says nothing about the rest
    /// of the contract. Also the result after a stall of this machine.
    Unreachable,
}

/// The outcome of charging a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// A token was spent and the request may run.
    Admitted,
    /// No token was available and the request must not run.
    Refused(Refusal),
}

/// The immediate result of [`crate::account::Account::charge`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Charge {
    /// The request is decided.
    Decided(Decision),
    /// The decision follows in [`Outbox::decided`] under this ticket.
    Waiting(Ticket),
}

impl Charge {
    /// Returns the decision in place of a ticket that was decided within the call.
    pub(crate) fn resolve(self, out: &mut Outbox) -> Self {
        let Self::Waiting(ticket) = self else {
            return self;
        };
        match out.decided.iter().position(|(decided, _)| *decided == ticket) {
            Some(at) => Self::Decided(out.decided.swap_remove(at).1),
            None => self,
        }
    }
}

/// The machines that a borrower may request tokens from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Targets {
    /// The holder of the base part.
    pub base: Option<id::VmId>,
    /// The holder of the floor part of this machine's failure domain.
    pub floor: Option<(id::FailureDomainId, id::VmId)>,
}

/// Messages and decisions that a call produced, for the caller to deliver.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages to other machines.
    pub outgoing: Vec<message::Outgoing>,
    /// The requests that were decided.
    pub decided: Vec<(Ticket, Decision)>,
}

/// A message body with its receiver, before the account adds the sender.
pub(crate) type Send = (id::VmId, message::Body);

/// Messages and decisions that a call of the borrower produced, for the account to apply.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) sends: Vec<Send>,
    pub(crate) decided: Vec<(Ticket, Decision)>,
}
