//! One machine's account of one organisation.

use std::mem;
use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::borrower;
use crate::contract;
use crate::floor;
use crate::holder;
use crate::message;
use crate::options;

/// Which machines hold the parts of a contract, as the seat records say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holders {
    /// The holder of the base part.
    pub base: Option<id::VmId>,
    /// The holders of floor parts, sorted by failure domain.
    pub floors: Vec<(id::FailureDomainId, id::VmId)>,
}

impl Holders {
    /// Returns the holder of the floor part of `failure_domain`.
    pub fn floor(&self, failure_domain: &id::FailureDomainId) -> Option<&id::VmId> {
        let at = self.floors.binary_search_by(|(domain, _)| domain.cmp(failure_domain)).ok()?;
        Some(&self.floors[at].1)
    }
}

/// A question for a lease that has not been answered.
#[derive(Debug, Clone)]
struct LeaseQuestion {
    failure_domain: id::FailureDomainId,
    nonce: id::Nonce,
    asked_at: units_time::MonoInstant,
}

/// Whether this start of the machine's process may use the seats that records name it for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Only once a read of the seat records, begun at `since` or later, has named it.
    Unconfirmed { since: units_time::MonoInstant },
    /// It may.
    Confirmed,
    /// Never again: it has given its seats up.
    Left,
}

/// One machine's account of one organisation.
///
/// It borrows tokens for the machine's own requests and holds those parts of the contract whose
/// seats the machine has.
#[derive(Debug)]
pub struct Account {
    options: options::Options,
    me: message::Peer,
    failure_domain: id::FailureDomainId,
    contract: contract::Contract,
    holders: Holders,
    base: Option<holder::Holder>,
    floors: Vec<floor::Floor>,
    borrower: borrower::Borrower,
    lease_questions: Vec<LeaseQuestion>,
    next_lease_at: units_time::MonoInstant,
    next_lease_nonce: u64,
    seen_at: units_time::MonoInstant,
    standing: Standing,
    local: Vec<message::Body>,
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
            holders: Holders::default(),
            base: None,
            floors: Vec::new(),
            borrower: borrower::Borrower::new(options, now),
            lease_questions: Vec::new(),
            next_lease_at: now,
            next_lease_nonce: 1,
            seen_at: now,
            standing: Standing::Unconfirmed { since: now },
            local: Vec::new(),
        }
    }

    /// Returns the organisation.
    pub const fn organisation(&self) -> &id::OrganisationId {
        &self.contract.organisation
    }

    /// Returns the contract in force on this machine.
    pub const fn contract(&self) -> &contract::Contract {
        &self.contract
    }

    /// Returns the part that this machine can grant from right now, if it holds the base part.
    pub fn base_part(&self) -> Option<contract::RateLimit> {
        self.base.as_ref().map(holder::Holder::part)
    }

    /// Tells whether the machine has to read the seat records before it may use its seats: at
    /// the start, and after it stood still for too long.
    pub const fn is_unconfirmed(&self) -> bool {
        matches!(self.standing, Standing::Unconfirmed { .. })
    }

    /// Puts a newer revision of the contract in force.
    ///
    /// An older revision and a changed home or spread are ignored.
    pub fn set_contract(&mut self, now: units_time::MonoInstant, contract: contract::Contract) {
        let is_same_cut =
            contract.home == self.contract.home && contract.spread == self.contract.spread;
        if contract.revision <= self.contract.revision || !is_same_cut {
            return;
        }
        self.contract = contract;
        if let Some(base) = &mut self.base {
            base.set_part(now, self.contract.base());
            base.limit_leases(now, |domain| self.contract.floor(domain).unwrap_or_default());
        }
        for floor in &mut self.floors {
            let part = self.contract.floor(floor.failure_domain()).unwrap_or_default();
            floor.set_part(now, part);
        }
    }

    /// Takes over the holders that a read of the seat records, begun at `read_at`, has shown.
    ///
    /// Any read tells whom to ask for tokens. Seats of this machine count only where they were
    /// read after it started, or after it stood still; a copy from another machine, which may be
    /// of any age, is never enough for that.
    pub fn set_holders(
        &mut self,
        now: units_time::MonoInstant,
        read_at: units_time::MonoInstant,
        holders: Holders,
        out: &mut borrower::Outbox,
    ) {
        self.check_fence(now, out);
        self.holders = holders;
        if let Standing::Unconfirmed { since } = self.standing
            && read_at >= since
        {
            self.standing = Standing::Confirmed;
        }
        if self.standing == Standing::Confirmed {
            self.take_base_seat(now);
            self.take_floor_seats(now);
        }
    }

    fn take_base_seat(&mut self, now: units_time::MonoInstant) {
        if self.holders.base.as_ref() != Some(&self.me.vm) {
            self.base = None;
            self.lease_questions.clear();
        } else if self.base.is_none() {
            let quiet_until = now.after(self.options.holder_grant_validity());
            self.base = Some(holder::Holder::new(self.options, self.contract.base(), quiet_until));
            self.next_lease_at = now;
        }
    }

    fn take_floor_seats(&mut self, now: units_time::MonoInstant) {
        let (holders, me) = (&self.holders, &self.me);
        self.floors.retain(|floor| holders.floor(floor.failure_domain()) == Some(&me.vm));
        for (failure_domain, vm) in &self.holders.floors {
            let is_held = self.floors.iter().any(|f| f.failure_domain() == failure_domain);
            if *vm != self.me.vm || is_held {
                continue;
            }
            if let Some(part) = self.contract.floor(failure_domain) {
                let domain = failure_domain.clone();
                self.floors.push(floor::Floor::new(self.options, now, domain, part));
            }
        }
    }

    /// Gives up all parts for good, before the seat record is changed to say so.
    pub fn release_seats(&mut self) {
        self.standing = Standing::Left;
        self.drop_parts();
    }

    fn drop_parts(&mut self) {
        self.base = None;
        self.floors.clear();
        self.lease_questions.clear();
    }

    /// Wants a token for one request within `wait`.
    pub fn charge(
        &mut self,
        now: units_time::MonoInstant,
        wait: time::Duration,
        out: &mut borrower::Outbox,
    ) -> borrower::Charge {
        self.check_fence(now, out);
        let targets = self.targets();
        let is_base_here = self.base.is_some();
        let mut effects = borrower::Effects::default();
        let charge = self.borrower.request(now, wait, &targets, is_base_here, &mut effects);
        self.apply(now, effects, out);
        resolve(charge, out)
    }

    fn targets(&self) -> borrower::Targets {
        let floor = self.contract.floor(&self.failure_domain).and_then(|_| {
            let vm = self.holders.floor(&self.failure_domain)?;
            Some((self.failure_domain.clone(), vm.clone()))
        });
        borrower::Targets { base: self.holders.base.clone(), floor }
    }

    /// Takes a message from another machine.
    pub fn receive(
        &mut self,
        now: units_time::MonoInstant,
        message: message::Message,
        out: &mut borrower::Outbox,
    ) {
        self.check_fence(now, out);
        if message.answers.is_some_and(|i| i != self.me.incarnation) {
            return;
        }
        if self.holders.base.as_ref() == Some(&message.from.vm) {
            self.borrower.base_was_heard();
        }
        self.handle(now, &message.from, message.body, out);
        self.run_local(now, out);
    }

    fn handle(
        &mut self,
        now: units_time::MonoInstant,
        from: &message::Peer,
        body: message::Body,
        out: &mut borrower::Outbox,
    ) {
        use message::Body;
        match body {
            Body::Ask { .. } => self.answer_ask(now, from, body, out),
            Body::Settle { part, nonce, unspent } => {
                self.settle(now, from, &part, nonce, unspent);
            }
            Body::Grant { part, nonce, tokens, start_after_ms } => {
                let mut effects = borrower::Effects::default();
                let start_after = start_after_ms.duration();
                self.borrower.give_back_late_grant(part, &from.vm, nonce, tokens, &mut effects);
                self.borrower.granted(now, nonce, tokens, start_after, &mut effects);
                self.apply_effects(effects, out);
            }
            Body::Deny { nonce, denial, .. } => {
                let targets = self.targets();
                let mut effects = borrower::Effects::default();
                self.borrower.denied(now, nonce, denial, &targets, &mut effects);
                self.apply_effects(effects, out);
            }
            Body::LeaseAsk { failure_domain, nonce } => {
                self.answer_lease_ask(now, from, failure_domain, nonce, out);
            }
            Body::LeaseGrant { failure_domain, nonce, lent } => {
                self.add_lease(now, &failure_domain, nonce, lent);
            }
        }
    }

    fn answer_ask(
        &mut self,
        now: units_time::MonoInstant,
        from: &message::Peer,
        body: message::Body,
        out: &mut borrower::Outbox,
    ) {
        let message::Body::Ask { part, nonce, needed, ahead, wait_ms, age_us } = body else {
            return;
        };
        let borrower = from.clone();
        let (wait, age) = (wait_ms.duration(), age_us.duration());
        let ask = holder::TokenRequest { borrower, nonce, needed, ahead, wait, age };
        let answer = match &part {
            message::PartName::Base => {
                self.base.as_mut().map(|base| base.request_tokens(now, &ask))
            }
            message::PartName::Floor(domain) => {
                self.floor_mut(domain).map(|floor| floor.request_tokens(now, &ask))
            }
        };
        let denied = holder::TokenResponse::Denied(message::Denial::NotHolder);
        let body = match answer.unwrap_or(denied) {
            holder::TokenResponse::Granted { tokens, start_after } => {
                let start_after_ms = whole_millis_up(start_after);
                message::Body::Grant { part, nonce, tokens, start_after_ms }
            }
            holder::TokenResponse::Denied(denial) => message::Body::Deny { part, nonce, denial },
        };
        self.send(&from.vm, Some(from.incarnation), body, out);
    }

    fn floor_mut(&mut self, domain: &id::FailureDomainId) -> Option<&mut floor::Floor> {
        self.floors.iter_mut().find(|floor| floor.failure_domain() == domain)
    }

    fn settle(
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

    fn answer_lease_ask(
        &mut self,
        now: units_time::MonoInstant,
        from: &message::Peer,
        failure_domain: id::FailureDomainId,
        nonce: id::Nonce,
        out: &mut borrower::Outbox,
    ) {
        let lent = self.floor_mut(&failure_domain).and_then(|floor| floor.lend(now));
        if let Some(lent) = lent {
            let body = message::Body::LeaseGrant { failure_domain, nonce, lent };
            self.send(&from.vm, Some(from.incarnation), body, out);
        }
    }

    /// Counts a lent floor part, but never more of it than this machine's contract allows.
    fn add_lease(
        &mut self,
        now: units_time::MonoInstant,
        failure_domain: &id::FailureDomainId,
        nonce: id::Nonce,
        lent: contract::RateLimit,
    ) {
        let is_it = |q: &LeaseQuestion| q.nonce == nonce && q.failure_domain == *failure_domain;
        let Some(at) = self.lease_questions.iter().position(is_it) else {
            return;
        };
        let question = self.lease_questions.swap_remove(at);
        let allowed = self.contract.floor(failure_domain).unwrap_or_default();
        if let Some(base) = &mut self.base {
            base.add_lease(now, failure_domain, lent.smaller(allowed), question.asked_at);
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: units_time::MonoInstant, out: &mut borrower::Outbox) {
        self.check_fence(now, out);
        if let Some(base) = &mut self.base {
            base.advance(now);
        }
        for floor in &mut self.floors {
            floor.advance(now);
        }
        self.ask_leases(now, out);
        let targets = self.targets();
        let mut effects = borrower::Effects::default();
        self.borrower.tick(now, &targets, &mut effects);
        self.apply(now, effects, out);
    }

    fn ask_leases(&mut self, now: units_time::MonoInstant, out: &mut borrower::Outbox) {
        if self.base.is_none() || now < self.next_lease_at {
            return;
        }
        self.next_lease_at = now.after(self.options.lease_renewal);
        self.lease_questions.clear();
        let floors = self.holders.floors.clone();
        for (failure_domain, vm) in floors {
            if self.contract.floor(&failure_domain).is_none() {
                continue;
            }
            let nonce = id::Nonce(self.next_lease_nonce);
            self.next_lease_nonce += 1;
            let domain = failure_domain.clone();
            self.lease_questions.push(LeaseQuestion {
                failure_domain: domain,
                nonce,
                asked_at: now,
            });
            self.send(&vm, None, message::Body::LeaseAsk { failure_domain, nonce }, out);
        }
    }

    /// Returns the next instant at which [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<units_time::MonoInstant> {
        let lease = self.base.as_ref().map(|_| self.next_lease_at);
        lease.into_iter().chain(self.borrower.next_wake()).min()
    }

    /// Forgets all state where the machine stood still longer than its peers can know.
    fn check_fence(&mut self, now: units_time::MonoInstant, out: &mut borrower::Outbox) {
        let stood_still = now.since(self.seen_at);
        self.seen_at = self.seen_at.max(now);
        if stood_still <= self.options.fence {
            return;
        }
        if self.standing != Standing::Left {
            self.standing = Standing::Unconfirmed { since: now };
        }
        self.drop_parts();
        let mut effects = borrower::Effects::default();
        self.borrower.refuse_all(&mut effects);
        out.decided.append(&mut effects.decided);
    }

    fn apply(
        &mut self,
        now: units_time::MonoInstant,
        effects: borrower::Effects,
        out: &mut borrower::Outbox,
    ) {
        self.apply_effects(effects, out);
        self.run_local(now, out);
    }

    fn apply_effects(&mut self, effects: borrower::Effects, out: &mut borrower::Outbox) {
        out.decided.extend(effects.decided);
        for (to, body) in effects.sends {
            self.send(&to, None, body, out);
        }
    }

    /// Sends a message; one to this machine is handled before the call returns.
    fn send(
        &mut self,
        to: &id::VmId,
        answers: Option<id::Incarnation>,
        body: message::Body,
        out: &mut borrower::Outbox,
    ) {
        if *to == self.me.vm {
            self.local.push(body);
            return;
        }
        let organisation = self.contract.organisation.clone();
        let message = message::Message { organisation, from: self.me.clone(), answers, body };
        out.outgoing.push(message::Outgoing { to: to.clone(), message });
    }

    fn run_local(&mut self, now: units_time::MonoInstant, out: &mut borrower::Outbox) {
        let me = self.me.clone();
        while !self.local.is_empty() {
            for body in mem::take(&mut self.local) {
                self.handle(now, &me, body, out);
            }
        }
    }
}

/// Turns a ticket that was decided within the call into the decision itself.
fn resolve(charge: borrower::Charge, out: &mut borrower::Outbox) -> borrower::Charge {
    let borrower::Charge::Waiting(ticket) = charge else {
        return charge;
    };
    match out.decided.iter().position(|(decided, _)| *decided == ticket) {
        Some(at) => borrower::Charge::Decided(out.decided.swap_remove(at).1),
        None => charge,
    }
}

fn whole_millis_up(span: time::Duration) -> units_time::Millis {
    let millis = span.as_nanos().div_ceil(1_000_000);
    units_time::Millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
