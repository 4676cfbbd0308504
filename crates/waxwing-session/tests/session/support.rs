//! Deployments and requests that several sessions use.

use waxwing_session::deployment;
use waxwing_stand_ins::caller;

/// The entry VMs of a small deployment.
pub(crate) const VMS: [&str; 2] = ["vm-lautoka-1", "vm-nausori-1"];

const RECORDS: &str = include_str!("records.yaml");

/// The records of a small deployment.
pub(crate) fn records(deployment: &deployment::Deployment) -> String {
    RECORDS
        .replace("LEDGER-1", &deployment.backend(1).to_string())
        .replace("LEDGER-2", &deployment.backend(2).to_string())
}

/// Starts two entry VMs in two failure domains with a backend server in each, and issues a key.
pub(crate) fn start(number: u8) -> (deployment::Deployment, String) {
    start_with(number, "500")
}

/// Does the same with an organisation that has this rate and burst.
pub(crate) fn start_with(number: u8, rate: &str) -> (deployment::Deployment, String) {
    let mut deployment = deployment::Deployment::start(number);
    deployment.start_backend("ledger-1", 1, 3);
    deployment.start_backend("ledger-2", 2, 3);
    deployment.start_vms(&[(VMS[0], "lautoka"), (VMS[1], "nausori")]);
    deployment.apply(&records(&deployment).replace("500", rate));
    let key = deployment.issue_key("kiln-1", "kiln");
    for vm in VMS {
        wait_for_service(&deployment, vm, &key);
    }
    (deployment, key)
}

/// Waits until a machine answers keyed requests.
pub(crate) fn wait_for_service(deployment: &deployment::Deployment, vm: &str, key: &str) {
    deployment::wait_until("keyed requests are answered", || {
        call(deployment, vm, keyed("GET", "/ledger/ready", key)).starts_with("200 answered")
    });
}

/// A request with a key.
pub(crate) fn keyed(method: &str, path: &str, key: &str) -> caller::Request {
    caller::Request::new(method, path).header("waxwing-key", key)
}

/// Sends a request to a machine and tells what the caller sees.
pub(crate) fn call(
    deployment: &deployment::Deployment,
    vm: &str,
    request: caller::Request,
) -> String {
    match caller::call(deployment.entry(vm), &request) {
        Ok(answer) => describe(&answer),
        Err(_) => "broken connection".to_owned(),
    }
}

/// Tells what a caller sees of an answer.
pub(crate) fn describe(answer: &caller::Answer) -> String {
    let outcome = answer.header("waxwing-outcome");
    format!("{} {outcome}: {}", answer.status, answer.text().trim_end())
}

/// Tells a backend server how to behave.
pub(crate) fn control(deployment: &deployment::Deployment, backend: u8, value: &serde_json::Value) {
    deployment.control(deployment.backend(backend), "/stand-in/control", value);
}

/// Returns how often a backend server ran requests under `path`.
pub(crate) fn runs(deployment: &deployment::Deployment, backend: u8, path: &str) -> usize {
    let runs = deployment.read(deployment.backend(backend), "/stand-in/runs");
    let runs = runs.as_array().expect("a list");
    runs.iter().filter(|run| run["path"].as_str().is_some_and(|p| p.starts_with(path))).count()
}

/// Returns one of a backend server's counts.
pub(crate) fn count(deployment: &deployment::Deployment, backend: u8, what: &str) -> u64 {
    let counts = deployment.read(deployment.backend(backend), "/stand-in/counts");
    counts[what].as_u64().expect("a count")
}
