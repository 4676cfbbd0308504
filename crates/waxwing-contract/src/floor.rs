//! The part of a contract reserved for one failure domain, lent to the base part's holder while the
//! two are connected.

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::contract;
use crate::holder;
use crate::message;
use crate::options;

/// Who uses the floor part.
#[derive(Debug, Clone)]
enum State {
    /// Nobody, until all leases that the predecessor may have granted have expired.
    ///
    /// The part may be lent from `lendable_from` on, when all tokens that the predecessor granted
    /// have expired: a new lease replaces that of the predecessor.
    AwaitingExpiry { lendable_from: units_time::MonoInstant, until: units_time::MonoInstant },
    /// This machine, for its own failure domain.
    ///
    /// After a lease request that outstanding grants prevent, nothing new is granted before
    /// `grants_resume_at`, so that the part can be lent at the next request.
    Active { holder: Box<holder::Holder>, grants_resume_at: units_time::MonoInstant },
    /// The holder of the base part.
    Lent { until: units_time::MonoInstant },
}

/// The floor part of a failure domain, on the machine that holds it.
#[derive(Debug, Clone)]
pub struct Floor {
    options: options::Options,
    failure_domain: id::FailureDomainId,
    part: contract::RateLimit,
    state: State,
}

impl Floor {
    /// Creates the floor part of `failure_domain`, which is unused until all older leases have
    /// expired.
    pub fn new(
        options: options::Options,
        now: units_time::MonoInstant,
        failure_domain: id::FailureDomainId,
        part: contract::RateLimit,
    ) -> Self {
        let state = State::AwaitingExpiry {
            lendable_from: now.after(options.holder_grant_validity()),
            until: now.after(options.lender_lease_validity()),
        };
        Self { options, failure_domain, part, state }
    }

    /// Returns the failure domain that the part is reserved for.
    pub const fn failure_domain(&self) -> &id::FailureDomainId {
        &self.failure_domain
    }

    /// Returns whether the part was lent as of the last call.
    pub const fn is_lent(&self) -> bool {
        matches!(self.state, State::Lent { .. })
    }

    /// Replaces the limit of the part after a change of the contract.
    pub fn set_part(&mut self, now: units_time::MonoInstant, part: contract::RateLimit) {
        self.part = part;
        if let State::Active { holder, .. } = &mut self.state {
            holder.set_part(now, part);
        }
    }

    /// Takes the part back if the lease has expired.
    pub fn advance(&mut self, now: units_time::MonoInstant) {
        let ended_at = match &self.state {
            State::AwaitingExpiry { until, .. } | State::Lent { until } => *until,
            State::Active { .. } => return,
        };
        if now >= ended_at {
            let holder = Box::new(holder::Holder::new(self.options, self.part, ended_at));
            self.state = State::Active { holder, grants_resume_at: ended_at };
        }
    }

    /// Responds to a token request of a borrower in this failure domain.
    pub fn request_tokens(
        &mut self,
        now: units_time::MonoInstant,
        request: &holder::TokenRequest,
    ) -> holder::TokenResponse {
        self.advance(now);
        match &mut self.state {
            State::AwaitingExpiry { .. } => {
                holder::TokenResponse::Denied(message::Denial::Starting)
            }
            State::Lent { .. } => holder::TokenResponse::Denied(message::Denial::Lent),
            State::Active { grants_resume_at, .. } if now < *grants_resume_at => {
                holder::TokenResponse::Denied(message::Denial::Lent)
            }
            State::Active { holder, .. } => holder.request_tokens(now, request),
        }
    }

    /// Ends a grant of this part and refunds its unspent tokens.
    pub fn settle(
        &mut self,
        now: units_time::MonoInstant,
        borrower: &message::Peer,
        nonce: id::Nonce,
        unspent: waxwing_units::rate::Tokens,
    ) {
        if let State::Active { holder, .. } = &mut self.state {
            holder.settle(now, borrower, nonce, unspent);
        }
    }

    /// Lends the part to the holder of the base part, or renews the lease.
    ///
    /// Returns `None` while grants of this part are outstanding, also those of the predecessor. A
    /// lease to an earlier holder of
    /// the base part is no obstacle: only the one holder of the base part's seat requests leases,
    /// and a holder that lost the seat has already stopped counting its leases.
    pub fn lend(&mut self, now: units_time::MonoInstant) -> Option<contract::RateLimit> {
        self.advance(now);
        match &mut self.state {
            State::AwaitingExpiry { lendable_from, .. } if now < *lendable_from => return None,
            State::AwaitingExpiry { .. } | State::Lent { .. } => (),
            State::Active { holder, grants_resume_at } => {
                holder.advance(now);
                if holder.has_outstanding() {
                    *grants_resume_at = now.after(self.options.lease_renewal * 2);
                    return None;
                }
            }
        }
        let until = now.after(self.options.lender_lease_validity());
        self.state = State::Lent { until };
        Some(self.part)
    }
}
