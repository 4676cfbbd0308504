//! All registered backend servers, over outages of the store.
//!
//! A server that is not registered any more gets no new work. Registrations may lapse while the
//! store is away, though, and come back soon after it; so what is missing then stays in use for as
//! long as living servers need to register again.

use std::time;

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::server;

/// How long after the store is back living servers may need to register again.
pub const REGISTER_AGAIN_MAX: time::Duration = time::Duration::from_millis(2_100);

/// A backend server and what is known beyond its registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// Its last registration.
    pub registered: server::Registered,
    /// Until when it is cold.
    pub cold_until: units_time::MonoInstant,
}

/// All registered backend servers, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    servers: Vec<Known>,
    failed_at: Option<units_time::MonoInstant>,
}

impl Roster {
    /// Returns all servers in use, sorted by name.
    pub fn servers(&self) -> &[Known] {
        &self.servers
    }

    /// Notes that the store did not answer what it was asked at `asked_at`.
    pub const fn store_failed(&mut self, asked_at: units_time::MonoInstant) {
        self.failed_at = Some(asked_at);
    }

    /// Notes that the store did not answer another machine at `failed_at`.
    pub fn note_failed(&mut self, failed_at: units_time::MonoInstant) {
        self.failed_at = self.failed_at.max(Some(failed_at));
    }

    /// Returns when a question was asked that the store did not answer, if living servers may
    /// still have to register again since.
    pub fn failed_at(&self, now: units_time::MonoInstant) -> Option<units_time::MonoInstant> {
        self.failed_at.filter(|failed_at| now.since(*failed_at) <= REGISTER_AGAIN_MAX)
    }

    /// Notes that it was this machine that was cut off, and that the store was there all the time.
    pub const fn store_was_there(&mut self) {
        self.failed_at = None;
    }

    /// Takes in what the store lists.
    pub fn read(&mut self, now: units_time::MonoInstant, mut listed: Vec<server::Registered>) {
        listed.sort_by(|a, b| a.server.cmp(&b.server));
        let lapse_counts = self.failed_at(now).is_none();
        let before = std::mem::take(&mut self.servers);
        let known = |server: &id::BackendServerId| {
            before.binary_search_by(|known| known.registered.server.cmp(server)).ok()
        };
        let mut servers: Vec<Known> = listed
            .iter()
            .map(|registered| {
                Known::next(now, known(&registered.server).map(|at| &before[at]), registered)
            })
            .collect();
        if !lapse_counts {
            let is_listed = |known: &Known| {
                listed.binary_search_by(|found| found.server.cmp(&known.registered.server)).is_ok()
            };
            servers.extend(before.iter().filter(|known| !is_listed(known)).cloned());
            servers.sort_by(|a, b| a.registered.server.cmp(&b.registered.server));
        }
        self.servers = servers;
    }
}

impl Known {
    fn next(
        now: units_time::MonoInstant,
        before: Option<&Self>,
        registered: &server::Registered,
    ) -> Self {
        let order = |of: &server::Registered| (of.started, of.sequence);
        match before {
            // A registration may be overtaken by one that was sent before it.
            Some(known) if order(&known.registered) >= order(registered) => known.clone(),
            _ => {
                Self { registered: registered.clone(), cold_until: now.after(registered.cold_left) }
            }
        }
    }
}
