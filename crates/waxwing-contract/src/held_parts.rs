//! The parts of a contract that one machine holds: the base part, floor parts, or none.

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::contract;
use crate::floor;
use crate::holder;
use crate::lease_renewal;
use crate::message;
use crate::options;
use crate::seat;

/// A request to the holder of a floor part to lend it to this machine, which holds the base part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LeaseRequest {
    /// The failure domain of the floor part.
    pub(crate) failure_domain: id::FailureDomainId,
    /// The machine that holds the floor part.
    pub(crate) holder: id::VmId,
    /// The nonce that the response repeats.
    pub(crate) nonce: id::Nonce,
}

/// The parts that this machine holds, and the leases by which a base part includes floor parts.
#[derive(Debug)]
pub(crate) struct HeldParts {
    options: options::Options,
    base: Option<holder::Holder>,
    floors: Vec<floor::Floor>,
    lease_renewal: lease_renewal::LeaseRenewal,
}

impl HeldParts {
    /// Creates the state of a machine that holds no part.
    pub(crate) const fn new(options: options::Options, now: units_time::MonoInstant) -> Self {
        let lease_renewal = lease_renewal::LeaseRenewal::new(now);
        Self { options, base: None, floors: Vec::new(), lease_renewal }
    }

    /// Returns the base part, if this machine holds it.
    pub(crate) const fn base(&self) -> Option<&holder::Holder> {
        self.base.as_ref()
    }

    /// Applies the limits of a changed contract to all parts and leases.
    pub(crate) fn set_contract(
        &mut self,
        now: units_time::MonoInstant,
        contract: &contract::Contract,
    ) {
        if let Some(base) = &mut self.base {
            base.set_part(now, contract.base());
            base.limit_leases(now, |domain| contract.floor(domain).unwrap_or_default());
        }
        for floor in &mut self.floors {
            let part = contract.floor(floor.failure_domain()).unwrap_or_default();
            floor.set_part(now, part);
        }
    }

    /// Takes up the parts whose seats `me` has, and drops all others.
    pub(crate) fn apply_seats(
        &mut self,
        now: units_time::MonoInstant,
        me: &id::VmId,
        holders: &seat::Holders,
        contract: &contract::Contract,
    ) {
        self.apply_base_seat(now, me, holders, contract);
        self.floors.retain(|floor| holders.floor(floor.failure_domain()) == Some(me));
        for (failure_domain, vm) in &holders.floors {
            let is_held = self.floors.iter().any(|f| f.failure_domain() == failure_domain);
            if vm != me || is_held {
                continue;
            }
            if let Some(part) = contract.floor(failure_domain) {
                let domain = failure_domain.clone();
                self.floors.push(floor::Floor::new(self.options, now, domain, part));
            }
        }
    }

    fn apply_base_seat(
        &mut self,
        now: units_time::MonoInstant,
        me: &id::VmId,
        holders: &seat::Holders,
        contract: &contract::Contract,
    ) {
        if holders.base.as_ref() != Some(me) {
            self.base = None;
            self.lease_renewal.clear();
        } else if self.base.is_none() {
            let grants_from = now.after(self.options.holder_grant_validity());
            self.base = Some(holder::Holder::new(self.options, contract.base(), grants_from));
            self.lease_renewal.restart(now);
        }
    }

    /// Drops all parts.
    pub(crate) fn clear(&mut self) {
        self.base = None;
        self.floors.clear();
        self.lease_renewal.clear();
    }

    fn floor_mut(&mut self, domain: &id::FailureDomainId) -> Option<&mut floor::Floor> {
        self.floors.iter_mut().find(|floor| floor.failure_domain() == domain)
    }

    /// Responds to a token request; `None` if this machine does not hold the part.
    pub(crate) fn request_tokens(
        &mut self,
        now: units_time::MonoInstant,
        part: &message::PartName,
        request: &holder::TokenRequest,
    ) -> Option<holder::TokenResponse> {
        match part {
            message::PartName::Base => {
                self.base.as_mut().map(|base| base.request_tokens(now, request))
            }
            message::PartName::Floor(domain) => {
                self.floor_mut(domain).map(|floor| floor.request_tokens(now, request))
            }
        }
    }

    /// Ends a grant and refunds its unspent tokens.
    pub(crate) fn settle(
        &mut self,
        now: units_time::MonoInstant,
        from: &message::Peer,
        part: &message::PartName,
        nonce: id::Nonce,
        unspent: rate::Tokens,
    ) {
        match part {
            message::PartName::Base => {
                if let Some(base) = &mut self.base {
                    base.settle(now, from, nonce, unspent);
                }
            }
            message::PartName::Floor(domain) => {
                if let Some(floor) = self.floor_mut(domain) {
                    floor.settle(now, from, nonce, unspent);
                }
            }
        }
    }

    /// Lends a floor part to the holder of the base part; `None` if it can't be lent now.
    pub(crate) fn lend(
        &mut self,
        now: units_time::MonoInstant,
        failure_domain: &id::FailureDomainId,
    ) -> Option<contract::RateLimit> {
        self.floor_mut(failure_domain)?.lend(now)
    }

    /// Adds a lease to the base part; one that was not requested in this round is ignored.
    pub(crate) fn add_lease(
        &mut self,
        now: units_time::MonoInstant,
        failure_domain: &id::FailureDomainId,
        nonce: id::Nonce,
        lent: contract::RateLimit,
    ) {
        let Some(requested_at) = self.lease_renewal.end_request(failure_domain, nonce) else {
            return;
        };
        if let Some(base) = &mut self.base {
            base.add_lease(now, failure_domain, lent, requested_at);
        }
    }

    /// Updates all parts to `now`.
    pub(crate) fn advance(&mut self, now: units_time::MonoInstant) {
        if let Some(base) = &mut self.base {
            base.advance(now);
        }
        for floor in &mut self.floors {
            floor.advance(now);
        }
    }

    /// Returns the lease requests of the next round, if this machine holds the base part and a
    /// round is due.
    pub(crate) fn start_lease_round(
        &mut self,
        now: units_time::MonoInstant,
        holders: &seat::Holders,
        contract: &contract::Contract,
    ) -> Vec<LeaseRequest> {
        if self.next_lease_round_at().is_none_or(|round_at| now < round_at) {
            return Vec::new();
        }
        self.lease_renewal.start_round(now, self.options.lease_renewal);
        let floors = holders.floors.iter().filter(|(domain, _)| contract.floor(domain).is_some());
        let renewal = &mut self.lease_renewal;
        floors
            .map(|(failure_domain, holder)| LeaseRequest {
                failure_domain: failure_domain.clone(),
                holder: holder.clone(),
                nonce: renewal.add_request(now, failure_domain),
            })
            .collect()
    }

    /// Returns when the next round of lease requests is due; `None` without the base part.
    pub(crate) fn next_lease_round_at(&self) -> Option<units_time::MonoInstant> {
        self.base.as_ref().map(|_| self.lease_renewal.next_round_at())
    }
}
