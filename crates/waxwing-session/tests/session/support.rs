//! Deployments and requests that several tests use.

use waxwing_session::deployment;
use waxwing_stand_ins::caller;

/// The entry VMs of the small deployment, in the failure domains lautoka and nausori.
pub(crate) const VMS: [&str; 2] = ["vm-lautoka-1", "vm-nausori-1"];

const RECORDS: &str = include_str!("records.yaml");

/// Returns the records of the small deployment, with the addresses of its backend servers filled
/// in.
pub(crate) fn records(deployment: &deployment::Deployment) -> String {
    RECORDS
        .replace("LEDGER-1", &deployment.backend_address(1).to_string())
        .replace("LEDGER-2", &deployment.backend_address(2).to_string())
}

/// Starts the small deployment, two failure domains with an entry VM and a backend server in each,
/// and issues a key to its organisation.
pub(crate) fn start(number: u8) -> (deployment::Deployment, String) {
    start_with(number, "500")
}

/// Starts the small deployment with this rate and burst for the organisation, and issues a key.
pub(crate) fn start_with(number: u8, rate: &str) -> (deployment::Deployment, String) {
    let mut deployment = deployment::Deployment::start(number);
    deployment.start_backend("ledger-1", 1, 3);
    deployment.start_backend("ledger-2", 2, 3);
    deployment.start_vms(&[(VMS[0], "lautoka"), (VMS[1], "nausori")]);
    deployment.apply(&records(&deployment).replace("500", rate));
    let key = deployment.issue_key("kiln-1", "kiln");
    for vm in VMS {
        wait_until_serving(&deployment, vm, &key);
    }
    (deployment, key)
}

/// Waits until an entry VM serves requests with a key.
pub(crate) fn wait_until_serving(deployment: &deployment::Deployment, vm: &str, key: &str) {
    deployment::wait_until("requests with a key are served", || {
        send(deployment, vm, keyed_request("GET", "/ledger/ready", key)).starts_with("200 answered")
    });
}

/// Creates a request with a key.
pub(crate) fn keyed_request(method: &str, path: &str, key: &str) -> caller::Request {
    caller::Request::new(method, path).header("waxwing-key", key)
}

/// Sends a request to an entry VM and returns what the caller receives, as [`describe`] prints it.
pub(crate) fn send(
    deployment: &deployment::Deployment,
    vm: &str,
    request: caller::Request,
) -> String {
    match caller::call(deployment.entry_address(vm), &request) {
        Ok(response) => describe(&response),
        Err(_) => "broken connection".to_owned(),
    }
}

/// Formats the status, the outcome header and the body of a response.
pub(crate) fn describe(response: &caller::Response) -> String {
    let outcome = response.header("waxwing-outcome");
    format!("{} {outcome}: {}", response.status, response.text().trim_end())
}

/// Sets the behaviour of a backend server.
pub(crate) fn set_backend_control(
    deployment: &deployment::Deployment,
    backend: u8,
    value: &serde_json::Value,
) {
    deployment.post_json(deployment.backend_address(backend), "/stand-in/control", value);
}

/// Returns how many requests a backend server ran whose path begins with `path`.
pub(crate) fn run_count(deployment: &deployment::Deployment, backend: u8, path: &str) -> usize {
    let runs = deployment.get_json(deployment.backend_address(backend), "/stand-in/runs");
    let runs = runs.as_array().expect("a list");
    runs.iter().filter(|run| run["path"].as_str().is_some_and(|p| p.starts_with(path))).count()
}

/// Returns one of the counters of a backend server.
pub(crate) fn server_count(deployment: &deployment::Deployment, backend: u8, what: &str) -> u64 {
    let counts = deployment.get_json(deployment.backend_address(backend), "/stand-in/counts");
    counts[what].as_u64().expect("a count")
}
