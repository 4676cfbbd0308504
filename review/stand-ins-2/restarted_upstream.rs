//! Restarts an upstream under its id after the clock of its machine was set back, lets it drain, and
//! looks for requests that reach it then.

use std::thread;
use std::time::{Duration, Instant};

use crate::{Bench, CaseResult, Verdict, client, manifest, store, upstream, vm};

/// The bound on requests to an upstream that has reported that it drains.
const DRAIN_MAX: Duration = Duration::from_millis(2_500);

/// By how much the clock of the upstream's machine is ahead, as a step of the clock may leave it.
const CLOCK_STEP_MS: i64 = 2_000;

pub fn run(bench: &Bench) -> CaseResult {
    let record = &bench.record;
    let store = store::Store::start()?;
    store.put("op/config", &manifest::one_service(7));
    let options = |number: usize| upstream::Options {
        id: format!("i-{number:08x}"),
        service: "ledger".to_owned(),
        zone: vm::PLACES[number % vm::PLACES.len()].0.to_owned(),
        slots: 3,
        address: None,
        cold: Duration::ZERO,
        work: Duration::from_millis(50),
        clock_ahead_ms: 0,
    };
    let _others = [
        upstream::Upstream::start(options(0), &store, record)?,
        upstream::Upstream::start(options(1), &store, record)?,
    ];
    let mut vms = Vec::new();
    for number in 0..3 {
        let mut vm = vm::Vm::new(number, &bench.program, &bench.folder, store.address)?;
        vm.start()?;
        vms.push(vm);
    }
    for vm in &vms {
        if !vm.wait_until_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", vm.name).into());
        }
    }
    thread::sleep(Duration::from_secs(4));
    let send_to_all = |rounds: usize| {
        for _ in 0..rounds {
            let sending: Vec<_> = vms
                .iter()
                .flat_map(|vm| [vm.entry; 4])
                .map(|entry| {
                    let record = record.clone();
                    thread::spawn(move || {
                        client::send(entry, &client::Request::new("POST", "/burn/2f"), &record)
                    })
                })
                .collect();
            sending.into_iter().for_each(|sending| drop(sending.join()));
            thread::sleep(Duration::from_millis(50));
        }
    };
    let clock_ahead_ms = if bench.has_trouble { CLOCK_STEP_MS } else { 0 };
    let first_options = upstream::Options { clock_ahead_ms, ..options(2) };
    let first = upstream::Upstream::start(first_options, &store, record)?;
    thread::sleep(Duration::from_millis(1_000));
    send_to_all(4);
    first.crash();
    thread::sleep(Duration::from_millis(300));
    let again = upstream::Options { address: Some(first.address), ..options(2) };
    let second = upstream::Upstream::start(again, &store, record)?;
    thread::sleep(Duration::from_secs(8));
    send_to_all(4);
    record.say(&format!(
        "{} requests reached it before it leaves",
        second.arrivals.lock().unwrap().len()
    ));
    let left_at = second.leave();
    thread::sleep(DRAIN_MAX + Duration::from_millis(500));
    let bound_at = left_at + DRAIN_MAX;
    send_to_all(6);
    let late: Vec<Instant> =
        second.arrivals.lock().unwrap().iter().map(|a| a.at).filter(|at| *at > bound_at).collect();
    record.say(&format!(
        "{} requests reached the upstream later than {:.1} s after the store had its report",
        late.len(),
        DRAIN_MAX.as_secs_f64()
    ));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
