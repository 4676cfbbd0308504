//! Queries of the region's reader over a link that may be slow.
//!
//! A response that takes long may still come: over a full link each round trip can take longer than a
//! lost message should be waited for. So a query without a response is repeated on a new connection,
//! beside the first one, and the first response counts.

use std::cell;
use std::net;
use std::rc;
use std::time;

use futures_util::StreamExt;
use futures_util::stream;
use waxwing_machine::transfer;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::replication;
use waxwing_units::time as units_time;

use crate::replication_connection;

/// How long a query may go without a response before another one is sent beside it.
const REPEAT_DELAY: time::Duration = time::Duration::from_millis(600);

/// The number of queries that are sent beside each other.
const QUERIES_MAX: usize = 4;

/// How long a query may make no progress.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_millis(2_400);

/// A response, the connection that it came over, and when its query was sent.
pub struct Answer {
    /// The connection, for the next query.
    pub connection: replication_connection::Connection,
    /// When the query was sent.
    pub requested_at: units_time::MonoInstant,
    /// The response.
    pub response: replication::Response,
}

/// The progress of a response, shared with the query that awaits it.
type Progress = rc::Rc<cell::Cell<transfer::Transfer>>;

/// Sends a query over `connection`, or a new one, and again over new ones while no response begins to
/// arrive; gives up once `is_wanted` no longer holds.
///
/// # Errors
///
/// Returns the error of the last query if none gets a response.
pub async fn send(
    address: net::SocketAddr,
    connection: Option<replication_connection::Connection>,
    query: replication::Request,
    is_wanted: impl Fn() -> bool,
) -> replication_connection::Result<Answer> {
    let mut progresses = vec![new_progress()];
    let mut pending = stream::FuturesUnordered::new();
    pending.push(send_one(address, connection, query, progresses[0].clone()));
    loop {
        match timer::timeout(REPEAT_DELAY, pending.next()).await {
            Ok(Some(Ok(answer))) => return Ok(answer),
            Ok(Some(Err(error))) if pending.is_empty() => return Err(error),
            Ok(Some(Err(error))) => log::debug!("one of several queries failed: {error}"),
            Ok(None) | Err(timer::Elapsed) if !is_wanted() => {
                return Err(replication_connection::Error::TimedOut(progresses[0].get()));
            }
            Ok(None) | Err(timer::Elapsed) => {
                let arrives = progresses.iter().any(|progress| progress.get().has_length());
                if !arrives && progresses.len() < QUERIES_MAX {
                    let progress = new_progress();
                    progresses.push(progress.clone());
                    pending.push(send_one(address, None, query, progress));
                }
            }
        }
    }
}

fn new_progress() -> Progress {
    rc::Rc::new(cell::Cell::new(transfer::Transfer::begin(clock::now())))
}

async fn send_one(
    address: net::SocketAddr,
    connection: Option<replication_connection::Connection>,
    query: replication::Request,
    progress: Progress,
) -> replication_connection::Result<Answer> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => replication_connection::Connection::connect(address, QUERY_TIMEOUT).await?,
    };
    let requested_at = clock::now();
    connection.send(&query).await?;
    let response = connection.receive(QUERY_TIMEOUT, &progress).await?;
    Ok(Answer { connection, requested_at, response })
}
