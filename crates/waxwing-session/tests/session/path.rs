//! One session from end to end: records are written, a caller looks up an entry VM and sends
//! requests with a key and an upload, the key is withdrawn, and the time line shows each request.

use expect_test::expect_file;
use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

#[test]
fn a_session_from_lookup_to_time_line() {
    let (deployment, key) = support::start(1);
    let mut transcript = String::new();
    let mut record = |line: String| transcript.push_str(&format!("{}\n", line.trim_end()));
    record(format!("look-up: {}", deployment.lookup_vms("vm-lautoka-1").join(" ")));
    let entry = deployment.entry_address("vm-lautoka-1");
    let call = |name: &str, request: caller::Request| {
        let request = request.header("waxwing-request", name);
        support::describe(&caller::call(entry, &request).expect("a complete response"))
    };
    let keyed_request =
        |method: &str, path: &str| caller::Request::new(method, path).header("waxwing-key", &key);
    let lookup_request = caller::Request::new("GET", "/lookup").header("waxwing-request", "one");
    let lookup_response = caller::call(deployment.lookup_address("vm-lautoka-1"), &lookup_request);
    assert_eq!(lookup_response.expect("a complete response").status, 200);
    record(format!("keyed: {}", call("one", keyed_request("GET", "/ledger/batch/7"))));
    let upload = keyed_request("POST", "/ledger/photos").body(vec![b'p'; 300_000]);
    record(format!("upload: {}", call("two", upload)));
    record(format!("no key: {}", call("three", caller::Request::new("GET", "/ledger/batch/7"))));
    record(format!("open: {}", call("four", caller::Request::new("GET", "/hours/today"))));
    record(format!("unknown service: {}", call("five", keyed_request("GET", "/nothing"))));
    let (code, _) = deployment.run_cli(&["key", "withdraw", "kiln-1"]);
    record(format!("withdraw: exit code {code}"));
    deployment::wait_until("the withdrawn key is refused", || {
        call("waiting", keyed_request("GET", "/ledger/batch/7")).starts_with("403")
    });
    record(format!("withdrawn: {}", call("six", keyed_request("GET", "/ledger/batch/7"))));
    for name in ["one", "two", "three", "six"] {
        let (_, lines) = deployment.run_cli(&["timeline", "--request", name]);
        for line in lines.lines() {
            // Each line begins with a time, which differs between runs.
            record(line.split_once("s  ").map_or(line, |(_, rest)| rest).to_owned());
        }
    }
    expect_file!["golden/path.txt"].assert_eq(&transcript);
}

#[test]
fn no_process_uses_io_uring() {
    let (deployment, _) = support::start(2);
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        let pid = deployment.pid(&format!("vm-lautoka-1.{process}"));
        let mut has_epoll = false;
        for entry in std::fs::read_dir(format!("/proc/{pid}/fd")).expect("a running process") {
            let target = std::fs::read_link(entry.expect("a descriptor").path());
            let target = target.map(|target| target.display().to_string()).unwrap_or_default();
            assert!(!target.contains("io_uring"), "{process} uses {target}");
            has_epoll |= target.contains("eventpoll");
        }
        assert!(has_epoll, "{process} does not use epoll");
    }
}
