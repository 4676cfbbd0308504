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
const PATIENCE_PERCENT: u32 = 200;

/// How often a reader asks the store within the time in which a change has to be known.
pub const READS_PER_BOUND: u32 = 4;

/// How long a call of the store may take.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// How soon the store is asked again.
const RETRY_SOON: time::Duration = time::Duration::from_millis(200);

/// How soon the store is asked again by a machine that does not read it for others, once it has
/// failed several times.
const RETRY_LATER: time::Duration = time::Duration::from_millis(800);

/// Failures after which all machines ask again soon.
const SOON_MAX: u32 = 2;

/// Returns the machine that reads the store, of those that can be reached.
pub fn elect<'a>(machines: impl Iterator<Item = &'a id::VmId>) -> Option<&'a id::VmId> {
    machines.max_by_key(|vm| (rendezvous::weight(OBJECT, vm.as_str()), *vm))
}

/// Returns how long until a machine has to read the store by itself, which readers do each
/// `interval`; `known_at` is when the store was asked for what the machine knows.
pub fn direct_read_in(
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

/// Returns how long until the store is asked again after it did not answer `failed` times in a row.
///
/// One lost call must not make a change known too late, so the first pauses are short. Later ones
/// are long for all but the reader, which the others then hear from.
pub fn retry_backoff(failed: u32, is_reader: bool) -> time::Duration {
    match is_reader || failed <= SOON_MAX {
        true => RETRY_SOON,
        false => RETRY_LATER,
    }
}
