//! Tests of what a holder grants, and which grants it counts as outstanding.

use std::time;

use crate::support::{at_ms, domain, peer, rate_limit};
use waxwing_contract::floor;
use waxwing_contract::holder;
use waxwing_contract::message;
use waxwing_contract::options;
use waxwing_units::id;
use waxwing_units::rate;

fn token_request(nonce: u64, needed: u64) -> holder::TokenRequest {
    holder::TokenRequest {
        borrower: peer("vm-b"),
        nonce: id::Nonce(nonce),
        needed: rate::Tokens(needed),
        prefetch: rate::Tokens(0),
        wait: time::Duration::ZERO,
        age: time::Duration::ZERO,
    }
}

fn is_granted(response: holder::TokenResponse) -> bool {
    matches!(response, holder::TokenResponse::Granted { .. })
}

/// Returns a holder of 10 tokens per second and a burst of 10 that has refilled for two seconds.
fn full_holder() -> holder::Holder {
    let mut holder = holder::Holder::new(options::Options::default(), rate_limit(10, 10), at_ms(0));
    holder.advance(at_ms(2_000));
    holder
}

#[test]
fn a_new_holder_grants_nothing_until_old_grants_have_expired() {
    let mut holder =
        holder::Holder::new(options::Options::default(), rate_limit(10, 10), at_ms(600));
    let starting = holder::TokenResponse::Denied(message::Denial::Starting);
    assert_eq!(holder.request_tokens(at_ms(599), &token_request(1, 1)), starting);
    assert!(
        !is_granted(holder.request_tokens(at_ms(601), &token_request(2, 1))),
        "the bucket starts empty"
    );
    assert!(
        is_granted(holder.request_tokens(at_ms(800), &token_request(3, 1))),
        "the bucket refills from then on"
    );
}

#[test]
fn a_retried_request_takes_no_second_token() {
    let mut holder = full_holder();
    let first = holder.request_tokens(at_ms(2_000), &token_request(1, 4));
    let level = holder.level();
    assert!(is_granted(first));
    assert_eq!(holder.request_tokens(at_ms(2_000), &token_request(1, 4)), first);
    assert_eq!(holder.level(), level);
}

#[test]
fn outstanding_grants_take_up_burst_until_they_are_settled_or_expire() {
    for (case, settled, expected) in [("settled", true, 10), ("expired", false, 4)] {
        let mut holder = full_holder();
        assert!(is_granted(holder.request_tokens(at_ms(2_000), &token_request(1, 10))), "{case}");
        if settled {
            holder.settle(at_ms(2_000), &peer("vm-b"), id::Nonce(1), rate::Tokens(0));
        }
        holder.advance(at_ms(2_550));
        assert_eq!(holder.level().whole(), rate::Tokens(if settled { 5 } else { 0 }), "{case}");
        holder.advance(at_ms(2_700));
        holder.advance(at_ms(3_101));
        assert_eq!(holder.level().whole(), rate::Tokens(expected), "{case}");
    }
}

#[test]
fn unspent_tokens_are_refunded_once() {
    let mut holder = full_holder();
    assert!(is_granted(holder.request_tokens(at_ms(2_000), &token_request(1, 6))));
    for _ in 0..2 {
        holder.settle(at_ms(2_000), &peer("vm-b"), id::Nonce(1), rate::Tokens(6));
    }
    assert_eq!(holder.level().whole(), rate::Tokens(10));
}

#[test]
fn a_floor_part_is_lent_only_without_outstanding_grants() {
    let options = options::Options::default();
    let mut floor = floor::Floor::new(options, at_ms(0), domain("d"), rate_limit(10, 10));
    assert!(floor.lend(at_ms(600)).is_none(), "a grant of the predecessor may not have expired");
    let starting = holder::TokenResponse::Denied(message::Denial::Starting);
    assert_eq!(
        floor.request_tokens(at_ms(2_999), &token_request(9, 1)),
        starting,
        "a lease of the predecessor may not have expired"
    );
    floor.advance(at_ms(3_100));
    assert!(is_granted(floor.request_tokens(at_ms(4_100), &token_request(1, 2))));
    assert!(floor.lend(at_ms(4_200)).is_none(), "a grant is outstanding");
    let lent = holder::TokenResponse::Denied(message::Denial::Lent);
    assert_eq!(
        floor.request_tokens(at_ms(4_201), &token_request(2, 1)),
        lent,
        "no new grant while the part is about to be lent"
    );
    floor.settle(at_ms(4_300), &peer("vm-b"), id::Nonce(1), rate::Tokens(0));
    assert_eq!(floor.lend(at_ms(4_300)), Some(rate_limit(10, 10)));
    assert_eq!(
        floor.request_tokens(at_ms(7_200), &token_request(3, 1)),
        lent,
        "the lease is valid"
    );
    assert!(
        !is_granted(floor.request_tokens(at_ms(7_320), &token_request(4, 1))),
        "the bucket starts empty"
    );
    assert!(
        is_granted(floor.request_tokens(at_ms(7_600), &token_request(5, 1))),
        "the lease has expired"
    );
}

#[test]
fn a_new_floor_holder_lends_as_soon_as_grants_of_its_predecessor_have_expired() {
    let options = options::Options::default();
    let mut floor = floor::Floor::new(options, at_ms(0), domain("d"), rate_limit(10, 10));
    assert_eq!(floor.lend(at_ms(601)), Some(rate_limit(10, 10)));
    let lent = holder::TokenResponse::Denied(message::Denial::Lent);
    assert_eq!(floor.request_tokens(at_ms(3_500), &token_request(1, 1)), lent);
    floor.advance(at_ms(3_700));
    assert!(is_granted(floor.request_tokens(at_ms(4_000), &token_request(2, 1))));
}

#[test]
fn a_lease_stops_counting_before_it_expires_at_the_lender() {
    let mut holder = full_holder();
    holder.add_lease(at_ms(2_100), &domain("d"), rate_limit(5, 5), at_ms(2_000));
    assert_eq!(holder.part(), rate_limit(15, 15));
    holder.advance(at_ms(4_300));
    assert_eq!(holder.part(), rate_limit(15, 15));
    holder.advance(at_ms(4_400));
    assert_eq!(holder.part(), rate_limit(10, 10));
    assert!(holder.level() <= rate::Tokens(10).nano(), "the level drops to the remaining burst");
}

#[test]
fn a_lowered_contract_takes_effect_at_once() {
    let mut holder = full_holder();
    holder.add_lease(at_ms(2_000), &domain("d"), rate_limit(5, 5), at_ms(2_000));
    holder.set_part(at_ms(2_000), rate_limit(2, 2));
    holder.limit_leases(at_ms(2_000), |_| rate_limit(1, 1));
    assert_eq!(holder.part(), rate_limit(3, 3));
    assert!(holder.level() <= rate::Tokens(3).nano());
}

#[test]
fn a_nonconforming_request_leaves_the_token_to_the_next_one() {
    let mut holder = holder::Holder::new(options::Options::default(), rate_limit(10, 1), at_ms(0));
    holder.advance(at_ms(2_000));
    let waiting = |nonce| holder::TokenRequest {
        wait: time::Duration::from_millis(300),
        ..token_request(nonce, 1)
    };
    assert!(is_granted(holder.request_tokens(at_ms(2_000), &waiting(1))));
    holder.settle(at_ms(2_000), &peer("vm-b"), id::Nonce(1), rate::Tokens(0));
    assert!(
        !is_granted(holder.request_tokens(at_ms(2_050), &waiting(2))),
        "the reference bucket has half a token"
    );
    assert!(
        is_granted(holder.request_tokens(at_ms(2_101), &waiting(3))),
        "the reference bucket has a token"
    );
}

#[test]
fn a_request_counts_from_when_it_was_made() {
    let mut holder = holder::Holder::new(options::Options::default(), rate_limit(10, 1), at_ms(0));
    holder.advance(at_ms(2_000));
    let made_before = |nonce, age_ms| holder::TokenRequest {
        wait: time::Duration::from_millis(300),
        age: time::Duration::from_millis(age_ms),
        ..token_request(nonce, 1)
    };
    assert!(is_granted(holder.request_tokens(at_ms(2_000), &made_before(1, 0))));
    holder.settle(at_ms(2_000), &peer("vm-b"), id::Nonce(1), rate::Tokens(0));
    let early = holder.request_tokens(at_ms(2_110), &made_before(2, 40));
    assert!(!is_granted(early), "it was made 70 ms after the first request");
    assert!(
        is_granted(holder.request_tokens(at_ms(2_141), &made_before(3, 40))),
        "it was made 101 ms after the first request"
    );
}

#[test]
fn prefetched_tokens_come_from_the_surplus_of_a_large_bucket() {
    // (burst, tokens that are prefetched besides the needed one)
    for (burst, prefetched) in [(1, 0), (8, 0), (10, 1), (40, 19)] {
        let own = rate_limit(100, burst);
        let mut holder = holder::Holder::new(options::Options::default(), own, at_ms(0));
        let request = holder::TokenRequest { prefetch: rate::Tokens(1_000), ..token_request(1, 1) };
        let granted = holder.request_tokens(at_ms(2_000), &request);
        let tokens = rate::Tokens(1 + prefetched);
        let start_after = time::Duration::ZERO;
        assert_eq!(
            granted,
            holder::TokenResponse::Granted { tokens, start_after },
            "burst {burst}"
        );
    }
}
