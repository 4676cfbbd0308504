//! Tests of one machine's account: late, duplicate and misdirected messages, and the use of seats.

use std::time;

use crate::support::{at_ms, domain, peer, rate_limit, vm};
use waxwing_contract::account;
use waxwing_contract::charge;
use waxwing_contract::contract;
use waxwing_contract::message;
use waxwing_contract::options;
use waxwing_contract::seat;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

const WAIT: time::Duration = time::Duration::from_millis(100);

fn contract() -> contract::Contract {
    contract::Contract {
        organisation: "kiln".parse().expect("a valid name"),
        revision: id::Revision(1),
        whole: rate_limit(10, 10),
        home: domain("home"),
        spread: contract::Spread::Whole,
    }
}

fn holders(base: &str) -> seat::Holders {
    seat::Holders { base: Some(vm(base)), floors: Vec::new() }
}

fn account(me: &str) -> account::Account {
    let options = options::Options::default();
    account::Account::new(options, peer(me), domain("home"), contract(), at_ms(0))
}

/// Returns an account on vm-b that has requested one token from vm-a, and the nonce of the request.
fn account_with_token_request() -> (account::Account, charge::Outbox, id::Nonce) {
    let mut account = account("vm-b");
    let mut out = charge::Outbox::default();
    account.set_holders(at_ms(0), at_ms(0), holders("vm-a"), &mut out);
    let charge = account.charge(at_ms(0), WAIT, &mut out);
    assert!(matches!(charge, charge::Charge::Waiting(_)));
    let sent = out.outgoing.pop().expect("a request");
    assert_eq!(sent.to, vm("vm-a"));
    let message::Body::Ask { nonce, .. } = sent.message.body else {
        panic!("not a request: {:?}", sent.message.body);
    };
    (account, out, nonce)
}

fn grant(nonce: id::Nonce, tokens: u64, answers: u64) -> message::Message {
    message::Message {
        organisation: contract().organisation,
        from: peer("vm-a"),
        answers: Some(id::Incarnation(answers)),
        body: message::Body::Grant {
            part: message::PartName::Base,
            nonce,
            tokens: rate::Tokens(tokens),
            start_after_ms: units_time::Millis(0),
        },
    }
}

fn settled_tokens(out: &charge::Outbox) -> Vec<u64> {
    let unspent = |outgoing: &message::Outgoing| match outgoing.message.body {
        message::Body::Settle { unspent, .. } => Some(unspent.0),
        _ => None,
    };
    out.outgoing.iter().filter_map(unspent).collect()
}

#[test]
fn a_duplicate_grant_admits_one_request_and_returns_no_tokens() {
    let (mut account, mut out, nonce) = account_with_token_request();
    account.receive(at_ms(10), grant(nonce, 1, 1), &mut out);
    account.receive(at_ms(11), grant(nonce, 1, 1), &mut out);
    assert_eq!(out.decided.len(), 1);
    assert_eq!(out.decided[0].1, charge::Decision::Admitted);
    assert_eq!(settled_tokens(&out), [0]);
}

#[test]
fn a_grant_for_another_incarnation_is_dropped() {
    let (mut account, mut out, nonce) = account_with_token_request();
    account.receive(at_ms(10), grant(nonce, 1, 7), &mut out);
    assert!(out.decided.is_empty());
}

#[test]
fn a_grant_after_the_request_expired_is_returned_in_full() {
    let (mut account, mut out, nonce) = account_with_token_request();
    account.tick(at_ms(101), &mut out);
    let refused = charge::Decision::Refused(charge::Refusal::Unreachable);
    assert_eq!(out.decided.pop().expect("a decision").1, refused);
    account.receive(at_ms(150), grant(nonce, 3, 1), &mut out);
    assert_eq!(settled_tokens(&out), [3]);
    assert!(out.decided.is_empty());
}

#[test]
fn prefetched_tokens_are_spent_only_while_they_are_valid() {
    let (mut account, mut out, nonce) = account_with_token_request();
    account.receive(at_ms(10), grant(nonce, 3, 1), &mut out);
    let admitted = charge::Charge::Decided(charge::Decision::Admitted);
    assert_eq!(account.charge(at_ms(100), WAIT, &mut out), admitted);
    let late = account.charge(at_ms(600), WAIT, &mut out);
    assert!(matches!(late, charge::Charge::Waiting(_)), "{late:?}");
}

#[test]
fn a_copy_of_the_seat_records_confirms_no_seat() {
    let mut account = account("vm-a");
    let mut out = charge::Outbox::default();
    let started_at = at_ms(1);
    let mut restarted = account::Account::new(
        options::Options::default(),
        peer("vm-a"),
        domain("home"),
        contract(),
        started_at,
    );
    restarted.set_holders(at_ms(5), at_ms(0), holders("vm-a"), &mut out);
    assert!(restarted.base_part().is_none(), "the copy may be older than the process");
    restarted.set_holders(at_ms(5), at_ms(4), holders("vm-a"), &mut out);
    assert!(restarted.base_part().is_some());
    account.set_holders(at_ms(5), at_ms(4), holders("vm-a"), &mut out);
    account.release_seats();
    account.set_holders(at_ms(6), at_ms(6), holders("vm-a"), &mut out);
    assert!(account.base_part().is_none(), "released seats are not taken again");
}

#[test]
fn a_stalled_machine_loses_its_seats_until_it_rereads_the_records() {
    let mut account = account("vm-a");
    let mut out = charge::Outbox::default();
    account.set_holders(at_ms(5), at_ms(4), holders("vm-a"), &mut out);
    for second in 1..=9 {
        account.tick(at_ms(second * 1_000), &mut out);
    }
    assert!(account.base_part().is_some());
    account.tick(at_ms(19_100), &mut out);
    assert!(account.base_part().is_none() && account.is_unconfirmed());
    account.set_holders(at_ms(19_200), at_ms(19_000), holders("vm-a"), &mut out);
    assert!(account.base_part().is_none(), "the read began before the stall was noticed");
    account.set_holders(at_ms(19_300), at_ms(19_150), holders("vm-a"), &mut out);
    assert!(account.base_part().is_some() && !account.is_unconfirmed());
}

#[test]
fn an_older_contract_revision_is_ignored() {
    let mut account = account("vm-a");
    let newer =
        contract::Contract { revision: id::Revision(9), whole: rate_limit(2, 2), ..contract() };
    account.set_contract(at_ms(1), newer.clone());
    account.set_contract(at_ms(2), contract());
    assert_eq!(*account.contract(), newer);
    let other_home =
        contract::Contract { revision: id::Revision(10), home: domain("elsewhere"), ..contract() };
    account.set_contract(at_ms(3), other_home);
    assert_eq!(*account.contract(), newer, "the division of a contract is fixed");
}

/// Returns an account on vm-a that holds the base part and has just requested the lease of a floor
/// part of 250 thousandths, and the nonce of the request.
fn account_with_lease_request() -> (account::Account, id::Nonce) {
    let spread =
        contract::Spread::Floors { failure_domains: vec![domain("other")], floor_permille: 250 };
    let contract = contract::Contract { whole: rate_limit(100, 100), spread, ..contract() };
    let options = options::Options::default();
    let mut account =
        account::Account::new(options, peer("vm-a"), domain("home"), contract, at_ms(0));
    let holders =
        seat::Holders { base: Some(vm("vm-a")), floors: vec![(domain("other"), vm("vm-b"))] };
    let mut out = charge::Outbox::default();
    account.set_holders(at_ms(0), at_ms(0), holders, &mut out);
    account.tick(at_ms(0), &mut out);
    let sent = out.outgoing.pop().expect("a request");
    let message::Body::LeaseAsk { nonce, .. } = sent.message.body else {
        panic!("not a request: {:?}", sent.message.body);
    };
    (account, nonce)
}

fn lease(nonce: id::Nonce) -> message::Message {
    message::Message {
        organisation: contract().organisation,
        from: peer("vm-b"),
        answers: Some(id::Incarnation(1)),
        body: message::Body::LeaseGrant {
            failure_domain: domain("other"),
            nonce,
            lent: rate_limit(25, 25),
        },
    }
}

#[test]
fn a_lease_counts_from_when_it_was_requested() {
    let (mut account, nonce) = account_with_lease_request();
    let mut out = charge::Outbox::default();
    account.receive(at_ms(700), lease(nonce), &mut out);
    assert_eq!(account.base_part(), Some(rate_limit(100, 100)));
    let use_ms = options::Options::default().borrower_lease_validity().as_millis() as u64;
    account.tick(at_ms(use_ms - 1), &mut out);
    assert_eq!(account.base_part(), Some(rate_limit(100, 100)));
    account.tick(at_ms(use_ms + 2), &mut out);
    assert_eq!(account.base_part(), Some(rate_limit(75, 75)));
}

#[test]
fn a_lowered_contract_lowers_active_leases() {
    let (mut account, nonce) = account_with_lease_request();
    account.receive(at_ms(10), lease(nonce), &mut charge::Outbox::default());
    let lower = contract::Contract {
        revision: id::Revision(2),
        whole: rate_limit(4, 4),
        ..account.contract().clone()
    };
    account.set_contract(at_ms(20), lower);
    assert_eq!(account.base_part(), Some(rate_limit(4, 4)));
}

#[test]
fn a_new_holder_waits_until_grants_of_its_predecessor_have_expired() {
    let mut account = account("vm-a");
    let mut out = charge::Outbox::default();
    account.set_holders(at_ms(5), at_ms(4), holders("vm-a"), &mut out);
    let refused = charge::Decision::Refused(charge::Refusal::Unreachable);
    let early = account.charge(at_ms(600), WAIT, &mut out);
    assert_eq!(early, charge::Charge::Decided(refused));
    let later = account.charge(at_ms(1_000), WAIT, &mut out);
    assert_eq!(later, charge::Charge::Decided(charge::Decision::Admitted));
}

#[test]
fn a_grant_that_arrives_after_its_validity_does_not_count_as_exhaustion() {
    let (mut account, mut out, nonce) = account_with_token_request();
    account.receive(at_ms(650), grant(nonce, 1, 1), &mut out);
    let refused = charge::Decision::Refused(charge::Refusal::Unreachable);
    assert_eq!(out.decided.pop().expect("a decision").1, refused);
}

/// Returns an account on vm-b whose base part, on vm-a, does not respond, so that its request went
/// to the floor part on vm-c; and the nonce of that request.
fn account_that_fell_back_to_floor() -> (account::Account, charge::Outbox, id::Nonce) {
    let spread =
        contract::Spread::Floors { failure_domains: vec![domain("far")], floor_permille: 250 };
    let contract = contract::Contract { spread, ..contract() };
    let options = options::Options::default();
    let mut account =
        account::Account::new(options, peer("vm-b"), domain("far"), contract, at_ms(0));
    let mut out = charge::Outbox::default();
    let floors = vec![(domain("far"), vm("vm-c"))];
    let holders = seat::Holders { base: Some(vm("vm-a")), floors };
    account.set_holders(at_ms(0), at_ms(0), holders, &mut out);
    let wait = time::Duration::from_millis(500);
    assert!(matches!(account.charge(at_ms(0), wait, &mut out), charge::Charge::Waiting(_)));
    account.tick(at_ms(110), &mut out);
    account.tick(at_ms(220), &mut out);
    let sent = out.outgoing.pop().expect("a request to the floor part");
    assert_eq!(sent.to, vm("vm-c"));
    let message::Body::Ask { nonce, .. } = sent.message.body else {
        panic!("not a request: {:?}", sent.message.body);
    };
    (account, out, nonce)
}

#[test]
fn a_floor_part_without_tokens_does_not_exhaust_a_contract_whose_base_part_is_silent() {
    let (mut account, mut out, nonce) = account_that_fell_back_to_floor();
    let denial = message::Message {
        organisation: contract().organisation,
        from: peer("vm-c"),
        answers: Some(id::Incarnation(1)),
        body: message::Body::Deny {
            part: message::PartName::Floor(domain("far")),
            nonce,
            denial: message::Denial::Exhausted { retry_after_ms: units_time::Millis(40) },
        },
    };
    account.receive(at_ms(230), denial, &mut out);
    let refused = charge::Decision::Refused(charge::Refusal::Unreachable);
    assert_eq!(out.decided.pop().expect("a decision").1, refused);
}

/// The first grant may be spent only later, so it is cached after the second one, which expires
/// later.
#[test]
fn tokens_of_the_grant_that_expires_first_are_spent_first() {
    let (mut account, mut out, first) = account_with_token_request();
    account.charge(at_ms(100), WAIT, &mut out);
    let message::Body::Ask { nonce: second, .. } =
        out.outgoing.pop().expect("a request").message.body
    else {
        panic!("not a request");
    };
    let mut delayed = grant(first, 3, 1);
    if let message::Body::Grant { start_after_ms, .. } = &mut delayed.body {
        *start_after_ms = units_time::Millis(300);
    }
    account.receive(at_ms(50), delayed, &mut out);
    account.receive(at_ms(120), grant(second, 3, 1), &mut out);
    account.tick(at_ms(351), &mut out);
    assert_eq!(out.decided.len(), 2, "both requests were admitted");
    let admitted = charge::Charge::Decided(charge::Decision::Admitted);
    assert_eq!([400, 410].map(|ms| account.charge(at_ms(ms), WAIT, &mut out)), [admitted; 2]);
    account.tick(at_ms(460), &mut out);
    assert_eq!(settled_tokens(&out), [0], "no token of the first grant was left to return");
}
