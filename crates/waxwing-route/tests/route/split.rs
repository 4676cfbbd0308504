//! Shares by weight.

use waxwing_route::route;
use waxwing_route::split;

fn part(service: &str, weight: u32) -> route::WeightedService {
    route::WeightedService { service: service.parse().expect("a valid name"), weight }
}

#[test]
fn at_any_time_each_part_is_within_one_request_of_its_share() {
    let parts = [part("a", 90), part("b", 7), part("c", 3)];
    let mut turns = split::WeightedRoundRobin::default();
    let mut counts = [0_u32; 3];
    for sent in 1..=1_000_u32 {
        let service = turns.next(&parts).expect("a part");
        let at = parts.iter().position(|part| part.service == service).expect("one of the parts");
        counts[at] += 1;
        for (count, part) in counts.iter().zip(&parts) {
            let share = f64::from(sent * part.weight) / 100.0;
            assert!((f64::from(*count) - share).abs() <= 1.5, "{count} of {sent}, share {share}");
        }
    }
    assert_eq!(counts, [900, 70, 30]);
}

#[test]
fn a_part_without_weight_gets_nothing() {
    let parts = [part("a", 0), part("b", 5)];
    let mut turns = split::WeightedRoundRobin::default();
    assert!((0..100).all(|_| turns.next(&parts).expect("a part").as_str() == "b"));
    assert_eq!(split::WeightedRoundRobin::default().next(&[part("a", 0), part("b", 0)]), None);
    assert_eq!(split::WeightedRoundRobin::default().next(&[]), None);
}

#[test]
fn weights_may_change_in_between() {
    let mut turns = split::WeightedRoundRobin::default();
    let count = |turns: &mut split::WeightedRoundRobin, parts: &[route::WeightedService]| {
        (0..100).filter(|_| turns.next(parts).expect("a part").as_str() == "a").count()
    };
    assert_eq!(count(&mut turns, &[part("a", 1), part("b", 3)]), 25);
    assert_eq!(count(&mut turns, &[part("a", 3), part("b", 1)]), 75);
    assert_eq!(count(&mut turns, &[part("a", 1), part("c", 1)]), 50);
}
