//! The backend servers of each service, the requests that queue for their slots, and the retry
//! budgets.
//!
//! A slot is the right to have one request in progress at a backend server. The entry VMs of a
//! failure domain divide its backend servers among them; the servers of this machine are those that
//! are assigned to it, and only it takes their slots.

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

/// Number of locks over which the pools are spread.
const SHARDS: usize = 16;

/// The backend servers, the queue and the retry budget of one service.
#[derive(Debug)]
struct ServicePool {
    service: id::ServiceId,
    pool: pool::Pool,
    queue: queue::FairQueue<oneshot::Sender<pool::Lease>>,
    retry_budget: retry::Budget,
}

/// Pools sorted by service.
type Shard = Vec<ServicePool>;

/// The pools of all services, in shards with a lock each.
#[derive(Debug)]
pub struct ServicePools {
    vm: id::VmId,
    failure_domain: id::FailureDomainId,
    shards: Vec<Mutex<Shard>>,
}

/// The result of a request for a slot.
#[derive(Debug)]
pub enum Acquired {
    /// A slot at a backend server.
    Slot(Slot),
    /// A place in the queue, because no eligible server has a free slot now or other requests wait
    /// already.
    Queued(QueuedRequest),
    /// Neither: the organisation has too many queued requests, or the service is not known here.
    QueueFull,
}

/// A place in the queue for a slot.
///
/// Dropping it releases a slot that was assigned to it but not taken yet.
#[derive(Debug)]
pub struct QueuedRequest {
    pools: sync::Arc<ServicePools>,
    service: id::ServiceId,
    receiver: oneshot::Receiver<pool::Lease>,
}

impl QueuedRequest {
    /// Waits for a slot; returns `None` if the queue has dropped the request, because its deadline
    /// has passed.
    pub async fn slot(&mut self) -> Option<Slot> {
        let lease = (&mut self.receiver).await.ok()?;
        Some(self.pools.slot(&self.service, lease))
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(lease) = self.receiver.try_recv() {
            self.pools.release(&self.service, &lease, None);
        }
    }
}

/// A slot at a backend server for one attempt. Dropping it releases the slot and reports the
/// outcome to the pool.
#[derive(Debug)]
pub struct Slot {
    pools: sync::Arc<ServicePools>,
    service: id::ServiceId,
    lease: pool::Lease,
    outcome: Option<backend_server::AttemptOutcome>,
}

impl Slot {
    /// Returns the record of the backend server.
    pub const fn server(&self) -> &waxwing_record::record::BackendServer {
        &self.lease.server
    }

    /// Records how the attempt ended, which affects the server's health once the slot is released.
    /// Without an outcome the attempt counts as shed.
    pub const fn set_outcome(&mut self, outcome: backend_server::AttemptOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pools.release(&self.service, &self.lease, self.outcome);
    }
}

impl ServicePools {
    /// Creates the state of a machine that knows no service yet.
    pub fn new(vm: id::VmId, failure_domain: id::FailureDomainId) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect();
        Self { vm, failure_domain, shards }
    }

    fn shard(&self, service: &id::ServiceId) -> &Mutex<Shard> {
        &self.shards[rendezvous::hash(service.as_str()) as usize % SHARDS]
    }

    fn with_pool<T>(
        &self,
        service: &id::ServiceId,
        operation: impl FnOnce(&mut ServicePool) -> T,
    ) -> Option<T> {
        let mut shard = self.shard(service).lock();
        let at = shard.binary_search_by(|pool| pool.service.cmp(service)).ok()?;
        Some(operation(&mut shard[at]))
    }

    /// Applies new records or a change of the reachable machines, either of which may assign other
    /// backend servers to this machine.
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
            shard[at].assign_free_slots(now);
        }
    }

    /// Takes a slot at a server that is not in `tried`, or queues the request until `deadline`.
    ///
    /// Queued requests of different organisations, given by `flow`, get slots in turn; a queued
    /// request may get a slot at any server, also at one in `tried`.
    pub fn acquire(
        self: &sync::Arc<Self>,
        service: &id::ServiceId,
        flow: &queue::Flow,
        deadline: units_time::MonoInstant,
        tried: &[id::BackendServerId],
    ) -> Acquired {
        let now = clock::now();
        let acquired = self.with_pool(service, |service_pool| {
            let is_first = service_pool.queue.is_empty();
            if is_first && let Some(lease) = service_pool.pool.acquire(now, tried) {
                return Ok(lease);
            }
            let (sender, receiver) = oneshot::channel();
            let pushed = service_pool.queue.push(flow.clone(), deadline, sender);
            service_pool.assign_free_slots(now);
            Err(pushed.is_ok().then_some(receiver))
        });
        match acquired {
            Some(Ok(lease)) => Acquired::Slot(self.slot(service, lease)),
            Some(Err(Some(receiver))) => {
                let (pools, service) = (self.clone(), service.clone());
                Acquired::Queued(QueuedRequest { pools, service, receiver })
            }
            Some(Err(None)) | None => Acquired::QueueFull,
        }
    }

    /// Takes a slot for a request that another entry VM forwarded. Returns `None` unless slots are
    /// free beyond the reserve for this machine's own requests and no request waits.
    pub fn acquire_forwarded(self: &sync::Arc<Self>, service: &id::ServiceId) -> Option<Slot> {
        let now = clock::now();
        let lease =
            self.with_pool(service, |service_pool| match service_pool.queue.is_empty() {
                true => service_pool.pool.acquire_forwarded(now),
                false => None,
            })??;
        Some(self.slot(service, lease))
    }

    /// Returns whether any backend server of this machine accepts requests for the service, now or
    /// once a slot is released.
    pub fn is_usable(&self, service: &id::ServiceId) -> bool {
        let now = clock::now();
        self.with_pool(service, |service_pool| service_pool.pool.is_usable(now)).unwrap_or(false)
    }

    /// Wraps a lease so that dropping it releases the slot.
    fn slot(self: &sync::Arc<Self>, service: &id::ServiceId, lease: pool::Lease) -> Slot {
        Slot { pools: self.clone(), service: service.clone(), lease, outcome: None }
    }

    fn release(
        &self,
        service: &id::ServiceId,
        lease: &pool::Lease,
        outcome: Option<backend_server::AttemptOutcome>,
    ) {
        let now = clock::now();
        self.with_pool(service, |service_pool| {
            let outcome = outcome.unwrap_or(backend_server::AttemptOutcome::Shed);
            service_pool.pool.release(now, lease, outcome);
            service_pool.assign_free_slots(now);
        });
    }

    /// Credits the retry budget for a request that is sent for the first time.
    pub fn deposit_retry(&self, service: &id::ServiceId) {
        self.with_pool(service, |service_pool| service_pool.retry_budget.deposit());
    }

    /// Withdraws a retry from the budget after `attempts` attempts; returns whether it may be made.
    pub fn withdraw_retry(&self, service: &id::ServiceId, attempts: u32) -> bool {
        self.with_pool(service, |service_pool| service_pool.retry_budget.try_withdraw(attempts))
            .unwrap_or(false)
    }

    /// Assigns free slots to queued requests. It is called periodically, because slots also become
    /// free without a release, at the end of an ejection or in the course of a slow start.
    pub fn assign_free_slots(&self) {
        let now = clock::now();
        for shard in &self.shards {
            shard.lock().iter_mut().for_each(|service_pool| service_pool.assign_free_slots(now));
        }
    }

    /// Returns the backend servers of this machine with their services.
    pub fn servers(&self) -> Vec<(id::ServiceId, waxwing_record::record::BackendServer)> {
        let mut servers = Vec::new();
        for shard in &self.shards {
            for service_pool in shard.lock().iter() {
                let record_of = |server: &backend_server::BackendServer| server.record().clone();
                let records = service_pool.pool.servers().iter().map(record_of);
                servers.extend(records.map(|record| (service_pool.service.clone(), record)));
            }
        }
        servers
    }

    /// Applies a backend server's load report.
    pub fn set_report(
        &self,
        service: &id::ServiceId,
        server: &id::BackendServerId,
        report: backend_server::Report,
    ) {
        let now = clock::now();
        self.with_pool(service, |service_pool| {
            if let Some(server) = service_pool.pool.server_mut(server) {
                server.set_report(now, report);
            }
            service_pool.assign_free_slots(now);
        });
    }

    /// Returns the slots in use and the free slots, over all services.
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
    /// Assigns free slots to queued requests. A slot whose request was cancelled is released.
    fn assign_free_slots(&mut self, now: units_time::MonoInstant) {
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
                retry_budget: retry::Budget::default(),
            };
            shard.insert(at, new);
            at
        }
    }
}
