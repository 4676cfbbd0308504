//! Tests the action for every combination of attempt state, fault, repeatability and body.

use expect_test::expect_file;
use waxwing_request::attempt;
use waxwing_request::outcome;

const REPEATABILITIES: [attempt::Repeatability; 2] =
    [attempt::Repeatability::Idempotent, attempt::Repeatability::AtMostOnce];

const BODIES: [attempt::Body; 2] = [attempt::Body::Buffered, attempt::Body::Streamed];

fn show(action: attempt::Action) -> String {
    match action {
        attempt::Action::Retry { otherwise } => format!("again, else {otherwise}"),
        attempt::Action::Fail(outcome) => outcome.to_string(),
        attempt::Action::AbortResponse => "break the answer".to_owned(),
    }
}

/// Returns all combinations of a state, a fault, a repeatability and a body, with their actions.
fn all_combinations()
-> Vec<(attempt::State, attempt::Fault, attempt::Repeatability, attempt::Action)> {
    let mut all = Vec::new();
    for state in attempt::STATES {
        for fault in attempt::FAULTS {
            for repeatability in REPEATABILITIES {
                for body in BODIES {
                    let action = attempt::decide(state, fault, repeatability, body);
                    all.push((state, fault, repeatability, action));
                }
            }
        }
    }
    all
}

#[test]
fn actions_match_the_golden_table() {
    let mut table = String::from(
        "state      fault                idempotent, kept     idempotent, streamed  \
         at most once, kept   at most once, streamed\n",
    );
    for state in attempt::STATES {
        for fault in attempt::FAULTS {
            let action =
                |repeatability, body| show(attempt::decide(state, fault, repeatability, body));
            let [idempotent, once] = REPEATABILITIES;
            let [kept, streamed] = BODIES;
            let row = format!(
                "{state:10} {fault:20} {:20} {:21} {:20} {}",
                action(idempotent, kept),
                action(idempotent, streamed),
                action(once, kept),
                action(once, streamed),
            );
            table.push_str(&format!("{}\n", row.trim_end()));
        }
    }
    expect_file!["golden/attempts.txt"].assert_eq(&table);
}

#[test]
fn not_run_is_never_reported_if_the_server_may_have_run_the_request() {
    for (state, fault, _, action) in all_combinations() {
        let is_reported_not_run = matches!(
            action,
            attempt::Action::Fail(outcome::Outcome::NotRun)
                | attempt::Action::Retry { otherwise: outcome::Outcome::NotRun }
        );
        let declared = matches!(fault, attempt::Fault::DeclaredNotRun | attempt::Fault::NoSlot);
        assert!(
            !is_reported_not_run || declared || state < attempt::State::Sending,
            "{state} {fault}"
        );
    }
}

#[test]
fn at_most_once_requests_are_never_retried_if_they_may_have_run() {
    for (state, fault, repeatability, action) in all_combinations() {
        let is_retry = matches!(action, attempt::Action::Retry { .. });
        let is_once = repeatability == attempt::Repeatability::AtMostOnce;
        let may_have_run = attempt::may_have_run(state, fault);
        assert!(!(is_retry && is_once && may_have_run), "{state} {fault}");
    }
}

#[test]
fn an_earlier_attempt_that_may_have_run_rules_out_not_run() {
    let first = attempt::History::default();
    for (state, fault, _, _) in all_combinations() {
        let mut history = first;
        let repeatability = attempt::Repeatability::Idempotent;
        let buffered = attempt::Body::Buffered;
        history.decide(attempt::State::Sent, attempt::Fault::Disconnected, repeatability, buffered);
        let action = history.decide(state, fault, repeatability, buffered);
        assert!(!show(action).contains("not-run"), "{state} {fault}: {}", show(action));
    }
}

#[test]
fn a_failed_attempt_is_never_reported_as_answered() {
    for (state, fault, _, action) in all_combinations() {
        let answered = attempt::Action::Fail(outcome::Outcome::Answered);
        assert_ne!(action, answered, "{state} {fault}");
    }
}
