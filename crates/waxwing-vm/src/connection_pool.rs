//! Idle connections to backend servers, kept for reuse by the requests of one worker thread.
//!
//! Each connection is an HTTP client limited to a single connection. A client that finds its
//! connection closed opens another and records the state `Connecting`; if that fails, the request
//! is known not to have run.
//!
//! A server may drop an idle connection silently and reset it on the next request. A request that
//! may run more than once is then retried; one that may not fails. So once a connection was found
//! reset after some idle time, requests that run at most once use only connections idle for less
//! than half of that time.
//!
//! A faulty server may repeat an earlier refusal at the point where a response is expected. The id
//! tells it from the response, unless both requests have the same id. So a connection on which a
//! request was refused carries no other request with that id.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use ntex::client;
use ntex::client::error as client_error;
use ntex::connect;
use ntex::http;
use ntex::service;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_request::attempt;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::leased_server;
use crate::response_guard;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// The shortest idle time after which a reset is attributed to a dropped idle connection.
const IDLE_RESET_MIN: time::Duration = time::Duration::from_millis(100);

/// How long an observed reset limits the reuse of idle connections.
const IDLE_RESET_VALIDITY: time::Duration = time::Duration::from_secs(60);

/// The number of refusals after which a connection is not reused.
const REFUSALS_MAX: usize = 256;

/// How far an attempt has got, updated by the client's connector.
pub type StateCell = rc::Rc<cell::Cell<attempt::State>>;

/// The server process that a connection leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Endpoint {
    address: net::SocketAddr,
    server: id::BackendServerId,
    started: id::Incarnation,
}

/// A connection to a backend server, in use by one attempt.
pub struct Connection {
    endpoint: Endpoint,
    client: client::Client,
    state: StateCell,
    guard: response_guard::ResponseGuard,
    /// How long the connection was idle before this use; `None` for a new one.
    idle_before_use: Option<time::Duration>,
    /// The hashes of the ids of requests that were refused on the connection, sorted.
    refused: Vec<u64>,
}

/// A connection that is not in use.
struct Idle {
    connection: Connection,
    since: units_time::MonoInstant,
    usable_until: units_time::MonoInstant,
}

/// The shortest idle time after which a connection was found reset, and when.
#[derive(Debug, Clone, Copy)]
struct IdleReset {
    after: time::Duration,
    found_at: units_time::MonoInstant,
}

/// The idle connections of one thread.
#[derive(Default)]
pub struct ConnectionPool {
    idle: cell::RefCell<Vec<Idle>>,
    idle_reset: cell::Cell<Option<IdleReset>>,
}

impl Connection {
    /// Returns the HTTP client that owns the connection.
    pub const fn client(&self) -> &client::Client {
        &self.client
    }

    /// Returns how far the attempt on the connection has got.
    pub fn state(&self) -> attempt::State {
        self.state.get()
    }

    /// Records how far the attempt on the connection has got.
    pub fn set_state(&self, state: attempt::State) {
        self.state.set(state);
    }

    /// Returns whether the response began before the last byte of its request was written.
    pub fn is_response_premature(&self) -> bool {
        self.guard.is_premature()
    }

    /// Records that the server refused the request `request_id` on the connection.
    pub fn record_refusal(&mut self, request_id: &str) {
        let hash = rendezvous::hash(request_id);
        if let Err(at) = self.refused.binary_search(&hash) {
            self.refused.insert(at, hash);
        }
    }

    fn has_refused(&self, request_id: &str) -> bool {
        self.refused.binary_search(&rendezvous::hash(request_id)).is_ok()
    }
}

impl ConnectionPool {
    /// Takes an idle connection to a server, or else creates one that opens when it is first used.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be created.
    pub async fn take(
        &self,
        server: &rc::Rc<leased_server::LeasedServer>,
        request_id: &str,
        repeatability: attempt::Repeatability,
    ) -> Result<Connection, client_error::ClientError> {
        let lease = server.lease();
        let endpoint = Endpoint {
            address: lease.address,
            server: lease.server.clone(),
            started: lease.started,
        };
        if let Some(reused) = self.take_idle(&endpoint, request_id, self.idle_max(repeatability)) {
            reused.state.set(attempt::State::Sending);
            return Ok(reused);
        }
        let state: StateCell = rc::Rc::new(cell::Cell::new(attempt::State::Connecting));
        let guard = response_guard::ResponseGuard::default();
        let client = single_connection_client(&state, &guard, server.clone()).await?;
        Ok(Connection {
            endpoint,
            client,
            state,
            guard,
            idle_before_use: None,
            refused: Vec::new(),
        })
    }

    /// Returns the longest idle time of a connection that a request may reuse.
    fn idle_max(&self, repeatability: attempt::Repeatability) -> time::Duration {
        let now = clock::now();
        let idle_reset =
            self.idle_reset.get().filter(|reset| now.since(reset.found_at) < IDLE_RESET_VALIDITY);
        match (repeatability, idle_reset) {
            (attempt::Repeatability::AtMostOnce, Some(idle_reset)) => idle_reset.after / 2,
            _ => time::Duration::MAX,
        }
    }

    /// Records that a connection was found reset by the request that reused it.
    pub fn record_reset(&self, connection: &Connection) {
        let Some(after) = connection.idle_before_use.filter(|idle| *idle >= IDLE_RESET_MIN) else {
            return;
        };
        let found_at = clock::now();
        let previous = self
            .idle_reset
            .get()
            .filter(|reset| found_at.since(reset.found_at) < IDLE_RESET_VALIDITY);
        let after = previous.map_or(after, |previous| previous.after.min(after));
        log::info!("a connection that was idle for {} ms was found reset", after.as_millis());
        self.idle_reset.set(Some(IdleReset { after, found_at }));
    }

    fn take_idle(
        &self,
        endpoint: &Endpoint,
        request_id: &str,
        idle_max: time::Duration,
    ) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| now < idle.usable_until);
        let is_match =
            |idle: &Idle| idle.connection.endpoint == *endpoint && now.since(idle.since) < idle_max;
        let is_usable = |idle: &Idle| is_match(idle) && !idle.connection.has_refused(request_id);
        let Some(at) = idle.iter().rposition(is_usable) else {
            // Closes one that refused the id, so that repeated ids don't add up connections.
            if let Some(at) = idle.iter().position(is_match) {
                idle.remove(at);
            }
            return None;
        };
        let Idle { mut connection, since, .. } = idle.remove(at);
        connection.idle_before_use = Some(now.since(since));
        Some(connection)
    }

    /// Returns a connection to the pool, from which it can be reused for `keep_for`.
    ///
    /// A connection on which [`REFUSALS_MAX`] requests were refused is closed instead.
    pub fn put_back(&self, connection: Connection, keep_for: time::Duration) {
        if connection.refused.len() >= REFUSALS_MAX {
            return;
        }
        connection.guard.reset();
        let since = clock::now();
        let usable_until = since.after(keep_for);
        self.idle.borrow_mut().push(Idle { connection, since, usable_until });
    }
}

/// Creates a client that records in `state` how far its connection has got. Opening a connection
/// fails if `server` accepts no new requests by then.
async fn single_connection_client(
    state: &StateCell,
    guard: &response_guard::ResponseGuard,
    server: rc::Rc<leased_server::LeasedServer>,
) -> Result<client::Client, client_error::ClientError> {
    let connect = connect::Connector::<http::Uri>::new();
    let (state, guard) = (state.clone(), guard.clone());
    let state_tracking = service::apply_fn_factory(connect, async move |to, connector| {
        state.set(attempt::State::Connecting);
        let connecting = connector.call(to);
        let connected = timer::timeout(CONNECT_TIMEOUT, connecting).await;
        let io = connected.map_err(|timer::Elapsed| timed_out())??;
        if !server.accepts_requests() {
            return Err(connect::ConnectError::Unresolved);
        }
        state.set(attempt::State::Sending);
        guard.reset();
        Ok::<_, connect::ConnectError>(io.add_filter(guard.clone()))
    });
    client::Client::builder()
        .connector::<http::Uri>(client::Connector::new().connector(state_tracking))
        .disable_redirects()
        .no_default_headers()
        .disable_timeout()
        .build(ntex::SharedCfg::new("server"))
        .await
        .map_err(|_| client_error::ClientError::from(client_error::ConnectError::Unresolved))
}

fn timed_out() -> connect::ConnectError {
    connect::ConnectError::from(io::Error::from(io::ErrorKind::TimedOut))
}
