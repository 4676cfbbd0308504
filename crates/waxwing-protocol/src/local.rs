//! Frames between the keeper and the other processes of its machine, over TCP.

use std::fmt;

use serde::{Deserialize, Serialize};
use waxwing_contract::borrower;
use waxwing_machine::fleet;
use waxwing_record::snapshot;
use waxwing_timeline::event;
use waxwing_timeline::stamp;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// What a process says to the keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToKeeper {
    /// The process is there.
    Hello {
        /// The kind of the process.
        role: event::Role,
    },
    /// A request of an organisation wants to run.
    Charge {
        /// Tells this question from others on the connection.
        nonce: id::Nonce,
        /// The organisation.
        organisation: id::OrganisationId,
        /// The request.
        request: id::RequestId,
        /// How long the request can wait.
        wait_ms: units_time::Millis,
        /// The clock of the process.
        stamp: stamp::Stamp,
    },
    /// What the entry process has to do.
    Load(fleet::Load),
}

/// Why a charge was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChargeRefusal {
    /// The contract refuses.
    Contract(borrower::Refusal),
    /// The organisation is not known here.
    UnknownOrganisation,
}

impl fmt::Display for ChargeRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Contract(borrower::Refusal::Exhausted { .. }) => "contract exhausted",
            Self::Contract(borrower::Refusal::Unreachable) => "no holder reachable",
            Self::UnknownOrganisation => "organisation not known",
        })
    }
}

/// What the keeper says to a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromKeeper {
    /// The records in force.
    Records(Box<snapshot::Snapshot>),
    /// The entry VMs that can be reached, this one among them unless it is leaving.
    Fleet(Vec<fleet::ReachableVm>),
    /// The answer to a charge.
    Charged {
        /// The question.
        nonce: id::Nonce,
        /// Whether the request may run.
        decision: Result<(), ChargeRefusal>,
        /// The keeper's clock.
        stamp: stamp::Stamp,
    },
    /// The records in force were the store's newest at some time.
    Confirmed {
        /// How long ago that was.
        ago_ms: units_time::Millis,
    },
    /// The machine leaves: finish what is under way and take nothing new.
    Leave,
}
