//! Seats: which machine holds which part of a contract, and when another machine may take it over.
//!
//! A seat is a hash slot. Each failure domain has a fixed number of them, and the hash of an
//! organisation's name selects its seat. The machine that has a seat holds the floor parts of the
//! seat's organisations in that failure domain, and the base parts of those whose home it is. One
//! record per failure domain lists the machine of each seat; it is changed by compare-and-swap.
//!
//! A seat changes its holder in two ways only. Either the holder releases it: it stops using the
//! parts, and then writes the record. Or another machine takes it over, when the platform's list of
//! machines no longer contains the holder *and* nothing was received from the holder for longer
//! than a process may stall without confirming its seats. This relies on the platform: a machine
//! missing from the list has ended or is suspended, and its name is never reused.

use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::contract;
use crate::options;

/// The number of seats of each failure domain.
pub const SEATS_PER_FAILURE_DOMAIN: usize = 16;

/// How long beyond [`options::Options::stall_max`] a holder must have been silent before its seat
/// is taken over.
const TAKEOVER_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Which machines hold the parts of a contract, according to the seat records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holders {
    /// The holder of the base part.
    pub base: Option<id::VmId>,
    /// The holders of floor parts, sorted by failure domain.
    pub floors: Vec<(id::FailureDomainId, id::VmId)>,
}

impl Holders {
    /// Returns the holder of the floor part of `failure_domain`.
    pub fn floor(&self, failure_domain: &id::FailureDomainId) -> Option<&id::VmId> {
        let at = self.floors.binary_search_by(|(domain, _)| domain.cmp(failure_domain)).ok()?;
        Some(&self.floors[at].1)
    }
}

/// The seat record of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatTable {
    /// The failure domain that the seats belong to.
    pub failure_domain: id::FailureDomainId,
    /// The holder of each seat, by the index of the seat.
    pub holders: Vec<Option<id::VmId>>,
}

impl SeatTable {
    /// Creates the table of a failure domain in which all seats are free.
    pub fn vacant(failure_domain: id::FailureDomainId) -> Self {
        Self { failure_domain, holders: vec![None; SEATS_PER_FAILURE_DOMAIN] }
    }

    /// Returns the holder of the seat of `organisation`.
    pub fn holder(&self, organisation: &id::OrganisationId) -> Option<&id::VmId> {
        self.holders.get(seat_index(organisation))?.as_ref()
    }
}

/// Returns the index of the seat of `organisation`, in every failure domain.
pub fn seat_index(organisation: &id::OrganisationId) -> usize {
    let seats = SEATS_PER_FAILURE_DOMAIN as u64;
    (rendezvous::hash(organisation.as_str()) % seats) as usize
}

/// Returns the holders of the parts of `contract`; `tables` are sorted by failure domain.
pub fn holders_of(contract: &contract::Contract, tables: &[SeatTable]) -> Holders {
    let holder_in = |domain: &id::FailureDomainId| {
        let at = tables.binary_search_by(|table| table.failure_domain.cmp(domain)).ok()?;
        tables[at].holder(&contract.organisation).cloned()
    };
    let floors = contract
        .floor_domains()
        .iter()
        .filter_map(|domain| Some((domain.clone(), holder_in(domain)?)))
        .collect();
    Holders { base: holder_in(&contract.home), floors }
}

/// What one machine knows about the liveness of another, for the decision to take over its seats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Liveness {
    /// When the last message arrived from it, or when this machine started.
    pub last_contact_at: units_time::MonoInstant,
    /// Whether the platform's list of machines, read after that, still contains it.
    pub is_listed: bool,
}

/// Returns whether the seats of a machine may be taken over.
pub fn may_take_over(
    options: &options::Options,
    now: units_time::MonoInstant,
    liveness: &Liveness,
) -> bool {
    let silence_min = units_time::extend_by_clock_drift(options.stall_max + TAKEOVER_MARGIN);
    !liveness.is_listed && now.since(liveness.last_contact_at) >= silence_min
}

/// Returns the table with all seats that `me` can claim, or `None` if there are none.
///
/// `candidates` are the machines, sorted, that rendezvous hashing divides the seats of the failure
/// domain among. `may_claim_from` returns whether the seats of a holder may be taken over.
pub fn claim(
    table: &SeatTable,
    me: &id::VmId,
    candidates: &[id::VmId],
    may_claim_from: impl Fn(&id::VmId) -> bool,
) -> Option<SeatTable> {
    let mut claimed = table.clone();
    claimed.holders.resize(SEATS_PER_FAILURE_DOMAIN, None);
    for (index, holder) in claimed.holders.iter_mut().enumerate() {
        let is_free = holder.as_ref().is_none_or(&may_claim_from);
        if is_free && preferred_holder(&table.failure_domain, index, candidates) == Some(me) {
            *holder = Some(me.clone());
        }
    }
    (claimed != *table).then_some(claimed)
}

/// Returns the table in which the seats of `me` are assigned to `successors`, or are free if there
/// are no successors; `None` if `me` has no seat.
///
/// The machine must have stopped using its parts before.
pub fn release(table: &SeatTable, me: &id::VmId, successors: &[id::VmId]) -> Option<SeatTable> {
    let mut released = table.clone();
    for (index, holder) in released.holders.iter_mut().enumerate() {
        if holder.as_ref() == Some(me) {
            *holder = preferred_holder(&table.failure_domain, index, successors).cloned();
        }
    }
    (released != *table).then_some(released)
}

fn preferred_holder<'a>(
    failure_domain: &id::FailureDomainId,
    index: usize,
    candidates: &'a [id::VmId],
) -> Option<&'a id::VmId> {
    let seat = format!("{failure_domain}/{index}");
    candidates.iter().max_by_key(|vm| rendezvous::weight(&seat, vm.as_str()))
}
