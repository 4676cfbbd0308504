//! Requests tokens from the holders of a contract on behalf of this machine's requests.

use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::cached_grants;
use crate::charge;
use crate::demand;
use crate::message;
use crate::options;
use crate::pending_request;

/// Requests tokens from holders and caches those that were granted.
#[derive(Debug)]
pub struct Borrower {
    options: options::Options,
    next_number: u64,
    pending: Vec<pending_request::PendingRequest>,
    delayed: Vec<pending_request::DelayedGrant>,
    cached_grants: cached_grants::CachedGrants,
    abandoned: Vec<pending_request::AbandonedRequest>,
    demand: demand::Demand,
    base_probe_at: Option<units_time::MonoInstant>,
    round_trip: time::Duration,
}

impl Borrower {
    /// Creates a borrower without grants or requests in progress.
    pub(crate) fn new(options: options::Options, now: units_time::MonoInstant) -> Self {
        Self {
            options,
            next_number: 1,
            pending: Vec::new(),
            delayed: Vec::new(),
            cached_grants: cached_grants::CachedGrants::default(),
            abandoned: Vec::new(),
            demand: demand::Demand { window_started_at: now, current: 0, previous: 0 },
            base_probe_at: None,
            round_trip: time::Duration::ZERO,
        }
    }

    fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Returns whether the holder of the base part failed to respond and is being probed.
    pub(crate) const fn base_is_unresponsive(&self) -> bool {
        self.base_probe_at.is_some()
    }

    /// Records a message from the holder of the base part, which ends the probes.
    pub(crate) const fn base_responded(&mut self) {
        self.base_probe_at = None;
    }

    /// Spends a cached token for one request, or requests one from a holder within `wait`.
    pub(crate) fn request_token(
        &mut self,
        now: units_time::MonoInstant,
        wait: time::Duration,
        targets: &charge::Targets,
        holds_base: bool,
        effects: &mut charge::Effects,
    ) -> charge::Charge {
        self.demand.record(now, self.options.prefetch_window);
        if self.cached_grants.spend(now, effects) {
            self.prefetch(now, targets, holds_base, effects);
            return charge::Charge::Decided(charge::Decision::Admitted);
        }
        let Some((part, to)) = self.select_target(targets) else {
            return charge::Charge::Decided(charge::Decision::Refused(
                charge::Refusal::Unreachable,
            ));
        };
        let ticket = charge::Ticket(self.next_number());
        let prefetch = if holds_base { rate::Tokens(0) } else { self.demand.prefetch_target() };
        let request = self.new_request(now, Some(ticket), part, to, prefetch, now.after(wait));
        self.send(now, request, effects);
        charge::Charge::Waiting(ticket)
    }

    /// Requests tokens ahead of demand if at most half of the target is cached.
    fn prefetch(
        &mut self,
        now: units_time::MonoInstant,
        targets: &charge::Targets,
        holds_base: bool,
        effects: &mut charge::Effects,
    ) {
        let wanted = self.demand.prefetch_target();
        let cached = self.cached_grants.unspent();
        let is_prefetching = self.pending.iter().any(|request| request.ticket.is_none());
        if holds_base || is_prefetching || self.base_is_unresponsive() || cached.0 * 2 > wanted.0 {
            return;
        }
        let Some(base) = targets.base.clone() else {
            return;
        };
        let deadline = now.after(self.options.request_timeout * 2);
        let base_part = message::PartName::Base;
        let request = self.new_request(now, None, base_part, base, wanted, deadline);
        self.send(now, request, effects);
    }

    fn select_target(&self, targets: &charge::Targets) -> Option<(message::PartName, id::VmId)> {
        match &targets.base {
            Some(base) if !self.base_is_unresponsive() => {
                Some((message::PartName::Base, base.clone()))
            }
            _ => floor_target(targets),
        }
    }

    fn new_request(
        &mut self,
        now: units_time::MonoInstant,
        ticket: Option<charge::Ticket>,
        part: message::PartName,
        to: id::VmId,
        prefetch: rate::Tokens,
        deadline: units_time::MonoInstant,
    ) -> pending_request::PendingRequest {
        let nonce = id::Nonce(self.next_number());
        let (requested_at, last_sent_at) = (now, now);
        pending_request::PendingRequest {
            ticket,
            part,
            to,
            nonce,
            prefetch,
            requested_at,
            last_sent_at,
            attempts: 1,
            deadline,
        }
    }

    fn send(
        &mut self,
        now: units_time::MonoInstant,
        request: pending_request::PendingRequest,
        effects: &mut charge::Effects,
    ) {
        effects.sends.push(pending_request::request_message(now, &request, self.round_trip));
        self.pending.push(request);
    }

    /// Handles a holder's grant.
    ///
    /// Only the first grant for a pending request of this incarnation counts. A grant for a request
    /// that was abandoned is sent back by [`Self::return_late_grant`]; any other one is a duplicate
    /// and expires at the holder.
    pub(crate) fn handle_grant(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        tokens: rate::Tokens,
        start_after: time::Duration,
        effects: &mut charge::Effects,
    ) {
        let Some(at) = self.pending.iter().position(|request| request.nonce == nonce) else {
            return;
        };
        let request = self.pending.swap_remove(at);
        self.update_round_trip(now, &request);
        let valid_until = request.requested_at.after(self.options.borrower_grant_validity());
        let pending_request::PendingRequest { ticket, part, to, .. } = request;
        let grant = pending_request::Grant { part, to, nonce, unspent: tokens, valid_until };
        match ticket {
            Some(ticket) if tokens.0 > 0 => {
                self.start_request(now, ticket, grant, start_after, effects);
            }
            Some(ticket) => effects
                .decided
                .push((ticket, charge::Decision::Refused(charge::Refusal::Unreachable))),
            None if tokens.0 > 0 => self.cached_grants.insert(grant),
            None => (),
        }
    }

    /// Updates the moving average of round trips to the base part's holder.
    fn update_round_trip(
        &mut self,
        now: units_time::MonoInstant,
        request: &pending_request::PendingRequest,
    ) {
        if request.attempts > 1 || request.part != message::PartName::Base {
            return;
        }
        let round_trip = now.since(request.last_sent_at);
        self.round_trip = match self.round_trip.is_zero() {
            true => round_trip,
            false => (self.round_trip * 7 + round_trip) / 8,
        };
    }

    /// Spends the first token of a grant on a waiting request, now or after `start_after`, and
    /// caches the others.
    fn start_request(
        &mut self,
        now: units_time::MonoInstant,
        ticket: charge::Ticket,
        mut grant: pending_request::Grant,
        start_after: time::Duration,
        effects: &mut charge::Effects,
    ) {
        if !start_after.is_zero() {
            let start_at = now.after(start_after);
            self.delayed.push(pending_request::DelayedGrant { ticket, grant, start_at });
            return;
        }
        if now >= grant.valid_until {
            effects.decided.push((ticket, charge::Decision::Refused(charge::Refusal::Unreachable)));
            return;
        }
        grant.unspent.0 -= 1;
        effects.decided.push((ticket, charge::Decision::Admitted));
        if grant.unspent.0 == 0 {
            effects.sends.push(pending_request::settle_message(&grant));
        } else {
            self.cached_grants.insert(grant);
        }
    }

    /// Sends all tokens of a late grant for an abandoned request back to the holder.
    pub(crate) fn return_late_grant(
        &mut self,
        part: message::PartName,
        from: &id::VmId,
        nonce: id::Nonce,
        tokens: rate::Tokens,
        effects: &mut charge::Effects,
    ) {
        if self.abandoned.iter().any(|abandoned| abandoned.nonce == nonce) {
            let body = message::Body::Settle { part, nonce, unspent: tokens };
            effects.sends.push((from.clone(), body));
        }
    }

    /// Handles a holder's denial.
    pub(crate) fn handle_denial(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        denial: message::Denial,
        targets: &charge::Targets,
        effects: &mut charge::Effects,
    ) {
        let Some(at) = self.pending.iter().position(|request| request.nonce == nonce) else {
            return;
        };
        let request = self.pending.swap_remove(at);
        self.update_round_trip(now, &request);
        let Some(ticket) = request.ticket else {
            return;
        };
        match denial {
            message::Denial::Exhausted { retry_after_ms } => {
                let refusal = match request.part {
                    message::PartName::Base => charge::Refusal::Exhausted { retry_after_ms },
                    // The rest of the contract may have tokens, but its holder does not respond.
                    message::PartName::Floor(_) => charge::Refusal::Unreachable,
                };
                effects.decided.push((ticket, charge::Decision::Refused(refusal)));
            }
            message::Denial::Starting | message::Denial::Lent | message::Denial::NotHolder => {
                self.fall_back_to_floor(now, ticket, &request, targets, effects);
            }
        }
    }

    /// Falls back from the base part to the floor part, or refuses the request.
    fn fall_back_to_floor(
        &mut self,
        now: units_time::MonoInstant,
        ticket: charge::Ticket,
        request: &pending_request::PendingRequest,
        targets: &charge::Targets,
        effects: &mut charge::Effects,
    ) {
        match floor_target(targets) {
            Some((part, to)) if request.part == message::PartName::Base => {
                let prefetch = rate::Tokens(0);
                let deadline = request.deadline;
                let fallback = self.new_request(now, Some(ticket), part, to, prefetch, deadline);
                self.send(now, fallback, effects);
            }
            _ => {
                effects
                    .decided
                    .push((ticket, charge::Decision::Refused(charge::Refusal::Unreachable)));
            }
        }
    }

    /// Starts delayed requests, retries pending ones, and returns unspent tokens that expire soon.
    pub(crate) fn tick(
        &mut self,
        now: units_time::MonoInstant,
        targets: &charge::Targets,
        effects: &mut charge::Effects,
    ) {
        self.start_delayed(now, effects);
        self.expire_requests(now, effects);
        self.retry_requests(now, targets, effects);
        self.cached_grants.return_expiring(now, effects);
        self.probe_base(now, targets, effects);
        self.abandoned.retain(|abandoned| abandoned.until > now);
    }

    fn start_delayed(&mut self, now: units_time::MonoInstant, effects: &mut charge::Effects) {
        let (due, later) = self
            .delayed
            .drain(..)
            .partition(|delayed: &pending_request::DelayedGrant| delayed.start_at <= now);
        self.delayed = later;
        let due: Vec<pending_request::DelayedGrant> = due;
        for delayed in due {
            self.start_request(now, delayed.ticket, delayed.grant, time::Duration::ZERO, effects);
        }
    }

    fn expire_requests(&mut self, now: units_time::MonoInstant, effects: &mut charge::Effects) {
        let (expired, open): (
            Vec<pending_request::PendingRequest>,
            Vec<pending_request::PendingRequest>,
        ) = self.pending.drain(..).partition(|request| request.deadline <= now);
        self.pending = open;
        for request in expired {
            let until = request.requested_at.after(self.options.holder_grant_validity() * 2);
            self.abandoned.push(pending_request::AbandonedRequest { nonce: request.nonce, until });
            if let Some(ticket) = request.ticket {
                effects
                    .decided
                    .push((ticket, charge::Decision::Refused(charge::Refusal::Unreachable)));
            }
        }
    }

    fn retry_requests(
        &mut self,
        now: units_time::MonoInstant,
        targets: &charge::Targets,
        effects: &mut charge::Effects,
    ) {
        let timeout = self.options.request_timeout;
        let attempts_max = self.options.request_attempts_max;
        let mut failed = Vec::new();
        for request in &mut self.pending {
            if now.since(request.last_sent_at) < timeout {
                continue;
            }
            if request.attempts >= attempts_max {
                failed.push(request.nonce);
                continue;
            }
            request.attempts += 1;
            request.last_sent_at = now;
            effects.sends.push(pending_request::request_message(now, request, self.round_trip));
        }
        for nonce in failed {
            self.fail_request(now, nonce, targets, effects);
        }
    }

    /// Abandons a request that has no response to its last attempt, and falls back to the floor
    /// part.
    fn fail_request(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        targets: &charge::Targets,
        effects: &mut charge::Effects,
    ) {
        let Some(at) = self.pending.iter().position(|request| request.nonce == nonce) else {
            return;
        };
        let request = self.pending.swap_remove(at);
        let until = request.requested_at.after(self.options.holder_grant_validity() * 2);
        self.abandoned.push(pending_request::AbandonedRequest { nonce, until });
        if request.part == message::PartName::Base {
            self.base_probe_at = Some(now.after(self.options.probe_interval));
        }
        if let Some(ticket) = request.ticket {
            self.fall_back_to_floor(now, ticket, &request, targets, effects);
        }
    }

    /// Probes an unresponsive holder of the base part with a request for no tokens.
    fn probe_base(
        &mut self,
        now: units_time::MonoInstant,
        targets: &charge::Targets,
        effects: &mut charge::Effects,
    ) {
        if self.base_probe_at.is_none_or(|probe_at| now < probe_at) {
            return;
        }
        self.base_probe_at = Some(now.after(self.options.probe_interval));
        let Some(base) = &targets.base else {
            return;
        };
        let body = message::Body::Ask {
            part: message::PartName::Base,
            nonce: id::Nonce(0),
            needed: rate::Tokens(0),
            prefetch: rate::Tokens(0),
            wait_ms: units_time::Millis(0),
            age_us: units_time::Micros(0),
        };
        effects.sends.push((base.clone(), body));
    }

    /// Returns the next instant at which [`Self::tick`] has something to do.
    pub(crate) fn next_wake(&self) -> Option<units_time::MonoInstant> {
        let timeout = self.options.request_timeout;
        let pending = self
            .pending
            .iter()
            .map(|request| request.last_sent_at.after(timeout).min(request.deadline));
        let delayed = self.delayed.iter().map(|delayed| delayed.start_at);
        let cached = self.cached_grants.next_return_at();
        pending.chain(delayed).chain(cached).chain(self.base_probe_at).min()
    }

    /// Refuses all waiting requests and drops all cached grants after the machine stalled for too
    /// long to trust its state.
    pub(crate) fn refuse_all(&mut self, effects: &mut charge::Effects) {
        let pending = self.pending.drain(..).filter_map(|request| request.ticket);
        let delayed = self.delayed.drain(..).map(|delayed| delayed.ticket);
        let refused = charge::Decision::Refused(charge::Refusal::Unreachable);
        effects.decided.extend(pending.chain(delayed).map(|ticket| (ticket, refused)));
        self.cached_grants.clear();
    }
}

fn floor_target(targets: &charge::Targets) -> Option<(message::PartName, id::VmId)> {
    let (failure_domain, vm) = targets.floor.clone()?;
    Some((message::PartName::Floor(failure_domain), vm))
}
