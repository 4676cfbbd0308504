//! The whole path: records in, look-up, keyed request, upload, withdrawn key, time line.

use expect_test::expect_file;
use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

#[test]
fn a_session_from_lookup_to_time_line() {
    let (deployment, key) = support::start(1);
    let mut session = String::new();
    let mut note = |line: String| session.push_str(&format!("{}\n", line.trim_end()));
    note(format!("look-up: {}", deployment.looked_up("vm-lautoka-1").join(" ")));
    let entry = deployment.entry("vm-lautoka-1");
    let call = |name: &str, request: caller::Request| {
        let request = request.header("waxwing-request", name);
        support::describe(&caller::call(entry, &request).expect("a whole answer"))
    };
    let keyed =
        |method: &str, path: &str| caller::Request::new(method, path).header("waxwing-key", &key);
    let named = caller::Request::new("GET", "/lookup").header("waxwing-request", "one");
    let looked_up = caller::call(deployment.lookup("vm-lautoka-1"), &named);
    assert_eq!(looked_up.expect("a whole answer").status, 200);
    note(format!("keyed: {}", call("one", keyed("GET", "/ledger/batch/7"))));
    let upload = keyed("POST", "/ledger/photos").body(vec![b'p'; 300_000]);
    note(format!("upload: {}", call("two", upload)));
    note(format!("no key: {}", call("three", caller::Request::new("GET", "/ledger/batch/7"))));
    note(format!("open: {}", call("four", caller::Request::new("GET", "/hours/today"))));
    note(format!("unknown service: {}", call("five", keyed("GET", "/nothing"))));
    let (code, _) = deployment.waxwing(&["key", "withdraw", "kiln-1"]);
    note(format!("withdraw: exit code {code}"));
    deployment::wait_until("the key is refused", || {
        call("waiting", keyed("GET", "/ledger/batch/7")).starts_with("403")
    });
    note(format!("withdrawn: {}", call("six", keyed("GET", "/ledger/batch/7"))));
    for name in ["one", "two", "three", "six"] {
        let (_, lines) = deployment.waxwing(&["timeline", "--request", name]);
        for line in lines.lines() {
            // The time and the machine's name lead each line.
            note(line.split_once("s  ").map_or(line, |(_, rest)| rest).to_owned());
        }
    }
    expect_file!["golden/path.txt"].assert_eq(&session);
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
        assert!(has_epoll, "{process} does not wait with epoll");
    }
}
