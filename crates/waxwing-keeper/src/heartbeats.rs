//! Sends heartbeats and notices machines that have gone silent.

use std::net;
use std::thread;
use std::time;

use waxwing_machine::fleet;
use waxwing_process::clock;
use waxwing_protocol::peer;
use waxwing_timeline::event;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::keeper;

/// How long a machine that the platform's list does not name is remembered after it fell silent.
///
/// It is longer than the silence after which seats may be taken over.
const REMEMBERED: time::Duration = time::Duration::from_secs(60);

/// Sends heartbeats; never returns.
pub fn run(keeper: &keeper::Keeper) {
    let mut reachable_before: Vec<id::VmId> = Vec::new();
    loop {
        let interval = beat(keeper);
        reachable_before = notice_silent(keeper, &reachable_before);
        thread::sleep(interval);
    }
}

/// Sends one round of heartbeats and returns how long until the next.
pub fn beat(keeper: &keeper::Keeper) -> time::Duration {
    let me = keeper.entry_vm();
    let targets: Vec<net::SocketAddr> = {
        let fleet = keeper.fleet.lock();
        fleet.heartbeat_targets(&me).into_iter().map(|vm| vm.peer_address).collect()
    };
    let interval = fleet::heartbeat_interval(targets.len());
    let heartbeat = fleet::Heartbeat {
        entry_vm: me,
        revision: keeper.records.get().revision,
        confirmed_ago_ms: keeper.confirmed_ago(),
        interval_ms: units_time::Millis(u64::try_from(interval.as_millis()).unwrap_or(u64::MAX)),
        load: keeper.load.lock().clone(),
    };
    for address in targets {
        keeper.send(address, peer::Body::Heartbeat(heartbeat.clone()));
    }
    interval
}

/// Reports machines that were reachable before and are not any more.
fn notice_silent(keeper: &keeper::Keeper, before: &[id::VmId]) -> Vec<id::VmId> {
    let now = clock::now();
    let reachable: Vec<id::VmId> = {
        let mut fleet = keeper.fleet.lock();
        fleet.remove_silent(now, REMEMBERED);
        fleet.reachable(now).into_iter().map(|reachable| reachable.entry_vm.vm).collect()
    };
    for vm in before.iter().filter(|vm| reachable.binary_search(vm).is_err()) {
        keeper.reporter.report(event::Kind::PeerSilent { peer: vm.clone() });
    }
    keeper.publish_fleet();
    keeper.publish_confirmed();
    reachable
}
