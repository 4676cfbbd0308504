//! What the threads of the keeper share, each part under a lock of its own.

use std::net;
use std::sync;
use std::sync::atomic;

use parking_lot::Mutex;
use waxwing_contract::accounts;
use waxwing_contract::borrower;
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
use crate::copies;
use crate::heartbeats;
use crate::records;
use crate::timer;

/// What the threads of the keeper share.
#[derive(Debug)]
pub struct Keeper {
    /// This start of the keeper.
    pub me: message::Peer,
    /// When the keeper began.
    pub started_at: units_time::MonoInstant,
    /// The accounts of all organisations.
    pub accounts: accounts::Accounts,
    /// The view of all machines.
    pub fleet: Mutex<fleet::Fleet>,
    /// The records in force.
    pub records: records::Records,
    /// Requests that wait for a token.
    pub charges: charges::Charges,
    /// Connections of the other processes of this machine.
    pub connections: connections::Connections,
    /// Revisions that other keepers told of.
    pub heard_revisions: copies::HeardRevisions,
    /// The instants at which accounts have something to do.
    pub timer: timer::Timer,
    /// Events of the keeper.
    pub reporter: reporter::Reporter,
    /// What this machine tells about itself.
    pub entry_vm: Mutex<entry_vm::EntryVm>,
    /// What the entry process last told about its work.
    pub load: Mutex<fleet::Load>,
    /// Whether the platform's store answered the last call.
    pub store_answers: atomic::AtomicBool,
    /// Datagrams and frames that could not be read.
    pub malformed: atomic::AtomicU64,
    socket: net::UdpSocket,
}

impl Keeper {
    /// Creates the shared state of a keeper that listens on `socket`, and the queue for the
    /// thread that fetches copies of records.
    pub fn new(
        entry_vm: entry_vm::EntryVm,
        incarnation: id::Incarnation,
        socket: net::UdpSocket,
    ) -> (Self, copies::Heard) {
        let me = message::Peer { vm: entry_vm.vm.clone(), incarnation };
        let options = options::Options::default();
        let accounts =
            accounts::Accounts::new(options, me.clone(), entry_vm.failure_domain.clone());
        let (heard_revisions, heard) = copies::HeardRevisions::new();
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
            heard_revisions,
            me,
            socket,
        };
        (keeper, heard)
    }

    /// Returns the socket for other keepers.
    pub const fn socket(&self) -> &net::UdpSocket {
        &self.socket
    }

    /// Returns what this machine tells about itself.
    pub fn entry_vm(&self) -> entry_vm::EntryVm {
        self.entry_vm.lock().clone()
    }

    /// Puts a newer set of records in force and tells other keepers of it at once; an older one
    /// changes nothing.
    ///
    /// `read_at` is when the read of the store began, if it was this machine's own.
    pub fn put_in_force(
        &self,
        agreed: records::Agreed,
        source: event::Source,
        read_at: units_time::MonoInstant,
    ) {
        let Some(agreed) = self.records.advance(agreed) else {
            return;
        };
        let now = clock::now();
        self.accounts.set_contracts(now, &agreed.snapshot.contracts());
        self.show_seats(&agreed, read_at);
        for unreadable in &agreed.snapshot.unreadable {
            let path = unreadable.path.clone();
            self.reporter.report(event::Kind::RecordUnreadable { path });
        }
        let revision = agreed.revision;
        self.reporter.report(event::Kind::RecordsInForce { revision, source });
        self.connections.records_changed(&agreed.snapshot);
        heartbeats::beat(self);
    }

    /// Shows the accounts who holds which seat.
    pub fn show_seats(&self, agreed: &records::Agreed, read_at: units_time::MonoInstant) {
        let mut out = accounts::Outbox::default();
        self.accounts.set_seats(clock::now(), read_at, &agreed.tables(), &mut out);
        self.dispatch(out);
        self.timer.wake_all();
    }

    /// Sends messages, answers decided requests and notes when something is due next.
    pub fn dispatch(&self, out: accounts::Outbox) {
        for outgoing in out.outgoing {
            self.send_to(&outgoing.to, peer::Body::Contract(outgoing.message));
        }
        for (pending, decision) in out.decided {
            if let Some(asker) = self.charges.decide(pending, decision) {
                self.answer(&asker, decision);
            }
        }
        for (shard, wake) in out.wakes {
            self.timer.arm(shard, wake);
        }
    }

    /// Answers a request for a token.
    pub fn answer(&self, asker: &charges::Asker, decision: borrower::Decision) {
        let decision = match decision {
            borrower::Decision::Admitted => Ok(()),
            borrower::Decision::Refused(refusal) => Err(local::ChargeRefusal::Contract(refusal)),
        };
        self.answer_with(asker, decision);
    }

    /// Answers a request for a token and reports the answer.
    pub fn answer_with(&self, asker: &charges::Asker, decision: Result<(), local::ChargeRefusal>) {
        let about = journal::Context {
            request: Some(asker.request.clone()),
            organisation: Some(asker.organisation.clone()),
        };
        self.reporter.report_about(
            about,
            match &decision {
                Ok(()) => event::Kind::TokenGranted,
                Err(refusal) => event::Kind::TokenRefused { reason: refusal.to_string() },
            },
        );
        let (nonce, stamp) = (asker.nonce, self.reporter.stamp());
        let frame = local::FromKeeper::Charged { nonce, decision, stamp };
        self.connections.send(asker.connection, &frame);
    }

    /// Sends a datagram to a machine, if it is known where it listens.
    pub fn send_to(&self, vm: &id::VmId, body: peer::Body) {
        let address = self.fleet.lock().member(vm).map(|member| member.entry_vm.peer_address);
        if let Some(address) = address {
            self.send(address, body);
        }
    }

    /// Sends a datagram; one that can't be sent counts as lost.
    pub fn send(&self, address: net::SocketAddr, body: peer::Body) {
        let (from, stamp) = (self.me.clone(), self.reporter.stamp());
        let datagram = peer::Datagram { from, stamp, body };
        let mut buffer = [0; peer::DATAGRAM_MAX_BYTES];
        match peer::encode(&datagram, &mut buffer) {
            Ok(bytes) => {
                if let Err(error) = self.socket.send_to(bytes, address) {
                    log::debug!("a datagram to {address} was lost: {error}");
                }
            }
            Err(error) => log::warn!("a datagram to {address} was not sent: {error}"),
        }
    }

    /// Counts a message that could not be read.
    pub fn count_malformed(&self) {
        self.malformed.fetch_add(1, atomic::Ordering::Relaxed);
        self.reporter.report(event::Kind::MalformedMessage);
    }

    /// Returns how long ago the records in force were known to be the store's newest.
    pub fn confirmed_ago(&self) -> Option<units_time::Millis> {
        let ago = clock::now().since(self.records.confirmed_at()?);
        Some(units_time::Millis(u64::try_from(ago.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Tells the other processes of this machine how old the records in force may be.
    pub fn publish_confirmed(&self) {
        if let Some(ago_ms) = self.confirmed_ago() {
            self.connections.confirmed(ago_ms);
        }
    }

    /// Tells the other processes of this machine which machines can be reached.
    pub fn publish_fleet(&self) {
        let mut reachable = self.fleet.lock().reachable(clock::now());
        let entry_vm = self.entry_vm();
        if entry_vm.phase == entry_vm::Phase::Live {
            let (incarnation, load) = (self.me.incarnation, self.load.lock().clone());
            let me = fleet::ReachableVm { entry_vm, incarnation, load };
            match reachable.binary_search_by(|r| r.entry_vm.vm.cmp(&self.me.vm)) {
                Ok(at) => reachable[at] = me,
                Err(at) => reachable.insert(at, me),
            }
        }
        self.connections.fleet_changed(reachable);
    }
}

/// What an operator's overview shows of one keeper.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// What the machine tells about itself.
    pub entry_vm: entry_vm::EntryVm,
    /// The revision in force.
    pub revision: id::Revision,
    /// Whether the platform's store answers.
    pub store_answers: bool,
    /// Machines that can be reached, without this one.
    pub reachable: Vec<id::VmId>,
    /// The seats of this machine, by failure domain.
    pub seats: Vec<SeatCount>,
    /// The accounts of all organisations.
    pub accounts: Vec<accounts::Summary>,
    /// The share of each service's traffic that the machine sends to other regions.
    pub shares: Vec<fleet::ShiftedShare>,
    /// What is drained.
    pub drained: Vec<waxwing_record::record::DrainTarget>,
}

/// How many seats of a failure domain a machine has.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SeatCount {
    /// The failure domain.
    pub failure_domain: id::FailureDomainId,
    /// The seats.
    pub seats: usize,
}

impl Keeper {
    /// Returns what an operator's overview shows.
    pub fn status(&self) -> Status {
        let agreed = self.records.get();
        let reachable = self.fleet.lock().reachable(clock::now());
        let count = |at: &records::SeatsAt| SeatCount {
            failure_domain: at.table.failure_domain.clone(),
            seats: at.table.holders.iter().flatten().filter(|vm| **vm == self.me.vm).count(),
        };
        Status {
            entry_vm: self.entry_vm(),
            revision: agreed.revision,
            store_answers: self.store_answers.load(atomic::Ordering::Acquire),
            reachable: reachable.into_iter().map(|reachable| reachable.entry_vm.vm).collect(),
            seats: agreed.seats.iter().map(count).filter(|count| count.seats > 0).collect(),
            accounts: self.accounts.summaries(),
            shares: self.load.lock().shares.clone(),
            drained: agreed.snapshot.drained.clone(),
        }
    }

    /// Returns [`Self::status`] as JSON.
    pub fn status_text(&self) -> String {
        serde_json::to_string(&self.status()).unwrap_or_else(|error| error.to_string())
    }
}

/// The shared state, as threads hold it.
pub type Shared = sync::Arc<Keeper>;
