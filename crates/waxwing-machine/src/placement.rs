//! The choice among all backend servers of a service, by object.
//!
//! A server that handled an object lately is quicker at it, so each object has its homes: the
//! first usable servers in the order of a rendezvous that is the same on all machines. A request
//! goes to its first home as long as few wait there, or else to another home. It never goes beyond
//! its homes, however high the load: a server that handles everything is quick at nothing, and a
//! system that spilled over once would stay slow.
//!
//! A cold server bears few requests a second from all machines together, so only the machine that
//! owns it sends to it, at a pace. The same goes for a server of which nobody knows whether it is
//! cold: one that has failed, or whose failure domain was evacuated, until it registers again.

use std::net;
use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::server_health;
use crate::server_registration;
use crate::server_set;

/// How long a server counts as cold after its failure domain is taken back: as long as it may
/// take until it has said how cold it is.
const TAKEN_BACK_UNKNOWN: time::Duration = time::Duration::from_millis(4_000);

/// The part of the pace of a cold server that is used, in thousandths.
const COLD_PACE_PERMILLE: u64 = 800;

/// All slots of a server, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// How requests are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The homes of an object.
    pub homes: usize,
    /// Requests that may wait at a server for each of its slots.
    pub queued_per_slot_max: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { homes: 2, queued_per_slot_max: 1 }
    }
}

/// The weight of each slot of a failure domain's servers among the homes of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotWeight {
    /// For objects whose requests have small bodies.
    pub small_bodies: u32,
    /// For objects whose requests have large ones.
    pub large_bodies: u32,
}

/// What a request wants.
#[derive(Clone, Copy)]
pub struct Criteria<'a> {
    /// The object that the request is about.
    pub object: Option<&'a str>,
    /// Whether a failure domain may run the request.
    pub allows: &'a dyn Fn(&id::FailureDomainId) -> bool,
    /// Whether requests of its route have large bodies.
    pub has_large_bodies: bool,
    /// How many ranks of requests are more urgent; each one leaves less room to wait.
    pub rank: u32,
    /// Servers that the request was sent to already.
    pub tried: &'a [id::BackendServerId],
}

/// Names a server while a request is at it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The server's name.
    pub server: id::BackendServerId,
    /// Its start.
    pub started: id::Incarnation,
    /// Where it listens.
    pub address: net::SocketAddr,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To a server that has room.
    Server(Lease),
    /// Nowhere now: all servers are full, at rest or cold.
    Full,
    /// Nowhere: no server may run it.
    NoneEligible,
}

/// What is known beside the servers' registrations.
pub struct Context<'a> {
    /// Failure domains whose servers get nothing, sorted.
    pub evacuated: &'a [id::FailureDomainId],
    /// Whether this machine owns a server: it alone sends to it while it is cold.
    pub owns: &'a dyn Fn(&id::BackendServerId) -> bool,
    /// The pull of a failure domain's servers.
    pub slot_weight: &'a dyn Fn(&id::FailureDomainId) -> SlotWeight,
    /// Requests a second that a cold server bears.
    pub cold_rate_per_second: rate::TokenRate,
    /// How requests are placed.
    pub options: Options,
}

/// One server and its strain.
#[derive(Debug, Clone)]
struct Place {
    known: server_set::KnownServer,
    strain: server_health::ServerHealth,
    is_evacuated: bool,
    is_owned: bool,
    pull: SlotWeight,
    unknown_until: units_time::MonoInstant,
    cold_next_at: units_time::MonoInstant,
}

/// The servers of one service, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    options: Options,
    places: Vec<Place>,
    cold_interval: time::Duration,
}

impl Pool {
    /// Takes in which servers there are; `known` holds those of this service, sorted by name.
    pub fn update(
        &mut self,
        now: units_time::MonoInstant,
        known: &[&server_set::KnownServer],
        around: &Context<'_>,
    ) {
        self.options = around.options;
        self.cold_interval = cold_interval(around.cold_rate_per_second);
        let before = std::mem::take(&mut self.places);
        self.places = known
            .iter()
            .map(|known| {
                let found = before.binary_search_by(|p| {
                    p.known.registration.server.cmp(&known.registration.server)
                });
                let same = found
                    .ok()
                    .map(|at| &before[at])
                    .filter(|place| place.known.registration.started == known.registration.started);
                Place::next(now, same, known, around)
            })
            .collect();
    }

    /// Chooses where a request goes and counts it there.
    pub fn acquire(&mut self, now: units_time::MonoInstant, want: &Criteria<'_>) -> Choice {
        let order = self.order(want);
        if order.is_empty() {
            return Choice::NoneEligible;
        }
        let homes: Vec<usize> = order
            .into_iter()
            .filter(|at| self.places[*at].is_usable(now))
            .take(self.options.homes.max(1))
            .collect();
        let load = |at: &&usize| self.places[**at].strain_permille(now);
        let queued = FULL_PERMILLE * self.options.queued_per_slot_max / (1 + want.rank);
        let has_room = |at: &&usize| load(at) < FULL_PERMILLE + queued;
        let has_free_slot = |at: &&usize| load(at) < FULL_PERMILLE;
        let chosen = homes
            .first()
            .filter(has_room)
            .or_else(|| homes.iter().find(has_free_slot))
            .or_else(|| homes.iter().find(has_room))
            .copied();
        chosen.map_or(Choice::Full, |at| {
            let interval = self.cold_interval;
            Choice::Server(self.places[at].begin(now, interval))
        })
    }

    /// Returns the servers that may run a request, the object's homes first.
    fn order(&self, want: &Criteria<'_>) -> Vec<usize> {
        let mut order: Vec<(u64, usize)> = self
            .places
            .iter()
            .enumerate()
            .filter(|(_, place)| place.may_run(want))
            .map(|(at, place)| (place.weight(want), at))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.into_iter().map(|(_, at)| at).collect()
    }

    /// Notes how a request ended, and what the server said of its load.
    pub fn release(
        &mut self,
        now: units_time::MonoInstant,
        lease: &Lease,
        ending: server_health::AttemptOutcome,
        load: Option<server_health::Load>,
    ) {
        if let Some(place) = self.place_mut(lease) {
            place.strain.end_request(now, ending, load);
        }
    }

    /// Notes that a server has gone or that another one has its address.
    pub fn remove(&mut self, lease: &Lease) {
        self.places.retain(|place| !place.is(lease));
    }

    /// Notes that a server says of itself that it stays cold for `left`.
    pub fn set_cold(&mut self, now: units_time::MonoInstant, lease: &Lease, left: time::Duration) {
        if let Some(place) = self.place_mut(lease) {
            place.known.cold_until = place.known.cold_until.max(now.after(left));
        }
    }

    fn place_mut(&mut self, lease: &Lease) -> Option<&mut Place> {
        self.places.iter_mut().find(|place| place.is(lease))
    }

    /// Returns this machine's requests at all servers.
    pub fn in_flight(&self) -> u32 {
        self.places.iter().map(|place| place.strain.in_flight()).sum()
    }
}

/// Returns the pause between two requests to a cold server.
fn cold_interval(rate_per_second: rate::TokenRate) -> time::Duration {
    let pace = rate_per_second.permille(COLD_PACE_PERMILLE);
    pace.time_to_yield(rate::NanoTokens(rate::NANO_PER_TOKEN))
}

impl Place {
    fn next(
        now: units_time::MonoInstant,
        before: Option<&Self>,
        known: &server_set::KnownServer,
        around: &Context<'_>,
    ) -> Self {
        let is_evacuated =
            around.evacuated.binary_search(&known.registration.failure_domain).is_ok();
        let mut place = before.cloned().unwrap_or_else(|| Self {
            known: known.clone(),
            strain: server_health::ServerHealth::default(),
            is_evacuated,
            is_owned: false,
            pull: SlotWeight { small_bodies: 1, large_bodies: 1 },
            unknown_until: units_time::MonoInstant::default(),
            cold_next_at: now,
        });
        if place.is_evacuated && !is_evacuated {
            place.unknown_until = now.after(TAKEN_BACK_UNKNOWN);
        }
        place.is_evacuated = is_evacuated;
        place.is_owned = (around.owns)(&known.registration.server);
        place.pull = (around.slot_weight)(&known.registration.failure_domain);
        place.known = known.clone();
        place
    }

    fn is(&self, lease: &Lease) -> bool {
        let registered = &self.known.registration;
        registered.server == lease.server && registered.started == lease.started
    }

    fn may_run(&self, want: &Criteria<'_>) -> bool {
        let registered = &self.known.registration;
        registered.state == server_registration::State::Ready
            && !self.is_evacuated
            && !want.tried.contains(&registered.server)
            && (want.allows)(&registered.failure_domain)
    }

    /// Returns the server's weight for a request; the highest comes first.
    fn weight(&self, want: &Criteria<'_>) -> u64 {
        let registered = &self.known.registration;
        let pull =
            if want.has_large_bodies { self.pull.large_bodies } else { self.pull.small_bodies };
        match want.object {
            Some(object) => {
                let share = registered.slots.max(1).saturating_mul(pull.max(1));
                rendezvous::weighted(object, registered.server.as_str(), share)
            }
            None => u64::from(pull) * u64::from(u32::MAX - self.strain.in_flight()),
        }
    }

    fn is_cold(&self, now: units_time::MonoInstant) -> bool {
        now < self.known.cold_until || now < self.unknown_until
    }

    /// Tells whether the server may be sent anything at all now.
    fn is_usable(&self, now: units_time::MonoInstant) -> bool {
        if self.strain.is_ejected(now)
            || (self.strain.is_on_probation() && self.strain.in_flight() > 0)
        {
            return false;
        }
        !self.is_cold(now) || (self.is_owned && now >= self.cold_next_at)
    }

    /// Returns how full the server is, in thousandths of its slots.
    fn strain_permille(&self, now: units_time::MonoInstant) -> u32 {
        self.strain.load(now) * 1_000 / self.known.registration.slots.max(1)
    }

    fn begin(&mut self, now: units_time::MonoInstant, cold_interval: time::Duration) -> Lease {
        if self.is_cold(now) {
            self.cold_next_at = now.after(cold_interval);
        }
        self.strain.begin_request();
        let registered = &self.known.registration;
        Lease {
            server: registered.server.clone(),
            started: registered.started,
            address: registered.address,
        }
    }
}
