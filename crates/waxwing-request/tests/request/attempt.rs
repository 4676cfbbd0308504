//! Every state of an attempt times every fault.

use expect_test::expect_file;
use waxwing_request::attempt;
use waxwing_request::outcome;

const REPEATABILITIES: [attempt::Repeatability; 2] =
    [attempt::Repeatability::Idempotent, attempt::Repeatability::AtMostOnce];

const BODIES: [attempt::Body; 2] = [attempt::Body::Buffered, attempt::Body::Streamed];

fn show(verdict: attempt::Action) -> String {
    match verdict {
        attempt::Action::Retry { otherwise } => format!("again, else {otherwise}"),
        attempt::Action::Fail(outcome) => outcome.to_string(),
        attempt::Action::AbortResponse => "break the answer".to_owned(),
    }
}

/// All combinations of a state, a fault, a repeatability and a body, with their verdicts.
fn all() -> Vec<(attempt::State, attempt::Fault, attempt::Repeatability, attempt::Action)> {
    let mut all = Vec::new();
    for state in attempt::STATES {
        for fault in attempt::FAULTS {
            for repeatability in REPEATABILITIES {
                for body in BODIES {
                    let verdict = attempt::decide(state, fault, repeatability, body);
                    all.push((state, fault, repeatability, verdict));
                }
            }
        }
    }
    all
}

#[test]
fn the_whole_table() {
    let mut table = String::from(
        "state      fault                idempotent, kept     idempotent, streamed  \
         at most once, kept   at most once, streamed\n",
    );
    for state in attempt::STATES {
        for fault in attempt::FAULTS {
            let verdict =
                |repeatability, body| show(attempt::decide(state, fault, repeatability, body));
            let [idempotent, once] = REPEATABILITIES;
            let [kept, streamed] = BODIES;
            let row = format!(
                "{state:10} {fault:20} {:20} {:21} {:20} {}",
                verdict(idempotent, kept),
                verdict(idempotent, streamed),
                verdict(once, kept),
                verdict(once, streamed),
            );
            table.push_str(&format!("{}\n", row.trim_end()));
        }
    }
    expect_file!["golden/attempts.txt"].assert_eq(&table);
}

#[test]
fn not_run_is_never_said_where_the_server_may_have_run_the_request() {
    for (state, fault, _, verdict) in all() {
        let is_told_not_run = matches!(
            verdict,
            attempt::Action::Fail(outcome::Outcome::NotRun)
                | attempt::Action::Retry { otherwise: outcome::Outcome::NotRun }
        );
        let declared = matches!(fault, attempt::Fault::DeclaredNotRun | attempt::Fault::NoSlot);
        assert!(!is_told_not_run || declared || state < attempt::State::Sending, "{state} {fault}");
    }
}

#[test]
fn what_runs_at_most_once_is_never_attempted_again_where_it_may_have_run() {
    for (state, fault, repeatability, verdict) in all() {
        let is_again = matches!(verdict, attempt::Action::Retry { .. });
        let is_once = repeatability == attempt::Repeatability::AtMostOnce;
        let may_have_run = attempt::may_have_run(state, fault);
        assert!(!(is_again && is_once && may_have_run), "{state} {fault}");
    }
}

#[test]
fn after_an_attempt_that_may_have_run_nothing_is_told_as_not_run() {
    let first = attempt::History::default();
    for (state, fault, _, _) in all() {
        let mut history = first;
        let repeatability = attempt::Repeatability::Idempotent;
        let kept = attempt::Body::Buffered;
        history.decide(attempt::State::Sent, attempt::Fault::Disconnected, repeatability, kept);
        let verdict = history.decide(state, fault, repeatability, kept);
        assert!(!show(verdict).contains("not-run"), "{state} {fault}: {}", show(verdict));
    }
}

#[test]
fn a_failed_attempt_is_never_told_as_answered() {
    for (state, fault, _, verdict) in all() {
        let answered = attempt::Action::Fail(outcome::Outcome::Answered);
        assert_ne!(verdict, answered, "{state} {fault}");
    }
}
