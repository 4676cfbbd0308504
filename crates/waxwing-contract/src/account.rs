//! The account of one organisation on one machine: it charges requests, and holds parts of the
//! contract.

use std::mem;
use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::borrower;
use crate::charge;
use crate::contract;
use crate::held_parts;
use crate::holder;
use crate::message;
use crate::options;
use crate::seat;

/// Whether this incarnation of the process may use the seats that the records assign to its
/// machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SeatStatus {
    /// The seats may not be used until they are confirmed by a read of the seat records that began
    /// at `since` or later.
    Unconfirmed { since: units_time::MonoInstant },
    /// The seats may be used.
    Confirmed,
    /// This incarnation has released its seats and never uses any again.
    Released,
}

/// The account of one organisation on one machine.
///
/// It requests tokens for the machine's own requests, and holds those parts of the contract whose
/// seats the machine has.
#[derive(Debug)]
pub struct Account {
    options: options::Options,
    me: message::Peer,
    failure_domain: id::FailureDomainId,
    contract: contract::Contract,
    holders: seat::Holders,
    parts: held_parts::HeldParts,
    borrower: borrower::Borrower,
    last_call_at: units_time::MonoInstant,
    seat_status: SeatStatus,
    local_messages: Vec<message::Body>,
}

impl Account {
    /// Creates the account of a machine that holds no part yet.
    pub fn new(
        options: options::Options,
        me: message::Peer,
        failure_domain: id::FailureDomainId,
        contract: contract::Contract,
        now: units_time::MonoInstant,
    ) -> Self {
        Self {
            options,
            me,
            failure_domain,
            contract,
            holders: seat::Holders::default(),
            parts: held_parts::HeldParts::new(options, now),
            borrower: borrower::Borrower::new(options, now),
            last_call_at: now,
            seat_status: SeatStatus::Unconfirmed { since: now },
            local_messages: Vec::new(),
        }
    }

    /// Returns the organisation that the account charges.
    pub const fn organisation(&self) -> &id::OrganisationId {
        &self.contract.organisation
    }

    /// Returns the newest contract that this machine has seen.
    pub const fn contract(&self) -> &contract::Contract {
        &self.contract
    }

    /// Returns the limit that this machine can currently grant from, or `None` if it does not hold
    /// the base part.
    pub fn base_part(&self) -> Option<contract::RateLimit> {
        self.parts.base().map(holder::Holder::part)
    }

    /// Returns whether the machine has to read the seat records before it may use its seats: after
    /// the start, and after a stall longer than [`options::Options::stall_max`].
    pub const fn is_unconfirmed(&self) -> bool {
        matches!(self.seat_status, SeatStatus::Unconfirmed { .. })
    }

    /// Replaces the contract by a newer revision.
    ///
    /// An older revision is ignored, and so is a contract with another home or spread.
    pub fn set_contract(&mut self, now: units_time::MonoInstant, contract: contract::Contract) {
        let is_same_distribution =
            contract.home == self.contract.home && contract.spread == self.contract.spread;
        if contract.revision <= self.contract.revision || !is_same_distribution {
            return;
        }
        self.contract = contract;
        self.parts.set_contract(now, &self.contract);
    }

    /// Applies the holders from a read of the seat records that began at `read_at`.
    ///
    /// Any read determines which machines to request tokens from. A seat of this machine counts
    /// only if the read began after the process started or noticed a stall; a copy from another
    /// machine may be of any age and never confirms a seat.
    pub fn set_holders(
        &mut self,
        now: units_time::MonoInstant,
        read_at: units_time::MonoInstant,
        holders: seat::Holders,
        out: &mut charge::Outbox,
    ) {
        self.check_stall(now, out);
        self.holders = holders;
        if let SeatStatus::Unconfirmed { since } = self.seat_status
            && read_at >= since
        {
            self.seat_status = SeatStatus::Confirmed;
        }
        if self.seat_status == SeatStatus::Confirmed {
            self.parts.apply_seats(now, &self.me.vm, &self.holders, &self.contract);
        }
    }

    /// Stops using all parts for good; called before the seat records are changed accordingly.
    pub fn release_seats(&mut self) {
        self.seat_status = SeatStatus::Released;
        self.parts.clear();
    }

    /// Charges one request, which waits for a token for at most `wait`.
    pub fn charge(
        &mut self,
        now: units_time::MonoInstant,
        wait: time::Duration,
        out: &mut charge::Outbox,
    ) -> charge::Charge {
        self.check_stall(now, out);
        let targets = self.targets();
        let holds_base = self.parts.base().is_some();
        let mut effects = charge::Effects::default();
        let charge = self.borrower.request_token(now, wait, &targets, holds_base, &mut effects);
        self.apply(now, effects, out);
        charge.resolve(out)
    }

    fn targets(&self) -> charge::Targets {
        let floor = self.contract.floor(&self.failure_domain).and_then(|_| {
            let vm = self.holders.floor(&self.failure_domain)?;
            Some((self.failure_domain.clone(), vm.clone()))
        });
        charge::Targets { base: self.holders.base.clone(), floor }
    }

    /// Handles a message from another machine.
    pub fn receive(
        &mut self,
        now: units_time::MonoInstant,
        message: message::Message,
        out: &mut charge::Outbox,
    ) {
        self.check_stall(now, out);
        if message.answers.is_some_and(|incarnation| incarnation != self.me.incarnation) {
            return;
        }
        if self.holders.base.as_ref() == Some(&message.from.vm) {
            self.borrower.base_responded();
        }
        self.handle(now, &message.from, message.body, out);
        self.handle_local_messages(now, out);
    }

    fn handle(
        &mut self,
        now: units_time::MonoInstant,
        from: &message::Peer,
        body: message::Body,
        out: &mut charge::Outbox,
    ) {
        use message::Body;
        match body {
            Body::Ask { .. } => self.handle_token_request(now, from, body, out),
            Body::Settle { part, nonce, unspent } => {
                self.parts.settle(now, from, &part, nonce, unspent);
            }
            Body::Grant { part, nonce, tokens, start_after_ms } => {
                let mut effects = charge::Effects::default();
                let start_after = start_after_ms.duration();
                self.borrower.return_late_grant(part, &from.vm, nonce, tokens, &mut effects);
                self.borrower.handle_grant(now, nonce, tokens, start_after, &mut effects);
                self.apply_effects(effects, out);
            }
            Body::Deny { nonce, denial, .. } => {
                let targets = self.targets();
                let mut effects = charge::Effects::default();
                self.borrower.handle_denial(now, nonce, denial, &targets, &mut effects);
                self.apply_effects(effects, out);
            }
            Body::LeaseAsk { failure_domain, nonce } => {
                self.handle_lease_request(now, from, failure_domain, nonce, out);
            }
            Body::LeaseGrant { failure_domain, nonce, lent } => {
                let allowed = self.contract.floor(&failure_domain).unwrap_or_default();
                let lent = lent.component_min(allowed);
                self.parts.add_lease(now, &failure_domain, nonce, lent);
            }
        }
    }

    fn handle_token_request(
        &mut self,
        now: units_time::MonoInstant,
        from: &message::Peer,
        body: message::Body,
        out: &mut charge::Outbox,
    ) {
        let message::Body::Ask { part, nonce, needed, prefetch, wait_ms, age_us } = body else {
            return;
        };
        let borrower = from.clone();
        let (wait, age) = (wait_ms.duration(), age_us.duration());
        let request = holder::TokenRequest { borrower, nonce, needed, prefetch, wait, age };
        let response = self.parts.request_tokens(now, &part, &request);
        let not_holder = holder::TokenResponse::Denied(message::Denial::NotHolder);
        let body = match response.unwrap_or(not_holder) {
            holder::TokenResponse::Granted { tokens, start_after } => {
                let start_after_ms = millis_rounded_up(start_after);
                message::Body::Grant { part, nonce, tokens, start_after_ms }
            }
            holder::TokenResponse::Denied(denial) => message::Body::Deny { part, nonce, denial },
        };
        self.send(&from.vm, Some(from.incarnation), body, out);
    }

    fn handle_lease_request(
        &mut self,
        now: units_time::MonoInstant,
        from: &message::Peer,
        failure_domain: id::FailureDomainId,
        nonce: id::Nonce,
        out: &mut charge::Outbox,
    ) {
        if let Some(lent) = self.parts.lend(now, &failure_domain) {
            let body = message::Body::LeaseGrant { failure_domain, nonce, lent };
            self.send(&from.vm, Some(from.incarnation), body, out);
        }
    }

    /// Performs all actions that are due at `now`.
    pub fn tick(&mut self, now: units_time::MonoInstant, out: &mut charge::Outbox) {
        self.check_stall(now, out);
        self.parts.advance(now);
        self.request_leases(now, out);
        let targets = self.targets();
        let mut effects = charge::Effects::default();
        self.borrower.tick(now, &targets, &mut effects);
        self.apply(now, effects, out);
    }

    fn request_leases(&mut self, now: units_time::MonoInstant, out: &mut charge::Outbox) {
        for lease_request in self.parts.start_lease_round(now, &self.holders, &self.contract) {
            let held_parts::LeaseRequest { failure_domain, holder, nonce } = lease_request;
            self.send(&holder, None, message::Body::LeaseAsk { failure_domain, nonce }, out);
        }
    }

    /// Returns the next instant at which [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<units_time::MonoInstant> {
        let lease = self.parts.next_lease_round_at();
        lease.into_iter().chain(self.borrower.next_wake()).min()
    }

    /// Drops all parts, grants and waiting requests if the process stalled for longer than
    /// [`options::Options::stall_max`], since another machine may have taken over its seats.
    fn check_stall(&mut self, now: units_time::MonoInstant, out: &mut charge::Outbox) {
        let stalled_for = now.since(self.last_call_at);
        self.last_call_at = self.last_call_at.max(now);
        if stalled_for <= self.options.stall_max {
            return;
        }
        if self.seat_status != SeatStatus::Released {
            self.seat_status = SeatStatus::Unconfirmed { since: now };
        }
        self.parts.clear();
        let mut effects = charge::Effects::default();
        self.borrower.refuse_all(&mut effects);
        out.decided.append(&mut effects.decided);
    }

    fn apply(
        &mut self,
        now: units_time::MonoInstant,
        effects: charge::Effects,
        out: &mut charge::Outbox,
    ) {
        self.apply_effects(effects, out);
        self.handle_local_messages(now, out);
    }

    fn apply_effects(&mut self, effects: charge::Effects, out: &mut charge::Outbox) {
        out.decided.extend(effects.decided);
        for (to, body) in effects.sends {
            self.send(&to, None, body, out);
        }
    }

    /// Sends a message; one to this machine is handled before the public call returns.
    fn send(
        &mut self,
        to: &id::VmId,
        answers: Option<id::Incarnation>,
        body: message::Body,
        out: &mut charge::Outbox,
    ) {
        if *to == self.me.vm {
            self.local_messages.push(body);
            return;
        }
        let organisation = self.contract.organisation.clone();
        let message = message::Message { organisation, from: self.me.clone(), answers, body };
        out.outgoing.push(message::Outgoing { to: to.clone(), message });
    }

    fn handle_local_messages(&mut self, now: units_time::MonoInstant, out: &mut charge::Outbox) {
        let me = self.me.clone();
        while !self.local_messages.is_empty() {
            for body in mem::take(&mut self.local_messages) {
                self.handle(now, &me, body, out);
            }
        }
    }
}

fn millis_rounded_up(span: time::Duration) -> units_time::Millis {
    let millis = span.as_nanos().div_ceil(1_000_000);
    units_time::Millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
