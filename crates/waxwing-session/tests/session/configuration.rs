//! Changed records take effect on all entry VMs, their revision never decreases, and the last ones
//! stay in use during outages of the store.

use std::fs;
use std::thread;
use std::time;

use serde_json::json;
use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

/// The longest time until a change has taken effect on all entry VMs.
const PROPAGATION_MAX: time::Duration = time::Duration::from_secs(18);

fn revision(deployment: &deployment::Deployment, vm: &str) -> u64 {
    let status = deployment.get_json(deployment.admin_address(vm, "waxwing-keeper"), "/status");
    status["revision"].as_u64().expect("a revision")
}

fn set_faults(deployment: &deployment::Deployment, faults: &serde_json::Value) {
    deployment.post_json(deployment.platform_address(), "/control/faults", faults);
}

#[test]
fn a_withdrawn_key_is_refused_within_seconds_on_an_open_connection() {
    use std::io::Write;
    let (deployment, key) = support::start(20);
    let mut connections: Vec<std::net::TcpStream> = support::VMS
        .iter()
        .map(|vm| caller::connect(deployment.entry_address(vm)).expect("a connection"))
        .collect();
    let send = |stream: &mut std::net::TcpStream| {
        let request = support::keyed_request("GET", "/ledger/a", &key);
        stream.write_all(&request.head(false)).expect("sent");
        caller::read_response(stream).expect("a complete response").status
    };
    for stream in &mut connections {
        assert_eq!(send(stream), 200);
    }
    assert_eq!(deployment.run_cli(&["key", "withdraw", "kiln-1"]).0, 0);
    let withdrawn_at = time::Instant::now();
    for stream in &mut connections {
        deployment::wait_until("the withdrawn key is refused", || send(stream) == 403);
    }
    assert!(withdrawn_at.elapsed() < time::Duration::from_secs(5), "{:?}", withdrawn_at.elapsed());
}

#[test]
fn a_store_outage_does_not_stop_requests_and_a_restarted_vm_gets_records_from_its_peers() {
    let (mut deployment, key) = support::start(21);
    let before = revision(&deployment, support::VMS[0]);
    set_faults(&deployment, &json!({"is_out": true}));
    for vm in support::VMS {
        let seen =
            support::send(&deployment, vm, support::keyed_request("GET", "/ledger/out", &key));
        assert!(seen.starts_with("200 answered"), "{vm}: {seen}");
    }
    let (code, text) = deployment.run_cli(&["key", "withdraw", "kiln-1"]);
    assert_eq!(code, 1, "{text}");
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.kill(&format!("{}.{process}", support::VMS[1]));
    }
    deployment.start_vm(support::VMS[1]);
    deployment::wait_until("the restarted VM has the records of its peers", || {
        caller::connect(deployment.admin_address(support::VMS[1], "waxwing-keeper")).is_ok()
            && revision(&deployment, support::VMS[1]) == before
    });
    support::wait_until_serving(&deployment, support::VMS[1], &key);
    set_faults(&deployment, &json!({}));
    assert_eq!(deployment.run_cli(&["key", "withdraw", "kiln-1"]).0, 0);
    for vm in support::VMS {
        deployment::wait_until("the withdrawal has taken effect", || {
            revision(&deployment, vm) > before
        });
        let seen =
            support::send(&deployment, vm, support::keyed_request("GET", "/ledger/out", &key));
        assert!(seen.starts_with("403"), "{vm}: {seen}");
    }
}

#[test]
fn a_change_is_reported_as_accepted_when_the_result_of_its_write_is_lost() {
    let (deployment, _) = support::start(22);
    set_faults(&deployment, &json!({"lost_answers": 1}));
    let records = support::records(&deployment).replace("rate: 500/s", "rate: 600/s");
    let path = std::env::temp_dir().join(format!("waxwing-lost-{}.yaml", std::process::id()));
    fs::write(&path, records).expect("written");
    let (code, text) = deployment.run_cli(&["apply", &path.display().to_string()]);
    fs::remove_file(&path).expect("removed");
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("organisation/kiln") && text.contains("accepted at revision"), "{text}");
}

#[test]
fn a_record_of_an_unknown_schema_version_is_skipped_and_reported() {
    let (deployment, key) = support::start(23);
    let record = json!({"kind": "organisation", "schema_version": 99, "name": "later"});
    let write = json!({
        "key": "records/organisation/later",
        "value": {"operation": 1, "record": record},
        "expected": 0,
    });
    deployment.post_json(deployment.platform_address(), "/v1/write", &write);
    deployment::wait_until("the record is reported", || {
        deployment.run_cli(&["timeline"]).1.contains("record passed over: organisation/later")
    });
    let seen = support::send(
        &deployment,
        support::VMS[0],
        support::keyed_request("GET", "/ledger/a", &key),
    );
    assert!(seen.starts_with("200 answered"), "{seen}");
}

#[test]
fn revisions_do_not_decrease_during_repeated_store_outages() {
    let (deployment, _) = support::start(24);
    let mut last = [0; 2];
    for round in 0..6 {
        let (flag, is_drain) = if round % 2 == 0 { ("--entry-vm", true) } else { ("--end", false) };
        let mut arguments = vec!["drain", "maintenance", flag];
        if is_drain {
            arguments.push(support::VMS[1]);
        }
        assert_eq!(deployment.run_cli(&arguments).0, 0);
        set_faults(&deployment, &json!({"is_out": round % 3 == 0}));
        for _ in 0..5 {
            for (at, vm) in support::VMS.iter().enumerate() {
                let current = revision(&deployment, vm);
                assert!(current >= last[at], "{vm}: revision {current} after {}", last[at]);
                last[at] = current;
            }
            thread::sleep(time::Duration::from_millis(50));
        }
        set_faults(&deployment, &json!({}));
    }
    let newest =
        deployment.get_json(deployment.platform_address(), "/v1/list?prefix=")["revision"].as_u64();
    for vm in support::VMS {
        deployment::wait_until("all entry VMs have the newest records", || {
            Some(revision(&deployment, vm)) == newest
        });
    }
}

#[test]
fn keys_are_refused_once_the_records_are_staler_than_the_service_allows() {
    let (deployment, key) = support::start(25);
    let records = support::records(&deployment)
        .replace("deadline: 5s", "deadline: 5s\nkey_staleness_max: 8s");
    deployment.apply(&records);
    let vm = support::VMS[0];
    let send = || support::send(&deployment, vm, support::keyed_request("GET", "/ledger/a", &key));
    deployment::wait_until("the records are confirmed as current", || send().starts_with("200"));
    thread::sleep(time::Duration::from_secs(9));
    assert!(send().starts_with("200"), "watches keep confirming the records as current");
    set_faults(&deployment, &json!({"is_out": true}));
    deployment::wait_until("keys are refused because the records are stale", || {
        let seen = send();
        seen.starts_with("503 not-run") && seen.contains("cut off")
    });
    let open_request = caller::Request::new("GET", "/hours/today");
    assert!(
        support::send(&deployment, vm, open_request).starts_with("200"),
        "services without keys are still served"
    );
    set_faults(&deployment, &json!({}));
    deployment::wait_until("keys are accepted again", || send().starts_with("200"));
}

#[test]
fn a_slow_store_delays_changes_but_not_requests() {
    let (deployment, key) = support::start(26);
    set_faults(&deployment, &json!({"delay_ms": 900}));
    let started_at = time::Instant::now();
    for vm in support::VMS {
        for _ in 0..20 {
            let seen =
                support::send(&deployment, vm, support::keyed_request("GET", "/ledger/a", &key));
            assert!(seen.starts_with("200"), "{vm}: {seen}");
        }
    }
    assert!(started_at.elapsed() < time::Duration::from_secs(8), "{:?}", started_at.elapsed());
    assert_eq!(deployment.run_cli(&["key", "withdraw", "kiln-1"]).0, 0);
    for vm in support::VMS {
        deployment::wait_until("the withdrawal has taken effect", || {
            support::send(&deployment, vm, support::keyed_request("GET", "/ledger/a", &key))
                .starts_with("403")
        });
    }
}

#[test]
fn of_two_concurrent_changes_one_reports_the_conflicting_record() {
    let (deployment, _) = support::start(27);
    set_faults(&deployment, &json!({"delay_ms": 300}));
    let apply = |rate: &str| {
        let path = std::env::temp_dir().join(format!("waxwing-{}-{rate}.yaml", std::process::id()));
        let records =
            support::records(&deployment).replace("rate: 500/s", &format!("rate: {rate}/s"));
        fs::write(&path, records).expect("written");
        let result = deployment.run_cli(&["apply", &path.display().to_string()]);
        fs::remove_file(&path).expect("removed");
        result
    };
    let results = thread::scope(|scope| {
        let other = scope.spawn(|| apply("700"));
        [apply("600"), other.join().expect("no panic")]
    });
    let mut codes = results.each_ref().map(|(code, _)| *code);
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{results:?}");
    let rejected = results.iter().find(|(code, _)| *code == 3).expect("one conflict");
    assert!(
        rejected.1.contains("organisation/kiln") && rejected.1.contains("conflict"),
        "{}",
        rejected.1
    );
}

#[test]
fn vms_that_do_not_watch_the_store_get_changes_from_those_that_do() {
    let mut deployment = deployment::Deployment::start(28);
    let vms = ["vm-a", "vm-b", "vm-c", "vm-d", "vm-e", "vm-f"];
    let vms_with_domains: Vec<(&str, &str)> = vms.iter().map(|vm| (*vm, "lautoka")).collect();
    deployment.start_vms(&vms_with_domains);
    deployment.apply(&support::records(&deployment));
    let newest = || {
        let listing = deployment.get_json(deployment.platform_address(), "/v1/list?prefix=");
        listing["revision"].as_u64().expect("a revision")
    };
    let all_have = |wanted: u64| vms.iter().all(|vm| revision(&deployment, vm) >= wanted);
    deployment::wait_until("the first records have taken effect", || all_have(newest()));
    let mut slowest = time::Duration::ZERO;
    for round in 0..6 {
        let name = format!("round-{round}");
        let drain = ["drain", &name, "--backend-server", "ledger-1"];
        assert_eq!(deployment.run_cli(&drain).0, 0);
        let (wanted, changed_at) = (newest(), time::Instant::now());
        deployment::wait_until("the change has taken effect", || all_have(wanted));
        slowest = slowest.max(changed_at.elapsed());
    }
    println!("in effect on six entry VMs after {slowest:?} at most");
    assert!(slowest < PROPAGATION_MAX, "{slowest:?}");
}

/// Regression: an entry VM without access to the store rejected requests for good that only newer
/// records allow.
#[test]
fn outdated_records_deny_no_request_for_good() {
    let (deployment, key) = support::start(29);
    let get = |path| caller::Request::new("GET", path);
    let rows = [
        (get("/added-later/a"), 404),
        (get("/ledger/a"), 401),
        (support::keyed_request("GET", "/ledger/a", "key-issued-later"), 403),
        (caller::Request::new("POST", "/hours/a").body(vec![b'x'; 4_096]), 413),
    ];
    let status = |request: &caller::Request| {
        let response = caller::call(deployment.entry_address(support::VMS[0]), request);
        let response = response.expect("a response");
        let is_retryable = response.header("waxwing-outcome") == "not-run"
            && !response.header("retry-after").is_empty();
        assert_eq!(response.status == 503, is_retryable, "{}", support::describe(&response));
        response.status
    };
    let statuses = || rows.iter().map(|(request, _)| status(request)).collect::<Vec<_>>();
    let denied: Vec<u16> = rows.iter().map(|(_, status)| *status).collect();
    assert_eq!(statuses(), denied);
    set_faults(&deployment, &json!({"is_out": true}));
    thread::sleep(PROPAGATION_MAX);
    assert_eq!(statuses(), [503; 4]);
    let known = support::keyed_request("GET", "/ledger/a", &key);
    assert_eq!(status(&known), 200, "what the records allow is still served");
    set_faults(&deployment, &json!({}));
    deployment::wait_until("the records are confirmed again", || statuses() == denied);
}
