//! All registered backend servers as the store listed them, numbered, so that a copy is told only
//! what has changed.
//!
//! Servers register again and again with nothing new but a higher count. Those changes are not told:
//! at the size to design for they are all that there is, second by second.

use serde::{Deserialize, Serialize};
use waxwing_units::id;

use crate::server_registration;

/// Departures that are remembered; a copy that has missed more is told everything.
const GONE_MAX: usize = 1_024;

/// A listed server, and the listing in which it last changed.
#[derive(Debug, Clone)]
struct Entry {
    registered: server_registration::ServerRegistration,
    changed_in: u64,
}

/// A server that is not listed any more, and the listing in which it was missing first.
#[derive(Debug, Clone)]
struct Gone {
    server: id::BackendServerId,
    gone_in: u64,
}

/// What has changed since an earlier listing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The number of the newest listing.
    pub number: u64,
    /// Whether `servers` are all there are.
    pub is_whole: bool,
    /// Servers that are new or have changed, sorted by name.
    pub servers: Vec<server_registration::ServerRegistration>,
    /// Servers that are not listed any more.
    pub gone: Vec<id::BackendServerId>,
}

/// The last listing of the store.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    number: u64,
    /// Sorted by name.
    entries: Vec<Entry>,
    /// In the order in which they went.
    gone: Vec<Gone>,
    /// The last listing whose departures are not remembered.
    forgotten: u64,
}

/// The listing of another machine, as it was told.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    number: u64,
    /// Sorted by name.
    servers: Vec<server_registration::ServerRegistration>,
}

impl ServerList {
    /// Takes in what the store lists now.
    pub fn apply_list(&mut self, mut listed: Vec<server_registration::ServerRegistration>) {
        listed.sort_by(|a, b| a.server.cmp(&b.server));
        let before = std::mem::take(&mut self.entries);
        let number = self.number + 1;
        let is_listed = |server: &id::BackendServerId| {
            listed.binary_search_by(|r| r.server.cmp(server)).is_ok()
        };
        let gone = before.iter().map(|entry| &entry.registered.server);
        let gone = gone.filter(|server| !is_listed(server));
        self.gone.extend(gone.map(|server| Gone { server: server.clone(), gone_in: number }));
        self.entries = listed
            .into_iter()
            .map(|registered| {
                let found =
                    before.binary_search_by(|e| e.registered.server.cmp(&registered.server));
                let same = found.ok().map(|at| &before[at]);
                let same = same.filter(|entry| !tells_news(&entry.registered, &registered));
                let changed_in = same.map_or(number, |entry| entry.changed_in);
                Entry { registered, changed_in }
            })
            .collect();
        self.number = number;
        self.forget();
    }

    fn forget(&mut self) {
        let excess = self.gone.len().saturating_sub(GONE_MAX);
        if let Some(last) = self.gone.drain(..excess).next_back() {
            self.forgotten = last.gone_in;
        }
    }

    /// Returns what has changed since listing `number`; all of it where that is not known.
    pub fn changes_since(&self, number: u64) -> Changes {
        let is_whole = number == 0 || number > self.number || number <= self.forgotten;
        let changed = |entry: &&Entry| is_whole || entry.changed_in > number;
        let servers = self.entries.iter().filter(changed);
        let gone = self.gone.iter().filter(|gone| !is_whole && gone.gone_in > number);
        Changes {
            number: self.number,
            is_whole,
            servers: servers.map(|entry| entry.registered.clone()).collect(),
            gone: gone.map(|gone| gone.server.clone()).collect(),
        }
    }
}

/// Tells whether a registration says more than that the server lives.
fn tells_news(
    before: &server_registration::ServerRegistration,
    now: &server_registration::ServerRegistration,
) -> bool {
    let without_count = server_registration::ServerRegistration {
        sequence: before.sequence,
        cold_left: before.cold_left,
        ..now.clone()
    };
    without_count != *before || now.cold_left > before.cold_left
}

impl Replica {
    /// Returns the number of the listing that is copied; zero before any.
    pub const fn version(&self) -> u64 {
        self.number
    }

    /// Returns the servers of the listing, sorted by name.
    pub fn servers(&self) -> &[server_registration::ServerRegistration] {
        &self.servers
    }

    /// Takes in what was told.
    pub fn apply(&mut self, changes: Changes) {
        self.number = changes.number;
        if changes.is_whole {
            self.servers = changes.servers;
            return;
        }
        // A server that went and came back is among both.
        self.servers.retain(|known| !changes.gone.contains(&known.server));
        for changed in changes.servers {
            match self.servers.binary_search_by(|known| known.server.cmp(&changed.server)) {
                Ok(at) => self.servers[at] = changed,
                Err(at) => self.servers.insert(at, changed),
            }
        }
    }
}
