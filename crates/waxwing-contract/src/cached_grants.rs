//! The granted tokens that a borrower holds for the next requests.

use std::time;

use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::charge;
use crate::pending_request;

/// How long before a grant expires its unspent tokens are returned to the holder.
const RETURN_BEFORE_EXPIRY: time::Duration = time::Duration::from_millis(150);

/// Grants with unspent tokens, those that expire next first.
#[derive(Debug, Default)]
pub(crate) struct CachedGrants {
    grants: Vec<pending_request::Grant>,
}

impl CachedGrants {
    /// Adds a grant. One that was delayed may expire before others that arrived earlier.
    pub(crate) fn insert(&mut self, grant: pending_request::Grant) {
        let at = self.grants.partition_point(|other| other.valid_until <= grant.valid_until);
        self.grants.insert(at, grant);
    }

    /// Spends a token of the grant that expires next; returns whether there was one.
    pub(crate) fn spend(
        &mut self,
        now: units_time::MonoInstant,
        effects: &mut charge::Effects,
    ) -> bool {
        self.grants.retain(|grant| grant.valid_until > now);
        let Some(grant) = self.grants.first_mut() else {
            return false;
        };
        grant.unspent.0 -= 1;
        if grant.unspent.0 == 0 {
            let grant = self.grants.remove(0);
            effects.sends.push(pending_request::settle_message(&grant));
        }
        true
    }

    /// Returns the unspent tokens of all grants.
    pub(crate) fn unspent(&self) -> rate::Tokens {
        rate::Tokens(self.grants.iter().map(|grant| grant.unspent.0).sum())
    }

    /// Returns the tokens of grants that expire soon to their holders.
    pub(crate) fn return_expiring(
        &mut self,
        now: units_time::MonoInstant,
        effects: &mut charge::Effects,
    ) {
        self.grants.retain(|grant| {
            let is_retained = now.after(RETURN_BEFORE_EXPIRY) < grant.valid_until;
            if !is_retained {
                effects.sends.push(pending_request::settle_message(grant));
            }
            is_retained
        });
    }

    /// Returns when [`Self::return_expiring`] next has something to do.
    pub(crate) fn next_return_at(&self) -> Option<units_time::MonoInstant> {
        self.grants.first().map(|grant| grant.valid_until.before(RETURN_BEFORE_EXPIRY))
    }

    /// Drops all grants.
    pub(crate) fn clear(&mut self) {
        self.grants.clear();
    }
}
