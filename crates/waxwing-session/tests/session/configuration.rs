//! Records come into force everywhere, never go back, and survive outages of the store.

use std::fs;
use std::thread;
use std::time;

use serde_json::json;
use waxwing_session::deployment;
use waxwing_stand_ins::caller;

use crate::support;

fn revision(deployment: &deployment::Deployment, vm: &str) -> u64 {
    let status = deployment.read(deployment.admin(vm, "waxwing-keeper"), "/status");
    status["revision"].as_u64().expect("a revision")
}

fn set_faults(deployment: &deployment::Deployment, faults: &serde_json::Value) {
    deployment.control(deployment.platform(), "/control/faults", faults);
}

#[test]
fn a_withdrawn_key_stops_within_seconds_on_an_open_connection() {
    use std::io::Write;
    let (deployment, key) = support::start(20);
    let mut open: Vec<std::net::TcpStream> = support::VMS
        .iter()
        .map(|vm| caller::connect(deployment.entry(vm)).expect("a connection"))
        .collect();
    let ask = |stream: &mut std::net::TcpStream| {
        let request = support::keyed("GET", "/ledger/a", &key);
        stream.write_all(&request.head(false)).expect("sent");
        caller::read_answer(stream).expect("a whole answer").status
    };
    for stream in &mut open {
        assert_eq!(ask(stream), 200);
    }
    assert_eq!(deployment.waxwing(&["key", "withdraw", "kiln-1"]).0, 0);
    let withdrawn_at = time::Instant::now();
    for stream in &mut open {
        deployment::wait_until("the key is refused", || ask(stream) == 403);
    }
    assert!(withdrawn_at.elapsed() < time::Duration::from_secs(5), "{:?}", withdrawn_at.elapsed());
}

#[test]
fn the_system_serves_through_an_outage_and_a_fresh_machine_learns_from_its_peers() {
    let (mut deployment, key) = support::start(21);
    let before = revision(&deployment, support::VMS[0]);
    set_faults(&deployment, &json!({"is_out": true}));
    for vm in support::VMS {
        let seen = support::call(&deployment, vm, support::keyed("GET", "/ledger/out", &key));
        assert!(seen.starts_with("200 answered"), "{vm}: {seen}");
    }
    let (code, text) = deployment.waxwing(&["key", "withdraw", "kiln-1"]);
    assert_eq!(code, 1, "{text}");
    for process in ["waxwing-keeper", "waxwing-lookup", "waxwing-entry"] {
        deployment.kill(&format!("{}.{process}", support::VMS[1]));
    }
    deployment.start_vm(support::VMS[1]);
    deployment::wait_until("the fresh machine has its peers' records", || {
        caller::connect(deployment.admin(support::VMS[1], "waxwing-keeper")).is_ok()
            && revision(&deployment, support::VMS[1]) == before
    });
    support::wait_for_service(&deployment, support::VMS[1], &key);
    set_faults(&deployment, &json!({}));
    assert_eq!(deployment.waxwing(&["key", "withdraw", "kiln-1"]).0, 0);
    for vm in support::VMS {
        deployment::wait_until("the withdrawal is in force", || revision(&deployment, vm) > before);
        let seen = support::call(&deployment, vm, support::keyed("GET", "/ledger/out", &key));
        assert!(seen.starts_with("403"), "{vm}: {seen}");
    }
}

#[test]
fn a_change_whose_answer_is_lost_is_told_as_accepted() {
    let (deployment, _) = support::start(22);
    set_faults(&deployment, &json!({"lost_answers": 1}));
    let records = support::records(&deployment).replace("rate: 500/s", "rate: 600/s");
    let path = std::env::temp_dir().join(format!("waxwing-lost-{}.yaml", std::process::id()));
    fs::write(&path, records).expect("written");
    let (code, text) = deployment.waxwing(&["apply", &path.display().to_string()]);
    fs::remove_file(&path).expect("removed");
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("organisation/kiln") && text.contains("accepted at revision"), "{text}");
}

#[test]
fn a_record_of_an_unknown_version_is_passed_over_and_reported() {
    let (deployment, key) = support::start(23);
    let record = json!({"kind": "organisation", "schema_version": 99, "name": "later"});
    let write = json!({
        "key": "records/organisation/later",
        "value": {"operation": 1, "record": record},
        "expected": 0,
    });
    deployment.control(deployment.platform(), "/v1/write", &write);
    deployment::wait_until("the record is reported", || {
        deployment.waxwing(&["timeline"]).1.contains("record passed over: organisation/later")
    });
    let seen =
        support::call(&deployment, support::VMS[0], support::keyed("GET", "/ledger/a", &key));
    assert!(seen.starts_with("200 answered"), "{seen}");
}

#[test]
fn revisions_only_rise_while_the_store_comes_and_goes() {
    let (deployment, _) = support::start(24);
    let mut last = [0; 2];
    for round in 0..6 {
        let (verb, drain) = if round % 2 == 0 { ("--entry-vm", true) } else { ("--end", false) };
        let mut arguments = vec!["drain", "maintenance", verb];
        if drain {
            arguments.push(support::VMS[1]);
        }
        assert_eq!(deployment.waxwing(&arguments).0, 0);
        set_faults(&deployment, &json!({"is_out": round % 3 == 0}));
        for _ in 0..5 {
            for (at, vm) in support::VMS.iter().enumerate() {
                let now = revision(&deployment, vm);
                assert!(now >= last[at], "{vm}: revision {now} after {}", last[at]);
                last[at] = now;
            }
            thread::sleep(time::Duration::from_millis(50));
        }
        set_faults(&deployment, &json!({}));
    }
    let newest = deployment.read(deployment.platform(), "/v1/list?prefix=")["revision"].as_u64();
    for vm in support::VMS {
        deployment::wait_until("the newest records are in force everywhere", || {
            Some(revision(&deployment, vm)) == newest
        });
    }
}

#[test]
fn keys_are_not_taken_for_longer_than_the_service_allows() {
    let (deployment, key) = support::start(25);
    let records = support::records(&deployment)
        .replace("deadline: 5s", "deadline: 5s\nkey_staleness_max: 8s");
    deployment.apply(&records);
    let vm = support::VMS[0];
    let ask = || support::call(&deployment, vm, support::keyed("GET", "/ledger/a", &key));
    deployment::wait_until("the records are confirmed", || ask().starts_with("200"));
    thread::sleep(time::Duration::from_secs(9));
    assert!(ask().starts_with("200"), "watches confirm the records all the while");
    set_faults(&deployment, &json!({"is_out": true}));
    deployment::wait_until("the keys may be out of date", || {
        let seen = ask();
        seen.starts_with("503 not-run") && seen.contains("cut off")
    });
    let open = caller::Request::new("GET", "/hours/today");
    assert!(support::call(&deployment, vm, open).starts_with("200"), "open routes go on");
    set_faults(&deployment, &json!({}));
    deployment::wait_until("keys are taken again", || ask().starts_with("200"));
}

#[test]
fn a_slow_store_delays_changes_and_nothing_else() {
    let (deployment, key) = support::start(26);
    set_faults(&deployment, &json!({"delay_ms": 900}));
    let began_at = time::Instant::now();
    for vm in support::VMS {
        for _ in 0..20 {
            let seen = support::call(&deployment, vm, support::keyed("GET", "/ledger/a", &key));
            assert!(seen.starts_with("200"), "{vm}: {seen}");
        }
    }
    assert!(began_at.elapsed() < time::Duration::from_secs(8), "{:?}", began_at.elapsed());
    assert_eq!(deployment.waxwing(&["key", "withdraw", "kiln-1"]).0, 0);
    for vm in support::VMS {
        deployment::wait_until("the withdrawal is in force", || {
            support::call(&deployment, vm, support::keyed("GET", "/ledger/a", &key))
                .starts_with("403")
        });
    }
}

#[test]
fn operators_that_race_are_told_which_record_changed() {
    let (deployment, _) = support::start(27);
    set_faults(&deployment, &json!({"delay_ms": 300}));
    let apply = |rate: &str| {
        let path = std::env::temp_dir().join(format!("waxwing-{}-{rate}.yaml", std::process::id()));
        let records =
            support::records(&deployment).replace("rate: 500/s", &format!("rate: {rate}/s"));
        fs::write(&path, records).expect("written");
        let ended = deployment.waxwing(&["apply", &path.display().to_string()]);
        fs::remove_file(&path).expect("removed");
        ended
    };
    let ended = thread::scope(|scope| {
        let other = scope.spawn(|| apply("700"));
        [apply("600"), other.join().expect("no panic")]
    });
    let mut codes = ended.each_ref().map(|(code, _)| *code);
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{ended:?}");
    let loser = ended.iter().find(|(code, _)| *code == 3).expect("one lost");
    assert!(loser.1.contains("organisation/kiln") && loser.1.contains("conflict"), "{}", loser.1);
}

/// How long a change may take until it is in force everywhere.
const IN_FORCE_MAX: time::Duration = time::Duration::from_secs(18);

#[test]
fn machines_that_do_not_watch_the_store_learn_from_those_that_do() {
    let mut deployment = deployment::Deployment::start(28);
    let vms = ["vm-a", "vm-b", "vm-c", "vm-d", "vm-e", "vm-f"];
    let placed: Vec<(&str, &str)> = vms.iter().map(|vm| (*vm, "lautoka")).collect();
    deployment.start_vms(&placed);
    deployment.apply(&support::records(&deployment));
    let newest = || {
        let listing = deployment.read(deployment.platform(), "/v1/list?prefix=");
        listing["revision"].as_u64().expect("a revision")
    };
    let all_have = |wanted: u64| vms.iter().all(|vm| revision(&deployment, vm) >= wanted);
    deployment::wait_until("the first records are in force", || all_have(newest()));
    let mut slowest = time::Duration::ZERO;
    for round in 0..6 {
        let name = format!("round-{round}");
        let drain = ["drain", &name, "--backend-server", "ledger-1"];
        assert_eq!(deployment.waxwing(&drain).0, 0);
        let (wanted, changed_at) = (newest(), time::Instant::now());
        deployment::wait_until("the change is in force", || all_have(wanted));
        slowest = slowest.max(changed_at.elapsed());
    }
    println!("in force on six machines after {slowest:?} at most");
    assert!(slowest < IN_FORCE_MAX, "{slowest:?}");
}
