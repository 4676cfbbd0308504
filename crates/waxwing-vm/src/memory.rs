//! The memory held for callers' connections, shared by all threads; [`memory_budget`] decides.

use std::future;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use parking_lot::Mutex;
use tokio::sync::Notify;
use waxwing_machine::memory_budget;
use waxwing_process::clock;
use waxwing_process::log_limiter;
use waxwing_process::timer;
use waxwing_units::id;
use waxwing_units::size;

/// The most log lines per second about each of evictions and refusals.
const LOG_LINES_MAX_PER_S: u32 = 1;

/// The error for memory that is not available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too much memory is held for other connections")]
pub struct Full;

/// The result of a request for memory.
pub type Result<T> = std::result::Result<T, Full>;

/// Tells a connection that it has to give way.
#[derive(Debug, Default)]
struct Eviction {
    has_come: atomic::AtomicBool,
    notify: Notify,
}

impl Eviction {
    fn set(&self) {
        self.has_come.store(true, atomic::Ordering::Release);
        self.notify.notify_waiters();
    }

    async fn wait(&self) {
        // A notification is kept from here on, so none between the check and the wait is missed.
        let notified = self.notify.notified();
        if !self.has_come.load(atomic::Ordering::Acquire) {
            notified.await;
        }
    }
}

#[derive(Debug)]
struct State {
    budget: memory_budget::MemoryBudget,
    /// The open connections, sorted.
    evictions: Vec<(id::ConnectionId, sync::Arc<Eviction>)>,
}

impl State {
    fn notify_evicted(&self, evicted: &[id::ConnectionId]) {
        for connection in evicted {
            if let Ok(at) = self.evictions.binary_search_by_key(connection, |(id, _)| *id) {
                self.evictions[at].1.set();
            }
        }
    }
}

/// The memory that a process holds for callers' connections.
#[derive(Debug)]
pub struct Memory {
    state: Mutex<State>,
    released: Notify,
    evictions: atomic::AtomicU64,
    refusals: atomic::AtomicU64,
    eviction_log: log_limiter::LogLimiter,
    refusal_log: log_limiter::LogLimiter,
}

/// One caller's connection, counted until it and all its reservations are dropped.
#[derive(Debug)]
pub struct Connection {
    memory: sync::Arc<Memory>,
    id: id::ConnectionId,
    eviction: sync::Arc<Eviction>,
}

/// A connection as its tasks share it.
pub type SharedConnection = sync::Arc<Connection>;

/// Memory held for one connection, released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    connection: SharedConnection,
    purpose: memory_budget::Purpose,
    reserved: size::Bytes,
}

impl Memory {
    /// Creates the memory of a process with no connections.
    pub fn new(options: memory_budget::Options) -> Self {
        let budget = memory_budget::MemoryBudget::new(options);
        Self {
            state: Mutex::new(State { budget, evictions: Vec::new() }),
            released: Notify::new(),
            evictions: atomic::AtomicU64::new(0),
            refusals: atomic::AtomicU64::new(0),
            eviction_log: log_limiter::LogLimiter::new(LOG_LINES_MAX_PER_S),
            refusal_log: log_limiter::LogLimiter::new(LOG_LINES_MAX_PER_S),
        }
    }

    /// Changes the limits.
    pub fn set_options(&self, options: memory_budget::Options) {
        self.state.lock().budget.set_options(options);
    }

    /// Returns the bytes held for all connections.
    pub fn held(&self) -> size::Bytes {
        self.state.lock().budget.held()
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.state.lock().budget.connections()
    }

    /// Returns how many connections have had to give way.
    pub fn evictions(&self) -> u64 {
        self.evictions.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many connections and requests were refused for lack of memory or descriptors.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(atomic::Ordering::Relaxed)
    }

    /// Counts a new connection of a caller at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it; others may have to give way then.
    pub fn connect(self: &sync::Arc<Self>, address: net::IpAddr) -> Result<SharedConnection> {
        let mut state = self.state.lock();
        match state.budget.open(clock::now(), address) {
            Ok(id) => {
                let eviction = sync::Arc::<Eviction>::default();
                state.evictions.push((id, eviction.clone()));
                Ok(sync::Arc::new(Connection { memory: self.clone(), id, eviction }))
            }
            Err(evicted) => {
                self.record_full(&state, &evicted);
                self.record_refusal();
                Err(Full)
            }
        }
    }

    fn record_full(&self, state: &State, evicted: &[id::ConnectionId]) {
        state.notify_evicted(evicted);
        self.evictions.fetch_add(evicted.len() as u64, atomic::Ordering::Relaxed);
        if evicted.is_empty() {
            return;
        }
        let admitted = self.eviction_log.admit(clock::now(), log_limiter::Kind::Failure);
        if let Some(left_out) = admitted {
            log::warn!(
                "{} of {} connections have to give way; {} are held; {left_out} lines left out",
                evicted.len(),
                state.budget.connections(),
                state.budget.held(),
            );
        }
    }

    fn record_refusal(&self) {
        self.refusals.fetch_add(1, atomic::Ordering::Relaxed);
        let admitted = self.refusal_log.admit(clock::now(), log_limiter::Kind::Failure);
        if let Some(left_out) = admitted {
            log::warn!("no memory for a connection or a request; {left_out} lines left out");
        }
    }
}

impl Connection {
    /// Returns an empty reservation.
    pub fn reservation(self: &SharedConnection, purpose: memory_budget::Purpose) -> Reservation {
        Reservation { connection: self.clone(), purpose, reserved: size::Bytes(0) }
    }

    /// Records what the connection waits for.
    pub fn set_phase(&self, phase: memory_budget::Phase) {
        self.memory.state.lock().budget.set_phase(clock::now(), self.id, phase);
    }

    /// Records that `bytes` were received or sent.
    pub fn record_progress(&self, bytes: usize) {
        let bytes = size::Bytes(bytes as u64);
        self.memory.state.lock().budget.record_progress(clock::now(), self.id, bytes);
    }

    /// Waits until the connection has to give way.
    pub async fn evicted(&self) {
        self.eviction.wait().await;
    }

    /// Awaits a future unless the connection has to give way before it ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has to give way; the future is dropped then.
    pub async fn unless_evicted<F: future::Future>(&self, awaited: F) -> Result<F::Output> {
        let mut awaited = pin::pin!(awaited);
        let mut evicted = pin::pin!(self.evicted());
        future::poll_fn(|context| match awaited.as_mut().poll(context) {
            task::Poll::Ready(output) => task::Poll::Ready(Ok(output)),
            task::Poll::Pending => evicted.as_mut().poll(context).map(|()| Err(Full)),
        })
        .await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.memory.state.lock();
        state.budget.close(self.id);
        if let Ok(at) = state.evictions.binary_search_by_key(&self.id, |(id, _)| *id) {
            state.evictions.remove(at);
        }
        drop(state);
        self.memory.released.notify_waiters();
    }
}

impl Reservation {
    /// Returns the connection that the memory is held for.
    pub const fn connection(&self) -> &SharedConnection {
        &self.connection
    }

    /// Reserves `more`, if there is room for it now.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none.
    pub fn try_grow(&mut self, more: size::Bytes) -> Result<()> {
        let grown = self.try_reserve(more);
        if grown.is_err() {
            self.connection.memory.record_refusal();
        }
        grown
    }

    /// Reserves `more`, and waits for room for `wait_max` at most.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no room by then, or if the connection has to give way.
    pub async fn grow(&mut self, more: size::Bytes, wait_max: time::Duration) -> Result<()> {
        if self.try_reserve(more).is_ok() {
            return Ok(());
        }
        let connection = self.connection.clone();
        let waiting = async {
            loop {
                let released = connection.memory.released.notified();
                if self.try_reserve(more).is_ok() {
                    return;
                }
                released.await;
            }
        };
        let grown = timer::timeout(wait_max, waiting).await;
        if grown.is_err() {
            connection.memory.record_refusal();
        }
        grown.map_err(|timer::Elapsed| Full)
    }

    fn try_reserve(&mut self, more: size::Bytes) -> Result<()> {
        let Connection { memory, id, .. } = self.connection.as_ref();
        let mut state = memory.state.lock();
        match state.budget.reserve(clock::now(), *id, self.purpose, more) {
            memory_budget::Decision::Granted => {
                self.reserved.0 += more.0;
                Ok(())
            }
            memory_budget::Decision::Full { evicted } => {
                memory.record_full(&state, &evicted);
                Err(Full)
            }
        }
    }

    /// Releases a part of the memory.
    pub fn shrink(&mut self, bytes: size::Bytes) {
        let released = size::Bytes(bytes.0.min(self.reserved.0));
        self.reserved.0 -= released.0;
        let Connection { memory, id, .. } = self.connection.as_ref();
        memory.state.lock().budget.release(*id, released);
        memory.released.notify_waiters();
    }

    /// Returns the size of the reservation.
    pub const fn reserved(&self) -> size::Bytes {
        self.reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.reserved.0 > 0 {
            self.shrink(self.reserved);
        }
    }
}
