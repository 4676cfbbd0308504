//! Tests of the choice among all backend servers of a service.

use std::time;

use waxwing_machine::availability;
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
    let context = placement::Context {
        evacuated,
        owns: &owns,
        slot_weight: &|_| placement::SlotWeight { small_bodies: 1, large_bodies: 1 },
        cold_rate_per_second: rate::TokenRate::per_second(4),
        options: OPTIONS,
    };
    pool.update(now, &known, &context);
}

fn criteria_for<'a>(object: &'a str, tried: &'a [id::BackendServerId]) -> placement::Criteria<'a> {
    placement::Criteria {
        object: Some(object),
        allows: &|_| true,
        has_large_bodies: false,
        rank: 0,
        tried,
    }
}

fn acquire(pool: &mut placement::Pool, ms: u64, object: &str) -> Option<placement::Lease> {
    match pool.acquire(at_ms(ms), &criteria_for(object, &[])) {
        placement::Choice::Server(lease) => Some(lease),
        placement::Choice::Full | placement::Choice::NoneEligible => None,
    }
}

fn servers(count: usize) -> Vec<server_set::KnownServer> {
    (0..count).map(|n| known(&format!("s-{n}"), "lautoka")).collect()
}

#[test]
fn requests_of_an_object_use_its_first_home_then_the_next_and_no_other() {
    let mut pool = pool_of(&servers(8), &[], false);
    let homes: Vec<id::BackendServerId> = (0..20)
        .filter_map(|_| acquire(&mut pool, 0, "batch-7"))
        .map(|lease| lease.server)
        .collect();
    assert_eq!(homes.len(), 8, "two homes run two requests and queue two each");
    assert!(homes[..4].iter().all(|home| *home == homes[0]));
    assert!(homes[4..].iter().all(|home| *home == homes[4] && *home != homes[0]));
}

/// Guards against lasting overload: requests that spilled over to servers that had not handled
/// their object took three times as long, and the system stayed slow after the load had ended.
#[test]
fn high_load_does_not_make_a_server_handle_more_objects() {
    let mut pool = pool_of(&servers(8), &[], false);
    let mut handled: Vec<(String, id::BackendServerId)> = Vec::new();
    for round in 0..50 {
        for object in 0..16 {
            let object = format!("object-{object}");
            if let Some(lease) = acquire(&mut pool, round, &object) {
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

/// Returns for each of four servers how many of 4,000 objects it is the first home of. The first
/// server is near; the second has three times as many slots as each other one.
fn first_homes(has_large_bodies: bool) -> [u32; 4] {
    let mut all: Vec<server_set::KnownServer> =
        (0..4).map(|n| known(&format!("s-{n}"), "far")).collect();
    all[0].registration.failure_domain = "near".parse().expect("a valid name");
    all[1].registration.slots = 6;
    let mut firsts = [0; 4];
    for object in 0..4_000 {
        let mut pool = placement::Pool::default();
        let slot_weight = |domain: &id::FailureDomainId| placement::SlotWeight {
            small_bodies: if domain.as_str() == "near" { 2 } else { 1 },
            large_bodies: if domain.as_str() == "near" { 1 } else { 3 },
        };
        let known: Vec<&server_set::KnownServer> = all.iter().collect();
        let context = placement::Context {
            evacuated: &[],
            owns: &|_| false,
            slot_weight: &slot_weight,
            cold_rate_per_second: rate::TokenRate::per_second(4),
            options: OPTIONS,
        };
        pool.update(at_ms(0), &known, &context);
        let object = format!("object-{object}");
        let criteria = placement::Criteria { has_large_bodies, ..criteria_for(&object, &[]) };
        let placement::Choice::Server(lease) = pool.acquire(at_ms(0), &criteria) else {
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
fn homes_are_distributed_by_slots_and_slot_weight() {
    // Small bodies: slots of the near server count twice; large ones: slots of the others thrice.
    let rows = [(false, [4.0, 6.0, 2.0, 2.0]), (true, [2.0, 18.0, 6.0, 6.0])];
    for (has_large_bodies, shares) in rows {
        let firsts = first_homes(has_large_bodies);
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
        assert_eq!(acquire(&mut one, 0, object), acquire(&mut other, 0, object));
    }
}

#[test]
fn a_removed_server_moves_only_its_own_objects() {
    let all = servers(8);
    let objects: Vec<String> = (0..200).map(|n| format!("object-{n}")).collect();
    let first_homes = |known: &[server_set::KnownServer]| -> Vec<String> {
        let home = |object: &String| {
            let mut pool = pool_of(known, &[], false);
            acquire(&mut pool, 0, object).expect("room").server.to_string()
        };
        objects.iter().map(home).collect()
    };
    let (before, after) = (first_homes(&all), first_homes(&all[1..]));
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after);
    assert!(moved.clone().all(|(before, _)| before == "s-0"));
    assert!(moved.count() > 0);
}

#[test]
fn draining_evacuated_tried_and_forbidden_servers_receive_no_requests() {
    let mut draining = known("s-0", "lautoka");
    draining.registration.state = server_registration::State::Draining;
    let all = [draining, known("s-1", "labasa"), known("s-2", "lakeba"), known("s-3", "nausori")];
    let evacuated: Vec<id::FailureDomainId> = vec!["labasa".parse().expect("a valid name")];
    let mut pool = pool_of(&all, &evacuated, true);
    let tried: Vec<id::BackendServerId> = vec!["s-2".parse().expect("a valid name")];
    let criteria = placement::Criteria {
        object: Some("x"),
        allows: &|domain| domain.as_str() != "nausori",
        has_large_bodies: false,
        rank: 0,
        tried: &tried,
    };
    assert_eq!(pool.acquire(at_ms(0), &criteria), placement::Choice::NoneEligible);
}

#[test]
fn a_cold_server_receives_requests_of_its_owner_only_and_at_a_limited_rate() {
    let mut cold = servers(1);
    cold[0].cold_until = at_ms(10_000);
    assert_eq!(acquire(&mut pool_of(&cold, &[], false), 0, "x"), None);
    let mut pool = pool_of(&cold, &[], true);
    let mut acquired = 0;
    for ms in 0..1_000 {
        if let Some(lease) = acquire(&mut pool, ms, "x") {
            pool.release(at_ms(ms), &lease, server_health::AttemptOutcome::Responded, None);
            acquired += 1;
        }
    }
    assert!((3..=4).contains(&acquired), "{acquired} requests in a second");
}

#[test]
fn a_server_counts_as_cold_for_a_while_after_an_evacuation_ends() {
    let all = servers(1);
    let evacuated: Vec<id::FailureDomainId> = vec!["lautoka".parse().expect("a valid name")];
    let mut pool = pool_of(&all, &evacuated, false);
    update(&mut pool, at_ms(1_000), &all, &[], false);
    assert_eq!(acquire(&mut pool, 1_000, "x"), None);
    assert!(acquire(&mut pool, 6_000, "x").is_some());
}

#[test]
fn load_from_other_machines_counts_until_the_report_expires() {
    let mut pool = pool_of(&servers(1), &[], false);
    let lease = acquire(&mut pool, 0, "x").expect("room");
    let full = server_health::Load { running: 2, waiting: 2, slots: 2 };
    pool.release(at_ms(10), &lease, server_health::AttemptOutcome::Responded, Some(full));
    assert_eq!(acquire(&mut pool, 20, "x"), None);
    assert!(acquire(&mut pool, 1_000, "x").is_some());
}

#[test]
fn a_failing_server_is_ejected_and_then_tried_with_one_request() {
    let mut pool = pool_of(&servers(1), &[], false);
    let mut failed = 0;
    while let Some(lease) = acquire(&mut pool, failed, "x") {
        pool.release(at_ms(failed), &lease, server_health::AttemptOutcome::Failed, None);
        failed += 1;
        assert!(failed < 10, "the server is never ejected");
    }
    let probe = acquire(&mut pool, 2_000, "x").expect("the server is tried again");
    assert_eq!(acquire(&mut pool, 2_000, "x"), None);
    pool.release(at_ms(2_100), &probe, server_health::AttemptOutcome::Responded, None);
    assert!(acquire(&mut pool, 2_100, "x").is_some() && acquire(&mut pool, 2_100, "x").is_some());
}

#[test]
fn a_restarted_server_counts_as_another_server() {
    let mut pool = pool_of(&servers(1), &[], false);
    let lease = acquire(&mut pool, 0, "x").expect("room");
    let mut restarted = servers(1);
    restarted[0].registration.started = id::Incarnation(2);
    update(&mut pool, at_ms(10), &restarted, &[], false);
    assert_eq!(pool.in_flight(), 0);
    pool.release(at_ms(20), &lease, server_health::AttemptOutcome::Failed, None);
    assert_eq!(acquire(&mut pool, 20, "x").expect("room").started, id::Incarnation(2));
}

#[test]
fn lower_priorities_leave_queue_space_for_higher_ones() {
    let known = servers(1);
    let fill = |pool: &mut placement::Pool, rank: u32| {
        let criteria = placement::Criteria { rank, ..criteria_for("x", &[]) };
        let is_taken =
            |_: &u32| matches!(pool.acquire(at_ms(0), &criteria), placement::Choice::Server(_));
        (0..10).take_while(is_taken).count()
    };
    let mut pool = pool_of(&known, &[], false);
    assert_eq!(fill(&mut pool, 1), 3, "two slots and half of the queue");
    assert_eq!(fill(&mut pool, 0), 1, "the rest of the queue");
    assert_eq!(fill(&mut pool_of(&known, &[], false), 0), 4);
}

/// A pool keeps the first servers of objects that were requested before; the choice must be that of
/// a pool that keeps nothing, whatever has changed since.
#[test]
fn kept_orders_choose_as_new_ones_do() {
    let mut all = servers(40);
    let mut pool = pool_of(&all, &[], false);
    for round in 0..30_usize {
        match round % 3 {
            0 => all[round].registration.slots = 5,
            1 => drop(all.remove(round)),
            _ => all[round].registration.state = server_registration::State::Draining,
        }
        update(&mut pool, at_ms(0), &all, &[], false);
        for object in 0..60 {
            let object = format!("object-{object}");
            let mut fresh = pool_of(&all, &[], false);
            let kept = acquire(&mut pool, 0, &object);
            assert_eq!(kept, acquire(&mut fresh, 0, &object), "round {round}, {object}");
            let kept = kept.expect("room");
            pool.release(at_ms(0), &kept, server_health::AttemptOutcome::Responded, None);
        }
    }
}

#[test]
fn the_cold_time_that_a_response_states_outlives_the_next_list_of_servers() {
    let all = servers(1);
    let mut pool = pool_of(&all, &[], false);
    let lease = acquire(&mut pool, 0, "a").expect("room");
    pool.set_cold(at_ms(0), &lease, time::Duration::from_millis(3_000));
    update(&mut pool, at_ms(200), &all, &[], false);
    assert_eq!(acquire(&mut pool, 2_900, "a"), None, "the server is cold, and owned by another");
    assert!(acquire(&mut pool, 3_100, "a").is_some());
}

#[test]
fn draining_that_a_response_announced_ends_only_with_another_incarnation() {
    let all = servers(1);
    let mut restarted = servers(1);
    restarted[0].registration.started = id::Incarnation(2);
    let mut pool = pool_of(&all, &[], false);
    let lease = acquire(&mut pool, 0, "x").expect("room");
    pool.observe(at_ms(0), &lease, availability::Observation::DrainingAnnounced);
    // The registration still says ready, lapses, comes back from an old copy, and is then renewed.
    for (listed, is_usable) in
        [(&all[..], false), (&[], false), (&all, false), (&restarted, true), (&all, false)]
    {
        update(&mut pool, at_ms(100), listed, &[], false);
        assert_eq!(acquire(&mut pool, 100, "x").is_some(), is_usable, "{listed:?}");
    }
}

#[test]
fn a_response_of_a_server_that_is_not_listed_counts_once_it_is_listed_again() {
    let all = servers(1);
    let mut pool = pool_of(&all, &[], false);
    let lease = acquire(&mut pool, 0, "x").expect("room");
    update(&mut pool, at_ms(10), &[], &[], false);
    pool.observe(at_ms(20), &lease, availability::Observation::AddressReused);
    update(&mut pool, at_ms(30), &all, &[], false);
    assert_eq!(acquire(&mut pool, 30, "x"), None);
}

#[test]
fn after_a_backoff_requests_return_one_by_one_at_first() {
    // The backoff outlives a time in which the server is not listed.
    for is_unlisted_meanwhile in [false, true] {
        let all = servers(1);
        let mut pool = pool_of(&all, &[], false);
        let lease = acquire(&mut pool, 0, "x").expect("room");
        let until = at_ms(2_000);
        pool.observe(at_ms(0), &lease, availability::Observation::BackoffRequested { until });
        assert!(!pool.accepts_requests(at_ms(0), &lease), "not for a request about to be sent");
        pool.release(at_ms(0), &lease, server_health::AttemptOutcome::Shed, None);
        if is_unlisted_meanwhile {
            update(&mut pool, at_ms(100), &[], &[], false);
        }
        update(&mut pool, at_ms(200), &all, &[], false);
        assert_eq!(acquire(&mut pool, 1_999, "x"), None);
        assert_eq!(pool.backoff_end(at_ms(1_999), &|_| true), Some(until));
        assert_eq!(pool.backoff_end(at_ms(2_000), &|_| true), None);
        for concurrent in [1, 2, 4] {
            let leases: Vec<_> = (0..10).map_while(|_| acquire(&mut pool, 2_000, "x")).collect();
            assert_eq!(leases.len(), concurrent);
            let responded = server_health::AttemptOutcome::Responded;
            pool.release(at_ms(2_000), &leases[0], responded, None);
            for lease in &leases[1..] {
                let unknown = server_health::AttemptOutcome::NotAttributable;
                pool.release(at_ms(2_000), lease, unknown, None);
            }
        }
    }
}
