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
const SIGNAL_AFTER_MS: i64 = 500;

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
}

/// A request at an instant of the stop.
#[derive(Debug, Clone, Copy)]
struct Case {
    /// When it is sent, in milliseconds after the signal.
    sent_at_ms: i64,
    method: &'static str,
    timeout_ms: u64,
    way: Way,
    expected: (u16, &'static str),
}

const UNKNOWN: (u16, &str) = (504, "unknown");

const NOT_RUN: (u16, &str) = (503, "not-run");

#[rustfmt::skip]
const CASES: [Case; 14] = [
    Case { sent_at_ms: -300, method: "GET", timeout_ms: 5_000, way: Way::New, expected: UNKNOWN },
    Case { sent_at_ms: -300, method: "POST", timeout_ms: 5_000, way: Way::New, expected: UNKNOWN },
    Case { sent_at_ms: -300, method: "POST", timeout_ms: 5_000, way: Way::Kept, expected: UNKNOWN },
    Case { sent_at_ms: -300, method: "POST", timeout_ms: 5_000, way: Way::Forwarded, expected: UNKNOWN },
    Case { sent_at_ms: -300, method: "POST", timeout_ms: 5_000, way: Way::IncompleteBody, expected: NOT_RUN },
    Case { sent_at_ms: 200, method: "GET", timeout_ms: 5_000, way: Way::New, expected: UNKNOWN },
    Case { sent_at_ms: 200, method: "POST", timeout_ms: 5_000, way: Way::New, expected: NOT_RUN },
    Case { sent_at_ms: 200, method: "POST", timeout_ms: 5_000, way: Way::Kept, expected: NOT_RUN },
    Case { sent_at_ms: 200, method: "POST", timeout_ms: 1_000, way: Way::New, expected: UNKNOWN },
    Case { sent_at_ms: 200, method: "GET", timeout_ms: 5_000, way: Way::Forwarded, expected: UNKNOWN },
    Case { sent_at_ms: 200, method: "POST", timeout_ms: 5_000, way: Way::Forwarded, expected: NOT_RUN },
    Case { sent_at_ms: 800, method: "GET", timeout_ms: 5_000, way: Way::New, expected: NOT_RUN },
    Case { sent_at_ms: 800, method: "POST", timeout_ms: 5_000, way: Way::Kept, expected: NOT_RUN },
    Case { sent_at_ms: 1_700, method: "POST", timeout_ms: 1_000, way: Way::Forwarded, expected: NOT_RUN },
];

fn sleep_until(base: time::Instant, ms: i64) {
    let instant = base + time::Duration::from_millis(u64::try_from(ms).expect("not negative"));
    thread::sleep(instant.saturating_duration_since(time::Instant::now()));
}

impl Case {
    /// Sends the request and returns why its response is wrong, if it is.
    fn fault(
        &self,
        deployment: &deployment::Deployment,
        key: &str,
        base: time::Instant,
    ) -> Option<String> {
        let (vm, is_forwarded) = (support::VMS[0], self.way == Way::Forwarded);
        let address = match is_forwarded {
            true => deployment.forward_address(vm),
            false => deployment.entry_address(vm),
        };
        let mut request = support::keyed_request(self.method, "/ledger/stop", key)
            .header("waxwing-timeout-ms", &self.timeout_ms.to_string());
        if self.method == "POST" {
            request = request.body(vec![b'x'; 100]);
        }
        let mut kept = None;
        if self.way == Way::Kept {
            let unknown = caller::Request::new("GET", "/no-service/quick");
            let stream = kept.insert(caller::connect(address).expect("a connection"));
            stream.write_all(&unknown.head(false)).expect("sent");
            caller::read_response(stream).expect("a response before the signal");
        }
        sleep_until(base, SIGNAL_AFTER_MS + self.sent_at_ms);
        let mut stream = kept.unwrap_or_else(|| caller::connect(address).expect("a connection"));
        let sent_at = time::Instant::now();
        let missing = usize::from(self.way == Way::IncompleteBody);
        let body = &request.body[..request.body.len() - missing];
        drop(stream.write_all(&[request.head(false).as_slice(), body].concat()));
        let response = caller::read_response(&mut stream).unwrap_or_default();
        let took_ms = sent_at.elapsed().as_millis();
        let (status, outcome) = (response.status, response.header("waxwing-outcome"));
        let text = response.text();
        let is_refused_at_once = status == 503 && missing == 0;
        let may_return = is_forwarded || !response.header("retry-after").is_empty();
        let is_right = (status, outcome) == self.expected
            && (!is_refused_at_once || (took_ms < 500 && may_return));
        (!is_right).then(|| format!("{self:?}: {status} {outcome} {text:?} after {took_ms} ms"))
    }
}

#[test]
fn requests_in_a_planned_stop_are_not_cut_at_its_end() {
    let mut deployment = deployment::Deployment::start(38);
    // A server that has just come gets only a part of its slots.
    deployment.start_backend("ledger-1", 1, 320);
    deployment.start_vms(&[(support::VMS[0], "lautoka")]);
    deployment.apply(&support::records(&deployment).replace("slots: 3", "slots: 320"));
    let key = deployment.issue_key("kiln-1", "kiln");
    let entry = format!("{}.waxwing-entry", support::VMS[0]);
    deployment.kill(&entry);
    deployment.start_process_with(support::VMS[0], "waxwing-entry", FINISH_MAX);
    support::wait_until_serving(&deployment, support::VMS[0], &key);
    let control = serde_json::json!({ "work_ms": WORK_MS });
    support::set_backend_control(&deployment, 1, &control);
    let base = time::Instant::now();
    let faults: Vec<String> = thread::scope(|scope| {
        let cases: Vec<_> =
            CASES.iter().map(|case| scope.spawn(|| case.fault(&deployment, &key, base))).collect();
        sleep_until(base, SIGNAL_AFTER_MS);
        deployment.signal(&entry, "TERM");
        cases.into_iter().filter_map(|case| case.join().expect("no panic")).collect()
    });
    assert_eq!(faults, Vec::<String>::new());
    deployment.wait_for_exit(&entry);
}
