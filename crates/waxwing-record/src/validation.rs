//! Checks a whole set of records and reports all errors at once.

use waxwing_contract::contract;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::record;
use crate::snapshot;

/// The largest sum of all floor parts of a contract, in thousandths of the contract.
const FLOORS_MAX_PERMILLE: u64 = 900;

/// The smallest accepted `key_staleness_max`.
///
/// Keys must be accepted for at least this time without contact to the store, and all machines
/// learn within it that the store is unchanged.
const KEY_STALENESS_MIN: units_time::Millis = units_time::Millis(8_000);

/// An error in one record, found by checking it against the whole set.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{record}: {message}")]
pub struct Error {
    /// The record that has to be corrected.
    pub record: record::RecordId,
    /// What is wrong and what to write instead.
    pub message: String,
}

/// Returns all errors of a set of records; the set may be stored if there are none.
pub fn errors(snapshot: &snapshot::Snapshot) -> Vec<Error> {
    let mut errors = Vec::new();
    check_regions(snapshot, &mut errors);
    check_services(snapshot, &mut errors);
    check_organisations(snapshot, &mut errors);
    check_keys(snapshot, &mut errors);
    check_backend_servers(snapshot, &mut errors);
    check_client_blocks(snapshot, &mut errors);
    errors
}

/// Returns the changes from `old` to `new` that are not allowed in a stored organisation.
pub fn replacement_errors(old: &record::Organisation, new: &record::Organisation) -> Vec<Error> {
    let mut errors = Vec::new();
    if old.home != new.home || old.spread != new.spread {
        let message = "home, floors and floor_permille can't be changed, so that machines that see \
                    different revisions agree on the parts; withdraw the organisation and create \
                    one under a new name";
        push_error(
            &mut errors,
            record::Kind::Organisation,
            new.organisation.as_str(),
            message.to_owned(),
        );
    }
    errors
}

fn push_error(errors: &mut Vec<Error>, kind: record::Kind, name: &str, message: String) {
    if let Ok(name) = name.parse() {
        errors.push(Error { record: record::RecordId { kind, name }, message });
    }
}

fn check_regions(snapshot: &snapshot::Snapshot, errors: &mut Vec<Error>) {
    for region in &snapshot.regions {
        let name = region.region.as_str();
        if region.failure_domains.is_empty() {
            let message = "failure_domains is empty; list at least one".to_owned();
            push_error(errors, record::Kind::Region, name, message);
        }
        for domain in &region.failure_domains {
            if snapshot.region_of(domain) != Some(&region.region) {
                let message = format!("failure domain {domain} already belongs to another region");
                push_error(errors, record::Kind::Region, name, message);
            }
        }
    }
}

fn check_services(snapshot: &snapshot::Snapshot, errors: &mut Vec<Error>) {
    for service in &snapshot.services {
        let name = service.service.as_str();
        if service.deadline_ms.0 == 0 {
            let message =
                "deadline is 0ms; write the longest time that a request may take, such as 10s";
            push_error(errors, record::Kind::Service, name, message.to_owned());
        }
        if service.key_staleness_max_ms.is_some_and(|most| most < KEY_STALENESS_MIN) {
            let message = format!(
                "key_staleness_max is below {KEY_STALENESS_MIN}, the time in which all machines \
                 learn that the store is unchanged"
            );
            push_error(errors, record::Kind::Service, name, message);
        }
        if !(1..=1_000).contains(&service.shift_cap_permille) {
            let message = "shift_cap_permille must be between 1 and 1000".to_owned();
            push_error(errors, record::Kind::Service, name, message);
        }
    }
}

fn check_organisations(snapshot: &snapshot::Snapshot, errors: &mut Vec<Error>) {
    let domains = snapshot.failure_domains();
    for entry in &snapshot.organisations {
        let organisation = &entry.organisation;
        let name = organisation.organisation.as_str();
        let mut add =
            |message: String| push_error(errors, record::Kind::Organisation, name, message);
        if organisation.rate_per_second.milli_per_second() == 0 {
            add("rate is 0/s; write the requests per second, such as 50/s".to_owned());
        }
        if organisation.burst_tokens.0 == 0 {
            add("burst is 0 tokens; write at least 1 tokens".to_owned());
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
            add(format!("floor {domain} is the home, which holds the base part; remove it"));
        }
    }
    if failure_domains.windows(2).any(|pair| pair[0] == pair[1]) {
        add("floors lists a failure domain twice".to_owned());
    }
}

fn check_keys(snapshot: &snapshot::Snapshot, errors: &mut Vec<Error>) {
    for key in &snapshot.keys {
        if snapshot.organisation_of(&key.digest).is_none() {
            let message = format!("there is no organisation {}", key.organisation);
            push_error(errors, record::Kind::Key, key.name.as_str(), message);
        }
    }
    for pair in snapshot.keys.windows(2) {
        if pair[0].digest == pair[1].digest {
            let message = format!("key {} has the same digest", pair[0].name);
            push_error(errors, record::Kind::Key, pair[1].name.as_str(), message);
        }
    }
}

fn check_backend_servers(snapshot: &snapshot::Snapshot, errors: &mut Vec<Error>) {
    for server in &snapshot.backend_servers {
        let name = server.backend_server.as_str();
        let mut add =
            |message: String| push_error(errors, record::Kind::BackendServer, name, message);
        if snapshot.service(server.service.as_str()).is_none() {
            add(format!("there is no service {}", server.service));
        }
        if snapshot.region_of(&server.failure_domain).is_none() {
            add(format!("failure domain {} is in no region record", server.failure_domain));
        }
        if server.slots == 0 {
            add("slots is 0; write how many requests it runs at the same time".to_owned());
        }
    }
}

fn check_client_blocks(snapshot: &snapshot::Snapshot, errors: &mut Vec<Error>) {
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
            let message = format!("failure domain {domain} is in no region record");
            push_error(errors, record::Kind::ClientBlocks, record.name.as_str(), message);
        }
    }
}
