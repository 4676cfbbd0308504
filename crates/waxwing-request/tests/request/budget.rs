//! How often requests are sent again, over all machines together.

use rand::{Rng, SeedableRng};
use waxwing_request::budget;

const ALLOWANCE: budget::FleetLimit = budget::FleetLimit { ratio_permille: 200, slack: 60 };

#[test]
fn nothing_is_saved_at_the_start() {
    assert!(!budget::MachineShare::default().try_withdraw());
}

#[test]
fn repeats_are_earned_by_requests() {
    let mut budget = budget::MachineShare::default();
    (0..100).for_each(|_| budget.deposit(ALLOWANCE, 7));
    let repeats = (0..100).filter(|_| budget.try_withdraw()).count();
    assert_eq!(repeats, 6, "what seven machines save up each stays within the slack");
}

/// In every window, all machines together stay within the ratio and the slack.
#[test]
fn machines_together_stay_within_the_allowance() {
    for seed in 0..200 {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let machines = rng.random_range(1..9);
        let mut budgets = vec![budget::MachineShare::default(); machines];
        let mut steps: Vec<(u64, u64)> = Vec::new();
        for _ in 0..2_000 {
            let at = rng.random_range(0..machines);
            let (sent, wished) = (rng.random_range(0..4), rng.random_range(0..6));
            (0..sent).for_each(|_| budgets[at].deposit(ALLOWANCE, machines));
            let repeated = (0..wished).filter(|_| budgets[at].try_withdraw()).count() as u64;
            steps.push((sent, repeated));
        }
        for window in steps.windows(150) {
            let sent: u64 = window.iter().map(|(sent, _)| sent).sum();
            let repeated: u64 = window.iter().map(|(_, repeated)| repeated).sum();
            let most = sent * ALLOWANCE.ratio_permille / 1_000 + ALLOWANCE.slack;
            assert!(repeated <= most, "seed {seed}: {repeated} repeats of {sent}");
        }
    }
}
