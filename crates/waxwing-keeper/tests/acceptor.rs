//! Connections are accepted again after any failure, and failures don't make the thread spin.

use std::io;
use std::net;
use std::sync::mpsc;
use std::thread;
use std::time;

use waxwing_keeper::acceptor;

fn listener() -> (net::TcpListener, net::SocketAddr) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

#[test]
fn connections_are_served_after_one_that_could_not_be_set_up() {
    let (listener, address) = listener();
    let (served, connections) = mpsc::channel();
    thread::spawn(move || {
        let mut has_failed = false;
        acceptor::serve("a test", &listener, |stream| {
            if !std::mem::replace(&mut has_failed, true) {
                return Err(io::Error::other("no thread can be started"));
            }
            served.send(stream).map_err(io::Error::other)
        })
    });
    let _first = net::TcpStream::connect(address).expect("a connection");
    let _second = net::TcpStream::connect(address).expect("a connection");
    assert!(connections.recv_timeout(time::Duration::from_secs(5)).is_ok());
}

#[test]
fn failures_one_after_the_other_do_not_make_the_thread_spin() {
    let (listener, address) = listener();
    let waiting: Vec<net::TcpStream> =
        (0..30).map(|_| net::TcpStream::connect(address).expect("a connection")).collect();
    let (failed, failures) = mpsc::channel();
    thread::spawn(move || {
        acceptor::serve("a test", &listener, |_| {
            failed.send(()).map_err(io::Error::other)?;
            Err(io::Error::other("no thread can be started"))
        })
    });
    thread::sleep(10 * acceptor::RETRY_PAUSE);
    let count = failures.try_iter().count();
    assert!((1..=11).contains(&count), "{count} failures of {}", waiting.len());
}
