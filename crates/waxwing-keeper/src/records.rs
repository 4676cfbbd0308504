//! The records in force on this machine.

use std::sync;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use waxwing_contract::seat;
use waxwing_platform::store;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// The seats of a failure domain and the revision of their record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatsAt {
    /// The revision of the record.
    pub revision: id::Revision,
    /// The seats.
    pub table: seat::SeatTable,
}

/// All that machines agree on, at one revision of the platform's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    /// The revision of the store.
    pub revision: id::Revision,
    /// The operators' records.
    pub snapshot: snapshot::Snapshot,
    /// The seats of each failure domain, sorted.
    pub seats: Vec<SeatsAt>,
}

impl Agreed {
    /// Reads what was listed in the store; a seat record that can't be read is passed over.
    pub fn read(listing: &store::Listing) -> Self {
        let stored: Vec<snapshot::StoredValue> =
            listing.entries.iter().filter_map(stored).collect();
        let mut seats: Vec<SeatsAt> = listing.entries.iter().filter_map(seats_at).collect();
        seats.sort_by(|a, b| a.table.failure_domain.cmp(&b.table.failure_domain));
        let snapshot = snapshot::Snapshot::read(listing.revision, &stored);
        Self { revision: listing.revision, snapshot, seats }
    }

    /// Returns the seat tables, sorted by failure domain.
    pub fn tables(&self) -> Vec<seat::SeatTable> {
        self.seats.iter().map(|at| at.table.clone()).collect()
    }

    /// Returns the seats of `failure_domain`; revision zero where there is no record.
    pub fn seats_of(&self, failure_domain: &id::FailureDomainId) -> SeatsAt {
        let is_it = |at: &&SeatsAt| at.table.failure_domain == *failure_domain;
        self.seats.iter().find(is_it).cloned().unwrap_or_else(|| SeatsAt {
            revision: id::Revision(0),
            table: seat::SeatTable::vacant(failure_domain.clone()),
        })
    }
}

fn stored(entry: &store::Entry) -> Option<snapshot::StoredValue> {
    let path = entry.key.strip_prefix(store::RECORDS_PREFIX)?;
    let value = entry.value.get("record").cloned().unwrap_or_default();
    Some(snapshot::StoredValue { path: path.to_owned(), revision: entry.revision, value })
}

fn seats_at(entry: &store::Entry) -> Option<SeatsAt> {
    entry.key.strip_prefix(store::SEATS_PREFIX)?;
    let table: seat::SeatTable = serde_json::from_value(entry.value.clone()).ok()?;
    Some(SeatsAt { revision: entry.revision, table })
}

/// The records in force, replaced as a whole and only by a higher revision.
#[derive(Debug, Default)]
pub struct Records {
    agreed: Mutex<sync::Arc<Agreed>>,
    confirmed: Mutex<Option<Confirmed>>,
}

/// When a revision was known to be the store's newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Confirmed {
    revision: id::Revision,
    at: units_time::MonoInstant,
}

impl Records {
    /// Returns what is in force.
    pub fn get(&self) -> sync::Arc<Agreed> {
        self.agreed.lock().clone()
    }

    /// Notes that `revision` was the store's newest at `at`.
    pub fn confirm(&self, revision: id::Revision, at: units_time::MonoInstant) {
        let mut confirmed = self.confirmed.lock();
        let known = confirmed.map(|known| (known.revision, known.at));
        if known < Some((revision, at)) {
            *confirmed = Some(Confirmed { revision, at });
        }
    }

    /// Returns when the records in force were last known to be the store's newest.
    pub fn confirmed_at(&self) -> Option<units_time::MonoInstant> {
        let in_force = self.get().revision;
        let confirmed = *self.confirmed.lock();
        confirmed.filter(|known| known.revision <= in_force).map(|known| known.at)
    }

    /// Puts `agreed` in force unless something as new is in force already.
    pub fn advance(&self, agreed: Agreed) -> Option<sync::Arc<Agreed>> {
        let mut current = self.agreed.lock();
        if agreed.revision <= current.revision {
            return None;
        }
        *current = sync::Arc::new(agreed);
        Some(current.clone())
    }
}
