//! The tokens of one organisation on one machine: its own share, and what others lent.
//!
//! A lender takes tokens out before it sends them and keeps that much room empty until the loan
//! has surely expired, so tokens on the way never widen the burst. A loan that is lost is lost.

use std::time;

use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::bucket;
use crate::contract;
use crate::demand;

/// How long a loan may be spent, counted by the borrower from when it asked.
pub const LOAN_VALIDITY: time::Duration = time::Duration::from_millis(1_000);

/// The part of a share's burst that is lent only to who has a request waiting: one in this many.
const RESERVE: i64 = 2;

/// The span whose requests tell how many tokens are asked for.
const DEMAND_WINDOW: time::Duration = time::Duration::from_millis(250);

/// One whole token.
const TOKEN: rate::NanoTokens = rate::NanoTokens(rate::NANO_PER_TOKEN);

/// Tokens that count until an instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Loan {
    amount: rate::NanoTokens,
    until: units_time::MonoInstant,
}

/// How much a borrower needs what it asks for.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Need {
    /// Requests are expected.
    Ahead,
    /// A request waits.
    Waiting,
}

/// The tokens of one organisation on one machine.
#[derive(Debug, Clone)]
pub struct TokenBalance {
    part: contract::RateLimit,
    part_until: units_time::MonoInstant,
    bucket: bucket::Bucket,
    borrowed: Vec<Loan>,
    lent: Vec<Loan>,
    demand: demand::Demand,
}

impl TokenBalance {
    /// Creates a purse that holds nothing yet.
    ///
    /// It begins empty, so that what was spent before a restart can't be spent again.
    pub const fn empty(now: units_time::MonoInstant) -> Self {
        Self {
            part: contract::RateLimit::NONE,
            part_until: units_time::MonoInstant(0),
            bucket: bucket::Bucket::empty(now),
            borrowed: Vec::new(),
            lent: Vec::new(),
            demand: demand::Demand {
                window_began_at: units_time::MonoInstant(0),
                current: 0,
                previous: 0,
            },
        }
    }

    /// Changes this machine's own part from `now` until `until`; it has none after that.
    pub fn set_part(
        &mut self,
        now: units_time::MonoInstant,
        part: contract::RateLimit,
        until: units_time::MonoInstant,
    ) {
        self.refresh(now);
        self.part = part;
        self.part_until = until;
        self.refresh(now);
    }

    /// Tells whether this machine has a part of its own at `now`.
    pub fn has_part(&self, now: units_time::MonoInstant) -> bool {
        now < self.part_until && self.part != contract::RateLimit::NONE
    }

    /// Takes one token; returns whether there was one.
    ///
    /// Borrowed tokens go first, since they expire.
    pub fn spend(&mut self, now: units_time::MonoInstant) -> bool {
        self.refresh(now);
        if self.level().0 < TOKEN.0 {
            return false;
        }
        self.demand.count(now, DEMAND_WINDOW);
        let mut due = TOKEN;
        for loan in &mut self.borrowed {
            let taken = loan.amount.min(due);
            loan.amount = loan.amount.minus(taken);
            due = due.minus(taken);
        }
        self.bucket.take(due);
        true
    }

    /// Puts back a token that was taken for a request which was never sent.
    ///
    /// It goes to this machine's own part, so that there is never more than that has room for.
    pub fn refund(&mut self, now: units_time::MonoInstant) {
        self.bucket.put_back(TOKEN);
        self.refresh(now);
    }

    /// Takes out up to `wanted` for another machine and returns how much that is.
    ///
    /// Only whole tokens are lent: parts of tokens from several lenders would seldom sum up to a
    /// whole one before they expire.
    pub fn lend(
        &mut self,
        now: units_time::MonoInstant,
        wanted: rate::NanoTokens,
        need: Need,
    ) -> rate::NanoTokens {
        self.refresh(now);
        let reserve = match need {
            Need::Ahead => rate::NanoTokens(self.part.burst_tokens.0 / RESERVE),
            Need::Waiting => rate::NanoTokens::ZERO,
        };
        let spare = self.bucket.level().minus(reserve);
        let amount = wanted.min(spare).whole().nano();
        if amount.0 <= 0 {
            return rate::NanoTokens::ZERO;
        }
        self.bucket.take(amount);
        let until = now.after(units_time::extend_by_clock_drift(LOAN_VALIDITY));
        self.lent.push(Loan { amount, until });
        amount
    }

    /// Takes in what another machine lent after being asked at `asked_at`.
    pub fn receive(
        &mut self,
        now: units_time::MonoInstant,
        asked_at: units_time::MonoInstant,
        amount: rate::NanoTokens,
    ) {
        let until = asked_at.after(units_time::shorten_by_clock_drift(LOAN_VALIDITY));
        if now < until && amount.0 > 0 {
            self.borrowed.push(Loan { amount, until });
        }
    }

    /// Returns how much to ask others for ahead of need; nothing while there is enough.
    pub fn prefetch_amount(&mut self, now: units_time::MonoInstant) -> rate::NanoTokens {
        self.refresh(now);
        let usual = self.demand.ahead().nano();
        let enough = match self.has_part(now) {
            true => usual.min(rate::NanoTokens(self.part.burst_tokens.0 / RESERVE)),
            false => usual,
        };
        match self.level() < enough {
            true => usual.minus(self.level()),
            false => rate::NanoTokens::ZERO,
        }
    }

    /// Returns how much to ask each of `lenders` members for while a request waits.
    pub fn loan_amount_per_lender(&self, lenders: usize) -> rate::NanoTokens {
        let lenders = i64::try_from(lenders.max(1)).unwrap_or(i64::MAX);
        rate::NanoTokens(self.demand.ahead().nano().0 / lenders).max(TOKEN)
    }

    /// Returns when the next token is there if nobody lends any; none without a share.
    pub fn next_token_in(&mut self, now: units_time::MonoInstant) -> Option<time::Duration> {
        self.refresh(now);
        let missing = TOKEN.minus(self.level());
        let span = self.part.rate_per_second.time_to_yield(missing);
        (span != time::Duration::MAX).then_some(span)
    }

    /// Returns the tokens that can be spent, as of the last change.
    fn level(&self) -> rate::NanoTokens {
        let borrowed = self.borrowed.iter().map(|loan| loan.amount);
        borrowed.fold(self.bucket.level(), rate::NanoTokens::plus)
    }

    fn refresh(&mut self, now: units_time::MonoInstant) {
        if now >= self.part_until {
            self.part = contract::RateLimit::NONE;
        }
        self.borrowed.retain(|loan| now < loan.until && loan.amount.0 > 0);
        self.lent.retain(|loan| now < loan.until);
        let lent = self.lent.iter().fold(rate::NanoTokens::ZERO, |sum, loan| sum.plus(loan.amount));
        let room = self.part.burst_tokens.minus(lent).max(rate::NanoTokens::ZERO);
        self.bucket.refill(now, self.part.rate_per_second, room);
    }
}
