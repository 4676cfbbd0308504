//! A drill restores the store from a copy, and an entry VM is added right after it: a key that was
//! taken away must not work again.

use std::collections::HashMap;
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
use crate::vm::{PLACES, Vm};

const REVOKED_KEY: &str = "b9wu3fexd9dnn2ctnfzs";
const OTHER_KEY: &str = "989anu6wsjnbanfqasnm";

/// `revokeS`.
const REVOKE: Duration = Duration::from_secs(5);

/// How long before its return the copy of the store was made, and how long the store is away.
const COPY_AGE: Duration = Duration::from_secs(9);
const AWAY: Duration = Duration::from_secs(2);

/// When the key is taken away after the copy was made.
const REVOKED_AFTER_COPY: Duration = Duration::from_secs(1);

/// How long after the return of the store the operator has written its manifest again.
const REWRITTEN_AFTER: Duration = Duration::from_millis(1_000);

/// How long after the return of the store the new machine starts.
const ADDED_AFTER: Duration = Duration::from_millis(200);

/// How long the clients go on after the return of the store.
const REST: Duration = Duration::from_secs(6);

/// The pause between two requests of a client, and the time limit of each.
const INTERVAL: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(4);

#[derive(Debug, Clone)]
struct Sent {
    id: String,
    key: &'static str,
    vm: String,
    sent_at: Duration,
    status: u16,
}

/// What clients share.
#[derive(Clone)]
struct Clients {
    sent: Arc<Mutex<Vec<Sent>>>,
    record: Record,
    is_stopped: Arc<AtomicBool>,
}

pub fn run(folder: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let cost = upstream::Cost { work: Duration::from_millis(30), response_bytes: 200 };
    let keys = [REVOKED_KEY, OTHER_KEY];
    let upstream = |_| deployment::upstream(cost, cost);
    let started = deployment::start(folder, record, &manifest::text(2, &keys), upstream);
    let Some(mut deployment) = started else { return Verdict::CouldNotRun };
    let clients = Clients {
        sent: Arc::default(),
        record: record.clone(),
        is_stopped: Arc::new(AtomicBool::new(false)),
    };
    let mut threads: Vec<thread::JoinHandle<()>> =
        deployment.vms.iter().flat_map(|vm| clients.start(vm)).collect();
    let copy = deployment.store.copy();
    let copied_at = record.now();
    thread::sleep(REVOKED_AFTER_COPY);
    let newest = manifest::text(5, &[OTHER_KEY]);
    assert!(deployment.store.put("op/config", &newest), "the store is there");
    let revoked_at = record.now();
    record.announce("the store confirms version 5, which takes the key away".to_owned());
    thread::sleep((copied_at + COPY_AGE - AWAY).saturating_sub(record.now()));
    if has_trouble {
        record.announce("the store goes away".to_owned());
        deployment.store.go_away();
    }
    thread::sleep((copied_at + COPY_AGE).saturating_sub(record.now()));
    if has_trouble {
        deployment.store.restore(copy);
        record.announce("the store is back from the copy, in its next era".to_owned());
    }
    thread::sleep(ADDED_AFTER);
    let zone = PLACES[0].0;
    let added = Vm::start(&format!("edge-{zone}-9"), zone, folder, deployment.store.address);
    record.announce(format!("{} is added at {}", added.name, added.front));
    threads.extend(clients.start(&added));
    deployment.vms.push(added);
    thread::sleep(REWRITTEN_AFTER - ADDED_AFTER);
    if has_trouble {
        deployment.store.put("op/config", &newest);
        record.announce("the operator has written version 5 again".to_owned());
    }
    thread::sleep(REST);
    clients.is_stopped.store(true, Ordering::Release);
    threads.into_iter().for_each(|thread| thread.join().expect("a client does not panic"));
    let runs = deployment.runs.lock().unwrap().clone();
    let sent = clients.sent.lock().unwrap().clone();
    judge(&sent, &runs, revoked_at, record)
}

/// Applies the rule CONFIG to the requests with the key that was taken away.
fn judge(sent: &[Sent], runs: &[upstream::Run], revoked_at: Duration, record: &Record) -> Verdict {
    let by_request: HashMap<&str, &upstream::Run> =
        runs.iter().map(|run| (run.request.as_str(), run)).collect();
    let mut counts: HashMap<String, usize> = HashMap::new();
    let mut late = 0;
    for request in sent {
        let key = if request.key == REVOKED_KEY { "revoked" } else { "other" };
        let when = if request.sent_at > revoked_at + REVOKE { "late" } else { "in time" };
        *counts
            .entry(format!("{key} key at {}, {when}: {}", request.vm, request.status))
            .or_default() += 1;
        let Some(run) = by_request.get(request.id.as_str()) else { continue };
        if request.key == REVOKED_KEY && request.sent_at > revoked_at + REVOKE {
            late += 1;
            record.add(format!(
                "CONFIG {}: sent to {} at {:.3}, {:.3} s after the key was taken away; run by {} as {} at {:.3}",
                request.id,
                request.vm,
                request.sent_at.as_secs_f64(),
                (request.sent_at - revoked_at).as_secs_f64(),
                run.upstream,
                run.tenant,
                run.started_at.as_secs_f64(),
            ));
        }
    }
    let mut counts: Vec<(String, usize)> = counts.into_iter().collect();
    counts.sort();
    counts.iter().for_each(|(what, count)| record.announce(format!("{what}: {count}")));
    record.announce(format!("ran with the key, sent later than revokeS: {late}"));
    let has_service = sent.iter().any(|request| {
        request.vm.ends_with("-9") && request.key == OTHER_KEY && request.status == 200
    });
    match (has_service, late) {
        (false, _) => Verdict::CouldNotRun,
        (true, 0) => Verdict::Held,
        (true, _) => Verdict::Broken,
    }
}

impl Clients {
    /// Starts a client with each key.
    fn start(&self, vm: &Vm) -> Vec<thread::JoinHandle<()>> {
        [REVOKED_KEY, OTHER_KEY]
            .into_iter()
            .map(|key| {
                let (shared, front, name) = (self.clone(), vm.front, vm.name.clone());
                thread::spawn(move || shared.run(front, &name, key))
            })
            .collect()
    }

    fn run(&self, front: net::SocketAddr, vm: &str, key: &'static str) {
        for count in 0.. {
            if self.is_stopped.load(Ordering::Acquire) {
                return;
            }
            let id = format!("{vm}-{}-{count}", &key[..4]);
            let sent_at = self.record.now();
            // A machine that does not listen yet has not been sent anything.
            if let Ok(stream) = net::TcpStream::connect(front) {
                self.record.add(format!("{id} is sent to {vm}"));
                let status = self.call(stream, &id, key).unwrap_or(0);
                self.record
                    .add(format!("{id} was sent at {:.3}, answer {status}", sent_at.as_secs_f64()));
                let vm = vm.to_owned();
                self.sent.lock().unwrap().push(Sent { id, key, vm, sent_at, status });
            }
            thread::sleep(INTERVAL);
        }
    }

    fn call(&self, mut stream: net::TcpStream, id: &str, key: &str) -> Option<u16> {
        stream.set_read_timeout(Some(LIMIT)).ok()?;
        let body = "burned 12 bags";
        let text = format!(
            "POST /record/x HTTP/1.1\r\nhost: {}\r\nx-request-id: {id}\r\nx-request-deadline: {}\r\n\
             api-key: {key}\r\ncontent-length: {}\r\n\r\n{body}",
            manifest::HOST,
            LIMIT.as_millis(),
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let head = http::read_head(&mut reader)?;
        http::read_body(&mut reader, &head)?;
        Some(head.status())
    }
}
