//! Choice among all backend servers of a service, by affinity of a request's object.
//!
//! A server that handled an object recently is faster at it, so each object has a few home servers:
//! the first usable ones in an order of rendezvous hashing that is the same on all machines. A
//! request goes to its first home while few requests are queued there, and otherwise to another
//! home. It never goes beyond its homes, however high the load: a server that handles all objects
//! is fast at none, and a system whose requests had once spilled over would stay slow.
//!
//! A cold server can handle only a few requests a second from all machines together, so only the
//! machine that owns it sends to it, at a limited rate. The same holds for a server that may be
//! cold, until it registers again: one that failed or whose failure domain was evacuated.

use std::cmp;
use std::net;
use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::availability;
use crate::pooled_server;
use crate::server_health;
use crate::server_order;
use crate::server_set;

/// The part of a cold server's request rate that its owner uses, in thousandths.
const COLD_RATE_USED_PERMILLE: u64 = 800;

/// The load of a server whose slots are all in use, in thousandths of its slots.
const FULL_PERMILLE: u32 = 1_000;

/// The settings of the choice of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The number of home servers of each object.
    pub homes: usize,
    /// The number of requests that may be queued at a server for each of its slots.
    pub queued_per_slot_max: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { homes: 2, queued_per_slot_max: 1 }
    }
}

/// The weight of each slot of a failure domain's servers in the choice of an object's homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotWeight {
    /// The weight for requests of routes with small bodies.
    pub small_bodies: u32,
    /// The weight for requests of routes with large bodies.
    pub large_bodies: u32,
}

/// The criteria by which a server is chosen for a request.
#[derive(Clone, Copy)]
pub struct Criteria<'a> {
    /// The object that the request concerns; without one, servers of a higher slot weight come
    /// first, and among those the ones with fewer requests in progress.
    pub object: Option<&'a str>,
    /// Returns whether a failure domain may run the request.
    pub allows: &'a dyn Fn(&id::FailureDomainId) -> bool,
    /// Whether requests of its route have large bodies.
    pub has_large_bodies: bool,
    /// How far the request's priority is below the most urgent one; a larger distance leaves less
    /// space in the queues.
    pub rank: u32,
    /// The servers that earlier attempts of the request were sent to.
    pub tried: &'a [id::BackendServerId],
}

/// A lease of a slot at a server, held while a request is in progress there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The server's name.
    pub server: id::BackendServerId,
    /// The incarnation of its process.
    pub started: id::Incarnation,
    /// The address at which it accepts requests.
    pub address: net::SocketAddr,
}

/// The result of the choice of a server for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// A server that has a free slot or space in its queue, with the lease of a slot.
    Server(Lease),
    /// No server at present: all are full, backing off, ejected or cold.
    Full,
    /// No server may run the request.
    NoneEligible,
}

/// The inputs of the choice beside the servers' registrations.
pub struct Context<'a> {
    /// The evacuated failure domains, whose servers receive no requests as long as the store says
    /// so; sorted.
    pub evacuated: &'a [id::FailureDomainId],
    /// Returns whether this machine owns a server; only the owner sends to a cold server. A server
    /// that turns cold between two updates is used by no machine until the next one.
    pub owns: &'a dyn Fn(&id::BackendServerId) -> bool,
    /// Returns the slot weight of a failure domain's servers.
    pub slot_weight: &'a dyn Fn(&id::FailureDomainId) -> SlotWeight,
    /// The rate of requests that a cold server can handle from all machines together.
    pub cold_rate_per_second: rate::TokenRate,
    /// The settings of the choice of a server.
    pub options: Options,
}

/// The servers of one service, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    options: Options,
    servers: Vec<pooled_server::PooledServer>,
    orders: server_order::OrderCache,
    memory: availability::Memory,
    cold_interval: time::Duration,
}

/// The servers among which a request chooses.
enum Homes {
    /// The positions of usable servers, as many as an object has homes if there are so many.
    Usable(Vec<usize>),
    /// No server may run the request.
    NoneEligible,
}

impl Criteria<'_> {
    const fn bodies(&self) -> server_order::Bodies {
        match self.has_large_bodies {
            true => server_order::Bodies::Large,
            false => server_order::Bodies::Small,
        }
    }
}

impl Pool {
    /// Replaces the servers with `known`, those of this service, sorted by name, and returns the
    /// changes of their states. A server keeps its state until its process restarts.
    pub fn update(
        &mut self,
        now: units_time::MonoInstant,
        known: &[&server_set::KnownServer],
        context: &Context<'_>,
    ) -> Vec<availability::Transition> {
        self.options = context.options;
        self.cold_interval = cold_interval(context.cold_rate_per_second);
        let mut previous = std::mem::take(&mut self.servers);
        let mut servers: Vec<_> = known
            .iter()
            .map(|known| {
                let process = (&known.registration.server, known.registration.started);
                let found = previous.binary_search_by(|server| server.process().cmp(&process));
                let same = found.ok().map(|at| &previous[at]);
                pooled_server::PooledServer::updated(now, same, &self.memory, known, context)
            })
            .collect();
        let has_same_order = previous.len() == servers.len()
            && previous.iter().zip(&servers).all(|(a, b)| a.has_order_of(b));
        if !has_same_order {
            self.orders.clear();
        }
        let mut transitions = self.retire_missing(now, &mut previous, &servers);
        for server in &mut servers {
            let registered = availability::Observation::Registered(server.known.registration.state);
            transitions.extend(server.observe(now, registered));
        }
        self.servers = servers;
        transitions
    }

    /// Remembers the processes of `previous` that are not in `servers`, and returns their changes
    /// of state.
    fn retire_missing(
        &mut self,
        now: units_time::MonoInstant,
        previous: &mut [pooled_server::PooledServer],
        servers: &[pooled_server::PooledServer],
    ) -> Vec<availability::Transition> {
        let is_same = |(a, b): (&pooled_server::PooledServer, &pooled_server::PooledServer)| {
            a.process() == b.process()
        };
        if previous.len() == servers.len() && previous.iter().zip(servers).all(is_same) {
            return Vec::new();
        }
        let is_missing = |server: &&mut pooled_server::PooledServer| {
            let process = server.process();
            servers.binary_search_by(|found| found.process().cmp(&process)).is_err()
        };
        let mut transitions = Vec::new();
        for server in previous.iter_mut().filter(is_missing) {
            let (name, started) = server.process();
            self.memory.record(now, name, started, server.availability());
            transitions.extend(server.observe(now, availability::Observation::NotRegistered));
        }
        transitions
    }

    /// Applies a statement about the process that a lease is for, whether or not it is in the pool;
    /// returns the change of its state.
    pub fn observe(
        &mut self,
        now: units_time::MonoInstant,
        lease: &Lease,
        observation: availability::Observation,
    ) -> Option<availability::Transition> {
        if let Some(server) = self.server_mut(lease) {
            return server.observe(now, observation);
        }
        let mut remembered = self.memory.get(&lease.server, lease.started);
        let change = remembered.apply(now, observation);
        self.memory.record(now, &lease.server, lease.started, &remembered);
        let (server, started) = (lease.server.clone(), lease.started);
        change.map(|change| availability::Transition { server, started, change })
    }

    /// Returns whether the server of a lease still accepts new requests.
    pub fn accepts_requests(&self, now: units_time::MonoInstant, lease: &Lease) -> bool {
        let server = self.position(lease).map(|at| &self.servers[at]);
        server.is_some_and(|server| server.availability().state(now).accepts_requests())
    }

    /// Returns when the first server takes requests again, if all those that may run requests in
    /// the failure domains that `allows` accepts are backing off.
    pub fn backoff_end(
        &self,
        now: units_time::MonoInstant,
        allows: &dyn Fn(&id::FailureDomainId) -> bool,
    ) -> Option<units_time::MonoInstant> {
        let backoff_end =
            |server: &pooled_server::PooledServer| match server.availability().state(now) {
                availability::State::BackingOff { until } => Some(until),
                _ => None,
            };
        let servers = self.servers.iter().filter(|server| server.may_serve_in(allows));
        let ends: Option<Vec<_>> = servers.map(backoff_end).collect();
        ends?.into_iter().min()
    }

    /// Chooses a server for a request and counts the request there.
    pub fn acquire(&mut self, now: units_time::MonoInstant, criteria: &Criteria<'_>) -> Choice {
        let homes = match self.homes(now, criteria) {
            Homes::Usable(homes) => homes,
            Homes::NoneEligible => return Choice::NoneEligible,
        };
        let load = |at: &&usize| self.servers[**at].load_permille(now);
        let queued = FULL_PERMILLE * self.options.queued_per_slot_max / (1 + criteria.rank);
        let has_queue_space = |at: &&usize| load(at) < FULL_PERMILLE + queued;
        let has_free_slot = |at: &&usize| load(at) < FULL_PERMILLE;
        let chosen = homes
            .first()
            .filter(has_queue_space)
            .or_else(|| homes.iter().find(has_free_slot))
            .or_else(|| homes.iter().find(has_queue_space))
            .copied();
        chosen.map_or(Choice::Full, |at| {
            let interval = self.cold_interval;
            Choice::Server(self.servers[at].start_request(now, interval))
        })
    }

    /// Returns the usable servers among which a request chooses, the first home first.
    fn homes(&mut self, now: units_time::MonoInstant, criteria: &Criteria<'_>) -> Homes {
        let homes_max = self.options.homes.max(1);
        if let Some(object) = criteria.object {
            let (servers, orders) = (&self.servers, &mut self.orders);
            let bodies = criteria.bodies();
            let candidates = servers.iter().map(|server| server.candidate(bodies));
            let first = orders.first(object, bodies, candidates).iter().copied();
            let homes = usable_among(servers, homes_max, first, now, criteria);
            if homes.len() == homes_max {
                return Homes::Usable(homes);
            }
        }
        let order = self.full_order(criteria);
        match order.iter().any(|at| self.servers[*at].is_eligible(criteria)) {
            true => {
                let order = order.into_iter();
                Homes::Usable(usable_among(&self.servers, homes_max, order, now, criteria))
            }
            false => Homes::NoneEligible,
        }
    }

    /// Returns the positions of all servers in the order in which a request prefers them.
    fn full_order(&self, criteria: &Criteria<'_>) -> Vec<usize> {
        let bodies = criteria.bodies();
        match criteria.object {
            Some(object) => {
                let candidates = self.servers.iter().map(|server| server.candidate(bodies));
                server_order::order(object, candidates)
            }
            None => {
                let mut order: Vec<usize> = (0..self.servers.len()).collect();
                order.sort_by_cached_key(|at| {
                    cmp::Reverse((self.servers[*at].idle_weight(bodies), *at))
                });
                order
            }
        }
    }

    /// Releases a lease with the request's outcome and the load that the server reported.
    pub fn release(
        &mut self,
        now: units_time::MonoInstant,
        lease: &Lease,
        outcome: server_health::AttemptOutcome,
        load: Option<server_health::Load>,
    ) {
        if let Some(server) = self.server_mut(lease) {
            server.health.end_request(now, outcome, load);
        }
    }

    /// Extends the cold time of a server, which reports that it stays cold for `remaining`.
    pub fn set_cold(
        &mut self,
        now: units_time::MonoInstant,
        lease: &Lease,
        remaining: time::Duration,
    ) {
        if let Some(server) = self.server_mut(lease) {
            server.known.cold_until = server.known.cold_until.max(now.after(remaining));
        }
    }

    fn server_mut(&mut self, lease: &Lease) -> Option<&mut pooled_server::PooledServer> {
        self.position(lease).map(|at| &mut self.servers[at])
    }

    fn position(&self, lease: &Lease) -> Option<usize> {
        let process = (&lease.server, lease.started);
        self.servers.binary_search_by(|server| server.process().cmp(&process)).ok()
    }

    /// Returns the number of this machine's requests in progress at all servers.
    pub fn in_flight(&self) -> u32 {
        self.servers.iter().map(|server| server.health.in_flight()).sum()
    }
}

/// Returns the interval between two requests to a cold server.
fn cold_interval(rate_per_second: rate::TokenRate) -> time::Duration {
    let used_rate = rate_per_second.permille(COLD_RATE_USED_PERMILLE);
    used_rate.time_to_yield(rate::NanoTokens(rate::NANO_PER_TOKEN))
}

/// Returns the first `homes_max` of the servers at `order` that may run the request and are usable
/// now.
fn usable_among(
    servers: &[pooled_server::PooledServer],
    homes_max: usize,
    order: impl Iterator<Item = usize>,
    now: units_time::MonoInstant,
    criteria: &Criteria<'_>,
) -> Vec<usize> {
    let is_usable = |at: &usize| servers[*at].is_eligible(criteria) && servers[*at].is_usable(now);
    order.filter(is_usable).take(homes_max).collect()
}
