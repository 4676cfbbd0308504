//! Faults of single backend servers that other operators reported.

use std::io::{Read, Write};
use std::net;

use serde_json::json;
use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

const VM: &str = support::VMS[0];

/// More requests per second than the tests send.
const RATE: &str = "5000";

/// Sends a request on a connection that stays open, with another one behind it whose response would
/// follow if the first response ended too early.
fn send_kept(
    deployment: &deployment::Deployment,
    request: &caller::Request,
    next: &caller::Request,
) -> String {
    let mut stream = caller::connect(deployment.entry_address(VM)).expect("a connection");
    exchange(&mut stream, &[request.head(false), next.head(true)].concat())
}

/// Sends bytes on a connection and returns the first response as [`support::describe`] prints it.
fn exchange(stream: &mut net::TcpStream, bytes: &[u8]) -> String {
    stream.write_all(bytes).expect("sent");
    let response = caller::read_response(stream);
    response.map_or_else(|_| "broken".to_owned(), |response| support::describe(&response))
}

/// Guards against taking the second copy of a refusal for the response to a request that runs.
#[test]
fn a_repeated_refusal_is_not_taken_for_the_response_to_a_later_request() {
    let (deployment, key) = support::start_with(18, RATE);
    for delay_ms in [0, 100] {
        for method in ["POST", "GET"] {
            let path = format!("/ledger/{delay_ms}-{method}");
            let request = support::keyed_request(method, &path, &key).head(false);
            // One connection of the caller, so that one thread handles both requests.
            let mut stream = caller::connect(deployment.entry_address(VM)).expect("a connection");
            let shed_twice = json!({"mode": "shed_twice", "work_ms": delay_ms});
            support::set_backend_control(&deployment, 1, &shed_twice);
            let refused = exchange(&mut stream, &request);
            assert!(refused.starts_with("503 not-run"), "{path}: {refused}");
            // The copy of the refusal arrives while the server runs the next request.
            support::set_backend_control(&deployment, 1, &json!({"work_ms": 2 * delay_ms}));
            let seen = exchange(&mut stream, &request);
            assert!(seen.starts_with("200 answered"), "{path}: {seen}");
            let runs = [1, 2].map(|server| support::run_count(&deployment, server, &path));
            assert_eq!(runs.iter().sum::<usize>(), 1, "{path} ran {runs:?} times");
        }
    }
}

/// Ways in which a response states the length of its body `good`.
const RESPONSES: [&str; 7] = [
    "HTTP/1.1 200 OK\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ngood",
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-seal: s\r\n\r\ngood",
    "HTTP/1.1 200 OK\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ngood",
    "HTTP/1.1 200 OK\r\nx-seal: s\r\ntransfer-encoding: identity\r\n\r\ngood",
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nupgrade: websocket\r\n\r\ngood",
    "HTTP/1.1 200 OK\r\nx-seal: s\r\n\r\ngood",
];

/// Guards against taking a response that was cut off, in its head or after it, for a whole one.
#[test]
fn a_response_cut_at_any_byte_is_never_forwarded_as_a_whole_one() {
    let (deployment, key) = support::start_with(19, RATE);
    let between = support::keyed_request("GET", "/ledger/between", &key);
    let mut wrong = Vec::new();
    for (form, response) in RESPONSES.iter().enumerate() {
        for sent_bytes in 0..response.len() {
            for method in ["POST", "GET"] {
                let path = format!("/ledger/cut-{form}-{sent_bytes}-{method}.");
                let control =
                    json!({"mode": "raw_then_answer", "raw_response": response[..sent_bytes]});
                support::set_backend_control(&deployment, 1, &control);
                let request = support::keyed_request(method, &path, &key);
                let seen = send_kept(&deployment, &request, &between);
                let is_whole = seen.starts_with("200 answered: ledger-") && seen.contains(&path);
                if !(seen == "broken" || seen.starts_with("502 unknown") || is_whole) {
                    wrong.push(format!("{path}: {seen}"));
                }
                if method == "POST" {
                    assert_eq!(support::run_count(&deployment, 1, &path), 1, "{path}");
                }
                // Keeps the failures of the server too few for its ejection.
                support::send(&deployment, VM, between.clone());
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn a_response_to_head_leaves_the_connection_open() {
    let (deployment, key) = support::start_with(20, RATE);
    let requests = [("HEAD", false), ("GET", true)].map(|(method, is_last)| {
        support::keyed_request(method, "/ledger/head", &key).head(is_last)
    });
    let mut stream = caller::connect(deployment.entry_address(VM)).expect("a connection");
    stream.write_all(&requests.concat()).expect("sent");
    let mut received = String::new();
    stream.read_to_string(&mut received).expect("both responses");
    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 2, "{received}");
}
