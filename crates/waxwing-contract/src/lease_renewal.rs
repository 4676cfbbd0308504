//! The requests by which the holder of a base part renews its leases of floor parts.

use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

/// A lease request without a response.
#[derive(Debug, Clone)]
struct LeaseRequest {
    failure_domain: id::FailureDomainId,
    nonce: id::Nonce,
    requested_at: units_time::MonoInstant,
}

/// The lease requests of the current round.
#[derive(Debug)]
pub(crate) struct LeaseRenewal {
    requests: Vec<LeaseRequest>,
    next_round_at: units_time::MonoInstant,
    next_nonce: u64,
}

impl LeaseRenewal {
    /// Creates a renewal whose first round is due at `now`.
    pub(crate) const fn new(now: units_time::MonoInstant) -> Self {
        Self { requests: Vec::new(), next_round_at: now, next_nonce: 1 }
    }

    /// Returns when the next round is due.
    pub(crate) const fn next_round_at(&self) -> units_time::MonoInstant {
        self.next_round_at
    }

    /// Starts over, with a round that is due at `now`.
    pub(crate) const fn restart(&mut self, now: units_time::MonoInstant) {
        self.next_round_at = now;
    }

    /// Starts a round; responses to earlier requests no longer count.
    pub(crate) fn start_round(&mut self, now: units_time::MonoInstant, interval: time::Duration) {
        self.next_round_at = now.after(interval);
        self.requests.clear();
    }

    /// Adds a request for the floor part of `failure_domain` and returns its nonce.
    pub(crate) fn add_request(
        &mut self,
        now: units_time::MonoInstant,
        failure_domain: &id::FailureDomainId,
    ) -> id::Nonce {
        let nonce = id::Nonce(self.next_nonce);
        self.next_nonce += 1;
        let failure_domain = failure_domain.clone();
        self.requests.push(LeaseRequest { failure_domain, nonce, requested_at: now });
        nonce
    }

    /// Ends a request and returns when it was sent; `None` for a response that no longer counts.
    pub(crate) fn end_request(
        &mut self,
        failure_domain: &id::FailureDomainId,
        nonce: id::Nonce,
    ) -> Option<units_time::MonoInstant> {
        let is_match = |request: &LeaseRequest| {
            request.nonce == nonce && request.failure_domain == *failure_domain
        };
        let at = self.requests.iter().position(is_match)?;
        Some(self.requests.swap_remove(at).requested_at)
    }

    /// Drops all requests.
    pub(crate) fn clear(&mut self) {
        self.requests.clear();
    }
}
