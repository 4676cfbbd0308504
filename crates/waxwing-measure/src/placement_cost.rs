//! Processor time to choose a backend server, by the number of servers of the service.

use std::hint;
use std::time;

use waxwing_machine::placement;
use waxwing_machine::server_health;
use waxwing_machine::server_registration;
use waxwing_machine::server_set;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

/// The number of objects that are requested in turn.
const OBJECTS: usize = 500;

/// The number of requests that are measured.
const REQUESTS: usize = 50_000;

/// The cost of the choice among one number of servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCost {
    /// Number of servers of the service.
    pub servers: usize,
    /// Processor time of the first choice for an object, with its release, in microseconds.
    pub first_us: f64,
    /// Processor time of a later choice, with its release, in microseconds.
    pub later_us: f64,
    /// Processor time to apply the same list of servers again, in microseconds.
    pub update_us: f64,
}

/// Measures the choice among `servers` servers.
pub fn placement_cost(servers: usize) -> PlacementCost {
    let known: Vec<server_set::KnownServer> = (0..servers).map(known_server).collect();
    let mut pool = placement::Pool::default();
    update(&mut pool, &known);
    let objects: Vec<String> = (0..OBJECTS).map(|n| format!("/ledger/{n}")).collect();
    let first_us = mean_us(OBJECTS, |n| choose(&mut pool, &objects[n]));
    let later_us = mean_us(REQUESTS, |n| choose(&mut pool, &objects[n % OBJECTS]));
    let update_us = mean_us(20, |_| update(&mut pool, &known));
    PlacementCost { servers, first_us, later_us, update_us }
}

fn mean_us(rounds: usize, run: impl FnMut(usize)) -> f64 {
    let began_at = time::Instant::now();
    (0..rounds).for_each(run);
    began_at.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

fn known_server(number: usize) -> server_set::KnownServer {
    let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
    let registration = server_registration::ServerRegistration {
        server: format!("i-{number:05}").parse().unwrap_or_else(|_| unreachable!("a valid name")),
        started: id::Incarnation(1),
        service: "ledger".parse().unwrap_or_else(|_| unreachable!("a valid name")),
        failure_domain: "lautoka".parse().unwrap_or_else(|_| unreachable!("a valid name")),
        address: ([10, 0, high, low], 80).into(),
        slots: 3,
        state: server_registration::State::Ready,
        cold_left: time::Duration::ZERO,
        sequence: 1,
    };
    server_set::KnownServer { registration, cold_until: units_time::MonoInstant(0) }
}

fn update(pool: &mut placement::Pool, known: &[server_set::KnownServer]) {
    let mut known: Vec<&server_set::KnownServer> = known.iter().collect();
    known.sort_by(|a, b| a.registration.server.cmp(&b.registration.server));
    let context = placement::Context {
        evacuated: &[],
        owns: &|_| false,
        slot_weight: &|_| placement::SlotWeight { small_bodies: 1, large_bodies: 1 },
        cold_rate_per_second: rate::TokenRate::per_second(4),
        options: placement::Options::default(),
    };
    pool.update(units_time::MonoInstant(0), &known, &context);
}

fn choose(pool: &mut placement::Pool, object: &str) {
    let now = units_time::MonoInstant(1);
    let criteria = placement::Criteria {
        object: Some(object),
        allows: &|_| true,
        has_large_bodies: false,
        rank: 0,
        tried: &[],
    };
    if let placement::Choice::Server(lease) = hint::black_box(pool.acquire(now, &criteria)) {
        pool.release(now, &lease, server_health::AttemptOutcome::Responded, None);
    }
}
