//! The header by which an entry VM says whether a request ran is believed of entry VMs only.

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use ntex::http;
use ntex::http::header;
use waxwing_entry::headers;
use waxwing_entry::upstream;
use waxwing_process::clock;
use waxwing_process::shutdown;
use waxwing_request::attempt;

/// Starts a server that answers one request and says that it may not have run.
fn server() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).expect("a request");
        let answer = "HTTP/1.1 200 OK\r\nwaxwing-outcome: unknown\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer.as_bytes()).expect("the response can be sent");
    });
    address
}

async fn send(recipient: upstream::Recipient) -> Option<attempt::Fault> {
    let request = upstream::Request {
        recipient,
        method: http::Method::GET,
        path: "/ledger/a".to_owned(),
        headers: Vec::new(),
        body: upstream::Body::Buffered(ntex::util::Bytes::new()),
    };
    let deadline = clock::now().after(time::Duration::from_secs(5));
    let sent = upstream::send(server(), request, &shutdown::Shutdown::default(), deadline).await;
    sent.err().map(|f| f.fault)
}

#[ntex::test]
async fn an_outcome_that_a_backend_server_states_is_ignored() {
    assert_eq!(send(upstream::Recipient::BackendServer).await, None);
    let fault = send(upstream::Recipient::EntryVm).await;
    assert_eq!(fault, Some(attempt::Fault::Disconnected));
}

#[test]
fn an_outcome_that_a_caller_states_is_not_forwarded() {
    let mut sent = header::HeaderMap::new();
    for name in [headers::OUTCOME, headers::NOT_RUN, "x-other"] {
        let name = header::HeaderName::from_static(name);
        sent.insert(name, header::HeaderValue::from_static("unknown"));
    }
    let forwarded = headers::upstream_headers(&sent, None);
    let names: Vec<&str> = forwarded.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["x-other"]);
}
