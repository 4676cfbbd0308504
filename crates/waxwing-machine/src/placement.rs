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

use std::net;
use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::server_health;
use crate::server_registration;
use crate::server_set;

/// How long a server counts as cold after the evacuation of its failure domain ends: the
/// longest time until it has reported its cold time.
const COLD_AFTER_EVACUATION: time::Duration = time::Duration::from_millis(4_000);

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
    /// No server at present: all are full, ejected or cold.
    Full,
    /// No server may run the request.
    NoneEligible,
}

/// The inputs of the choice beside the servers' registrations.
pub struct Context<'a> {
    /// The evacuated failure domains, whose servers receive no requests as long as the store says
    /// so; sorted.
    pub evacuated: &'a [id::FailureDomainId],
    /// Returns whether this machine owns a server; only the owner sends to a cold server.
    pub owns: &'a dyn Fn(&id::BackendServerId) -> bool,
    /// Returns the slot weight of a failure domain's servers.
    pub slot_weight: &'a dyn Fn(&id::FailureDomainId) -> SlotWeight,
    /// The rate of requests that a cold server can handle from all machines together.
    pub cold_rate_per_second: rate::TokenRate,
    /// The settings of the choice of a server.
    pub options: Options,
}

/// One server of a pool, with its health.
#[derive(Debug, Clone)]
struct PooledServer {
    known: server_set::KnownServer,
    health: server_health::ServerHealth,
    is_evacuated: bool,
    is_owned: bool,
    slot_weight: SlotWeight,
    assumed_cold_until: units_time::MonoInstant,
    next_cold_request_at: units_time::MonoInstant,
}

/// The servers of one service, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    options: Options,
    servers: Vec<PooledServer>,
    cold_interval: time::Duration,
}

impl Pool {
    /// Replaces the servers with `known`, those of this service, sorted by name. A server keeps
    /// its state until its process restarts.
    pub fn update(
        &mut self,
        now: units_time::MonoInstant,
        known: &[&server_set::KnownServer],
        context: &Context<'_>,
    ) {
        self.options = context.options;
        self.cold_interval = cold_interval(context.cold_rate_per_second);
        let previous = std::mem::take(&mut self.servers);
        self.servers = known
            .iter()
            .map(|known| {
                let found = previous.binary_search_by(|p| {
                    p.known.registration.server.cmp(&known.registration.server)
                });
                let same = found.ok().map(|at| &previous[at]).filter(|server| {
                    server.known.registration.started == known.registration.started
                });
                PooledServer::updated(now, same, known, context)
            })
            .collect();
    }

    /// Chooses a server for a request and counts the request there.
    pub fn acquire(&mut self, now: units_time::MonoInstant, criteria: &Criteria<'_>) -> Choice {
        let eligible = self.eligible(criteria);
        if eligible.is_empty() {
            return Choice::NoneEligible;
        }
        let homes: Vec<usize> = eligible
            .into_iter()
            .filter(|at| self.servers[*at].is_usable(now))
            .take(self.options.homes.max(1))
            .collect();
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

    /// Returns the indexes of the servers that may run a request, with the object's homes first.
    fn eligible(&self, criteria: &Criteria<'_>) -> Vec<usize> {
        let mut order: Vec<(u64, usize)> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| server.is_eligible(criteria))
            .map(|(at, server)| (server.weight(criteria), at))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.into_iter().map(|(_, at)| at).collect()
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

    /// Removes a server that has left or whose address another server has taken over.
    pub fn remove(&mut self, lease: &Lease) {
        self.servers.retain(|server| !server.holds(lease));
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

    fn server_mut(&mut self, lease: &Lease) -> Option<&mut PooledServer> {
        self.servers.iter_mut().find(|server| server.holds(lease))
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

impl PooledServer {
    fn updated(
        now: units_time::MonoInstant,
        previous: Option<&Self>,
        known: &server_set::KnownServer,
        context: &Context<'_>,
    ) -> Self {
        let is_evacuated =
            context.evacuated.binary_search(&known.registration.failure_domain).is_ok();
        let mut server = previous.cloned().unwrap_or_else(|| Self {
            known: known.clone(),
            health: server_health::ServerHealth::default(),
            is_evacuated,
            is_owned: false,
            slot_weight: SlotWeight { small_bodies: 1, large_bodies: 1 },
            assumed_cold_until: units_time::MonoInstant::default(),
            next_cold_request_at: now,
        });
        if server.is_evacuated && !is_evacuated {
            server.assumed_cold_until = now.after(COLD_AFTER_EVACUATION);
        }
        server.is_evacuated = is_evacuated;
        server.is_owned = (context.owns)(&known.registration.server);
        server.slot_weight = (context.slot_weight)(&known.registration.failure_domain);
        server.known = known.clone();
        server
    }

    fn holds(&self, lease: &Lease) -> bool {
        let registration = &self.known.registration;
        registration.server == lease.server && registration.started == lease.started
    }

    fn is_eligible(&self, criteria: &Criteria<'_>) -> bool {
        let registration = &self.known.registration;
        registration.state == server_registration::State::Ready
            && !self.is_evacuated
            && !criteria.tried.contains(&registration.server)
            && (criteria.allows)(&registration.failure_domain)
    }

    /// Returns the server's weight for a request; the server with the highest comes first.
    fn weight(&self, criteria: &Criteria<'_>) -> u64 {
        let registration = &self.known.registration;
        let slot_weight = if criteria.has_large_bodies {
            self.slot_weight.large_bodies
        } else {
            self.slot_weight.small_bodies
        };
        match criteria.object {
            Some(object) => {
                let share = registration.slots.max(1).saturating_mul(slot_weight.max(1));
                rendezvous::weighted(object, registration.server.as_str(), share)
            }
            None => u64::from(slot_weight) * u64::from(u32::MAX - self.health.in_flight()),
        }
    }

    fn is_cold(&self, now: units_time::MonoInstant) -> bool {
        now < self.known.cold_until || now < self.assumed_cold_until
    }

    /// Returns whether the server may receive any request now.
    fn is_usable(&self, now: units_time::MonoInstant) -> bool {
        if self.health.is_ejected(now)
            || (self.health.is_on_probation() && self.health.in_flight() > 0)
        {
            return false;
        }
        !self.is_cold(now) || (self.is_owned && now >= self.next_cold_request_at)
    }

    /// Returns the load of the server, in thousandths of its slots.
    fn load_permille(&self, now: units_time::MonoInstant) -> u32 {
        self.health.load(now).saturating_mul(1_000) / self.known.registration.slots.max(1)
    }

    fn start_request(
        &mut self,
        now: units_time::MonoInstant,
        cold_interval: time::Duration,
    ) -> Lease {
        if self.is_cold(now) {
            self.next_cold_request_at = now.after(cold_interval);
        }
        self.health.begin_request();
        let registration = &self.known.registration;
        Lease {
            server: registration.server.clone(),
            started: registration.started,
            address: registration.address,
        }
    }
}
