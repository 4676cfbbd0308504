//! Traffic leaves a failure domain that can't serve, and a region only under the cap.

use std::time;

use serde_json::json;
use waxwing_session::deployment;

use crate::support;

const VM: &str = "vm-lautoka-1";

/// Three entry VMs, two in one region and one in another, each with a backend server.
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
        deployment.backend(3)
    );
    let records = support::records(&deployment).replace("deadline: 5s", "shift_cap_permille: 500");
    deployment.apply(&format!("{records}\n{labasa}"));
    let key = deployment.issue_key("kiln-1", "kiln");
    for (vm, _) in vms {
        support::wait_for_service(&deployment, vm, &key);
    }
    (deployment, key)
}

fn drain_reports(deployment: &deployment::Deployment, backend: u8) {
    support::control(deployment, backend, &json!({"is_draining": true}));
}

#[test]
fn a_failure_domain_without_backend_servers_is_served_by_its_region() {
    let (mut deployment, key) = start(40);
    let ask = || support::call(&deployment, VM, support::keyed("POST", "/ledger/a", &key));
    assert!(ask().contains("ledger-1 ran"));
    drain_reports(&deployment, 1);
    deployment::wait_until("the neighbour serves", || ask().contains("ledger-2 ran"));
    for _ in 0..20 {
        let seen = ask();
        assert!(seen.contains("ledger-2 ran"), "{seen}");
    }
    let seen_key = deployment.read(deployment.backend(2), "/stand-in/runs").to_string();
    assert!(!seen_key.contains(&key), "a key is passed on");
    deployment.kill("ledger-2");
    let killed = support::call(&deployment, VM, support::keyed("POST", "/ledger/b", &key));
    assert!(killed.contains("not-run"), "{killed}");
}

#[test]
fn a_region_that_can_not_serve_is_left_under_the_cap_and_with_the_truth() {
    let (deployment, key) = start(41);
    drain_reports(&deployment, 1);
    drain_reports(&deployment, 2);
    let ask = || support::call(&deployment, VM, support::keyed("GET", "/ledger/a", &key));
    deployment::wait_until("the region can't serve", || ask().contains("503 not-run"));
    let began_at = time::Instant::now();
    let (mut asked, mut moved, mut allowed) = (0_u32, 0_u32, 0.0);
    while began_at.elapsed() < time::Duration::from_secs(6) {
        let seen = ask();
        asked += 1;
        // The share begins to rise when the servers' reports are read, a second or so earlier, and
        // rises by half of all traffic within ten seconds.
        allowed += 0.05 * (began_at.elapsed().as_secs_f64() + 3.0);
        match seen.contains("ledger-3 ran") {
            true => moved += 1,
            false => assert!(seen.starts_with("503 not-run"), "{seen}"),
        }
    }
    println!("{moved} of {asked} moved, {allowed:.0} may");
    assert!(f64::from(moved) <= allowed + 1.0, "{moved} of {asked}, {allowed:.0} may");
    assert!(moved > 0, "nothing moved of {asked}");
}

#[test]
fn machines_that_pass_requests_on_can_not_overload_another() {
    let (deployment, key) = start(42);
    drain_reports(&deployment, 1);
    deployment::wait_until("requests are passed on", || {
        let request = support::keyed("GET", "/ledger/first", &key);
        support::call(&deployment, VM, request).contains("ledger-2 ran")
    });
    support::control(&deployment, 2, &json!({"work_ms": 100, "reported_slots_in_use": 0}));
    let entry = deployment.entry(VM);
    let callers: Vec<_> = (0..30)
        .map(|_| {
            let request = support::keyed("GET", "/ledger/crowd", &key);
            std::thread::spawn(move || waxwing_stand_ins::caller::call(entry, &request))
        })
        .collect();
    for caller in callers {
        let answer = caller.join().expect("no panic").expect("a whole answer");
        let seen = support::describe(&answer);
        assert!(answer.status == 200 || seen.contains("not-run"), "{seen}");
    }
    assert!(support::runs(&deployment, 2, "/ledger/crowd") > 0, "nothing was passed on");
    assert_eq!(support::count(&deployment, 2, "over_slots"), 0, "sent beyond its slots");
}
