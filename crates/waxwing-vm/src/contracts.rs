//! Charges organisations, with tokens of this machine and of others.
//!
//! A request is charged from the machine's own purse. Where that is empty, the request asks all
//! reachable machines for a loan and waits for their answers, shortly. A purse that runs low asks
//! one machine ahead of need.

use std::net;
use std::sync;
use std::time;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::futures;
use waxwing_contract::contract;
use waxwing_contract::purse;
use waxwing_contract::share;
use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::peer;
use waxwing_route::table;
use waxwing_route::terms;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::peers;
use crate::vm;

/// Shards of the accounts.
const SHARDS: usize = 16;

/// How long a request waits for a loan.
const LOAN_WAIT_MAX: time::Duration = time::Duration::from_millis(120);

/// How long nobody is asked again after all others had nothing to lend.
const DRY: time::Duration = time::Duration::from_millis(200);

/// How long to wait between two questions ahead of need.
const AHEAD_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The part of a burst that each other machine is asked for: one in this many.
const BURST_ASKED: i64 = 16;

/// How soon a caller may come back where this machine has no share of a contract.
const NO_SHARE_RETRY: time::Duration = time::Duration::from_millis(500);

/// Why an organisation could not be charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It has used up its rate and burst.
    Exhausted {
        /// When the next token is expected.
        retry_after: time::Duration,
    },
    /// This machine has no share of the contract and nobody lends any tokens.
    NoShare {
        /// When it may have one.
        retry_after: time::Duration,
    },
}

/// A question to other machines whose answers may still come.
///
/// Each machine answers once: a datagram that comes twice must not lend twice.
#[derive(Debug, Clone)]
struct Round {
    nonce: id::Nonce,
    asked_at: units_time::MonoInstant,
    unanswered: Vec<net::SocketAddr>,
}

/// The tokens of one organisation.
#[derive(Debug)]
struct Account {
    organisation: id::OrganisationId,
    whole: contract::Part,
    purse: purse::Purse,
    round: Option<Round>,
    asked_ahead_at: units_time::MonoInstant,
    dry_until: units_time::MonoInstant,
    answered: sync::Arc<Notify>,
}

/// Accounts sorted by organisation.
type Shard = Vec<Account>;

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

/// What an attempt to charge comes to.
enum Attempt {
    Charged,
    Wait(futures::OwnedNotified),
    Refused(Refused),
}

impl Contracts {
    fn with<T>(
        &self,
        organisation: &id::OrganisationId,
        act: impl FnOnce(&mut Account) -> T,
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
        let holders = membership.holders(now);
        let until = membership.registration().map(|mine| mine.valid_until).unwrap_or_default();
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
                shard.insert(at, Account::empty(now, terms.organisation.clone()));
                at
            });
            let me = (membership.me(), until);
            shard[at].set_terms(now, limit, slack, holders.as_deref(), me);
        }
        for shard in &self.shards {
            shard.lock().retain(|account| is_limited(table, &account.organisation));
        }
    }

    /// Lends tokens to another machine.
    pub fn lend(&self, ask: &peer::LoanAsk) -> rate::NanoTokens {
        let now = clock::now();
        let lent =
            self.with(&ask.organisation, |account| account.purse.lend(now, ask.wanted, ask.need));
        lent.unwrap_or_default()
    }

    /// Takes in a loan of another machine.
    pub fn receive(&self, from: net::SocketAddr, loan: &peer::Loan) {
        let now = clock::now();
        self.with(&loan.organisation, |account| account.receive(now, from, loan));
    }
}

fn is_limited(table: &table::Table, organisation: &id::OrganisationId) -> bool {
    let organisations = table.organisations();
    let at = organisations.binary_search_by(|terms| terms.organisation.cmp(organisation));
    at.is_ok_and(|at| organisations[at].limit.is_some())
}

impl Account {
    fn empty(now: units_time::MonoInstant, organisation: id::OrganisationId) -> Self {
        Self {
            organisation,
            whole: contract::Part::NONE,
            purse: purse::Purse::empty(now),
            round: None,
            asked_ahead_at: units_time::MonoInstant::default(),
            dry_until: units_time::MonoInstant::default(),
            answered: sync::Arc::default(),
        }
    }

    fn set_terms(
        &mut self,
        now: units_time::MonoInstant,
        limit: terms::Limit,
        slack: rate::Tokens,
        holders: Option<&[id::VmId]>,
        (me, until): (&id::VmId, units_time::MonoInstant),
    ) {
        self.whole = contract::Part {
            rate_per_second: limit.rate_per_second,
            burst_tokens: limit.burst_tokens.nano().plus(slack.nano()),
        };
        let share = holders
            .and_then(|holders| share::share_of(&self.organisation, self.whole, me, holders));
        let part = share.map_or(contract::Part::NONE, |share| share.of(self.whole));
        self.purse.set_part(now, part, until);
    }

    fn receive(&mut self, now: units_time::MonoInstant, from: net::SocketAddr, loan: &peer::Loan) {
        let Some(round) = self.round.as_mut().filter(|round| round.nonce == loan.nonce) else {
            log::debug!("a loan of {from} came too late");
            return;
        };
        let Some(at) = round.unanswered.iter().position(|lender| *lender == from) else {
            log::debug!("a loan of {from} came twice");
            return;
        };
        round.unanswered.swap_remove(at);
        let (asked_at, is_last) = (round.asked_at, round.unanswered.is_empty());
        self.purse.receive(now, asked_at, loan.amount);
        if is_last && loan.amount.0 == 0 {
            self.dry_until = now.after(DRY);
        }
        if loan.amount.0 > 0 || is_last {
            self.answered.notify_waiters();
        }
    }

    /// Tells whether answers to the last question may still come.
    fn is_asking(&self, now: units_time::MonoInstant) -> bool {
        self.round.as_ref().is_some_and(|round| {
            !round.unanswered.is_empty() && now.since(round.asked_at) < LOAN_WAIT_MAX
        })
    }

    /// Returns how much each other machine is asked for while a request waits.
    const fn wanted_at_once(&self) -> rate::NanoTokens {
        let part = self.whole.burst_tokens.0 / BURST_ASKED;
        rate::NanoTokens(if part > rate::NANO_PER_TOKEN { part } else { rate::NANO_PER_TOKEN })
    }

    fn refusal(&mut self, now: units_time::MonoInstant) -> Refused {
        match self.purse.next_token_in(now) {
            Some(retry_after) => Refused::Exhausted { retry_after },
            None => Refused::NoShare { retry_after: NO_SHARE_RETRY },
        }
    }
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
) -> std::result::Result<(), Refused> {
    let give_up_at = deadline.min(clock::now().after(LOAN_WAIT_MAX));
    loop {
        let notify = match attempt(vm, organisation, give_up_at) {
            Attempt::Charged => return Ok(()),
            Attempt::Refused(refused) => return Err(refused),
            Attempt::Wait(notify) => notify,
        };
        let left = give_up_at.since(clock::now());
        if timer::timeout(left, notify).await.is_err() {
            log::debug!("no loan for {organisation} in time");
        }
    }
}

fn attempt(
    vm: &vm::Vm,
    organisation: &id::OrganisationId,
    give_up_at: units_time::MonoInstant,
) -> Attempt {
    let now = clock::now();
    let mut ask = None;
    let attempt = vm.contracts.with(organisation, |account| {
        if account.purse.spend(now) {
            ask = ask_ahead(account, now);
            return Attempt::Charged;
        }
        if now < account.dry_until || now >= give_up_at {
            return Attempt::Refused(account.refusal(now));
        }
        if !account.is_asking(now) {
            ask = Some((account.wanted_at_once(), purse::Need::Waiting));
        }
        Attempt::Wait(account.answered.clone().notified_owned())
    });
    // An organisation without a limit has no account.
    let attempt = attempt.unwrap_or(Attempt::Charged);
    match ask {
        Some((wanted, need)) if !send_asks(vm, organisation, wanted, need) => match attempt {
            Attempt::Wait(_) => Attempt::Refused(
                vm.contracts
                    .with(organisation, |account| account.refusal(now))
                    .unwrap_or(Refused::NoShare { retry_after: NO_SHARE_RETRY }),
            ),
            other => other,
        },
        _ => attempt,
    }
}

/// Returns what to ask others for ahead of need.
fn ask_ahead(
    account: &mut Account,
    now: units_time::MonoInstant,
) -> Option<(rate::NanoTokens, purse::Need)> {
    let is_soon = now.since(account.asked_ahead_at) < AHEAD_INTERVAL;
    if is_soon || account.is_asking(now) || now < account.dry_until {
        return None;
    }
    let wanted = account.purse.wanted(now);
    if wanted.0 <= 0 {
        return None;
    }
    account.asked_ahead_at = now;
    Some((wanted, purse::Need::Ahead))
}

/// Asks others for a loan; returns whether there is anybody to ask.
fn send_asks(
    vm: &vm::Vm,
    organisation: &id::OrganisationId,
    wanted: rate::NanoTokens,
    need: purse::Need,
) -> bool {
    let now = clock::now();
    let mut lenders: Vec<net::SocketAddr> = {
        let membership = vm.membership.lock();
        let live = membership.reachable(now, entry_vm::Phase::Live);
        live.into_iter().map(|about| about.peer_address).collect()
    };
    let nonce = id::Nonce(now.0);
    if need == purse::Need::Ahead && !lenders.is_empty() {
        lenders = vec![lenders[now.0 as usize % lenders.len()]];
    }
    if lenders.is_empty() {
        return false;
    }
    let round = Round { nonce, asked_at: now, unanswered: lenders.clone() };
    vm.contracts.with(organisation, |account| account.round = Some(round));
    for lender in lenders {
        let ask = peer::LoanAsk { nonce, organisation: organisation.clone(), wanted, need };
        peers::send(vm, lender, peer::Body::LoanAsk(ask));
    }
    true
}
