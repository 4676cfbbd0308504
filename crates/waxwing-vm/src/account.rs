//! The tokens of one organisation on this VM: its share of the contract, and loans from other VMs.
//!
//! The decisions are here; [`crate::contracts`] holds the accounts and sends the loan requests.

use std::sync;
use std::time;

use tokio::sync::Notify;
use tokio::sync::futures;
use waxwing_contract::contract;
use waxwing_contract::lender_search;
use waxwing_contract::share;
use waxwing_contract::token_balance;
use waxwing_contract::token_wait;
use waxwing_machine::membership;
use waxwing_protocol::peer;
use waxwing_request::return_schedule;
use waxwing_route::policy;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::reachable_peers;

/// How long no loan is requested after all other holders had nothing to lend.
const NO_LENDERS_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// The least time between two loan requests ahead of need.
const PREFETCH_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The least time between two requests for a loan while the organisation counts as spent.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The retry delay if this VM has no share of a contract.
const NO_SHARE_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// The longest retry delay; it applies if a contract has no rate.
const RETRY_AFTER_MAX: time::Duration = time::Duration::from_secs(60);

/// The shortest pause before a waiting request looks for a token again.
const TOKEN_WAIT_MIN: time::Duration = time::Duration::from_millis(20);

/// Why an organisation could not be charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeError {
    /// The organisation has used up its rate and burst.
    Exhausted {
        /// How long until a token is expected that no other refused caller was told of.
        retry_after: time::Duration,
    },
    /// This VM has no share of the contract, and no other VM lends any tokens.
    NoShare {
        /// How long until a retry, by when this VM may have a share.
        retry_after: time::Duration,
    },
}

/// The token balance of one organisation on this VM, with the state of its loan requests.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) organisation: id::OrganisationId,
    contract_limit: contract::RateLimit,
    /// The members that hold shares, as of the member list at `holders_revision`.
    holders: Vec<id::VmId>,
    holders_revision: id::Revision,
    /// This VM's own share, as of the same member list.
    share: Option<share::Share>,
    pub(crate) balance: token_balance::TokenBalance,
    lender_search: lender_search::LenderSearch,
    /// Whether any holder responded in the last completed search for a lender.
    has_holder_response: bool,
    last_prefetch_at: units_time::MonoInstant,
    no_lenders_until: units_time::MonoInstant,
    token_wait: token_wait::TokenWait,
    loan_received: sync::Arc<Notify>,
    /// The turns of callers that were refused for lack of tokens.
    returns: return_schedule::ReturnSchedule,
}

/// The fleet's members, as this VM last read them.
pub(crate) struct Fleet<'a> {
    pub(crate) local_vm: &'a id::VmId,
    pub(crate) members: Vec<id::VmId>,
    pub(crate) revision: id::Revision,
    /// This VM's registration, while it may hold shares.
    pub(crate) registration: Option<membership::Registration>,
}

/// The result of an attempt to charge one token; `Wait` holds a notification and the time until
/// which to wait for it.
pub(crate) enum ChargeAttempt {
    Charged,
    Wait(futures::OwnedNotified, units_time::MonoInstant),
    Refused(ChargeError),
}

/// The result of charging the local balance.
pub(crate) enum LocalCharge {
    /// The charge was decided, or waits for loans that were already requested.
    Done(ChargeAttempt),
    /// Loans have to be requested.
    NeedsLoan(LoanPurpose),
}

/// What a loan is requested for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoanPurpose {
    /// Requests that are expected; this one was charged already.
    Prefetch,
    /// This request, which waits for it.
    Waiting,
    /// Later requests, since nothing is known to be left for this one.
    Probe,
}

/// A loan request and its recipients.
pub(crate) struct LoanRequest {
    pub(crate) nonce: id::Nonce,
    pub(crate) lenders: Vec<id::VmId>,
    pub(crate) wanted: rate::NanoTokens,
    pub(crate) need: token_balance::Need,
}

impl Account {
    pub(crate) fn empty(now: units_time::MonoInstant, organisation: id::OrganisationId) -> Self {
        Self {
            organisation,
            contract_limit: contract::RateLimit::NONE,
            holders: Vec::new(),
            holders_revision: id::Revision::default(),
            share: None,
            balance: token_balance::TokenBalance::empty(now),
            lender_search: lender_search::LenderSearch::default(),
            has_holder_response: false,
            last_prefetch_at: units_time::MonoInstant::default(),
            no_lenders_until: units_time::MonoInstant::default(),
            token_wait: token_wait::TokenWait::recovering(now),
            loan_received: sync::Arc::default(),
            returns: return_schedule::ReturnSchedule::default(),
        }
    }

    pub(crate) fn update(
        &mut self,
        now: units_time::MonoInstant,
        limit: policy::RateLimit,
        slack: rate::Tokens,
        fleet: &Fleet<'_>,
    ) {
        let contract_limit = contract::RateLimit {
            rate_per_second: limit.rate_per_second,
            burst_tokens: limit.burst_tokens.nano().plus(slack.nano()),
        };
        if contract_limit != self.contract_limit || fleet.revision != self.holders_revision {
            let holders = share::holders(&self.organisation, contract_limit, &fleet.members);
            self.holders = holders.into_iter().cloned().collect();
            self.holders_revision = fleet.revision;
            self.share =
                share::share_of(&self.organisation, contract_limit, fleet.local_vm, &fleet.members);
            self.contract_limit = contract_limit;
        }
        let (share_limit, valid_until) = match (self.share, fleet.registration) {
            (Some(share), Some(registration)) => {
                (share.of(contract_limit), registration.valid_until)
            }
            _ => (contract::RateLimit::NONE, now),
        };
        let began_empty = !self.balance.has_share(now) && share_limit != contract::RateLimit::NONE;
        if began_empty {
            self.token_wait.restart_recovery(now);
            self.loan_received.notify_waiters();
        }
        self.balance.set_share(now, share_limit, valid_until);
    }

    pub(crate) fn receive_loan(
        &mut self,
        now: units_time::MonoInstant,
        lender: &id::VmId,
        loan: &peer::Loan,
    ) {
        let Some(requested_at) =
            self.lender_search.record_response(loan.nonce, lender, loan.amount.0 > 0)
        else {
            log::debug!("ignored a late or repeated loan from {lender}");
            return;
        };
        self.balance.receive(now, requested_at, loan.amount);
        self.token_wait.record_response(now, loan.amount.0 > 0);
        if loan.amount.0 > 0 || self.lender_search.all_responded() {
            self.loan_received.notify_waiters();
        }
    }

    fn charge_error(&mut self, now: units_time::MonoInstant) -> ChargeError {
        let token = rate::NanoTokens(rate::NANO_PER_TOKEN);
        let contract_interval = self.contract_limit.rate_per_second.time_to_yield(token);
        let interval = self.balance.token_interval().unwrap_or(contract_interval);
        let next_token_in = match self.balance.next_token_in(now) {
            Some(next_token_in) => next_token_in,
            None if self.has_holder_response || self.lender_search.has_response() => interval,
            None => return ChargeError::NoShare { retry_after: NO_SHARE_RETRY_AFTER },
        };
        let retry_after = self.returns.next_turn_in(now, next_token_in, interval);
        ChargeError::Exhausted { retry_after: retry_after.min(RETRY_AFTER_MAX) }
    }
}

impl Account {
    pub(crate) fn charge_locally(
        &mut self,
        now: units_time::MonoInstant,
        started_at: units_time::MonoInstant,
        wait_until: units_time::MonoInstant,
    ) -> LocalCharge {
        let has_waited =
            self.token_wait.is_recovering(now) && now.since(started_at) > TOKEN_WAIT_MIN;
        let is_charged = match has_waited {
            true => self.balance.spend_spare(now),
            false => self.balance.spend(now),
        };
        if is_charged {
            return match self.should_prefetch(now) {
                true => LocalCharge::NeedsLoan(LoanPurpose::Prefetch),
                false => LocalCharge::Done(ChargeAttempt::Charged),
            };
        }
        if self.token_wait.is_spent(now, self.holders.len().saturating_sub(1)) {
            return match now.since(self.last_prefetch_at) >= PROBE_INTERVAL {
                true => LocalCharge::NeedsLoan(LoanPurpose::Probe),
                false => LocalCharge::Done(self.refuse_or_wait(now, wait_until)),
            };
        }
        if now < self.no_lenders_until || now >= wait_until {
            return LocalCharge::Done(self.refuse_or_wait(now, wait_until));
        }
        match self.lender_search.response_deadline() {
            Some(response_deadline) if now < response_deadline => {
                LocalCharge::Done(self.wait_for_loan(response_deadline))
            }
            _ => LocalCharge::NeedsLoan(LoanPurpose::Waiting),
        }
    }

    /// Refuses a request that no lender serves, unless the account recovers: then tokens are due soon,
    /// and the request waits for them.
    fn refuse_or_wait(
        &mut self,
        now: units_time::MonoInstant,
        wait_until: units_time::MonoInstant,
    ) -> ChargeAttempt {
        if now >= wait_until || !self.token_wait.is_recovering(now) {
            return ChargeAttempt::Refused(self.charge_error(now));
        }
        let next_token_in = self.balance.next_token_in(now).unwrap_or(NO_LENDERS_BACKOFF);
        let next_try_at = now.after(next_token_in.max(TOKEN_WAIT_MIN)).min(wait_until);
        ChargeAttempt::Wait(self.loan_received.clone().notified_owned(), next_try_at)
    }

    /// Returns how long a request may wait at most for its token.
    pub(crate) fn wait_max(
        &self,
        now: units_time::MonoInstant,
        latency_objective: time::Duration,
    ) -> time::Duration {
        self.token_wait.wait_max(now, latency_objective)
    }

    /// Asks the next lender for a token that later requests may use; this one is refused, or waits.
    pub(crate) fn probe_request(
        &mut self,
        now: units_time::MonoInstant,
        wait_until: units_time::MonoInstant,
        reachable: &reachable_peers::ReachablePeers,
    ) -> (LoanRequest, ChargeAttempt) {
        self.last_prefetch_at = now;
        let nonce = id::Nonce(now.0);
        let lenders = self.next_lenders(now, nonce, reachable);
        if lenders.is_empty() {
            self.lender_search.restart();
        }
        // More could expire unspent here while other machines refuse requests for lack of it.
        let wanted = rate::NanoTokens(rate::NANO_PER_TOKEN);
        let attempt = self.refuse_or_wait(now, wait_until);
        (LoanRequest { nonce, lenders, wanted, need: token_balance::Need::Waiting }, attempt)
    }

    fn wait_for_loan(&self, response_deadline: units_time::MonoInstant) -> ChargeAttempt {
        ChargeAttempt::Wait(self.loan_received.clone().notified_owned(), response_deadline)
    }

    /// Returns whether to request loans before the balance runs out.
    fn should_prefetch(&mut self, now: units_time::MonoInstant) -> bool {
        now.since(self.last_prefetch_at) >= PREFETCH_INTERVAL
            && self.lender_search.all_responded()
            && now >= self.no_lenders_until
            && self.balance.prefetch_amount(now).0 > 0
    }

    /// Returns the holders to ask in the next round of the search.
    fn next_lenders(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        reachable: &reachable_peers::ReachablePeers,
    ) -> Vec<id::VmId> {
        let near = reachable_peers::holders_among(&reachable.near, &self.holders);
        let far = reachable_peers::holders_among(&reachable.far, &self.holders);
        self.lender_search.next_round(
            now,
            nonce,
            lender_search::Candidates { near: &near, far: &far },
        )
    }

    /// Starts a new search and returns the loan request that refills a low balance, divided among
    /// the lenders.
    pub(crate) fn prefetch_request(
        &mut self,
        now: units_time::MonoInstant,
        reachable: &reachable_peers::ReachablePeers,
    ) -> LoanRequest {
        self.last_prefetch_at = now;
        self.lender_search.restart();
        let nonce = id::Nonce(now.0);
        let lenders = self.next_lenders(now, nonce, reachable);
        let count = i64::try_from(lenders.len().max(1)).unwrap_or(i64::MAX);
        let wanted = rate::NanoTokens(self.balance.prefetch_amount(now).0 / count);
        LoanRequest { nonce, lenders, wanted, need: token_balance::Need::Prefetch }
    }

    /// Returns the next loan request for a request that waits; the charge is refused once all
    /// holders have been asked.
    pub(crate) fn loan_request(
        &mut self,
        now: units_time::MonoInstant,
        wait_until: units_time::MonoInstant,
        reachable: &reachable_peers::ReachablePeers,
    ) -> (LoanRequest, ChargeAttempt) {
        let nonce = id::Nonce(now.0);
        let lenders = self.next_lenders(now, nonce, reachable);
        let wanted = self.balance.loan_amount_per_lender(lenders.len());
        let attempt = match self.lender_search.response_deadline() {
            Some(response_deadline) => self.wait_for_loan(response_deadline),
            None => {
                self.no_lenders_until = now.after(NO_LENDERS_BACKOFF);
                self.has_holder_response = self.lender_search.has_response();
                self.lender_search.restart();
                self.refuse_or_wait(now, wait_until)
            }
        };
        (LoanRequest { nonce, lenders, wanted, need: token_balance::Need::Waiting }, attempt)
    }
}
