//! Killed and suspended processes, VMs that shut down during an upload or are drained, and the
//! takeover and handover of seats.

use std::io::Write;
use std::thread;
use std::time;

use serde_json::json;
use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

/// Sends a burst of concurrent requests to all entry VMs and returns how many are admitted.
fn burst(deployment: &deployment::Deployment, key: &str, requests: usize) -> usize {
    let callers: Vec<_> = (0..requests)
        .map(|number| {
            let vm = support::VMS[number % support::VMS.len()];
            let entry = deployment.entry_address(vm);
            let request = support::keyed_request("GET", "/ledger/burst", key);
            thread::spawn(move || caller::call(entry, &request).map_or(0, |a| a.status))
        })
        .collect();
    let statuses = callers.into_iter().map(|caller| caller.join().expect("no panic"));
    statuses.filter(|status| ![429, 503, 0].contains(status)).count()
}

/// Sends bursts for `span`, calls `fault` after the first, and checks that no more requests are
/// admitted than a contract of 50/s with a burst of 50 tokens allows. Returns the number admitted.
fn admitted_within_contract(
    deployment: &mut deployment::Deployment,
    key: &str,
    span: time::Duration,
    fault: impl FnOnce(&mut deployment::Deployment),
) -> usize {
    let started_at = time::Instant::now();
    let mut admitted = burst(deployment, key, 40);
    fault(deployment);
    while started_at.elapsed() < span {
        admitted += burst(deployment, key, 40);
    }
    let admitted_max = 50.0 * started_at.elapsed().as_secs_f64() + 50.0;
    assert!(admitted as f64 <= admitted_max, "{admitted} admitted, {admitted_max:.0} allowed");
    admitted
}

#[test]
fn the_contract_holds_while_a_killed_keeper_restarts() {
    let (mut deployment, key) = support::start_with(30, "50");
    let span = time::Duration::from_secs(8);
    let keeper = format!("{}.waxwing-keeper", support::VMS[0]);
    let admitted = admitted_within_contract(&mut deployment, &key, span, |deployment| {
        deployment.kill(&keeper);
        deployment.start_process(support::VMS[0], "waxwing-keeper");
    });
    assert!(admitted > 50, "only {admitted} were admitted");
    support::wait_until_serving(&deployment, support::VMS[0], &key);
}

#[test]
fn the_contract_holds_while_a_keeper_is_suspended_and_resumed() {
    let (mut deployment, key) = support::start_with(31, "50");
    let span = time::Duration::from_secs(14);
    let keeper = format!("{}.waxwing-keeper", support::VMS[0]);
    let admitted = admitted_within_contract(&mut deployment, &key, span, |deployment| {
        deployment.signal(&keeper, "STOP");
        let started_at = time::Instant::now();
        deployment::wait_until("the other entry VM serves from its floor part", || {
            let request = support::keyed_request("GET", "/ledger/cut", &key);
            support::send(deployment, support::VMS[1], request).starts_with("200")
                && started_at.elapsed() > time::Duration::from_secs(5)
        });
        deployment.signal(&keeper, "CONT");
    });
    assert!(admitted > 50, "only {admitted} were admitted");
    support::wait_until_serving(&deployment, support::VMS[0], &key);
}

#[test]
fn a_graceful_shutdown_completes_uploads_in_progress() {
    let (mut deployment, key) = support::start(32);
    let vm = support::VMS[0];
    let request =
        support::keyed_request("POST", "/ledger/photos", &key).body(vec![b'p'; 1_000_000]);
    let mut stream = caller::connect(deployment.entry_address(vm)).expect("a connection");
    stream.write_all(&request.head(true)).expect("sent");
    stream.write_all(&request.body[..500_000]).expect("sent");
    deployment::wait_until("the upload is in progress", || {
        support::server_count(&deployment, 1, "in_flight") == 1
    });
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.signal(&format!("{vm}.{process}"), "TERM");
    }
    deployment::wait_until("lookups no longer return the VM", || {
        deployment.lookup_vms(support::VMS[1]) == [support::VMS[1]]
    });
    thread::sleep(time::Duration::from_millis(1_500));
    stream.write_all(&request.body[500_000..]).expect("sent");
    let response = caller::read_response(&mut stream).expect("a complete response");
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.text().contains("with 1000000 bytes"), "{response:?}");
    for process in ["waxwing-entry", "waxwing-keeper", "waxwing-lookup"] {
        deployment.wait_for_exit(&format!("{vm}.{process}"));
    }
}

#[test]
fn lookups_do_not_return_a_dead_vm() {
    let (mut deployment, key) = support::start(33);
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.kill(&format!("{}.{process}", support::VMS[0]));
    }
    deployment::wait_until("lookups no longer return the VM", || {
        deployment.lookup_vms(support::VMS[1]) == [support::VMS[1]]
    });
    support::wait_until_serving(&deployment, support::VMS[1], &key);
}

#[test]
fn a_drained_backend_server_and_a_drained_vm_receive_no_new_requests() {
    let (deployment, key) = support::start(34);
    let vm = support::VMS[0];
    let drain = ["drain", "rack", "--backend-server", "ledger-1"];
    assert_eq!(deployment.run_cli(&drain).0, 0);
    deployment::wait_until("the drained server receives no more requests", || {
        let request = support::keyed_request("GET", "/ledger/drained", &key);
        support::send(&deployment, vm, request).contains("ledger-2 ran")
    });
    let runs = support::run_count(&deployment, 1, "/");
    for _ in 0..20 {
        let request = support::keyed_request("GET", "/ledger/drained", &key);
        let seen = support::send(&deployment, vm, request);
        assert!(seen.contains("ledger-2 ran"), "{seen}");
    }
    assert_eq!(support::run_count(&deployment, 1, "/"), runs);
    assert_eq!(deployment.run_cli(&["drain", "rack", "--end"]).0, 0);
    support::wait_until_serving(&deployment, vm, &key);
    assert_eq!(deployment.run_cli(&["drain", "host", "--entry-vm", vm]).0, 0);
    deployment::wait_until("lookups no longer return the VM", || {
        deployment.lookup_vms(vm) == [support::VMS[1]]
    });
}

#[test]
fn a_new_vm_takes_over_the_seats_of_a_removed_one() {
    let (mut deployment, key) = support::start(35);
    let (removed, new) = (support::VMS[0], "vm-lautoka-2");
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.kill(&format!("{removed}.{process}"));
    }
    deployment.add_vm(new, "lautoka");
    // The platform's list may lag: while it still contains the dead VM, its seats are not taken
    // over.
    deployment.set_vm_list(&[removed, new, support::VMS[1]]);
    let seats = |deployment: &deployment::Deployment| {
        let status =
            deployment.get_json(deployment.admin_address(new, "waxwing-keeper"), "/status");
        status["seats"].as_array().map_or(0, Vec::len)
    };
    deployment::wait_until("lookups return the new VM", || {
        deployment.lookup_vms(support::VMS[1]).contains(&new.to_owned())
    });
    thread::sleep(time::Duration::from_secs(3));
    assert_eq!(seats(&deployment), 0, "the list still contains the holder");
    deployment.set_vm_list(&[new, support::VMS[1]]);
    deployment::wait_until("the new VM holds the seats", || seats(&deployment) == 1);
    support::wait_until_serving(&deployment, new, &key);
    support::wait_until_serving(&deployment, support::VMS[1], &key);
}

#[test]
fn a_keeper_suspended_for_long_drops_its_parts_until_it_has_confirmed_its_seats() {
    let (mut deployment, key) = support::start_with(36, "50");
    let keeper = format!("{}.waxwing-keeper", support::VMS[0]);
    let unconfirmed = |deployment: &deployment::Deployment| {
        let admin = deployment.admin_address(support::VMS[0], "waxwing-keeper");
        let status = deployment.get_json(admin, "/status");
        status["accounts"][0]["is_unconfirmed"].as_bool().expect("an account")
    };
    let set_store_outage = |deployment: &deployment::Deployment, is_out: bool| {
        let faults = serde_json::json!({ "is_out": is_out });
        deployment.post_json(deployment.platform_address(), "/control/faults", &faults);
    };
    set_store_outage(&deployment, true);
    let span = time::Duration::from_secs(18);
    admitted_within_contract(&mut deployment, &key, span, |deployment| {
        deployment.signal(&keeper, "STOP");
        thread::sleep(time::Duration::from_secs(11));
        deployment.signal(&keeper, "CONT");
        deployment::wait_until("the keeper drops its parts", || unconfirmed(deployment));
        thread::sleep(time::Duration::from_secs(2));
        assert!(
            unconfirmed(deployment),
            "the seats cannot be confirmed while the store is unreachable"
        );
    });
    set_store_outage(&deployment, false);
    deployment::wait_until("the keeper has confirmed its seats", || !unconfirmed(&deployment));
    support::wait_until_serving(&deployment, support::VMS[0], &key);
}

/// The longest time for which requests may be refused while seats move from a VM that shuts down to
/// another.
const HANDOVER_MAX: time::Duration = time::Duration::from_secs(5);

#[test]
fn a_vm_that_shuts_down_hands_its_seats_over() {
    let (mut deployment, key) = support::start(37);
    let (stopping, successor, remaining) = (support::VMS[0], "vm-lautoka-2", support::VMS[1]);
    deployment.add_vm(successor, "lautoka");
    deployment.set_vm_list(&[stopping, successor, remaining]);
    deployment::wait_until("lookups return the new VM", || {
        deployment.lookup_vms(stopping).contains(&successor.to_owned())
            && deployment.lookup_vms(successor).len() == 3
    });
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.signal(&format!("{stopping}.{process}"), "TERM");
    }
    let started_at = time::Instant::now();
    let mut last_success_at = started_at;
    let mut longest_gap = time::Duration::ZERO;
    while started_at.elapsed() < time::Duration::from_secs(8) {
        let request = support::keyed_request("POST", "/ledger/a", &key);
        if support::send(&deployment, remaining, request).starts_with("200") {
            longest_gap = longest_gap.max(last_success_at.elapsed());
            last_success_at = time::Instant::now();
        }
    }
    longest_gap = longest_gap.max(last_success_at.elapsed());
    println!("refused for {longest_gap:?} at most while seats were handed over");
    assert!(longest_gap < HANDOVER_MAX, "{longest_gap:?}");
}

/// Regression: a keeper that had restarted without records refused the charges of all organisations
/// as unknown, so that requests with valid keys were rejected for good.
#[test]
fn a_keeper_without_records_denies_no_request_for_good() {
    let (mut deployment, key) = support::start(38);
    let out = json!({"is_out": true});
    deployment.post_json(deployment.platform_address(), "/control/faults", &out);
    for vm in support::VMS {
        deployment.kill(&format!("{vm}.waxwing-keeper"));
    }
    deployment.start_process(support::VMS[0], "waxwing-keeper");
    let send = || {
        let request = support::keyed_request("GET", "/ledger/a", &key);
        support::send(&deployment, support::VMS[0], request)
    };
    for _ in 0..20 {
        let seen = send();
        assert!(seen.starts_with("503 not-run"), "{seen}");
        thread::sleep(time::Duration::from_millis(50));
    }
    deployment.post_json(deployment.platform_address(), "/control/faults", &json!({}));
    support::wait_until_serving(&deployment, support::VMS[0], &key);
}
