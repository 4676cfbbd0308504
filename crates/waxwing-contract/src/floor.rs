//! A failure domain's own part, lent to the base part's holder while connected.

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::contract;
use crate::holder;
use crate::message;
use crate::options;

/// Who uses the floor part.
#[derive(Debug, Clone)]
enum State {
    /// Nobody: a lease of the predecessor may still run.
    Quiet { until: units_time::MonoInstant },
    /// This machine, for its own failure domain.
    ///
    /// While the part is about to be lent, nothing new is granted before `closing_until`.
    Own { holder: Box<holder::Holder>, closing_until: units_time::MonoInstant },
    /// The holder of the base part.
    Lent { until: units_time::MonoInstant },
}

/// The floor part of this machine's failure domain.
#[derive(Debug, Clone)]
pub struct Floor {
    options: options::Options,
    failure_domain: id::FailureDomainId,
    part: contract::RateLimit,
    state: State,
}

impl Floor {
    /// Creates the floor part of `failure_domain`; it is unused until old leases have ended.
    pub fn new(
        options: options::Options,
        now: units_time::MonoInstant,
        failure_domain: id::FailureDomainId,
        part: contract::RateLimit,
    ) -> Self {
        let state = State::Quiet { until: now.after(options.lender_lease_validity()) };
        Self { options, failure_domain, part, state }
    }

    /// Returns the failure domain of the part.
    pub const fn failure_domain(&self) -> &id::FailureDomainId {
        &self.failure_domain
    }

    /// Tells whether the part is lent at the last call.
    pub const fn is_lent(&self) -> bool {
        matches!(self.state, State::Lent { .. })
    }

    /// Replaces the part after a change of the contract.
    pub fn set_part(&mut self, now: units_time::MonoInstant, part: contract::RateLimit) {
        self.part = part;
        if let State::Own { holder, .. } = &mut self.state {
            holder.set_part(now, part);
        }
    }

    /// Takes the part back where a lease has ended.
    pub fn advance(&mut self, now: units_time::MonoInstant) {
        let ended_at = match &self.state {
            State::Quiet { until } | State::Lent { until } => *until,
            State::Own { .. } => return,
        };
        if now >= ended_at {
            let holder = Box::new(holder::Holder::new(self.options, self.part, ended_at));
            self.state = State::Own { holder, closing_until: ended_at };
        }
    }

    /// Answers a borrower in this failure domain.
    pub fn request_tokens(
        &mut self,
        now: units_time::MonoInstant,
        ask: &holder::TokenRequest,
    ) -> holder::TokenResponse {
        self.advance(now);
        match &mut self.state {
            State::Quiet { .. } => holder::TokenResponse::Denied(message::Denial::Starting),
            State::Lent { .. } => holder::TokenResponse::Denied(message::Denial::Lent),
            State::Own { closing_until, .. } if now < *closing_until => {
                holder::TokenResponse::Denied(message::Denial::Lent)
            }
            State::Own { holder, .. } => holder.request_tokens(now, ask),
        }
    }

    /// Ends a grant of this part.
    pub fn settle(
        &mut self,
        now: units_time::MonoInstant,
        borrower: &message::Peer,
        nonce: id::Nonce,
        unspent: waxwing_units::rate::Tokens,
    ) {
        if let State::Own { holder, .. } = &mut self.state {
            holder.settle(now, borrower, nonce, unspent);
        }
    }

    /// Lends the part to the holder of the base part, or renews the lease.
    ///
    /// Nothing is lent while grants of this part are outstanding. An older lease does not
    /// matter: only the one holder of the base part's seat asks, and a holder that lost the seat
    /// has stopped to count its leases before.
    pub fn lend(&mut self, now: units_time::MonoInstant) -> Option<contract::RateLimit> {
        self.advance(now);
        match &mut self.state {
            State::Quiet { .. } => return None,
            State::Lent { .. } => (),
            State::Own { holder, closing_until } => {
                holder.advance(now);
                if holder.has_outstanding() {
                    *closing_until = now.after(self.options.lease_renewal * 2);
                    return None;
                }
            }
        }
        let until = now.after(self.options.lender_lease_validity());
        self.state = State::Lent { until };
        Some(self.part)
    }
}
