//! Tests of which members are asked for a loan, and in which order.

use waxwing_contract::lender_search;
use waxwing_units::id;

use crate::support::{at_ms, vm};

fn members(count: usize) -> Vec<id::VmId> {
    (0..count).map(|n| vm(&format!("vm-{n}"))).collect()
}

fn candidates_of(members: &[id::VmId], near: usize) -> lender_search::Candidates<'_> {
    lender_search::Candidates { near: &members[..near], far: &members[near..] }
}

#[test]
fn near_candidates_are_asked_one_by_one_and_far_ones_two_at_a_time_each_only_once() {
    let members = members(6);
    let candidates = candidates_of(&members, 2);
    let mut search = lender_search::LenderSearch::default();
    search.restart();
    let groups: Vec<usize> =
        (0..5).map(|n| search.next_round(at_ms(n), id::Nonce(n), candidates).len()).collect();
    assert_eq!(groups, [1, 1, 2, 2, 0]);
    search.restart();
    assert_eq!(search.next_round(at_ms(9), id::Nonce(9), candidates), members[..1]);
}

#[test]
fn a_response_counts_once_and_only_for_the_latest_round() {
    let members = members(4);
    let candidates = candidates_of(&members, 0);
    let mut search = lender_search::LenderSearch::default();
    search.restart();
    search.next_round(at_ms(5), id::Nonce(1), candidates);
    assert_eq!(search.record_response(id::Nonce(1), &members[0], false), Some(at_ms(5)));
    assert_eq!(
        search.record_response(id::Nonce(1), &members[0], true),
        None,
        "a duplicate response"
    );
    assert_eq!(
        search.record_response(id::Nonce(1), &members[3], true),
        None,
        "the member was not asked"
    );
    search.next_round(at_ms(6), id::Nonce(2), candidates);
    assert_eq!(search.record_response(id::Nonce(1), &members[1], true), None, "a late response");
    assert_eq!(search.record_response(id::Nonce(2), &members[3], true), Some(at_ms(6)));
    assert_eq!(search.record_response(id::Nonce(2), &members[2], false), Some(at_ms(6)));
    assert!(search.all_responded() && search.found_loan());
    search.restart();
    search.next_round(at_ms(7), id::Nonce(3), candidates);
    assert_eq!(search.record_response(id::Nonce(3), &members[0], false), Some(at_ms(7)));
    assert!(!search.found_loan());
}

#[test]
fn near_candidates_have_a_shorter_timeout() {
    let members = members(6);
    let candidates = candidates_of(&members, 1);
    let mut search = lender_search::LenderSearch::default();
    search.restart();
    assert_eq!(search.response_deadline(), None);
    search.next_round(at_ms(0), id::Nonce(1), candidates);
    assert_eq!(search.response_deadline(), Some(at_ms(25)));
    search.next_round(at_ms(25), id::Nonce(2), candidates);
    assert_eq!(search.response_deadline(), Some(at_ms(115)));
}

/// Guards against a search that continues after a loan: over many requests it would run out of
/// candidates, although the first one still lends.
#[test]
fn a_search_that_found_a_loan_restarts() {
    let members = members(5);
    let candidates = candidates_of(&members, 1);
    let mut search = lender_search::LenderSearch::default();
    for n in 0..20 {
        let asked = search.next_round(at_ms(n), id::Nonce(n), candidates);
        assert_eq!(asked, members[..1], "request {n}");
        search.record_response(id::Nonce(n), &asked[0], true);
    }
}
