//! The tokens of one organisation on one machine: its own share, and loans from other machines.
//!
//! A lender takes the tokens out before it sends them, and keeps that part of its burst unused
//! until the loan has expired for certain. Tokens in transit therefore never raise the total burst.
//! A loan that is lost in transit is not recovered.

use std::time;

use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::bucket;
use crate::contract;
use crate::demand;

/// How long a borrower may spend a loan, counted from when it sent the request.
pub const LOAN_VALIDITY: time::Duration = time::Duration::from_millis(1_000);

/// The reserve of a share, which is lent only for a waiting request, is its burst divided by this.
const RESERVE_DIVISOR: i64 = 2;

/// The window in which requests are counted to estimate how many tokens to prefetch.
const DEMAND_WINDOW: time::Duration = time::Duration::from_millis(250);

/// One whole token.
const ONE_TOKEN: rate::NanoTokens = rate::NanoTokens(rate::NANO_PER_TOKEN);

/// Tokens that were lent or borrowed, until the loan expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Loan {
    amount: rate::NanoTokens,
    expires_at: units_time::MonoInstant,
}

/// Why a borrower requests a loan.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Need {
    /// Requests are expected; no request waits yet.
    Prefetch,
    /// A request waits for a token.
    Waiting,
}

/// The tokens of one organisation on one machine: its own share, and loans from other machines.
#[derive(Debug, Clone)]
pub struct TokenBalance {
    share_limit: contract::RateLimit,
    share_expires_at: units_time::MonoInstant,
    bucket: bucket::Bucket,
    borrowed: Vec<Loan>,
    lent: Vec<Loan>,
    demand: demand::Demand,
}

impl TokenBalance {
    /// Creates a balance without any tokens.
    ///
    /// It starts empty, so that tokens that were spent before a restart can't be spent again.
    pub const fn empty(now: units_time::MonoInstant) -> Self {
        Self {
            share_limit: contract::RateLimit::NONE,
            share_expires_at: units_time::MonoInstant(0),
            bucket: bucket::Bucket::empty(now),
            borrowed: Vec::new(),
            lent: Vec::new(),
            demand: demand::Demand {
                window_started_at: units_time::MonoInstant(0),
                current: 0,
                previous: 0,
            },
        }
    }

    /// Replaces this machine's share of the contract; the share expires at `expires_at`.
    pub fn set_share(
        &mut self,
        now: units_time::MonoInstant,
        share_limit: contract::RateLimit,
        expires_at: units_time::MonoInstant,
    ) {
        self.refresh(now);
        self.share_limit = share_limit;
        self.share_expires_at = expires_at;
        self.refresh(now);
    }

    /// Returns whether this machine has a share of the contract at `now`.
    pub fn has_share(&self, now: units_time::MonoInstant) -> bool {
        now < self.share_expires_at && self.share_limit != contract::RateLimit::NONE
    }

    /// Takes one token and returns whether there was one.
    pub fn spend(&mut self, now: units_time::MonoInstant) -> bool {
        self.spend_above(now, rate::NanoTokens::ZERO)
    }

    /// Takes one token if one is left for another request then, and returns whether there was one.
    ///
    /// A request that has waited is late already, so it leaves the last token to one that arrives now.
    pub fn spend_spare(&mut self, now: units_time::MonoInstant) -> bool {
        self.spend_above(now, ONE_TOKEN)
    }

    /// Takes one token if `reserve` is left then.
    ///
    /// Borrowed tokens are spent first, since they expire.
    fn spend_above(&mut self, now: units_time::MonoInstant, reserve: rate::NanoTokens) -> bool {
        self.refresh(now);
        if self.level().0 < ONE_TOKEN.plus(reserve).0 {
            return false;
        }
        self.demand.record(now, DEMAND_WINDOW);
        let mut remaining = ONE_TOKEN;
        for loan in &mut self.borrowed {
            let taken = loan.amount.min(remaining);
            loan.amount = loan.amount.minus(taken);
            remaining = remaining.minus(taken);
        }
        self.bucket.take(remaining);
        true
    }

    /// Puts back a token that was spent for a request which was never sent.
    ///
    /// It goes to this machine's own share, so that the balance never exceeds the capacity of the
    /// share.
    pub fn refund(&mut self, now: units_time::MonoInstant) {
        self.bucket.refund(ONE_TOKEN);
        self.refresh(now);
    }

    /// Takes out up to `wanted` tokens for another machine and returns the lent amount.
    ///
    /// Only whole tokens are lent: fractions from several lenders would seldom sum up to a whole
    /// token before they expire.
    pub fn lend(
        &mut self,
        now: units_time::MonoInstant,
        wanted: rate::NanoTokens,
        need: Need,
    ) -> rate::NanoTokens {
        self.refresh(now);
        let reserve = match need {
            Need::Prefetch => rate::NanoTokens(self.share_limit.burst_tokens.0 / RESERVE_DIVISOR),
            Need::Waiting => rate::NanoTokens::ZERO,
        };
        let spare = self.bucket.level().minus(reserve);
        let amount = wanted.min(spare).whole().nano();
        if amount.0 <= 0 {
            return rate::NanoTokens::ZERO;
        }
        self.bucket.take(amount);
        let expires_at = now.after(units_time::extend_by_clock_drift(LOAN_VALIDITY));
        self.lent.push(Loan { amount, expires_at });
        amount
    }

    /// Adds the tokens of a loan that was requested at `requested_at`.
    pub fn receive(
        &mut self,
        now: units_time::MonoInstant,
        requested_at: units_time::MonoInstant,
        amount: rate::NanoTokens,
    ) {
        let expires_at = requested_at.after(units_time::shorten_by_clock_drift(LOAN_VALIDITY));
        if now < expires_at && amount.0 > 0 {
            self.borrowed.push(Loan { amount, expires_at });
        }
    }

    /// Returns how many tokens to prefetch from other machines; zero while the balance covers the
    /// recent demand.
    pub fn prefetch_amount(&mut self, now: units_time::MonoInstant) -> rate::NanoTokens {
        self.refresh(now);
        let expected = self.demand.prefetch_target().nano();
        let target = match self.has_share(now) {
            true => {
                expected.min(rate::NanoTokens(self.share_limit.burst_tokens.0 / RESERVE_DIVISOR))
            }
            false => expected,
        };
        match self.level() < target {
            true => expected.minus(self.level()),
            false => rate::NanoTokens::ZERO,
        }
    }

    /// Returns how many tokens to request from each of `lenders` members while a request waits.
    pub fn loan_amount_per_lender(&self, lenders: usize) -> rate::NanoTokens {
        let lenders = i64::try_from(lenders.max(1)).unwrap_or(i64::MAX);
        rate::NanoTokens(self.demand.prefetch_target().nano().0 / lenders).max(ONE_TOKEN)
    }

    /// Returns the time until the refill yields the next token, without loans; `None` without a
    /// share.
    pub fn next_token_in(&mut self, now: units_time::MonoInstant) -> Option<time::Duration> {
        self.refresh(now);
        let missing = ONE_TOKEN.minus(self.level());
        let span = self.share_limit.rate_per_second.time_to_yield(missing);
        (span != time::Duration::MAX).then_some(span)
    }

    /// Returns the time in which this machine's share yields one token; `None` without a share.
    pub fn token_interval(&self) -> Option<time::Duration> {
        let interval = self.share_limit.rate_per_second.time_to_yield(ONE_TOKEN);
        (interval != time::Duration::MAX).then_some(interval)
    }

    /// Returns the spendable tokens as of the last call of [`Self::refresh`].
    fn level(&self) -> rate::NanoTokens {
        let borrowed = self.borrowed.iter().map(|loan| loan.amount);
        borrowed.fold(self.bucket.level(), rate::NanoTokens::plus)
    }

    fn refresh(&mut self, now: units_time::MonoInstant) {
        if now >= self.share_expires_at {
            self.share_limit = contract::RateLimit::NONE;
        }
        self.borrowed.retain(|loan| now < loan.expires_at && loan.amount.0 > 0);
        self.lent.retain(|loan| now < loan.expires_at);
        let lent = self.lent.iter().fold(rate::NanoTokens::ZERO, |sum, loan| sum.plus(loan.amount));
        let capacity = self.share_limit.burst_tokens.minus(lent).max(rate::NanoTokens::ZERO);
        self.bucket.refill(now, self.share_limit.rate_per_second, capacity);
    }
}
