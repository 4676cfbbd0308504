//! How a contract is shared out among the members of a fleet.
//!
//! Each member that holds a share works with the members that it has read itself, so members may
//! disagree about who belongs to the fleet. The shares never sum up to more than the contract, as
//! long as each holder's reading names all other holders: the share is one in as many as the
//! reading has members, or one in a fixed number of holders, chosen by rendezvous.

use std::cmp;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::rendezvous;

use crate::contract;

/// The burst that a share should have, in tokens; with a smaller one, tokens lie scattered where
/// no request is, and a member that needs one has to ask many.
const BURST_PER_HOLDER_TOKENS: u64 = 6;

/// Holders of a contract whose burst has as many tokens, so that losing one leaves most of it.
const HOLDERS_MIN: u64 = 3;

/// What one machine holds of a contract.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The machine holds one in this many parts.
    pub one_in: u64,
}

impl Share {
    /// Returns the share's part of a contract, rounded down.
    pub fn of(self, whole: contract::RateLimit) -> contract::RateLimit {
        let milli = whole.rate_per_second.milli_per_second() / self.one_in;
        contract::RateLimit {
            rate_per_second: rate::TokenRate::from_milli_per_second(milli),
            burst_tokens: rate::NanoTokens(whole.burst_tokens.0 / self.one_in.cast_signed()),
        }
    }
}

/// Returns how many members hold shares of a contract at most.
///
/// The number depends on the contract alone, so that all members agree on it.
fn holders_max(whole: contract::RateLimit) -> u64 {
    let burst_tokens = whole.burst_tokens.whole().0;
    (burst_tokens / BURST_PER_HOLDER_TOKENS).max(burst_tokens.min(HOLDERS_MIN)).max(1)
}

/// Returns the members that hold shares of a contract, by one's reading of the members.
pub fn holders<'a>(
    organisation: &id::OrganisationId,
    whole: contract::RateLimit,
    members: &'a [id::VmId],
) -> Vec<&'a id::VmId> {
    let holders_max = usize::try_from(holders_max(whole)).unwrap_or(usize::MAX);
    let mut holders: Vec<&id::VmId> = members.iter().collect();
    if holders.len() > holders_max {
        let weight = |vm: &id::VmId| rendezvous::weight(organisation.as_str(), vm.as_str());
        holders.sort_by_cached_key(|vm| cmp::Reverse((weight(vm), *vm)));
        holders.truncate(holders_max);
    }
    holders
}

/// Returns the share of `me` by its reading of the members, which are sorted.
///
/// None where `me` is no member or where other members hold the contract.
pub fn share_of(
    organisation: &id::OrganisationId,
    whole: contract::RateLimit,
    me: &id::VmId,
    members: &[id::VmId],
) -> Option<Share> {
    members.binary_search(me).ok()?;
    let holders = holders(organisation, whole, members);
    holders.contains(&me).then_some(Share { one_in: holders.len() as u64 })
}
