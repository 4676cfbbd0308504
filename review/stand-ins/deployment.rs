//! A small deployment: a store, upstreams and entry VMs in two zones.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::store::Store;
use crate::upstream::{self, Cost, Runs};
use crate::vm::{PLACES, Vm};

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

impl Verdict {
    pub fn exit_code(self) -> i32 {
        match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::CouldNotRun => 2,
        }
    }
}

/// Upstreams of each zone, and the slots of each.
const UPSTREAMS_PER_ZONE: usize = 6;
const SLOTS: usize = 8;
const QUEUE: usize = 9;

/// How long all is left alone once the VMs are ready.
const SETTLING: Duration = Duration::from_secs(4);

pub struct Deployment {
    pub store: Store,
    pub runs: Runs,
    pub vms: Vec<Vm>,
}

/// The usual upstream, with the costs of POST and of other requests.
pub fn upstream(post: Cost, get: Cost) -> upstream::Options {
    upstream::Options {
        id: String::new(),
        service: "ledger".to_owned(),
        zone: String::new(),
        slots: SLOTS,
        queue: QUEUE,
        post,
        get,
        retry_after: None,
        broken_copies_permille: 0,
    }
}

/// Starts a deployment with two entry VMs. `upstream` returns the options of the upstream with a
/// number within its zone. Returns `None` if a VM does not become ready.
pub fn start(
    folder: &Path,
    record: &Record,
    manifest: &str,
    upstream: impl Fn(usize) -> upstream::Options,
) -> Option<Deployment> {
    let store = Store::start();
    let runs: Runs = Arc::default();
    store.put("op/config", manifest);
    for (zone, _) in PLACES {
        for number in 0..UPSTREAMS_PER_ZONE {
            let options = upstream::Options {
                id: format!("i-{zone}-{number}"),
                zone: zone.to_owned(),
                ..upstream(number)
            };
            upstream::start(options, &store, &runs, record);
        }
    }
    let vms: Vec<Vm> = PLACES
        .iter()
        .map(|(zone, _)| Vm::start(&format!("edge-{zone}-1"), zone, folder, store.address))
        .collect();
    for vm in &vms {
        if !vm.wait_until_ready() {
            record.announce(format!("{} does not become ready", vm.name));
            return None;
        }
        record.announce(format!("{} is ready at {}", vm.name, vm.front));
    }
    std::thread::sleep(SETTLING);
    Some(Deployment { store, runs, vms })
}
