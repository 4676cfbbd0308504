//! Lets clients leave that have sent many requests on one connection, and looks for upstreams that
//! still work on them, or get them, later.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Bench, CaseResult, Verdict, client, http, manifest, record, store, upstream, vm};

/// How many idempotent requests a client sends one behind the other, and the length of a header of each.
const PIPELINED: usize = 24;
const COOKIE_BYTES: usize = 4_000;

const CLIENTS_PER_VM: usize = 4;

/// One client in this many leaves early.
const LEAVING_DIVISOR: usize = 4;

/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(1_200);

/// How long clients that leave early stay.
const PATIENCE: Duration = Duration::from_millis(500);

/// How long after a client has gone its requests may still be worked on.
const GONE_MAX: Duration = Duration::from_millis(500);

/// The rule allows "a few" late requests.
const FEW: usize = 3;

/// What a client has sent, and when it closed its connection.
struct Left {
    request_ids: Vec<String>,
    at: Instant,
}

pub fn run(bench: &Bench) -> CaseResult {
    let record = &bench.record;
    let store = store::Store::start()?;
    store.put("op/config", &manifest::one_service(7));
    let mut upstreams = Vec::new();
    for number in 0..6 {
        let options = upstream::Options {
            id: format!("i-{number:08x}"),
            service: "ledger".to_owned(),
            zone: vm::PLACES[number % vm::PLACES.len()].0.to_owned(),
            slots: 60,
            address: None,
            cold: Duration::ZERO,
            work: WORK,
            clock_ahead_ms: 0,
        };
        upstreams.push(upstream::Upstream::start(options, &store, record)?);
    }
    let mut vms = Vec::new();
    for number in 0..3 {
        let mut vm = vm::Vm::new(number, &bench.program, &bench.folder, store.address)?;
        vm.start()?;
        vms.push(vm);
    }
    if !vms.iter().all(|vm| vm.wait_until_ready(Duration::from_secs(10))) {
        return Err("a VM is not ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let leaves = |number: usize| bench.has_trouble && number.is_multiple_of(LEAVING_DIVISOR);
    let clients: Vec<_> = vms
        .iter()
        .flat_map(|vm| [vm.entry; CLIENTS_PER_VM])
        .enumerate()
        .map(|(number, entry)| {
            let record = record.clone();
            let patience = leaves(number).then_some(PATIENCE);
            thread::spawn(move || pipeline(entry, patience, &record))
        })
        .collect();
    let mut left = Vec::new();
    for client in clients {
        left.push(client.join().map_err(|_| "a client failed")??);
    }
    thread::sleep(Duration::from_secs(6));
    judge(record, &upstreams, &left)
}

/// Sends requests and reads their answers; leaves after `patience`, if there is any.
fn pipeline(
    to: SocketAddr,
    patience: Option<Duration>,
    record: &record::Record,
) -> std::io::Result<Left> {
    let mut stream = TcpStream::connect(to)?;
    let mut request_ids = Vec::new();
    let mut bytes = Vec::new();
    for _ in 0..PIPELINED {
        let request = client::Request {
            cookie_bytes: COOKIE_BYTES,
            ..client::Request::new("GET", "/lookup/2f")
        };
        record.write(&format!("request {} is sent", request.id));
        bytes.extend(request.bytes());
        request_ids.push(request.id);
    }
    stream.write_all(&bytes)?;
    match patience {
        Some(patience) => thread::sleep(patience),
        None => {
            stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            let mut reader = BufReader::new(stream.try_clone()?);
            let answered = request_ids
                .iter()
                .take_while(|_| matches!(http::read(&mut reader), Ok(Some(m)) if m.status() == 200))
                .count();
            record.say(&format!("a client got {answered} answers"));
        }
    }
    drop(stream);
    record.say("a client closes its connection");
    Ok(Left { request_ids, at: Instant::now() })
}

fn judge(record: &record::Record, upstreams: &[upstream::Upstream], left: &[Left]) -> CaseResult {
    let (mut late, mut lasting, mut still_run) = (0, 0, 0);
    for upstream in upstreams {
        for arrival in upstream.arrivals.lock().unwrap().iter() {
            let sent_by = |left: &&Left| left.request_ids.contains(&arrival.request_id);
            let Some(client) = left.iter().find(sent_by) else {
                continue;
            };
            let bound = client.at + GONE_MAX;
            late += usize::from(arrival.at > bound);
            let would_last = arrival.at <= client.at && arrival.at + WORK > bound;
            lasting += usize::from(would_last);
            let ran_on = arrival.ended_at.is_none_or(|ended_at| ended_at > bound);
            still_run += usize::from(would_last && ran_on);
        }
    }
    let gone_s = GONE_MAX.as_secs_f64();
    record.say(&format!(
        "{late} requests reached an upstream later than {gone_s} s after their client had gone; \
         upstreams were still at work then on {still_run} of {lasting} that would have lasted so long"
    ));
    let is_broken = late > FEW || still_run * 4 > lasting;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
