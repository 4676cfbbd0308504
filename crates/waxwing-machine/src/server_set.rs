//! The backend servers in use, through outages of the store.
//!
//! A server that is no longer registered receives no new requests. During an outage of the store,
//! though, registrations of live servers may expire, and the servers register again soon after it.
//! So servers that are missing right after an outage stay in use until they had time to do so.
//! The same holds right after the store was restored from a copy.
//!
//! The store may also list a server that has left: its heartbeat was delayed, or the store was
//! restored. So the last registrations of servers that have left are remembered.

use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::server_registration;

/// How long after an outage of the store live servers may take to register again.
pub const REREGISTRATION_MAX: time::Duration = time::Duration::from_millis(2_100);

/// The number of servers that have left whose last registrations are remembered.
const DEPARTED_MAX: usize = 4_096;

/// How long a server that has left is remembered; copies of the store are seconds old, and a server whose
/// clock was set back registers with an earlier start.
const DEPARTED_VALIDITY: time::Duration = time::Duration::from_secs(60);

/// The last registration of a server that has left.
#[derive(Debug, Clone)]
struct Departed {
    server: id::BackendServerId,
    order: RegistrationOrder,
    /// When it left.
    at: units_time::MonoInstant,
}

/// The order of a server's registrations: by start, then by sequence.
type RegistrationOrder = (id::Incarnation, u64);

const fn order_of(registration: &server_registration::ServerRegistration) -> RegistrationOrder {
    (registration.started, registration.sequence)
}

/// A backend server in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownServer {
    /// Its latest registration.
    pub registration: server_registration::ServerRegistration,
    /// The end of the time in which it is cold.
    pub cold_until: units_time::MonoInstant,
}

/// The backend servers in use, sorted by name, and the last failed call to the store.
#[derive(Debug, Clone, Default)]
pub struct ServerSet {
    servers: Vec<KnownServer>,
    /// The servers that have left, sorted by name.
    departed: Vec<Departed>,
    last_failure_at: Option<units_time::MonoInstant>,
    restored_at: Option<units_time::MonoInstant>,
}

impl ServerSet {
    /// Returns the servers in use, sorted by name.
    pub fn servers(&self) -> &[KnownServer] {
        &self.servers
    }

    /// Records that the store did not respond to this machine's call sent at `sent_at`.
    pub const fn record_store_failure(&mut self, sent_at: units_time::MonoInstant) {
        self.last_failure_at = Some(sent_at);
    }

    /// Records that the store did not respond to a call that another machine sent at `failed_at`.
    pub fn record_peer_store_failure(&mut self, failed_at: units_time::MonoInstant) {
        self.last_failure_at = self.last_failure_at.max(Some(failed_at));
    }

    /// Returns when the last failed call was sent, if live servers may still have to register again
    /// after it.
    pub fn last_store_failure(
        &self,
        now: units_time::MonoInstant,
    ) -> Option<units_time::MonoInstant> {
        self.last_failure_at.filter(|failed_at| now.since(*failed_at) <= REREGISTRATION_MAX)
    }

    /// Discards the last failure: only this machine was cut off, and the store was available to
    /// others all the time, so that live servers stayed registered.
    pub const fn clear_store_failure(&mut self) {
        self.last_failure_at = None;
    }

    /// Records that the store was restored from a copy, as observed at `restored_at`.
    pub const fn record_restoration(&mut self, restored_at: units_time::MonoInstant) {
        self.restored_at = Some(restored_at);
    }

    /// Returns whether live servers that the store does not list may still have to register again.
    pub fn is_unsettled(&self, now: units_time::MonoInstant) -> bool {
        let has_settled = |at: units_time::MonoInstant| now.since(at) > REREGISTRATION_MAX;
        self.last_store_failure(now).is_some() || !self.restored_at.is_none_or(has_settled)
    }

    /// Replaces the servers with those that the store lists; soon after a failed call or a
    /// restoration, servers that the list omits stay. A server that has left comes back only with a
    /// registration that is newer than its last one.
    pub fn apply_list(
        &mut self,
        now: units_time::MonoInstant,
        mut listed: Vec<server_registration::ServerRegistration>,
    ) {
        self.departed.retain(|departed| now.since(departed.at) < DEPARTED_VALIDITY);
        listed.retain(|registration| !self.has_departed(registration));
        listed.sort_by(|a, b| a.server.cmp(&b.server));
        let removes_missing = !self.is_unsettled(now);
        let previous = std::mem::take(&mut self.servers);
        let previous_at = |server: &id::BackendServerId| {
            previous.binary_search_by(|known| known.registration.server.cmp(server)).ok()
        };
        let mut servers: Vec<KnownServer> = listed
            .iter()
            .map(|registration| {
                KnownServer::updated(
                    now,
                    previous_at(&registration.server).map(|at| &previous[at]),
                    registration,
                )
            })
            .collect();
        let is_listed = |known: &KnownServer| {
            listed.binary_search_by(|found| found.server.cmp(&known.registration.server)).is_ok()
        };
        let missing = previous.iter().filter(|known| !is_listed(known));
        match removes_missing {
            true => missing.for_each(|known| self.remember_departed(now, known)),
            false => {
                servers.extend(missing.cloned());
                servers.sort_by(|a, b| a.registration.server.cmp(&b.registration.server));
            }
        }
        self.servers = servers;
    }

    /// Returns whether the server has left since it sent this registration.
    fn has_departed(&self, registration: &server_registration::ServerRegistration) -> bool {
        let found = self.departed.binary_search_by(|d| d.server.cmp(&registration.server));
        found.is_ok_and(|at| self.departed[at].order >= order_of(registration))
    }

    fn remember_departed(&mut self, now: units_time::MonoInstant, known: &KnownServer) {
        let registration = &known.registration;
        let departed = Departed {
            server: registration.server.clone(),
            order: order_of(registration),
            at: now,
        };
        match self.departed.binary_search_by(|d| d.server.cmp(&registration.server)) {
            Ok(at) => self.departed[at] = departed,
            Err(at) => self.departed.insert(at, departed),
        }
        if self.departed.len() > DEPARTED_MAX {
            let oldest = (0..self.departed.len()).min_by_key(|at| self.departed[*at].at);
            oldest.map(|at| self.departed.remove(at));
        }
    }
}

impl KnownServer {
    fn updated(
        now: units_time::MonoInstant,
        previous: Option<&Self>,
        registration: &server_registration::ServerRegistration,
    ) -> Self {
        match previous {
            // A registration may reach the store after one that was sent later.
            Some(known) if order_of(&known.registration) >= order_of(registration) => known.clone(),
            _ => Self {
                registration: registration.clone(),
                cold_until: now.after(registration.cold_left),
            },
        }
    }
}
