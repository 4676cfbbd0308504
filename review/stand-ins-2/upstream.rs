//! A stand-in of an upstream: one process of a service, which registers itself in the store, runs
//! requests one at a time for each connection, and keeps a list of what reached it.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// How often an upstream writes its registration.
const PING_INTERVAL: Duration = Duration::from_millis(1_500);

/// A request that reached an upstream and was run.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub request_id: String,
    pub at: Instant,
    /// When its run ended, or was dropped since its connection was closed.
    pub ended_at: Option<Instant>,
}

/// What an upstream is started with.
#[derive(Debug, Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: Option<SocketAddr>,
    /// How long it stays cold after its start.
    pub cold: Duration,
    /// How long a request takes.
    pub work: Duration,
    /// By how much the clock of its machine is ahead.
    pub clock_ahead_ms: i64,
}

#[derive(Clone)]
pub struct Upstream {
    pub options: Options,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    born_ms: i64,
    cold_until: Arc<Mutex<Instant>>,
    sequence: Arc<AtomicU32>,
    is_leaving: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    store: Store,
    record: Record,
}

fn true_time_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as i64)
}

impl Upstream {
    pub fn start(options: Options, store: &Store, record: &Record) -> std::io::Result<Self> {
        let wanted = options.address.unwrap_or_else(|| (Ipv4Addr::LOCALHOST, 0).into());
        let listener = TcpListener::bind(wanted)?;
        listener.set_nonblocking(true)?;
        let upstream = Self {
            address: listener.local_addr()?,
            arrivals: Arc::default(),
            born_ms: true_time_ms() + options.clock_ahead_ms,
            cold_until: Arc::new(Mutex::new(Instant::now() + options.cold)),
            sequence: Arc::default(),
            is_leaving: Arc::default(),
            has_ended: Arc::default(),
            connections: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            options,
        };
        record.say(&format!(
            "upstream {} starts at {}, born {}, cold for {:.1} s",
            upstream.options.id,
            upstream.address,
            upstream.born_ms,
            upstream.options.cold.as_secs_f64()
        ));
        let accepting = upstream.clone();
        thread::spawn(move || accepting.accept(&listener));
        let pinging = upstream.clone();
        thread::spawn(move || {
            while !pinging.has_ended.load(Ordering::Acquire) {
                pinging.ping();
                thread::sleep(PING_INTERVAL);
            }
        });
        Ok(upstream)
    }

    fn ping(&self) {
        let cold = self.cold_left();
        let state = if self.is_leaving.load(Ordering::Acquire) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"coldRemainingS\":{:.3},\"sequence\":{sequence},\"born\":{}}}",
            self.options.service,
            self.address,
            self.options.zone,
            self.options.slots,
            cold.as_secs_f64(),
            self.born_ms
        );
        if !self.has_ended.load(Ordering::Acquire) {
            self.store.put(&format!("servers/{}", self.options.id), &value);
        }
    }

    /// Returns how long it stays cold.
    fn cold_left(&self) -> Duration {
        self.cold_until.lock().unwrap().saturating_duration_since(Instant::now())
    }

    /// Becomes cold again; the registration tells it with the next ping, the health response at once.
    pub fn become_cold(&self, span: Duration) {
        *self.cold_until.lock().unwrap() = Instant::now() + span;
        let (id, span_s) = (&self.options.id, span.as_secs_f64());
        self.record.say(&format!("upstream {id} is cold for {span_s:.1} s"));
    }

    /// Reports that it leaves, and goes on serving; returns when the store has accepted the report.
    pub fn leave(&self) -> Instant {
        self.is_leaving.store(true, Ordering::Release);
        self.ping();
        self.record.say(&format!("upstream {} reports draining", self.options.id));
        Instant::now()
    }

    /// Ends as in a crash: all connections are closed, and nothing is said to the store.
    pub fn crash(&self) {
        self.record.say(&format!("upstream {} crashes", self.options.id));
        self.has_ended.store(true, Ordering::Release);
        for connection in self.connections.lock().unwrap().drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.has_ended.load(Ordering::Acquire) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    stream.set_nodelay(true).ok();
                    if let Ok(copy) = stream.try_clone() {
                        self.connections.lock().unwrap().push(copy);
                    }
                    let serving = self.clone();
                    thread::spawn(move || serving.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut writer = stream;
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.has_ended.load(Ordering::Acquire) {
                return;
            }
            let Some(bytes) = self.answer(&request, &writer) else {
                return;
            };
            if self.has_ended.load(Ordering::Acquire) || writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a request; `None` if its connection is closed meanwhile.
    fn answer(&self, request: &http::Message, connection: &TcpStream) -> Option<Vec<u8>> {
        if request.path() == "/health" {
            let cold_s = format!("{:.3}", self.cold_left().as_secs_f64());
            let instance = self.options.id.clone();
            let headers = [("X-Instance-Id", instance), ("X-Cold-Remaining", cold_s)];
            return Some(http::response(200, "OK", &headers, b""));
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let mut headers = vec![("X-Request-Id", id.clone())];
        if self.is_leaving.load(Ordering::Acquire) {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        let target = request.header("x-target-instance");
        if target.is_some_and(|target| target != self.options.id) {
            headers.push(("X-Instance-Id", self.options.id.clone()));
            return Some(http::response(421, "Misdirected Request", &headers, b""));
        }
        let at = Instant::now();
        let number = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival { request_id: id.clone(), at, ended_at: None });
            arrivals.len() - 1
        };
        self.record.write(&format!("upstream {} runs request {id}", self.options.id));
        let is_wanted = stays_open(connection, at + self.options.work);
        self.arrivals.lock().unwrap()[number].ended_at = Some(Instant::now());
        if !is_wanted {
            self.record.write(&format!("upstream {} drops request {id}", self.options.id));
            return None;
        }
        headers.push(("X-Server-Seal", format!("{}.{id}", self.options.id)));
        Some(http::response(200, "OK", &headers, format!("ran {id}\n").as_bytes()))
    }
}

/// Waits until `until`; returns false at once when the connection is closed.
fn stays_open(connection: &TcpStream, until: Instant) -> bool {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            connection.set_read_timeout(None).ok();
            return true;
        }
        connection.set_read_timeout(Some(left)).ok();
        match connection.peek(&mut [0]) {
            Ok(0) => return false,
            Ok(_) => thread::sleep(left.min(Duration::from_millis(5))),
            Err(error) if error.kind() == ErrorKind::WouldBlock => (),
            Err(error) if error.kind() == ErrorKind::TimedOut => (),
            Err(_) => return false,
        }
    }
}
