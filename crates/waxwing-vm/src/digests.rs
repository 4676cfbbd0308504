//! Sends and passes on the heartbeats of regions; [`region_digest`] tells why.

use waxwing_machine::membership;
use waxwing_machine::region_digest;
use waxwing_process::clock;
use waxwing_protocol::peer;
use waxwing_units::id;

use crate::peers;
use crate::vm;

/// Returns whether the fleet has a size at which heartbeats cross regions in digests only.
pub fn are_used(vm: &vm::Vm) -> bool {
    let members = vm.membership.lock().len();
    let checked = vm.settings();
    let settings = &checked.settings;
    members > settings.direct_heartbeats_max && members <= settings.digests_max
}

/// Returns whether a machine is in this VM's region.
pub fn is_near(vm: &vm::Vm, info: &membership::MachineInfo) -> bool {
    let settings = vm.settings();
    settings.region_of(&info.failure_domain) == settings.region_of(&vm.info.failure_domain)
}

/// Sends the digest of this VM's region to the other regions, if this VM is the relay.
pub fn send(vm: &vm::Vm) {
    if !are_used(vm) || !is_relay(vm) {
        return;
    }
    let entries = own_entries(vm);
    for relay in far_relays(vm) {
        for part in entries.chunks(region_digest::ENTRIES_MAX) {
            send_part(vm, &relay, region_digest::Route::ToRegion, part.to_vec());
        }
    }
}

/// Applies a digest and passes it on, as its route says.
pub fn receive(vm: &vm::Vm, digest: region_digest::RegionDigest) {
    let region_digest::RegionDigest { route, entries } = digest;
    let news = vm.membership.lock().apply_digest(clock::now(), &entries);
    for machine in &news.changed {
        log::info!("machine {machine} is reachable, by a digest");
    }
    match route {
        region_digest::Route::ToMachine => (),
        _ if is_relay(vm) => {
            let peers = if news.entries.is_empty() { Vec::new() } else { near_peers(vm) };
            for peer in peers {
                let route = region_digest::Route::ToMachine;
                send_part(vm, &peer, route, news.entries.clone());
            }
        }
        region_digest::Route::ToRelay => (),
        region_digest::Route::ToRegion => {
            let relays = vm.membership.lock().clone().relays_of(clock::now(), |i| is_near(vm, i));
            if let Some(relay) = relays.first() {
                send_part(vm, relay, region_digest::Route::ToRelay, entries);
            }
        }
    }
}

fn send_part(
    vm: &vm::Vm,
    to: &membership::MachineInfo,
    route: region_digest::Route,
    entries: Vec<region_digest::Entry>,
) {
    let digest = region_digest::RegionDigest { route, entries };
    peers::send(vm, to.peer_address, peer::Body::RegionDigest(digest));
}

/// Returns whether this VM relays for its region, by the machines that it hears.
fn is_relay(vm: &vm::Vm) -> bool {
    let near = near_peers(vm);
    let machines = near.iter().chain([&vm.info]);
    let relays = region_digest::relays(machines);
    vm.stage() == vm::Stage::Serving && relays.first().is_some_and(|relay| relay.vm == vm.info.vm)
}

/// Returns the live machines of this VM's region.
fn near_peers(vm: &vm::Vm) -> Vec<membership::MachineInfo> {
    let membership = vm.membership.lock().clone();
    let live = membership.live_peers(clock::now()).map(|(info, _)| info);
    live.filter(|info| is_near(vm, info)).cloned().collect()
}

/// Returns the machines that relay for the other regions.
fn far_relays(vm: &vm::Vm) -> Vec<membership::MachineInfo> {
    let settings = vm.settings();
    let own_region = settings.region_of(&vm.info.failure_domain);
    let mut regions: Vec<&id::RegionId> =
        settings.settings.places.iter().map(|place| &place.region).collect();
    regions.sort();
    regions.dedup();
    let membership = vm.membership.lock().clone();
    let now = clock::now();
    let others = regions.into_iter().filter(|region| Some(*region) != own_region);
    let relays_of = |region: &id::RegionId| {
        membership.relays_of(now, |info| settings.region_of(&info.failure_domain) == Some(region))
    };
    others.flat_map(relays_of).collect()
}

/// Returns the entries of this VM and of the machines of its region that it hears.
fn own_entries(vm: &vm::Vm) -> Vec<region_digest::Entry> {
    let own = peers::heartbeat(vm);
    let membership = vm.membership.lock().clone();
    let mut entries = membership.digest_entries(clock::now(), |info| is_near(vm, info));
    entries.push(region_digest::Entry {
        machine: region_digest::MachineKey::of(&own.about),
        age_ms: 0,
        revision: own.revision,
        phase: own.phase,
        store_steady_ms: own.store_steady_ms,
        reaches_store: own.reaches_store,
        requests_per_s: own.requests_per_s,
        link_bandwidth: vm.settings().settings.link_bandwidth,
    });
    entries
}
