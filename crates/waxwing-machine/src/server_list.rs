//! Versioned list of all registered backend servers, of which replicas receive only the changes.
//!
//! Most registrations are renewals that only raise a counter. Replicas don't receive those: at the
//! target size of the fleet they are the only changes in most seconds.

use serde::{Deserialize, Serialize};
use waxwing_units::id;

use crate::server_registration;

/// The number of removals that are remembered; a replica that has missed more receives the whole
/// list.
const REMOVALS_MAX: usize = 1_024;

/// A listed server, and the version of the list in which it last changed.
#[derive(Debug, Clone)]
struct Entry {
    registration: server_registration::ServerRegistration,
    changed_in: u64,
}

/// A server that is no longer listed, and the version of the list that it left in.
#[derive(Debug, Clone)]
struct Removal {
    server: id::BackendServerId,
    removed_in: u64,
}

/// The changes of the list since an earlier version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The version that the changes lead to.
    pub version: u64,
    /// Whether `servers` is the whole list.
    pub is_whole: bool,
    /// The new and changed servers, sorted by name.
    pub servers: Vec<server_registration::ServerRegistration>,
    /// The servers that are no longer listed.
    pub removed: Vec<id::BackendServerId>,
}

/// The registered backend servers by the last read of the store, with their recent changes.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    version: u64,
    /// The listed servers, sorted by name.
    entries: Vec<Entry>,
    /// The remembered removals, oldest first.
    removals: Vec<Removal>,
    /// The newest version whose removals are no longer remembered.
    trimmed_version: u64,
}

/// A replica of the list of another machine.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    version: u64,
    /// The listed servers, sorted by name.
    servers: Vec<server_registration::ServerRegistration>,
}

impl ServerList {
    /// Replaces the list with a new one from the store, which gets the next version.
    pub fn apply_list(&mut self, mut listed: Vec<server_registration::ServerRegistration>) {
        listed.sort_by(|a, b| a.server.cmp(&b.server));
        let before = std::mem::take(&mut self.entries);
        let version = self.version + 1;
        let is_listed = |server: &id::BackendServerId| {
            listed.binary_search_by(|r| r.server.cmp(server)).is_ok()
        };
        let removed = before.iter().map(|entry| &entry.registration.server);
        let removed = removed.filter(|server| !is_listed(server));
        self.removals
            .extend(removed.map(|server| Removal { server: server.clone(), removed_in: version }));
        self.entries = listed
            .into_iter()
            .map(|registration| {
                let found =
                    before.binary_search_by(|e| e.registration.server.cmp(&registration.server));
                let previous = found.ok().map(|at| &before[at]);
                let previous = previous
                    .filter(|entry| !is_more_than_renewal(&entry.registration, &registration));
                let changed_in = previous.map_or(version, |entry| entry.changed_in);
                Entry { registration, changed_in }
            })
            .collect();
        self.version = version;
        self.trim_removals();
    }

    fn trim_removals(&mut self) {
        let excess = self.removals.len().saturating_sub(REMOVALS_MAX);
        if let Some(last) = self.removals.drain(..excess).next_back() {
            self.trimmed_version = last.removed_in;
        }
    }

    /// Returns the changes since `version`, or the whole list if that version is zero, too old or
    /// from an earlier start of this machine.
    pub fn changes_since(&self, version: u64) -> Changes {
        let is_whole = version == 0 || version > self.version || version <= self.trimmed_version;
        let changed = |entry: &&Entry| is_whole || entry.changed_in > version;
        let servers = self.entries.iter().filter(changed);
        let removals =
            self.removals.iter().filter(|removal| !is_whole && removal.removed_in > version);
        Changes {
            version: self.version,
            is_whole,
            servers: servers.map(|entry| entry.registration.clone()).collect(),
            removed: removals.map(|removal| removal.server.clone()).collect(),
        }
    }
}

/// Returns whether a registration is more than a renewal. A cold time that runs down is no change.
fn is_more_than_renewal(
    before: &server_registration::ServerRegistration,
    now: &server_registration::ServerRegistration,
) -> bool {
    let renewal = server_registration::ServerRegistration {
        sequence: before.sequence,
        cold_left: before.cold_left,
        ..now.clone()
    };
    renewal != *before || now.cold_left > before.cold_left
}

impl Replica {
    /// Returns the version of the replicated list; zero before any.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the listed servers, sorted by name.
    pub fn servers(&self) -> &[server_registration::ServerRegistration] {
        &self.servers
    }

    /// Applies changes received from the machine that holds the list.
    pub fn apply(&mut self, changes: Changes) {
        self.version = changes.version;
        if changes.is_whole {
            self.servers = changes.servers;
            return;
        }
        // A server that left and came back is in both `removed` and `servers`.
        self.servers.retain(|known| !changes.removed.contains(&known.server));
        for changed in changes.servers {
            match self.servers.binary_search_by(|known| known.server.cmp(&changed.server)) {
                Ok(at) => self.servers[at] = changed,
                Err(at) => self.servers.insert(at, changed),
            }
        }
    }
}
