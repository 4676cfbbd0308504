//! Charges of this machine that wait for the decision of their account.

use parking_lot::Mutex;
use waxwing_contract::accounts;
use waxwing_contract::charge;
use waxwing_units::id;

/// The number of shards; a charge is in the shard of its organisation's account.
const SHARDS: usize = accounts::SHARDS;

/// Identifies a connection of another process of this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A charge that a process requested, and where its response goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChargeRequest {
    /// The connection that the charge arrived on.
    pub connection: ConnectionId,
    /// The nonce that identifies the charge on that connection.
    pub nonce: id::Nonce,
    /// The organisation that is charged.
    pub organisation: id::OrganisationId,
    /// The request that the token is for.
    pub request: id::RequestId,
}

/// The state of a pending charge.
///
/// Another thread may deliver the decision before the charge is registered.
#[derive(Debug)]
enum State {
    Registered(ChargeRequest),
    Decided(charge::Decision),
}

/// The pending charges of a shard, sorted by their key.
type Shard = Vec<(accounts::PendingCharge, State)>;

/// Charges of this machine that wait for the decision of their account.
#[derive(Debug)]
pub struct Charges {
    shards: Vec<Mutex<Shard>>,
}

impl Default for Charges {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect() }
    }
}

impl Charges {
    fn shard(&self, pending: &accounts::PendingCharge) -> &Mutex<Shard> {
        &self.shards[accounts::Accounts::shard_of(&pending.organisation)]
    }

    /// Registers a pending charge; returns the decision instead if it was delivered before.
    pub fn register(
        &self,
        pending: &accounts::PendingCharge,
        charge_request: &ChargeRequest,
    ) -> Option<charge::Decision> {
        let mut shard = self.shard(pending).lock();
        match shard.binary_search_by(|(key, _)| key.cmp(pending)) {
            Ok(at) => match shard.remove(at).1 {
                State::Decided(decision) => Some(decision),
                State::Registered(_) => None,
            },
            Err(at) => {
                shard.insert(at, (pending.clone(), State::Registered(charge_request.clone())));
                None
            }
        }
    }

    /// Removes a decided charge and returns it; keeps the decision if the charge is not registered
    /// yet.
    pub fn record_decision(
        &self,
        pending: accounts::PendingCharge,
        decision: charge::Decision,
    ) -> Option<ChargeRequest> {
        let mut shard = self.shard(&pending).lock();
        match shard.binary_search_by(|(key, _)| key.cmp(&pending)) {
            Ok(at) => match shard.remove(at).1 {
                State::Registered(charge_request) => Some(charge_request),
                State::Decided(_) => None,
            },
            Err(at) => {
                shard.insert(at, (pending, State::Decided(decision)));
                None
            }
        }
    }
}
