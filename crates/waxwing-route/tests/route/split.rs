//! Tests that requests are split among services by weight.

use waxwing_route::route;
use waxwing_route::split;

fn weighted(service: &str, weight: u32) -> route::WeightedService {
    route::WeightedService { service: service.parse().expect("a valid name"), weight }
}

#[test]
fn each_service_is_within_one_and_a_half_requests_of_its_share_at_any_time() {
    let services = [weighted("a", 90), weighted("b", 7), weighted("c", 3)];
    let mut round_robin = split::WeightedRoundRobin::default();
    let mut counts = [0_u32; 3];
    for sent in 1..=1_000_u32 {
        let service = round_robin.next(&services).expect("a service");
        let at = services
            .iter()
            .position(|candidate| candidate.service == service)
            .expect("one of the services");
        counts[at] += 1;
        for (count, candidate) in counts.iter().zip(&services) {
            let share = f64::from(sent * candidate.weight) / 100.0;
            assert!((f64::from(*count) - share).abs() <= 1.5, "{count} of {sent}, share {share}");
        }
    }
    assert_eq!(counts, [900, 70, 30]);
}

#[test]
fn a_service_without_weight_gets_no_requests() {
    let services = [weighted("a", 0), weighted("b", 5)];
    let mut round_robin = split::WeightedRoundRobin::default();
    assert!((0..100).all(|_| round_robin.next(&services).expect("a service").as_str() == "b"));
    assert_eq!(
        split::WeightedRoundRobin::default().next(&[weighted("a", 0), weighted("b", 0)]),
        None
    );
    assert_eq!(split::WeightedRoundRobin::default().next(&[]), None);
}

#[test]
fn weights_may_change_between_requests() {
    let mut round_robin = split::WeightedRoundRobin::default();
    let count = |round_robin: &mut split::WeightedRoundRobin,
                 services: &[route::WeightedService]| {
        (0..100).filter(|_| round_robin.next(services).expect("a service").as_str() == "a").count()
    };
    assert_eq!(count(&mut round_robin, &[weighted("a", 1), weighted("b", 3)]), 25);
    assert_eq!(count(&mut round_robin, &[weighted("a", 3), weighted("b", 1)]), 75);
    assert_eq!(count(&mut round_robin, &[weighted("a", 1), weighted("c", 1)]), 50);
}
