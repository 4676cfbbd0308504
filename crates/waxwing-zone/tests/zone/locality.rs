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

/// Returns what failure domain `own` sends to each one, in percent of all that it sends.
fn sent(domains: &[locality::DomainLoad], own: &str) -> Vec<u64> {
    let own: id::FailureDomainId = own.parse().expect("a valid name");
    let slot_weights = locality::domain_weights(domains, &own);
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
    assert!(locality::domain_weights(&[], &"a".parse().expect("a valid name")).is_empty());
    let unlisted: id::FailureDomainId = "z".parse().expect("a valid name");
    assert!(
        locality::domain_weights(&without_demand, &unlisted)
            .iter()
            .all(|weight| weight.slot_weight >= 1)
    );
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
