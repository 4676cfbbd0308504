//! The state that the threads of the keeper share, each part under its own lock.

use std::net;
use std::sync;
use std::sync::atomic;

use parking_lot::Mutex;
use waxwing_contract::accounts;
use waxwing_contract::charge;
use waxwing_contract::message;
use waxwing_contract::options;
use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_process::clock;
use waxwing_process::reporter;
use waxwing_protocol::local;
use waxwing_protocol::peer;
use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::charges;
use crate::connections;
use crate::heartbeats;
use crate::record_replication;
use crate::records;
use crate::timer;

/// The state that the threads of the keeper share.
#[derive(Debug)]
pub struct Keeper {
    /// The name of this machine and its incarnation, which differs for each start of the keeper.
    pub local_peer: message::Peer,
    /// When this keeper started.
    pub started_at: units_time::MonoInstant,
    /// The token accounts of all organisations on this machine.
    pub accounts: accounts::Accounts,
    /// The view of all entry VMs, from heartbeats and the platform's list.
    pub fleet: Mutex<fleet::Fleet>,
    /// The current records, and when they were last confirmed to be the newest.
    pub records: records::Records,
    /// Charges that wait for their decision.
    pub charges: charges::Charges,
    /// The connections of the lookup and entry processes of this machine.
    pub connections: connections::Connections,
    /// The record revisions that other keepers announce in heartbeats.
    pub peer_revisions: record_replication::PeerRevisions,
    /// The next deadline of each shard of accounts.
    pub timer: timer::Timer,
    /// Reports the events of the keeper.
    pub reporter: reporter::Reporter,
    /// The addresses, failure domain and phase that this machine announces.
    pub entry_vm: Mutex<entry_vm::EntryVm>,
    /// The last load that the entry process reported.
    pub load: Mutex<fleet::Load>,
    /// Whether the last call to the platform's store got a response.
    pub store_answers: atomic::AtomicBool,
    /// The number of datagrams and frames that could not be decoded.
    pub malformed: atomic::AtomicU64,
    socket: net::UdpSocket,
}

impl Keeper {
    /// Creates the shared state of a keeper that listens on `socket`, and the queue for the thread
    /// that fetches newer records from other keepers.
    pub fn new(
        entry_vm: entry_vm::EntryVm,
        incarnation: id::Incarnation,
        socket: net::UdpSocket,
    ) -> (Self, record_replication::RevisionQueue) {
        let local_peer = message::Peer { vm: entry_vm.vm.clone(), incarnation };
        let options = options::Options::default();
        let accounts =
            accounts::Accounts::new(options, local_peer.clone(), entry_vm.failure_domain.clone());
        let (peer_revisions, revision_queue) = record_replication::PeerRevisions::new();
        let keeper = Self {
            started_at: clock::now(),
            accounts,
            fleet: Mutex::default(),
            records: records::Records::default(),
            charges: charges::Charges::default(),
            connections: connections::Connections::default(),
            timer: timer::Timer::default(),
            reporter: reporter::Reporter::new(entry_vm.vm.clone(), event::Role::Keeper),
            entry_vm: Mutex::new(entry_vm),
            load: Mutex::default(),
            store_answers: atomic::AtomicBool::new(false),
            malformed: atomic::AtomicU64::new(0),
            peer_revisions,
            local_peer,
            socket,
        };
        (keeper, revision_queue)
    }

    /// Returns the UDP socket for datagrams between keepers.
    pub const fn socket(&self) -> &net::UdpSocket {
        &self.socket
    }

    /// Returns the addresses, failure domain and phase that this machine announces.
    pub fn entry_vm(&self) -> entry_vm::EntryVm {
        self.entry_vm.lock().clone()
    }

    /// Makes a newer record set current and announces its revision to other keepers at once; a set
    /// that is not newer has no effect.
    ///
    /// `read_at` is when this machine sent the read to the store. It is zero for records from
    /// another keeper, which do not confirm this machine's seats.
    pub fn apply_records(
        &self,
        record_set: records::RecordSet,
        source: event::Source,
        read_at: units_time::MonoInstant,
    ) {
        let Some(record_set) = self.records.replace_if_newer(record_set) else {
            return;
        };
        let now = clock::now();
        self.accounts.set_contracts(now, &record_set.snapshot.contracts());
        self.apply_seats(&record_set, read_at);
        for unreadable in &record_set.snapshot.unreadable {
            let path = unreadable.path.clone();
            self.reporter.report(event::Kind::RecordUnreadable { path });
        }
        let revision = record_set.revision;
        self.reporter.report(event::Kind::RecordsInForce { revision, source });
        self.connections.broadcast_records(&record_set.snapshot);
        self.publish_confirmed();
        heartbeats::send_round(self);
    }

    /// Passes the holders of all seats, as read at `read_at`, to the accounts.
    pub fn apply_seats(&self, record_set: &records::RecordSet, read_at: units_time::MonoInstant) {
        let mut out = accounts::Outbox::default();
        self.accounts.set_seats(clock::now(), read_at, &record_set.seat_tables(), &mut out);
        self.dispatch(out);
        self.timer.wake_all();
    }

    /// Delivers the output of the accounts: sends messages, responds to decided charges and arms
    /// the timer.
    pub fn dispatch(&self, out: accounts::Outbox) {
        for outgoing in out.outgoing {
            self.send_to(&outgoing.to, peer::Body::Contract(outgoing.message));
        }
        for (pending, decision) in out.decided {
            if let Some(charge_request) = self.charges.record_decision(pending, decision) {
                self.respond(&charge_request, decision);
            }
        }
        for (shard, wake) in out.wakes {
            self.timer.arm(shard, wake);
        }
    }

    /// Responds to a charge with the decision of its account.
    pub fn respond(&self, charge_request: &charges::ChargeRequest, decision: charge::Decision) {
        let decision = match decision {
            charge::Decision::Admitted => Ok(()),
            charge::Decision::Refused(refusal) => Err(local::ChargeRefusal::Contract(refusal)),
        };
        self.respond_with(charge_request, decision);
    }

    /// Responds to a charge and reports the decision as an event.
    pub fn respond_with(
        &self,
        charge_request: &charges::ChargeRequest,
        decision: Result<(), local::ChargeRefusal>,
    ) {
        let context = journal::Context {
            request: Some(charge_request.request.clone()),
            organisation: Some(charge_request.organisation.clone()),
        };
        self.reporter.report_with_context(
            context,
            match &decision {
                Ok(()) => event::Kind::TokenGranted,
                Err(refusal) => event::Kind::TokenRefused { reason: refusal.to_string() },
            },
        );
        let (nonce, stamp) = (charge_request.nonce, self.reporter.stamp());
        let frame = local::FromKeeper::Charged { nonce, decision, stamp };
        self.connections.send(charge_request.connection, &frame);
    }

    /// Sends a datagram to a machine; it is dropped if the machine's address is unknown.
    pub fn send_to(&self, vm: &id::VmId, body: peer::Body) {
        let address = self.fleet.lock().member(vm).map(|member| member.entry_vm.peer_address);
        if let Some(address) = address {
            self.send(address, body);
        }
    }

    /// Sends a datagram; one that can't be sent is treated as lost and is not retried.
    pub fn send(&self, address: net::SocketAddr, body: peer::Body) {
        let (from, stamp) = (self.local_peer.clone(), self.reporter.stamp());
        let datagram = peer::Datagram { from, stamp, body };
        let mut buffer = [0; peer::DATAGRAM_MAX_BYTES];
        match peer::encode(&datagram, &mut buffer) {
            Ok(bytes) => {
                if let Err(error) = self.socket.send_to(bytes, address) {
                    log::debug!("sending a datagram to {address} failed: {error}");
                }
            }
            Err(error) => log::warn!("encoding a datagram to {address} failed: {error}"),
        }
    }

    /// Counts and reports a datagram or frame that could not be decoded.
    pub fn count_malformed(&self) {
        self.malformed.fetch_add(1, atomic::Ordering::Relaxed);
        self.reporter.report(event::Kind::MalformedMessage);
    }

    /// Returns the time since the current records were confirmed to be the store's newest.
    pub fn confirmation_age(&self) -> Option<units_time::Millis> {
        let ago = clock::now().since(self.records.confirmed_at()?);
        Some(units_time::Millis(u64::try_from(ago.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Sends the [`Self::confirmation_age`] to the other processes of this machine.
    pub fn publish_confirmed(&self) {
        if let Some(ago_ms) = self.confirmation_age() {
            self.connections.broadcast_confirmation(ago_ms);
        }
    }

    /// Sends the reachable machines to the other processes of this machine.
    pub fn publish_fleet(&self) {
        let mut reachable = self.fleet.lock().reachable(clock::now());
        let entry_vm = self.entry_vm();
        if entry_vm.phase == entry_vm::Phase::Live {
            let (incarnation, load) = (self.local_peer.incarnation, self.load.lock().clone());
            let local_vm = fleet::ReachableVm { entry_vm, incarnation, load };
            match reachable.binary_search_by(|r| r.entry_vm.vm.cmp(&self.local_peer.vm)) {
                Ok(index) => reachable[index] = local_vm,
                Err(index) => reachable.insert(index, local_vm),
            }
        }
        self.connections.broadcast_fleet(reachable);
    }
}

/// The response to `/status`, which `waxwing status` collects from all keepers.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The addresses, failure domain and phase that the machine announces.
    pub entry_vm: entry_vm::EntryVm,
    /// The revision of the current records.
    pub revision: id::Revision,
    /// Whether the last call to the platform's store got a response.
    pub store_answers: bool,
    /// The reachable machines, without this one.
    pub reachable: Vec<id::VmId>,
    /// The number of seats that this machine holds, by failure domain.
    pub seats: Vec<SeatCount>,
    /// A summary of the account of each organisation.
    pub accounts: Vec<accounts::Summary>,
    /// The share of each service's traffic that the machine sends to other regions.
    pub shares: Vec<fleet::ShiftedShare>,
    /// The targets that operators have drained.
    pub drained: Vec<waxwing_record::record::DrainTarget>,
}

/// The number of seats of one failure domain that a machine holds.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SeatCount {
    /// The failure domain that the seats belong to.
    pub failure_domain: id::FailureDomainId,
    /// The number of seats.
    pub seats: usize,
}

impl Keeper {
    /// Returns the current status, for operators.
    pub fn status(&self) -> Status {
        let record_set = self.records.current();
        let reachable = self.fleet.lock().reachable(clock::now());
        let count = |versioned: &records::VersionedSeatTable| SeatCount {
            failure_domain: versioned.table.failure_domain.clone(),
            seats: versioned
                .table
                .holders
                .iter()
                .flatten()
                .filter(|vm| **vm == self.local_peer.vm)
                .count(),
        };
        Status {
            entry_vm: self.entry_vm(),
            revision: record_set.revision,
            store_answers: self.store_answers.load(atomic::Ordering::Acquire),
            reachable: reachable.into_iter().map(|reachable| reachable.entry_vm.vm).collect(),
            seats: record_set.seats.iter().map(count).filter(|count| count.seats > 0).collect(),
            accounts: self.accounts.summaries(),
            shares: self.load.lock().shares.clone(),
            drained: record_set.snapshot.drained.clone(),
        }
    }

    /// Returns [`Self::status`] as JSON.
    pub fn status_json(&self) -> String {
        serde_json::to_string(&self.status()).unwrap_or_else(|error| error.to_string())
    }
}

/// A reference to the shared state that each thread owns.
pub type Shared = sync::Arc<Keeper>;
