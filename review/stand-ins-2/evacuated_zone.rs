//! Restarts an entry VM while a zone is evacuated, and counts the requests that reach the zone's cold
//! upstreams when it is taken back.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Bench, CaseResult, Verdict, client, manifest, store, upstream, vm};

/// The bound of the rule: `coldPerS` x `coldOvershoot` + `coldSlack`, for each second.
const COLD_MAX: f64 = 3.4 * 1.5 + 5.0;

/// `coldStartS`.
const COLD: Duration = Duration::from_secs(3);

const EVACUATION: Duration = Duration::from_secs(6);

/// How long before the end of the evacuation a VM gets SIGTERM.
const STOP_BEFORE_END: Duration = Duration::from_millis(4_500);

const CLIENTS_PER_VM: usize = 6;
const CLIENT_PAUSE: Duration = Duration::from_millis(20);

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
            slots: 20,
            address: None,
            cold: Duration::ZERO,
            work: Duration::from_millis(50),
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
    let has_ended = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let clients: Vec<_> = vms
        .iter()
        .flat_map(|vm| [vm.entry; CLIENTS_PER_VM])
        .map(|entry| {
            let (has_ended, sent, record) = (has_ended.clone(), sent.clone(), record.clone());
            thread::spawn(move || {
                while !has_ended.load(Ordering::Acquire) {
                    let request = client::Request::new("GET", "/lookup/2f");
                    let (sent_at, _) = client::send(entry, &request, &record);
                    sent.lock().unwrap().insert(request.id, sent_at);
                    thread::sleep(CLIENT_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let zone = vm::PLACES[0].0;
    let key = format!("op/evacuate/{zone}");
    record.say(&format!("{zone} is evacuated"));
    store.put(&key, "{}");
    let ends_at = Instant::now() + EVACUATION;
    thread::sleep(EVACUATION - STOP_BEFORE_END);
    if bench.has_trouble {
        record.say(&format!("{} gets SIGTERM", vms[0].name));
        vms[0].stop();
        vms[0].reap();
        record.say("it has ended");
    }
    thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    let cold: Vec<&upstream::Upstream> =
        upstreams.iter().filter(|upstream| upstream.options.zone == zone).collect();
    cold.iter().for_each(|upstream| upstream.become_cold(COLD));
    store.remove(&key);
    record.say(&format!("{zone} is taken back"));
    let taken_back_at = Instant::now();
    if bench.has_trouble {
        thread::sleep(Duration::from_millis(100));
        record.say(&format!("{} is started again", vms[0].name));
        vms[0].start()?;
    }
    thread::sleep((taken_back_at + COLD).saturating_duration_since(Instant::now()));
    has_ended.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| drop(client.join()));
    let cold_time = taken_back_at..taken_back_at + COLD;
    let sent = sent.lock().unwrap();
    let mut most = 0;
    for upstream in cold {
        let pairs: Vec<(Instant, Instant)> = upstream
            .arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|arrival| cold_time.contains(&arrival.at))
            .filter_map(|arrival| Some((*sent.get(&arrival.request_id)?, arrival.at)))
            .collect();
        let most_here = most_in_a_second(&pairs);
        record.say(&format!(
            "at most {most_here} requests were sent and reached the cold upstream {} in one second; \
             the bound is {COLD_MAX:.1}",
            upstream.options.id
        ));
        most = most.max(most_here);
    }
    Ok(if most as f64 > COLD_MAX { Verdict::Broken } else { Verdict::Held })
}

/// Returns the largest number of requests that were sent and arrived inside one second.
fn most_in_a_second(pairs: &[(Instant, Instant)]) -> usize {
    let inside = |from: Instant| {
        let until = from + Duration::from_secs(1);
        pairs.iter().filter(|(sent_at, at)| *sent_at >= from && *at < until).count()
    };
    pairs.iter().map(|(sent_at, _)| inside(*sent_at)).max().unwrap_or(0)
}
