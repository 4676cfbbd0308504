//! Whom a member asks for tokens while a request waits.
//!
//! A few members at a time, nearest first, are asked for what the next moments are likely to need.
//! Asking all at once would take more tokens out of their purses than can be spent before the
//! loans expire.

use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

/// Members that are asked at a time.
const GROUP: usize = 3;

/// How long the nearest members may take to answer before others are asked too.
const NEAR_WAIT: time::Duration = time::Duration::from_millis(25);

/// How long members further away may take.
const FAR_WAIT: time::Duration = time::Duration::from_millis(90);

/// A search for tokens among the members.
#[derive(Debug, Clone, Default)]
pub struct Search {
    nonce: id::Nonce,
    asked_at: units_time::MonoInstant,
    asked: Vec<id::VmId>,
    unanswered: Vec<id::VmId>,
    has_found: bool,
}

impl Search {
    /// Begins a search; answers to earlier questions come too late.
    pub fn begin(&mut self) {
        self.asked.clear();
        self.unanswered.clear();
        self.has_found = false;
    }

    /// Returns until when answers to the last questions are waited for; none where all have come.
    pub fn waits_until(&self) -> Option<units_time::MonoInstant> {
        let wait = if self.asked.len() <= GROUP { NEAR_WAIT } else { FAR_WAIT };
        (!self.unanswered.is_empty()).then(|| self.asked_at.after(wait))
    }

    /// Returns whom to ask next, of `members` with the nearest first, and notes that they are
    /// asked under `nonce`; nobody where all were asked.
    pub fn ask_next(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        members: &[id::VmId],
    ) -> Vec<id::VmId> {
        let is_new = |vm: &&id::VmId| !self.asked.contains(vm);
        let next: Vec<id::VmId> = members.iter().filter(is_new).take(GROUP).cloned().collect();
        self.nonce = nonce;
        self.asked_at = now;
        self.asked.extend(next.iter().cloned());
        self.unanswered.clone_from(&next);
        next
    }

    /// Notes the answer of a member, and whether it lends anything; returns when it was asked, or
    /// none where the answer comes too late or a second time, which must not lend twice.
    pub fn answer(
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
        self.has_found |= lends;
        Some(self.asked_at)
    }

    /// Tells whether anybody has lent anything in this search.
    pub const fn has_found(&self) -> bool {
        self.has_found
    }

    /// Tells whether all who were asked have answered.
    pub const fn is_answered(&self) -> bool {
        self.unanswered.is_empty()
    }
}
