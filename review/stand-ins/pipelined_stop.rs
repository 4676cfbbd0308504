//! SIGTERM of an entry VM while clients pipeline: an answer that its upstream has given must reach
//! the client whole.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Verdict};
use crate::http;
use crate::link;
use crate::manifest;
use crate::record::Record;
use crate::upstream;
use crate::vm::Vm;

const KEY: &str = "b9wu3fexd9dnn2ctnfzs";

/// Clients of the VM that is stopped.
const CLIENTS: usize = 12;

/// How much later each client starts than the one before it.
const START_INTERVAL: Duration = Duration::from_millis(43);

/// How long after a request a client sends the next one behind it.
const PIPELINE_INTERVAL: Duration = Duration::from_millis(50);

/// The most requests that a client has under way on a connection.
const PIPELINED_MAX: usize = 12;

/// How long clients send before the SIGTERM, which is at least `stableWindowS`, and after it.
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(8);

/// The speed of a client's link.
const SPEED: link::Speed = link::Speed(1_000_000);

/// The time limit of the clients' requests.
const RECORD_LIMIT: Duration = Duration::from_secs(4);
const LOOKUP_LIMIT: Duration = Duration::from_secs(3);

/// `graceS`, and the part of it after which an upstream's work excuses a loss.
const GRACE: Duration = Duration::from_secs(6);
const LAST_SIXTH: Duration = Duration::from_secs(5);

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Answered(u16),
    /// The connection ended before the answer did.
    Cut,
    /// It was sent behind an answer that closes the connection, so it counts as not read.
    NotRead,
}

#[derive(Debug, Clone)]
struct Sent {
    id: String,
    is_record: bool,
    vm: usize,
    sent_at: Duration,
    end: Option<(Duration, End)>,
}

/// What the two threads of a connection share.
#[derive(Default)]
struct Connection {
    /// The requests that wait for an answer, oldest first, as positions in the list of all.
    waiting: Mutex<Vec<usize>>,
    /// Whether an answer said that the connection ends with it.
    is_closing: AtomicBool,
    has_ended: AtomicBool,
}

struct Client {
    number: usize,
    fronts: [net::SocketAddr; 2],
    sent: Arc<Mutex<Vec<Sent>>>,
    record: Record,
    is_stopped: Arc<AtomicBool>,
    count: usize,
}

pub fn run(folder: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let cost = |work_ms, response_bytes| upstream::Cost {
        work: Duration::from_millis(work_ms),
        response_bytes,
    };
    let upstream = |_| deployment::upstream(cost(500, 30_000), cost(40, 2_000));
    let started = deployment::start(folder, record, &manifest::text(2, &[KEY]), upstream);
    let Some(mut deployment) = started else { return Verdict::CouldNotRun };
    let sent = Arc::new(Mutex::new(Vec::new()));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let fronts = [deployment.vms[0].front, deployment.vms[1].front];
    let clients: Vec<thread::JoinHandle<()>> = (0..CLIENTS)
        .map(|number| {
            let client = Client {
                number,
                fronts,
                sent: sent.clone(),
                record: record.clone(),
                is_stopped: is_stopped.clone(),
                count: 0,
            };
            thread::spawn(move || client.run())
        })
        .collect();
    thread::sleep(BEFORE);
    let stopped_at = record.now();
    if has_trouble {
        record.announce(format!("SIGTERM to {}", deployment.vms[0].name));
        deployment.vms[0].signal("TERM");
    }
    thread::sleep(AFTER);
    is_stopped.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| client.join().expect("a client does not panic"));
    if has_trouble {
        let ended = deployment.vms[0].has_ended();
        record.announce(format!("{} has ended: {ended}", deployment.vms[0].name));
    }
    let vms: Vec<&Vm> = deployment.vms.iter().collect();
    let runs = deployment.runs.lock().unwrap().clone();
    judge(&sent.lock().unwrap(), &runs, &vms, stopped_at, record)
}

/// Applies the rule LOST to the requests sent to the VM that was stopped.
fn judge(
    sent: &[Sent],
    runs: &[upstream::Run],
    vms: &[&Vm],
    stopped_at: Duration,
    record: &Record,
) -> Verdict {
    let by_request: HashMap<&str, &upstream::Run> =
        runs.iter().map(|run| (run.request.as_str(), run)).collect();
    let mut lost = [0; 2];
    let mut counts: HashMap<String, usize> = HashMap::new();
    for request in sent {
        let kind = if request.is_record { "record" } else { "lookup" };
        let end = request.end.map_or("no end".to_owned(), |(_, end)| format!("{end:?}"));
        *counts.entry(format!("{kind} at {}: {end}", vms[request.vm].name)).or_default() += 1;
        let (Some((ended_at, End::Cut)), Some(run)) =
            (request.end, by_request.get(request.id.as_str()))
        else {
            continue;
        };
        let limit = if request.is_record { RECORD_LIMIT } else { LOOKUP_LIMIT };
        let Some(answered_at) = run.answered_at else { continue };
        let counts_as_lost = request.vm == 0
            && ended_at >= stopped_at
            && ended_at <= stopped_at + GRACE + Duration::from_secs(1)
            && ended_at < request.sent_at + limit
            && answered_at < stopped_at + LAST_SIXTH;
        if counts_as_lost {
            lost[usize::from(request.is_record)] += 1;
            record.add(format!(
                "LOST {kind} {}: sent at {:.3}, run by {} at {:.3}, answered by it at {:.3}, cut at {:.3}",
                request.id,
                request.sent_at.as_secs_f64(),
                run.upstream,
                run.started_at.as_secs_f64(),
                answered_at.as_secs_f64(),
                ended_at.as_secs_f64(),
            ));
        }
    }
    let mut counts: Vec<(String, usize)> = counts.into_iter().collect();
    counts.sort();
    counts.iter().for_each(|(what, count)| record.announce(format!("{what}: {count}")));
    record.announce(format!(
        "lost although the upstream had answered: {} once-only records, {} lookups",
        lost[1], lost[0]
    ));
    match counts.iter().any(|(what, _)| what.contains("Answered(200)")) {
        false => Verdict::CouldNotRun,
        true if lost == [0, 0] => Verdict::Held,
        true => Verdict::Broken,
    }
}

impl Client {
    /// Uses the first VM until it closes a connection, and then the other.
    fn run(mut self) {
        thread::sleep(START_INTERVAL * self.number as u32);
        let mut vm = 0;
        while !self.is_stopped.load(Ordering::Acquire) {
            match link::open(self.fronts[vm]) {
                Ok(stream) => self.use_connection(stream, vm),
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
            vm = 1;
        }
    }

    /// Sends once-only requests, each followed by idempotent ones until it is answered.
    fn use_connection(&mut self, stream: net::TcpStream, vm: usize) {
        stream.set_nodelay(true).ok();
        let connection = Arc::new(Connection::default());
        let (shared, sent, record) = (connection.clone(), self.sent.clone(), self.record.clone());
        let reading = stream.try_clone().expect("a socket can be shared");
        reading.set_read_timeout(Some(Duration::from_secs(5))).ok();
        let reader = thread::spawn(move || read_answers(reading, &shared, &sent, &record));
        let may_send = |connection: &Connection| {
            !connection.is_closing.load(Ordering::Acquire)
                && !connection.has_ended.load(Ordering::Acquire)
        };
        while may_send(&connection) && !self.is_stopped.load(Ordering::Acquire) {
            let first = self.send(&stream, &connection, vm, true);
            let is_answered =
                |connection: &Connection| !connection.waiting.lock().unwrap().contains(&first);
            while may_send(&connection) && !is_answered(&connection) {
                thread::sleep(PIPELINE_INTERVAL);
                let has_room = connection.waiting.lock().unwrap().len() < PIPELINED_MAX;
                if has_room && may_send(&connection) && !is_answered(&connection) {
                    self.send(&stream, &connection, vm, false);
                }
            }
            // All answers are read before the next once-only request is sent.
            while may_send(&connection) && !connection.waiting.lock().unwrap().is_empty() {
                thread::sleep(Duration::from_millis(5));
            }
        }
        let deadline = Instant::now() + RECORD_LIMIT;
        while Instant::now() < deadline
            && !connection.has_ended.load(Ordering::Acquire)
            && !connection.waiting.lock().unwrap().is_empty()
        {
            thread::sleep(Duration::from_millis(5));
        }
        stream.shutdown(net::Shutdown::Both).ok();
        reader.join().expect("a reader does not panic");
    }

    /// Sends a request and returns its position in the list of all.
    fn send(
        &mut self,
        mut stream: &net::TcpStream,
        connection: &Connection,
        vm: usize,
        is_record: bool,
    ) -> usize {
        self.count += 1;
        let id = format!("c{}-{}", self.number, self.count);
        let (line, body, limit) = match is_record {
            true => ("POST /record/x", "burned 12 bags", RECORD_LIMIT),
            false => ("GET /lookup/x", "", LOOKUP_LIMIT),
        };
        let length = match is_record {
            true => format!("content-length: {}\r\n", body.len()),
            false => String::new(),
        };
        let text = format!(
            "{line} HTTP/1.1\r\nhost: {}\r\nx-request-id: {id}\r\nx-affinity-key: {}\r\n\
             x-request-deadline: {}\r\napi-key: {KEY}\r\n{length}\r\n{body}",
            manifest::HOST,
            self.number,
            limit.as_millis()
        );
        self.record.add(format!("{id} {line} is sent to VM {vm}"));
        let at = {
            let mut sent = self.sent.lock().unwrap();
            let sent_at = self.record.now();
            sent.push(Sent { id, is_record, vm, sent_at, end: None });
            sent.len() - 1
        };
        connection.waiting.lock().unwrap().push(at);
        if stream.write_all(text.as_bytes()).is_err() {
            connection.is_closing.store(true, Ordering::Release);
        }
        at
    }
}

/// Reads the answers of a connection, in the order of its requests, until the connection ends.
fn read_answers(
    stream: net::TcpStream,
    connection: &Connection,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    let end = |at: usize, end: End| {
        let mut sent = sent.lock().unwrap();
        sent[at].end = Some((record.now(), end));
        record.add(format!("{} ends: {end:?}", sent[at].id));
    };
    let mut reader = BufReader::with_capacity(2 * 1024, link::SlowReader { stream, speed: SPEED });
    let mut closes = false;
    while !closes {
        let Some(head) = http::read_head(&mut reader) else { break };
        closes = head.closes();
        if closes {
            connection.is_closing.store(true, Ordering::Release);
        }
        if http::read_body(&mut reader, &head).is_none() {
            closes = false;
            break;
        }
        let at = connection.waiting.lock().unwrap().remove(0);
        end(at, End::Answered(head.status()));
    }
    connection.has_ended.store(true, Ordering::Release);
    let left: Vec<usize> = connection.waiting.lock().unwrap().drain(..).collect();
    for at in left {
        end(at, if closes { End::NotRead } else { End::Cut });
    }
}
