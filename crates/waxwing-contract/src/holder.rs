//! Grants tokens of a part that this machine holds.

use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::bucket;
use crate::contract;
use crate::message;
use crate::options;

/// Later than any instant at which something happens.
const NEVER: units_time::MonoInstant = units_time::MonoInstant(u64::MAX);

/// Tokens that are not handed out ahead of need.
///
/// A small bucket has none to spare: one machine's token ahead is another one's refusal.
const KEPT_FROM_AHEAD: rate::Tokens = rate::Tokens(8);

/// A grant that is neither settled nor expired.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Outstanding {
    borrower: message::Peer,
    nonce: id::Nonce,
    tokens: rate::Tokens,
    start_at: units_time::MonoInstant,
    expires_at: units_time::MonoInstant,
}

/// A floor part that counts with the base part for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Lease {
    failure_domain: id::FailureDomainId,
    lent: contract::RateLimit,
    counts_until: units_time::MonoInstant,
}

/// What a borrower asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRequest {
    /// Who asks.
    pub borrower: message::Peer,
    /// Tells the question from others of the same borrower.
    pub nonce: id::Nonce,
    /// Tokens that are needed now.
    pub needed: rate::Tokens,
    /// Tokens that are welcome besides, if there are plenty.
    pub ahead: rate::Tokens,
    /// How long the borrower can wait.
    pub wait: time::Duration,
    /// How long ago the request was made, by the borrower's estimate.
    pub age: time::Duration,
}

/// The answer to an [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenResponse {
    /// Tokens are granted.
    Granted {
        /// How many.
        tokens: rate::Tokens,
        /// How long the borrower waits before it spends the first one.
        start_after: time::Duration,
    },
    /// Nothing is granted.
    Denied(message::Denial),
}

/// A part that this machine holds.
#[derive(Debug, Clone)]
pub struct Holder {
    options: options::Options,
    own: contract::RateLimit,
    bucket: bucket::Bucket,
    /// What a central bucket would hold that sees each request when it is made.
    ///
    /// It decides nothing by itself: it tells which requests the tokens are kept for. It starts
    /// full, since a central bucket would not have been emptied by the start of a machine.
    ideal: bucket::Bucket,
    quiet_until: units_time::MonoInstant,
    /// Sorted by borrower and nonce.
    outstanding: Vec<Outstanding>,
    outstanding_sum: rate::Tokens,
    first_expiry: units_time::MonoInstant,
    leases: Vec<Lease>,
}

impl Holder {
    /// Creates the holder of `own`, with an empty bucket.
    ///
    /// It grants nothing before `quiet_until`, when all grants of its predecessor have expired.
    pub const fn new(
        options: options::Options,
        own: contract::RateLimit,
        quiet_until: units_time::MonoInstant,
    ) -> Self {
        Self {
            options,
            own,
            bucket: bucket::Bucket::empty(quiet_until),
            ideal: bucket::Bucket::full(quiet_until, own.burst_tokens),
            quiet_until,
            outstanding: Vec::new(),
            outstanding_sum: rate::Tokens(0),
            first_expiry: NEVER,
            leases: Vec::new(),
        }
    }

    /// Replaces the held part after a change of the contract.
    pub fn set_part(&mut self, now: units_time::MonoInstant, own: contract::RateLimit) {
        self.advance(now);
        self.own = own;
        self.advance(now);
    }

    /// Lowers leases to what the contract now allows each failure domain.
    pub fn limit_leases(
        &mut self,
        now: units_time::MonoInstant,
        allowed: impl Fn(&id::FailureDomainId) -> contract::RateLimit,
    ) {
        self.advance(now);
        for lease in &mut self.leases {
            lease.lent = lease.lent.smaller(allowed(&lease.failure_domain));
        }
        self.advance(now);
    }

    /// Adds or renews the lease of a floor part that was asked for at `asked_at`.
    pub fn add_lease(
        &mut self,
        now: units_time::MonoInstant,
        failure_domain: &id::FailureDomainId,
        lent: contract::RateLimit,
        asked_at: units_time::MonoInstant,
    ) {
        self.advance(now);
        let counts_until = asked_at.after(self.options.borrower_lease_validity());
        if counts_until <= now {
            return;
        }
        let lease = Lease { failure_domain: failure_domain.clone(), lent, counts_until };
        match self.leases.binary_search_by(|l| l.failure_domain.cmp(failure_domain)) {
            Ok(at) => self.leases[at] = lease,
            Err(at) => self.leases.insert(at, lease),
        }
    }

    /// Returns the held part with all leases that count at the last call.
    pub fn part(&self) -> contract::RateLimit {
        self.leases.iter().fold(self.own, |sum, lease| sum.plus(lease.lent))
    }

    /// Returns the level of the bucket at the last call.
    pub const fn level(&self) -> rate::NanoTokens {
        self.bucket.level()
    }

    /// Tells whether any grant is neither settled nor expired.
    pub fn has_outstanding(&self) -> bool {
        !self.outstanding.is_empty()
    }

    /// Brings leases, level and grants up to `now`.
    ///
    /// The order is the cautious one: what lapsed since the last call did not refill, and what
    /// expired since then still took up room.
    pub fn advance(&mut self, now: units_time::MonoInstant) {
        self.leases.retain(|lease| lease.counts_until > now);
        let part = self.part();
        let room = part.burst_tokens.minus(self.outstanding_sum.nano());
        self.bucket.refill(now, part.rate_per_second, room);
        if now >= self.first_expiry {
            self.expire(now);
        }
    }

    fn expire(&mut self, now: units_time::MonoInstant) {
        self.outstanding.retain(|grant| grant.expires_at > now);
        self.outstanding_sum = rate::Tokens(self.outstanding.iter().map(|g| g.tokens.0).sum());
        self.first_expiry = self.outstanding.iter().map(|g| g.expires_at).min().unwrap_or(NEVER);
    }

    /// Answers a question for tokens.
    ///
    /// A question that was answered before gets the same answer and takes no second token.
    pub fn request_tokens(
        &mut self,
        now: units_time::MonoInstant,
        ask: &TokenRequest,
    ) -> TokenResponse {
        self.advance(now);
        if now < self.quiet_until {
            return TokenResponse::Denied(message::Denial::Starting);
        }
        if ask.needed.0 == 0 && ask.ahead.0 == 0 {
            return TokenResponse::Granted {
                tokens: rate::Tokens(0),
                start_after: time::Duration::ZERO,
            };
        }
        match self.find(&ask.borrower, ask.nonce) {
            Ok(at) => {
                let grant = &self.outstanding[at];
                TokenResponse::Granted {
                    tokens: grant.tokens,
                    start_after: grant.start_at.since(now),
                }
            }
            Err(at) => self.grant(now, ask, at),
        }
    }

    /// Returns the place of a grant, or where it would be.
    fn find(&self, borrower: &message::Peer, nonce: id::Nonce) -> Result<usize, usize> {
        let wanted = (borrower, nonce);
        self.outstanding.binary_search_by(|grant| (&grant.borrower, grant.nonce).cmp(&wanted))
    }

    /// Takes a request's tokens from the ideal bucket, at the time when it was made; returns
    /// whether there were enough.
    fn is_due(&mut self, now: units_time::MonoInstant, ask: &TokenRequest) -> bool {
        let part = self.part();
        let made_at = now.before(ask.age);
        self.ideal.refill(made_at, part.rate_per_second, part.burst_tokens);
        let is_due = self.ideal.level() >= ask.needed.nano();
        if is_due {
            self.ideal.take(ask.needed.nano());
        }
        is_due
    }

    /// Tells whether there are more tokens than those kept for requests that are due.
    fn has_surplus(&self, left: rate::NanoTokens) -> bool {
        left >= self.ideal.level()
    }

    fn grant(
        &mut self,
        now: units_time::MonoInstant,
        ask: &TokenRequest,
        at: usize,
    ) -> TokenResponse {
        let part = self.part();
        let is_due = self.is_due(now, ask);
        let left = self.bucket.level().minus(ask.needed.nano());
        let owed = rate::NanoTokens::ZERO.minus(left);
        let start_after =
            units_time::extend_by_clock_drift(part.rate_per_second.time_to_yield(owed));
        let outstanding = self.outstanding_sum.nano().plus(ask.needed.nano());
        let promised_in_time = owed.0 <= 0 || start_after <= ask.wait.min(self.options.debt_max);
        let is_kept_for_others = !is_due && !self.has_surplus(left);
        if outstanding > part.burst_tokens || !promised_in_time || is_kept_for_others {
            return TokenResponse::Denied(self.exhausted(start_after));
        }
        let start_after = if owed.0 <= 0 { time::Duration::ZERO } else { start_after };
        let spare = self.spare_ahead(left, part, ask.ahead);
        self.ideal.take(spare.nano());
        let tokens = rate::Tokens(ask.needed.0 + spare.0);
        if tokens.0 == 0 {
            return TokenResponse::Denied(self.exhausted(time::Duration::ZERO));
        }
        self.bucket.take(tokens.nano());
        let expires_at = now.after(self.options.holder_grant_validity());
        self.first_expiry = self.first_expiry.min(expires_at);
        self.outstanding_sum.0 += tokens.0;
        let (borrower, start_at) = (ask.borrower.clone(), now.after(start_after));
        let grant = Outstanding { borrower, nonce: ask.nonce, tokens, start_at, expires_at };
        self.outstanding.insert(at, grant);
        TokenResponse::Granted { tokens, start_after }
    }

    /// Returns the part of `ahead` that leaves the bucket at least half full, and with at least
    /// [`KEPT_FROM_AHEAD`].
    fn spare_ahead(
        &self,
        left: rate::NanoTokens,
        part: contract::RateLimit,
        ahead: rate::Tokens,
    ) -> rate::Tokens {
        let half = rate::NanoTokens(part.burst_tokens.0 / 2);
        let kept = half.max(KEPT_FROM_AHEAD.nano());
        left.minus(kept).whole().min(ahead)
    }

    fn exhausted(&self, start_after: time::Duration) -> message::Denial {
        let millis = u64::try_from(start_after.as_millis()).unwrap_or(u64::MAX);
        message::Denial::Exhausted { retry_after_ms: units_time::Millis(millis) }
    }

    /// Ends a grant whose tokens are spent, but for `unspent` ones that come back.
    pub fn settle(
        &mut self,
        now: units_time::MonoInstant,
        borrower: &message::Peer,
        nonce: id::Nonce,
        unspent: rate::Tokens,
    ) {
        self.advance(now);
        let Ok(at) = self.find(borrower, nonce) else {
            return;
        };
        let grant = self.outstanding.remove(at);
        self.outstanding_sum.0 -= grant.tokens.0;
        let unspent = grant.tokens.min(unspent);
        self.bucket.put_back(unspent.nano());
        self.ideal.put_back(unspent.nano());
    }
}
