//! The current records are never replaced by older ones, whatever their source.

use waxwing_keeper::records;
use waxwing_units::id;
use waxwing_units::time as units_time;

fn record_set(revision: u64) -> records::RecordSet {
    records::RecordSet { revision: id::Revision(revision), ..Default::default() }
}

#[test]
fn only_a_higher_revision_becomes_current() {
    let records = records::Records::default();
    for (revision, is_accepted) in [(5, true), (5, false), (4, false), (7, true), (6, false)] {
        assert_eq!(
            records.replace_if_newer(record_set(revision)).is_some(),
            is_accepted,
            "{revision}"
        );
    }
    assert_eq!(records.current().revision, id::Revision(7));
}

#[test]
fn records_behind_the_newest_revision_are_not_confirmed() {
    let records = records::Records::default();
    let at = units_time::MonoInstant(9);
    assert!(records.replace_if_newer(record_set(5)).is_some());
    records.confirm(id::Revision(6), at);
    assert_eq!(records.confirmed_at(), None, "revision 6 is known to be newer");
    assert!(records.replace_if_newer(record_set(6)).is_some());
    assert_eq!(records.confirmed_at(), Some(at));
    records.confirm(id::Revision(6), units_time::MonoInstant(8));
    assert_eq!(records.confirmed_at(), Some(at), "an older confirmation has no effect");
}
