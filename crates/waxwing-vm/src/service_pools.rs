//! The backend servers of all services.

use std::sync;

use parking_lot::Mutex;
use waxwing_machine::placement;
use waxwing_machine::server_health;
use waxwing_machine::server_set;
use waxwing_process::clock;
use waxwing_request::budget;
use waxwing_route::route;
use waxwing_route::split;
use waxwing_units::id;
use waxwing_units::rendezvous;

use crate::vm;

/// Shards of the pools and of the turns.
const SHARDS: usize = 16;

/// One service's backend servers and its repeats.
#[derive(Debug)]
struct ServicePool {
    service: id::ServiceId,
    pool: placement::Pool,
    repeats: budget::MachineShare,
}

/// Pools sorted by service.
type Shard = Vec<ServicePool>;

/// The turns of one route.
#[derive(Debug)]
struct RouteTurns {
    route: String,
    turns: split::WeightedRoundRobin,
}

/// The backend servers of all services, and the turns of all routes.
#[derive(Debug)]
pub struct Pools {
    shards: Vec<Mutex<Shard>>,
    turns: Vec<Mutex<Vec<RouteTurns>>>,
}

impl Default for Pools {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect(),
            turns: (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect(),
        }
    }
}

/// A place at a backend server; dropped, it is free again.
pub struct Slot {
    vm: vm::Shared,
    service: id::ServiceId,
    lease: placement::Lease,
    ending: server_health::AttemptOutcome,
    load: Option<server_health::Load>,
}

/// What a request that wants a server gets.
pub enum Acquired {
    /// A place at a server.
    Slot(Slot),
    /// Nothing now.
    Full,
    /// Nothing: no server may run it.
    Nobody,
}

impl Slot {
    /// Returns the server.
    pub const fn lease(&self) -> &placement::Lease {
        &self.lease
    }

    /// Notes how the attempt ended, and what the server said of its load.
    pub const fn set_ending(
        &mut self,
        ending: server_health::AttemptOutcome,
        load: Option<server_health::Load>,
    ) {
        self.ending = ending;
        self.load = load;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = clock::now();
        let (lease, ending, load) = (&self.lease, self.ending, self.load);
        self.vm.pools.with(&self.service, |pool| pool.pool.release(now, lease, ending, load));
    }
}

impl Pools {
    fn shard(&self, name: &str) -> usize {
        rendezvous::hash(name) as usize % SHARDS
    }

    fn with<T>(
        &self,
        service: &id::ServiceId,
        act: impl FnOnce(&mut ServicePool) -> T,
    ) -> Option<T> {
        let mut shard = self.shards[self.shard(service.as_str())].lock();
        let at = shard.binary_search_by(|pool| pool.service.cmp(service)).ok()?;
        Some(act(&mut shard[at]))
    }

    /// Takes in which servers of a service there are.
    pub fn update(
        &self,
        service: &id::ServiceId,
        known: &[&server_set::KnownServer],
        around: &placement::Context<'_>,
    ) {
        let now = clock::now();
        let mut shard = self.shards[self.shard(service.as_str())].lock();
        let at = match shard.binary_search_by(|pool| pool.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                shard.insert(at, ServicePool::empty(service.clone()));
                at
            }
        };
        shard[at].pool.update(now, known, around);
    }

    /// Returns the service whose turn it is on a route.
    pub fn next_service(&self, route: &route::Route) -> Option<id::ServiceId> {
        if let [only] = route.services.as_slice() {
            return Some(only.service.clone());
        }
        let mut shard = self.turns[self.shard(&route.name)].lock();
        let at = match shard.binary_search_by(|turns| turns.route.cmp(&route.name)) {
            Ok(at) => at,
            Err(at) => {
                let turns = split::WeightedRoundRobin::default();
                shard.insert(at, RouteTurns { route: route.name.clone(), turns });
                at
            }
        };
        shard[at].turns.next(&route.services)
    }

    /// Takes a place at a server for a request.
    pub fn acquire(
        &self,
        vm: &vm::Shared,
        service: &id::ServiceId,
        want: &placement::Criteria<'_>,
    ) -> Acquired {
        let now = clock::now();
        match self.with(service, |pool| pool.pool.acquire(now, want)) {
            Some(placement::Choice::Server(lease)) => Acquired::Slot(Slot {
                vm: sync::Arc::clone(vm),
                service: service.clone(),
                lease,
                ending: server_health::AttemptOutcome::NotAttributable,
                load: None,
            }),
            Some(placement::Choice::Full) => Acquired::Full,
            Some(placement::Choice::NoneEligible) | None => Acquired::Nobody,
        }
    }

    /// Notes that a server has gone, or that another one has its address.
    pub fn forget(&self, service: &id::ServiceId, lease: &placement::Lease) {
        self.with(service, |pool| pool.pool.remove(lease));
    }

    /// Notes what a server says of how long it stays cold.
    pub fn set_cold(
        &self,
        service: &id::ServiceId,
        lease: &placement::Lease,
        left: std::time::Duration,
    ) {
        let now = clock::now();
        self.with(service, |pool| pool.pool.set_cold(now, lease, left));
    }

    /// Notes a request that is sent the first time.
    pub fn earn_repeat(
        &self,
        service: &id::ServiceId,
        (allowance, machines): (budget::FleetLimit, usize),
    ) {
        self.with(service, |pool| pool.repeats.deposit(allowance, machines));
    }

    /// Spends a repeat; returns whether there was one.
    pub fn spend_repeat(&self, service: &id::ServiceId) -> bool {
        self.with(service, |pool| pool.repeats.try_withdraw()).unwrap_or(false)
    }
}

impl ServicePool {
    fn empty(service: id::ServiceId) -> Self {
        Self { service, pool: placement::Pool::default(), repeats: budget::MachineShare::default() }
    }
}
