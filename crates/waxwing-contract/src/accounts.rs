//! All accounts of one machine, in shards that are locked one at a time.

use std::time;

use parking_lot::Mutex;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::account;
use crate::borrower;
use crate::contract;
use crate::message;
use crate::options;
use crate::seat;

/// Shards of the accounts.
pub const SHARDS: usize = 16;

/// A request that waits for a decision.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingCharge {
    /// The organisation that is charged.
    pub organisation: id::OrganisationId,
    /// The ticket within the organisation's account.
    pub ticket: borrower::Ticket,
}

/// What a call on a shard brought about.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages to other machines.
    pub outgoing: Vec<message::Outgoing>,
    /// Requests that were decided.
    pub decided: Vec<(PendingCharge, borrower::Decision)>,
    /// The shards in which something is due next, and when.
    pub wakes: Vec<(usize, units_time::MonoInstant)>,
}

/// What [`Accounts::charge`] says at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Charge {
    /// The request is decided.
    Decided(borrower::Decision),
    /// The decision follows under this name.
    Waiting(PendingCharge),
    /// There is no such organisation.
    UnknownOrganisation,
}

/// A line of an operator's overview: one organisation on this machine.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// The organisation.
    pub organisation: id::OrganisationId,
    /// The revision of the contract in force.
    pub revision: id::Revision,
    /// What the machine can grant from, if it holds the base part.
    pub base: Option<contract::RateLimit>,
    /// Whether the machine has to read the seat records before it may use its seats.
    pub is_unconfirmed: bool,
}

/// Accounts sorted by organisation.
type Shard = Vec<account::Account>;

/// All accounts of one machine.
#[derive(Debug)]
pub struct Accounts {
    options: options::Options,
    me: message::Peer,
    failure_domain: id::FailureDomainId,
    shards: Vec<Mutex<Shard>>,
}

impl Accounts {
    /// Creates the accounts of a machine that knows no organisation yet.
    pub fn new(
        options: options::Options,
        me: message::Peer,
        failure_domain: id::FailureDomainId,
    ) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect();
        Self { options, me, failure_domain, shards }
    }

    /// Returns the index of the shard that has the account of `organisation`.
    pub fn shard_of(organisation: &id::OrganisationId) -> usize {
        (rendezvous::hash(organisation.as_str()) >> 32) as usize % SHARDS
    }

    /// Puts a set of contracts in force; accounts of other organisations end.
    pub fn set_contracts(&self, now: units_time::MonoInstant, contracts: &[contract::Contract]) {
        for index in 0..SHARDS {
            let own: Vec<&contract::Contract> =
                contracts.iter().filter(|c| Self::shard_of(&c.organisation) == index).collect();
            let mut shard = self.shards[index].lock();
            shard.retain(|a| own.iter().any(|c| c.organisation == *a.organisation()));
            for contract in own {
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

    /// Takes over the seats that a read of the seat records, begun at `read_at`, has shown.
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
                let mut one = borrower::Outbox::default();
                account.set_holders(now, read_at, holders, &mut one);
                out.take(account.organisation(), one);
            }
        }
    }

    /// Gives up all parts, before the seat records are changed to say so.
    pub fn release_seats(&self) {
        for shard in &self.shards {
            shard.lock().iter_mut().for_each(account::Account::release_seats);
        }
    }

    /// Wants a token of `organisation` for one request within `wait`.
    pub fn charge(
        &self,
        now: units_time::MonoInstant,
        organisation: &id::OrganisationId,
        wait: time::Duration,
        out: &mut Outbox,
    ) -> Charge {
        self.with_account(organisation, out, |account, one| account.charge(now, wait, one)).map_or(
            Charge::UnknownOrganisation,
            |charge| match charge {
                borrower::Charge::Decided(decision) => Charge::Decided(decision),
                borrower::Charge::Waiting(ticket) => {
                    Charge::Waiting(PendingCharge { organisation: organisation.clone(), ticket })
                }
            },
        )
    }

    /// Takes a message from another machine; one about an unknown organisation is dropped.
    pub fn receive(
        &self,
        now: units_time::MonoInstant,
        message: message::Message,
        out: &mut Outbox,
    ) {
        let organisation = message.organisation.clone();
        self.with_account(&organisation, out, |account, one| account.receive(now, message, one));
    }

    fn with_account<T>(
        &self,
        organisation: &id::OrganisationId,
        out: &mut Outbox,
        act: impl FnOnce(&mut account::Account, &mut borrower::Outbox) -> T,
    ) -> Option<T> {
        let index = Self::shard_of(organisation);
        let mut shard = self.shards[index].lock();
        let at = shard.binary_search_by(|a| a.organisation().cmp(organisation)).ok()?;
        let mut one = borrower::Outbox::default();
        let result = act(&mut shard[at], &mut one);
        out.wakes.extend(shard[at].next_wake().map(|wake| (index, wake)));
        out.take(organisation, one);
        Some(result)
    }

    /// Does what is due in one shard and returns when something is due there next.
    ///
    /// Each shard is ticked every second at least: a machine that does not is taken for one that
    /// stood still.
    pub fn tick(
        &self,
        now: units_time::MonoInstant,
        shard_index: usize,
        out: &mut Outbox,
    ) -> Option<units_time::MonoInstant> {
        let mut shard = self.shards[shard_index].lock();
        for account in shard.iter_mut() {
            let mut one = borrower::Outbox::default();
            account.tick(now, &mut one);
            out.take(account.organisation(), one);
        }
        shard.iter().filter_map(account::Account::next_wake).min()
    }

    /// Returns one line per organisation, sorted.
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
    fn take(&mut self, organisation: &id::OrganisationId, one: borrower::Outbox) {
        self.outgoing.extend(one.outgoing);
        self.decided.extend(one.decided.into_iter().map(|(ticket, decision)| {
            (PendingCharge { organisation: organisation.clone(), ticket }, decision)
        }));
    }
}
