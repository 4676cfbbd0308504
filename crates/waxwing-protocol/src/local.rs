//! Messages between the keeper, which holds a machine's control state, and the lookup and entry
//! processes of the same machine, over TCP on loopback.
//!
//! The keeper pushes its state to every connected process. The entry process sends a charge for
//! each request and its load; charges are matched to their responses by a nonce.

use std::fmt;

use serde::{Deserialize, Serialize};
use waxwing_contract::charge;
use waxwing_machine::fleet;
use waxwing_record::snapshot;
use waxwing_timeline::event;
use waxwing_timeline::stamp;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// A message from a process to the keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToKeeper {
    /// The first message on a connection.
    Hello {
        /// The kind of process that connected.
        role: event::Role,
    },
    /// Requests a token of an organisation's contract for one request.
    Charge {
        /// Identifies the charge on this connection; the response repeats it.
        nonce: id::Nonce,
        /// The organisation to charge.
        organisation: id::OrganisationId,
        /// The request that is charged, for events and logs.
        request: id::RequestId,
        /// How long the request can wait for a token.
        wait_ms: units_time::Millis,
        /// The hybrid logical clock of the process, which orders its events with the keeper's.
        stamp: stamp::Stamp,
    },
    /// The current load of the entry process, which heartbeats carry to other machines.
    Load(fleet::Load),
}

/// Why a charge was refused.
///
/// The text of `Display` is the reason in `TokenRefused` events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChargeRefusal {
    /// The contract has no token for the request, or no holder of it is reachable.
    Contract(charge::Refusal),
    /// The keeper's records have no such organisation.
    UnknownOrganisation,
}

impl fmt::Display for ChargeRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Contract(charge::Refusal::Exhausted { .. }) => "contract exhausted",
            Self::Contract(charge::Refusal::Unreachable) => "no holder reachable",
            Self::UnknownOrganisation => "organisation not known",
        })
    }
}

/// A message from the keeper to a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromKeeper {
    /// The current records; sent on connect and whenever a newer revision is applied.
    Records(Box<snapshot::Snapshot>),
    /// The reachable entry VMs, including this one unless it is leaving.
    Fleet(Vec<fleet::ReachableVm>),
    /// The response to a charge.
    Charged {
        /// The nonce of the charge.
        nonce: id::Nonce,
        /// Whether a token was granted and the request may run.
        decision: Result<(), ChargeRefusal>,
        /// The keeper's hybrid logical clock.
        stamp: stamp::Stamp,
    },
    /// The keeper's current records were confirmed to be the store's newest.
    Confirmed {
        /// The time since the confirmation.
        ago_ms: units_time::Millis,
    },
    /// The machine is shutting down: finish requests in progress and accept no new ones.
    Leave,
}
