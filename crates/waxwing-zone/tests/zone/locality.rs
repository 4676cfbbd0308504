//! Tests of the distribution of requests over the backend servers of failure domains.

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

/// Returns what failure domain `own` sends to each one if requests should stay in it, in percent of
/// all that it sends.
fn sent(domains: &[locality::DomainLoad], own: &str) -> Vec<u64> {
    sent_by(domains, own, locality::Preference::FailureDomain)
}

fn sent_by(
    domains: &[locality::DomainLoad],
    own: &str,
    preference: locality::Preference,
) -> Vec<u64> {
    let own: id::FailureDomainId = own.parse().expect("a valid name");
    let slot_weights = locality::domain_weights(domains, &own, preference);
    let weights: Vec<u64> = domains
        .iter()
        .zip(&slot_weights)
        .map(|(domain, weight)| domain.slots * u64::from(weight.slot_weight))
        .collect();
    let sum: u64 = weights.iter().sum();
    weights.iter().map(|weight| (weight * 100 + sum / 2) / sum.max(1)).collect()
}

#[test]
fn requests_stay_in_their_failure_domain_within_its_capacity() {
    let domains = [domain("a", "x", 60, 10), domain("b", "x", 60, 10), domain("c", "y", 60, 10)];
    assert_eq!(sent(&domains, "a"), [100, 0, 0]);
    assert_eq!(sent(&domains, "c"), [0, 0, 100]);
}

#[test]
fn the_excess_goes_to_the_own_region_first_and_then_to_others() {
    // A tenth of the slots has capacity for 12 % of all requests; a third of them arrive there.
    let domains = [domain("a", "x", 10, 10), domain("b", "x", 60, 10), domain("c", "y", 30, 10)];
    assert_eq!(sent(&domains, "a"), [36, 64, 0]);
    assert_eq!(sent(&domains, "b"), [0, 100, 0]);
    // No other failure domain of the region has capacity for the excess.
    let domains = [domain("a", "x", 10, 10), domain("b", "x", 10, 10), domain("c", "y", 80, 10)];
    assert_eq!(sent(&domains, "a"), [36, 0, 64]);
}

#[test]
fn requests_that_shift_to_a_failure_domain_overflow_to_spare_capacity() {
    let even = [domain("a", "x", 50, 10), domain("b", "x", 50, 10), domain("c", "y", 50, 10)];
    let shifted = [domain("a", "x", 50, 28), domain("b", "x", 50, 1), domain("c", "y", 50, 1)];
    assert_eq!(sent(&even, "a"), [100, 0, 0]);
    assert_eq!(sent(&shifted, "a"), [43, 39, 18]);
}

#[test]
fn a_failure_domain_without_servers_or_known_demand_still_gets_weights() {
    let domains = [domain("a", "x", 0, 10), domain("b", "x", 60, 0), domain("c", "y", 60, 0)];
    assert_eq!(sent(&domains, "a"), [0, 60, 40]);
    let without_demand = domains.map(|domain| locality::DomainLoad { demand: 0, ..domain });
    assert_eq!(sent(&without_demand, "b"), [0, 100, 0]);
    assert!(
        locality::domain_weights(
            &[],
            &"a".parse().expect("a valid name"),
            locality::Preference::Region
        )
        .is_empty()
    );
    let unlisted: id::FailureDomainId = "z".parse().expect("a valid name");
    assert!(
        locality::domain_weights(&without_demand, &unlisted, locality::Preference::FailureDomain)
            .iter()
            .all(|weight| weight.slot_weight >= 1)
    );
}

#[test]
fn all_failure_domains_of_a_region_agree_on_servers_and_stay_in_it_within_its_capacity() {
    let by_region = |domains: &[locality::DomainLoad], own: &str| {
        sent_by(domains, own, locality::Preference::Region)
    };
    let domains = [domain("a", "x", 30, 10), domain("b", "x", 30, 90), domain("c", "y", 30, 10)];
    assert_eq!(by_region(&domains, "a"), [50, 50, 0]);
    assert_eq!(by_region(&domains, "b"), [50, 50, 0]);
    assert_eq!(by_region(&domains, "c"), [0, 0, 100]);
    // Region y has a tenth of the slots, capacity for 12 % of all requests, and a third of them.
    let small = [domain("a", "x", 45, 1), domain("b", "x", 45, 1), domain("c", "y", 10, 1)];
    assert_eq!(by_region(&small, "a"), [50, 50, 0]);
    assert_eq!(by_region(&small, "c"), [32, 32, 36]);
}

#[test]
fn demand_that_changes_moves_no_object_to_another_region() {
    let quiet = [domain("a", "x", 45, 5), domain("b", "x", 45, 5), domain("c", "y", 10, 5)];
    for demand in [0, 50, 5_000] {
        let busy = quiet.clone().map(|load| match load.failure_domain.as_str() {
            "c" => locality::DomainLoad { demand, ..load },
            _ => load,
        });
        let weights = |domains: &[locality::DomainLoad]| {
            let own = "c".parse().expect("a valid name");
            locality::domain_weights(domains, &own, locality::Preference::Region)
        };
        assert_eq!(weights(&busy), weights(&quiet), "demand {demand}");
    }
}

/// Whatever the slots and demand, no failure domain receives more than its capacity.
#[test]
fn no_failure_domain_receives_more_than_its_share_of_slots_and_a_fifth() {
    for seed in 1..500_u64 {
        let number = |salt: u64| (seed * 7_919 + salt * 104_729) % 97;
        let domains: Vec<locality::DomainLoad> = (0..6)
            .map(|n| domain(&format!("d{n}"), &format!("r{}", n % 3), number(n) + 1, number(n + 9)))
            .collect();
        let slots: u64 = domains.iter().map(|domain| domain.slots).sum();
        let demand: u64 = domains.iter().map(|domain| domain.demand).sum();
        let mut received = [0.0; 6];
        for from in &domains {
            let shares = sent(&domains, from.failure_domain.as_str());
            for (at, share) in shares.iter().enumerate() {
                received[at] += from.demand as f64 * *share as f64 / 100.0 / demand as f64;
            }
        }
        for (domain, received) in domains.iter().zip(received) {
            let capacity = 1.2 * domain.slots as f64 / slots as f64;
            // Rounding loses up to one percent for each sender.
            assert!(received <= capacity + 0.04, "seed {seed}: {received} of {capacity}");
        }
    }
}
