//! Waiting for tokens, with a replay of an organisation that asks four times its rate on all machines.

use std::time;

use waxwing_contract::token_balance::{Need, TokenBalance};
use waxwing_contract::token_wait::TokenWait;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::support::{at_ms, rate_limit};

const FOREVER: units_time::MonoInstant = units_time::MonoInstant(u64::MAX);
const OBJECTIVE: time::Duration = time::Duration::from_millis(400);

/// A time at which nothing recovers any more.
const SETTLED_MS: u64 = 10_000;

fn fruitless(lenders: usize, at: u64) -> TokenWait {
    let mut wait = TokenWait::recovering(at_ms(0));
    (0..lenders).for_each(|_| wait.record_response(at_ms(at), false));
    wait
}

#[test]
fn an_organisation_is_spent_once_half_of_the_lenders_had_nothing() {
    assert!(!fruitless(9, SETTLED_MS).is_spent(at_ms(SETTLED_MS), 20));
    assert!(fruitless(10, SETTLED_MS).is_spent(at_ms(SETTLED_MS), 20));
    assert!(fruitless(1, SETTLED_MS).is_spent(at_ms(SETTLED_MS), 1));
}

/// Guards against refusing an organisation for good because its lenders were empty once.
#[test]
fn a_loan_or_time_ends_that() {
    let mut wait = fruitless(20, SETTLED_MS);
    assert!(!wait.is_spent(at_ms(SETTLED_MS + 1_000), 20));
    wait.record_response(at_ms(SETTLED_MS), true);
    assert!(!wait.is_spent(at_ms(SETTLED_MS), 20));
}

/// Guards against refusals below the rate after a restart, when all balances are empty.
#[test]
fn requests_wait_longer_while_the_account_recovers() {
    let mut wait = TokenWait::recovering(at_ms(0));
    assert_eq!(wait.wait_max(at_ms(100), OBJECTIVE), OBJECTIVE);
    assert_eq!(wait.wait_max(at_ms(SETTLED_MS), OBJECTIVE), OBJECTIVE / 4);
    wait.restart_recovery(at_ms(SETTLED_MS));
    assert!(wait.is_recovering(at_ms(SETTLED_MS)));
}

const MACHINES: usize = 20;

/// The rate of the organisation, and the requests a second that arrive at each machine.
const RATE_PER_S: u64 = 100;
const ARRIVALS_PER_S: u64 = 20;

/// The time between a request for a loan and its response.
const ROUND_TRIP_MS: u64 = 11;

const REPLAY_MS: u64 = 5_000;

/// What a request without a token does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Asks one lender after the other for a fixed time.
    Wait(u64),
    /// Asks for a quarter of its objective, and not at all once nothing is known to be left.
    Known,
}

#[derive(Debug, Default)]
struct Replay {
    in_time: usize,
    late: usize,
    refused: usize,
    refused_after_ms: u64,
}

/// Replays requests that arrive one after the other over all machines, each of which asks lenders by
/// itself.
fn replay(policy: Policy) -> Replay {
    let share = || {
        let mut balance = TokenBalance::empty(at_ms(0));
        balance.set_share(at_ms(0), rate_limit(RATE_PER_S / MACHINES as u64, 5), FOREVER);
        (balance, TokenWait::recovering(at_ms(0)))
    };
    let mut machines: Vec<_> = (0..MACHINES).map(|_| share()).collect();
    let mut waiting: Vec<(usize, u64, usize)> = Vec::new();
    let mut result = Replay::default();
    for ms in SETTLED_MS..SETTLED_MS + REPLAY_MS {
        let now = at_ms(ms);
        for machine in 0..MACHINES {
            if (ms + machine as u64 * 7).is_multiple_of(1_000 / ARRIVALS_PER_S) {
                waiting.push((machine, ms, 0));
            }
        }
        waiting.retain_mut(|(machine, arrived_ms, asked)| {
            let waited_ms = ms - *arrived_ms;
            if !waited_ms.is_multiple_of(ROUND_TRIP_MS) {
                return true;
            }
            if waited_ms > 0 {
                let lender = (*machine + *asked) % MACHINES;
                let wanted = rate::Tokens(1).nano();
                let loan = machines[lender].0.lend(now, wanted, Need::Waiting);
                machines[*machine].1.record_response(now, loan.0 > 0);
                machines[*machine].0.receive(now, at_ms(ms - ROUND_TRIP_MS), loan);
            }
            *asked += 1;
            if machines[*machine].0.spend(now) {
                let is_in_time = waited_ms <= OBJECTIVE.as_millis() as u64 / 4;
                *(if is_in_time { &mut result.in_time } else { &mut result.late }) += 1;
                return false;
            }
            let known = &machines[*machine].1;
            let gives_up = *asked >= MACHINES
                || match policy {
                    Policy::Wait(max_ms) => waited_ms >= max_ms,
                    Policy::Known => {
                        let wait_max = known.wait_max(now, OBJECTIVE).as_millis() as u64;
                        waited_ms >= wait_max || known.is_spent(now, MACHINES - 1)
                    }
                };
            if gives_up {
                result.refused += 1;
                result.refused_after_ms += waited_ms;
            }
            !gives_up
        });
    }
    result
}

/// Guards against refusals after a wait for what can't come, and against requests that are served late
/// by tokens which others could have used in time.
#[test]
fn an_organisation_over_its_rate_is_refused_soon_and_served_in_time() {
    let known = replay(Policy::Known);
    let long = replay(Policy::Wait(200));
    println!(
        "known: {known:?}\nwait 100 ms: {:?}\nwait 200 ms: {long:?}",
        replay(Policy::Wait(100))
    );
    // The last round trip may end a little after the time in which a request waits.
    assert!(known.late * 100 <= known.in_time, "{known:?}");
    assert!(known.in_time >= long.in_time, "{known:?}, {long:?}");
    let mean_ms = |replay: &Replay| replay.refused_after_ms / replay.refused as u64;
    assert!(mean_ms(&known) * 4 < mean_ms(&long), "{known:?}, {long:?}");
}
