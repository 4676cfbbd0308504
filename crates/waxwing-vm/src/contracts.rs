//! Charges organisations, with tokens of this machine and of others.
//!
//! A request is charged from the machine's own purse. Where that is empty, the request asks the
//! holders of the contract for a loan, the nearest first, and waits for their answers, shortly. A
//! purse that runs low asks ahead of need.

use std::time;

use parking_lot::Mutex;
use waxwing_contract::token_balance;
use waxwing_machine::membership;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::peer;
use waxwing_route::table;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::account;
use crate::peers;
use crate::reachable_peers;
use crate::vm;

/// Shards of the accounts.
const SHARDS: usize = 16;

/// How long a request waits for a loan.
const LOAN_WAIT_MAX: time::Duration = time::Duration::from_millis(200);

/// Accounts sorted by organisation.
type Shard = Vec<account::Account>;

/// The tokens of all organisations.
#[derive(Debug)]
pub struct Contracts {
    shards: Vec<Mutex<Shard>>,
}

impl Default for Contracts {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect() }
    }
}

impl Contracts {
    fn with<T>(
        &self,
        organisation: &id::OrganisationId,
        act: impl FnOnce(&mut account::Account) -> T,
    ) -> Option<T> {
        let mut shard = self.shard(organisation).lock();
        let at = shard.binary_search_by(|account| account.organisation.cmp(organisation)).ok()?;
        Some(act(&mut shard[at]))
    }

    fn shard(&self, organisation: &id::OrganisationId) -> &Mutex<Shard> {
        &self.shards[rendezvous::hash(organisation.as_str()) as usize % SHARDS]
    }

    /// Takes in the limits of all organisations and the members of the fleet.
    pub fn update(
        &self,
        table: &table::Table,
        membership: &membership::Membership,
        slack: rate::Tokens,
    ) {
        let now = clock::now();
        let fleet = account::Fleet {
            me: membership.local_vm(),
            names: membership.member_vms(),
            revision: membership.revision(),
            shares_until: membership.holders(now).and(membership.registration()),
        };
        for terms in table.organisations() {
            let mut shard = self.shard(&terms.organisation).lock();
            let found = shard.binary_search_by(|a| a.organisation.cmp(&terms.organisation));
            let Some(limit) = terms.limit else {
                if let Ok(at) = found {
                    shard.remove(at);
                }
                continue;
            };
            let at = found.unwrap_or_else(|at| {
                shard.insert(at, account::Account::empty(now, terms.organisation.clone()));
                at
            });
            shard[at].set_terms(now, limit, slack, &fleet);
        }
        for shard in &self.shards {
            shard.lock().retain(|account| is_limited(table, &account.organisation));
        }
    }

    /// Puts back the token of a request that was never sent.
    pub fn give_back(&self, organisation: &id::OrganisationId) {
        let now = clock::now();
        self.with(organisation, |account| account.purse.refund(now));
    }

    /// Lends tokens to another machine.
    pub fn lend(&self, ask: &peer::LoanRequest) -> rate::NanoTokens {
        let now = clock::now();
        let lent = self
            .with(&ask.organisation, |account| account.purse.lend(now, ask.requested, ask.need));
        lent.unwrap_or_default()
    }

    /// Takes in a loan of another machine.
    pub fn receive(&self, lender: &id::VmId, loan: &peer::Loan) {
        let now = clock::now();
        self.with(&loan.organisation, |account| account.receive(now, lender, loan));
    }
}

fn is_limited(table: &table::Table, organisation: &id::OrganisationId) -> bool {
    let organisations = table.organisations();
    let at = organisations.binary_search_by(|terms| terms.organisation.cmp(organisation));
    at.is_ok_and(|at| organisations[at].limit.is_some())
}

/// Charges an organisation for one request.
///
/// # Errors
///
/// Returns an error where the request must not run.
pub async fn charge(
    vm: &vm::Vm,
    organisation: &id::OrganisationId,
    deadline: units_time::MonoInstant,
) -> std::result::Result<(), account::ChargeError> {
    let began_at = clock::now();
    let give_up_at = deadline.min(began_at.after(LOAN_WAIT_MAX));
    loop {
        let (answered, until) = match attempt(vm, organisation, give_up_at) {
            account::Attempt::Charged => return Ok(()),
            account::Attempt::Refused(refused) => return Err(refused),
            account::Attempt::Wait(answered, until) => (answered, until),
        };
        let left = give_up_at.min(until).since(clock::now());
        if timer::timeout(left, answered).await.is_err() {
            log::debug!("no loan for {organisation} yet");
        }
    }
}

fn attempt(
    vm: &vm::Vm,
    organisation: &id::OrganisationId,
    give_up_at: units_time::MonoInstant,
) -> account::Attempt {
    let now = clock::now();
    // An organisation without a limit has no account.
    let tried = vm.contracts.with(organisation, |account| account.try_charge(now, give_up_at));
    let need = match tried {
        Some(account::Tried::Done(attempt)) => return attempt,
        Some(account::Tried::Asks(need)) => need,
        None => return account::Attempt::Charged,
    };
    // The members are read outside the account's lock, since they are under a lock of their own.
    let reachable = reachable_peers::Reachable::of(vm, now);
    let asked = vm.contracts.with(organisation, |account| match need {
        token_balance::Need::Prefetch => {
            (account.ask_ahead(now, &reachable), account::Attempt::Charged)
        }
        token_balance::Need::Waiting => account.ask_now(now, &reachable),
    });
    let Some((questions, attempt)) = asked else {
        return account::Attempt::Charged;
    };
    send(vm, organisation, &reachable, &questions);
    attempt
}

fn send(
    vm: &vm::Vm,
    organisation: &id::OrganisationId,
    reachable: &reachable_peers::Reachable,
    questions: &account::Questions,
) {
    let all = reachable.near.iter().chain(&reachable.far);
    for lender in all.filter(|about| questions.lenders.contains(&about.vm)) {
        let ask = peer::LoanRequest {
            nonce: questions.nonce,
            organisation: organisation.clone(),
            requested: questions.wanted,
            need: questions.need,
        };
        peers::send(vm, lender.peer_address, peer::Body::LoanRequest(ask));
    }
}
