//! Sends heartbeats to other keepers, and detects machines that have become unreachable.

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

/// How long an unreachable machine that the platform's list does not contain is remembered.
///
/// This is longer than the silence after which its seats may be taken over, so that the time of its
/// last heartbeat is still known then.
const SILENT_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Sends heartbeats at the interval that the fleet's size allows; never returns.
pub fn run(keeper: &keeper::Keeper) {
    let mut reachable_before: Vec<id::VmId> = Vec::new();
    loop {
        let interval = send_round(keeper);
        reachable_before = report_silent(keeper, &reachable_before);
        thread::sleep(interval);
    }
}

/// Sends one round of heartbeats and returns the time until the next round.
pub fn send_round(keeper: &keeper::Keeper) -> time::Duration {
    let local_vm = keeper.entry_vm();
    let targets: Vec<net::SocketAddr> = {
        let fleet = keeper.fleet.lock();
        fleet.heartbeat_targets(&local_vm).into_iter().map(|vm| vm.peer_address).collect()
    };
    let interval = fleet::heartbeat_interval(targets.len());
    let heartbeat = fleet::Heartbeat {
        entry_vm: local_vm,
        revision: keeper.records.current().revision,
        confirmed_ago_ms: keeper.confirmation_age(),
        interval_ms: units_time::Millis(u64::try_from(interval.as_millis()).unwrap_or(u64::MAX)),
        load: keeper.load.lock().clone(),
    };
    for address in targets {
        keeper.send(address, peer::Body::Heartbeat(heartbeat.clone()));
    }
    interval
}

/// Reports machines that have become unreachable since the last round, and returns the reachable
/// ones. Also sends the other processes of this machine the reachable machines and the age of the
/// records' confirmation.
fn report_silent(keeper: &keeper::Keeper, before: &[id::VmId]) -> Vec<id::VmId> {
    let now = clock::now();
    let reachable: Vec<id::VmId> = {
        let mut fleet = keeper.fleet.lock();
        fleet.remove_silent(now, SILENT_RETENTION);
        fleet.reachable(now).into_iter().map(|reachable| reachable.entry_vm.vm).collect()
    };
    for vm in before.iter().filter(|vm| reachable.binary_search(vm).is_err()) {
        keeper.reporter.report(event::Kind::PeerSilent { peer: vm.clone() });
    }
    keeper.publish_fleet();
    keeper.publish_confirmed();
    reachable
}
