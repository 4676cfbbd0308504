//! Requests around the planned stop of one entry process: each ends with a complete, truthful
//! response.

use std::io::Write;
use std::thread;
use std::time;

use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

/// With the `linger` of a deployment, 0.5 s, the last responses are due 2 s after the signal.
const FINISH_MAX: &str = "finish_max: 1500ms\n";

/// How long the backend servers take for a request, which is longer than that.
const WORK_MS: u64 = 4_000;

/// The time between the start of the first requests and the signal.
const SIGNAL_AFTER_MS: u64 = 500;

/// How a request reaches the entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// On a connection of its own.
    New,
    /// On a connection on which a request was answered before the signal.
    Kept,
    /// With a body that never becomes complete.
    IncompleteBody,
    /// Forwarded by another entry VM.
    Forwarded,
    /// To a service whose server has one slot at first.
    OneSlot,
}

/// When a request is sent, in milliseconds after the signal, or before it if negative; its method
/// and timeout in milliseconds; how it reaches the process; and its response.
type Case = (i64, &'static str, u64, Way, (u16, &'static str));

const UNKNOWN: (u16, &str) = (504, "unknown");

const NOT_RUN: (u16, &str) = (503, "not-run");

const CASES: [Case; 16] = [
    (-400, "POST", 5_000, Way::OneSlot, UNKNOWN),
    (-300, "GET", 5_000, Way::New, UNKNOWN),
    (-300, "POST", 5_000, Way::New, UNKNOWN),
    (-300, "POST", 5_000, Way::Kept, UNKNOWN),
    (-300, "POST", 5_000, Way::Forwarded, UNKNOWN),
    (-300, "POST", 5_000, Way::IncompleteBody, NOT_RUN),
    (-200, "POST", 5_000, Way::OneSlot, NOT_RUN),
    (200, "GET", 5_000, Way::New, UNKNOWN),
    (200, "POST", 5_000, Way::New, NOT_RUN),
    (200, "POST", 5_000, Way::Kept, NOT_RUN),
    (200, "POST", 1_000, Way::New, UNKNOWN),
    (200, "GET", 5_000, Way::Forwarded, UNKNOWN),
    (200, "POST", 5_000, Way::Forwarded, NOT_RUN),
    (800, "GET", 5_000, Way::New, NOT_RUN),
    (800, "POST", 5_000, Way::Kept, NOT_RUN),
    (1_700, "POST", 1_000, Way::Forwarded, NOT_RUN),
];

fn sleep_until(base: time::Instant, ms: u64) {
    let instant = base + time::Duration::from_millis(ms);
    thread::sleep(instant.saturating_duration_since(time::Instant::now()));
}

/// Sends the request of a case and returns why its response is wrong, if it is.
fn fault(
    case: Case,
    deployment: &deployment::Deployment,
    key: &str,
    base: time::Instant,
) -> Option<String> {
    let (at_ms, method, timeout_ms, way, expected) = case;
    let address = match way {
        Way::Forwarded => deployment.forward_address(support::VMS[0]),
        _ => deployment.entry_address(support::VMS[0]),
    };
    let path = if way == Way::OneSlot { "/hours/stop" } else { "/ledger/stop" };
    let mut request = support::keyed_request(method, path, key)
        .header("waxwing-timeout-ms", &timeout_ms.to_string());
    if method == "POST" {
        request = request.body(vec![b'x'; 100]);
    }
    let mut kept = None;
    if way == Way::Kept {
        let unknown = caller::Request::new("GET", "/no-service/quick");
        let stream = kept.insert(caller::connect(address).expect("a connection"));
        stream.write_all(&unknown.head(false)).expect("sent");
        caller::read_response(stream).expect("a response before the signal");
    }
    sleep_until(base, SIGNAL_AFTER_MS.saturating_add_signed(at_ms));
    let mut stream = kept.unwrap_or_else(|| caller::connect(address).expect("a connection"));
    let sent_at = time::Instant::now();
    let missing = usize::from(way == Way::IncompleteBody);
    let body = &request.body[..request.body.len() - missing];
    drop(stream.write_all(&[request.head(false).as_slice(), body].concat()));
    let response = caller::read_response(&mut stream).unwrap_or_default();
    let took_ms = sent_at.elapsed().as_millis();
    let (status, outcome) = (response.status, response.header("waxwing-outcome"));
    let is_prompt = missing > 0 || took_ms < 500;
    let may_return = way == Way::Forwarded || !response.header("retry-after").is_empty();
    let is_refusal_right = status != 503 || (is_prompt && may_return);
    ((status, outcome) != expected || !is_refusal_right)
        .then(|| format!("{case:?}: {status} {outcome} {:?} after {took_ms} ms", response.text()))
}

#[test]
fn requests_in_a_planned_stop_are_not_cut_at_its_end() {
    let mut deployment = deployment::Deployment::start(38);
    // A server that has just come gets only a part of its slots.
    deployment.start_backend("ledger-1", 1, 320);
    deployment.start_vms(&[(support::VMS[0], "lautoka")]);
    deployment.apply(&support::records(&deployment).replacen("slots: 3", "slots: 320", 2));
    let key = deployment.issue_key("kiln-1", "kiln");
    let entry = format!("{}.waxwing-entry", support::VMS[0]);
    deployment.kill(&entry);
    deployment.start_process_with(support::VMS[0], "waxwing-entry", FINISH_MAX);
    support::wait_until_serving(&deployment, support::VMS[0], &key);
    let control = serde_json::json!({ "work_ms": WORK_MS });
    support::set_backend_control(&deployment, 1, &control);
    let base = time::Instant::now();
    let faults: Vec<String> = thread::scope(|scope| {
        let cases: Vec<_> = CASES
            .iter()
            .map(|case| scope.spawn(|| fault(*case, &deployment, &key, base)))
            .collect();
        sleep_until(base, SIGNAL_AFTER_MS);
        deployment.signal(&entry, "TERM");
        cases.into_iter().filter_map(|case| case.join().expect("no panic")).collect()
    });
    assert_eq!(faults, Vec::<String>::new());
    deployment.wait_for_exit(&entry);
}
