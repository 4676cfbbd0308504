//! A burst of clients that download over slow links: an entry VM must stay within the memory that
//! its settings give it, since the platform kills it otherwise.

use std::collections::HashMap;
use std::fs;
use std::io::{BufReader, Write};
use std::net;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{self, Verdict};
use crate::http;
use crate::link;
use crate::manifest;
use crate::record::Record;
use crate::upstream;
use crate::vm::Vm;

const KEY: &str = "b9wu3fexd9dnn2ctnfzs";

/// `memoryMb`, and how often the platform looks.
const MEMORY_MAX_KIB: u64 = 260 * 1024;
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The platform starts a killed process again after this delay.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The clients of a usual time, and with those of a burst (x 1.8, as in the site file).
const CLIENTS: usize = 15;
const BURST_CLIENTS: usize = 27;

/// When the burst begins after the first clients, and how long it lasts.
const BURST_AFTER: Duration = Duration::from_secs(20);
const BURST_TIME: Duration = Duration::from_millis(2_800);

/// How long the clients go on after the burst.
const REST: Duration = Duration::from_secs(10);

/// How much later each client starts than the one before it.
const USUAL_INTERVAL: Duration = Duration::from_millis(200);
const BURST_INTERVAL: Duration = Duration::from_millis(40);

/// The length of a response, the speed of a client's link, and the time limit of a request.
const RESPONSE_BYTES: usize = 10_000_000;
const SPEED: link::Speed = link::Speed(2_000_000);
const LIMIT: Duration = Duration::from_secs(20);

/// Requests that a machine may pass on and leave unanswered.
const LOST_MAX: usize = 3;

#[derive(Debug, Clone)]
struct Sent {
    id: String,
    /// Whether an answer came before on the same connection.
    is_on_kept_connection: bool,
    sent_at: Duration,
    ended_at: Duration,
    /// 0 if the connection ended before the answer did.
    status: u16,
}

#[derive(Clone)]
struct Clients {
    front: net::SocketAddr,
    sent: Arc<Mutex<Vec<Sent>>>,
    record: Record,
    is_stopped: Arc<AtomicBool>,
}

pub fn run(folder: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let cost = |response_bytes| upstream::Cost { work: Duration::from_millis(100), response_bytes };
    let upstream = |_| deployment::upstream(cost(200), cost(RESPONSE_BYTES));
    let manifest = manifest::text_with_timeout(2, &[KEY], LIMIT.as_secs_f64());
    let started = deployment::start(folder, record, &manifest, upstream);
    let Some(mut deployment) = started else { return Verdict::CouldNotRun };
    let clients = Clients {
        front: deployment.vms[0].front,
        sent: Arc::default(),
        record: record.clone(),
        is_stopped: Arc::new(AtomicBool::new(false)),
    };
    // The clients of the burst send no new requests once it is over.
    let burst = Clients { is_stopped: Arc::default(), ..clients.clone() };
    let mut threads: Vec<_> =
        (0..CLIENTS).map(|number| clients.start("usual", number, USUAL_INTERVAL)).collect();
    let vm = &mut deployment.vms[0];
    let mut kills = Vec::new();
    let mut peak_kib = watch_memory(vm, BURST_AFTER, record, &mut kills);
    if has_trouble {
        record.announce(format!("a burst: {BURST_CLIENTS} clients instead of {CLIENTS}"));
        let more = BURST_CLIENTS - CLIENTS;
        threads.extend((0..more).map(|number| burst.start("burst", number, BURST_INTERVAL)));
    }
    peak_kib = peak_kib.max(watch_memory(vm, BURST_TIME, record, &mut kills));
    burst.is_stopped.store(true, Ordering::Release);
    peak_kib = peak_kib.max(watch_memory(vm, REST, record, &mut kills));
    record.announce(format!("largest memory of {}: {peak_kib} of {MEMORY_MAX_KIB} KiB", vm.name));
    clients.is_stopped.store(true, Ordering::Release);
    threads.into_iter().for_each(|thread| thread.join().expect("a client does not panic"));
    let runs = deployment.runs.lock().unwrap().clone();
    let sent = clients.sent.lock().unwrap().clone();
    judge(&sent, &runs, kills.first().copied(), record)
}

/// Plays the platform for a time: it kills a process that exceeds its memory, and starts it again.
/// Returns the largest memory.
fn watch_memory(vm: &mut Vm, time: Duration, record: &Record, kills: &mut Vec<Duration>) -> u64 {
    let until = record.now() + time;
    let mut peak_kib = 0;
    while record.now() < until {
        let memory_kib = memory_kib(vm.pid());
        peak_kib = peak_kib.max(memory_kib);
        if memory_kib > MEMORY_MAX_KIB {
            record.announce(format!("{} uses {memory_kib} KiB and is killed", vm.name));
            kills.push(record.now());
            vm.signal("KILL");
            thread::sleep(RESTART_DELAY);
            vm.restart();
        }
        thread::sleep(MEMORY_CHECK_INTERVAL);
    }
    peak_kib
}

/// Returns the memory that a process uses now.
fn memory_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Applies the rule LOST to requests on kept connections that the first kill has cut; the machine
/// was in touch until then.
fn judge(
    sent: &[Sent],
    runs: &[upstream::Run],
    first_kill: Option<Duration>,
    record: &Record,
) -> Verdict {
    let by_request: HashMap<&str, &upstream::Run> =
        runs.iter().map(|run| (run.request.as_str(), run)).collect();
    let mut counts: HashMap<u16, usize> = HashMap::new();
    let mut lost = 0;
    for request in sent {
        *counts.entry(request.status).or_default() += 1;
        let has_run = by_request.contains_key(request.id.as_str());
        let is_in_time = request.ended_at < request.sent_at + LIMIT;
        // Its connection ends with the killed process; what the kernel holds still arrives.
        let is_cut_by_kill = first_kill.is_some_and(|at| request.sent_at < at);
        if request.status == 0
            && request.is_on_kept_connection
            && has_run
            && is_in_time
            && is_cut_by_kill
        {
            lost += 1;
            record.add(format!(
                "LOST {}: sent at {:.3}, passed on and run, cut at {:.3}",
                request.id,
                request.sent_at.as_secs_f64(),
                request.ended_at.as_secs_f64()
            ));
        }
    }
    let mut counts: Vec<(u16, usize)> = counts.into_iter().collect();
    counts.sort();
    record.announce(format!("answers by status, 0 for none: {counts:?}"));
    record.announce(format!("lost on kept connections: {lost}, {LOST_MAX} allowed"));
    match counts.iter().any(|(status, _)| *status == 200) {
        false => Verdict::CouldNotRun,
        true if lost <= LOST_MAX => Verdict::Held,
        true => Verdict::Broken,
    }
}

impl Clients {
    fn start(&self, kind: &str, number: usize, interval: Duration) -> thread::JoinHandle<()> {
        let (client, name) = (self.clone(), format!("{kind}-{number}"));
        let delay = interval * number as u32;
        thread::spawn(move || {
            thread::sleep(delay);
            client.run(&name, number);
        })
    }

    /// Sends one request after the other, on a kept connection.
    fn run(&self, name: &str, object: usize) {
        let mut connection = None;
        for count in 0.. {
            if self.is_stopped.load(Ordering::Acquire) {
                return;
            }
            let mut is_on_kept_connection = connection.is_some();
            let opened = connection.take().map_or_else(|| self.open(), Ok);
            let Ok(mut reader) = opened else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            // The first request on a connection is a small one.
            if !is_on_kept_connection {
                let first =
                    call(&mut reader, "POST /record/x", &format!("{name}-{count}-first"), object);
                is_on_kept_connection = first.is_some_and(|head| !head.closes());
            }
            let id = format!("{name}-{count}");
            let sent_at = self.record.now();
            self.record.add(format!("{id} is sent"));
            let answer = call(&mut reader, "GET /lookup/x", &id, object);
            let status = answer.as_ref().map_or(0, http::Head::status);
            let ended_at = self.record.now();
            self.record
                .add(format!("{id}, sent at {:.3}, is answered {status}", sent_at.as_secs_f64()));
            self.sent.lock().unwrap().push(Sent {
                id,
                is_on_kept_connection,
                sent_at,
                ended_at,
                status,
            });
            if answer.is_some_and(|head| !head.closes()) {
                connection = Some(reader);
            }
            if status != 200 {
                thread::sleep(Duration::from_millis(300));
            }
        }
    }

    fn open(&self) -> std::io::Result<BufReader<link::SlowReader>> {
        let stream = link::open(self.front)?;
        stream.set_read_timeout(Some(LIMIT))?;
        Ok(BufReader::with_capacity(8 * 1024, link::SlowReader { stream, speed: SPEED }))
    }
}

fn call(
    reader: &mut BufReader<link::SlowReader>,
    line: &str,
    id: &str,
    object: usize,
) -> Option<http::Head> {
    let text = format!(
        "{line} HTTP/1.1\r\nhost: {}\r\nx-request-id: {id}\r\nx-affinity-key: {}\r\n\
         x-request-deadline: {}\r\napi-key: {KEY}\r\ncontent-length: 0\r\n\r\n",
        manifest::HOST,
        object % 24,
        LIMIT.as_millis()
    );
    reader.get_mut().stream.write_all(text.as_bytes()).ok()?;
    let head = http::read_head(reader)?;
    http::read_body(reader, &head)?;
    Some(head)
}
