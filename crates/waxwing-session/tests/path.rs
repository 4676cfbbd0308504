//! The whole path: records in, look-up, keyed request, upload, withdrawn key, time line.

use expect_test::expect_file;
use waxwing_session::deployment;
use waxwing_stand_ins::caller;

const RECORDS: &str = include_str!("records.yaml");

/// A deployment with two entry VMs in two failure domains and a backend server in each.
fn start(number: u8) -> (deployment::Deployment, String) {
    let mut deployment = deployment::Deployment::start(number);
    deployment.start_backend("ledger-1", 1, 3);
    deployment.start_backend("ledger-2", 2, 3);
    deployment.start_vms(&[("vm-lautoka-1", "lautoka"), ("vm-nausori-1", "nausori")]);
    let records = RECORDS
        .replace("LEDGER-1", &deployment.backend(1).to_string())
        .replace("LEDGER-2", &deployment.backend(2).to_string());
    deployment.apply(&records);
    let key = deployment.issue_key("kiln-1", "kiln");
    for vm in ["vm-lautoka-1", "vm-nausori-1"] {
        deployment::wait_until("keyed requests are answered", || {
            let request = caller::Request::new("GET", "/ledger/ready").header("waxwing-key", &key);
            caller::call(deployment.entry(vm), &request).is_ok_and(|a| a.status == 200)
        });
    }
    (deployment, key)
}

fn describe(answer: &caller::Answer) -> String {
    let outcome = answer.header("waxwing-outcome");
    format!("{} {outcome}: {}", answer.status, answer.text())
}

#[test]
fn a_session_from_lookup_to_time_line() {
    let (deployment, key) = start(1);
    let mut session = String::new();
    let mut note = |line: String| session.push_str(&format!("{}\n", line.trim_end()));
    note(format!("look-up: {}", deployment.looked_up("vm-lautoka-1").join(" ")));
    let entry = deployment.entry("vm-lautoka-1");
    let call = |name: &str, request: caller::Request| {
        let request = request.header("waxwing-request", name);
        describe(&caller::call(entry, &request).expect("a whole answer"))
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
    let (deployment, _) = start(2);
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
