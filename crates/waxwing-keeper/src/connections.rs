//! The connections of the lookup and entry processes of this machine, over TCP on loopback.
//!
//! The newest records and reachable machines are sent to every process when it connects and when
//! they change. Each connection has a reading and a writing thread.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;

use parking_lot::Mutex;
use waxwing_contract::accounts;
use waxwing_machine::fleet;
use waxwing_process::clock;
use waxwing_protocol::frame;
use waxwing_protocol::local;
use waxwing_record::snapshot;
use waxwing_units::time as units_time;

use crate::acceptor;
use crate::charges;
use crate::keeper;

/// The most frames that are queued for a process; one that falls further behind is disconnected.
const QUEUE_MAX: usize = 65_536;

/// An encoded frame, shared so that a broadcast is encoded once.
type Encoded = sync::Arc<[u8]>;

/// An open connection and the queue of its writing thread.
#[derive(Debug)]
struct Connection {
    id: charges::ConnectionId,
    queue: mpsc::SyncSender<Encoded>,
}

/// The newest frames, which every process gets when it connects.
#[derive(Debug, Default)]
struct LatestFrames {
    records: Option<Encoded>,
    fleet: Option<Encoded>,
}

/// The connections of the other processes of this machine.
#[derive(Debug, Default)]
pub struct Connections {
    next_id: atomic::AtomicU64,
    open: Mutex<Vec<Connection>>,
    latest: Mutex<LatestFrames>,
}

impl Connections {
    /// Sends a frame on one connection, and closes the connection if its queue is full.
    pub fn send(&self, connection: charges::ConnectionId, frame: &local::FromKeeper) {
        let Some(encoded) = encode(frame) else {
            return;
        };
        let mut open = self.open.lock();
        open.retain(|c| c.id != connection || c.queue.try_send(encoded.clone()).is_ok());
    }

    /// Sends new records to all processes.
    pub fn broadcast_records(&self, snapshot: &snapshot::Snapshot) {
        let frame = local::FromKeeper::Records(Box::new(snapshot.clone()));
        if let Some(encoded) = encode(&frame) {
            self.latest.lock().records = Some(encoded.clone());
            self.broadcast(&encoded);
        }
    }

    /// Sends the reachable machines to all processes, if they differ from the last ones sent.
    pub fn broadcast_fleet(&self, reachable: Vec<fleet::ReachableVm>) {
        let Some(encoded) = encode(&local::FromKeeper::Fleet(reachable)) else {
            return;
        };
        let previous = self.latest.lock().fleet.replace(encoded.clone());
        if previous.as_ref() != Some(&encoded) {
            self.broadcast(&encoded);
        }
    }

    /// Sends the time since the records were last confirmed to all processes.
    pub fn broadcast_confirmation(&self, ago_ms: units_time::Millis) {
        if let Some(encoded) = encode(&local::FromKeeper::Confirmed { ago_ms }) {
            self.broadcast(&encoded);
        }
    }

    /// Announces to all processes that the machine is leaving.
    pub fn broadcast_leave(&self) {
        if let Some(encoded) = encode(&local::FromKeeper::Leave) {
            self.broadcast(&encoded);
        }
    }

    /// Returns how many processes are connected.
    pub fn count(&self) -> usize {
        self.open.lock().len()
    }

    fn broadcast(&self, encoded: &Encoded) {
        self.open.lock().retain(|c| c.queue.try_send(encoded.clone()).is_ok());
    }

    fn add(&self) -> (charges::ConnectionId, mpsc::Receiver<Encoded>) {
        let id = charges::ConnectionId(self.next_id.fetch_add(1, atomic::Ordering::Relaxed));
        let (queue, receiver) = mpsc::sync_channel(QUEUE_MAX);
        self.open.lock().push(Connection { id, queue: queue.clone() });
        let latest = self.latest.lock();
        let initial = latest.records.iter().chain(latest.fleet.iter());
        for encoded in initial {
            if queue.try_send(encoded.clone()).is_err() {
                log::debug!("a process disconnected before it received its first frames");
            }
        }
        (id, receiver)
    }

    fn remove(&self, id: charges::ConnectionId) {
        self.open.lock().retain(|connection| connection.id != id);
    }
}

fn encode(message: &local::FromKeeper) -> Option<Encoded> {
    match frame::encode(message) {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            log::error!("encoding a frame for a process of this machine failed: {error}");
            None
        }
    }
}

/// Accepts connections; never returns.
pub fn run(keeper: &keeper::Shared, listener: &net::TcpListener) {
    acceptor::serve("a process of this machine", listener, |stream| accept(keeper, stream));
}

fn accept(keeper: &keeper::Shared, stream: net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let read_stream = stream.try_clone()?;
    let (id, queue) = keeper.connections.add();
    let write = move || write_all(&stream, &queue);
    thread::Builder::new().name("local-write".to_owned()).spawn(write)?;
    let keeper = keeper.clone();
    let read = move || {
        read_all(&keeper, id, read_stream);
        keeper.connections.remove(id);
    };
    thread::Builder::new().name("local-read".to_owned()).spawn(read)?;
    Ok(())
}

fn write_all(mut stream: &net::TcpStream, queue: &mpsc::Receiver<Encoded>) {
    use io::Write;
    for encoded in queue {
        if stream.write_all(&encoded).is_err() {
            break;
        }
    }
    if stream.shutdown(net::Shutdown::Both).is_err() {
        log::debug!("the connection of a process is already closed");
    }
}

fn read_all(keeper: &keeper::Keeper, id: charges::ConnectionId, stream: net::TcpStream) {
    let mut stream = io::BufReader::new(stream);
    loop {
        match frame::read(&mut stream) {
            Ok(message) => handle(keeper, id, message),
            Err(frame::Error::Io(_)) => return,
            Err(error) => {
                log::warn!("a process of this machine sent an invalid frame: {error}");
                keeper.count_malformed();
                return;
            }
        }
    }
}

fn handle(keeper: &keeper::Keeper, connection: charges::ConnectionId, message: local::ToKeeper) {
    match message {
        local::ToKeeper::Hello { role } => log::info!("the {role} process connected"),
        local::ToKeeper::Load(load) => *keeper.load.lock() = load,
        local::ToKeeper::Charge { nonce, organisation, request, wait_ms, stamp } => {
            keeper.reporter.observe(stamp);
            let charge_request =
                charges::ChargeRequest { connection, nonce, organisation, request };
            charge(keeper, &charge_request, wait_ms);
        }
    }
}

fn charge(
    keeper: &keeper::Keeper,
    charge_request: &charges::ChargeRequest,
    wait_ms: units_time::Millis,
) {
    let mut out = accounts::Outbox::default();
    let wait = wait_ms.duration();
    let charge = keeper.accounts.charge(clock::now(), &charge_request.organisation, wait, &mut out);
    keeper.dispatch(out);
    match charge {
        accounts::Charge::Decided(decision) => keeper.respond(charge_request, decision),
        accounts::Charge::Waiting(pending) => {
            if let Some(decision) = keeper.charges.register(&pending, charge_request) {
                keeper.respond(charge_request, decision);
            }
        }
        accounts::Charge::UnknownOrganisation => {
            keeper.respond_with(charge_request, Err(local::ChargeRefusal::UnknownOrganisation));
        }
    }
}
