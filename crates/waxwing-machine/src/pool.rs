//! The choice of a backend server.
//!
//! A machine uses the servers of its own failure domain. Where several machines share a failure
//! domain, each server belongs to one of them, by rendezvous over the machines that are
//! reachable, so that the slots of a server are not counted twice. While machines disagree about
//! who is reachable, two may use one server; the sum is then at most twice its slots, and what
//! is too much is shed by the server with its word that it did not run.

use waxwing_record::record;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::backend_server;

/// The share of a pool that may be ejected at a time, in thousandths.
const EJECTED_MAX_PERMILLE: usize = 500;

/// The part of all slots that is kept from guests is one in this many.
const GUEST_RESERVE: u32 = 4;

/// Names a server's place in its pool while a request is at it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The server's record.
    pub server: record::BackendServer,
}

/// The servers of one service that belong to this machine, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    servers: Vec<backend_server::BackendServer>,
}

impl Pool {
    /// Takes in which servers belong to this machine now.
    ///
    /// Servers that stay keep their state; one that is gone gets no new work.
    pub fn set_records(
        &mut self,
        now: units_time::MonoInstant,
        records: Vec<record::BackendServer>,
    ) {
        let mut old = std::mem::take(&mut self.servers);
        for record in records {
            let is_it = |server: &backend_server::BackendServer| {
                server.record().backend_server == record.backend_server
            };
            match old.iter().position(is_it) {
                Some(at) => {
                    let mut server = old.swap_remove(at);
                    server.set_record(record);
                    self.servers.push(server);
                }
                None => self.servers.push(backend_server::BackendServer::new(record, now)),
            }
        }
        self.servers.sort_by(|a, b| a.record().backend_server.cmp(&b.record().backend_server));
    }

    /// Returns the servers.
    pub fn servers(&self) -> &[backend_server::BackendServer] {
        &self.servers
    }

    /// Returns the server named `name`.
    pub fn server_mut(
        &mut self,
        name: &id::BackendServerId,
    ) -> Option<&mut backend_server::BackendServer> {
        let at = self.servers.binary_search_by(|s| s.record().backend_server.cmp(name)).ok()?;
        Some(&mut self.servers[at])
    }

    /// Takes a slot at the server with the most free ones, but for those in `tried`.
    pub fn acquire(
        &mut self,
        now: units_time::MonoInstant,
        tried: &[id::BackendServerId],
    ) -> Option<Lease> {
        let ignores_ejection = self.too_many_ejected(now);
        let free = |server: &backend_server::BackendServer| match ignores_ejection {
            true if server.is_ejected(now) => u32::from(server.in_flight() == 0),
            _ => server.free_slots(now),
        };
        let usable = |server: &&mut backend_server::BackendServer| {
            free(server) > 0 && !tried.contains(&server.record().backend_server)
        };
        let best = self.servers.iter_mut().filter(usable).max_by_key(|server| free(server))?;
        best.acquire_slot();
        Some(Lease { server: best.record().clone() })
    }

    /// Tells whether any server takes work at all, now or when a slot comes free.
    pub fn is_usable(&self, now: units_time::MonoInstant) -> bool {
        self.servers.iter().any(|server| !server.is_ejected(now) && server.is_ready())
    }

    /// Takes a slot for a request that another machine passed on.
    ///
    /// Only free slots beyond a quarter of all are given, and none while this machine's own
    /// requests wait; so whatever other machines believe, they can't overload this one.
    pub fn acquire_forwarded(&mut self, now: units_time::MonoInstant) -> Option<Lease> {
        let all: u32 = self.servers.iter().map(|server| server.slots(now)).sum();
        let free: u32 = self.servers.iter().map(|server| server.free_slots(now)).sum();
        match free > all / GUEST_RESERVE {
            true => self.acquire(now, &[]),
            false => None,
        }
    }

    /// Tells whether more servers are ejected than may be at a time.
    ///
    /// Each ejected server is then still tried with one request at a time.
    fn too_many_ejected(&self, now: units_time::MonoInstant) -> bool {
        let ejected = self.servers.iter().filter(|server| server.is_ejected(now)).count();
        ejected * 1_000 > self.servers.len() * EJECTED_MAX_PERMILLE
    }

    /// Gives a slot back.
    pub fn release(
        &mut self,
        now: units_time::MonoInstant,
        lease: &Lease,
        ending: backend_server::AttemptOutcome,
    ) {
        if let Some(server) = self.server_mut(&lease.server.backend_server) {
            server.release_slot(now, ending);
        }
    }
}

/// Returns the servers of `service` that belong to `me`, given the reachable machines of its
/// failure domain, sorted, with `me` among them.
pub fn own_servers(
    snapshot: &snapshot::Snapshot,
    service: &id::ServiceId,
    me: &id::VmId,
    failure_domain: &id::FailureDomainId,
    reachable: &[id::VmId],
) -> Vec<record::BackendServer> {
    let is_drained = |server: &record::BackendServer| {
        let name = server.backend_server.clone();
        snapshot.is_drained(&record::DrainTarget::BackendServer(name))
    };
    snapshot
        .backend_servers
        .iter()
        .filter(|server| server.service == *service && server.failure_domain == *failure_domain)
        .filter(|server| !is_drained(server))
        .filter(|server| owner(&server.backend_server, reachable) == Some(me))
        .cloned()
        .collect()
}

fn owner<'a>(server: &id::BackendServerId, reachable: &'a [id::VmId]) -> Option<&'a id::VmId> {
    reachable.iter().max_by_key(|vm| rendezvous::weight(server.as_str(), vm.as_str()))
}
