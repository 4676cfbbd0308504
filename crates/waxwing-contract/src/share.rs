//! How a contract is shared out among the members of a fleet.
//!
//! Each member that holds a share works with the members that it has read itself, so members may
//! disagree about who belongs to the fleet. The shares never sum up to more than the contract, as
//! long as each holder's reading names all other holders: the share is one in as many as the
//! reading has members, or one in a fixed number of holders, chosen by rendezvous.

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::rendezvous;

use crate::contract;

/// The burst that a share should have, in tokens; a smaller one refuses what comes at once.
const BURST_PER_HOLDER_TOKENS: u64 = 1;

/// What one machine holds of a contract.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The machine holds one in this many parts.
    pub one_in: u64,
}

impl Share {
    /// Returns the share's part of a contract, rounded down.
    pub fn of(self, whole: contract::Part) -> contract::Part {
        let milli = whole.rate_per_second.milli_per_second() / self.one_in;
        contract::Part {
            rate_per_second: rate::TokenRate::from_milli_per_second(milli),
            burst_tokens: rate::NanoTokens(whole.burst_tokens.0 / self.one_in.cast_signed()),
        }
    }
}

/// Returns how many members hold shares of a contract at most.
///
/// The number depends on the contract alone, so that all members agree on it.
fn holders_max(whole: contract::Part) -> u64 {
    (whole.burst_tokens.whole().0 / BURST_PER_HOLDER_TOKENS).max(1)
}

/// Returns the share of `me` by its reading of the members, which are sorted.
///
/// None where `me` is no member or where other members hold the contract.
pub fn share_of(
    organisation: &id::OrganisationId,
    whole: contract::Part,
    me: &id::VmId,
    members: &[id::VmId],
) -> Option<Share> {
    members.binary_search(me).ok()?;
    let holders_max = holders_max(whole);
    if members.len() as u64 <= holders_max {
        return Some(Share { one_in: members.len() as u64 });
    }
    let weight = |vm: &id::VmId| rendezvous::weight(organisation.as_str(), vm.as_str());
    let mine = (weight(me), me);
    let ahead = members.iter().filter(|vm| (weight(vm), *vm) > mine).count() as u64;
    (ahead < holders_max).then_some(Share { one_in: holders_max })
}
