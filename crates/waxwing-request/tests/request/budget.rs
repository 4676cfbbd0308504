//! Tests that all machines together stay within the retry limit of a service.

use rand::{Rng, SeedableRng};
use waxwing_request::budget;

const LIMIT: budget::FleetLimit = budget::FleetLimit { ratio_permille: 200, slack: 60 };

#[test]
fn a_new_balance_is_empty() {
    assert!(!budget::MachineShare::default().try_withdraw());
}

#[test]
fn first_attempts_earn_retries() {
    let mut budget = budget::MachineShare::default();
    (0..100).for_each(|_| budget.deposit(LIMIT, 7));
    let retries = (0..100).filter(|_| budget.try_withdraw()).count();
    assert_eq!(retries, 6, "the balances of seven machines stay within the slack");
}

/// Checks every window of random requests and retries against the ratio and the slack.
#[test]
fn machines_together_stay_within_the_limit() {
    for seed in 0..200 {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let machines = rng.random_range(1..9);
        let mut budgets = vec![budget::MachineShare::default(); machines];
        let mut steps: Vec<(u64, u64)> = Vec::new();
        for _ in 0..2_000 {
            let at = rng.random_range(0..machines);
            let (sent, wanted) = (rng.random_range(0..4), rng.random_range(0..6));
            (0..sent).for_each(|_| budgets[at].deposit(LIMIT, machines));
            let retried = (0..wanted).filter(|_| budgets[at].try_withdraw()).count() as u64;
            steps.push((sent, retried));
        }
        for window in steps.windows(150) {
            let sent: u64 = window.iter().map(|(sent, _)| sent).sum();
            let retried: u64 = window.iter().map(|(_, retried)| retried).sum();
            let max_retries = sent * LIMIT.ratio_permille / 1_000 + LIMIT.slack;
            assert!(retried <= max_retries, "seed {seed}: {retried} retries of {sent}");
        }
    }
}
