//! Replicates the records between keepers, over TCP.
//!
//! A keeper that receives a heartbeat with a higher revision than its own fetches the records from
//! the sender. So records reach all machines although only some read the store, and a machine that
//! starts during an outage of the store gets the newest records that its peers have.

use std::net;
use std::sync::mpsc;
use std::thread;
use std::time;

use serde::{Deserialize, Serialize};
use waxwing_contract::message;
use waxwing_protocol::frame;
use waxwing_timeline::event;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::acceptor;
use crate::keeper;
use crate::records;

/// The timeout of the connection, and of each read and write of an exchange.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The interval between rounds of requests to the keepers named in the settings.
const FIRST_PEERS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Requests the records if their revision is above the requester's.
#[derive(Debug, Serialize, Deserialize)]
struct RecordsRequest {
    above: id::Revision,
}

/// The response: the records, or `None` if their revision is not above the requested one.
#[derive(Debug, Serialize, Deserialize)]
struct RecordsResponse {
    record_set: Option<records::RecordSet>,
}

/// The receiving end of the queue of revisions that other keepers announced.
pub type RevisionQueue = mpsc::Receiver<(message::Peer, id::Revision)>;

/// The queue of revisions that other keepers announced, to the thread that fetches records.
#[derive(Debug)]
pub struct PeerRevisions {
    queue: mpsc::SyncSender<(message::Peer, id::Revision)>,
}

impl PeerRevisions {
    /// Creates the queue from the threads that receive heartbeats to the one that fetches records.
    pub fn new() -> (Self, RevisionQueue) {
        let (queue, receiver) = mpsc::sync_channel(64);
        (Self { queue }, receiver)
    }

    /// Queues the revision of a keeper; if the queue is full it is dropped, and the keeper's next
    /// heartbeat announces it again.
    pub fn enqueue(&self, peer: &message::Peer, revision: id::Revision) {
        if self.queue.try_send((peer.clone(), revision)).is_err() {
            log::debug!(
                "fetch queue is full; dropped revision {revision} of {peer} until its next heartbeat"
            );
        }
    }
}

/// Serves the records to other keepers; never returns.
pub fn serve(keeper: &keeper::Shared, listener: &net::TcpListener) {
    acceptor::serve("another keeper", listener, |stream| {
        let keeper = keeper.clone();
        let respond = move || match respond(&keeper, stream) {
            Ok(()) => (),
            Err(frame::Error::Io(error)) => log::debug!("sending the records failed: {error}"),
            Err(error) => {
                log::debug!("a request for the records is malformed: {error}");
                keeper.count_malformed();
            }
        };
        thread::Builder::new().name("copy".to_owned()).spawn(respond).map(|_| ())
    });
}

fn respond(keeper: &keeper::Keeper, mut stream: net::TcpStream) -> frame::Result<()> {
    stream.set_read_timeout(Some(EXCHANGE_TIMEOUT))?;
    stream.set_write_timeout(Some(EXCHANGE_TIMEOUT))?;
    let request: RecordsRequest = frame::read(&mut stream)?;
    let record_set = keeper.records.current();
    let is_newer = record_set.revision > request.above;
    let record_set = is_newer.then(|| records::RecordSet::clone(&record_set));
    frame::write(&mut stream, &RecordsResponse { record_set })
}

/// Fetches records from keepers that announced higher revisions; returns only when the queue is
/// closed.
pub fn fetch_newer(keeper: &keeper::Keeper, revision_queue: &RevisionQueue) {
    for (peer, revision) in revision_queue {
        if revision <= keeper.records.current().revision {
            continue;
        }
        let address = keeper.fleet.lock().member(&peer.vm).map(|m| m.entry_vm.peer_address);
        if let Some(address) = address {
            fetch(keeper, address);
        }
    }
}

/// Requests records from the keepers named in the settings until a record set is current.
pub fn fetch_initial(keeper: &keeper::Keeper, first_peers: &[net::SocketAddr]) {
    while keeper.records.current().revision == id::Revision(0) && !first_peers.is_empty() {
        for address in first_peers {
            fetch(keeper, *address);
        }
        thread::sleep(FIRST_PEERS_INTERVAL);
    }
}

fn fetch(keeper: &keeper::Keeper, address: net::SocketAddr) {
    match request_records(address, keeper.records.current().revision) {
        Ok(Some(record_set)) => {
            let read_at = units_time::MonoInstant(0);
            keeper.apply_records(record_set, event::Source::Peer, read_at);
        }
        Ok(None) => (),
        Err(error) => log::debug!("fetching records from {address} failed: {error}"),
    }
}

fn request_records(
    address: net::SocketAddr,
    above: id::Revision,
) -> frame::Result<Option<records::RecordSet>> {
    let mut stream = net::TcpStream::connect_timeout(&address, EXCHANGE_TIMEOUT)?;
    stream.set_read_timeout(Some(EXCHANGE_TIMEOUT))?;
    stream.set_write_timeout(Some(EXCHANGE_TIMEOUT))?;
    frame::write(&mut stream, &RecordsRequest { above })?;
    let response: RecordsResponse = frame::read(&mut stream)?;
    Ok(response.record_set)
}
