//! Which machine holds which part, and when a seat may be taken over.
//!
//! Each failure domain has a fixed number of seats. An organisation belongs to one of them by
//! the hash of its name. The holder of a seat holds the floor parts of the seat's organisations
//! in that failure domain, and the base parts of those whose home it is. One record per failure
//! domain says which machine has which seat; it is changed by compare-and-swap.
//!
//! A seat changes hands in two ways only. Its holder gives it up: it stops using the parts, and
//! then writes the record. Or another machine takes it over, when the platform's list of machines
//! does not name the holder any more *and* nothing was heard from it for longer than a machine
//! may stand still without confirming its seats. The platform is relied upon for this: a machine
//! that is missing from the list has ended or stands still, and its name is never used again.

use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::account;
use crate::contract;
use crate::options;

/// Seats of each failure domain.
pub const SEATS_PER_FAILURE_DOMAIN: usize = 16;

/// How long beyond the fence a holder must have been silent before its seat is taken over.
const TAKEOVER_MARGIN: time::Duration = time::Duration::from_secs(2);

/// The seats of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatTable {
    /// The failure domain.
    pub failure_domain: id::FailureDomainId,
    /// The holder of each seat, by the seat's index.
    pub holders: Vec<Option<id::VmId>>,
}

impl SeatTable {
    /// Creates the table of a failure domain where no seat is taken.
    pub fn vacant(failure_domain: id::FailureDomainId) -> Self {
        Self { failure_domain, holders: vec![None; SEATS_PER_FAILURE_DOMAIN] }
    }

    /// Returns the holder of the seat that `organisation` belongs to.
    pub fn holder(&self, organisation: &id::OrganisationId) -> Option<&id::VmId> {
        self.holders.get(seat_index(organisation))?.as_ref()
    }
}

/// Returns the index of the seat that `organisation` belongs to.
pub fn seat_index(organisation: &id::OrganisationId) -> usize {
    let seats = SEATS_PER_FAILURE_DOMAIN as u64;
    (rendezvous::hash(organisation.as_str()) % seats) as usize
}

/// Returns who holds the parts of `contract`, given all tables sorted by failure domain.
pub fn holders_of(contract: &contract::Contract, tables: &[SeatTable]) -> account::Holders {
    let holder_in = |domain: &id::FailureDomainId| {
        let at = tables.binary_search_by(|table| table.failure_domain.cmp(domain)).ok()?;
        tables[at].holder(&contract.organisation).cloned()
    };
    let floors = contract
        .floor_domains()
        .iter()
        .filter_map(|domain| Some((domain.clone(), holder_in(domain)?)))
        .collect();
    account::Holders { base: holder_in(&contract.home), floors }
}

/// What a machine knows of another one when it thinks about taking over a seat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Liveness {
    /// When anything was last heard from it, or when this machine started.
    pub last_contact_at: units_time::MonoInstant,
    /// Whether the platform's list, read after that, still names it.
    pub is_listed: bool,
}

/// Tells whether the seats of a machine may be taken over.
pub fn may_take_over(
    options: &options::Options,
    now: units_time::MonoInstant,
    sighting: &Liveness,
) -> bool {
    let silence = units_time::extend_by_clock_drift(options.fence + TAKEOVER_MARGIN);
    !sighting.is_listed && now.since(sighting.last_contact_at) >= silence
}

/// Returns the table with the seats that `me` takes, or none where it takes none.
///
/// `candidates` are the machines among which the failure domain's seats are shared out, sorted;
/// `free` tells whether a holder's seats may be taken over.
pub fn claim(
    table: &SeatTable,
    me: &id::VmId,
    candidates: &[id::VmId],
    free: impl Fn(&id::VmId) -> bool,
) -> Option<SeatTable> {
    let mut claimed = table.clone();
    claimed.holders.resize(SEATS_PER_FAILURE_DOMAIN, None);
    for (index, holder) in claimed.holders.iter_mut().enumerate() {
        let is_free = holder.as_ref().is_none_or(&free);
        if is_free && preferred(&table.failure_domain, index, candidates) == Some(me) {
            *holder = Some(me.clone());
        }
    }
    (claimed != *table).then_some(claimed)
}

/// Returns the table in which the seats of `me` go to `heirs`, or are free where there are none;
/// none where `me` has no seat.
///
/// The machine must have stopped using its parts before.
pub fn release(table: &SeatTable, me: &id::VmId, heirs: &[id::VmId]) -> Option<SeatTable> {
    let mut given_up = table.clone();
    for (index, holder) in given_up.holders.iter_mut().enumerate() {
        if holder.as_ref() == Some(me) {
            *holder = preferred(&table.failure_domain, index, heirs).cloned();
        }
    }
    (given_up != *table).then_some(given_up)
}

fn preferred<'a>(
    failure_domain: &id::FailureDomainId,
    index: usize,
    candidates: &'a [id::VmId],
) -> Option<&'a id::VmId> {
    let seat = format!("{failure_domain}/{index}");
    candidates.iter().max_by_key(|vm| rendezvous::weight(&seat, vm.as_str()))
}
