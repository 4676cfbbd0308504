//! Divides a contract among the members of a fleet, without seats.
//!
//! Each member computes its share from its own view of the membership, so members may disagree
//! about who belongs to the fleet. The shares sum up to at most the contract as long as the view of
//! each holder contains all other holders: a share is the contract divided by the number of members
//! in the view, or by a fixed number of holders that rendezvous hashing selects.

use std::cmp;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::rendezvous;

use crate::contract;

/// The burst that a share should have at least, in tokens. Smaller shares scatter the tokens over
/// machines that have no request for them, and a member that needs one has to ask many others.
const BURST_PER_HOLDER_TOKENS: u64 = 6;

/// The minimum number of holders of a contract whose burst has at least as many tokens, so that
/// most of the contract remains usable when one holder fails.
const HOLDERS_MIN: u64 = 3;

/// The share of a contract that one machine holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The number of equal shares of the contract, of which the machine holds one.
    pub divisor: u64,
}

impl Share {
    /// Returns the limit that the share has of the contract `whole`, rounded down.
    pub fn of(self, whole: contract::RateLimit) -> contract::RateLimit {
        let milli = whole.rate_per_second.milli_per_second() / self.divisor;
        contract::RateLimit {
            rate_per_second: rate::TokenRate::from_milli_per_second(milli),
            burst_tokens: rate::NanoTokens(whole.burst_tokens.0 / self.divisor.cast_signed()),
        }
    }
}

/// Returns the maximum number of members that hold shares of a contract.
///
/// It depends on the contract alone, so that all members agree on it.
fn holders_max(whole: contract::RateLimit) -> u64 {
    let burst_tokens = whole.burst_tokens.whole().0;
    (burst_tokens / BURST_PER_HOLDER_TOKENS).max(burst_tokens.min(HOLDERS_MIN)).max(1)
}

/// Returns the members that hold shares of a contract, according to one member's view of the fleet.
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

/// Returns the share of `me` according to its own view of the fleet, whose `members` are sorted.
///
/// Returns `None` if `me` is not a member, or if other members hold the contract.
pub fn share_of(
    organisation: &id::OrganisationId,
    whole: contract::RateLimit,
    me: &id::VmId,
    members: &[id::VmId],
) -> Option<Share> {
    members.binary_search(me).ok()?;
    let holders = holders(organisation, whole, members);
    holders.contains(&me).then_some(Share { divisor: holders.len() as u64 })
}
