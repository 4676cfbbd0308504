//! Tests of the tokens of one organisation on one machine.

use std::time;

use waxwing_contract::contract;
use waxwing_contract::token_balance;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::support::{at_ms, rate_limit};

const FOREVER: units_time::MonoInstant = units_time::MonoInstant(u64::MAX);

fn tokens(count: u64) -> rate::NanoTokens {
    rate::Tokens(count).nano()
}

fn full(rate_per_s: u64, burst: u64) -> token_balance::TokenBalance {
    let mut balance = token_balance::TokenBalance::empty(at_ms(0));
    balance.set_share(at_ms(0), rate_limit(rate_per_s, burst), FOREVER);
    balance
}

/// Spends all tokens that are available at `now` and returns their number.
fn spend_all(balance: &mut token_balance::TokenBalance, now: units_time::MonoInstant) -> u64 {
    (0..10_000).take_while(|_| balance.spend(now)).count() as u64
}

#[test]
fn a_balance_starts_empty_so_that_a_restart_adds_no_tokens() {
    assert!(!full(10, 10).spend(at_ms(0)));
}

#[test]
fn it_refills_at_its_rate_up_to_its_burst() {
    let mut balance = full(10, 5);
    assert_eq!(spend_all(&mut balance, at_ms(301)), 3);
    assert_eq!(spend_all(&mut balance, at_ms(60_000)), 5);
}

#[test]
fn lent_tokens_take_up_burst_until_the_loan_expires() {
    let mut balance = full(10, 5);
    let lent = balance.lend(at_ms(10_000), tokens(4), token_balance::Need::Waiting);
    assert_eq!(lent, tokens(4));
    assert_eq!(spend_all(&mut balance, at_ms(10_900)), 1);
    assert_eq!(spend_all(&mut balance, at_ms(20_000)), 5);
}

#[test]
fn a_loan_can_be_spent_until_it_expires_counted_from_its_request() {
    let mut borrower = full(0, 0);
    borrower.receive(at_ms(400), at_ms(0), tokens(3));
    assert!(borrower.spend(at_ms(990)));
    assert!(!borrower.spend(at_ms(1_000)));
    borrower.receive(at_ms(2_500), at_ms(1_000), tokens(3));
    assert!(!borrower.spend(at_ms(2_500)));
}

#[test]
fn only_tokens_above_the_reserve_are_lent_for_prefetching() {
    let mut balance = full(10, 8);
    assert_eq!(balance.lend(at_ms(10_000), tokens(8), token_balance::Need::Prefetch), tokens(4));
    assert_eq!(balance.lend(at_ms(10_000), tokens(8), token_balance::Need::Prefetch), tokens(0));
    assert_eq!(balance.lend(at_ms(10_000), tokens(8), token_balance::Need::Waiting), tokens(4));
}

#[test]
fn a_share_expires_with_its_registration() {
    let mut balance = token_balance::TokenBalance::empty(at_ms(0));
    balance.set_share(at_ms(0), rate_limit(10, 5), at_ms(5_000));
    assert!(balance.spend(at_ms(4_999)));
    assert!(!balance.spend(at_ms(5_000)));
    assert_eq!(balance.lend(at_ms(5_000), tokens(1), token_balance::Need::Waiting), tokens(0));
    assert!(!balance.has_share(at_ms(5_000)));
}

#[test]
fn a_smaller_share_takes_effect_at_once() {
    let mut balance = full(10, 10);
    balance.set_share(at_ms(10_000), rate_limit(10, 2), FOREVER);
    assert_eq!(spend_all(&mut balance, at_ms(10_000)), 2);
}

#[test]
fn it_returns_the_time_to_the_next_token() {
    let mut balance = full(10, 5);
    let in_100_ms = balance.next_token_in(at_ms(0)).expect("a rate above zero");
    assert_eq!(in_100_ms, time::Duration::from_millis(100));
    assert_eq!(full(0, 0).next_token_in(at_ms(0)), None);
    assert_eq!(contract::RateLimit::NONE, rate_limit(0, 0));
}

/// Machines lend each other tokens, and some loans are lost. No window of two seconds may see more
/// tokens spent than the total burst and the refill.
#[test]
fn loans_never_raise_the_rate_or_the_burst() {
    use rand::{Rng, SeedableRng};
    for seed in 0..300 {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut balances: Vec<token_balance::TokenBalance> = (0..4).map(|_| full(5, 4)).collect();
        let (rate_per_s, burst) = (20, 16);
        let mut spent_at_ms: Vec<u64> = Vec::new();
        for ms in (0..20_000).step_by(20) {
            let now = at_ms(ms);
            let (from, to) = (rng.random_range(0..4), rng.random_range(0..4));
            if from != to && rng.random_bool(0.3) {
                let need = if rng.random_bool(0.5) {
                    token_balance::Need::Prefetch
                } else {
                    token_balance::Need::Waiting
                };
                let lent = balances[from].lend(now, tokens(rng.random_range(1..5)), need);
                if rng.random_bool(0.8) {
                    balances[to].receive(now, now.before(time::Duration::from_millis(30)), lent);
                }
            }
            let spender = rng.random_range(0..4);
            let attempts = if rng.random_bool(0.1) { 10 } else { 1 };
            let spent = (0..attempts).filter(|_| balances[spender].spend(now)).count();
            spent_at_ms.extend(std::iter::repeat_n(ms, spent));
        }
        for (first, start_ms) in spent_at_ms.iter().enumerate() {
            let within = spent_at_ms[first..].iter().take_while(|ms| **ms < start_ms + 2_000);
            let spent_max = burst + rate_per_s * 2;
            assert!(within.count() as u64 <= spent_max, "seed {seed}, from {start_ms} ms");
        }
    }
}

#[test]
fn a_balance_prefetches_its_demand_and_nothing_while_it_has_enough() {
    let mut balance = full(100, 40);
    assert_eq!(balance.prefetch_amount(at_ms(10_000)), tokens(0), "no token has been spent yet");
    assert_eq!(balance.loan_amount_per_lender(3), tokens(1));
    for _ in 0..30 {
        assert!(balance.spend(at_ms(10_000)));
    }
    assert_eq!(balance.loan_amount_per_lender(3).whole(), rate::Tokens(9));
    assert!(balance.prefetch_amount(at_ms(10_000)) > tokens(10));
    assert_eq!(balance.prefetch_amount(at_ms(10_240)), tokens(0), "the balance has refilled");
}

#[test]
fn only_whole_tokens_are_lent() {
    let mut balance = full(10, 5);
    let wanted = rate::NanoTokens(rate::NANO_PER_TOKEN * 5 / 2);
    assert_eq!(balance.lend(at_ms(10_000), wanted, token_balance::Need::Waiting), tokens(2));
    let mut nearly = full(10, 5);
    assert_eq!(nearly.lend(at_ms(95), tokens(1), token_balance::Need::Waiting), tokens(0));
}

#[test]
fn a_refund_never_raises_the_balance_above_the_burst() {
    let mut balance = full(10, 3);
    assert_eq!(spend_all(&mut balance, at_ms(10_000)), 3);
    balance.refund(at_ms(10_000));
    assert_eq!(spend_all(&mut balance, at_ms(10_000)), 1);
    (0..9).for_each(|_| balance.refund(at_ms(10_000)));
    assert_eq!(spend_all(&mut balance, at_ms(10_000)), 3);
    let mut none = full(0, 0);
    none.refund(at_ms(1));
    assert!(!none.spend(at_ms(1)), "a machine without a share has no capacity");
}
