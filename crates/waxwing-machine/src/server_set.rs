//! All registered backend servers, over outages of the store.
//!
//! A server that is not registered any more gets no new work. Registrations may lapse while the
//! store is away, though, and come back soon after it; so what is missing then stays in use for as
//! long as living servers need to register again.

use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::server_registration;

/// How long after the store is back living servers may need to register again.
pub const REREGISTRATION_MAX: time::Duration = time::Duration::from_millis(2_100);

/// A backend server and what is known beyond its registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownServer {
    /// Its last registration.
    pub registration: server_registration::ServerRegistration,
    /// Until when it is cold.
    pub cold_until: units_time::MonoInstant,
}

/// All registered backend servers, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct ServerSet {
    servers: Vec<KnownServer>,
    failed_at: Option<units_time::MonoInstant>,
}

impl ServerSet {
    /// Returns all servers in use, sorted by name.
    pub fn servers(&self) -> &[KnownServer] {
        &self.servers
    }

    /// Notes that the store did not answer what it was asked at `asked_at`.
    pub const fn record_store_failure(&mut self, asked_at: units_time::MonoInstant) {
        self.failed_at = Some(asked_at);
    }

    /// Notes that the store did not answer another machine at `failed_at`.
    pub fn record_peer_store_failure(&mut self, failed_at: units_time::MonoInstant) {
        self.failed_at = self.failed_at.max(Some(failed_at));
    }

    /// Returns when a question was asked that the store did not answer, if living servers may
    /// still have to register again since.
    pub fn last_store_failure(
        &self,
        now: units_time::MonoInstant,
    ) -> Option<units_time::MonoInstant> {
        self.failed_at.filter(|failed_at| now.since(*failed_at) <= REREGISTRATION_MAX)
    }

    /// Notes that it was this machine that was cut off, and that the store was there all the time.
    pub const fn clear_store_failure(&mut self) {
        self.failed_at = None;
    }

    /// Takes in what the store lists.
    pub fn apply_list(
        &mut self,
        now: units_time::MonoInstant,
        mut listed: Vec<server_registration::ServerRegistration>,
    ) {
        listed.sort_by(|a, b| a.server.cmp(&b.server));
        let lapse_counts = self.last_store_failure(now).is_none();
        let before = std::mem::take(&mut self.servers);
        let known = |server: &id::BackendServerId| {
            before.binary_search_by(|known| known.registration.server.cmp(server)).ok()
        };
        let mut servers: Vec<KnownServer> = listed
            .iter()
            .map(|registered| {
                KnownServer::next(now, known(&registered.server).map(|at| &before[at]), registered)
            })
            .collect();
        if !lapse_counts {
            let is_listed = |known: &KnownServer| {
                listed
                    .binary_search_by(|found| found.server.cmp(&known.registration.server))
                    .is_ok()
            };
            servers.extend(before.iter().filter(|known| !is_listed(known)).cloned());
            servers.sort_by(|a, b| a.registration.server.cmp(&b.registration.server));
        }
        self.servers = servers;
    }
}

impl KnownServer {
    fn next(
        now: units_time::MonoInstant,
        before: Option<&Self>,
        registered: &server_registration::ServerRegistration,
    ) -> Self {
        let order = |of: &server_registration::ServerRegistration| (of.started, of.sequence);
        match before {
            // A registration may be overtaken by one that was sent before it.
            Some(known) if order(&known.registration) >= order(registered) => known.clone(),
            _ => Self {
                registration: registered.clone(),
                cold_until: now.after(registered.cold_left),
            },
        }
    }
}
