//! The accounts of all organisations on one machine, in shards with a lock each.

use std::time;

use parking_lot::Mutex;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::account;
use crate::charge;
use crate::contract;
use crate::message;
use crate::options;
use crate::seat;

/// The number of shards.
pub const SHARDS: usize = 16;

/// Identifies a charged request that waits for a decision.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingCharge {
    /// The organisation that is charged.
    pub organisation: id::OrganisationId,
    /// The ticket within the account of the organisation.
    pub ticket: charge::Ticket,
}

/// Messages, decisions and wake-ups that a call produced, for the caller to deliver.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages to other machines.
    pub outgoing: Vec<message::Outgoing>,
    /// The requests that were decided.
    pub decided: Vec<(PendingCharge, charge::Decision)>,
    /// Indexes of shards, and when [`Accounts::tick`] is due next for each of them.
    pub wakes: Vec<(usize, units_time::MonoInstant)>,
}

/// The immediate result of [`Accounts::charge`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Charge {
    /// The request is decided.
    Decided(charge::Decision),
    /// The decision follows in [`Outbox::decided`] under this identifier.
    Waiting(PendingCharge),
    /// No contract exists for the organisation.
    UnknownOrganisation,
}

/// The status of one organisation on this machine, for operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// The organisation that the account charges.
    pub organisation: id::OrganisationId,
    /// The revision of the contract that the account uses.
    pub revision: id::Revision,
    /// The limit that the machine can grant from, if it holds the base part.
    pub base: Option<contract::RateLimit>,
    /// Whether the machine has to read the seat records before it may use its seats.
    pub is_unconfirmed: bool,
}

/// Accounts sorted by organisation.
type Shard = Vec<account::Account>;

/// The accounts of all organisations on one machine.
#[derive(Debug)]
pub struct Accounts {
    options: options::Options,
    me: message::Peer,
    failure_domain: id::FailureDomainId,
    shards: Vec<Mutex<Shard>>,
}

impl Accounts {
    /// Creates the accounts of a machine without any organisation.
    pub fn new(
        options: options::Options,
        me: message::Peer,
        failure_domain: id::FailureDomainId,
    ) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect();
        Self { options, me, failure_domain, shards }
    }

    /// Returns the index of the shard with the account of `organisation`.
    pub fn shard_of(organisation: &id::OrganisationId) -> usize {
        (rendezvous::hash(organisation.as_str()) >> 32) as usize % SHARDS
    }

    /// Replaces the set of contracts; accounts of organisations without a contract are removed.
    pub fn set_contracts(&self, now: units_time::MonoInstant, contracts: &[contract::Contract]) {
        for index in 0..SHARDS {
            let shard_contracts: Vec<&contract::Contract> =
                contracts.iter().filter(|c| Self::shard_of(&c.organisation) == index).collect();
            let mut shard = self.shards[index].lock();
            shard.retain(|a| shard_contracts.iter().any(|c| c.organisation == *a.organisation()));
            for contract in shard_contracts {
                self.set_contract(now, &mut shard, contract);
            }
        }
    }

    fn set_contract(
        &self,
        now: units_time::MonoInstant,
        shard: &mut Shard,
        contract: &contract::Contract,
    ) {
        match shard.binary_search_by(|a| a.organisation().cmp(&contract.organisation)) {
            Ok(at) => shard[at].set_contract(now, contract.clone()),
            Err(at) => {
                let (me, domain) = (self.me.clone(), self.failure_domain.clone());
                let account =
                    account::Account::new(self.options, me, domain, contract.clone(), now);
                shard.insert(at, account);
            }
        }
    }

    /// Applies the seats from a read of the seat records that began at `read_at`.
    pub fn set_seats(
        &self,
        now: units_time::MonoInstant,
        read_at: units_time::MonoInstant,
        tables: &[seat::SeatTable],
        out: &mut Outbox,
    ) {
        for shard in &self.shards {
            for account in shard.lock().iter_mut() {
                let holders = seat::holders_of(account.contract(), tables);
                let mut account_out = charge::Outbox::default();
                account.set_holders(now, read_at, holders, &mut account_out);
                out.append(account.organisation(), account_out);
            }
        }
    }

    /// Stops using all parts for good; called before the seat records are changed accordingly.
    pub fn release_seats(&self) {
        for shard in &self.shards {
            shard.lock().iter_mut().for_each(account::Account::release_seats);
        }
    }

    /// Charges `organisation` for one request, which waits for a token for at most `wait`.
    pub fn charge(
        &self,
        now: units_time::MonoInstant,
        organisation: &id::OrganisationId,
        wait: time::Duration,
        out: &mut Outbox,
    ) -> Charge {
        self.with_account(organisation, out, |account, account_out| {
            account.charge(now, wait, account_out)
        })
        .map_or(Charge::UnknownOrganisation, |charge| match charge {
            charge::Charge::Decided(decision) => Charge::Decided(decision),
            charge::Charge::Waiting(ticket) => {
                Charge::Waiting(PendingCharge { organisation: organisation.clone(), ticket })
            }
        })
    }

    /// Handles a message from another machine; one about an unknown organisation is dropped.
    pub fn receive(
        &self,
        now: units_time::MonoInstant,
        message: message::Message,
        out: &mut Outbox,
    ) {
        let organisation = message.organisation.clone();
        self.with_account(&organisation, out, |account, account_out| {
            account.receive(now, message, account_out)
        });
    }

    fn with_account<T>(
        &self,
        organisation: &id::OrganisationId,
        out: &mut Outbox,
        call: impl FnOnce(&mut account::Account, &mut charge::Outbox) -> T,
    ) -> Option<T> {
        let index = Self::shard_of(organisation);
        let mut shard = self.shards[index].lock();
        let at = shard.binary_search_by(|a| a.organisation().cmp(organisation)).ok()?;
        let mut account_out = charge::Outbox::default();
        let result = call(&mut shard[at], &mut account_out);
        out.wakes.extend(shard[at].next_wake().map(|wake| (index, wake)));
        out.append(organisation, account_out);
        Some(result)
    }

    /// Performs all due actions of one shard and returns when the next one is due.
    ///
    /// Each shard must be ticked at least every second: accounts that are not called for longer
    /// than [`options::Options::stall_max`] treat the process as stalled.
    pub fn tick(
        &self,
        now: units_time::MonoInstant,
        shard_index: usize,
        out: &mut Outbox,
    ) -> Option<units_time::MonoInstant> {
        let mut shard = self.shards[shard_index].lock();
        for account in shard.iter_mut() {
            let mut account_out = charge::Outbox::default();
            account.tick(now, &mut account_out);
            out.append(account.organisation(), account_out);
        }
        shard.iter().filter_map(account::Account::next_wake).min()
    }

    /// Returns the status of each organisation, sorted by organisation.
    pub fn summaries(&self) -> Vec<Summary> {
        let mut summaries = Vec::new();
        for shard in &self.shards {
            summaries.extend(shard.lock().iter().map(|account| Summary {
                organisation: account.organisation().clone(),
                revision: account.contract().revision,
                base: account.base_part(),
                is_unconfirmed: account.is_unconfirmed(),
            }));
        }
        summaries.sort_by(|a, b| a.organisation.cmp(&b.organisation));
        summaries
    }
}

impl Outbox {
    fn append(&mut self, organisation: &id::OrganisationId, account_out: charge::Outbox) {
        self.outgoing.extend(account_out.outgoing);
        self.decided.extend(account_out.decided.into_iter().map(|(ticket, decision)| {
            (PendingCharge { organisation: organisation.clone(), ticket }, decision)
        }));
    }
}
