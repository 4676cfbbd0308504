//! Tests that retries stay a fixed share of the first attempts.

use waxwing_request::retry;

#[test]
fn an_outage_adds_at_most_a_tenth_to_the_load() {
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
fn one_request_is_attempted_at_most_attempts_max_times() {
    let mut budget = retry::Budget::default();
    let retries = (1..10).filter(|attempts| budget.try_withdraw(*attempts)).count();
    assert_eq!(retries as u32 + 1, retry::ATTEMPTS_MAX);
}
