//! Pool of the backend servers that an entry VM uses, and the choice of one by its free slots.
//!
//! A machine uses the servers of its own failure domain. Where several machines share a failure
//! domain, each server is assigned to one of them by rendezvous hashing over the reachable
//! machines, so that its slots are not counted twice. While machines disagree about which are
//! reachable, two may use one server; they then send at most twice its slots, and the server sheds
//! the excess and reports that it did not run it.

use waxwing_record::record;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::backend_server;

/// The share of a pool's servers that may be ejected at a time, in thousandths.
const EJECTED_MAX_PERMILLE: usize = 500;

/// One slot in this many is reserved for requests of this machine's own callers.
const FORWARDED_RESERVE_DIVISOR: u32 = 4;

/// A lease of a slot at a server, held while a request is in progress there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The server's record when the slot was acquired.
    pub server: record::BackendServer,
}

/// The servers of one service that are assigned to this machine, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    servers: Vec<backend_server::BackendServer>,
}

impl Pool {
    /// Replaces the servers that are assigned to this machine.
    ///
    /// Servers that stay keep their state; removed ones receive no new requests.
    pub fn set_records(
        &mut self,
        now: units_time::MonoInstant,
        records: Vec<record::BackendServer>,
    ) {
        let mut previous = std::mem::take(&mut self.servers);
        for record in records {
            let is_same = |server: &backend_server::BackendServer| {
                server.record().backend_server == record.backend_server
            };
            match previous.iter().position(is_same) {
                Some(at) => {
                    let mut server = previous.swap_remove(at);
                    server.set_record(record);
                    self.servers.push(server);
                }
                None => self.servers.push(backend_server::BackendServer::new(record, now)),
            }
        }
        self.servers.sort_by(|a, b| a.record().backend_server.cmp(&b.record().backend_server));
    }

    /// Returns the servers, sorted by name.
    pub fn servers(&self) -> &[backend_server::BackendServer] {
        &self.servers
    }

    /// Returns the server named `name`, if it is in the pool.
    pub fn server_mut(
        &mut self,
        name: &id::BackendServerId,
    ) -> Option<&mut backend_server::BackendServer> {
        let at = self.servers.binary_search_by(|s| s.record().backend_server.cmp(name)).ok()?;
        Some(&mut self.servers[at])
    }

    /// Acquires a slot at the server with the most free slots, other than those in `tried`.
    pub fn acquire(
        &mut self,
        now: units_time::MonoInstant,
        tried: &[id::BackendServerId],
    ) -> Option<Lease> {
        let probes_ejected = self.exceeds_ejection_limit(now);
        let free = |server: &backend_server::BackendServer| match probes_ejected {
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

    /// Returns whether any server accepts requests, at once or when a slot becomes free.
    pub fn is_usable(&self, now: units_time::MonoInstant) -> bool {
        self.servers.iter().any(|server| !server.is_ejected(now) && server.is_ready())
    }

    /// Acquires a slot for a request that another entry VM forwarded.
    ///
    /// Only free slots beyond a quarter of all are given, and none while this machine's own
    /// requests are queued. So other machines can't overload this one, whatever load they assume.
    pub fn acquire_forwarded(&mut self, now: units_time::MonoInstant) -> Option<Lease> {
        let all: u32 = self.servers.iter().map(|server| server.slots(now)).sum();
        let free: u32 = self.servers.iter().map(|server| server.free_slots(now)).sum();
        match free > all / FORWARDED_RESERVE_DIVISOR {
            true => self.acquire(now, &[]),
            false => None,
        }
    }

    /// Returns whether more servers are ejected than may be at a time.
    ///
    /// Each ejected server then still receives one request at a time.
    fn exceeds_ejection_limit(&self, now: units_time::MonoInstant) -> bool {
        let ejected = self.servers.iter().filter(|server| server.is_ejected(now)).count();
        ejected * 1_000 > self.servers.len() * EJECTED_MAX_PERMILLE
    }

    /// Releases a slot with the request's outcome.
    pub fn release(
        &mut self,
        now: units_time::MonoInstant,
        lease: &Lease,
        outcome: backend_server::AttemptOutcome,
    ) {
        if let Some(server) = self.server_mut(&lease.server.backend_server) {
            server.release_slot(now, outcome);
        }
    }
}

/// Returns the servers of `service` that are assigned to machine `me`.
///
/// `reachable` holds the reachable machines of its failure domain, sorted, with `me` among them.
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
