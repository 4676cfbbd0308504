//! Tests that free slots are shared equally among organisations.

use std::time;

use waxwing_request::queue;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

fn flow(name: &str) -> queue::Flow {
    Some(name.parse().expect("a valid name"))
}

#[test]
fn a_flooding_organisation_does_not_delay_a_small_one() {
    let mut queue = queue::FairQueue::default();
    for number in 0..200 {
        queue.push(flow("large"), at_ms(1_000), format!("large-{number}")).expect("room");
    }
    for number in 0..3 {
        queue.push(flow("small"), at_ms(1_000), format!("small-{number}")).expect("room");
    }
    let first: Vec<String> = (0..6).filter_map(|_| queue.pop(at_ms(0))).collect();
    assert_eq!(first, ["large-0", "small-0", "large-1", "small-1", "large-2", "small-2"]);
}

#[test]
fn a_new_organisation_gets_no_credit_for_the_time_before_its_first_request() {
    let mut queue = queue::FairQueue::default();
    for number in 0..100 {
        queue.push(flow("old"), at_ms(1_000), format!("old-{number}")).expect("room");
    }
    for _ in 0..50 {
        queue.pop(at_ms(0));
    }
    for number in 0..10 {
        queue.push(flow("new"), at_ms(1_000), format!("new-{number}")).expect("room");
    }
    let next: Vec<String> = (0..8).filter_map(|_| queue.pop(at_ms(0))).collect();
    let old_count = next.iter().filter(|name| name.starts_with("old")).count();
    assert!((3..=5).contains(&old_count), "{next:?}");
}

#[test]
fn requests_past_their_deadline_get_no_slot() {
    let mut queue = queue::FairQueue::default();
    queue.push(None, at_ms(10), "late").expect("room");
    queue.push(None, at_ms(100), "in time").expect("room");
    assert_eq!(queue.pop(at_ms(10)), Some("in time"));
    assert_eq!(queue.pop(at_ms(10)), None);
    assert!(queue.is_empty());
}

#[test]
fn an_organisation_that_reaches_its_maximum_leaves_room_for_others() {
    let mut queue = queue::FairQueue::default();
    for number in 0..queue::WAITING_MAX_PER_ORGANISATION {
        queue.push(flow("large"), at_ms(1), number).expect("room");
    }
    assert_eq!(queue.push(flow("large"), at_ms(1), 7), Err(7));
    assert_eq!(queue.push(flow("small"), at_ms(1), 8), Ok(()));
}
