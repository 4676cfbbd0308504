//! Whom a member asks for tokens while a request waits.
//!
//! Near holders are asked one after the other, since each answers at once; those further away are
//! asked a few at a time. Asking all at once would take more tokens out of their purses than can be
//! spent before the loans expire.

use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

/// Candidates further away that are asked at a time.
const FAR_GROUP: usize = 2;

/// How long a near holder may take to answer before others are asked too.
const NEAR_WAIT: time::Duration = time::Duration::from_millis(25);

/// How long holders further away may take.
const FAR_WAIT: time::Duration = time::Duration::from_millis(90);

/// The members that may lend tokens.
#[derive(Debug, Clone, Copy)]
pub struct Candidates<'a> {
    /// Those that answer soon, in the order in which they are asked.
    pub near: &'a [id::VmId],
    /// Those further away, in the order in which they are asked.
    pub far: &'a [id::VmId],
}

/// A search for tokens among the holders.
#[derive(Debug, Clone, Default)]
pub struct LenderSearch {
    nonce: id::Nonce,
    asked_at: units_time::MonoInstant,
    wait: time::Duration,
    asked: Vec<id::VmId>,
    unanswered: Vec<id::VmId>,
    has_response: bool,
    found_loan: bool,
}

impl LenderSearch {
    /// Begins a search; answers to earlier questions come too late.
    pub fn restart(&mut self) {
        self.asked.clear();
        self.unanswered.clear();
        self.has_response = false;
        self.found_loan = false;
    }

    /// Returns until when answers to the last questions are waited for; none where all have come.
    pub fn response_deadline(&self) -> Option<units_time::MonoInstant> {
        (!self.unanswered.is_empty()).then(|| self.asked_at.after(self.wait))
    }

    /// Returns whom to ask next and notes that they are asked under `nonce`; nobody where all were
    /// asked in vain.
    ///
    /// Who has lent may have more, so what follows a loan is a new search.
    pub fn next_round(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        holders: Candidates<'_>,
    ) -> Vec<id::VmId> {
        if self.found_loan {
            self.restart();
        }
        let is_new = |vm: &&id::VmId| !self.asked.contains(vm);
        let near: Vec<id::VmId> = holders.near.iter().find(is_new).cloned().into_iter().collect();
        let (next, wait) = match near.is_empty() {
            false => (near, NEAR_WAIT),
            true => {
                let far = holders.far.iter().filter(is_new).take(FAR_GROUP);
                (far.cloned().collect(), FAR_WAIT)
            }
        };
        self.nonce = nonce;
        self.asked_at = now;
        self.wait = wait;
        self.asked.extend(next.iter().cloned());
        self.unanswered.clone_from(&next);
        next
    }

    /// Notes the answer of a member, and whether it lends anything; returns when it was asked, or
    /// none where the answer comes too late or a second time, which must not lend twice.
    pub fn record_response(
        &mut self,
        nonce: id::Nonce,
        lender: &id::VmId,
        lends: bool,
    ) -> Option<units_time::MonoInstant> {
        if nonce != self.nonce {
            return None;
        }
        let at = self.unanswered.iter().position(|vm| vm == lender)?;
        self.unanswered.swap_remove(at);
        self.has_response = true;
        self.found_loan |= lends;
        Some(self.asked_at)
    }

    /// Tells whether anybody has answered in this search.
    pub const fn has_response(&self) -> bool {
        self.has_response
    }

    /// Tells whether anybody has lent anything in this search.
    pub const fn found_loan(&self) -> bool {
        self.found_loan
    }

    /// Tells whether all who were asked have answered.
    pub const fn all_responded(&self) -> bool {
        self.unanswered.is_empty()
    }
}
