//! Requests are forwarded to another failure domain when their own has no usable backend server;
//! the share that leaves the region is capped.

use std::thread;
use std::time;

use serde_json::json;
use waxwing_session::deployment;

use crate::support;

const VM: &str = "vm-lautoka-1";

/// The requests per second of a caller that stays within its organisation's rate of 500/s.
const PACED_PER_S: f64 = 475.0;

/// Starts three entry VMs, two in one region and one in another, each with a backend server in its
/// failure domain.
fn start(number: u8) -> (deployment::Deployment, String) {
    let mut deployment = deployment::Deployment::start(number);
    for backend in 1..=3 {
        deployment.start_backend(&format!("ledger-{backend}"), backend, 3);
    }
    let vms = [(VM, "lautoka"), ("vm-nausori-1", "nausori"), ("vm-labasa-1", "labasa")];
    deployment.start_vms(&vms);
    let labasa = format!(
        "---\nkind: region\nschema_version: 1\nname: vanua-levu\nfailure_domains: [labasa]\n\
         ---\nkind: backend-server\nschema_version: 1\nname: ledger-3\nservice: ledger\n\
         failure_domain: labasa\naddress: {}\nslots: 3\n",
        deployment.backend_address(3)
    );
    let records = support::records(&deployment).replace("deadline: 5s", "shift_cap_permille: 500");
    deployment.apply(&format!("{records}\n{labasa}"));
    let key = deployment.issue_key("kiln-1", "kiln");
    for (vm, _) in vms {
        support::wait_until_serving(&deployment, vm, &key);
    }
    (deployment, key)
}

fn report_draining(deployment: &deployment::Deployment, backend: u8) {
    support::set_backend_control(deployment, backend, &json!({"is_draining": true}));
}

#[test]
fn a_failure_domain_without_backend_servers_is_served_by_its_region() {
    let (mut deployment, key) = start(40);
    let send = || support::send(&deployment, VM, support::keyed_request("POST", "/ledger/a", &key));
    assert!(send().contains("ledger-1 ran"));
    report_draining(&deployment, 1);
    deployment::wait_until("the other failure domain serves requests", || {
        send().contains("ledger-2 ran")
    });
    for _ in 0..20 {
        let seen = send();
        assert!(seen.contains("ledger-2 ran"), "{seen}");
    }
    let runs = deployment.get_json(deployment.backend_address(2), "/stand-in/runs").to_string();
    assert!(!runs.contains(&key), "the key was forwarded to the backend server");
    deployment.kill("ledger-2");
    let refused = support::send(&deployment, VM, support::keyed_request("POST", "/ledger/b", &key));
    assert!(refused.contains("not-run"), "{refused}");
}

#[test]
fn a_region_that_can_not_serve_is_left_under_the_cap_and_with_the_truth() {
    let (deployment, key) = start(41);
    report_draining(&deployment, 1);
    report_draining(&deployment, 2);
    let send = || support::send(&deployment, VM, support::keyed_request("GET", "/ledger/a", &key));
    deployment::wait_until("the region has no usable backend server", || {
        send().contains("503 not-run")
    });
    let started_at = time::Instant::now();
    let (mut sent, mut moved, mut allowed) = (0_u32, 0_u32, 0.0);
    while started_at.elapsed() < time::Duration::from_secs(6) {
        let due = time::Duration::from_secs_f64(f64::from(sent) / PACED_PER_S);
        thread::sleep(due.saturating_sub(started_at.elapsed()));
        let seen = send();
        sent += 1;
        // The share that may leave the region grows by half of all traffic in ten seconds. It
        // starts to grow when the servers' load reports are read, about a second before the loop;
        // the bound allows three seconds for that.
        allowed += 0.05 * (started_at.elapsed().as_secs_f64() + 3.0);
        match seen.contains("ledger-3 ran") {
            true => moved += 1,
            false => assert!(seen.starts_with("503 not-run"), "{seen} after {sent} requests"),
        }
    }
    println!("{moved} of {sent} left the region, {allowed:.0} allowed");
    assert!(f64::from(moved) <= allowed + 1.0, "{moved} of {sent}, {allowed:.0} allowed");
    assert!(moved > 0, "none of {sent} left the region");
}

#[test]
fn entry_vms_that_forward_requests_do_not_exceed_the_slots_of_a_backend_server() {
    let (deployment, key) = start(42);
    report_draining(&deployment, 1);
    deployment::wait_until("requests are forwarded", || {
        let request = support::keyed_request("GET", "/ledger/first", &key);
        support::send(&deployment, VM, request).contains("ledger-2 ran")
    });
    support::set_backend_control(
        &deployment,
        2,
        &json!({"work_ms": 100, "reported_slots_in_use": 0}),
    );
    let entry = deployment.entry_address(VM);
    let callers: Vec<_> = (0..30)
        .map(|_| {
            let request = support::keyed_request("GET", "/ledger/crowd", &key);
            thread::spawn(move || waxwing_stand_ins::caller::call(entry, &request))
        })
        .collect();
    for caller in callers {
        let response = caller.join().expect("no panic").expect("a complete response");
        let seen = support::describe(&response);
        assert!(response.status == 200 || seen.contains("not-run"), "{seen}");
    }
    assert!(support::run_count(&deployment, 2, "/ledger/crowd") > 0, "no request was forwarded");
    assert_eq!(
        support::server_count(&deployment, 2, "over_slots"),
        0,
        "a request arrived while all slots were in use"
    );
}

/// The backend server runs each request and closes the connection; the third failure in a row
/// ejects it, so that the second attempt of that request finds no slot.
#[test]
fn a_forwarded_request_that_ran_is_not_reported_as_not_run_for_lack_of_a_slot() {
    let (deployment, key) = start(43);
    report_draining(&deployment, 1);
    let send = |method: &str, path: &str| {
        support::send(&deployment, VM, support::keyed_request(method, path, &key))
    };
    deployment::wait_until("requests are forwarded", || {
        send("GET", "/ledger/a").contains("ledger-2 ran")
    });
    support::set_backend_control(&deployment, 2, &json!({"mode": "drop"}));
    for path in ["/ledger/first", "/ledger/second"] {
        let seen = send("POST", path);
        assert!(seen.contains("unknown"), "{seen}");
    }
    let seen = send("GET", "/ledger/third");
    assert_eq!(support::run_count(&deployment, 2, "/ledger/third"), 1);
    assert!(!seen.contains("not-run"), "{seen}");
}
