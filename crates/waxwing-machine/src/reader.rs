//! Which machine of a region reads the store for the others, and when another reads by itself.
//!
//! Calls to the store, and the bytes that it lists, would otherwise grow with the fleet. Nothing
//! rests on all machines agreeing: two that read cost a few calls more, and where nobody does, each
//! machine's patience ends soon.

use std::time;

use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

/// What the rendezvous is about.
const OBJECT: &str = "reads the store";

/// How much longer than a reader a machine waits before it reads by itself, in percent.
const PATIENCE_PERCENT: u32 = 190;

/// Returns the machine that reads the store, of those that can be reached.
pub fn reader<'a>(machines: impl Iterator<Item = &'a id::VmId>) -> Option<&'a id::VmId> {
    machines.max_by_key(|vm| (rendezvous::weight(OBJECT, vm.as_str()), *vm))
}

/// Returns how long until a machine has to read the store by itself, which readers do each
/// `interval`; `known_at` is when the store was asked for what the machine knows.
pub fn own_reading_in(
    now: units_time::MonoInstant,
    known_at: Option<units_time::MonoInstant>,
    interval: time::Duration,
    is_reader: bool,
) -> time::Duration {
    let Some(known_at) = known_at else {
        return time::Duration::ZERO;
    };
    let patience = if is_reader { interval } else { interval * PATIENCE_PERCENT / 100 };
    patience.saturating_sub(now.since(known_at))
}
