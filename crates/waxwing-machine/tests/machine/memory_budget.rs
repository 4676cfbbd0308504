//! The memory held for callers' connections, and which of them give way.

use std::net;
use std::time;

use proptest::prelude::*;
use waxwing_machine::memory_budget::{CONNECTION, Decision, MemoryBudget, Options, Phase, Purpose};
use waxwing_units::id;
use waxwing_units::size;
use waxwing_units::time as units_time;

const MIB: u64 = 1024 * 1024;

const OPTIONS: Options = Options { total: size::Bytes(32 * MIB), connections_max: 8 };

/// A time after which connections that do not progress may have to give way.
const LATER_MS: u64 = 10_000;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

fn address(last: u8) -> net::IpAddr {
    net::IpAddr::from([10, 0, 0, last])
}

fn open(budget: &mut MemoryBudget, from: u8) -> id::ConnectionId {
    budget.open(at_ms(0), address(from)).expect("there is room")
}

/// Opens a connection that holds `mib` since 0 ms, in the phase `phase`.
fn holding(budget: &mut MemoryBudget, from: u8, mib: u64, phase: Phase) -> id::ConnectionId {
    let connection = open(budget, from);
    budget.set_phase(at_ms(0), connection, phase);
    let purpose = Purpose::Response;
    let decision = budget.reserve(at_ms(0), connection, purpose, size::Bytes(mib * MIB));
    assert_eq!(decision, Decision::Granted);
    connection
}

/// Returns the connections that give way for `mib` more, at a time when all may.
fn evicted_for(budget: &mut MemoryBudget, mib: u64) -> Vec<id::ConnectionId> {
    let requester = open(budget, 99);
    let bytes = size::Bytes(mib * MIB);
    match budget.reserve(at_ms(LATER_MS), requester, Purpose::Response, bytes) {
        Decision::Granted => panic!("there is room"),
        Decision::Full { evicted } => evicted,
    }
}

#[test]
fn what_was_released_can_be_held_again() {
    let mut budget = MemoryBudget::new(OPTIONS);
    let first = holding(&mut budget, 1, 27, Phase::Working);
    assert_eq!(evicted_for(&mut budget, 4), []);
    budget.release(first, size::Bytes(8 * MIB));
    let second = open(&mut budget, 2);
    let decision = budget.reserve(at_ms(0), second, Purpose::Response, size::Bytes(4 * MIB));
    assert_eq!(decision, Decision::Granted);
    budget.close(first);
    budget.close(second);
    assert_eq!(budget.held(), CONNECTION);
}

/// Guards against a crowd of large bodies that keeps ordinary requests out.
#[test]
fn bodies_leave_room_for_responses_and_for_small_requests() {
    let mut budget = MemoryBudget::new(OPTIONS);
    let large = open(&mut budget, 1);
    let mut held_mib = 0;
    while budget.reserve(at_ms(0), large, Purpose::RequestBody, size::Bytes(MIB))
        == Decision::Granted
    {
        held_mib += 1;
    }
    assert_eq!(held_mib, 23);
    let response = open(&mut budget, 2);
    let decision = budget.reserve(at_ms(0), response, Purpose::Response, size::Bytes(4 * MIB));
    assert_eq!(decision, Decision::Granted, "the response of a request that has run");
    let small = open(&mut budget, 3);
    let decision = budget.reserve(at_ms(0), small, Purpose::RequestBody, size::Bytes(16 * 1024));
    assert_eq!(decision, Decision::Granted, "a small body");
}

#[test]
fn a_connection_that_stopped_gives_way_before_one_that_moves() {
    let mut budget = MemoryBudget::new(OPTIONS);
    let stopped = holding(&mut budget, 1, 12, Phase::Receiving);
    let moving = holding(&mut budget, 1, 12, Phase::Receiving);
    budget.record_progress(at_ms(0), stopped, size::Bytes(12 * MIB));
    for ms in (0..LATER_MS).step_by(100) {
        budget.record_progress(at_ms(ms), moving, size::Bytes(MIB / 2));
    }
    assert_eq!(evicted_for(&mut budget, 10), [stopped]);
    assert_eq!(evicted_for(&mut budget, 10), [], "its memory will be enough");
}

/// Guards against a caller that keeps its memory by sending a byte now and then.
#[test]
fn a_trickle_does_not_keep_much_memory() {
    let mut budget = MemoryBudget::new(OPTIONS);
    let trickling = holding(&mut budget, 1, 24, Phase::Sending);
    for ms in (0..LATER_MS).step_by(100) {
        budget.record_progress(at_ms(ms), trickling, size::Bytes(1));
    }
    assert_eq!(evicted_for(&mut budget, 10), [trickling]);
}

#[test]
fn requests_at_a_server_and_young_connections_stay() {
    let mut budget = MemoryBudget::new(OPTIONS);
    holding(&mut budget, 1, 12, Phase::Working);
    let young = holding(&mut budget, 1, 12, Phase::Receiving);
    budget.set_phase(at_ms(LATER_MS - 1_000), young, Phase::Sending);
    assert_eq!(evicted_for(&mut budget, 10), []);
}

#[test]
fn the_address_that_holds_most_gives_way_first() {
    let mut budget = MemoryBudget::new(OPTIONS);
    holding(&mut budget, 1, 9, Phase::Receiving);
    let heavy = [(); 2].map(|()| holding(&mut budget, 2, 7, Phase::Receiving));
    for connection in heavy {
        budget.record_progress(at_ms(LATER_MS), connection, size::Bytes(1));
    }
    assert_eq!(evicted_for(&mut budget, 6), heavy[..1]);
}

#[test]
fn nothing_gives_way_if_that_would_not_be_enough() {
    let mut budget = MemoryBudget::new(OPTIONS);
    holding(&mut budget, 1, 20, Phase::Working);
    holding(&mut budget, 1, 2, Phase::Receiving);
    assert_eq!(evicted_for(&mut budget, 20), []);
}

/// Guards against silent connections that leave no descriptor for others.
#[test]
fn a_silent_connection_gives_way_to_a_new_one() {
    let mut budget = MemoryBudget::new(OPTIONS);
    let silent: Vec<_> = (0..8).map(|_| open(&mut budget, 1)).collect();
    assert_eq!(budget.open(at_ms(100), address(2)), Err(Vec::new()), "all have just come");
    assert_eq!(budget.open(at_ms(LATER_MS), address(2)), Err(silent[..1].to_vec()));
    budget.close(silent[0]);
    assert!(budget.open(at_ms(LATER_MS), address(2)).is_ok());
}

/// The users' smallest machine and the largest body that they allow.
#[test]
fn the_largest_body_fits_into_the_smallest_machine() {
    let mut budget = MemoryBudget::new(Options::of(size::Bytes(160 * MIB), 4_100));
    let connection = open(&mut budget, 1);
    for (purpose, mib) in [(Purpose::RequestBody, 64), (Purpose::Response, 16)] {
        let decision = budget.reserve(at_ms(0), connection, purpose, size::Bytes(mib * MIB));
        assert_eq!(decision, Decision::Granted, "{purpose:?}");
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Open(u8),
    Reserve(u64, u64),
    Release(u64, u64),
    Progress(u64, u64),
    Phase(u64, Phase),
    Close(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let phase = prop_oneof![
        Just(Phase::Idle),
        Just(Phase::Receiving),
        Just(Phase::Working),
        Just(Phase::Sending)
    ];
    prop_oneof![
        any::<u8>().prop_map(Step::Open),
        (0..12_u64, 0..16 * MIB).prop_map(|(at, bytes)| Step::Reserve(at, bytes)),
        (0..12_u64, 0..16 * MIB).prop_map(|(at, bytes)| Step::Release(at, bytes)),
        (0..12_u64, 0..16 * MIB).prop_map(|(at, bytes)| Step::Progress(at, bytes)),
        (0..12_u64, phase).prop_map(|(at, phase)| Step::Phase(at, phase)),
        (0..12_u64).prop_map(Step::Close),
    ]
}

proptest! {
    /// No order of steps exceeds a limit, and all is free once all connections are closed.
    #[test]
    fn limits_hold_in_any_order_of_steps(steps in prop::collection::vec(step(), 1..200)) {
        let mut budget = MemoryBudget::new(OPTIONS);
        for (number, step) in steps.into_iter().enumerate() {
            let now = at_ms(700 * number as u64);
            match step {
                Step::Open(from) => drop(budget.open(now, address(from))),
                Step::Reserve(at, bytes) => drop(budget.reserve(
                    now, id::ConnectionId(at), Purpose::RequestBody, size::Bytes(bytes),
                )),
                Step::Release(at, bytes) => budget.release(id::ConnectionId(at), size::Bytes(bytes)),
                Step::Progress(at, bytes) => {
                    budget.record_progress(now, id::ConnectionId(at), size::Bytes(bytes));
                }
                Step::Phase(at, phase) => budget.set_phase(now, id::ConnectionId(at), phase),
                Step::Close(at) => budget.close(id::ConnectionId(at)),
            }
            prop_assert!(budget.held() <= OPTIONS.total);
            prop_assert!(budget.connections() <= OPTIONS.connections_max);
        }
        (0..300).for_each(|at| budget.close(id::ConnectionId(at)));
        prop_assert_eq!(budget.held(), size::Bytes(0));
    }
}
