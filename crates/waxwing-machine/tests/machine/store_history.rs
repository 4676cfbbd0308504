//! Restorations of the store, as a machine that runs or starts observes them.

use std::time;

use waxwing_machine::server_set;
use waxwing_machine::store_history;
use waxwing_units::id;
use waxwing_units::time as units_time;

fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

/// Regression: a machine that started right after a restoration confirmed an older configuration, in
/// which a withdrawn key was still valid.
#[test]
fn a_machine_that_starts_in_a_later_era_takes_the_store_for_unsettled() {
    let mut history = store_history::StoreHistory::default();
    assert!(history.enter_era(at_ms(100), id::StoreEra(3)));
    assert_eq!(history.unsettled_since(at_ms(200)), Some(at_ms(100)));
    let settled_at = at_ms(101).after(server_set::REREGISTRATION_MAX);
    assert_eq!(history.unsettled_since(settled_at), None);
    assert!(!history.enter_era(settled_at, id::StoreEra(3)), "the era goes on");
}

#[test]
fn a_store_in_its_first_era_has_lost_nothing() {
    for era in [id::StoreEra::default(), id::StoreEra::FIRST] {
        let mut history = store_history::StoreHistory::default();
        assert!(!history.enter_era(at_ms(100), era));
        assert_eq!(history.unsettled_since(at_ms(100)), None);
    }
}
