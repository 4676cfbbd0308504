//! Whatever backend servers and other callers do, callers receive correct responses, and the number
//! of times that backend servers run a request agrees with them.

use std::io::Write;
use std::thread;
use std::time;

use serde_json::json;
use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

const VM: &str = support::VMS[0];

/// One behaviour of a backend server, with the expected response and number of executions.
struct Case {
    what: &'static str,
    /// The behaviour to set on the backend server.
    control: serde_json::Value,
    method: &'static str,
    timeout_ms: &'static str,
    /// The beginning of what the caller receives: status and outcome.
    seen: &'static str,
    /// The largest number of times that the backend server may run the request.
    runs_max: usize,
    /// The smallest number of times that the backend server must run the request.
    runs_min: usize,
}

fn cases() -> Vec<Case> {
    let case = |what, control, method, timeout_ms, seen, runs_min, runs_max| Case {
        what,
        control,
        method,
        timeout_ms,
        seen,
        runs_max,
        runs_min,
    };
    vec![
        case("responds", json!({}), "POST", "4000", "200 answered", 1, 1),
        case("sheds", json!({"mode": "shed"}), "POST", "4000", "503 not-run", 0, 0),
        case("sheds a GET", json!({"mode": "shed"}), "GET", "4000", "503 not-run", 0, 0),
        case("fails", json!({"mode": "fail"}), "POST", "4000", "500 answered", 0, 0),
        case("is late", json!({"work_ms": 2500}), "POST", "1000", "504 unknown", 0, 1),
        case("is late on a GET", json!({"work_ms": 2500}), "GET", "1000", "504 unknown", 0, 1),
        case(
            "breaks the connection during the response",
            json!({"mode": "break_answer"}),
            "POST",
            "4000",
            "broken",
            1,
            1,
        ),
        case("drops the connection", json!({"mode": "drop"}), "POST", "4000", "502 unknown", 1, 1),
        case(
            "drops the connection, then sheds",
            json!({"mode": "drop_then_shed"}),
            "GET",
            "4000",
            "503 unknown",
            1,
            1,
        ),
        case(
            "drops the connection on a GET",
            json!({"mode": "drop"}),
            "GET",
            "4000",
            "502 unknown",
            1,
            3,
        ),
    ]
}

#[test]
fn responses_match_what_the_backend_server_did() {
    let (deployment, key) = support::start(10);
    for (number, case) in cases().iter().enumerate() {
        support::set_backend_control(&deployment, 1, &case.control);
        let path = format!("/ledger/case-{number}");
        let request = support::keyed_request(case.method, &path, &key)
            .header("waxwing-timeout-ms", case.timeout_ms);
        let seen = support::send(&deployment, VM, request);
        assert!(seen.starts_with(case.seen), "{}: the caller received {seen:?}", case.what);
        support::set_backend_control(&deployment, 1, &json!({}));
        thread::sleep(time::Duration::from_millis(700));
        let runs = support::run_count(&deployment, 1, &path);
        let expected = case.runs_min..=case.runs_max;
        assert!(expected.contains(&runs), "{}: the request ran {runs} times", case.what);
        // Waits until the ejection of a server that failed has ended, so that the next case begins
        // with the server in use.
        deployment::wait_until("the backend server receives requests again", || {
            support::send(&deployment, VM, support::keyed_request("GET", "/ledger/between", &key))
                .starts_with("200")
        });
    }
}

#[test]
fn a_request_whose_backend_server_is_killed_is_reported_unknown_and_not_run_again() {
    let (mut deployment, key) = support::start(11);
    support::set_backend_control(&deployment, 1, &json!({"work_ms": 3000}));
    let entry = deployment.entry_address(VM);
    let send = |method: &str| {
        let request = support::keyed_request(method, "/ledger/completion", &key);
        thread::spawn(move || caller::call(entry, &request))
    };
    let completion = send("POST");
    deployment::wait_until("the backend server runs the request", || {
        support::server_count(&deployment, 1, "in_flight") == 1
    });
    deployment.kill("ledger-1");
    let response = completion.join().expect("no panic").expect("a response");
    assert!(support::describe(&response).starts_with("502 unknown"), "{response:?}");
    let next = support::send(&deployment, VM, support::keyed_request("POST", "/ledger/next", &key));
    assert!(
        next.contains("ledger-2 ran"),
        "a request that was not run moves to the other server: {next}"
    );
    assert_eq!(
        support::run_count(&deployment, 2, "/ledger/completion"),
        0,
        "the request ran a second time"
    );
    deployment.kill("ledger-2");
    let refused =
        support::send(&deployment, VM, support::keyed_request("POST", "/ledger/last", &key));
    assert!(refused.contains("not-run"), "no backend server is listening: {refused}");
}

#[test]
fn an_interrupted_upload_is_never_run_as_a_shorter_complete_one() {
    let (deployment, key) = support::start(12);
    for (len_bytes, is_streamed) in [(1_000_000, true), (1_000, false)] {
        let interrupted_before = support::server_count(&deployment, 1, "broken_uploads");
        let request =
            support::keyed_request("POST", "/ledger/photos", &key).body(vec![b'p'; len_bytes]);
        let mut stream = caller::connect(deployment.entry_address(VM)).expect("a connection");
        stream.write_all(&request.head(true)).expect("sent");
        stream.write_all(&request.body[..len_bytes / 2]).expect("sent");
        if is_streamed {
            deployment::wait_until("the backend server receives the upload", || {
                support::server_count(&deployment, 1, "in_flight") == 1
            });
        }
        drop(stream);
        if is_streamed {
            deployment::wait_until("the backend server detects the interrupted upload", || {
                support::server_count(&deployment, 1, "broken_uploads") == interrupted_before + 1
            });
        }
        deployment::wait_until("the slot is released", || {
            support::server_count(&deployment, 1, "in_flight") == 0
        });
    }
    assert_eq!(support::run_count(&deployment, 1, "/ledger/photos"), 0);
}

#[test]
fn a_request_is_cancelled_at_the_backend_server_when_its_caller_disconnects() {
    let (deployment, key) = support::start(13);
    support::set_backend_control(&deployment, 1, &json!({"work_ms": 15_000}));
    let request =
        support::keyed_request("GET", "/ledger/slow", &key).header("waxwing-timeout-ms", "15000");
    let mut stream = caller::connect(deployment.entry_address(VM)).expect("a connection");
    stream.write_all(&request.head(true)).expect("sent");
    let in_flight = || support::server_count(&deployment, 1, "in_flight");
    deployment::wait_until("the backend server runs the request", || in_flight() == 1);
    drop(stream);
    deployment::wait_until("the request is cancelled at the backend server", || in_flight() == 0);
}

#[test]
fn each_caller_receives_its_own_response_when_others_time_out() {
    let (deployment, key) = support::start(14);
    support::set_backend_control(&deployment, 1, &json!({"work_ms": 30}));
    let entry = deployment.entry_address(VM);
    let callers: Vec<_> = (0..40)
        .map(|number| {
            let timeout = if number % 3 == 0 { "25" } else { "4000" };
            let path = format!("/ledger/own-{number}-");
            let request =
                support::keyed_request("GET", &path, &key).header("waxwing-timeout-ms", timeout);
            thread::spawn(move || (path, caller::call(entry, &request)))
        })
        .collect();
    let mut successes = 0;
    for caller in callers {
        let (path, response) = caller.join().expect("no panic");
        let response = response.expect("a complete response");
        if response.status == 200 {
            assert!(response.text().contains(&format!("GET {path} ")), "{path}: {response:?}");
            successes += 1;
        } else {
            assert!([429, 503, 504].contains(&response.status), "{path}: {response:?}");
        }
    }
    assert!(successes >= 10, "only {successes} succeeded");
}

#[test]
fn no_key_leaves_the_entry_process() {
    let (deployment, key) = support::start(15);
    let request = support::keyed_request("POST", "/ledger/stray", &key)
        .header("x-copy", &format!("Bearer {key}"))
        .header("x-kept", "kept")
        .body(b"body".to_vec());
    assert!(support::send(&deployment, VM, request).starts_with("200"));
    let with_key_in_path = support::keyed_request("GET", &format!("/ledger/a?key={key}"), &key);
    assert!(support::send(&deployment, VM, with_key_in_path).starts_with("400 not-run"));
    let received = deployment.get_json(deployment.backend_address(1), "/stand-in/runs").to_string();
    assert!(received.contains("/ledger/stray") && received.contains("x-kept"));
    for header in ["waxwing-deadline-ms", "waxwing-organisation"] {
        assert!(received.contains(header), "the backend server did not receive {header}");
    }
    let stored = deployment.get_json(deployment.platform_address(), "/v1/list?prefix=").to_string();
    let (_, timeline) = deployment.run_cli(&["timeline"]);
    let logs = String::from_utf8_lossy(&deployment.logs().expect("logs")).into_owned();
    assert!(logs.contains("request_received") && timeline.contains("request received"));
    for (place, text) in [
        ("a request at a backend server", received),
        ("the platform's store", stored),
        ("the time line", timeline),
        ("a log", logs),
    ] {
        assert!(!text.contains(&key), "the key is present in {place}");
    }
}

/// Regression: a body that did not arrive within the timeout was rejected as invalid.
#[test]
fn a_slow_body_is_reported_as_a_timeout_and_not_run() {
    let (deployment, key) = support::start(18);
    let request = support::keyed_request("POST", "/ledger/slow-body", &key)
        .header("waxwing-timeout-ms", "300")
        .body(vec![b'x'; 1_000]);
    let mut stream = caller::connect(deployment.entry_address(VM)).expect("a connection");
    stream.write_all(&request.head(true)).expect("sent");
    stream.write_all(&request.body[..500]).expect("sent");
    let response = caller::read_response(&mut stream).expect("a response");
    assert!(support::describe(&response).starts_with("408 not-run"), "{response:?}");
    assert_eq!(support::run_count(&deployment, 1, "/ledger/slow-body"), 0);
}

#[test]
fn invalid_input_is_rejected_and_does_not_affect_later_requests() {
    let (deployment, key) = support::start(16);
    let large_value = "h".repeat(200_000);
    let cases: Vec<(&str, caller::Request, &str)> = vec![
        ("no key", caller::Request::new("GET", "/ledger/a"), "401 not-run"),
        ("an unknown key", support::keyed_request("GET", "/ledger/a", "wx-00"), "403 not-run"),
        ("an unknown service", support::keyed_request("GET", "/none", &key), "404 not-run"),
        (
            "an invalid timeout",
            support::keyed_request("GET", "/ledger/a", &key).header("waxwing-timeout-ms", "soon"),
            "400 not-run",
        ),
        (
            "a body above the limit",
            support::keyed_request("POST", "/hours/a", &key).body(vec![b'x'; 3_000]),
            "413 not-run",
        ),
    ];
    for (what, request, expected) in cases {
        let seen = support::send(&deployment, VM, request);
        assert!(seen.starts_with(expected), "{what}: {seen}");
    }
    let many_headers = (0..200).fold(support::keyed_request("GET", "/ledger/a", &key), |r, n| {
        r.header(&format!("x-{n}"), "v")
    });
    let seen = support::send(&deployment, VM, many_headers);
    // The entry VM forwards it; the HTTP library of the stand-in has a limit of its own.
    assert!(seen.contains(" answered"), "many headers: {seen}");
    let large_header =
        support::keyed_request("GET", "/ledger/a", &key).header("x-big", &large_value);
    let seen = support::send(&deployment, VM, large_header);
    assert!(!seen.starts_with("200"), "a large header: {seen}");
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for bytes in [&b""[..], b"\x00", b"\x01\xff\xff\xff", &[1; 3_000], b"\x09garbage"] {
        socket.send_to(bytes, deployment.peer_address(VM)).expect("sent");
    }
    deployment::wait_until("malformed datagrams are counted", || {
        let request = caller::Request::new("GET", "/metrics");
        let admin = deployment.admin_address(VM, "waxwing-keeper");
        let metrics = caller::call(admin, &request).map(|response| response.text());
        metrics.is_ok_and(|text| {
            text.contains("waxwing_malformed_messages_total{otel_scope_name=\"waxwing\"} 5")
        })
    });
    let seen = support::send(&deployment, VM, support::keyed_request("GET", "/ledger/after", &key));
    assert!(seen.starts_with("200 answered"), "{seen}");
}

#[test]
fn no_backend_server_receives_more_requests_than_it_has_slots() {
    let (deployment, key) = support::start(17);
    support::set_backend_control(&deployment, 1, &json!({"work_ms": 50}));
    let entry = deployment.entry_address(VM);
    let callers: Vec<_> = (0..40)
        .map(|_| {
            let request = support::keyed_request("POST", "/ledger/many", &key);
            thread::spawn(move || {
                caller::call(entry, &request).map_or(0, |response| response.status)
            })
        })
        .collect();
    let statuses = callers.into_iter().map(|caller| caller.join().expect("no panic"));
    assert!(statuses.filter(|status| *status == 200).count() >= 30);
    assert_eq!(
        support::server_count(&deployment, 1, "over_slots"),
        0,
        "a request arrived while all slots were in use"
    );
}
