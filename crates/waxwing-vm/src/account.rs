//! The tokens of one organisation on this machine: what it may spend, and whom to ask for more.

use std::sync;
use std::time;

use tokio::sync::Notify;
use tokio::sync::futures;
use waxwing_contract::contract;
use waxwing_contract::lender_search;
use waxwing_contract::share;
use waxwing_contract::token_balance;
use waxwing_machine::membership;
use waxwing_protocol::peer;
use waxwing_route::policy;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::reachable_peers;

/// How long nobody is asked again after all others had nothing to lend.
const DRY: time::Duration = time::Duration::from_millis(200);

/// How long to wait between two questions ahead of need.
const AHEAD_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How soon a caller may come back where this machine has no share of a contract.
const NO_SHARE_RETRY: time::Duration = time::Duration::from_millis(500);

/// How long a caller is sent away at most where a contract has no rate.
const RETRY_MAX: time::Duration = time::Duration::from_secs(60);

/// Why an organisation could not be charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeError {
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
pub(crate) struct Account {
    pub(crate) organisation: id::OrganisationId,
    whole: contract::RateLimit,
    /// The members that hold shares, by the reading at `holders_at`.
    holders: Vec<id::VmId>,
    holders_at: id::Revision,
    /// This machine's own share, by the same reading.
    share: Option<share::Share>,
    pub(crate) purse: token_balance::TokenBalance,
    search: lender_search::LenderSearch,
    /// Whether a holder answered in the last search that came to its end.
    is_heard: bool,
    asked_ahead_at: units_time::MonoInstant,
    dry_until: units_time::MonoInstant,
    answered: sync::Arc<Notify>,
}

/// The members of the fleet by this machine's reading.
pub(crate) struct Fleet<'a> {
    pub(crate) me: &'a id::VmId,
    pub(crate) names: Vec<id::VmId>,
    pub(crate) revision: id::Revision,
    /// This machine's registration while it may hold shares.
    pub(crate) shares_until: Option<membership::Registration>,
}

/// What an attempt to charge comes to.
pub(crate) enum Attempt {
    Charged,
    Wait(futures::OwnedNotified, units_time::MonoInstant),
    Refused(ChargeError),
}

/// What trying to charge an account comes to.
pub(crate) enum Tried {
    /// It is decided, or waits for answers.
    Done(Attempt),
    /// Others are asked; the request is charged already where they are asked ahead of need.
    Asks(token_balance::Need),
}

/// Whom to ask for a loan, and for how much.
pub(crate) struct Questions {
    pub(crate) nonce: id::Nonce,
    pub(crate) lenders: Vec<id::VmId>,
    pub(crate) wanted: rate::NanoTokens,
    pub(crate) need: token_balance::Need,
}

impl Account {
    pub(crate) fn empty(now: units_time::MonoInstant, organisation: id::OrganisationId) -> Self {
        Self {
            organisation,
            whole: contract::RateLimit::NONE,
            holders: Vec::new(),
            holders_at: id::Revision::default(),
            share: None,
            purse: token_balance::TokenBalance::empty(now),
            search: lender_search::LenderSearch::default(),
            is_heard: false,
            asked_ahead_at: units_time::MonoInstant::default(),
            dry_until: units_time::MonoInstant::default(),
            answered: sync::Arc::default(),
        }
    }

    pub(crate) fn set_terms(
        &mut self,
        now: units_time::MonoInstant,
        limit: policy::RateLimit,
        slack: rate::Tokens,
        fleet: &Fleet<'_>,
    ) {
        let whole = contract::RateLimit {
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
            _ => (contract::RateLimit::NONE, now),
        };
        self.purse.set_share(now, part, until);
    }

    pub(crate) fn receive(
        &mut self,
        now: units_time::MonoInstant,
        lender: &id::VmId,
        loan: &peer::Loan,
    ) {
        let Some(asked_at) = self.search.record_response(loan.nonce, lender, loan.amount.0 > 0)
        else {
            log::debug!("a loan of {lender} came too late or twice");
            return;
        };
        self.purse.receive(now, asked_at, loan.amount);
        if loan.amount.0 > 0 || self.search.all_responded() {
            self.answered.notify_waiters();
        }
    }

    fn refusal(&mut self, now: units_time::MonoInstant) -> ChargeError {
        match self.purse.next_token_in(now) {
            Some(retry_after) => ChargeError::Exhausted { retry_after },
            None if self.is_heard || self.search.has_response() => {
                let token = rate::NanoTokens(rate::NANO_PER_TOKEN);
                let span = self.whole.rate_per_second.time_to_yield(token);
                ChargeError::Exhausted { retry_after: span.min(RETRY_MAX) }
            }
            None => ChargeError::NoShare { retry_after: NO_SHARE_RETRY },
        }
    }
}

impl Account {
    pub(crate) fn try_charge(
        &mut self,
        now: units_time::MonoInstant,
        give_up_at: units_time::MonoInstant,
    ) -> Tried {
        if self.purse.spend(now) {
            return match self.wants_ahead(now) {
                true => Tried::Asks(token_balance::Need::Prefetch),
                false => Tried::Done(Attempt::Charged),
            };
        }
        if now < self.dry_until || now >= give_up_at {
            return Tried::Done(Attempt::Refused(self.refusal(now)));
        }
        match self.search.response_deadline() {
            Some(until) if now < until => Tried::Done(self.wait(until)),
            _ => Tried::Asks(token_balance::Need::Waiting),
        }
    }

    fn wait(&self, until: units_time::MonoInstant) -> Attempt {
        Attempt::Wait(self.answered.clone().notified_owned(), until)
    }

    /// Tells whether others are to be asked ahead of need.
    fn wants_ahead(&mut self, now: units_time::MonoInstant) -> bool {
        now.since(self.asked_ahead_at) >= AHEAD_INTERVAL
            && self.search.all_responded()
            && now >= self.dry_until
            && self.purse.prefetch_amount(now).0 > 0
    }

    /// Returns which holders to ask next.
    fn ask_next(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        reachable: &reachable_peers::Reachable,
    ) -> Vec<id::VmId> {
        let near = reachable_peers::names_among(&reachable.near, &self.holders);
        let far = reachable_peers::names_among(&reachable.far, &self.holders);
        self.search.next_round(now, nonce, lender_search::Candidates { near: &near, far: &far })
    }

    /// Returns what to ask others for ahead of need.
    pub(crate) fn ask_ahead(
        &mut self,
        now: units_time::MonoInstant,
        reachable: &reachable_peers::Reachable,
    ) -> Questions {
        self.asked_ahead_at = now;
        self.search.restart();
        let nonce = id::Nonce(now.0);
        let lenders = self.ask_next(now, nonce, reachable);
        let count = i64::try_from(lenders.len().max(1)).unwrap_or(i64::MAX);
        let wanted = rate::NanoTokens(self.purse.prefetch_amount(now).0 / count);
        Questions { nonce, lenders, wanted, need: token_balance::Need::Prefetch }
    }

    /// Returns what to ask others for while a request waits; it is refused where all were asked.
    pub(crate) fn ask_now(
        &mut self,
        now: units_time::MonoInstant,
        reachable: &reachable_peers::Reachable,
    ) -> (Questions, Attempt) {
        let nonce = id::Nonce(now.0);
        let lenders = self.ask_next(now, nonce, reachable);
        let wanted = self.purse.loan_amount_per_lender(lenders.len());
        let attempt = match self.search.response_deadline() {
            Some(until) => self.wait(until),
            None => {
                self.dry_until = now.after(DRY);
                self.is_heard = self.search.has_response();
                self.search.restart();
                Attempt::Refused(self.refusal(now))
            }
        };
        (Questions { nonce, lenders, wanted, need: token_balance::Need::Waiting }, attempt)
    }
}
