//! Datagrams between entry VMs: heartbeats, and requests for and grants of token loans.

use std::net;
use std::thread;
use std::time;

use waxwing_machine::membership;
use waxwing_machine::region_digest;
use waxwing_process::clock;
use waxwing_protocol::peer;

use crate::digests;
use crate::vm;

/// How often heartbeats are sent.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// The number of heartbeats for each report of the link's bandwidth, which seldom changes.
const HEARTBEATS_PER_LINK_REPORT: u64 = 5;

/// Bytes of the receive buffer; a longer datagram is truncated and can't be decoded.
const BUFFER_LEN_BYTES: usize = 2 * peer::DATAGRAM_MAX_BYTES;

/// Receives datagrams; never returns.
pub fn run_receiver(vm: &vm::Vm) {
    let mut buffer = [0; BUFFER_LEN_BYTES];
    loop {
        match vm.socket().recv_from(&mut buffer) {
            Ok((len_bytes, from)) => receive(vm, from, &buffer[..len_bytes]),
            Err(error) => log::debug!("receiving a datagram failed: {error}"),
        }
    }
}

fn receive(vm: &vm::Vm, from: net::SocketAddr, bytes: &[u8]) {
    let datagram = match peer::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!("dropped an invalid datagram: {error}");
            return;
        }
    };
    match datagram.body {
        peer::Body::MemberHeartbeat(heartbeat) => record_heartbeat(vm, heartbeat),
        peer::Body::LoanRequest(request) => {
            let amount = vm.contracts.lend(&request);
            let loan =
                peer::Loan { nonce: request.nonce, organisation: request.organisation, amount };
            send(vm, from, peer::Body::Loan(loan));
        }
        peer::Body::MemberLink(bandwidth) => {
            vm.membership.lock().record_link_bandwidth(&datagram.from.vm, bandwidth);
        }
        peer::Body::RegionDigest(digest) => digests::receive(vm, digest),
        peer::Body::Loan(loan) => vm.contracts.receive_loan(&datagram.from.vm, &loan),
        peer::Body::Heartbeat(_) | peer::Body::Contract(_) => {
            log::debug!("dropped a datagram that is meant for a keeper");
        }
    }
}

fn record_heartbeat(vm: &vm::Vm, heartbeat: membership::Heartbeat) {
    let (name, phase) = (heartbeat.about.vm.clone(), heartbeat.phase);
    if vm.membership.lock().record_heartbeat(clock::now(), heartbeat) {
        log::info!("machine {name} is reachable, phase {phase:?}");
    }
}

/// Sends heartbeats at a fixed interval; never returns.
pub fn run_heartbeats(vm: &vm::Vm) {
    for round in 0_u64.. {
        send_heartbeats(vm);
        if region_digest::is_due(round) {
            digests::send(vm);
        }
        if round.is_multiple_of(HEARTBEATS_PER_LINK_REPORT) {
            send_link_bandwidth(vm);
        }
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

/// Sends the bandwidth of this VM's link, if the settings have it, to where heartbeats are sent.
fn send_link_bandwidth(vm: &vm::Vm) {
    let Some(bandwidth) = vm.settings().settings.link_bandwidth else {
        return;
    };
    for target in heartbeat_targets(vm) {
        send(vm, target, peer::Body::MemberLink(bandwidth));
    }
}

/// Sends one heartbeat to each member and to each VM that sent one lately.
pub fn send_heartbeats(vm: &vm::Vm) {
    let heartbeat = heartbeat(vm);
    for target in heartbeat_targets(vm) {
        send(vm, target, peer::Body::MemberHeartbeat(heartbeat.clone()));
    }
}

/// Returns this VM's heartbeat.
pub fn heartbeat(vm: &vm::Vm) -> membership::Heartbeat {
    membership::Heartbeat {
        about: vm.info.clone(),
        revision: vm.membership.lock().revision(),
        phase: vm.phase(),
        store_steady_ms: vm.store_steady(),
        reaches_store: vm.reaches_store(),
        requests_per_s: vm.arrival_rate.per_s(clock::now()),
    }
}

/// Returns where heartbeats are sent: in a large fleet, to the machines of this region only.
fn heartbeat_targets(vm: &vm::Vm) -> Vec<net::SocketAddr> {
    let sends_to_all = !digests::are_used(vm);
    let is_target = |info: &membership::MachineInfo| sends_to_all || digests::is_near(vm, info);
    vm.membership.lock().heartbeat_targets(clock::now(), is_target)
}

/// Sends a datagram; one that can't be sent counts as lost.
pub fn send(vm: &vm::Vm, address: net::SocketAddr, body: peer::Body) {
    let datagram = peer::Datagram { from: vm.sender_identity(), stamp: vm.stamp(), body };
    let mut buffer = [0; peer::DATAGRAM_MAX_BYTES];
    match peer::encode(&datagram, &mut buffer) {
        Ok(bytes) => {
            if let Err(error) = vm.socket().send_to(bytes, address) {
                log::debug!("sending a datagram to {address} failed: {error}");
            }
        }
        Err(error) => log::warn!("can't encode a datagram to {address}: {error}"),
    }
}
