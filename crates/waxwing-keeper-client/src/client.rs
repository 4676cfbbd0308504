//! Keeps a connection to the keeper and what it last said.
//!
//! When the keeper is away, its last word stays in force; charges are refused then, since
//! nobody can say whether the organisation has tokens left.

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

/// Shards of the questions that wait for an answer.
const SHARDS: usize = 16;

/// Frames that wait to be sent, at most.
const QUEUE_MAX: usize = 16_384;

/// How long to wait before the keeper is called again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The result of a charge.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells why a request may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The keeper refused.
    #[error("the charge was refused")]
    Refused(local::ChargeRefusal),
    /// The keeper is away.
    #[error("the keeper of this machine is away")]
    KeeperUnavailable,
}

/// What the keeper last said.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The records in force.
    pub records: sync::Arc<snapshot::Snapshot>,
    /// The machines that can be reached, sorted by name.
    pub reachable: sync::Arc<Vec<fleet::ReachableVm>>,
    /// When the records were last known to be the store's newest.
    pub confirmed_at: Option<units_time::MonoInstant>,
    /// Whether the machine leaves.
    pub is_leaving: bool,
}

/// An answer that somebody waits for.
type Answer = oneshot::Sender<std::result::Result<(), local::ChargeRefusal>>;

/// Waiting answers sorted by question.
type Shard = Vec<(id::Nonce, Answer)>;

/// Is called with each new view.
pub type OnChange = Box<dyn Fn(&View) + Send + Sync>;

/// The connection to the keeper.
pub struct Client {
    address: net::SocketAddr,
    role: event::Role,
    reporter: reporter::Reporter,
    view: Mutex<View>,
    queue: Mutex<Option<mpsc::SyncSender<Vec<u8>>>>,
    waiting: Vec<Mutex<Shard>>,
    next_nonce: atomic::AtomicU64,
    on_change: OnChange,
}

impl Client {
    /// Begins to call the keeper at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error where no thread can be started.
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
            waiting: (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect(),
            next_nonce: atomic::AtomicU64::new(1),
            on_change,
        });
        let running = client.clone();
        thread::Builder::new().name("keeper".to_owned()).spawn(move || running.run())?;
        Ok(client)
    }

    /// Returns what the keeper last said.
    pub fn view(&self) -> View {
        self.view.lock().clone()
    }

    /// Tells whether any records have come.
    pub fn has_records(&self) -> bool {
        self.view.lock().records.revision > id::Revision(0)
    }

    /// Charges an organisation for one request that can wait.
    ///
    /// # Errors
    ///
    /// Returns an error where the request must not run.
    pub async fn charge(
        &self,
        organisation: id::OrganisationId,
        request: id::RequestId,
        wait_ms: units_time::Millis,
    ) -> Result<()> {
        let nonce = id::Nonce(self.next_nonce.fetch_add(1, atomic::Ordering::Relaxed));
        let (answer, answered) = oneshot::channel();
        self.shard(nonce).lock().push((nonce, answer));
        let stamp = self.reporter.stamp();
        let charge = local::ToKeeper::Charge { nonce, organisation, request, wait_ms, stamp };
        if !self.send(&charge) {
            self.take(nonce);
            return Err(Error::KeeperUnavailable);
        }
        match answered.await {
            Ok(decision) => decision.map_err(Error::Refused),
            Err(_) => Err(Error::KeeperUnavailable),
        }
    }

    /// Tells the keeper what this process has to do.
    pub fn send_load(&self, load: fleet::Load) {
        self.send(&local::ToKeeper::Load(load));
    }

    fn shard(&self, nonce: id::Nonce) -> &Mutex<Shard> {
        &self.waiting[nonce.0 as usize % SHARDS]
    }

    /// Takes out who waits for an answer.
    fn take(&self, nonce: id::Nonce) -> Option<Answer> {
        let mut shard = self.shard(nonce).lock();
        let at = shard.iter().position(|(waiting, _)| *waiting == nonce)?;
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
                log::debug!("the keeper is away: {error}");
            }
            *self.queue.lock() = None;
            self.waiting.iter().for_each(|shard| shard.lock().clear());
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Connects and reads until the connection ends.
    fn connect(&self) -> frame::Result<()> {
        let stream = net::TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        let writing = stream.try_clone()?;
        let (queue, frames) = mpsc::sync_channel(QUEUE_MAX);
        let write = move || write_all(&writing, &frames);
        thread::Builder::new().name("keeper-write".to_owned()).spawn(write)?;
        *self.queue.lock() = Some(queue);
        self.send(&local::ToKeeper::Hello { role: self.role });
        let mut reading = io::BufReader::new(stream);
        loop {
            self.handle(frame::read(&mut reading)?);
        }
    }

    fn handle(&self, message: local::FromKeeper) {
        match message {
            local::FromKeeper::Records(records) => {
                let revision = records.revision;
                self.change(|view| view.records = sync::Arc::new(*records));
                let source = event::Source::Keeper;
                self.reporter.report(event::What::RecordsInForce { revision, source });
            }
            local::FromKeeper::Fleet(reachable) => {
                self.change(|view| view.reachable = sync::Arc::new(reachable));
            }
            local::FromKeeper::Confirmed { ago_ms } => {
                let confirmed_at = clock::now().before(ago_ms.duration());
                self.view.lock().confirmed_at = Some(confirmed_at);
            }
            local::FromKeeper::Leave => self.change(|view| view.is_leaving = true),
            local::FromKeeper::Charged { nonce, decision, stamp } => {
                self.reporter.observe(stamp);
                if let Some(answer) = self.take(nonce)
                    && answer.send(decision).is_err()
                {
                    log::debug!("a charged request has gone");
                }
            }
        }
    }

    /// Changes the view; records never go back to a lower revision.
    fn change(&self, change: impl FnOnce(&mut View)) {
        let view = {
            let mut view = self.view.lock();
            let mut changed = view.clone();
            change(&mut changed);
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
        log::debug!("the keeper has closed the connection already");
    }
}
