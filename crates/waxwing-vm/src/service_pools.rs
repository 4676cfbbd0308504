//! The backend servers and the retry budget of each service, and the traffic split of each route.

use std::rc;
use std::sync;
use std::time;

use parking_lot::Mutex;
use tokio::sync::Notify;
use waxwing_machine::availability;
use waxwing_machine::placement;
use waxwing_machine::server_health;
use waxwing_machine::server_set;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_request::budget;
use waxwing_request::waiting_room;
use waxwing_route::route;
use waxwing_route::split;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::leased_server;
use crate::vm;

/// How often a waiting request looks for a slot without a notification.
const SLOT_RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The number of waiting requests that a released slot wakes; it may be at no home of the first ones.
const WOKEN_MAX: usize = 4;

/// The number of shards of the pools, and of those of the traffic splits.
const SHARDS: usize = 16;

/// The backend servers and the retry budget of one service.
#[derive(Debug)]
struct ServicePool {
    service: id::ServiceId,
    pool: placement::Pool,
    retry_budget: budget::MachineShare,
    /// The requests that wait for a slot.
    waiting: waiting_room::WaitingRoom<sync::Arc<Notify>>,
}

/// Pools sorted by service.
type Shard = Vec<ServicePool>;

/// The state of one route's traffic split.
#[derive(Debug)]
struct RouteRoundRobin {
    route: String,
    round_robin: split::WeightedRoundRobin,
}

/// The pools of all services and the traffic splits of all routes, in shards with a lock each.
#[derive(Debug)]
pub struct ServicePools {
    shards: Vec<Mutex<Shard>>,
    round_robin: Vec<Mutex<Vec<RouteRoundRobin>>>,
}

impl Default for ServicePools {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect(),
            round_robin: (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect(),
        }
    }
}

/// A slot at a backend server for one attempt. Dropping it releases the slot and reports the
/// outcome to the pool.
pub struct Slot {
    server: rc::Rc<leased_server::LeasedServer>,
    outcome: server_health::AttemptOutcome,
    load: Option<server_health::Load>,
}

/// A place among the requests that wait for a slot, given up when it is dropped.
pub struct WaitingPlace {
    vm: vm::Shared,
    service: id::ServiceId,
    ticket: waiting_room::Ticket,
    freed: sync::Arc<Notify>,
}

impl WaitingPlace {
    /// Waits until a slot may be free, for `wait_max` at most; returns false once more urgent requests
    /// have taken the place.
    pub async fn wait(&self, wait_max: time::Duration) -> bool {
        let has_place = |pool: &mut ServicePool| pool.waiting.contains(self.ticket);
        if !self.vm.pools.with_pool(&self.service, has_place).unwrap_or(false) {
            return false;
        }
        // After the time it looks by itself: a server may be free by a report that has expired.
        timer::timeout(wait_max.min(SLOT_RECHECK_INTERVAL), self.freed.notified()).await.ok();
        true
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.vm.pools.with_pool(&self.service, |pool| pool.waiting.leave(self.ticket));
    }
}

/// The result of a request for a slot.
pub enum Acquired {
    /// A slot at a server.
    Slot(Slot),
    /// No eligible server takes the request now: all are full, backing off, ejected or cold.
    Full,
    /// No server is eligible for the request.
    NoneEligible,
}

impl Slot {
    /// Returns the server.
    pub const fn server(&self) -> &rc::Rc<leased_server::LeasedServer> {
        &self.server
    }

    /// Returns the identity and address of the server.
    pub fn lease(&self) -> &placement::Lease {
        self.server.lease()
    }

    /// Records how the attempt ended and the load that the server reported; both are applied on
    /// drop.
    pub const fn set_outcome(
        &mut self,
        outcome: server_health::AttemptOutcome,
        load: Option<server_health::Load>,
    ) {
        self.outcome = outcome;
        self.load = load;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.server.release(self.outcome, self.load);
    }
}

impl ServicePools {
    fn shard(&self, name: &str) -> usize {
        rendezvous::hash(name) as usize % SHARDS
    }

    fn with_pool<T>(
        &self,
        service: &id::ServiceId,
        operation: impl FnOnce(&mut ServicePool) -> T,
    ) -> Option<T> {
        let mut shard = self.shards[self.shard(service.as_str())].lock();
        let at = shard.binary_search_by(|pool| pool.service.cmp(service)).ok()?;
        Some(operation(&mut shard[at]))
    }

    /// Replaces the servers of a service with those in `known`, sorted by name, and returns the
    /// changes of their states.
    pub fn update(
        &self,
        service: &id::ServiceId,
        known: &[&server_set::KnownServer],
        context: &placement::Context<'_>,
    ) -> Vec<availability::Transition> {
        let now = clock::now();
        let mut shard = self.shards[self.shard(service.as_str())].lock();
        let at = match shard.binary_search_by(|pool| pool.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                shard.insert(at, ServicePool::empty(service.clone()));
                at
            }
        };
        shard[at].pool.update(now, known, context)
    }

    /// Returns the service that the weighted round robin of a route's traffic split selects next.
    pub fn next_service(&self, route: &route::Route) -> Option<id::ServiceId> {
        if let [only] = route.services.as_slice() {
            return Some(only.service.clone());
        }
        let mut shard = self.round_robin[self.shard(&route.name)].lock();
        let at = match shard.binary_search_by(|round_robin| round_robin.route.cmp(&route.name)) {
            Ok(at) => at,
            Err(at) => {
                let round_robin = split::WeightedRoundRobin::default();
                shard.insert(at, RouteRoundRobin { route: route.name.clone(), round_robin });
                at
            }
        };
        shard[at].round_robin.next(&route.services)
    }

    /// Selects a server for a request and takes a slot at it.
    pub fn acquire(
        &self,
        vm: &vm::Shared,
        service: &id::ServiceId,
        criteria: &placement::Criteria<'_>,
    ) -> Acquired {
        let now = clock::now();
        match self.with_pool(service, |pool| pool.pool.acquire(now, criteria)) {
            Some(placement::Choice::Server(lease)) => Acquired::Slot(Slot {
                server: rc::Rc::new(leased_server::LeasedServer::new(vm, service, lease)),
                outcome: server_health::AttemptOutcome::NotAttributable,
                load: None,
            }),
            Some(placement::Choice::Full) => Acquired::Full,
            Some(placement::Choice::NoneEligible) | None => Acquired::NoneEligible,
        }
    }

    /// Releases a slot with the outcome of the request and the load that the server reported.
    pub fn release(
        &self,
        service: &id::ServiceId,
        lease: &placement::Lease,
        outcome: server_health::AttemptOutcome,
        load: Option<server_health::Load>,
    ) {
        let now = clock::now();
        self.with_pool(service, |pool| {
            pool.pool.release(now, lease, outcome, load);
            // The tasks run in the order in which they are notified.
            pool.waiting.handles().take(WOKEN_MAX).for_each(|freed| freed.notify_one());
        });
    }

    /// Takes a place among the requests that wait for a slot of a service; `None` if there is none.
    pub fn enter_waiting_room(
        &self,
        vm: &vm::Shared,
        service: &id::ServiceId,
        rank: u32,
        due_at: units_time::MonoInstant,
    ) -> Option<WaitingPlace> {
        let freed = sync::Arc::<Notify>::default();
        let places = vm.settings().settings.waiting_max;
        let ticket = self.with_pool(service, |pool| {
            pool.waiting.set_places(places);
            pool.waiting.enter(rank, due_at, freed.clone())
        });
        let (vm, service) = (vm.clone(), service.clone());
        ticket.flatten().map(|ticket| WaitingPlace { vm, service, ticket, freed })
    }

    /// Returns the number of requests that wait for a slot, over all services.
    pub fn waiting(&self) -> usize {
        let in_shard = |shard: &Mutex<Shard>| -> usize {
            shard.lock().iter().map(|pool| pool.waiting.len()).sum()
        };
        self.shards.iter().map(in_shard).sum()
    }

    /// Applies a statement about the server of a lease; returns the change of its state.
    pub fn observe(
        &self,
        service: &id::ServiceId,
        lease: &placement::Lease,
        observation: availability::Observation,
    ) -> Option<availability::Transition> {
        let now = clock::now();
        self.with_pool(service, |pool| pool.pool.observe(now, lease, observation)).flatten()
    }

    /// Returns whether the server of a lease still accepts new requests.
    pub fn accepts_requests(&self, service: &id::ServiceId, lease: &placement::Lease) -> bool {
        let now = clock::now();
        self.with_pool(service, |pool| pool.pool.accepts_requests(now, lease)).unwrap_or(false)
    }

    /// Returns how long all servers of a service that may run requests where `allows` accepts it
    /// are backing off.
    pub fn backoff_left(
        &self,
        service: &id::ServiceId,
        allows: &dyn Fn(&id::FailureDomainId) -> bool,
    ) -> Option<time::Duration> {
        let now = clock::now();
        let end = self.with_pool(service, |pool| pool.pool.backoff_end(now, allows)).flatten();
        end.map(|end| end.since(now))
    }

    /// Records how long a server expects to stay cold.
    pub fn set_cold(
        &self,
        service: &id::ServiceId,
        lease: &placement::Lease,
        cold_left: time::Duration,
    ) {
        let now = clock::now();
        self.with_pool(service, |pool| pool.pool.set_cold(now, lease, cold_left));
    }

    /// Credits the retry budget for a request that is sent for the first time.
    pub fn deposit_retry(
        &self,
        service: &id::ServiceId,
        (limit, machines): (budget::FleetLimit, usize),
    ) {
        self.with_pool(service, |pool| pool.retry_budget.deposit(limit, machines));
    }

    /// Withdraws a retry from the budget; returns whether one was left.
    pub fn withdraw_retry(&self, service: &id::ServiceId) -> bool {
        self.with_pool(service, |pool| pool.retry_budget.try_withdraw()).unwrap_or(false)
    }
}

impl ServicePool {
    fn empty(service: id::ServiceId) -> Self {
        Self {
            service,
            pool: placement::Pool::default(),
            retry_budget: budget::MachineShare::default(),
            waiting: waiting_room::WaitingRoom::new(0),
        }
    }
}
