//! Finds every fault of a whole set at once.

use waxwing_contract::contract;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::record;
use crate::snapshot;

/// The largest sum of all floor parts of a contract, in thousandths.
const FLOORS_MAX_PERMILLE: u64 = 900;

/// The shortest time for which keys must be taken without news from the store.
const KEY_STALENESS_MIN: units_time::Millis = units_time::Millis(8_000);

/// A fault of a record within the whole set.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{record}: {message}")]
pub struct Error {
    /// The record.
    pub record: record::RecordId,
    /// What is wrong, and what to write instead.
    pub message: String,
}

/// Returns all faults of a set of records.
pub fn errors(snapshot: &snapshot::Snapshot) -> Vec<Error> {
    let mut faults = Vec::new();
    check_regions(snapshot, &mut faults);
    check_services(snapshot, &mut faults);
    check_organisations(snapshot, &mut faults);
    check_keys(snapshot, &mut faults);
    check_backend_servers(snapshot, &mut faults);
    check_client_blocks(snapshot, &mut faults);
    faults
}

/// Returns what forbids to replace `old` by `new`.
pub fn replacement_errors(old: &record::Organisation, new: &record::Organisation) -> Vec<Error> {
    let mut faults = Vec::new();
    if old.home != new.home || old.spread != new.spread {
        let what = "home, floors and floor_permille stay as they are for a contract's whole life, \
                    so that machines which see different revisions agree on the parts; withdraw \
                    the organisation and create one under a new name";
        fault(&mut faults, record::Kind::Organisation, new.organisation.as_str(), what.to_owned());
    }
    faults
}

fn fault(faults: &mut Vec<Error>, kind: record::Kind, name: &str, what: String) {
    if let Ok(name) = name.parse() {
        faults.push(Error { record: record::RecordId { kind, name }, message: what });
    }
}

fn check_regions(snapshot: &snapshot::Snapshot, faults: &mut Vec<Error>) {
    for region in &snapshot.regions {
        let name = region.region.as_str();
        if region.failure_domains.is_empty() {
            let what = "failure_domains is empty; name one at least".to_owned();
            fault(faults, record::Kind::Region, name, what);
        }
        for domain in &region.failure_domains {
            if snapshot.region_of(domain) != Some(&region.region) {
                let what = format!("failure domain {domain} belongs to another region already");
                fault(faults, record::Kind::Region, name, what);
            }
        }
    }
}

fn check_services(snapshot: &snapshot::Snapshot, faults: &mut Vec<Error>) {
    for service in &snapshot.services {
        let name = service.service.as_str();
        if service.deadline_ms.0 == 0 {
            let what = "deadline is 0ms; write how long a request may take, such as 10s";
            fault(faults, record::Kind::Service, name, what.to_owned());
        }
        if service.key_staleness_max_ms.is_some_and(|most| most < KEY_STALENESS_MIN) {
            let what = format!(
                "key_staleness_max is below {KEY_STALENESS_MIN}, the time that the news of an \
                 unchanged store takes to all machines"
            );
            fault(faults, record::Kind::Service, name, what);
        }
        if !(1..=1_000).contains(&service.shift_cap_permille) {
            let what = "shift_cap_permille must be between 1 and 1000".to_owned();
            fault(faults, record::Kind::Service, name, what);
        }
    }
}

fn check_organisations(snapshot: &snapshot::Snapshot, faults: &mut Vec<Error>) {
    let domains = snapshot.failure_domains();
    for at in &snapshot.organisations {
        let organisation = &at.organisation;
        let name = organisation.organisation.as_str();
        let mut add = |what: String| fault(faults, record::Kind::Organisation, name, what);
        if organisation.rate_per_second.milli_per_second() == 0 {
            add("rate is 0/s; write the requests per second, such as 50/s".to_owned());
        }
        if organisation.burst_tokens.0 == 0 {
            add("burst is 0 tokens; write 1 tokens at least".to_owned());
        }
        if domains.binary_search(&organisation.home).is_err() {
            add(format!("home {} is in no region record", organisation.home));
        }
        check_spread(organisation, &domains, &mut add);
    }
}

fn check_spread(
    organisation: &record::Organisation,
    domains: &[id::FailureDomainId],
    add: &mut impl FnMut(String),
) {
    let contract::Spread::Floors { failure_domains, floor_permille } = &organisation.spread else {
        return;
    };
    let sum_permille = floor_permille * failure_domains.len() as u64;
    if *floor_permille == 0 || sum_permille > FLOORS_MAX_PERMILLE {
        add(format!(
            "the floors sum up to {sum_permille} thousandths; choose floor_permille so that the \
             sum is between 1 and {FLOORS_MAX_PERMILLE}"
        ));
    }
    for domain in failure_domains {
        if domains.binary_search(domain).is_err() {
            add(format!("floor {domain} is in no region record"));
        }
        if *domain == organisation.home {
            add(format!("floor {domain} is the home, which holds the base part; leave it out"));
        }
    }
    if failure_domains.windows(2).any(|pair| pair[0] == pair[1]) {
        add("a failure domain stands twice in floors".to_owned());
    }
}

fn check_keys(snapshot: &snapshot::Snapshot, faults: &mut Vec<Error>) {
    for key in &snapshot.keys {
        if snapshot.organisation_of(&key.digest).is_none() {
            let what = format!("there is no organisation {}", key.organisation);
            fault(faults, record::Kind::Key, key.name.as_str(), what);
        }
    }
    for pair in snapshot.keys.windows(2) {
        if pair[0].digest == pair[1].digest {
            let what = format!("key {} has the same digest", pair[0].name);
            fault(faults, record::Kind::Key, pair[1].name.as_str(), what);
        }
    }
}

fn check_backend_servers(snapshot: &snapshot::Snapshot, faults: &mut Vec<Error>) {
    for server in &snapshot.backend_servers {
        let name = server.backend_server.as_str();
        let mut add = |what: String| fault(faults, record::Kind::BackendServer, name, what);
        if snapshot.service(server.service.as_str()).is_none() {
            add(format!("there is no service {}", server.service));
        }
        if snapshot.region_of(&server.failure_domain).is_none() {
            add(format!("failure domain {} is in no region record", server.failure_domain));
        }
        if server.slots == 0 {
            add("slots is 0; write how many requests it bears at a time".to_owned());
        }
    }
}

fn check_client_blocks(snapshot: &snapshot::Snapshot, faults: &mut Vec<Error>) {
    let domains = snapshot.failure_domains();
    for record in &snapshot.client_blocks {
        let mut missing: Vec<&id::FailureDomainId> = record
            .blocks
            .iter()
            .map(|block| &block.failure_domain)
            .filter(|domain| domains.binary_search(domain).is_err())
            .collect();
        missing.dedup();
        for domain in missing {
            let what = format!("failure domain {domain} is in no region record");
            fault(faults, record::Kind::ClientBlocks, record.name.as_str(), what);
        }
    }
}
