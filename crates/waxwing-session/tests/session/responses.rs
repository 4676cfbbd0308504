//! What callers are told, and how often backend servers run their requests.

use std::io::Write;
use std::thread;
use std::time;

use serde_json::json;
use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

const VM: &str = support::VMS[0];

/// A fault of a backend server, and what callers must see then.
struct Case {
    what: &'static str,
    /// How the backend server behaves.
    control: serde_json::Value,
    method: &'static str,
    timeout_ms: &'static str,
    /// What the caller sees, up to the text of the answer.
    seen: &'static str,
    /// How often the backend server runs the request, at most.
    runs_max: usize,
    /// How often it runs it at least.
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
        case("answers", json!({}), "POST", "4000", "200 answered", 1, 1),
        case("sheds", json!({"mode": "shed"}), "POST", "4000", "503 not-run", 0, 0),
        case("sheds a look-up", json!({"mode": "shed"}), "GET", "4000", "503 not-run", 0, 0),
        case("fails", json!({"mode": "fail"}), "POST", "4000", "500 answered", 0, 0),
        case("is late", json!({"work_ms": 2500}), "POST", "1000", "504 unknown", 0, 1),
        case("is late at a look-up", json!({"work_ms": 2500}), "GET", "1000", "504 unknown", 0, 1),
        case("breaks its answer", json!({"mode": "break_answer"}), "POST", "4000", "broken", 1, 1),
        case("drops the request", json!({"mode": "drop"}), "POST", "4000", "502 unknown", 1, 1),
        case(
            "drops, then sheds",
            json!({"mode": "drop_then_shed"}),
            "GET",
            "4000",
            "503 unknown",
            1,
            1,
        ),
        case("drops a look-up", json!({"mode": "drop"}), "GET", "4000", "502 unknown", 1, 3),
    ]
}

#[test]
fn callers_are_told_the_truth_whatever_the_backend_server_does() {
    let (deployment, key) = support::start(10);
    for (number, case) in cases().iter().enumerate() {
        support::control(&deployment, 1, &case.control);
        let path = format!("/ledger/case-{number}");
        let request =
            support::keyed(case.method, &path, &key).header("waxwing-timeout-ms", case.timeout_ms);
        let seen = support::call(&deployment, VM, request);
        assert!(seen.starts_with(case.seen), "{}: the caller sees {seen:?}", case.what);
        support::control(&deployment, 1, &json!({}));
        thread::sleep(time::Duration::from_millis(700));
        let runs = support::runs(&deployment, 1, &path);
        let expected = case.runs_min..=case.runs_max;
        assert!(expected.contains(&runs), "{}: it ran {runs} times", case.what);
        // The ejection of a server that failed ends before the next case begins.
        deployment::wait_until("the backend server is used again", || {
            support::call(&deployment, VM, support::keyed("GET", "/ledger/between", &key))
                .starts_with("200")
        });
    }
}

#[test]
fn a_backend_server_killed_in_the_middle_leaves_a_completion_unknown_and_moves_a_lookup() {
    let (mut deployment, key) = support::start(11);
    support::control(&deployment, 1, &json!({"work_ms": 3000}));
    let entry = deployment.entry(VM);
    let send = |method: &str| {
        let request = support::keyed(method, "/ledger/completion", &key);
        thread::spawn(move || caller::call(entry, &request))
    };
    let completion = send("POST");
    deployment::wait_until("the request is at the backend server", || {
        support::count(&deployment, 1, "in_flight") == 1
    });
    deployment.kill("ledger-1");
    let answer = completion.join().expect("no panic").expect("an answer");
    assert!(support::describe(&answer).starts_with("502 unknown"), "{answer:?}");
    let next = support::call(&deployment, VM, support::keyed("POST", "/ledger/next", &key));
    assert!(next.contains("ledger-2 ran"), "what was not run may move: {next}");
    assert_eq!(support::runs(&deployment, 2, "/ledger/completion"), 0, "it ran a second time");
    deployment.kill("ledger-2");
    let refused = support::call(&deployment, VM, support::keyed("POST", "/ledger/last", &key));
    assert!(refused.contains("not-run"), "nobody listens: {refused}");
}

#[test]
fn a_broken_upload_never_ends_as_a_shorter_whole_one() {
    let (deployment, key) = support::start(12);
    for (len_bytes, reaches_backend) in [(1_000_000, true), (1_000, false)] {
        let before = support::count(&deployment, 1, "broken_uploads");
        let request = support::keyed("POST", "/ledger/photos", &key).body(vec![b'p'; len_bytes]);
        let mut stream = caller::connect(deployment.entry(VM)).expect("a connection");
        stream.write_all(&request.head(true)).expect("sent");
        stream.write_all(&request.body[..len_bytes / 2]).expect("sent");
        if reaches_backend {
            deployment::wait_until("the upload has begun at the backend server", || {
                support::count(&deployment, 1, "in_flight") == 1
            });
        }
        drop(stream);
        if reaches_backend {
            deployment::wait_until("the backend server sees a broken upload", || {
                support::count(&deployment, 1, "broken_uploads") == before + 1
            });
        }
        deployment::wait_until("the slot is free", || {
            support::count(&deployment, 1, "in_flight") == 0
        });
    }
    assert_eq!(support::runs(&deployment, 1, "/ledger/photos"), 0);
}

#[test]
fn a_caller_that_has_gone_frees_the_backend_server() {
    let (deployment, key) = support::start(13);
    support::control(&deployment, 1, &json!({"work_ms": 15_000}));
    let request = support::keyed("GET", "/ledger/slow", &key).header("waxwing-timeout-ms", "15000");
    let mut stream = caller::connect(deployment.entry(VM)).expect("a connection");
    stream.write_all(&request.head(true)).expect("sent");
    let in_flight = || support::count(&deployment, 1, "in_flight");
    deployment::wait_until("the request is at the backend server", || in_flight() == 1);
    drop(stream);
    deployment::wait_until("the backend server is told that nobody waits", || in_flight() == 0);
}

#[test]
fn each_caller_gets_its_own_answer_when_answers_are_late() {
    let (deployment, key) = support::start(14);
    support::control(&deployment, 1, &json!({"work_ms": 30}));
    let entry = deployment.entry(VM);
    let callers: Vec<_> = (0..40)
        .map(|number| {
            let timeout = if number % 3 == 0 { "25" } else { "4000" };
            let path = format!("/ledger/own-{number}-");
            let request = support::keyed("GET", &path, &key).header("waxwing-timeout-ms", timeout);
            thread::spawn(move || (path, caller::call(entry, &request)))
        })
        .collect();
    let mut answered = 0;
    for caller in callers {
        let (path, answer) = caller.join().expect("no panic");
        let answer = answer.expect("a whole answer");
        if answer.status == 200 {
            assert!(answer.text().contains(&format!("GET {path} ")), "{path}: {answer:?}");
            answered += 1;
        } else {
            assert!([429, 503, 504].contains(&answer.status), "{path}: {answer:?}");
        }
    }
    assert!(answered >= 10, "only {answered} were answered");
}

#[test]
fn no_key_is_seen_outside_the_entry_process() {
    let (deployment, key) = support::start(15);
    let request = support::keyed("POST", "/ledger/stray", &key)
        .header("x-copy", &format!("Bearer {key}"))
        .header("x-kept", "kept")
        .body(b"body".to_vec());
    assert!(support::call(&deployment, VM, request).starts_with("200"));
    let in_path = support::keyed("GET", &format!("/ledger/a?key={key}"), &key);
    assert!(support::call(&deployment, VM, in_path).starts_with("400 not-run"));
    let seen = deployment.read(deployment.backend(1), "/stand-in/runs").to_string();
    assert!(seen.contains("/ledger/stray") && seen.contains("x-kept"));
    for header in ["waxwing-deadline-ms", "waxwing-organisation"] {
        assert!(seen.contains(header), "the backend server is not told {header}");
    }
    let listed = deployment.read(deployment.platform(), "/v1/list?prefix=").to_string();
    let (_, timeline) = deployment.waxwing(&["timeline"]);
    let logs = String::from_utf8_lossy(&deployment.logs().expect("logs")).into_owned();
    assert!(logs.contains("request_received") && timeline.contains("request received"));
    for (place, text) in [
        ("a backend server", seen),
        ("the platform's store", listed),
        ("the time line", timeline),
        ("a log", logs),
    ] {
        assert!(!text.contains(&key), "the key is seen at {place}");
    }
}

#[test]
fn bad_input_is_refused_clearly_and_stops_nothing() {
    let (deployment, key) = support::start(16);
    let big = "h".repeat(200_000);
    let cases: Vec<(&str, caller::Request, &str)> = vec![
        ("no key", caller::Request::new("GET", "/ledger/a"), "401 not-run"),
        ("an unknown key", support::keyed("GET", "/ledger/a", "wx-00"), "403 not-run"),
        ("an unknown service", support::keyed("GET", "/none", &key), "404 not-run"),
        (
            "a bad time-out",
            support::keyed("GET", "/ledger/a", &key).header("waxwing-timeout-ms", "soon"),
            "400 not-run",
        ),
        (
            "a body over the limit",
            support::keyed("POST", "/hours/a", &key).body(vec![b'x'; 3_000]),
            "413 not-run",
        ),
    ];
    for (what, request, expected) in cases {
        let seen = support::call(&deployment, VM, request);
        assert!(seen.starts_with(expected), "{what}: {seen}");
    }
    let huge = support::keyed("GET", "/ledger/a", &key).header("x-big", &big);
    let seen = support::call(&deployment, VM, huge);
    assert!(!seen.starts_with("200"), "a huge header: {seen}");
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for bytes in [&b""[..], b"\x00", b"\x01\xff\xff\xff", &[1; 3_000], b"\x09garbage"] {
        socket.send_to(bytes, deployment.peer(VM)).expect("sent");
    }
    deployment::wait_until("malformed datagrams are counted", || {
        let request = caller::Request::new("GET", "/metrics");
        let admin = deployment.admin(VM, "waxwing-keeper");
        let metrics = caller::call(admin, &request).map(|answer| answer.text());
        metrics.is_ok_and(|text| {
            text.contains("waxwing_malformed_messages_total{otel_scope_name=\"waxwing\"} 5")
        })
    });
    let seen = support::call(&deployment, VM, support::keyed("GET", "/ledger/after", &key));
    assert!(seen.starts_with("200 answered"), "{seen}");
}

#[test]
fn no_backend_server_is_sent_more_than_its_slots() {
    let (deployment, key) = support::start(17);
    support::control(&deployment, 1, &json!({"work_ms": 50}));
    let entry = deployment.entry(VM);
    let callers: Vec<_> = (0..40)
        .map(|_| {
            let request = support::keyed("POST", "/ledger/many", &key);
            thread::spawn(move || caller::call(entry, &request).map_or(0, |answer| answer.status))
        })
        .collect();
    let statuses = callers.into_iter().map(|caller| caller.join().expect("no panic"));
    assert!(statuses.filter(|status| *status == 200).count() >= 30);
    assert_eq!(support::count(&deployment, 1, "over_slots"), 0, "sent beyond its slots");
}
