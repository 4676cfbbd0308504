//! Tests of when a seat may be taken over, and by which machine.

use crate::support::{at_ms, domain, vm};
use waxwing_contract::options;
use waxwing_contract::seat;

#[test]
fn a_seat_is_taken_over_only_from_a_machine_that_is_unlisted_and_silent_for_long() {
    let cases = [
        // (listed, silent for ms, may be taken over)
        (true, 0, false),
        (true, 60_000, false),
        (false, 0, false),
        (false, 11_999, false),
        (false, 12_004, false),
        (false, 12_010, true),
        (false, 60_000, true),
    ];
    for (is_listed, silent_ms, expected) in cases {
        let liveness = seat::Liveness { last_contact_at: at_ms(5_000), is_listed };
        let now = at_ms(5_000 + silent_ms);
        let may = seat::may_take_over(&options::Options::default(), now, &liveness);
        assert_eq!(may, expected, "listed {is_listed}, silent for {silent_ms} ms");
    }
}

#[test]
fn machines_claim_disjoint_seats_and_leave_none_free() {
    let candidates = [vm("vm-a"), vm("vm-b"), vm("vm-c")];
    let mut table = seat::SeatTable::vacant(domain("d"));
    for me in &candidates {
        let claimed = seat::claim(&table, me, &candidates, |_| false).expect("free seats");
        for (old, new) in table.holders.iter().zip(&claimed.holders) {
            assert!(old.is_none() || old == new, "a taken seat keeps its holder");
        }
        table = claimed;
    }
    assert!(table.holders.iter().all(Option::is_some));
    assert!(seat::claim(&table, &vm("vm-a"), &candidates, |_| false).is_none());
}

#[test]
fn a_machine_releases_only_its_own_seats() {
    let candidates = [vm("vm-a"), vm("vm-b")];
    let table = seat::SeatTable::vacant(domain("d"));
    let table = seat::claim(&table, &vm("vm-a"), &candidates, |_| false).expect("free seats");
    let table = seat::claim(&table, &vm("vm-b"), &candidates, |_| false).expect("free seats");
    let released = seat::release(&table, &vm("vm-a"), &[]).expect("some seats");
    assert!(!released.holders.contains(&Some(vm("vm-a"))));
    let of_b = |table: &seat::SeatTable| {
        table.holders.iter().filter(|holder| **holder == Some(vm("vm-b"))).count()
    };
    assert_eq!(of_b(&released), of_b(&table));
    assert!(seat::release(&released, &vm("vm-a"), &[]).is_none());
}

#[test]
fn released_seats_go_to_the_successors() {
    let me = vm("vm-a");
    let table = seat::SeatTable::vacant(domain("d"));
    let table = seat::claim(&table, &me, std::slice::from_ref(&me), |_| false).expect("free seats");
    let successors = [vm("vm-b"), vm("vm-c")];
    let released = seat::release(&table, &me, &successors).expect("some seats");
    assert!(released.holders.iter().all(|h| h.as_ref().is_some_and(|h| successors.contains(h))));
}
