//! Receives and handles datagrams from other keepers.

use std::thread;

use waxwing_contract::accounts;
use waxwing_machine::fleet;
use waxwing_process::clock;
use waxwing_protocol::peer;
use waxwing_timeline::event;

use crate::acceptor;
use crate::keeper;

/// Bytes of the receive buffer; a longer datagram is truncated and fails to decode.
const BUFFER_LEN_BYTES: usize = 2 * peer::DATAGRAM_MAX_BYTES;

/// Receives datagrams; never returns.
pub fn run(keeper: &keeper::Keeper) {
    let mut buffer = [0; BUFFER_LEN_BYTES];
    loop {
        match keeper.socket().recv_from(&mut buffer) {
            Ok((len_bytes, _)) => receive(keeper, &buffer[..len_bytes]),
            Err(error) => {
                log::warn!("receiving a datagram failed: {error}");
                thread::sleep(acceptor::RETRY_PAUSE);
            }
        }
    }
}

fn receive(keeper: &keeper::Keeper, bytes: &[u8]) {
    let datagram = match peer::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!("dropped an invalid datagram: {error}");
            keeper.count_malformed();
            return;
        }
    };
    keeper.reporter.observe(datagram.stamp);
    match datagram.body {
        peer::Body::Heartbeat(heartbeat) => handle_heartbeat(keeper, heartbeat, &datagram.from),
        peer::Body::Contract(message) => {
            let mut out = accounts::Outbox::default();
            keeper.accounts.receive(clock::now(), message, &mut out);
            keeper.dispatch(out);
        }
        peer::Body::MemberHeartbeat(_)
        | peer::Body::LoanRequest(_)
        | peer::Body::Loan(_)
        | peer::Body::MemberLink(_)
        | peer::Body::RegionDigest(_) => {
            log::debug!("dropped a datagram of a waxwing-vm machine");
            keeper.count_malformed();
        }
    }
}

fn handle_heartbeat(
    keeper: &keeper::Keeper,
    heartbeat: fleet::Heartbeat,
    from: &waxwing_contract::message::Peer,
) {
    if heartbeat.entry_vm.vm != from.vm || from.vm == keeper.local_peer.vm {
        return;
    }
    let (vm, incarnation) = (from.vm.clone(), from.incarnation);
    let phase_before = keeper.fleet.lock().member(&vm).map(|member| member.entry_vm.phase);
    let (phase, revision) = (heartbeat.entry_vm.phase, heartbeat.revision);
    if let Some(ago_ms) = heartbeat.confirmed_ago_ms {
        keeper.records.confirm(revision, clock::now().before(ago_ms.duration()));
    }
    let is_new = keeper.fleet.lock().record_heartbeat(clock::now(), heartbeat, incarnation);
    if is_new {
        keeper.reporter.report(event::Kind::PeerHeard { peer: vm });
    }
    if is_new || phase_before != Some(phase) {
        keeper.publish_fleet();
    }
    keeper.peer_revisions.enqueue(from, revision);
}
