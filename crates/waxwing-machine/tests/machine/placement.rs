//! The choice among all backend servers of a service.

use std::time;

use waxwing_machine::placement;
use waxwing_machine::server_health;
use waxwing_machine::server_registration;
use waxwing_machine::server_set;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

fn known(name: &str, domain: &str) -> server_set::KnownServer {
    let registered = server_registration::ServerRegistration {
        server: name.parse().expect("a valid name"),
        started: id::Incarnation(1),
        service: "ledger".parse().expect("a valid name"),
        failure_domain: domain.parse().expect("a valid name"),
        address: "127.0.0.1:80".parse().expect("a valid address"),
        slots: 2,
        state: server_registration::State::Ready,
        cold_left: time::Duration::ZERO,
        sequence: 1,
    };
    server_set::KnownServer { registration: registered, cold_until: at_ms(0) }
}

const OPTIONS: placement::Options = placement::Options { homes: 2, queued_per_slot_max: 1 };

fn pool_of(
    known: &[server_set::KnownServer],
    evacuated: &[id::FailureDomainId],
    is_owner: bool,
) -> placement::Pool {
    let mut pool = placement::Pool::default();
    update(&mut pool, at_ms(0), known, evacuated, is_owner);
    pool
}

fn update(
    pool: &mut placement::Pool,
    now: units_time::MonoInstant,
    known: &[server_set::KnownServer],
    evacuated: &[id::FailureDomainId],
    is_owner: bool,
) {
    let known: Vec<&server_set::KnownServer> = known.iter().collect();
    let owns = |_: &id::BackendServerId| is_owner;
    let around = placement::Context {
        evacuated,
        owns: &owns,
        slot_weight: &|_| placement::SlotWeight { small_bodies: 1, large_bodies: 1 },
        cold_rate_per_second: rate::TokenRate::per_second(4),
        options: OPTIONS,
    };
    pool.update(now, &known, &around);
}

fn want<'a>(object: &'a str, tried: &'a [id::BackendServerId]) -> placement::Criteria<'a> {
    placement::Criteria {
        object: Some(object),
        allows: &|_| true,
        has_large_bodies: false,
        rank: 0,
        tried,
    }
}

fn begin(pool: &mut placement::Pool, ms: u64, object: &str) -> Option<placement::Lease> {
    match pool.acquire(at_ms(ms), &want(object, &[])) {
        placement::Choice::Server(lease) => Some(lease),
        placement::Choice::Full | placement::Choice::NoneEligible => None,
    }
}

fn servers(count: usize) -> Vec<server_set::KnownServer> {
    (0..count).map(|n| known(&format!("s-{n}"), "lautoka")).collect()
}

#[test]
fn an_object_goes_to_its_first_home_then_to_the_next_and_never_further() {
    let mut pool = pool_of(&servers(8), &[], false);
    let homes: Vec<id::BackendServerId> =
        (0..20).filter_map(|_| begin(&mut pool, 0, "batch-7")).map(|lease| lease.server).collect();
    assert_eq!(homes.len(), 8, "two homes bear two requests in slots and two that wait each");
    assert!(homes[..4].iter().all(|home| *home == homes[0]));
    assert!(homes[4..].iter().all(|home| *home == homes[4] && *home != homes[0]));
}

/// Found by hunts: once requests had spilled over to servers that did not know their objects, each
/// took three times as long, and the system stayed slow after the load had gone.
#[test]
fn high_load_does_not_make_a_server_handle_more_objects() {
    let mut pool = pool_of(&servers(8), &[], false);
    let mut handled: Vec<(String, id::BackendServerId)> = Vec::new();
    for round in 0..50 {
        for object in 0..16 {
            let object = format!("object-{object}");
            if let Some(lease) = begin(&mut pool, round, &object) {
                handled.push((object, lease.server));
            }
        }
    }
    handled.sort();
    handled.dedup();
    for object in 0..16 {
        let object = format!("object-{object}");
        assert!(handled.iter().filter(|(found, _)| *found == object).count() <= 2);
    }
}

/// Returns how many of 4,000 objects each of four servers is the first home of: the first is near,
/// the second has three times as many slots as each other.
fn first_homes(is_bulky: bool) -> [u32; 4] {
    let mut all: Vec<server_set::KnownServer> =
        (0..4).map(|n| known(&format!("s-{n}"), "far")).collect();
    all[0].registration.failure_domain = "near".parse().expect("a valid name");
    all[1].registration.slots = 6;
    let mut firsts = [0; 4];
    for object in 0..4_000 {
        let mut pool = placement::Pool::default();
        let pull = |domain: &id::FailureDomainId| placement::SlotWeight {
            small_bodies: if domain.as_str() == "near" { 2 } else { 1 },
            large_bodies: if domain.as_str() == "near" { 1 } else { 3 },
        };
        let known: Vec<&server_set::KnownServer> = all.iter().collect();
        let around = placement::Context {
            evacuated: &[],
            owns: &|_| false,
            slot_weight: &pull,
            cold_rate_per_second: rate::TokenRate::per_second(4),
            options: OPTIONS,
        };
        pool.update(at_ms(0), &known, &around);
        let object = format!("object-{object}");
        let want = placement::Criteria { has_large_bodies: is_bulky, ..want(&object, &[]) };
        let placement::Choice::Server(lease) = pool.acquire(at_ms(0), &want) else {
            panic!("there is room");
        };
        firsts[all
            .iter()
            .position(|k| k.registration.server == lease.server)
            .expect("one of them")] += 1;
    }
    firsts
}

#[test]
fn homes_are_shared_out_by_slots_and_pull() {
    // Small bodies: the slots of the near server count twice; large ones: those of the others thrice.
    let rows = [(false, [4.0, 6.0, 2.0, 2.0]), (true, [2.0, 18.0, 6.0, 6.0])];
    for (is_bulky, shares) in rows {
        let firsts = first_homes(is_bulky);
        for (count, share) in firsts.iter().zip(shares) {
            let expected = 4_000.0 * share / shares.iter().sum::<f64>();
            assert!((f64::from(*count) - expected).abs() < 120.0, "{firsts:?}");
        }
    }
}

#[test]
fn two_machines_choose_the_same_homes() {
    let (mut one, mut other) = (pool_of(&servers(8), &[], true), pool_of(&servers(8), &[], false));
    for object in ["a", "b", "c", "d"] {
        assert_eq!(begin(&mut one, 0, object), begin(&mut other, 0, object));
    }
}

#[test]
fn a_server_that_goes_moves_only_its_own_objects() {
    let all = servers(8);
    let objects: Vec<String> = (0..200).map(|n| format!("object-{n}")).collect();
    let first_homes = |known: &[server_set::KnownServer]| -> Vec<String> {
        let home = |object: &String| {
            let mut pool = pool_of(known, &[], false);
            begin(&mut pool, 0, object).expect("room").server.to_string()
        };
        objects.iter().map(home).collect()
    };
    let (before, after) = (first_homes(&all), first_homes(&all[1..]));
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after);
    assert!(moved.clone().all(|(before, _)| before == "s-0"));
    assert!(moved.count() > 0);
}

#[test]
fn a_leaving_an_evacuated_a_tried_and_a_forbidden_server_get_nothing() {
    let mut leaving = known("s-0", "lautoka");
    leaving.registration.state = server_registration::State::Draining;
    let all = [leaving, known("s-1", "labasa"), known("s-2", "lakeba"), known("s-3", "nausori")];
    let evacuated: Vec<id::FailureDomainId> = vec!["labasa".parse().expect("a valid name")];
    let mut pool = pool_of(&all, &evacuated, true);
    let tried: Vec<id::BackendServerId> = vec!["s-2".parse().expect("a valid name")];
    let want = placement::Criteria {
        object: Some("x"),
        allows: &|domain| domain.as_str() != "nausori",
        has_large_bodies: false,
        rank: 0,
        tried: &tried,
    };
    assert_eq!(pool.acquire(at_ms(0), &want), placement::Choice::NoneEligible);
}

#[test]
fn a_cold_server_gets_requests_of_its_owner_only_and_at_a_pace() {
    let mut cold = servers(1);
    cold[0].cold_until = at_ms(10_000);
    assert_eq!(begin(&mut pool_of(&cold, &[], false), 0, "x"), None);
    let mut pool = pool_of(&cold, &[], true);
    let mut begun = 0;
    for ms in 0..1_000 {
        if let Some(lease) = begin(&mut pool, ms, "x") {
            pool.release(at_ms(ms), &lease, server_health::AttemptOutcome::Responded, None);
            begun += 1;
        }
    }
    assert!((3..=4).contains(&begun), "{begun} requests in a second");
}

#[test]
fn a_server_whose_failure_domain_is_taken_back_counts_as_cold_for_a_while() {
    let all = servers(1);
    let evacuated: Vec<id::FailureDomainId> = vec!["lautoka".parse().expect("a valid name")];
    let mut pool = pool_of(&all, &evacuated, false);
    update(&mut pool, at_ms(1_000), &all, &[], false);
    assert_eq!(begin(&mut pool, 1_000, "x"), None);
    assert!(begin(&mut pool, 6_000, "x").is_some());
}

#[test]
fn what_others_send_to_a_server_counts_for_a_while() {
    let mut pool = pool_of(&servers(1), &[], false);
    let lease = begin(&mut pool, 0, "x").expect("room");
    let full = server_health::Load { running: 2, waiting: 2, slots: 2 };
    pool.release(at_ms(10), &lease, server_health::AttemptOutcome::Responded, Some(full));
    assert_eq!(begin(&mut pool, 20, "x"), None);
    assert!(begin(&mut pool, 1_000, "x").is_some());
}

#[test]
fn a_server_that_fails_rests_and_is_then_tried_by_one_request() {
    let mut pool = pool_of(&servers(1), &[], false);
    let mut failed = 0;
    while let Some(lease) = begin(&mut pool, failed, "x") {
        pool.release(at_ms(failed), &lease, server_health::AttemptOutcome::Failed, None);
        failed += 1;
        assert!(failed < 10, "it is never left alone");
    }
    let trial = begin(&mut pool, 2_000, "x").expect("it is tried again");
    assert_eq!(begin(&mut pool, 2_000, "x"), None);
    pool.release(at_ms(2_100), &trial, server_health::AttemptOutcome::Responded, None);
    assert!(begin(&mut pool, 2_100, "x").is_some() && begin(&mut pool, 2_100, "x").is_some());
}

#[test]
fn another_start_under_the_same_name_is_another_server() {
    let mut pool = pool_of(&servers(1), &[], false);
    let lease = begin(&mut pool, 0, "x").expect("room");
    let mut restarted = servers(1);
    restarted[0].registration.started = id::Incarnation(2);
    update(&mut pool, at_ms(10), &restarted, &[], false);
    assert_eq!(pool.in_flight(), 0);
    pool.release(at_ms(20), &lease, server_health::AttemptOutcome::Failed, None);
    assert_eq!(begin(&mut pool, 20, "x").expect("room").started, id::Incarnation(2));
}

#[test]
fn less_urgent_requests_leave_room_to_wait_for_more_urgent_ones() {
    let known = servers(1);
    let wait = |pool: &mut placement::Pool, rank: u32| {
        let want = placement::Criteria { rank, ..want("x", &[]) };
        let is_taken =
            |_: &u32| matches!(pool.acquire(at_ms(0), &want), placement::Choice::Server(_));
        (0..10).take_while(is_taken).count()
    };
    let mut pool = pool_of(&known, &[], false);
    assert_eq!(wait(&mut pool, 1), 3, "two slots and half of the room to wait");
    assert_eq!(wait(&mut pool, 0), 1, "the rest of the room");
    assert_eq!(wait(&mut pool_of(&known, &[], false), 0), 4);
}
