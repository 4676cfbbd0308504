//! Maintains a connection to the keeper, the control process of this machine, and a view of the
//! state that it last sent.
//!
//! While the keeper is unavailable, the last view stays in use. Charges fail then, since only the
//! keeper knows whether the organisation has tokens.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use waxwing_machine::fleet;
use waxwing_process::clock;
use waxwing_process::reporter;
use waxwing_protocol::frame;
use waxwing_protocol::local;
use waxwing_record::snapshot;
use waxwing_timeline::event;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// The number of shards of pending charges, each under its own lock.
const SHARDS: usize = 16;

/// The most frames that are queued for sending; further ones are dropped.
const QUEUE_MAX: usize = 16_384;

/// The interval between attempts to connect to the keeper.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The result of a charge.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a charge failed and the request must not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The keeper refused the charge.
    #[error("the charge was refused")]
    Refused(local::ChargeRefusal),
    /// The connection to the keeper is down or was lost before the response, or the send queue is
    /// full.
    #[error("the keeper of this machine is unavailable")]
    KeeperUnavailable,
}

/// The state that the keeper last sent.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The current records.
    pub records: sync::Arc<snapshot::Snapshot>,
    /// The reachable entry VMs, sorted by name.
    pub reachable: sync::Arc<Vec<fleet::ReachableVm>>,
    /// When the records were last confirmed to be the store's newest.
    pub confirmed_at: Option<units_time::MonoInstant>,
    /// Whether the keeper announced that the machine is leaving.
    pub is_leaving: bool,
}

/// Passes the response to the task that waits for a charge.
type ResponseSender = oneshot::Sender<std::result::Result<(), local::ChargeRefusal>>;

/// The pending charges of a shard.
type Shard = Vec<(id::Nonce, ResponseSender)>;

/// Called with each new view, on the thread that reads from the keeper.
pub type OnChange = Box<dyn Fn(&View) + Send + Sync>;

/// A client of the keeper, shared by the threads of a process.
pub struct Client {
    address: net::SocketAddr,
    role: event::Role,
    reporter: reporter::Reporter,
    view: Mutex<View>,
    queue: Mutex<Option<mpsc::SyncSender<Vec<u8>>>>,
    pending: Vec<Mutex<Shard>>,
    next_nonce: atomic::AtomicU64,
    on_change: OnChange,
}

impl Client {
    /// Starts a thread that connects to the keeper at `address`, and reconnects whenever the
    /// connection ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(
        address: net::SocketAddr,
        role: event::Role,
        reporter: reporter::Reporter,
        on_change: OnChange,
    ) -> io::Result<sync::Arc<Self>> {
        let client = sync::Arc::new(Self {
            address,
            role,
            reporter,
            view: Mutex::default(),
            queue: Mutex::default(),
            pending: (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect(),
            next_nonce: atomic::AtomicU64::new(1),
            on_change,
        });
        let running = client.clone();
        thread::Builder::new().name("keeper".to_owned()).spawn(move || running.run())?;
        Ok(client)
    }

    /// Returns the state that the keeper last sent.
    pub fn view(&self) -> View {
        self.view.lock().clone()
    }

    /// Returns whether any records have been received.
    pub fn has_records(&self) -> bool {
        self.view.lock().records.revision > id::Revision(0)
    }

    /// Charges an organisation for one request, which can wait for a token for up to `wait_ms`.
    ///
    /// # Errors
    ///
    /// Returns an error if no token was granted; the request must not run then.
    pub async fn charge(
        &self,
        organisation: id::OrganisationId,
        request: id::RequestId,
        wait_ms: units_time::Millis,
    ) -> Result<()> {
        let nonce = id::Nonce(self.next_nonce.fetch_add(1, atomic::Ordering::Relaxed));
        let (response_sender, response) = oneshot::channel();
        self.shard(nonce).lock().push((nonce, response_sender));
        let stamp = self.reporter.stamp();
        let charge = local::ToKeeper::Charge { nonce, organisation, request, wait_ms, stamp };
        if !self.send(&charge) {
            self.remove_pending(nonce);
            return Err(Error::KeeperUnavailable);
        }
        match response.await {
            Ok(decision) => decision.map_err(Error::Refused),
            Err(_) => Err(Error::KeeperUnavailable),
        }
    }

    /// Sends the current load of this process to the keeper; it is dropped without a connection.
    pub fn send_load(&self, load: fleet::Load) {
        self.send(&local::ToKeeper::Load(load));
    }

    fn shard(&self, nonce: id::Nonce) -> &Mutex<Shard> {
        &self.pending[nonce.0 as usize % SHARDS]
    }

    /// Removes a pending charge; returns `None` if it was removed before.
    fn remove_pending(&self, nonce: id::Nonce) -> Option<ResponseSender> {
        let mut shard = self.shard(nonce).lock();
        let at = shard.iter().position(|(pending, _)| *pending == nonce)?;
        Some(shard.swap_remove(at).1)
    }

    fn send(&self, message: &local::ToKeeper) -> bool {
        let Ok(encoded) = frame::encode(message) else {
            return false;
        };
        let queue = self.queue.lock();
        queue.as_ref().is_some_and(|queue| queue.try_send(encoded).is_ok())
    }

    fn run(&self) {
        loop {
            if let Err(error) = self.connect() {
                log::debug!("connection to the keeper failed: {error}");
            }
            *self.queue.lock() = None;
            self.pending.iter().for_each(|shard| shard.lock().clear());
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Connects, and handles messages until the connection ends.
    fn connect(&self) -> frame::Result<()> {
        let stream = net::TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        let write_stream = stream.try_clone()?;
        let (queue, frames) = mpsc::sync_channel(QUEUE_MAX);
        let write = move || write_all(&write_stream, &frames);
        thread::Builder::new().name("keeper-write".to_owned()).spawn(write)?;
        *self.queue.lock() = Some(queue);
        self.send(&local::ToKeeper::Hello { role: self.role });
        let mut reader = io::BufReader::new(stream);
        loop {
            self.handle(frame::read(&mut reader)?);
        }
    }

    fn handle(&self, message: local::FromKeeper) {
        match message {
            local::FromKeeper::Records(records) => {
                let revision = records.revision;
                self.update(|view| view.records = sync::Arc::new(*records));
                let source = event::Source::Keeper;
                self.reporter.report(event::Kind::RecordsInForce { revision, source });
            }
            local::FromKeeper::Fleet(reachable) => {
                self.update(|view| view.reachable = sync::Arc::new(reachable));
            }
            local::FromKeeper::Confirmed { ago_ms } => {
                let confirmed_at = clock::now().before(ago_ms.duration());
                self.view.lock().confirmed_at = Some(confirmed_at);
            }
            local::FromKeeper::Leave => self.update(|view| view.is_leaving = true),
            local::FromKeeper::Charged { nonce, decision, stamp } => {
                self.reporter.observe(stamp);
                if let Some(response_sender) = self.remove_pending(nonce)
                    && response_sender.send(decision).is_err()
                {
                    log::debug!("a charge was decided after its request was dropped");
                }
            }
        }
    }

    /// Updates the view, unless that would replace the records by a lower revision.
    fn update(&self, update: impl FnOnce(&mut View)) {
        let view = {
            let mut view = self.view.lock();
            let mut changed = view.clone();
            update(&mut changed);
            if changed.records.revision < view.records.revision {
                return;
            }
            *view = changed;
            view.clone()
        };
        (self.on_change)(&view);
    }
}

fn write_all(mut stream: &net::TcpStream, frames: &mpsc::Receiver<Vec<u8>>) {
    use io::Write;
    for encoded in frames {
        if stream.write_all(&encoded).is_err() {
            break;
        }
    }
    if stream.shutdown(net::Shutdown::Both).is_err() {
        log::debug!("the connection to the keeper is already closed");
    }
}
