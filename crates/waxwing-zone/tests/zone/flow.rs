//! How requests are shared out among the backend servers of failure domains.

use waxwing_units::id;
use waxwing_zone::locality;

fn domain(name: &str, region: &str, slots: u64, demand: u64) -> locality::DomainLoad {
    locality::DomainLoad {
        failure_domain: name.parse().expect("a valid name"),
        region: region.parse().expect("a valid name"),
        slots,
        demand,
    }
}

/// Returns what the failure domain `own` sends to each, in percent of what it sends.
fn sent(domains: &[locality::DomainLoad], own: &str) -> Vec<u64> {
    let own: id::FailureDomainId = own.parse().expect("a valid name");
    let pulls = locality::domain_weights(domains, &own);
    let weights: Vec<u64> = domains
        .iter()
        .zip(&pulls)
        .map(|(domain, pull)| domain.slots * u64::from(pull.slot_weight))
        .collect();
    let sum: u64 = weights.iter().sum();
    weights.iter().map(|weight| (weight * 100 + sum / 2) / sum.max(1)).collect()
}

#[test]
fn what_its_own_servers_bear_stays_in_a_failure_domain() {
    let domains = [domain("a", "x", 60, 10), domain("b", "x", 60, 10), domain("c", "y", 60, 10)];
    assert_eq!(sent(&domains, "a"), [100, 0, 0]);
    assert_eq!(sent(&domains, "c"), [0, 0, 100]);
}

#[test]
fn the_rest_goes_to_the_own_region_first_and_then_further() {
    // A tenth of the slots bears twelve hundredths of all requests, of a third that come there.
    let domains = [domain("a", "x", 10, 10), domain("b", "x", 60, 10), domain("c", "y", 30, 10)];
    assert_eq!(sent(&domains, "a"), [36, 64, 0]);
    assert_eq!(sent(&domains, "b"), [0, 100, 0]);
    // Here nobody else in the region has room for the rest.
    let domains = [domain("a", "x", 10, 10), domain("b", "x", 10, 10), domain("c", "y", 80, 10)];
    assert_eq!(sent(&domains, "a"), [36, 0, 64]);
}

#[test]
fn requests_that_move_to_a_failure_domain_move_on_to_where_there_is_room() {
    let even = [domain("a", "x", 50, 10), domain("b", "x", 50, 10), domain("c", "y", 50, 10)];
    let moved = [domain("a", "x", 50, 28), domain("b", "x", 50, 1), domain("c", "y", 50, 1)];
    assert_eq!(sent(&even, "a"), [100, 0, 0]);
    assert_eq!(sent(&moved, "a"), [43, 39, 18]);
}

#[test]
fn a_failure_domain_without_servers_or_without_word_of_requests_still_sends_somewhere() {
    let domains = [domain("a", "x", 0, 10), domain("b", "x", 60, 0), domain("c", "y", 60, 0)];
    assert_eq!(sent(&domains, "a"), [0, 60, 40]);
    let silent = domains.map(|domain| locality::DomainLoad { demand: 0, ..domain });
    assert_eq!(sent(&silent, "b"), [0, 100, 0]);
    assert!(locality::domain_weights(&[], &"a".parse().expect("a valid name")).is_empty());
    let stranger: id::FailureDomainId = "z".parse().expect("a valid name");
    assert!(locality::domain_weights(&silent, &stranger).iter().all(|pull| pull.slot_weight >= 1));
}

/// Whatever slots and demand, no failure domain is sent more than its fill.
#[test]
fn nobody_is_sent_more_than_its_share_of_slots_and_a_fifth() {
    for seed in 1..500_u64 {
        let number = |salt: u64| (seed * 7_919 + salt * 104_729) % 97;
        let domains: Vec<locality::DomainLoad> = (0..6)
            .map(|n| domain(&format!("d{n}"), &format!("r{}", n % 3), number(n) + 1, number(n + 9)))
            .collect();
        let slots: u64 = domains.iter().map(|domain| domain.slots).sum();
        let demand: u64 = domains.iter().map(|domain| domain.demand).sum();
        let mut borne = [0.0; 6];
        for from in &domains {
            let shares = sent(&domains, from.failure_domain.as_str());
            for (at, share) in shares.iter().enumerate() {
                borne[at] += from.demand as f64 * *share as f64 / 100.0 / demand as f64;
            }
        }
        for (domain, borne) in domains.iter().zip(borne) {
            let fill = 1.2 * domain.slots as f64 / slots as f64;
            // A whole percent of each sender is lost to rounding.
            assert!(borne <= fill + 0.04, "seed {seed}: {borne} of {fill}");
        }
    }
}
