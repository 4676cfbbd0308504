//! Requests of this machine that wait for a token.

use parking_lot::Mutex;
use waxwing_contract::accounts;
use waxwing_contract::borrower;
use waxwing_units::id;

/// Shards of the waiting requests.
const SHARDS: usize = accounts::SHARDS;

/// Names a connection of another process of this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Who asked for a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asker {
    /// The connection.
    pub connection: ConnectionId,
    /// The question on that connection.
    pub nonce: id::Nonce,
    /// The organisation that is charged.
    pub organisation: id::OrganisationId,
    /// The request.
    pub request: id::RequestId,
}

/// What is known of a waiting request.
///
/// The decision may come, on another thread, before the asker is noted.
#[derive(Debug)]
enum Slot {
    Asked(Asker),
    Decided(borrower::Decision),
}

/// Waiting requests sorted by name.
type Shard = Vec<(accounts::PendingCharge, Slot)>;

/// Requests of this machine that wait for a token.
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

    /// Notes who waits for `pending`; returns the decision if it has come already.
    pub fn wait(
        &self,
        pending: &accounts::PendingCharge,
        asker: &Asker,
    ) -> Option<borrower::Decision> {
        let mut shard = self.shard(pending).lock();
        match shard.binary_search_by(|(name, _)| name.cmp(pending)) {
            Ok(at) => match shard.remove(at).1 {
                Slot::Decided(decision) => Some(decision),
                Slot::Asked(_) => None,
            },
            Err(at) => {
                shard.insert(at, (pending.clone(), Slot::Asked(asker.clone())));
                None
            }
        }
    }

    /// Notes a decision; returns who waits for it if that is known already.
    pub fn decide(
        &self,
        pending: accounts::PendingCharge,
        decision: borrower::Decision,
    ) -> Option<Asker> {
        let mut shard = self.shard(&pending).lock();
        match shard.binary_search_by(|(name, _)| name.cmp(&pending)) {
            Ok(at) => match shard.remove(at).1 {
                Slot::Asked(asker) => Some(asker),
                Slot::Decided(_) => None,
            },
            Err(at) => {
                shard.insert(at, (pending, Slot::Decided(decision)));
                None
            }
        }
    }
}
