//! Copies of the records between keepers, over TCP.
//!
//! A keeper that hears of a higher revision than its own fetches the records from the one that
//! told it. So records spread without the store, and a machine that starts while the store is
//! out gets the newest that its peers have.

use std::io;
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

use crate::keeper;
use crate::records;

/// How long a copy may take.
const COPY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// How long to wait before the keepers named in the settings are asked again.
const FIRST_PEERS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Asks for the records if they are above a revision.
#[derive(Debug, Serialize, Deserialize)]
struct CopyAsk {
    above: id::Revision,
}

/// The answer: the records, if they are above that revision.
#[derive(Debug, Serialize, Deserialize)]
struct CopyAnswer {
    agreed: Option<records::Agreed>,
}

/// The queue of revisions that other keepers told of.
pub type Heard = mpsc::Receiver<(message::Peer, id::Revision)>;

/// Revisions that other keepers told of, for the thread that fetches copies.
#[derive(Debug)]
pub struct HeardRevisions {
    queue: mpsc::SyncSender<(message::Peer, id::Revision)>,
}

impl HeardRevisions {
    /// Creates the queue between the threads that hear and the one that fetches.
    pub fn new() -> (Self, Heard) {
        let (queue, receiver) = mpsc::sync_channel(64);
        (Self { queue }, receiver)
    }

    /// Notes what a keeper told; it is told again with the next heartbeat if there is no room.
    pub fn note(&self, peer: &message::Peer, revision: id::Revision) {
        if self.queue.try_send((peer.clone(), revision)).is_err() {
            log::debug!("revision {revision} of {peer} is left for the next heartbeat");
        }
    }
}

/// Answers keepers that want a copy; returns only where the listener fails.
///
/// # Errors
///
/// Returns an error where no thread can be started for a connection.
pub fn serve(keeper: &keeper::Shared, listener: &net::TcpListener) -> io::Result<()> {
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            continue;
        };
        let keeper = keeper.clone();
        let answer = move || {
            if let Err(error) = answer(&keeper, stream) {
                log::debug!("a copy could not be given: {error}");
                keeper.count_malformed();
            }
        };
        thread::Builder::new().name("copy".to_owned()).spawn(answer)?;
    }
    Ok(())
}

fn answer(keeper: &keeper::Keeper, mut stream: net::TcpStream) -> frame::Result<()> {
    stream.set_read_timeout(Some(COPY_TIMEOUT))?;
    stream.set_write_timeout(Some(COPY_TIMEOUT))?;
    let ask: CopyAsk = frame::read(&mut stream)?;
    let agreed = keeper.records.get();
    let is_newer = agreed.revision > ask.above;
    let agreed = is_newer.then(|| records::Agreed::clone(&agreed));
    frame::write(&mut stream, &CopyAnswer { agreed })
}

/// Fetches copies from keepers that told of higher revisions; never returns.
pub fn run(keeper: &keeper::Keeper, heard: &Heard) {
    for (peer, revision) in heard {
        if revision <= keeper.records.get().revision {
            continue;
        }
        let address = keeper.fleet.lock().member(&peer.vm).map(|m| m.entry_vm.peer_address);
        if let Some(address) = address {
            fetch(keeper, address);
        }
    }
}

/// Asks the keepers named in the settings until any records are in force.
pub fn fetch_first(keeper: &keeper::Keeper, first_peers: &[net::SocketAddr]) {
    while keeper.records.get().revision == id::Revision(0) && !first_peers.is_empty() {
        for address in first_peers {
            fetch(keeper, *address);
        }
        thread::sleep(FIRST_PEERS_INTERVAL);
    }
}

fn fetch(keeper: &keeper::Keeper, address: net::SocketAddr) {
    match copy_from(address, keeper.records.get().revision) {
        Ok(Some(agreed)) => {
            let read_at = units_time::MonoInstant(0);
            keeper.put_in_force(agreed, event::Source::Peer, read_at);
        }
        Ok(None) => (),
        Err(error) => log::debug!("no copy from {address}: {error}"),
    }
}

fn copy_from(
    address: net::SocketAddr,
    above: id::Revision,
) -> frame::Result<Option<records::Agreed>> {
    let mut stream = net::TcpStream::connect_timeout(&address, COPY_TIMEOUT)?;
    stream.set_read_timeout(Some(COPY_TIMEOUT))?;
    stream.set_write_timeout(Some(COPY_TIMEOUT))?;
    frame::write(&mut stream, &CopyAsk { above })?;
    let answer: CopyAnswer = frame::read(&mut stream)?;
    Ok(answer.agreed)
}
