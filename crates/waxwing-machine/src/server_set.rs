//! The backend servers in use, through outages of the store.
//!
//! A server that is no longer registered receives no new requests. During an outage of the store,
//! though, registrations of live servers may expire, and the servers register again soon after it.
//! So servers that are missing right after an outage stay in use until they had time to do so.

use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::server_registration;

/// How long after an outage of the store live servers may take to register again.
pub const REREGISTRATION_MAX: time::Duration = time::Duration::from_millis(2_100);

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
    last_failure_at: Option<units_time::MonoInstant>,
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

    /// Replaces the servers with those that the store lists; soon after a failed call, servers that
    /// the list omits stay.
    pub fn apply_list(
        &mut self,
        now: units_time::MonoInstant,
        mut listed: Vec<server_registration::ServerRegistration>,
    ) {
        listed.sort_by(|a, b| a.server.cmp(&b.server));
        let removes_missing = self.last_store_failure(now).is_none();
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
        if !removes_missing {
            let is_listed = |known: &KnownServer| {
                listed
                    .binary_search_by(|found| found.server.cmp(&known.registration.server))
                    .is_ok()
            };
            servers.extend(previous.iter().filter(|known| !is_listed(known)).cloned());
            servers.sort_by(|a, b| a.registration.server.cmp(&b.registration.server));
        }
        self.servers = servers;
    }
}

impl KnownServer {
    fn updated(
        now: units_time::MonoInstant,
        previous: Option<&Self>,
        registration: &server_registration::ServerRegistration,
    ) -> Self {
        let order = |of: &server_registration::ServerRegistration| (of.started, of.sequence);
        match previous {
            // A registration may reach the store after one that was sent later.
            Some(known) if order(&known.registration) >= order(registration) => known.clone(),
            _ => Self {
                registration: registration.clone(),
                cold_until: now.after(registration.cold_left),
            },
        }
    }
}
