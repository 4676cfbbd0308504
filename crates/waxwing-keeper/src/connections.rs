//! Frames of the other processes of this machine.

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

use crate::charges;
use crate::keeper;

/// Frames that wait for a slow process, at most; a process that is slower is disconnected.
const QUEUE_MAX: usize = 65_536;

/// An encoded frame; one that goes to several processes is encoded once.
type Encoded = sync::Arc<[u8]>;

/// A connection of another process.
#[derive(Debug)]
struct Connection {
    id: charges::ConnectionId,
    queue: mpsc::SyncSender<Encoded>,
}

/// What every process is told when it connects.
#[derive(Debug, Default)]
struct Newest {
    records: Option<Encoded>,
    fleet: Option<Encoded>,
}

/// The connections of the other processes of this machine.
#[derive(Debug, Default)]
pub struct Connections {
    next_id: atomic::AtomicU64,
    open: Mutex<Vec<Connection>>,
    newest: Mutex<Newest>,
}

impl Connections {
    /// Sends a frame on one connection.
    pub fn send(&self, connection: charges::ConnectionId, frame: &local::FromKeeper) {
        let Some(encoded) = encode(frame) else {
            return;
        };
        let mut open = self.open.lock();
        open.retain(|c| c.id != connection || c.queue.try_send(encoded.clone()).is_ok());
    }

    /// Sends new records on all connections.
    pub fn records_changed(&self, snapshot: &snapshot::Snapshot) {
        let frame = local::FromKeeper::Records(Box::new(snapshot.clone()));
        if let Some(encoded) = encode(&frame) {
            self.newest.lock().records = Some(encoded.clone());
            self.broadcast(&encoded);
        }
    }

    /// Sends a view of the machines on all connections, if it differs from the last one.
    pub fn fleet_changed(&self, reachable: Vec<fleet::ReachableVm>) {
        let Some(encoded) = encode(&local::FromKeeper::Fleet(reachable)) else {
            return;
        };
        let last = self.newest.lock().fleet.replace(encoded.clone());
        if last.as_ref() != Some(&encoded) {
            self.broadcast(&encoded);
        }
    }

    /// Tells all processes how old the records in force may be.
    pub fn confirmed(&self, ago_ms: units_time::Millis) {
        if let Some(encoded) = encode(&local::FromKeeper::Confirmed { ago_ms }) {
            self.broadcast(&encoded);
        }
    }

    /// Tells all processes that the machine leaves.
    pub fn leave(&self) {
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
        let newest = self.newest.lock();
        let first = newest.records.iter().chain(newest.fleet.iter());
        for encoded in first {
            if queue.try_send(encoded.clone()).is_err() {
                log::debug!("a process left before it was told anything");
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
            log::error!("a frame could not be encoded: {error}");
            None
        }
    }
}

/// Accepts connections; returns only where the listener fails.
///
/// # Errors
///
/// Returns an error where no thread can be started for a connection.
pub fn run(keeper: &keeper::Shared, listener: &net::TcpListener) -> io::Result<()> {
    for stream in listener.incoming() {
        match stream {
            Ok(stream) => accept(keeper, stream)?,
            Err(error) => log::debug!("a connection could not be accepted: {error}"),
        }
    }
    Ok(())
}

fn accept(keeper: &keeper::Shared, stream: net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let reading = stream.try_clone()?;
    let (id, queue) = keeper.connections.add();
    let write = move || write_all(&stream, &queue);
    thread::Builder::new().name("local-write".to_owned()).spawn(write)?;
    let keeper = keeper.clone();
    let read = move || {
        read_all(&keeper, id, reading);
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
        log::debug!("the process has closed its connection already");
    }
}

fn read_all(keeper: &keeper::Keeper, id: charges::ConnectionId, stream: net::TcpStream) {
    let mut stream = io::BufReader::new(stream);
    loop {
        match frame::read(&mut stream) {
            Ok(message) => handle(keeper, id, message),
            Err(frame::Error::Io(_)) => return,
            Err(error) => {
                log::warn!("a process of this machine sent what can't be read: {error}");
                keeper.count_malformed();
                return;
            }
        }
    }
}

fn handle(keeper: &keeper::Keeper, connection: charges::ConnectionId, message: local::ToKeeper) {
    match message {
        local::ToKeeper::Hello { role } => log::info!("the {role} process has connected"),
        local::ToKeeper::Load(load) => *keeper.load.lock() = load,
        local::ToKeeper::Charge { nonce, organisation, request, wait_ms, stamp } => {
            keeper.reporter.observe(stamp);
            let asker = charges::Asker { connection, nonce, organisation, request };
            charge(keeper, &asker, wait_ms);
        }
    }
}

fn charge(keeper: &keeper::Keeper, asker: &charges::Asker, wait_ms: units_time::Millis) {
    let mut out = accounts::Outbox::default();
    let wait = wait_ms.duration();
    let charge = keeper.accounts.charge(clock::now(), &asker.organisation, wait, &mut out);
    keeper.dispatch(out);
    match charge {
        accounts::Charge::Decided(decision) => keeper.answer(asker, decision),
        accounts::Charge::Waiting(pending) => {
            if let Some(decision) = keeper.charges.wait(&pending, asker) {
                keeper.answer(asker, decision);
            }
        }
        accounts::Charge::UnknownOrganisation => {
            keeper.answer_with(asker, Err(local::ChargeRefusal::UnknownOrganisation));
        }
    }
}
