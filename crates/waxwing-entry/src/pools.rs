//! Slots at backend servers, and the requests that wait for them.

use std::sync;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use waxwing_keeper_client::client;
use waxwing_machine::backend_server;
use waxwing_machine::pool;
use waxwing_process::clock;
use waxwing_request::queue;
use waxwing_request::retry;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

/// Shards of the pools.
const SHARDS: usize = 16;

/// One service's backend servers, its waiting requests and its retries.
#[derive(Debug)]
struct ServicePool {
    service: id::ServiceId,
    pool: pool::Pool,
    queue: queue::FairQueue<oneshot::Sender<pool::Lease>>,
    retries: retry::Budget,
}

/// Pools sorted by service.
type Shard = Vec<ServicePool>;

/// The pools of all services.
#[derive(Debug)]
pub struct Pools {
    vm: id::VmId,
    failure_domain: id::FailureDomainId,
    shards: Vec<Mutex<Shard>>,
}

/// What a request that wants a slot gets.
#[derive(Debug)]
pub enum Acquired {
    /// A slot.
    Slot(Slot),
    /// A place in the queue.
    Waits(Waiting),
    /// Nothing: too many requests of the organisation wait already.
    QueueFull,
}

/// A place in the queue for a slot.
///
/// Dropped, it gives back a slot that it was handed and that nobody has taken.
#[derive(Debug)]
pub struct Waiting {
    pools: sync::Arc<Pools>,
    service: id::ServiceId,
    receiver: oneshot::Receiver<pool::Lease>,
}

impl Waiting {
    /// Waits for a slot; none where the queue has ended.
    pub async fn slot(&mut self) -> Option<Slot> {
        let lease = (&mut self.receiver).await.ok()?;
        Some(self.pools.slot(&self.service, lease))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(lease) = self.receiver.try_recv() {
            self.pools.release(&self.service, &lease, None);
        }
    }
}

/// A slot at a backend server; dropped, it is free again.
#[derive(Debug)]
pub struct Slot {
    pools: sync::Arc<Pools>,
    service: id::ServiceId,
    lease: pool::Lease,
    ending: Option<backend_server::AttemptOutcome>,
}

impl Slot {
    /// Returns the backend server.
    pub const fn server(&self) -> &waxwing_record::record::BackendServer {
        &self.lease.server
    }

    /// Notes how the attempt ended, which judges the backend server.
    pub const fn set_ending(&mut self, ending: backend_server::AttemptOutcome) {
        self.ending = Some(ending);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pools.release(&self.service, &self.lease, self.ending);
    }
}

impl Pools {
    /// Creates the pools of a machine that knows no service yet.
    pub fn new(vm: id::VmId, failure_domain: id::FailureDomainId) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect();
        Self { vm, failure_domain, shards }
    }

    fn shard(&self, service: &id::ServiceId) -> &Mutex<Shard> {
        &self.shards[rendezvous::hash(service.as_str()) as usize % SHARDS]
    }

    fn with<T>(
        &self,
        service: &id::ServiceId,
        act: impl FnOnce(&mut ServicePool) -> T,
    ) -> Option<T> {
        let mut shard = self.shard(service).lock();
        let at = shard.binary_search_by(|pool| pool.service.cmp(service)).ok()?;
        Some(act(&mut shard[at]))
    }

    /// Takes in new records and a new view of the machines.
    pub fn update(&self, view: &client::View) {
        let now = clock::now();
        let mut neighbours: Vec<id::VmId> = view
            .reachable
            .iter()
            .filter(|reachable| reachable.entry_vm.failure_domain == self.failure_domain)
            .map(|reachable| reachable.entry_vm.vm.clone())
            .chain([self.vm.clone()])
            .collect();
        neighbours.sort();
        neighbours.dedup();
        for service in &view.records.services {
            let servers = pool::own_servers(
                &view.records,
                &service.service,
                &self.vm,
                &self.failure_domain,
                &neighbours,
            );
            let mut shard = self.shard(&service.service).lock();
            let at = find_or_insert(&mut shard, &service.service);
            shard[at].pool.set_records(now, servers);
            shard[at].hand_out(now);
        }
    }

    /// Wants a slot for a request, not at the servers in `tried`.
    pub fn acquire(
        self: &sync::Arc<Self>,
        service: &id::ServiceId,
        flow: &queue::Flow,
        deadline: units_time::MonoInstant,
        tried: &[id::BackendServerId],
    ) -> Acquired {
        let now = clock::now();
        let taken = self.with(service, |service_pool| {
            let is_first = service_pool.queue.is_empty();
            if is_first && let Some(lease) = service_pool.pool.acquire(now, tried) {
                return Ok(lease);
            }
            let (sender, receiver) = oneshot::channel();
            let pushed = service_pool.queue.push(flow.clone(), deadline, sender);
            service_pool.hand_out(now);
            Err(pushed.is_ok().then_some(receiver))
        });
        match taken {
            Some(Ok(lease)) => Acquired::Slot(self.slot(service, lease)),
            Some(Err(Some(receiver))) => {
                let (pools, service) = (self.clone(), service.clone());
                Acquired::Waits(Waiting { pools, service, receiver })
            }
            Some(Err(None)) | None => Acquired::QueueFull,
        }
    }

    /// Takes a slot for a request that another machine passed on, if there is one to spare.
    pub fn acquire_guest(self: &sync::Arc<Self>, service: &id::ServiceId) -> Option<Slot> {
        let now = clock::now();
        let lease = self.with(service, |service_pool| match service_pool.queue.is_empty() {
            true => service_pool.pool.acquire_forwarded(now),
            false => None,
        })??;
        Some(self.slot(service, lease))
    }

    /// Tells whether any backend server of this machine takes work of the service.
    pub fn is_usable(&self, service: &id::ServiceId) -> bool {
        let now = clock::now();
        self.with(service, |service_pool| service_pool.pool.is_usable(now)).unwrap_or(false)
    }

    /// Wraps a lease so that it is given back when it is dropped.
    fn slot(self: &sync::Arc<Self>, service: &id::ServiceId, lease: pool::Lease) -> Slot {
        Slot { pools: self.clone(), service: service.clone(), lease, ending: None }
    }

    fn release(
        &self,
        service: &id::ServiceId,
        lease: &pool::Lease,
        ending: Option<backend_server::AttemptOutcome>,
    ) {
        let now = clock::now();
        self.with(service, |service_pool| {
            let ending = ending.unwrap_or(backend_server::AttemptOutcome::Shed);
            service_pool.pool.release(now, lease, ending);
            service_pool.hand_out(now);
        });
    }

    /// Notes a first attempt of a request.
    pub fn earn_retry(&self, service: &id::ServiceId) {
        self.with(service, |service_pool| service_pool.retries.deposit());
    }

    /// Spends a retry after `attempts` attempts; returns whether it may be made.
    pub fn spend_retry(&self, service: &id::ServiceId, attempts: u32) -> bool {
        self.with(service, |service_pool| service_pool.retries.try_withdraw(attempts))
            .unwrap_or(false)
    }

    /// Hands out slots that came free by the passing of time.
    pub fn hand_out(&self) {
        let now = clock::now();
        for shard in &self.shards {
            shard.lock().iter_mut().for_each(|service_pool| service_pool.hand_out(now));
        }
    }

    /// Returns all backend servers of this machine.
    pub fn servers(&self) -> Vec<(id::ServiceId, waxwing_record::record::BackendServer)> {
        let mut servers = Vec::new();
        for shard in &self.shards {
            for service_pool in shard.lock().iter() {
                let of = |server: &backend_server::BackendServer| server.record().clone();
                let records = service_pool.pool.servers().iter().map(of);
                servers.extend(records.map(|record| (service_pool.service.clone(), record)));
            }
        }
        servers
    }

    /// Takes in what a backend server reports of itself.
    pub fn set_report(
        &self,
        service: &id::ServiceId,
        server: &id::BackendServerId,
        report: backend_server::Report,
    ) {
        let now = clock::now();
        self.with(service, |service_pool| {
            if let Some(server) = service_pool.pool.server_mut(server) {
                server.set_report(now, report);
            }
            service_pool.hand_out(now);
        });
    }

    /// Returns requests under way and free slots over all services.
    pub fn load(&self) -> (u32, u32) {
        let now = clock::now();
        let (mut in_flight, mut free) = (0, 0);
        for shard in &self.shards {
            for server in shard.lock().iter().flat_map(|s| s.pool.servers()) {
                in_flight += server.in_flight();
                free += server.free_slots(now);
            }
        }
        (in_flight, free)
    }
}

impl ServicePool {
    /// Gives free slots to waiting requests; one whose request has gone is free again.
    fn hand_out(&mut self, now: units_time::MonoInstant) {
        while !self.queue.is_empty() {
            let Some(lease) = self.pool.acquire(now, &[]) else {
                return;
            };
            let Some(sender) = self.queue.pop(now) else {
                self.pool.release(now, &lease, backend_server::AttemptOutcome::Shed);
                return;
            };
            if let Err(lease) = sender.send(lease) {
                self.pool.release(now, &lease, backend_server::AttemptOutcome::Shed);
            }
        }
    }
}

fn find_or_insert(shard: &mut Shard, service: &id::ServiceId) -> usize {
    match shard.binary_search_by(|pool| pool.service.cmp(service)) {
        Ok(at) => at,
        Err(at) => {
            let new = ServicePool {
                service: service.clone(),
                pool: pool::Pool::default(),
                queue: queue::FairQueue::default(),
                retries: retry::Budget::default(),
            };
            shard.insert(at, new);
            at
        }
    }
}
