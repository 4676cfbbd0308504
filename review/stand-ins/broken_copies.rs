//! Faulty upstreams send second copies of their answers, late and broken off: a request that may run
//! once must not run twice.

use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{self, Verdict};
use crate::http;
use crate::manifest;
use crate::record::Record;
use crate::upstream;

const KEY: &str = "b9wu3fexd9dnn2ctnfzs";

/// Clients of each VM; they keep the upstreams full, so that these turn requests away.
const CLIENTS_PER_VM: usize = 30;

/// How long clients send; they end earlier once a rule is broken.
const TIME: Duration = Duration::from_secs(100);

/// Of the six upstreams of a zone, those that are faulty, and the part of their answers that they
/// send twice: within `garble`, `extra late`, of the site file (share 0.6, x 0.03).
const FAULTY: usize = 3;
const BROKEN_COPIES_PERMILLE: u64 = 30;

/// How long an upstream wants nothing from a machine that it has turned away.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The time limit of a request.
const LIMIT: Duration = Duration::from_secs(4);

#[derive(Debug, Clone)]
struct Sent {
    id: String,
    is_record: bool,
    status: u16,
}

pub fn run(folder: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let cost = upstream::Cost { work: Duration::from_millis(100), response_bytes: 300 };
    let upstream = |number| upstream::Options {
        slots: 3,
        queue: 2,
        retry_after: Some(RETRY_AFTER),
        broken_copies_permille: match has_trouble && number < FAULTY {
            true => BROKEN_COPIES_PERMILLE,
            false => 0,
        },
        ..deployment::upstream(cost, cost)
    };
    let started = deployment::start(folder, record, &manifest::text(2, &[KEY]), upstream);
    let Some(deployment) = started else { return Verdict::CouldNotRun };
    let sent = Arc::new(Mutex::new(Vec::new()));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<thread::JoinHandle<()>> = (0..CLIENTS_PER_VM)
        .flat_map(|number| deployment.vms.iter().map(move |vm| (number, vm)))
        .map(|(number, vm)| {
            let (front, vm) = (vm.front, vm.name.clone());
            let (sent, is_stopped, record) = (sent.clone(), is_stopped.clone(), record.clone());
            thread::spawn(move || {
                for count in 0.. {
                    if is_stopped.load(Ordering::Acquire) {
                        return;
                    }
                    let is_record = count % 8 != 7;
                    let kind = if is_record { "record" } else { "lookup" };
                    let id = format!("{kind}-{vm}-{number}-{count}");
                    record.add(format!("{id} is sent to {vm}"));
                    let answer = call(front, &id, number + count, is_record);
                    let (status, retry_after) = answer.unwrap_or((0, 0.1));
                    record.add(format!("{id} is answered {status}"));
                    sent.lock().unwrap().push(Sent { id, is_record, status });
                    if status != 200 {
                        thread::sleep(Duration::from_secs_f64(retry_after));
                    }
                }
            })
        })
        .collect();
    let started_at = record.now();
    while record.now() < started_at + TIME && !has_run_twice(&deployment.runs.lock().unwrap()) {
        thread::sleep(Duration::from_secs(1));
    }
    is_stopped.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| client.join().expect("a client does not panic"));
    let runs = deployment.runs.lock().unwrap().clone();
    judge(&sent.lock().unwrap(), &runs, record)
}

/// Returns whether a once-only request has run twice.
fn has_run_twice(runs: &[upstream::Run]) -> bool {
    let mut seen = HashSet::new();
    let mut records = runs.iter().filter(|run| run.request.starts_with("record"));
    records.any(|run| !seen.insert(run.request.as_str()))
}

/// Sends one request on a new connection; returns the status and how long to wait after it.
fn call(front: net::SocketAddr, id: &str, object: usize, is_record: bool) -> Option<(u16, f64)> {
    let mut stream = net::TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    let (line, body) = match is_record {
        true => ("POST /record/x", "burned 12 bags"),
        false => ("GET /lookup/x", ""),
    };
    let text = format!(
        "{line} HTTP/1.1\r\nhost: {}\r\nx-request-id: {id}\r\nx-affinity-key: {}\r\n\
         x-request-deadline: {}\r\napi-key: {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        manifest::HOST,
        object % 24,
        LIMIT.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?;
    http::read_body(&mut reader, &head)?;
    let retry_after = head.header("retry-after").and_then(|seconds| seconds.parse().ok());
    Some((head.status(), retry_after.unwrap_or(0.1)))
}

/// Applies the rules TWICE and REFUSED to the once-only requests.
fn judge(sent: &[Sent], runs: &[upstream::Run], record: &Record) -> Verdict {
    let mut by_request: HashMap<&str, Vec<&upstream::Run>> = HashMap::new();
    for run in runs {
        by_request.entry(run.request.as_str()).or_default().push(run);
    }
    let mut counts: HashMap<String, usize> = HashMap::new();
    let (mut twice, mut refused) = (0, 0);
    for request in sent {
        let kind = if request.is_record { "record" } else { "lookup" };
        *counts.entry(format!("{kind}: {}", request.status)).or_default() += 1;
        let runs = by_request.remove(request.id.as_str()).unwrap_or_default();
        if !request.is_record {
            continue;
        }
        let where_run: Vec<String> = runs
            .iter()
            .map(|run| format!("{} at {:.3}", run.upstream, run.started_at.as_secs_f64()))
            .collect();
        if runs.len() > 1 {
            twice += 1;
            record.add(format!("TWICE {}: run by {}", request.id, where_run.join(", ")));
        }
        if matches!(request.status, 408 | 421 | 429 | 503) && !runs.is_empty() {
            refused += 1;
            record.add(format!(
                "REFUSED {}: answered {}, run by {}",
                request.id,
                request.status,
                where_run.join(", ")
            ));
        }
    }
    let mut counts: Vec<(String, usize)> = counts.into_iter().collect();
    counts.sort();
    counts.iter().for_each(|(what, count)| record.announce(format!("{what}: {count}")));
    record.announce(format!(
        "once-only requests that ran twice: {twice}; refused and run: {refused}"
    ));
    match counts.iter().any(|(what, _)| what == "record: 200") {
        false => Verdict::CouldNotRun,
        true if twice + refused == 0 => Verdict::Held,
        true => Verdict::Broken,
    }
}
