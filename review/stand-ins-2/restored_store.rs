//! Brings the store back from a copy in which the entry VMs are not registered, while one more entry VM
//! starts, and counts what a tenant that sends all the time gets from all of them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Bench, CaseResult, Verdict, client, manifest, record, store, upstream, vm};

/// What the tenant may send.
const RATE_PER_S: u32 = 160;
const BURST: u32 = 160;

/// The bounds of the deployment.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVERSHOOT: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(30);

/// The greatest age of the copy, as the users' example has it.
const COPY_AGE_MAX: Duration = Duration::from_secs(9);

/// The number of entry VMs before one is added.
const OLD_VMS: usize = 4;

/// How many clients send to each VM, and how long each waits between two requests.
const CLIENTS_PER_VM: usize = 10;
const CLIENT_PAUSE: Duration = Duration::from_millis(40);

/// Each request with when it was sent.
type Sent = Arc<Mutex<Vec<(String, Instant)>>>;

pub fn run(bench: &Bench) -> CaseResult {
    let record = &bench.record;
    let store = store::Store::start()?;
    let manifest = manifest::one_tenant(7, RATE_PER_S, BURST);
    store.put("op/config", &manifest);
    let mut upstreams = Vec::new();
    for number in 0..6 {
        let options = upstream::Options {
            id: format!("i-{number:08x}"),
            service: "ledger".to_owned(),
            zone: vm::PLACES[number % vm::PLACES.len()].0.to_owned(),
            slots: 20,
            address: None,
            cold: Duration::ZERO,
            work: Duration::from_millis(2),
            clock_ahead_ms: 0,
        };
        upstreams.push(upstream::Upstream::start(options, &store, record)?);
    }
    thread::sleep(Duration::from_millis(300));
    let copy = store.copy();
    let copied_at = Instant::now();
    let mut vms = Vec::new();
    for number in 0..=OLD_VMS {
        vms.push(vm::Vm::new(number, &bench.program, &bench.folder, store.address)?);
    }
    for vm in &mut vms[..OLD_VMS] {
        vm.start()?;
    }
    if !vms[..OLD_VMS].iter().all(|vm| vm.wait_until_ready(Duration::from_secs(10))) {
        return Err("a VM is not ready".into());
    }
    thread::sleep(Duration::from_millis(4_500));
    while !store.were_renewed(OLD_VMS, Duration::from_millis(300)) {
        if copied_at.elapsed() > COPY_AGE_MAX - AWAY {
            return Err("the VMs did not renew their registrations together".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.say("all VMs have just renewed their registrations");
    if bench.has_trouble {
        record.say("the store is away");
        store.go_away();
        thread::sleep(AWAY);
        store.restore(&copy);
        store.put("op/config", &manifest);
        let age_s = copied_at.elapsed().as_secs_f64();
        record.say(&format!("the store is back, from a copy that is {age_s:.1} s old"));
    } else {
        thread::sleep(AWAY);
    }
    let has_ended = Arc::new(AtomicBool::new(false));
    let sent = Sent::default();
    let mut clients = Vec::new();
    for vm in &vms[..OLD_VMS] {
        clients.extend(start_clients(vm, &has_ended, &sent, record));
    }
    vms[OLD_VMS].start()?;
    record.say(&format!("{} is added", vms[OLD_VMS].name));
    if !vms[OLD_VMS].wait_until_ready(Duration::from_secs(10)) {
        return Err("the added VM is not ready".into());
    }
    clients.extend(start_clients(&vms[OLD_VMS], &has_ended, &sent, record));
    thread::sleep(Duration::from_secs(9));
    has_ended.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| drop(client.join()));

    let arrivals: Vec<upstream::Arrival> =
        upstreams.iter().flat_map(|upstream| upstream.arrivals.lock().unwrap().clone()).collect();
    let most = most_in_a_window(&arrivals, &sent.lock().unwrap());
    let window_s = QUOTA_WINDOW.as_secs_f64();
    let allowed = f64::from(RATE_PER_S) * window_s + f64::from(BURST);
    let bound = allowed * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK;
    record.say(&format!(
        "at most {most} requests of the tenant in {window_s} s; the bound is {bound:.1}"
    ));
    Ok(if most as f64 > bound { Verdict::Broken } else { Verdict::Held })
}

fn start_clients(
    vm: &vm::Vm,
    has_ended: &Arc<AtomicBool>,
    sent: &Sent,
    record: &record::Record,
) -> Vec<thread::JoinHandle<()>> {
    let entry = vm.entry;
    let client = || {
        let (has_ended, sent, record) = (has_ended.clone(), sent.clone(), record.clone());
        thread::spawn(move || {
            while !has_ended.load(Ordering::Acquire) {
                let mut request = client::Request::new("POST", "/burn/2f");
                request.key = Some(manifest::KEY);
                let (sent_at, _) = client::send(entry, &request, &record);
                sent.lock().unwrap().push((request.id, sent_at));
                thread::sleep(CLIENT_PAUSE);
            }
        })
    };
    (0..CLIENTS_PER_VM).map(|_| client()).collect()
}

/// Returns the largest number of requests that were sent and arrived inside one window.
fn most_in_a_window(arrivals: &[upstream::Arrival], sent: &[(String, Instant)]) -> usize {
    let sent_at: std::collections::HashMap<&str, Instant> =
        sent.iter().map(|(id, at)| (id.as_str(), *at)).collect();
    let mut pairs: Vec<(Instant, Instant)> = arrivals
        .iter()
        .filter_map(|arrival| Some((*sent_at.get(arrival.request_id.as_str())?, arrival.at)))
        .collect();
    pairs.sort();
    let inside = |from: Instant| {
        pairs.iter().filter(|(sent_at, at)| *sent_at >= from && *at < from + QUOTA_WINDOW).count()
    };
    pairs.iter().map(|(sent_at, _)| inside(*sent_at)).max().unwrap_or(0)
}
