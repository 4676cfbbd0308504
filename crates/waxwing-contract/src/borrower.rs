//! Asks the holder for tokens on behalf of this machine's requests.

use std::fmt;
use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::demand;
use crate::message;
use crate::options;
use crate::question;

/// Names a request of this machine that waits for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket {}", self.0)
    }
}

/// Why a request got no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// The organisation has used up its rate and burst.
    Exhausted {
        /// When a token is expected.
        retry_after_ms: units_time::Millis,
    },
    /// No holder of a part could be reached.
    Unreachable,
}

/// What became of a request for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Admitted,
    /// The request must not run.
    Refused(Refusal),
}

/// What [`crate::account::Account::charge`] says at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Charge {
    /// The request is decided.
    Decided(Decision),
    /// The decision follows under this ticket.
    Waiting(Ticket),
}

/// The machines that a borrower may ask.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Targets {
    /// The holder of the base part.
    pub base: Option<id::VmId>,
    /// The holder of the floor part of this machine's failure domain.
    pub floor: Option<(id::FailureDomainId, id::VmId)>,
}

/// Messages and decisions that a call brought about.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages to other machines.
    pub outgoing: Vec<message::Outgoing>,
    /// Requests that were decided.
    pub decided: Vec<(Ticket, Decision)>,
}

/// A message body with its receiver, before the account adds the sender.
pub(crate) type Send = (id::VmId, message::Body);

/// What a borrower wants done.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) sends: Vec<Send>,
    pub(crate) decided: Vec<(Ticket, Decision)>,
}

/// Asks holders for tokens and keeps those that were granted.
#[derive(Debug)]
pub struct Borrower {
    options: options::Options,
    next_number: u64,
    questions: Vec<question::Question>,
    delayed: Vec<question::Delayed>,
    stock: Vec<question::Grant>,
    abandoned: Vec<question::Abandoned>,
    demand: demand::Demand,
    silent_base: Option<units_time::MonoInstant>,
    round_trip: time::Duration,
}

impl Borrower {
    /// Creates a borrower that has asked for nothing yet.
    pub(crate) const fn new(options: options::Options, now: units_time::MonoInstant) -> Self {
        Self {
            options,
            next_number: 1,
            questions: Vec::new(),
            delayed: Vec::new(),
            stock: Vec::new(),
            abandoned: Vec::new(),
            demand: demand::Demand { window_began_at: now, current: 0, previous: 0 },
            silent_base: None,
            round_trip: time::Duration::ZERO,
        }
    }

    fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Tells whether the holder of the base part has not answered of late.
    pub(crate) const fn base_is_silent(&self) -> bool {
        self.silent_base.is_some()
    }

    /// Notes that the holder of the base part was heard.
    pub(crate) const fn base_was_heard(&mut self) {
        self.silent_base = None;
    }

    /// Wants a token for one request within `wait`.
    pub(crate) fn request(
        &mut self,
        now: units_time::MonoInstant,
        wait: time::Duration,
        targets: &Targets,
        is_base_here: bool,
        effects: &mut Effects,
    ) -> Charge {
        self.demand.count(now, self.options.ahead);
        if self.spend_stock(now, effects) {
            self.ask_ahead(now, targets, is_base_here, effects);
            return Charge::Decided(Decision::Admitted);
        }
        let Some((part, to)) = self.choose(targets) else {
            return Charge::Decided(Decision::Refused(Refusal::Unreachable));
        };
        let ticket = Ticket(self.next_number());
        let ahead = if is_base_here { rate::Tokens(0) } else { self.demand.ahead() };
        let question = self.question(now, Some(ticket), part, to, ahead, now.after(wait));
        self.send(now, question, effects);
        Charge::Waiting(ticket)
    }

    /// Spends a token that was granted ahead, the one that expires first.
    fn spend_stock(&mut self, now: units_time::MonoInstant, effects: &mut Effects) -> bool {
        self.stock.retain(|grant| grant.valid_until > now);
        let Some(grant) = self.stock.first_mut() else {
            return false;
        };
        grant.unspent.0 -= 1;
        if grant.unspent.0 == 0 {
            let grant = self.stock.remove(0);
            effects.sends.push(question::settle(&grant));
        }
        true
    }

    fn ask_ahead(
        &mut self,
        now: units_time::MonoInstant,
        targets: &Targets,
        is_base_here: bool,
        effects: &mut Effects,
    ) {
        let wanted = self.demand.ahead();
        let stocked: u64 = self.stock.iter().map(|grant| grant.unspent.0).sum();
        let is_asking = self.questions.iter().any(|question| question.ticket.is_none());
        if is_base_here || is_asking || self.base_is_silent() || stocked * 2 > wanted.0 {
            return;
        }
        let Some(base) = targets.base.clone() else {
            return;
        };
        let give_up_at = now.after(self.options.ask_timeout * 2);
        let base_part = message::PartName::Base;
        let question = self.question(now, None, base_part, base, wanted, give_up_at);
        self.send(now, question, effects);
    }

    fn choose(&self, targets: &Targets) -> Option<(message::PartName, id::VmId)> {
        match &targets.base {
            Some(base) if !self.base_is_silent() => Some((message::PartName::Base, base.clone())),
            _ => choose_floor(targets),
        }
    }

    fn question(
        &mut self,
        now: units_time::MonoInstant,
        ticket: Option<Ticket>,
        part: message::PartName,
        to: id::VmId,
        ahead: rate::Tokens,
        give_up_at: units_time::MonoInstant,
    ) -> question::Question {
        let nonce = id::Nonce(self.next_number());
        let (asked_at, sent_at) = (now, now);
        question::Question {
            ticket,
            part,
            to,
            nonce,
            ahead,
            asked_at,
            sent_at,
            attempts: 1,
            give_up_at,
        }
    }

    fn send(
        &mut self,
        now: units_time::MonoInstant,
        question: question::Question,
        effects: &mut Effects,
    ) {
        effects.sends.push(question::ask(now, &question, self.round_trip));
        self.questions.push(question);
    }

    /// Takes a holder's grant.
    ///
    /// Only the first grant for a question of this start counts. A grant for a request that has
    /// gone is given back; any other one is a copy, and left to expire at the holder.
    pub(crate) fn granted(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        tokens: rate::Tokens,
        start_after: time::Duration,
        effects: &mut Effects,
    ) {
        let Some(at) = self.questions.iter().position(|question| question.nonce == nonce) else {
            return;
        };
        let question = self.questions.swap_remove(at);
        self.note_round_trip(now, &question);
        let valid_until = question.asked_at.after(self.options.borrower_grant_validity());
        let question::Question { ticket, part, to, .. } = question;
        let grant = question::Grant { part, to, nonce, unspent: tokens, valid_until };
        match ticket {
            Some(ticket) if tokens.0 > 0 => {
                self.start(now, ticket, grant, start_after, effects);
            }
            Some(ticket) => effects.decided.push((ticket, refused_exhausted())),
            None if tokens.0 > 0 => self.stock.push(grant),
            None => (),
        }
    }

    /// Keeps an average of round trips to the base part's holder.
    fn note_round_trip(&mut self, now: units_time::MonoInstant, question: &question::Question) {
        if question.attempts > 1 || question.part != message::PartName::Base {
            return;
        }
        let round_trip = now.since(question.sent_at);
        self.round_trip = match self.round_trip.is_zero() {
            true => round_trip,
            false => (self.round_trip * 7 + round_trip) / 8,
        };
    }

    fn start(
        &mut self,
        now: units_time::MonoInstant,
        ticket: Ticket,
        mut grant: question::Grant,
        start_after: time::Duration,
        effects: &mut Effects,
    ) {
        if !start_after.is_zero() {
            let start_at = now.after(start_after);
            self.delayed.push(question::Delayed { ticket, grant, start_at });
            return;
        }
        if now >= grant.valid_until {
            effects.decided.push((ticket, refused_exhausted()));
            return;
        }
        grant.unspent.0 -= 1;
        effects.decided.push((ticket, Decision::Admitted));
        if grant.unspent.0 == 0 {
            effects.sends.push(question::settle(&grant));
        } else {
            self.stock.push(grant);
        }
    }

    /// Takes a grant for a question that was given up and returns it whole.
    pub(crate) fn give_back_late_grant(
        &mut self,
        part: message::PartName,
        from: &id::VmId,
        nonce: id::Nonce,
        tokens: rate::Tokens,
        effects: &mut Effects,
    ) {
        if self.abandoned.iter().any(|abandoned| abandoned.nonce == nonce) {
            let body = message::Body::Settle { part, nonce, unspent: tokens };
            effects.sends.push((from.clone(), body));
        }
    }

    /// Takes a holder's denial.
    pub(crate) fn denied(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        denial: message::Denial,
        targets: &Targets,
        effects: &mut Effects,
    ) {
        let Some(at) = self.questions.iter().position(|question| question.nonce == nonce) else {
            return;
        };
        let question = self.questions.swap_remove(at);
        self.note_round_trip(now, &question);
        let Some(ticket) = question.ticket else {
            return;
        };
        match denial {
            message::Denial::Exhausted { retry_after_ms } => {
                let refusal = Refusal::Exhausted { retry_after_ms };
                effects.decided.push((ticket, Decision::Refused(refusal)));
            }
            message::Denial::Starting | message::Denial::Lent | message::Denial::NotHolder => {
                self.ask_floor(now, ticket, &question, targets, effects);
            }
        }
    }

    /// Turns from the base part to the floor part, or refuses.
    fn ask_floor(
        &mut self,
        now: units_time::MonoInstant,
        ticket: Ticket,
        question: &question::Question,
        targets: &Targets,
        effects: &mut Effects,
    ) {
        match choose_floor(targets) {
            Some((part, to)) if question.part == message::PartName::Base => {
                let ahead = rate::Tokens(0);
                let give_up_at = question.give_up_at;
                let next = self.question(now, Some(ticket), part, to, ahead, give_up_at);
                self.send(now, next, effects);
            }
            _ => {
                effects.decided.push((ticket, Decision::Refused(Refusal::Unreachable)));
            }
        }
    }

    /// Starts delayed requests, repeats unanswered questions and gives unspent tokens back.
    pub(crate) fn tick(
        &mut self,
        now: units_time::MonoInstant,
        targets: &Targets,
        effects: &mut Effects,
    ) {
        self.start_delayed(now, effects);
        self.give_up(now, effects);
        self.repeat_questions(now, targets, effects);
        self.give_stock_back(now, effects);
        self.probe(now, targets, effects);
        self.abandoned.retain(|abandoned| abandoned.until > now);
    }

    fn start_delayed(&mut self, now: units_time::MonoInstant, effects: &mut Effects) {
        let (due, later) =
            self.delayed.drain(..).partition(|delayed: &question::Delayed| delayed.start_at <= now);
        self.delayed = later;
        let due: Vec<question::Delayed> = due;
        for delayed in due {
            self.start(now, delayed.ticket, delayed.grant, time::Duration::ZERO, effects);
        }
    }

    fn give_up(&mut self, now: units_time::MonoInstant, effects: &mut Effects) {
        let (over, open): (Vec<question::Question>, Vec<question::Question>) =
            self.questions.drain(..).partition(|question| question.give_up_at <= now);
        self.questions = open;
        for question in over {
            let until = question.asked_at.after(self.options.holder_grant_validity() * 2);
            self.abandoned.push(question::Abandoned { nonce: question.nonce, until });
            if let Some(ticket) = question.ticket {
                effects.decided.push((ticket, Decision::Refused(Refusal::Unreachable)));
            }
        }
    }

    fn repeat_questions(
        &mut self,
        now: units_time::MonoInstant,
        targets: &Targets,
        effects: &mut Effects,
    ) {
        let timeout = self.options.ask_timeout;
        let attempts_max = self.options.ask_attempts;
        let mut failed = Vec::new();
        for question in &mut self.questions {
            if now.since(question.sent_at) < timeout {
                continue;
            }
            if question.attempts >= attempts_max {
                failed.push(question.nonce);
                continue;
            }
            question.attempts += 1;
            question.sent_at = now;
            effects.sends.push(question::ask(now, question, self.round_trip));
        }
        for nonce in failed {
            self.question_failed(now, nonce, targets, effects);
        }
    }

    fn question_failed(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        targets: &Targets,
        effects: &mut Effects,
    ) {
        let Some(at) = self.questions.iter().position(|question| question.nonce == nonce) else {
            return;
        };
        let question = self.questions.swap_remove(at);
        let until = question.asked_at.after(self.options.holder_grant_validity() * 2);
        self.abandoned.push(question::Abandoned { nonce, until });
        if question.part == message::PartName::Base {
            self.silent_base = Some(now.after(self.options.probe_interval));
        }
        if let Some(ticket) = question.ticket {
            self.ask_floor(now, ticket, &question, targets, effects);
        }
    }

    fn give_stock_back(&mut self, now: units_time::MonoInstant, effects: &mut Effects) {
        self.stock.retain(|grant| {
            let is_kept = now.after(question::GIVE_BACK_BEFORE) < grant.valid_until;
            if !is_kept {
                effects.sends.push(question::settle(grant));
            }
            is_kept
        });
    }

    fn probe(&mut self, now: units_time::MonoInstant, targets: &Targets, effects: &mut Effects) {
        if self.silent_base.is_none_or(|probe_at| now < probe_at) {
            return;
        }
        self.silent_base = Some(now.after(self.options.probe_interval));
        let Some(base) = &targets.base else {
            return;
        };
        let body = message::Body::Ask {
            part: message::PartName::Base,
            nonce: id::Nonce(0),
            needed: rate::Tokens(0),
            ahead: rate::Tokens(0),
            wait_ms: units_time::Millis(0),
            age_us: units_time::Micros(0),
        };
        effects.sends.push((base.clone(), body));
    }

    /// Returns the next instant at which [`Self::tick`] has something to do.
    pub(crate) fn next_wake(&self) -> Option<units_time::MonoInstant> {
        let timeout = self.options.ask_timeout;
        let questions = self.questions.iter().map(|q| q.sent_at.after(timeout).min(q.give_up_at));
        let delayed = self.delayed.iter().map(|delayed| delayed.start_at);
        let stock = self.stock.iter().map(|grant| {
            let before_ns = question::GIVE_BACK_BEFORE.as_nanos() as u64;
            units_time::MonoInstant(grant.valid_until.0.saturating_sub(before_ns))
        });
        questions.chain(delayed).chain(stock).chain(self.silent_base).min()
    }

    /// Refuses all requests that still wait, when the machine can't trust its state any more.
    pub(crate) fn refuse_all(&mut self, effects: &mut Effects) {
        let questions = self.questions.drain(..).filter_map(|question| question.ticket);
        let delayed = self.delayed.drain(..).map(|delayed| delayed.ticket);
        let refused = Decision::Refused(Refusal::Unreachable);
        effects.decided.extend(questions.chain(delayed).map(|ticket| (ticket, refused)));
        self.stock.clear();
    }
}

fn choose_floor(targets: &Targets) -> Option<(message::PartName, id::VmId)> {
    let (failure_domain, vm) = targets.floor.clone()?;
    Some((message::PartName::Floor(failure_domain), vm))
}

fn refused_exhausted() -> Decision {
    Decision::Refused(Refusal::Exhausted { retry_after_ms: units_time::Millis(0) })
}
