//! Charges organisations, with tokens of this machine and of others.
//!
//! A request is charged from the machine's own purse. Where that is empty, the request asks the
//! holders of the contract for a loan, the nearest first, and waits for their answers, shortly. A
//! purse that runs low asks ahead of need.

use std::sync;
use std::time;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::futures;
use waxwing_contract::contract;
use waxwing_contract::purse;
use waxwing_contract::search;
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
const LOAN_WAIT_MAX: time::Duration = time::Duration::from_millis(200);

/// How long nobody is asked again after all others had nothing to lend.
const DRY: time::Duration = time::Duration::from_millis(200);

/// How long to wait between two questions ahead of need.
const AHEAD_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How long the holders are asked in the same order, in nanoseconds.
const TURN_NS: u64 = 10_000_000;

/// How soon a caller may come back where this machine has no share of a contract.
const NO_SHARE_RETRY: time::Duration = time::Duration::from_millis(500);

/// How long a caller is sent away at most where a contract has no rate.
const RETRY_MAX: time::Duration = time::Duration::from_secs(60);

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

/// The tokens of one organisation.
#[derive(Debug)]
struct Account {
    organisation: id::OrganisationId,
    whole: contract::Part,
    /// The members that hold shares, by the reading at `holders_at`.
    holders: Vec<id::VmId>,
    holders_at: id::Revision,
    /// This machine's own share, by the same reading.
    share: Option<share::Share>,
    purse: purse::Purse,
    search: search::Search,
    /// Whether a holder answered in the last search that came to its end.
    is_heard: bool,
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

/// The members of the fleet by this machine's reading.
struct Fleet<'a> {
    me: &'a id::VmId,
    names: Vec<id::VmId>,
    revision: id::Revision,
    /// This machine's registration while it may hold shares.
    shares_until: Option<membership::Registration>,
}

/// What an attempt to charge comes to.
enum Attempt {
    Charged,
    Wait(futures::OwnedNotified, units_time::MonoInstant),
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
        let fleet = Fleet {
            me: membership.me(),
            names: membership.names(),
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
                shard.insert(at, Account::empty(now, terms.organisation.clone()));
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
        self.with(organisation, |account| account.purse.give_back(now));
    }

    /// Lends tokens to another machine.
    pub fn lend(&self, ask: &peer::LoanAsk) -> rate::NanoTokens {
        let now = clock::now();
        let lent =
            self.with(&ask.organisation, |account| account.purse.lend(now, ask.wanted, ask.need));
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

impl Account {
    fn empty(now: units_time::MonoInstant, organisation: id::OrganisationId) -> Self {
        Self {
            organisation,
            whole: contract::Part::NONE,
            holders: Vec::new(),
            holders_at: id::Revision::default(),
            share: None,
            purse: purse::Purse::empty(now),
            search: search::Search::default(),
            is_heard: false,
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
        fleet: &Fleet<'_>,
    ) {
        let whole = contract::Part {
            rate_per_second: limit.rate_per_second,
            burst_tokens: limit.burst_tokens.nano().plus(slack.nano()),
        };
        if whole != self.whole || fleet.revision != self.holders_at {
            let holders = share::holders(&self.organisation, whole, &fleet.names);
            self.holders = holders.into_iter().cloned().collect();
            self.holders_at = fleet.revision;
            self.share = share::share_of(&self.organisation, whole, fleet.me, &fleet.names);
            self.whole = whole;
        }
        let (part, until) = match (self.share, fleet.shares_until) {
            (Some(share), Some(mine)) => (share.of(whole), mine.valid_until),
            _ => (contract::Part::NONE, now),
        };
        self.purse.set_part(now, part, until);
    }

    fn receive(&mut self, now: units_time::MonoInstant, lender: &id::VmId, loan: &peer::Loan) {
        let Some(asked_at) = self.search.answer(loan.nonce, lender, loan.amount.0 > 0) else {
            log::debug!("a loan of {lender} came too late or twice");
            return;
        };
        self.purse.receive(now, asked_at, loan.amount);
        if loan.amount.0 > 0 || self.search.is_answered() {
            self.answered.notify_waiters();
        }
    }

    fn refusal(&mut self, now: units_time::MonoInstant) -> Refused {
        match self.purse.next_token_in(now) {
            Some(retry_after) => Refused::Exhausted { retry_after },
            None if self.is_heard || self.search.was_answered() => {
                let token = rate::NanoTokens(rate::NANO_PER_TOKEN);
                let span = self.whole.rate_per_second.span_of(token);
                Refused::Exhausted { retry_after: span.min(RETRY_MAX) }
            }
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
    let began_at = clock::now();
    let give_up_at = deadline.min(began_at.after(LOAN_WAIT_MAX));
    loop {
        let (answered, until) = match attempt(vm, organisation, give_up_at) {
            Attempt::Charged => return Ok(()),
            Attempt::Refused(refused) => return Err(refused),
            Attempt::Wait(answered, until) => (answered, until),
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
) -> Attempt {
    let now = clock::now();
    // An organisation without a limit has no account.
    let tried = vm.contracts.with(organisation, |account| account.try_charge(now, give_up_at));
    let need = match tried {
        Some(Tried::Done(attempt)) => return attempt,
        Some(Tried::Asks(need)) => need,
        None => return Attempt::Charged,
    };
    // The members are read outside the account's lock, since they are under a lock of their own.
    let reachable = Reachable::of(vm, now);
    let asked = vm.contracts.with(organisation, |account| match need {
        purse::Need::Ahead => (account.ask_ahead(now, &reachable), Attempt::Charged),
        purse::Need::Waiting => account.ask_now(now, &reachable),
    });
    let Some((questions, attempt)) = asked else {
        return Attempt::Charged;
    };
    send(vm, organisation, &reachable, &questions);
    attempt
}

/// What trying to charge an account comes to.
enum Tried {
    /// It is decided, or waits for answers.
    Done(Attempt),
    /// Others are asked; the request is charged already where they are asked ahead of need.
    Asks(purse::Need),
}

/// Whom to ask for a loan, and for how much.
struct Questions {
    nonce: id::Nonce,
    lenders: Vec<id::VmId>,
    wanted: rate::NanoTokens,
    need: purse::Need,
}

impl Account {
    fn try_charge(
        &mut self,
        now: units_time::MonoInstant,
        give_up_at: units_time::MonoInstant,
    ) -> Tried {
        if self.purse.spend(now) {
            return match self.wants_ahead(now) {
                true => Tried::Asks(purse::Need::Ahead),
                false => Tried::Done(Attempt::Charged),
            };
        }
        if now < self.dry_until || now >= give_up_at {
            return Tried::Done(Attempt::Refused(self.refusal(now)));
        }
        match self.search.waits_until() {
            Some(until) if now < until => Tried::Done(self.wait(until)),
            _ => Tried::Asks(purse::Need::Waiting),
        }
    }

    fn wait(&self, until: units_time::MonoInstant) -> Attempt {
        Attempt::Wait(self.answered.clone().notified_owned(), until)
    }

    /// Tells whether others are to be asked ahead of need.
    fn wants_ahead(&mut self, now: units_time::MonoInstant) -> bool {
        now.since(self.asked_ahead_at) >= AHEAD_INTERVAL
            && self.search.is_answered()
            && now >= self.dry_until
            && self.purse.wanted_ahead(now).0 > 0
    }

    /// Returns which holders to ask next.
    fn ask_next(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        reachable: &Reachable,
    ) -> Vec<id::VmId> {
        let near = names_among(&reachable.near, &self.holders);
        let far = names_among(&reachable.far, &self.holders);
        self.search.ask_next(now, nonce, search::Holders { near: &near, far: &far })
    }

    /// Returns what to ask others for ahead of need.
    fn ask_ahead(&mut self, now: units_time::MonoInstant, reachable: &Reachable) -> Questions {
        self.asked_ahead_at = now;
        self.search.begin();
        let nonce = id::Nonce(now.0);
        let lenders = self.ask_next(now, nonce, reachable);
        let count = i64::try_from(lenders.len().max(1)).unwrap_or(i64::MAX);
        let wanted = rate::NanoTokens(self.purse.wanted_ahead(now).0 / count);
        Questions { nonce, lenders, wanted, need: purse::Need::Ahead }
    }

    /// Returns what to ask others for while a request waits; it is refused where all were asked.
    fn ask_now(
        &mut self,
        now: units_time::MonoInstant,
        reachable: &Reachable,
    ) -> (Questions, Attempt) {
        let nonce = id::Nonce(now.0);
        let lenders = self.ask_next(now, nonce, reachable);
        let wanted = self.purse.wanted_now(lenders.len());
        let attempt = match self.search.waits_until() {
            Some(until) => self.wait(until),
            None => {
                self.dry_until = now.after(DRY);
                self.is_heard = self.search.was_answered();
                self.search.begin();
                Attempt::Refused(self.refusal(now))
            }
        };
        (Questions { nonce, lenders, wanted, need: purse::Need::Waiting }, attempt)
    }
}

/// The machines that may be asked, in turns.
struct Reachable {
    near: Vec<membership::About>,
    far: Vec<membership::About>,
}

impl Reachable {
    fn of(vm: &vm::Vm, now: units_time::MonoInstant) -> Self {
        let settings = vm.settings();
        let here = settings.region_of(&vm.about.failure_domain);
        let mut all: Vec<membership::About> = {
            let membership = vm.membership.lock();
            membership.reachable(now, entry_vm::Phase::Live).into_iter().cloned().collect()
        };
        if !all.is_empty() {
            let turn = usize::try_from(now.0 / TURN_NS).unwrap_or(0) % all.len();
            all.rotate_left(turn);
        }
        let is_near = |about: &membership::About| settings.region_of(&about.failure_domain) == here;
        let (near, far) = all.into_iter().partition(is_near);
        Self { near, far }
    }
}

fn names_among(all: &[membership::About], holders: &[id::VmId]) -> Vec<id::VmId> {
    all.iter().map(|about| &about.vm).filter(|vm| holders.contains(vm)).cloned().collect()
}

fn send(
    vm: &vm::Vm,
    organisation: &id::OrganisationId,
    reachable: &Reachable,
    questions: &Questions,
) {
    let all = reachable.near.iter().chain(&reachable.far);
    for lender in all.filter(|about| questions.lenders.contains(&about.vm)) {
        let ask = peer::LoanAsk {
            nonce: questions.nonce,
            organisation: organisation.clone(),
            wanted: questions.wanted,
            need: questions.need,
        };
        peers::send(vm, lender.peer_address, peer::Body::LoanAsk(ask));
    }
}
