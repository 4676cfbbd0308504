//! Replicates the store's contents among the entry VMs of a region.
//!
//! One VM of each region, the reader, reads the store. The others ask it a few times per second for
//! changes ([`crate::region_reader`]), and read the store themselves when its responses get old. Each
//! response carries the age of its data, so the receiver knows as well as from a read of its own whether
//! keys may still be accepted.

use std::cell;
use std::net;
use std::sync;
use std::time;

use parking_lot::Mutex;
use tokio::net as tokio_net;
use waxwing_machine::membership;
use waxwing_machine::server_list;
use waxwing_machine::server_registration;
use waxwing_machine::transfer;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::replication;
use waxwing_route::changes;
use waxwing_route::read_mark;
use waxwing_route::table;
use waxwing_units::time as units_time;

use crate::replication_connection;
use crate::vm;

/// The number of configurations that are kept, so that machines that have one of them receive only
/// the changes since.
const TABLES_MAX: usize = 4;

/// How long nothing is accepted after that has failed.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(600);

/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// What this VM knows of the store, in a form that others can replicate.
#[derive(Debug, Default)]
pub struct StoreReplica {
    state: Mutex<ReplicaState>,
}

#[derive(Debug, Default)]
struct ReplicaState {
    servers: server_list::ServerList,
    servers_at: Option<units_time::MonoInstant>,
    last_failure_at: Option<units_time::MonoInstant>,
    members: membership::MemberList,
    members_version: u64,
    members_at: Option<units_time::MonoInstant>,
    /// The last configurations that were in force, the newest last.
    tables: Vec<sync::Arc<table::Table>>,
}

impl StoreReplica {
    /// Returns when the query that returned the known backend servers was sent.
    pub fn servers_at(&self) -> Option<units_time::MonoInstant> {
        self.state.lock().servers_at
    }

    /// Returns when the query that returned the known members was sent.
    pub fn members_at(&self) -> Option<units_time::MonoInstant> {
        self.state.lock().members_at
    }

    /// Records the backend servers that the store listed for a query sent at `requested_at`;
    /// returns whether they are newer than those known.
    pub fn record_servers(
        &self,
        requested_at: units_time::MonoInstant,
        listed: Vec<server_registration::ServerRegistration>,
    ) -> bool {
        let mut state = self.state.lock();
        let is_newer = state.servers_at < Some(requested_at);
        if is_newer {
            state.servers.apply_list(listed);
            state.servers_at = Some(requested_at);
        }
        is_newer
    }

    /// Records that the query for backend servers sent at `requested_at` failed.
    pub fn record_failure(&self, requested_at: units_time::MonoInstant) {
        let mut state = self.state.lock();
        state.last_failure_at = state.last_failure_at.max(Some(requested_at));
    }

    /// Records that a configuration was put in force.
    pub fn record_table(&self, table: sync::Arc<table::Table>) {
        let mut state = self.state.lock();
        state.tables.push(table);
        let excess = state.tables.len().saturating_sub(TABLES_MAX);
        state.tables.drain(..excess);
    }

    /// Returns the changes from the configuration that a machine has to `table`, or the whole of it;
    /// `None` if the machine has that version or a newer one.
    pub fn table_changes(
        &self,
        known: Option<replication::KnownConfiguration>,
        table: &table::Table,
    ) -> Option<changes::Changes> {
        if known.is_some_and(|known| known.version >= table.version()) {
            return None;
        }
        let known = known.map(|known| known.fingerprint);
        let state = self.state.lock();
        let base = state.tables.iter().find(|base| known == Some(base.fingerprint())).cloned();
        drop(state);
        Some(changes::Changes::between(base.as_deref(), table))
    }

    /// Records the members that the store listed for a query sent at `requested_at`.
    pub fn record_members(
        &self,
        requested_at: units_time::MonoInstant,
        member_list: &membership::MemberList,
    ) {
        let mut state = self.state.lock();
        state.members_at = state.members_at.max(Some(requested_at));
        if member_list.revision < state.members.revision {
            return;
        }
        if member_list.members != state.members.members {
            state.members_version += 1;
        }
        state.members = member_list.clone();
    }
}

/// Returns what identifies a table to other machines.
pub fn identify(table: &table::Table) -> replication::KnownConfiguration {
    replication::KnownConfiguration { version: table.version(), fingerprint: table.fingerprint() }
}

/// Returns an upper bound on the time from `then` to `now`, with clock drift allowed for.
fn age_ms(now: units_time::MonoInstant, then: units_time::MonoInstant) -> units_time::Millis {
    let age = units_time::extend_by_clock_drift(now.since(then)).as_millis();
    units_time::Millis(u64::try_from(age).unwrap_or(u64::MAX).saturating_add(1))
}

/// Returns the changes since the state that `query` names, or the whole state if it names one of
/// another incarnation.
fn replica_update(vm: &vm::Vm, query: replication::Request) -> replication::Response {
    let now = clock::now();
    let (known_table, known_mark) = (query.configuration, query.mark);
    let query = if query.reader_incarnation == vm.info.started {
        query
    } else {
        replication::Request::default()
    };
    let active = vm.active_configuration();
    let configuration =
        active.table.zip(active.confirmed_at).map(|(table, at)| replication::Configuration {
            identity: identify(&table),
            changes: vm.store_replica.table_changes(known_table, &table),
            mark: (active.mark.fingerprint() != known_mark)
                .then(|| read_mark::ReadMark::clone(&active.mark)),
            evacuated: active.evacuated,
            age_ms: age_ms(now, at),
        });
    let newest_era = vm.store_history.lock().era();
    let state = vm.store_replica.state.lock();
    // The receiver learns the era from the members; servers of a newer one would look as if those that
    // a restored store lacks had left.
    let sends_servers = newest_era <= Some(state.members.revision.era());
    let servers = state.servers_at.filter(|_| sends_servers).map(|at| replication::Servers {
        changes: state.servers.changes_since(query.servers_version),
        age_ms: age_ms(now, at),
        failed_ago_ms: state.last_failure_at.map(|at| age_ms(now, at)),
    });
    let members = state.members_at.map(|at| replication::Members {
        version: state.members_version,
        revision: state.members.revision,
        members: (query.members_version != state.members_version)
            .then(|| state.members.members.clone()),
        age_ms: age_ms(now, at),
    });
    replication::Response { reader_incarnation: vm.info.started, configuration, servers, members }
}

/// Answers the queries of other VMs; never returns.
pub async fn serve_peers(vm: vm::Shared, listener: tokio_net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = replication_connection::Connection::accepted(stream);
                ntex::rt::spawn(serve_peer(vm.clone(), connection));
            }
            Err(error) => {
                log::info!("can't accept a replication connection: {error}");
                timer::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(vm: vm::Shared, mut connection: replication_connection::Connection) {
    loop {
        let progress = cell::Cell::new(transfer::Transfer::begin(clock::now()));
        let query = match connection.receive(IDLE_TIMEOUT, &progress).await {
            Ok(query) => query,
            Err(error) => {
                log::debug!("a replication connection ended: {error}");
                return;
            }
        };
        let update = replica_update(&vm, query);
        if let Err(error) = connection.send(&update).await {
            log::debug!("sending a replication response failed: {error}");
            return;
        }
    }
}

/// Binds the endpoint for the queries of other VMs.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen(address: net::SocketAddr) -> std::io::Result<tokio_net::TcpListener> {
    tokio_net::TcpListener::bind(address).await
}
