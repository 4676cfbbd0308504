//! The memory that a machine holds for callers and backend servers, and which connection gives way when
//! it runs out.
//!
//! Every byte is held for a caller's connection. A connection that holds much and moves little gives way
//! first: a body that stops short of its end, or a response that nobody reads. Connections whose
//! requests wait for a backend server don't give way, since the wait is not their callers' doing. A part
//! of the budget is left to connections that hold little, so that ordinary requests are admitted while
//! large ones wait.

use std::net;
use std::time;

use waxwing_units::id;
use waxwing_units::size;
use waxwing_units::time as units_time;

/// The memory that the process takes without any connection: code, tables, and state of other machines.
const PROCESS_BYTES: u64 = 32 * 1024 * 1024;

/// The part of the remaining memory limit that connections may hold, in thousandths; the rest is for the
/// allocator and the kernel.
const TOTAL_PERMILLE: u64 = 750;

/// The part of the budget that connections which hold much may take, in thousandths.
const LARGE_PERMILLE: u64 = 875;

/// The part of the budget that bodies of requests may take, in thousandths.
const BODIES_PERMILLE: u64 = 750;

/// The part of the descriptors that callers' connections may take, as a divisor; connections to backend
/// servers, to the store and to other machines need the rest.
const DESCRIPTORS_DIVISOR: u64 = 2;

/// What a connection holds by itself: its buffers in the process, and its task.
pub const CONNECTION: size::Bytes = size::Bytes(32 * 1024);

/// The memory up to which a connection holds little.
const LITTLE_BYTES: u64 = 128 * 1024;

/// How long a connection is in one phase before it may have to give way; a caller on a slow link has
/// moved something by then.
const EVICTION_AGE: time::Duration = time::Duration::from_secs(2);

/// The time in which the count of recently moved bytes halves.
const RECENT_HALF_LIFE: time::Duration = time::Duration::from_secs(1);

/// The ratio of recently moved to held bytes from which a connection need not give way: it will have
/// moved all that it holds within some seconds.
const PROGRESS_MIN: f64 = 0.25;

/// The limits of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// What all connections together may hold.
    pub total: size::Bytes,
    /// The number of callers' connections.
    pub connections_max: usize,
}

impl Options {
    /// Returns the limits of a process that may use `memory_max` and open `descriptors_max` descriptors.
    pub fn of(memory_max: size::Bytes, descriptors_max: u64) -> Self {
        let connections = descriptors_max / DESCRIPTORS_DIVISOR;
        Self {
            total: permille(memory_max.0.saturating_sub(PROCESS_BYTES), TOTAL_PERMILLE),
            connections_max: usize::try_from(connections).unwrap_or(usize::MAX),
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self::of(size::Bytes(256 * 1024 * 1024), 4_096)
    }
}

const fn permille(bytes: u64, part: u64) -> size::Bytes {
    size::Bytes(bytes / 1_000 * part)
}

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// The head of a request.
    Head,
    /// The body of a request.
    RequestBody,
    /// A response, whose request has run.
    Response,
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// The next request.
    #[default]
    Idle,
    /// The rest of a request from the caller.
    Receiving,
    /// A backend server, or this machine.
    Working,
    /// The caller, which has to read a response.
    Sending,
}

/// The decision on a request for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The memory is held now.
    Granted,
    /// There is no room at present. The connections in `evicted` have to give way; their memory is free
    /// once they have closed it.
    Full {
        /// The connections that give way, in the order of their choice.
        evicted: Vec<id::ConnectionId>,
    },
}

/// A connection and the memory that is held for it.
#[derive(Debug, Clone)]
struct Holder {
    connection: id::ConnectionId,
    address: net::IpAddr,
    held: size::Bytes,
    phase: Phase,
    phase_since: units_time::MonoInstant,
    /// The bytes moved recently, as of `moved_at`.
    recent_bytes: f64,
    moved_at: units_time::MonoInstant,
    is_evicted: bool,
}

/// The memory held for all connections, sorted by connection.
#[derive(Debug, Clone, Default)]
pub struct MemoryBudget {
    options: Options,
    held: size::Bytes,
    holders: Vec<Holder>,
    last_connection: id::ConnectionId,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(options: Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Changes the limits; what exceeds them stays until it is released.
    pub const fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Returns what all connections hold.
    pub const fn held(&self) -> size::Bytes {
        self.held
    }

    /// Returns the number of connections.
    pub const fn connections(&self) -> usize {
        self.holders.len()
    }

    /// Counts a new connection, with what it holds by itself.
    ///
    /// # Errors
    ///
    /// Returns the connections that have to give way if there are too many, or too little memory is left;
    /// the new one is not counted then.
    pub fn open(
        &mut self,
        now: units_time::MonoInstant,
        address: net::IpAddr,
    ) -> Result<id::ConnectionId, Vec<id::ConnectionId>> {
        let excess_connections =
            (self.holders.len() + 1).saturating_sub(self.options.connections_max);
        let excess = (self.held.0 + CONNECTION.0).saturating_sub(self.options.total.0);
        if excess_connections > 0 || excess > 0 {
            return Err(self.evict(now, None, size::Bytes(excess), excess_connections));
        }
        self.last_connection.0 += 1;
        let connection = self.last_connection;
        self.held.0 += CONNECTION.0;
        self.holders.push(Holder {
            connection,
            address,
            held: CONNECTION,
            phase: Phase::Idle,
            phase_since: now,
            recent_bytes: 0.0,
            moved_at: now,
            is_evicted: false,
        });
        Ok(connection)
    }

    /// Holds more memory for a connection, if there is room.
    pub fn reserve(
        &mut self,
        now: units_time::MonoInstant,
        connection: id::ConnectionId,
        purpose: Purpose,
        bytes: size::Bytes,
    ) -> Decision {
        let Ok(at) = self.position(connection) else {
            return Decision::Full { evicted: Vec::new() };
        };
        let limit = self.limit(purpose, self.holders[at].held.0 + bytes.0);
        let excess = (self.held.0 + bytes.0).saturating_sub(limit.0);
        if excess > 0 {
            let evicted = self.evict(now, Some(connection), size::Bytes(excess), 0);
            return Decision::Full { evicted };
        }
        self.held.0 += bytes.0;
        self.holders[at].held.0 += bytes.0;
        Decision::Granted
    }

    /// Returns what all connections may hold after one that holds `own_bytes` gets more.
    const fn limit(&self, purpose: Purpose, own_bytes: u64) -> size::Bytes {
        let total = self.options.total.0;
        if own_bytes <= LITTLE_BYTES {
            return self.options.total;
        }
        match purpose {
            Purpose::Head | Purpose::Response => permille(total, LARGE_PERMILLE),
            Purpose::RequestBody => permille(total, BODIES_PERMILLE),
        }
    }

    /// Releases memory that was held for a connection.
    pub fn release(&mut self, connection: id::ConnectionId, bytes: size::Bytes) {
        if let Ok(at) = self.position(connection) {
            let released = bytes.0.min(self.holders[at].held.0);
            self.holders[at].held.0 -= released;
            self.held.0 -= released;
        }
    }

    /// Records what a connection waits for.
    pub fn set_phase(
        &mut self,
        now: units_time::MonoInstant,
        connection: id::ConnectionId,
        phase: Phase,
    ) {
        if let Ok(at) = self.position(connection)
            && self.holders[at].phase != phase
        {
            self.holders[at].phase = phase;
            self.holders[at].phase_since = now;
        }
    }

    /// Records that a connection has received or sent `bytes`.
    pub fn record_progress(
        &mut self,
        now: units_time::MonoInstant,
        connection: id::ConnectionId,
        bytes: size::Bytes,
    ) {
        if let Ok(at) = self.position(connection) {
            let holder = &mut self.holders[at];
            holder.recent_bytes = holder.recent_bytes(now) + bytes.0 as f64;
            holder.moved_at = now;
        }
    }

    /// Removes a connection and releases all that is held for it.
    pub fn close(&mut self, connection: id::ConnectionId) {
        if let Ok(at) = self.position(connection) {
            self.held.0 -= self.holders[at].held.0;
            self.holders.remove(at);
        }
    }

    fn position(&self, connection: id::ConnectionId) -> Result<usize, usize> {
        self.holders.binary_search_by_key(&connection, |holder| holder.connection)
    }

    /// Chooses the connections that give way so that `excess` bytes and `connections` connections get
    /// free; none if that can't be reached, or is already under way.
    fn evict(
        &mut self,
        now: units_time::MonoInstant,
        requester: Option<id::ConnectionId>,
        excess: size::Bytes,
        connections: usize,
    ) -> Vec<id::ConnectionId> {
        let leaving = self.holders.iter().filter(|holder| holder.is_evicted);
        let (leaving_bytes, leaving_count) =
            leaving.fold((0, 0), |(bytes, count), holder| (bytes + holder.held.0, count + 1));
        let mut missing_bytes = excess.0.saturating_sub(leaving_bytes);
        let mut missing_count = connections.saturating_sub(leaving_count);
        let mut victims = Vec::new();
        for at in self.eviction_order(now, requester) {
            if missing_bytes == 0 && missing_count == 0 {
                break;
            }
            missing_bytes = missing_bytes.saturating_sub(self.holders[at].held.0);
            missing_count = missing_count.saturating_sub(1);
            victims.push(at);
        }
        if missing_bytes > 0 || missing_count > 0 {
            return Vec::new();
        }
        victims.iter().for_each(|at| self.holders[*at].is_evicted = true);
        victims.into_iter().map(|at| self.holders[at].connection).collect()
    }

    /// Returns the positions of the connections that may have to give way: those of the address that
    /// holds most first, and of these the ones with the least progress for what they hold.
    fn eviction_order(
        &self,
        now: units_time::MonoInstant,
        requester: Option<id::ConnectionId>,
    ) -> Vec<usize> {
        let heaviest = self.heaviest_address();
        let may_give_way = |holder: &Holder| {
            !holder.is_evicted
                && Some(holder.connection) != requester
                && holder.phase != Phase::Working
                && now.since(holder.phase_since) >= EVICTION_AGE
                && holder.progress(now) < PROGRESS_MIN
        };
        let mut order: Vec<(bool, f64, usize)> = self
            .holders
            .iter()
            .enumerate()
            .filter(|(_, holder)| may_give_way(holder))
            .map(|(at, holder)| (Some(holder.address) != heaviest, holder.progress(now), at))
            .collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        order.into_iter().map(|(_, _, at)| at).collect()
    }

    /// Returns the address for whose connections most memory is held.
    fn heaviest_address(&self) -> Option<net::IpAddr> {
        let mut by_address: Vec<(net::IpAddr, u64)> = Vec::new();
        for holder in &self.holders {
            match by_address.binary_search_by_key(&holder.address, |(address, _)| *address) {
                Ok(at) => by_address[at].1 += holder.held.0,
                Err(at) => by_address.insert(at, (holder.address, holder.held.0)),
            }
        }
        by_address.into_iter().max_by_key(|(_, bytes)| *bytes).map(|(address, _)| address)
    }
}

impl Holder {
    /// Returns the bytes moved recently, where those of one half-life ago count half.
    fn recent_bytes(&self, now: units_time::MonoInstant) -> f64 {
        let half_lives = now.since(self.moved_at).as_secs_f64() / RECENT_HALF_LIFE.as_secs_f64();
        self.recent_bytes * 0.5_f64.powf(half_lives)
    }

    /// Returns the recently moved bytes for each byte that is held.
    fn progress(&self, now: units_time::MonoInstant) -> f64 {
        self.recent_bytes(now) / self.held.0.max(1) as f64
    }
}
