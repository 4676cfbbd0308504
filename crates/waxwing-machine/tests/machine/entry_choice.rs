//! Tests of the choice of the entry VMs that a directory names.

use waxwing_machine::entry_choice;
use waxwing_units::bandwidth;

/// Returns the positions of the named ones among VMs with links of these bandwidths, sorted.
fn named(mbit_per_s: &[Option<u64>]) -> Vec<usize> {
    let candidate = |(vm, mbit): (usize, &Option<u64>)| {
        let link_bandwidth = mbit.map(|mbit| bandwidth::Bandwidth(mbit * 1_000));
        entry_choice::Candidate { vm, link_bandwidth }
    };
    let mut named =
        entry_choice::choose(mbit_per_s.iter().enumerate().map(candidate).collect::<Vec<_>>());
    named.sort_unstable();
    named
}

/// The most that a set of VMs carries if callers use them in equal parts.
fn carried(mbit_per_s: &[Option<u64>], named: &[usize]) -> u64 {
    let narrowest = named.iter().filter_map(|at| mbit_per_s[*at]).min().unwrap_or(0);
    narrowest * named.len() as u64
}

#[test]
fn narrow_links_beside_wide_ones_are_not_named_until_the_wide_ones_fail() {
    let (wide, narrow) = (Some(200), Some(10));
    assert_eq!(named(&[narrow, wide, narrow, wide, narrow]), [1, 3]);
    assert_eq!(named(&[narrow, narrow, wide]), [2]);
    assert_eq!(named(&[narrow, narrow, narrow]), [0, 1, 2]);
}

#[test]
fn many_narrow_links_are_named_where_they_carry_more_than_a_few_wide_ones() {
    let mut links = vec![Some(40)];
    links.extend([Some(10); 20]);
    assert_eq!(named(&links).len(), 21);
    assert_eq!(named(&[Some(1_000), Some(2_000), Some(1_000)]).len(), 3);
}

#[test]
fn machines_that_report_no_link_are_named_like_the_widest() {
    assert_eq!(named(&[None, None]), [0, 1]);
    assert_eq!(named(&[None, Some(10), Some(200)]), [0, 2]);
    assert!(named(&[]).is_empty());
}

#[test]
fn no_other_set_of_machines_carries_more() {
    for seed in 1..200_u64 {
        let links: Vec<Option<u64>> =
            (0..6).map(|n| Some((seed * 7_919 + n * 104_729) % 97 + 1)).collect();
        let best = carried(&links, &named(&links));
        for subset in 1..64_usize {
            let members: Vec<usize> = (0..6).filter(|at| subset & (1 << at) != 0).collect();
            assert!(carried(&links, &members) <= best, "seed {seed}: {members:?} of {links:?}");
        }
    }
}

#[test]
fn bandwidths_are_read_with_decimal_places_and_a_unit() {
    let parse = |text: &str| text.parse::<bandwidth::Bandwidth>();
    assert_eq!(parse("10.0 Mbit/s"), Ok(bandwidth::Bandwidth(10_000)));
    assert_eq!(parse("1Gbit/s").expect("a bandwidth").to_string(), "1Gbit/s");
    assert_eq!(parse("1500kbit/s").expect("a bandwidth").to_string(), "1500kbit/s");
    for text in ["10", "Mbit/s", "-1Mbit/s", "NaN Mbit/s", "infMbit/s", "10 MB/s"] {
        assert!(parse(text).is_err(), "{text}");
    }
}
