//! Tests of the shares of members that disagree about who belongs to the fleet.

use rand::{Rng, SeedableRng};
use waxwing_contract::contract;
use waxwing_contract::share;
use waxwing_units::id;

use crate::support::{rate_limit, vm};

fn organisation() -> id::OrganisationId {
    "kiln".parse().expect("a valid name")
}

fn members(count: usize) -> Vec<id::VmId> {
    (0..count).map(|n| vm(&format!("vm-{n:02}"))).collect()
}

fn share_of(whole: contract::RateLimit, me: &id::VmId, members: &[id::VmId]) -> Option<u64> {
    share::share_of(&organisation(), whole, me, members).map(|share| share.divisor)
}

#[test]
fn members_hold_equal_shares() {
    let members = members(7);
    for me in &members {
        assert_eq!(share_of(rate_limit(70, 70), me, &members), Some(7));
    }
    assert_eq!(share_of(rate_limit(70, 70), &vm("stranger"), &members), None);
}

#[test]
fn a_small_burst_has_as_many_holders_as_tokens() {
    let members = members(7);
    let holders = members.iter().filter_map(|me| share_of(rate_limit(2, 3), me, &members));
    assert_eq!(holders.collect::<Vec<u64>>(), [3, 3, 3]);
    let whole = rate_limit(0, 0);
    assert_eq!(members.iter().filter_map(|me| share_of(whole, me, &members)).count(), 1);
}

#[test]
fn a_burst_is_divided_among_as_many_holders_as_get_several_tokens_each() {
    let members = members(35);
    let holders = |burst| -> Vec<u64> {
        members.iter().filter_map(|me| share_of(rate_limit(20, burst), me, &members)).collect()
    };
    assert_eq!(holders(25), [4; 4]);
    assert_eq!(holders(10), [3; 3]);
    assert_eq!(holders(400).len(), 35);
}

#[test]
fn members_agree_on_the_holders() {
    let members = members(35);
    let whole = rate_limit(20, 25);
    let holders = share::holders(&organisation(), whole, &members);
    assert_eq!(holders.len(), 4);
    for me in &members {
        assert_eq!(holders.contains(&me), share_of(whole, me, &members).is_some(), "{me}");
    }
}

#[test]
fn a_share_is_rounded_down() {
    let share = share::Share { divisor: 3 };
    assert!(share.of(rate_limit(10, 10)).burst_tokens.0 * 3 <= rate_limit(10, 10).burst_tokens.0);
    assert_eq!(share.of(rate_limit(10, 10)).rate_per_second.milli_per_second(), 3_333);
}

/// Each holder has its own view of the fleet, which contains all other holders and any number of
/// other members.
#[test]
fn shares_never_sum_up_to_more_than_the_contract_whatever_members_see() {
    for seed in 0..5_000 {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let all = members(rng.random_range(1..12));
        let holders: Vec<&id::VmId> = all.iter().filter(|_| rng.random_bool(0.6)).collect();
        let whole = rate_limit(100, rng.random_range(0..20));
        let mut sum = 0.0;
        for me in &holders {
            let view: Vec<id::VmId> = all
                .iter()
                .filter(|vm| holders.contains(vm) || rng.random_bool(0.5))
                .cloned()
                .collect();
            sum += share_of(whole, me, &view).map_or(0.0, |divisor| 1.0 / divisor as f64);
        }
        assert!(sum <= 1.0 + 1e-9, "seed {seed}: shares sum up to {sum}");
    }
}
