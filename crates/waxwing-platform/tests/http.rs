//! The client of the platform's store over a slow link.

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use waxwing_platform::http;
use waxwing_platform::store::Store;

/// The number of pieces that a response is sent in.
const PIECES: usize = 60;

/// Answers each connection with a listing of these entries, evenly over `span`; nothing more comes after
/// `sent_permille` of it.
fn serve(entries: &[String], span: time::Duration, sent_permille: usize) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let body = format!(r#"{{"revision":9,"entries":[{}]}}"#, entries.join(","));
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
    let response = format!("{head} {}\r\n\r\n{body}", body.len());
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4_096];
            if stream.read(&mut request).is_err() {
                continue;
            }
            let sent = &response.as_bytes()[..response.len() * sent_permille / 1_000];
            for piece in sent.chunks(response.len().div_ceil(PIECES)) {
                if stream.write_all(piece).is_err() {
                    break;
                }
                thread::sleep(span / PIECES as u32);
            }
            // The connection stays open until the client closes it.
            while matches!(stream.read(&mut request), Ok(1..)) {}
        }
    });
    address
}

/// Returns an entry that fills many packets.
fn large_entry() -> String {
    format!(r#"{{"key":"records/a","revision":1,"value":"{}"}}"#, "A".repeat(600_000))
}

/// Regression: records that took their link longer than ten seconds never arrived, however often
/// they were listed.
#[ntex::test]
async fn records_that_take_their_link_longer_than_the_call_timeout_arrive() {
    let platform =
        http::Platform::new(serve(&[large_entry()], time::Duration::from_secs(12), 1_000)).await;
    let listing = platform.list("").await.expect("the whole listing");
    assert_eq!(listing.entries.len(), 1);
}

/// Guards against a call that waits for a store that stopped in the middle of its response.
#[ntex::test]
async fn a_listing_that_stops_midway_ends_the_call() {
    let platform = http::Platform::new(serve(&[large_entry()], time::Duration::ZERO, 500)).await;
    let started_at = time::Instant::now();
    assert!(platform.list("").await.is_err());
    assert!(started_at.elapsed() < time::Duration::from_secs(5), "{:?}", started_at.elapsed());
}

/// Regression: one record that can't be decoded made the listing fail as a whole, so that no keeper
/// followed the records any more.
#[ntex::test]
async fn an_odd_entry_leaves_the_others_of_a_listing_readable() {
    let entry = |key: &str, value: &str| {
        format!(r#"{{"key":"records/{key}","revision":1,"value":{value}}}"#)
    };
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let entries = [
        entry("a", "1"),
        entry("b", &nested),
        entry("c", "1e999"),
        r#"{"key":7,"revision":1,"value":1}"#.to_owned(),
        r#"{"key":"records/d","revision":18446744073709551616,"value":1}"#.to_owned(),
        entry("e", "2"),
    ];
    let platform = http::Platform::new(serve(&entries, time::Duration::ZERO, 1_000)).await;
    let listing = platform.list("").await.expect("a listing");
    let keys: Vec<&str> = listing.entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!((listing.revision.0, keys), (9, vec!["records/a", "records/e"]));
}
