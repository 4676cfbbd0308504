//! Sends heartbeats and notices machines that have gone silent.

use std::thread;

use waxwing_machine::fleet;
use waxwing_process::clock;
use waxwing_protocol::peer;
use waxwing_timeline::event;
use waxwing_units::id;

use crate::keeper;

/// How long a machine that the platform's list does not name is remembered after it fell silent.
///
/// It is longer than the silence after which seats may be taken over.
const REMEMBERED: std::time::Duration = std::time::Duration::from_secs(60);

/// Sends heartbeats; never returns.
pub fn run(keeper: &keeper::Keeper) {
    let mut reachable_before: Vec<id::VmId> = Vec::new();
    loop {
        beat(keeper);
        reachable_before = notice_silent(keeper, &reachable_before);
        thread::sleep(fleet::HEARTBEAT_INTERVAL);
    }
}

/// Sends one round of heartbeats.
pub fn beat(keeper: &keeper::Keeper) {
    let me = keeper.entry_vm();
    let heartbeat = peer::Heartbeat {
        entry_vm: me.clone(),
        revision: keeper.records.get().revision,
        load: keeper.load.lock().clone(),
    };
    let targets: Vec<std::net::SocketAddr> = {
        let fleet = keeper.fleet.lock();
        fleet.heartbeat_targets(&me).into_iter().map(|vm| vm.peer_address).collect()
    };
    for address in targets {
        keeper.send(address, peer::Body::Heartbeat(heartbeat.clone()));
    }
}

/// Reports machines that were reachable before and are not any more.
fn notice_silent(keeper: &keeper::Keeper, before: &[id::VmId]) -> Vec<id::VmId> {
    let now = clock::now();
    let reachable: Vec<id::VmId> = {
        let mut fleet = keeper.fleet.lock();
        fleet.forget_silent(now, REMEMBERED);
        fleet.reachable(now).into_iter().map(|reachable| reachable.entry_vm.vm).collect()
    };
    for vm in before.iter().filter(|vm| reachable.binary_search(vm).is_err()) {
        keeper.reporter.report(event::What::PeerSilent { peer: vm.clone() });
    }
    keeper.publish_fleet();
    reachable
}
