//! The record set that is current on this machine.

use std::sync;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use waxwing_contract::seat;
use waxwing_platform::store;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// The seat table of a failure domain and the revision of its stored value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedSeatTable {
    /// The store revision of the table, which a compare-and-swap write has to expect.
    pub revision: id::Revision,
    /// The holders of the seats.
    pub table: seat::SeatTable,
}

/// The content of the platform's store at one revision: operators' records and seat tables.
///
/// Machines that have the same revision have the same content.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSet {
    /// The revision of the whole store.
    pub revision: id::Revision,
    /// The operators' records.
    pub snapshot: snapshot::Snapshot,
    /// The seat tables, sorted by failure domain.
    pub seats: Vec<VersionedSeatTable>,
}

impl RecordSet {
    /// Decodes a listing of the store; seat tables that can't be decoded are skipped.
    pub fn from_listing(listing: &store::Listing) -> Self {
        let stored: Vec<snapshot::StoredValue> =
            listing.entries.iter().filter_map(parse_record).collect();
        let mut seats: Vec<VersionedSeatTable> =
            listing.entries.iter().filter_map(parse_seat_table).collect();
        seats.sort_by(|a, b| a.table.failure_domain.cmp(&b.table.failure_domain));
        let snapshot = snapshot::Snapshot::read(listing.revision, &stored);
        Self { revision: listing.revision, snapshot, seats }
    }

    /// Returns the seat tables, sorted by failure domain.
    pub fn seat_tables(&self) -> Vec<seat::SeatTable> {
        self.seats.iter().map(|versioned| versioned.table.clone()).collect()
    }

    /// Returns the seat table of `failure_domain`; an empty one of revision zero if none is stored.
    pub fn seats_of(&self, failure_domain: &id::FailureDomainId) -> VersionedSeatTable {
        let is_in_domain =
            |versioned: &&VersionedSeatTable| versioned.table.failure_domain == *failure_domain;
        self.seats.iter().find(is_in_domain).cloned().unwrap_or_else(|| VersionedSeatTable {
            revision: id::Revision(0),
            table: seat::SeatTable::vacant(failure_domain.clone()),
        })
    }
}

fn parse_record(entry: &store::Entry) -> Option<snapshot::StoredValue> {
    let path = entry.key.strip_prefix(store::RECORDS_PREFIX)?;
    let value = entry.value.get("record").cloned().unwrap_or_default();
    Some(snapshot::StoredValue { path: path.to_owned(), revision: entry.revision, value })
}

fn parse_seat_table(entry: &store::Entry) -> Option<VersionedSeatTable> {
    entry.key.strip_prefix(store::SEATS_PREFIX)?;
    let table: seat::SeatTable = serde_json::from_value(entry.value.clone()).ok()?;
    Some(VersionedSeatTable { revision: entry.revision, table })
}

/// The current record set, which is replaced as a whole and only by a higher revision, and the
/// newest confirmation.
#[derive(Debug, Default)]
pub struct Records {
    record_set: Mutex<sync::Arc<RecordSet>>,
    confirmation: Mutex<Option<Confirmation>>,
}

/// A time at which a revision was the store's newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Confirmation {
    revision: id::Revision,
    at: units_time::MonoInstant,
}

impl Records {
    /// Returns the current record set.
    pub fn current(&self) -> sync::Arc<RecordSet> {
        self.record_set.lock().clone()
    }

    /// Records that `revision` was the store's newest at `at`; older confirmations have no effect.
    pub fn confirm(&self, revision: id::Revision, at: units_time::MonoInstant) {
        let mut confirmation = self.confirmation.lock();
        let known = confirmation.map(|known| (known.revision, known.at));
        if known < Some((revision, at)) {
            *confirmation = Some(Confirmation { revision, at });
        }
    }

    /// Returns when the current records were last confirmed to be the store's newest; `None` if a
    /// newer revision is known to exist.
    pub fn confirmed_at(&self) -> Option<units_time::MonoInstant> {
        let current_revision = self.current().revision;
        let confirmation = *self.confirmation.lock();
        confirmation.filter(|known| known.revision <= current_revision).map(|known| known.at)
    }

    /// Makes `record_set` current and returns it, unless the current one has the same or a
    /// higher revision.
    pub fn replace_if_newer(&self, record_set: RecordSet) -> Option<sync::Arc<RecordSet>> {
        let mut current = self.record_set.lock();
        if record_set.revision <= current.revision {
            return None;
        }
        *current = sync::Arc::new(record_set);
        Some(current.clone())
    }
}
