//! Whom a member asks for tokens.

use waxwing_contract::search;
use waxwing_units::id;

use crate::support::{at_ms, vm};

fn members(count: usize) -> Vec<id::VmId> {
    (0..count).map(|n| vm(&format!("vm-{n}"))).collect()
}

#[test]
fn a_few_members_are_asked_at_a_time_and_each_only_once() {
    let members = members(7);
    let mut search = search::Search::default();
    search.begin();
    let groups: Vec<usize> =
        (0..4).map(|n| search.ask_next(at_ms(n), id::Nonce(n), &members).len()).collect();
    assert_eq!(groups, [3, 3, 1, 0]);
    search.begin();
    assert_eq!(search.ask_next(at_ms(9), id::Nonce(9), &members), members[..3]);
}

#[test]
fn an_answer_counts_once_and_only_for_the_last_question() {
    let members = members(4);
    let mut search = search::Search::default();
    search.begin();
    search.ask_next(at_ms(5), id::Nonce(1), &members);
    assert_eq!(search.answer(id::Nonce(1), &members[0], true), Some(at_ms(5)));
    assert_eq!(search.answer(id::Nonce(1), &members[0], true), None, "a second time");
    assert_eq!(search.answer(id::Nonce(1), &members[3], true), None, "nobody asked it");
    search.ask_next(at_ms(6), id::Nonce(2), &members);
    assert_eq!(search.answer(id::Nonce(1), &members[1], true), None, "too late");
    assert_eq!(search.answer(id::Nonce(2), &members[3], true), Some(at_ms(6)));
    assert!(search.is_answered() && search.has_found());
    search.begin();
    search.ask_next(at_ms(7), id::Nonce(3), &members);
    assert_eq!(search.answer(id::Nonce(3), &members[0], false), Some(at_ms(7)));
    assert!(!search.has_found());
}

#[test]
fn near_members_are_waited_for_shortly() {
    let mut search = search::Search::default();
    search.begin();
    assert_eq!(search.waits_until(), None);
    search.ask_next(at_ms(0), id::Nonce(1), &members(6));
    assert_eq!(search.waits_until(), Some(at_ms(25)));
    search.ask_next(at_ms(25), id::Nonce(2), &members(6));
    assert_eq!(search.waits_until(), Some(at_ms(115)));
}
