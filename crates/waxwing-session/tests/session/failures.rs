//! Killed and frozen processes, leaving machines, and uploads through a shutdown.

use std::io::Write;
use std::thread;
use std::time;

use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

/// How many requests of a burst over all machines are admitted.
fn burst(deployment: &deployment::Deployment, key: &str, requests: usize) -> usize {
    let callers: Vec<_> = (0..requests)
        .map(|number| {
            let vm = support::VMS[number % support::VMS.len()];
            let entry = deployment.entry(vm);
            let request = support::keyed("GET", "/ledger/burst", key);
            thread::spawn(move || caller::call(entry, &request).map_or(0, |a| a.status))
        })
        .collect();
    let statuses = callers.into_iter().map(|caller| caller.join().expect("no panic"));
    statuses.filter(|status| ![429, 503, 0].contains(status)).count()
}

/// Sends bursts for `span` while `fault` happens, and holds what is admitted against the
/// contract of 50/s and 50 tokens.
fn admitted_within_contract(
    deployment: &mut deployment::Deployment,
    key: &str,
    span: time::Duration,
    fault: impl FnOnce(&mut deployment::Deployment),
) -> usize {
    let began_at = time::Instant::now();
    let mut admitted = burst(deployment, key, 40);
    fault(deployment);
    while began_at.elapsed() < span {
        admitted += burst(deployment, key, 40);
    }
    let most = 50.0 * began_at.elapsed().as_secs_f64() + 50.0;
    assert!(admitted as f64 <= most, "{admitted} admitted, at most {most:.0} are due");
    admitted
}

#[test]
fn a_killed_keeper_comes_back_and_the_contract_holds() {
    let (mut deployment, key) = support::start_with(30, "50");
    let span = time::Duration::from_secs(8);
    let keeper = format!("{}.waxwing-keeper", support::VMS[0]);
    let admitted = admitted_within_contract(&mut deployment, &key, span, |deployment| {
        deployment.kill(&keeper);
        deployment.start_process(support::VMS[0], "waxwing-keeper");
    });
    assert!(admitted > 50, "only {admitted} were admitted");
    support::wait_for_service(&deployment, support::VMS[0], &key);
}

#[test]
fn a_frozen_keeper_wakes_and_the_contract_holds() {
    let (mut deployment, key) = support::start_with(31, "50");
    let span = time::Duration::from_secs(14);
    let keeper = format!("{}.waxwing-keeper", support::VMS[0]);
    let admitted = admitted_within_contract(&mut deployment, &key, span, |deployment| {
        deployment.signal(&keeper, "STOP");
        let began_at = time::Instant::now();
        deployment::wait_until("the other machine serves from its floor part", || {
            let request = support::keyed("GET", "/ledger/cut", &key);
            support::call(deployment, support::VMS[1], request).starts_with("200")
                && began_at.elapsed() > time::Duration::from_secs(5)
        });
        deployment.signal(&keeper, "CONT");
    });
    assert!(admitted > 50, "only {admitted} were admitted");
    support::wait_for_service(&deployment, support::VMS[0], &key);
}

#[test]
fn a_graceful_shutdown_cuts_no_upload() {
    let (mut deployment, key) = support::start(32);
    let vm = support::VMS[0];
    let request = support::keyed("POST", "/ledger/photos", &key).body(vec![b'p'; 1_000_000]);
    let mut stream = caller::connect(deployment.entry(vm)).expect("a connection");
    stream.write_all(&request.head(true)).expect("sent");
    stream.write_all(&request.body[..500_000]).expect("sent");
    deployment::wait_until("the upload is under way", || {
        support::count(&deployment, 1, "in_flight") == 1
    });
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.signal(&format!("{vm}.{process}"), "TERM");
    }
    deployment::wait_until("look-ups lead callers away", || {
        deployment.looked_up(support::VMS[1]) == [support::VMS[1]]
    });
    thread::sleep(time::Duration::from_millis(1_500));
    stream.write_all(&request.body[500_000..]).expect("sent");
    let answer = caller::read_answer(&mut stream).expect("a whole answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.text().contains("with 1000000 bytes"), "{answer:?}");
    for process in ["waxwing-entry", "waxwing-keeper", "waxwing-lookup"] {
        deployment.wait_for_end(&format!("{vm}.{process}"));
    }
}

#[test]
fn a_dead_machine_is_left_out_of_lookups() {
    let (mut deployment, key) = support::start(33);
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.kill(&format!("{}.{process}", support::VMS[0]));
    }
    deployment::wait_until("look-ups lead callers away", || {
        deployment.looked_up(support::VMS[1]) == [support::VMS[1]]
    });
    support::wait_for_service(&deployment, support::VMS[1], &key);
}

#[test]
fn a_drained_backend_server_and_machine_get_no_new_work() {
    let (deployment, key) = support::start(34);
    let vm = support::VMS[0];
    let drain = ["drain", "rack", "--backend-server", "ledger-1"];
    assert_eq!(deployment.waxwing(&drain).0, 0);
    deployment::wait_until("the server is out of use", || {
        let request = support::keyed("GET", "/ledger/drained", &key);
        support::call(&deployment, vm, request).contains("ledger-2 ran")
    });
    let runs = support::runs(&deployment, 1, "/");
    for _ in 0..20 {
        let request = support::keyed("GET", "/ledger/drained", &key);
        let seen = support::call(&deployment, vm, request);
        assert!(seen.contains("ledger-2 ran"), "{seen}");
    }
    assert_eq!(support::runs(&deployment, 1, "/"), runs);
    assert_eq!(deployment.waxwing(&["drain", "rack", "--end"]).0, 0);
    support::wait_for_service(&deployment, vm, &key);
    assert_eq!(deployment.waxwing(&["drain", "host", "--entry-vm", vm]).0, 0);
    deployment::wait_until("look-ups lead callers away", || {
        deployment.looked_up(vm) == [support::VMS[1]]
    });
}

#[test]
fn a_new_machine_takes_over_the_seats_of_one_that_is_gone() {
    let (mut deployment, key) = support::start(35);
    let (gone, new) = (support::VMS[0], "vm-lautoka-2");
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.kill(&format!("{gone}.{process}"));
    }
    deployment.add_vm(new, "lautoka");
    // The list lags: for a while it names the machine that is gone, and its seats stay.
    deployment.list_vms(&[gone, new, support::VMS[1]]);
    let seats = |deployment: &deployment::Deployment| {
        let status = deployment.read(deployment.admin(new, "waxwing-keeper"), "/status");
        status["seats"].as_array().map_or(0, Vec::len)
    };
    deployment::wait_until("the new machine is heard", || {
        deployment.looked_up(support::VMS[1]).contains(&new.to_owned())
    });
    thread::sleep(time::Duration::from_secs(3));
    assert_eq!(seats(&deployment), 0, "the list still names the holder");
    deployment.list_vms(&[new, support::VMS[1]]);
    deployment::wait_until("the new machine has the seats", || seats(&deployment) == 1);
    support::wait_for_service(&deployment, new, &key);
    support::wait_for_service(&deployment, support::VMS[1], &key);
}

#[test]
fn a_keeper_that_stood_still_for_long_confirms_its_seats_and_the_contract_holds() {
    let (mut deployment, key) = support::start_with(36, "50");
    let keeper = format!("{}.waxwing-keeper", support::VMS[0]);
    let unconfirmed = |deployment: &deployment::Deployment| {
        let admin = deployment.admin(support::VMS[0], "waxwing-keeper");
        let status = deployment.read(admin, "/status");
        status["accounts"][0]["is_unconfirmed"].as_bool().expect("an account")
    };
    let stop_store = |deployment: &deployment::Deployment, is_out: bool| {
        let faults = serde_json::json!({ "is_out": is_out });
        deployment.control(deployment.platform(), "/control/faults", &faults);
    };
    stop_store(&deployment, true);
    let span = time::Duration::from_secs(18);
    admitted_within_contract(&mut deployment, &key, span, |deployment| {
        deployment.signal(&keeper, "STOP");
        thread::sleep(time::Duration::from_secs(11));
        deployment.signal(&keeper, "CONT");
        deployment::wait_until("it drops its parts", || unconfirmed(deployment));
        thread::sleep(time::Duration::from_secs(2));
        assert!(unconfirmed(deployment), "it has nothing to confirm its seats by");
    });
    stop_store(&deployment, false);
    deployment::wait_until("it has confirmed its seats", || !unconfirmed(&deployment));
    support::wait_for_service(&deployment, support::VMS[0], &key);
}

/// How long requests may be refused while seats go from a leaving machine to another.
const HAND_OVER_MAX: time::Duration = time::Duration::from_secs(5);

#[test]
fn a_leaving_machine_hands_its_seats_on() {
    let (mut deployment, key) = support::start(37);
    let (leaving, heir, staying) = (support::VMS[0], "vm-lautoka-2", support::VMS[1]);
    deployment.add_vm(heir, "lautoka");
    deployment.list_vms(&[leaving, heir, staying]);
    deployment::wait_until("the new machine is heard", || {
        deployment.looked_up(leaving).contains(&heir.to_owned())
            && deployment.looked_up(heir).len() == 3
    });
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.signal(&format!("{leaving}.{process}"), "TERM");
    }
    let began_at = time::Instant::now();
    let mut answered_at = began_at;
    let mut longest = time::Duration::ZERO;
    while began_at.elapsed() < time::Duration::from_secs(8) {
        let request = support::keyed("POST", "/ledger/a", &key);
        if support::call(&deployment, staying, request).starts_with("200") {
            longest = longest.max(answered_at.elapsed());
            answered_at = time::Instant::now();
        }
    }
    longest = longest.max(answered_at.elapsed());
    println!("refused for {longest:?} at most while seats were handed on");
    assert!(longest < HAND_OVER_MAX, "{longest:?}");
}
