//! Records in force never go back, whoever brings an older set.

use waxwing_keeper::records;
use waxwing_units::id;
use waxwing_units::time as units_time;

fn agreed(revision: u64) -> records::Agreed {
    records::Agreed { revision: id::Revision(revision), ..Default::default() }
}

#[test]
fn only_a_higher_revision_comes_into_force() {
    let records = records::Records::default();
    for (revision, is_taken) in [(5, true), (5, false), (4, false), (7, true), (6, false)] {
        assert_eq!(records.advance(agreed(revision)).is_some(), is_taken, "{revision}");
    }
    assert_eq!(records.get().revision, id::Revision(7));
}

#[test]
fn records_that_are_behind_are_not_confirmed() {
    let records = records::Records::default();
    let at = units_time::MonoInstant(9);
    assert!(records.advance(agreed(5)).is_some());
    records.confirm(id::Revision(6), at);
    assert_eq!(records.confirmed_at(), None, "revision 6 is known to be newer");
    assert!(records.advance(agreed(6)).is_some());
    assert_eq!(records.confirmed_at(), Some(at));
    records.confirm(id::Revision(6), units_time::MonoInstant(8));
    assert_eq!(records.confirmed_at(), Some(at), "older news change nothing");
}
