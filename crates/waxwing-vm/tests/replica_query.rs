//! Queries of the region's reader over a slow link, or a connection that does not answer.

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use waxwing_protocol::frame;
use waxwing_protocol::replication;
use waxwing_units::id;
use waxwing_vm::replica_query;

fn response() -> replication::Response {
    replication::Response {
        reader_incarnation: id::Incarnation(7),
        configuration: None,
        servers: None,
        members: None,
    }
}

/// Answers the queries on each connection after `delay`; the first `silent` connections never answer.
fn serve(delay: time::Duration, silent: usize) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                let mut head = [0; frame::HEADER_LEN_BYTES];
                while stream.read_exact(&mut head).is_ok() {
                    let len_bytes = frame::content_len_bytes(replication::VERSION, head);
                    let mut query = vec![0; len_bytes.expect("a valid header")];
                    stream.read_exact(&mut query).expect("a whole query");
                    if number < silent {
                        continue;
                    }
                    thread::sleep(delay);
                    let bytes = frame::encode_as(replication::VERSION, &response());
                    // An error means that another response was faster.
                    drop(stream.write_all(&bytes.expect("a valid message")));
                }
            });
        }
    });
    address
}

async fn query(address: net::SocketAddr) -> replica_query::Answer {
    let query = replication::Request::default();
    let sent = replica_query::send(address, None, query, || true).await;
    sent.unwrap_or_else(|error| panic!("no response: {error}"))
}

/// Regression: over a full link, where each response took longer than the time limit, a machine dropped
/// the connection each time and never got one.
#[ntex::test]
async fn a_response_that_takes_longer_than_a_lost_one_is_waited_for_counts() {
    let address = serve(time::Duration::from_millis(1_500), 0);
    assert_eq!(query(address).await.response, response());
}

/// Guards against a connection that went silent: the query is repeated on another one well before the
/// first is given up.
#[ntex::test]
async fn a_connection_without_a_response_delays_the_query_by_one_repetition() {
    let address = serve(time::Duration::ZERO, 1);
    let started_at = time::Instant::now();
    assert_eq!(query(address).await.response, response());
    assert!(
        started_at.elapsed() < time::Duration::from_millis(1_500),
        "{:?}",
        started_at.elapsed()
    );
}

/// Guards against a machine that waits for a reader that another one has replaced.
#[ntex::test]
async fn a_query_is_given_up_when_the_reader_is_another_one() {
    let address = serve(time::Duration::ZERO, usize::MAX);
    let started_at = time::Instant::now();
    let is_wanted = || started_at.elapsed() < time::Duration::from_millis(700);
    let query = replication::Request::default();
    assert!(replica_query::send(address, None, query, is_wanted).await.is_err());
    assert!(started_at.elapsed() < time::Duration::from_secs(2), "{:?}", started_at.elapsed());
}
