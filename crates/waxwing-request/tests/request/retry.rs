//! Retries stay a share of the first attempts.

use waxwing_request::retry;

#[test]
fn an_outage_adds_a_tenth_to_the_load_at_most() {
    let mut budget = retry::Budget::default();
    let requests = 10_000;
    let mut retries = 0;
    for _ in 0..requests {
        budget.deposit();
        for attempts in 1..=retry::ATTEMPTS_MAX {
            retries += usize::from(budget.try_withdraw(attempts));
        }
    }
    assert!(retries <= requests / 10 + 20, "{retries} retries");
    assert!(retries >= requests / 10, "{retries} retries");
}

#[test]
fn one_request_is_attempted_a_few_times_only() {
    let mut budget = retry::Budget::default();
    let made = (1..10).filter(|attempts| budget.try_withdraw(*attempts)).count();
    assert_eq!(made as u32 + 1, retry::ATTEMPTS_MAX);
}
