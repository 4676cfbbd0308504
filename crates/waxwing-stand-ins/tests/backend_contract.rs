//! The contract of backend servers and of the list of entry VMs, checked on the test doubles.

use std::io::Write;
use std::net;
use std::thread;
use std::time;

use serde_json::json;
use waxwing_machine::backend_server;
use waxwing_platform::http;
use waxwing_platform::vm_list::VmList;
use waxwing_stand_ins::backend;
use waxwing_stand_ins::caller;
use waxwing_stand_ins::platform;

fn address(number: u8) -> net::SocketAddr {
    let process_octet = u8::try_from(std::process::id() % 200).unwrap_or(0) + 20;
    net::SocketAddr::from(([127, process_octet, 201, number], 8000))
}

/// Starts a server with one slot on its own thread and waits until it listens.
fn start(number: u8) -> net::SocketAddr {
    let address = address(number);
    thread::spawn(move || {
        ntex::rt::System::new("backend", ntex::rt::DefaultRuntime).block_on(async move {
            let backend = backend::Backend::new("ledger-1".to_owned(), 1);
            backend::serve(address, backend).expect("it listens").await.is_ok()
        })
    });
    while caller::connect(address).is_err() {
        thread::sleep(time::Duration::from_millis(10));
    }
    address
}

fn set_control(address: net::SocketAddr, value: &serde_json::Value) {
    let request = caller::Request::new("POST", "/stand-in/control")
        .header("content-type", "application/json")
        .body(value.to_string().into_bytes());
    assert_eq!(caller::call(address, &request).expect("a response").status, 200);
}

fn get(address: net::SocketAddr, path: &str) -> caller::Response {
    caller::call(address, &caller::Request::new("GET", path)).expect("a response")
}

fn count(address: net::SocketAddr, what: &str) -> u64 {
    let counts: serde_json::Value =
        serde_json::from_slice(&get(address, "/stand-in/counts").body).expect("counts");
    counts[what].as_u64().expect("a count")
}

/// Waits until a count reaches the expected value.
fn wait_for(address: net::SocketAddr, what: &str, expected: u64) {
    let started_at = time::Instant::now();
    while count(address, what) != expected {
        assert!(
            started_at.elapsed() < time::Duration::from_secs(20),
            "timed out waiting for {what} to be {expected}"
        );
        thread::sleep(time::Duration::from_millis(10));
    }
}

fn run_count(address: net::SocketAddr) -> usize {
    let runs: Vec<backend::Run> =
        serde_json::from_slice(&get(address, "/stand-in/runs").body).expect("a list");
    runs.len()
}

#[test]
fn a_server_without_a_free_slot_says_that_it_did_not_run_the_request() {
    let address = start(1);
    set_control(address, &json!({"work_ms": 2000}));
    let first = thread::spawn(move || get(address, "/first").status);
    wait_for(address, "in_flight", 1);
    let shed = get(address, "/second");
    assert_eq!((shed.status, shed.header("waxwing-not-run")), (503, "true"));
    assert_eq!(first.join().expect("no panic"), 200);
    assert_eq!(run_count(address), 1);
}

#[test]
fn a_server_reports_its_load_and_does_not_run_an_interrupted_upload() {
    let address = start(2);
    set_control(address, &json!({"is_draining": true, "reported_slots_in_use": 7}));
    let report: backend_server::Report =
        serde_json::from_slice(&get(address, "/load").body).expect("a report");
    assert_eq!(report, backend_server::Report { is_ready: false, slots_in_use: 7 });
    let request = caller::Request::new("POST", "/upload").body(vec![b'x'; 100_000]);
    let mut stream = caller::connect(address).expect("a connection");
    stream.write_all(&request.head(true)).expect("sent");
    stream.write_all(&request.body[..50_000]).expect("sent");
    wait_for(address, "in_flight", 1);
    drop(stream);
    wait_for(address, "broken_uploads", 1);
    assert_eq!(run_count(address), 0);
}

#[ntex::test]
async fn the_client_reads_the_vm_list_unchanged() {
    let vms: Vec<waxwing_machine::entry_vm::EntryVm> =
        serde_json::from_str(include_str!("../../../examples/cooperative/vms.json"))
            .expect("a list of entry VMs");
    let platform = platform::Platform::default();
    platform.set_vms(vms.clone());
    let address = address(3);
    let server = platform::serve(address, platform).expect("it listens");
    ntex::rt::spawn(async move { server.await.is_ok() });
    assert_eq!(http::Platform::new(address).await.vms().await, Ok(vms));
}
