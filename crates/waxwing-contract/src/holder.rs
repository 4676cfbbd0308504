//! Grants tokens of a part that this machine holds.

use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::bucket;
use crate::contract;
use crate::message;
use crate::options;

/// Later than any instant that a process reaches.
const NEVER: units_time::MonoInstant = units_time::MonoInstant(u64::MAX);

/// Tokens of each bucket that are not granted as prefetch.
///
/// A small bucket has none to spare: a token that one machine prefetches is missing for a request
/// on another.
const PREFETCH_RESERVE: rate::Tokens = rate::Tokens(8);

/// A grant that is neither settled nor expired.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OutstandingGrant {
    borrower: message::Peer,
    nonce: id::Nonce,
    tokens: rate::Tokens,
    start_at: units_time::MonoInstant,
    expires_at: units_time::MonoInstant,
}

/// A leased floor part, which counts with the base part until `usable_until`.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Lease {
    failure_domain: id::FailureDomainId,
    lent: contract::RateLimit,
    usable_until: units_time::MonoInstant,
}

/// A borrower's request for tokens of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRequest {
    /// The process that requests the tokens.
    pub borrower: message::Peer,
    /// Identifies the request among those of the same borrower; a retry has the same nonce.
    pub nonce: id::Nonce,
    /// Tokens that are needed now.
    pub needed: rate::Tokens,
    /// Tokens to prefetch besides, if the part has tokens to spare.
    pub prefetch: rate::Tokens,
    /// How long the borrower can wait for the tokens.
    pub wait: time::Duration,
    /// How long ago the caller's request was made, as estimated by the borrower.
    pub age: time::Duration,
}

/// The response to a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenResponse {
    /// Tokens are granted.
    Granted {
        /// The number of granted tokens.
        tokens: rate::Tokens,
        /// How long the borrower must wait before it spends the first token.
        start_after: time::Duration,
    },
    /// No tokens are granted.
    Denied(message::Denial),
}

/// Grants the tokens of a part that this machine holds.
#[derive(Debug, Clone)]
pub struct Holder {
    options: options::Options,
    own: contract::RateLimit,
    bucket: bucket::Bucket,
    /// What a central bucket would contain that sees each request when it is made.
    ///
    /// It selects the requests that tokens are reserved for, the conforming ones, and grants
    /// nothing by itself. It starts full, since the start of a machine would not have emptied a
    /// central bucket.
    reference: bucket::Bucket,
    grants_from: units_time::MonoInstant,
    /// Sorted by borrower and nonce.
    outstanding: Vec<OutstandingGrant>,
    outstanding_sum: rate::Tokens,
    next_expiry_at: units_time::MonoInstant,
    leases: Vec<Lease>,
}

impl Holder {
    /// Creates the holder of a part with the limit `own`, with an empty bucket.
    ///
    /// It grants nothing before `grants_from`, when all grants of its predecessor have expired.
    pub const fn new(
        options: options::Options,
        own: contract::RateLimit,
        grants_from: units_time::MonoInstant,
    ) -> Self {
        Self {
            options,
            own,
            bucket: bucket::Bucket::empty(grants_from),
            reference: bucket::Bucket::with_level(grants_from, own.burst_tokens),
            grants_from,
            outstanding: Vec::new(),
            outstanding_sum: rate::Tokens(0),
            next_expiry_at: NEVER,
            leases: Vec::new(),
        }
    }

    /// Replaces the limit of the held part after a change of the contract.
    pub fn set_part(&mut self, now: units_time::MonoInstant, own: contract::RateLimit) {
        self.advance(now);
        self.own = own;
        self.advance(now);
    }

    /// Reduces leases to what the contract now allows for each failure domain.
    pub fn limit_leases(
        &mut self,
        now: units_time::MonoInstant,
        allowed: impl Fn(&id::FailureDomainId) -> contract::RateLimit,
    ) {
        self.advance(now);
        for lease in &mut self.leases {
            lease.lent = lease.lent.component_min(allowed(&lease.failure_domain));
        }
        self.advance(now);
    }

    /// Adds or renews the lease of a floor part that was requested at `requested_at`.
    pub fn add_lease(
        &mut self,
        now: units_time::MonoInstant,
        failure_domain: &id::FailureDomainId,
        lent: contract::RateLimit,
        requested_at: units_time::MonoInstant,
    ) {
        self.advance(now);
        let usable_until = requested_at.after(self.options.borrower_lease_validity());
        if usable_until <= now {
            return;
        }
        let lease = Lease { failure_domain: failure_domain.clone(), lent, usable_until };
        match self.leases.binary_search_by(|l| l.failure_domain.cmp(failure_domain)) {
            Ok(at) => self.leases[at] = lease,
            Err(at) => self.leases.insert(at, lease),
        }
    }

    /// Returns the limit of the held part with all leases that counted as of the last call.
    pub fn part(&self) -> contract::RateLimit {
        self.leases.iter().fold(self.own, |sum, lease| sum.plus(lease.lent))
    }

    /// Returns the level of the bucket as of the last call.
    pub const fn level(&self) -> rate::NanoTokens {
        self.bucket.level()
    }

    /// Returns whether any grant is neither settled nor expired.
    pub fn has_outstanding(&self) -> bool {
        !self.outstanding.is_empty()
    }

    /// Updates leases, bucket level and grants to `now`.
    ///
    /// The order is conservative: a lease that expired since the last call adds no refill, and a
    /// grant that expired since then still counts against the capacity.
    pub fn advance(&mut self, now: units_time::MonoInstant) {
        self.leases.retain(|lease| lease.usable_until > now);
        let part = self.part();
        let capacity = part.burst_tokens.minus(self.outstanding_sum.nano());
        self.bucket.refill(now, part.rate_per_second, capacity);
        if now >= self.next_expiry_at {
            self.expire(now);
        }
    }

    fn expire(&mut self, now: units_time::MonoInstant) {
        self.outstanding.retain(|grant| grant.expires_at > now);
        self.outstanding_sum = rate::Tokens(self.outstanding.iter().map(|g| g.tokens.0).sum());
        self.next_expiry_at = self.outstanding.iter().map(|g| g.expires_at).min().unwrap_or(NEVER);
    }

    /// Responds to a token request.
    ///
    /// A retried request gets the same response and takes no second token.
    pub fn request_tokens(
        &mut self,
        now: units_time::MonoInstant,
        request: &TokenRequest,
    ) -> TokenResponse {
        self.advance(now);
        if now < self.grants_from {
            return TokenResponse::Denied(message::Denial::Starting);
        }
        if request.needed.0 == 0 && request.prefetch.0 == 0 {
            return TokenResponse::Granted {
                tokens: rate::Tokens(0),
                start_after: time::Duration::ZERO,
            };
        }
        match self.find(&request.borrower, request.nonce) {
            Ok(at) => {
                let grant = &self.outstanding[at];
                TokenResponse::Granted {
                    tokens: grant.tokens,
                    start_after: grant.start_at.since(now),
                }
            }
            Err(at) => self.grant(now, request, at),
        }
    }

    /// Returns the index of a grant, or where to insert it.
    fn find(&self, borrower: &message::Peer, nonce: id::Nonce) -> Result<usize, usize> {
        let wanted = (borrower, nonce);
        self.outstanding.binary_search_by(|grant| (&grant.borrower, grant.nonce).cmp(&wanted))
    }

    /// Takes a request's tokens from the reference bucket, as of when the request was made, and
    /// returns whether there were enough.
    fn reference_admits(&mut self, now: units_time::MonoInstant, request: &TokenRequest) -> bool {
        let part = self.part();
        let made_at = now.before(request.age);
        self.reference.refill(made_at, part.rate_per_second, part.burst_tokens);
        let reference_admits = self.reference.level() >= request.needed.nano();
        if reference_admits {
            self.reference.take(request.needed.nano());
        }
        reference_admits
    }

    /// Returns whether the `remaining` tokens cover those that are reserved for conforming
    /// requests: as many as the reference bucket contains.
    fn has_surplus(&self, remaining: rate::NanoTokens) -> bool {
        remaining >= self.reference.level()
    }

    fn grant(
        &mut self,
        now: units_time::MonoInstant,
        request: &TokenRequest,
        at: usize,
    ) -> TokenResponse {
        let part = self.part();
        let reference_admits = self.reference_admits(now, request);
        let remaining = self.bucket.level().minus(request.needed.nano());
        let deficit = rate::NanoTokens::ZERO.minus(remaining);
        let start_after =
            units_time::extend_by_clock_drift(part.rate_per_second.time_to_yield(deficit));
        let outstanding = self.outstanding_sum.nano().plus(request.needed.nano());
        let is_in_time = deficit.0 <= 0 || start_after <= request.wait.min(self.options.debt_max);
        let is_reserved = !reference_admits && !self.has_surplus(remaining);
        if outstanding > part.burst_tokens || !is_in_time || is_reserved {
            return TokenResponse::Denied(self.exhausted(start_after));
        }
        let start_after = if deficit.0 <= 0 { time::Duration::ZERO } else { start_after };
        let prefetched = self.prefetch_tokens(remaining, part, request.prefetch);
        self.reference.take(prefetched.nano());
        let tokens = rate::Tokens(request.needed.0 + prefetched.0);
        if tokens.0 == 0 {
            return TokenResponse::Denied(self.exhausted(time::Duration::ZERO));
        }
        self.bucket.take(tokens.nano());
        let expires_at = now.after(self.options.holder_grant_validity());
        self.next_expiry_at = self.next_expiry_at.min(expires_at);
        self.outstanding_sum.0 += tokens.0;
        let (borrower, start_at) = (request.borrower.clone(), now.after(start_after));
        let grant =
            OutstandingGrant { borrower, nonce: request.nonce, tokens, start_at, expires_at };
        self.outstanding.insert(at, grant);
        TokenResponse::Granted { tokens, start_after }
    }

    /// Returns how many of the `prefetch` tokens can be granted so that the bucket stays at least
    /// half full and has at least [`PREFETCH_RESERVE`].
    fn prefetch_tokens(
        &self,
        remaining: rate::NanoTokens,
        part: contract::RateLimit,
        prefetch: rate::Tokens,
    ) -> rate::Tokens {
        let half = rate::NanoTokens(part.burst_tokens.0 / 2);
        let reserve = half.max(PREFETCH_RESERVE.nano());
        remaining.minus(reserve).whole().min(prefetch)
    }

    fn exhausted(&self, start_after: time::Duration) -> message::Denial {
        let millis = u64::try_from(start_after.as_millis()).unwrap_or(u64::MAX);
        message::Denial::Exhausted { retry_after_ms: units_time::Millis(millis) }
    }

    /// Ends a grant whose tokens are spent, and refunds the `unspent` ones.
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
        self.bucket.refund(unspent.nano());
        self.reference.refund(unspent.nano());
    }
}
