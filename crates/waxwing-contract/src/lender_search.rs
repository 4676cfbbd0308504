//! Selects the members to ask for a loan of tokens while a request waits.
//!
//! Near candidates respond fast and are asked one after the other; far ones are asked a few at a
//! time. Asking all at once would borrow more tokens than can be spent before the loans expire.

use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

/// How many far candidates are asked at a time.
const FAR_GROUP_SIZE: usize = 2;

/// How long to wait for a near candidate before asking others as well.
const NEAR_TIMEOUT: time::Duration = time::Duration::from_millis(25);

/// How long to wait for far candidates before asking others as well.
const FAR_TIMEOUT: time::Duration = time::Duration::from_millis(90);

/// The members that may lend tokens of a contract.
#[derive(Debug, Clone, Copy)]
pub struct Candidates<'a> {
    /// Members with a low latency, in the order in which to ask them.
    pub near: &'a [id::VmId],
    /// Members with a higher latency, in the order in which to ask them.
    pub far: &'a [id::VmId],
}

/// The progress of a search for a loan: which members were asked, and which of them responded.
#[derive(Debug, Clone, Default)]
pub struct LenderSearch {
    nonce: id::Nonce,
    requested_at: units_time::MonoInstant,
    timeout: time::Duration,
    tried: Vec<id::VmId>,
    pending: Vec<id::VmId>,
    has_response: bool,
    found_loan: bool,
}

impl LenderSearch {
    /// Starts a new search; late responses to earlier requests are then ignored.
    pub fn restart(&mut self) {
        self.tried.clear();
        self.pending.clear();
        self.has_response = false;
        self.found_loan = false;
    }

    /// Returns when the responses of the latest round time out, or `None` if no response is
    /// outstanding.
    pub fn response_deadline(&self) -> Option<units_time::MonoInstant> {
        (!self.pending.is_empty()).then(|| self.requested_at.after(self.timeout))
    }

    /// Returns the members to ask next under `nonce` and records them as asked; empty once all
    /// candidates were asked without a loan.
    ///
    /// A lender may have more tokens, so the search starts anew after a loan.
    pub fn next_round(
        &mut self,
        now: units_time::MonoInstant,
        nonce: id::Nonce,
        candidates: Candidates<'_>,
    ) -> Vec<id::VmId> {
        if self.found_loan {
            self.restart();
        }
        let is_untried = |vm: &&id::VmId| !self.tried.contains(vm);
        let near: Vec<id::VmId> =
            candidates.near.iter().find(is_untried).cloned().into_iter().collect();
        let (next, timeout) = match near.is_empty() {
            false => (near, NEAR_TIMEOUT),
            true => {
                let far = candidates.far.iter().filter(is_untried).take(FAR_GROUP_SIZE);
                (far.cloned().collect(), FAR_TIMEOUT)
            }
        };
        self.nonce = nonce;
        self.requested_at = now;
        self.timeout = timeout;
        self.tried.extend(next.iter().cloned());
        self.pending.clone_from(&next);
        next
    }

    /// Records the response of a member and whether it lends anything.
    ///
    /// Returns when the member was asked, or `None` for a late or duplicate response, which must
    /// not be credited.
    pub fn record_response(
        &mut self,
        nonce: id::Nonce,
        lender: &id::VmId,
        has_loan: bool,
    ) -> Option<units_time::MonoInstant> {
        if nonce != self.nonce {
            return None;
        }
        let at = self.pending.iter().position(|vm| vm == lender)?;
        self.pending.swap_remove(at);
        self.has_response = true;
        self.found_loan |= has_loan;
        Some(self.requested_at)
    }

    /// Returns whether any member has responded in this search.
    pub const fn has_response(&self) -> bool {
        self.has_response
    }

    /// Returns whether any member has lent tokens in this search.
    pub const fn found_loan(&self) -> bool {
        self.found_loan
    }

    /// Returns whether all members of the latest round have responded.
    pub const fn all_responded(&self) -> bool {
        self.pending.is_empty()
    }
}
