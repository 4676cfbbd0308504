//! Tests of the election of the machine that reads the store, and of the timing of reads.

use std::time;

use waxwing_machine::store_reader;
use waxwing_units::bandwidth;
use waxwing_units::id;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

fn vms(count: usize) -> Vec<id::VmId> {
    (0..count).map(|n| format!("vm-{n:02}").parse().expect("a valid name")).collect()
}

/// Elects among machines that all reach the store and report no link.
fn elect<'a>(vms: impl Iterator<Item = &'a id::VmId>) -> Option<&'a id::VmId> {
    store_reader::elect(vms.map(|vm| store_reader::Candidate {
        vm,
        reaches_store: true,
        link_bandwidth: None,
    }))
}

#[test]
fn reachable_machines_elect_one_reader_and_one_successor() {
    let vms = vms(12);
    let first = elect(vms.iter()).expect("a reader");
    assert_eq!(elect(vms.iter().rev()), Some(first));
    let next = elect(vms.iter().filter(|vm| *vm != first)).expect("another");
    assert!(next != first);
    let first_and_next = vms.iter().filter(|vm| *vm == first || *vm == next);
    assert_eq!(elect(first_and_next), Some(first));
}

/// Guards against a region that waits for a large configuration on the narrow link of its reader.
#[test]
fn the_reader_reaches_the_store_and_has_a_wide_link() {
    let vms = vms(12);
    let elected = |reaches: fn(usize) -> bool, link_mbps: fn(usize) -> Option<u64>| {
        let candidates = vms.iter().enumerate().map(|(number, vm)| store_reader::Candidate {
            vm,
            reaches_store: reaches(number),
            link_bandwidth: link_mbps(number).map(|mbps| bandwidth::Bandwidth(1_000 * mbps)),
        });
        let reader = store_reader::elect(candidates).expect("a reader");
        vms.iter().position(|vm| vm == reader).expect("one of them")
    };
    assert_eq!(elected(|_| true, |n| Some(if n == 7 { 200 } else { 10 })), 7);
    assert_eq!(elected(|n| n == 3, |n| Some(if n == 7 { 200 } else { 10 })), 3);
    assert!(elected(|_| true, |n| Some(if n < 4 { 10 } else { 120 + n as u64 })) >= 4);
    // A machine that has not reported its link may have a wide one.
    assert!(elected(|_| true, |n| (n != 5).then_some(if n == 7 { 200 } else { 10 })) >= 5);
    // Machines with equal links are elected as before.
    let by_name = elect(vms.iter()).expect("a reader");
    assert_eq!(&vms[elected(|_| true, |_| Some(10))], by_name);
    assert_eq!(&vms[elected(|_| false, |_| None)], by_name);
}

/// Guards against a reader that can't fetch the configuration, but counts as reaching the store because
/// its smaller calls succeed.
#[test]
fn a_machine_whose_reads_of_the_configuration_are_slow_or_fail_is_no_reader() {
    let mut reads = store_reader::ConfigurationReads::default();
    assert!(reads.is_fit(at_ms(0)));
    reads.begin(at_ms(1_000));
    assert!(reads.is_fit(at_ms(1_700)));
    assert!(!reads.is_fit(at_ms(1_701)));
    reads.succeed();
    assert!(reads.is_fit(at_ms(1_702)));
    reads.begin(at_ms(2_000));
    reads.fail(at_ms(2_100), false);
    assert!(!reads.is_fit(at_ms(9_000)));
    assert!(reads.is_fit(at_ms(33_000)));
    // Another machine was faster, which says nothing if it was so within the time of any call.
    reads.begin(at_ms(40_000));
    reads.fail(at_ms(40_500), true);
    assert!(reads.is_fit(at_ms(40_501)));
    reads.begin(at_ms(41_000));
    reads.fail(at_ms(42_500), true);
    assert!(!reads.is_fit(at_ms(42_501)));
}

#[test]
fn a_machine_reads_the_store_itself_if_its_state_is_missing_or_stale() {
    let interval = time::Duration::from_secs(1);
    let remaining_ms = |now, known_at, is_reader| {
        store_reader::direct_read_in(at_ms(now), known_at, interval, is_reader).as_millis()
    };
    assert_eq!(remaining_ms(5_000, None, false), 0);
    assert_eq!(remaining_ms(5_000, Some(at_ms(4_400)), true), 400);
    assert_eq!(remaining_ms(5_000, Some(at_ms(4_400)), false), 1_400);
    assert_eq!(remaining_ms(5_000, Some(at_ms(3_000)), false), 0);
}

/// Guards against a change that becomes known after the bound: the reader was frozen, one call of
/// another machine got no response, and its retry came too late (found by fault injection,
/// `freeze-and-step --vary --seed 505139103127` on the enlarged Cooperative deployment).
#[test]
fn a_call_without_response_leaves_time_for_a_retry_within_the_bound() {
    let read_time = time::Duration::from_millis(250);
    for bound_ms in [2_500, 3_000] {
        let bound = time::Duration::from_millis(bound_ms);
        let interval = bound / store_reader::READS_PER_BOUND;
        let now = at_ms(9_000);
        let wait = store_reader::direct_read_in(now, Some(now), interval, false);
        let known_in =
            wait + store_reader::CALL_TIMEOUT + store_reader::retry_backoff(1, false) + read_time;
        assert!(known_in < bound, "{known_in:?} of {bound:?}");
    }
}

#[test]
fn only_the_reader_retries_often_during_a_long_outage() {
    let delays = |is_reader| {
        [1, 2, 3, 50].map(|failures| store_reader::retry_backoff(failures, is_reader).as_millis())
    };
    assert_eq!(delays(true), [200, 200, 200, 200]);
    assert_eq!(delays(false), [200, 200, 800, 1_600]);
}
