//! Connections to backend servers that are kept.
//!
//! Each one is a client with a single connection. A client that finds its connection closed opens
//! another; it notes so, and a request is then known not to have run if that fails.
//!
//! A server may forget a connection without a word, and reset what is sent next. A request that may
//! run again is sent again then; one that may not is lost. So once a connection that was idle for
//! some time was found broken, requests that run at most once take only connections that were idle
//! for less than half of that.

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
use waxwing_machine::placement;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_request::attempt;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// The least idle time after which a connection is taken to be forgotten.
const FORGOTTEN_AFTER_MIN: time::Duration = time::Duration::from_millis(100);

/// How long what was learned of forgotten connections counts.
const LEARNED_VALIDITY: time::Duration = time::Duration::from_secs(60);

/// How far an attempt has come, noted where it happens.
pub type StateCell = rc::Rc<cell::Cell<attempt::State>>;

/// What a connection leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
struct End {
    address: net::SocketAddr,
    server: id::BackendServerId,
    started: id::Incarnation,
}

/// A connection to a backend server, in use.
pub struct Connection {
    end: End,
    client: client::Client,
    state: StateCell,
    /// How long it was idle before this use; none where it is new.
    was_idle: Option<time::Duration>,
}

/// A connection that is not in use.
struct Idle {
    connection: Connection,
    since: units_time::MonoInstant,
    usable_until: units_time::MonoInstant,
}

/// After how long servers were found to forget connections, and when.
#[derive(Debug, Clone, Copy)]
struct Forgotten {
    after: time::Duration,
    found_at: units_time::MonoInstant,
}

/// The connections of one thread that are not in use.
#[derive(Default)]
pub struct Connections {
    idle: cell::RefCell<Vec<Idle>>,
    forgotten: cell::Cell<Option<Forgotten>>,
}

impl Connection {
    /// Returns the client that speaks on the connection.
    pub const fn client(&self) -> &client::Client {
        &self.client
    }

    /// Returns how far the attempt on the connection has come.
    pub fn state(&self) -> attempt::State {
        self.state.get()
    }

    /// Notes how far the attempt on the connection has come.
    pub fn set_state(&self, state: attempt::State) {
        self.state.set(state);
    }
}

impl Connections {
    /// Returns a kept connection to a server, or a new one that opens when it is used.
    ///
    /// # Errors
    ///
    /// Returns an error where no client can be made.
    pub async fn take(
        &self,
        lease: &placement::Lease,
        repeatability: attempt::Repeatability,
    ) -> Result<Connection, client_error::ClientError> {
        let end =
            End { address: lease.address, server: lease.server.clone(), started: lease.started };
        if let Some(kept) = self.take_kept(&end, self.idle_max(repeatability)) {
            kept.state.set(attempt::State::Sending);
            return Ok(kept);
        }
        let state: StateCell = rc::Rc::new(cell::Cell::new(attempt::State::Connecting));
        let client = one_connection_client(state.clone()).await?;
        Ok(Connection { end, client, state, was_idle: None })
    }

    /// Returns how long a connection may have been idle for a request.
    fn idle_max(&self, repeatability: attempt::Repeatability) -> time::Duration {
        let now = clock::now();
        let forgotten = self.forgotten.get().filter(|f| now.since(f.found_at) < LEARNED_VALIDITY);
        match (repeatability, forgotten) {
            (attempt::Repeatability::AtMostOnce, Some(forgotten)) => forgotten.after / 2,
            _ => time::Duration::MAX,
        }
    }

    /// Notes that a connection was found broken by the request that used it.
    pub fn note_broken(&self, connection: &Connection) {
        let Some(after) = connection.was_idle.filter(|idle| *idle >= FORGOTTEN_AFTER_MIN) else {
            return;
        };
        let found_at = clock::now();
        let known = self.forgotten.get().filter(|f| found_at.since(f.found_at) < LEARNED_VALIDITY);
        let after = known.map_or(after, |known| known.after.min(after));
        log::info!("a server forgot a connection that was idle for {} ms", after.as_millis());
        self.forgotten.set(Some(Forgotten { after, found_at }));
    }

    fn take_kept(&self, end: &End, idle_max: time::Duration) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| now < idle.usable_until);
        let is_fit = |idle: &Idle| idle.connection.end == *end && now.since(idle.since) < idle_max;
        let at = idle.iter().rposition(is_fit)?;
        let Idle { mut connection, since, .. } = idle.remove(at);
        connection.was_idle = Some(now.since(since));
        Some(connection)
    }

    /// Keeps a connection for `usable`.
    pub fn give_back(&self, connection: Connection, usable: time::Duration) {
        let since = clock::now();
        let usable_until = since.after(usable);
        self.idle.borrow_mut().push(Idle { connection, since, usable_until });
    }
}

/// Creates a client that notes how far its connection has come.
async fn one_connection_client(
    state: StateCell,
) -> Result<client::Client, client_error::ClientError> {
    let connect = connect::Connector::<http::Uri>::new();
    let noting = service::apply_fn_factory(connect, async move |to, connector| {
        state.set(attempt::State::Connecting);
        let connecting = connector.call(to);
        let connected = timer::timeout(CONNECT_TIMEOUT, connecting).await;
        let io = connected.map_err(|timer::Elapsed| timed_out())??;
        state.set(attempt::State::Sending);
        Ok::<_, connect::ConnectError>(io)
    });
    client::Client::builder()
        .connector::<http::Uri>(client::Connector::new().connector(noting))
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
