//! One backend server of a pool: whether it may run a request, its place in orders, and its load.

use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::availability;
use crate::placement;
use crate::server_health;
use crate::server_order;
use crate::server_set;

/// How long a server counts as cold after the evacuation of its failure domain ends: the
/// longest time until it has reported its cold time.
const COLD_AFTER_EVACUATION: time::Duration = time::Duration::from_millis(4_000);

/// One server of a pool, with its health.
#[derive(Debug, Clone)]
pub(crate) struct PooledServer {
    pub(crate) known: server_set::KnownServer,
    pub(crate) health: server_health::ServerHealth,
    availability: availability::Availability,
    is_evacuated: bool,
    is_owned: bool,
    slot_weight: placement::SlotWeight,
    assumed_cold_until: units_time::MonoInstant,
    next_cold_request_at: units_time::MonoInstant,
}

impl PooledServer {
    /// Returns the server as the store and the configuration say; its state is that of `previous`,
    /// or what `memory` holds of its responses.
    pub(crate) fn updated(
        now: units_time::MonoInstant,
        previous: Option<&Self>,
        memory: &availability::Memory,
        known: &server_set::KnownServer,
        context: &placement::Context<'_>,
    ) -> Self {
        let is_evacuated =
            context.evacuated.binary_search(&known.registration.failure_domain).is_ok();
        let mut server =
            previous.cloned().unwrap_or_else(|| Self::new(now, memory, known, is_evacuated));
        if server.is_evacuated && !is_evacuated {
            server.assumed_cold_until = now.after(COLD_AFTER_EVACUATION);
        }
        server.is_evacuated = is_evacuated;
        server.slot_weight = (context.slot_weight)(&known.registration.failure_domain);
        let cold_until = server.known.cold_until.max(known.cold_until);
        server.known = server_set::KnownServer { cold_until, ..known.clone() };
        // Finding the owner costs a hash for each machine, and matters for cold servers only.
        server.is_owned = server.is_cold(now) && (context.owns)(&known.registration.server);
        server
    }

    fn new(
        now: units_time::MonoInstant,
        memory: &availability::Memory,
        known: &server_set::KnownServer,
        is_evacuated: bool,
    ) -> Self {
        let registration = &known.registration;
        let availability = memory.get(&registration.server, registration.started);
        let mut health = server_health::ServerHealth::default();
        if let availability::State::BackingOff { until } = availability.state(now) {
            health.eject_until(until);
        }
        Self {
            known: known.clone(),
            health,
            availability,
            is_evacuated,
            is_owned: false,
            slot_weight: placement::SlotWeight { small_bodies: 1, large_bodies: 1 },
            assumed_cold_until: units_time::MonoInstant::default(),
            next_cold_request_at: now,
        }
    }

    /// Applies a statement about the server's process; returns the transition if its state is
    /// another one now.
    pub(crate) fn observe(
        &mut self,
        now: units_time::MonoInstant,
        observation: availability::Observation,
    ) -> Option<availability::Transition> {
        if let availability::Observation::BackoffRequested { until } = observation
            && now < until
        {
            self.health.eject_until(until);
        }
        let change = self.availability.apply(now, observation)?;
        let registration = &self.known.registration;
        let (server, started) = (registration.server.clone(), registration.started);
        Some(availability::Transition { server, started, change })
    }

    pub(crate) const fn availability(&self) -> &availability::Availability {
        &self.availability
    }

    /// Returns whether both servers take the same places in the orders of all objects.
    pub(crate) fn has_order_of(&self, other: &Self) -> bool {
        let (a, b) = (&self.known.registration, &other.known.registration);
        a.server == b.server && a.slots == b.slots && self.slot_weight == other.slot_weight
    }

    /// Returns the name and the incarnation of the server's process.
    pub(crate) const fn process(&self) -> (&id::BackendServerId, id::Incarnation) {
        (&self.known.registration.server, self.known.registration.started)
    }

    pub(crate) fn is_eligible(&self, criteria: &placement::Criteria<'_>) -> bool {
        !criteria.tried.contains(&self.known.registration.server)
            && self.may_serve_in(criteria.allows)
    }

    /// Returns whether the server takes requests, now or after a backoff, in a failure domain that
    /// `allows` accepts.
    pub(crate) fn may_serve_in(&self, allows: &dyn Fn(&id::FailureDomainId) -> bool) -> bool {
        !self.availability.is_excluded()
            && !self.is_evacuated
            && allows(&self.known.registration.failure_domain)
    }

    /// Returns what the order of servers for an object depends on.
    pub(crate) fn candidate(&self, bodies: server_order::Bodies) -> server_order::Candidate<'_> {
        let registration = &self.known.registration;
        let slot_weight = self.slot_weight(bodies).max(1);
        let share = registration.slots.max(1).saturating_mul(slot_weight);
        server_order::Candidate { name: registration.server.as_str(), share }
    }

    /// Returns the server's weight for a request without an object.
    pub(crate) fn idle_weight(&self, bodies: server_order::Bodies) -> u64 {
        let slot_weight = self.slot_weight(bodies);
        u64::from(slot_weight) * u64::from(u32::MAX - self.health.in_flight())
    }

    pub(crate) const fn slot_weight(&self, bodies: server_order::Bodies) -> u32 {
        match bodies {
            server_order::Bodies::Small => self.slot_weight.small_bodies,
            server_order::Bodies::Large => self.slot_weight.large_bodies,
        }
    }

    pub(crate) fn is_cold(&self, now: units_time::MonoInstant) -> bool {
        now < self.known.cold_until || now < self.assumed_cold_until
    }

    /// Returns whether the server may receive any request now.
    pub(crate) fn is_usable(&self, now: units_time::MonoInstant) -> bool {
        if !self.availability.state(now).accepts_requests() || !self.health.accepts_request(now) {
            return false;
        }
        !self.is_cold(now) || (self.is_owned && now >= self.next_cold_request_at)
    }

    /// Returns the load of the server, in thousandths of its slots.
    pub(crate) fn load_permille(&self, now: units_time::MonoInstant) -> u32 {
        self.health.load(now).saturating_mul(1_000) / self.known.registration.slots.max(1)
    }

    pub(crate) fn start_request(
        &mut self,
        now: units_time::MonoInstant,
        cold_interval: time::Duration,
    ) -> placement::Lease {
        if self.is_cold(now) {
            self.next_cold_request_at = now.after(cold_interval);
        }
        self.health.begin_request();
        let registration = &self.known.registration;
        placement::Lease {
            server: registration.server.clone(),
            started: registration.started,
            address: registration.address,
        }
    }
}
