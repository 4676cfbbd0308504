//! The machine's clocks.

use std::time;

use rustix::time as rustix_time;
use waxwing_units::time as units_time;

/// Returns the machine's monotonic clock, which runs on while the machine is suspended.
pub fn now() -> units_time::MonoInstant {
    let shown = rustix_time::clock_gettime(rustix_time::ClockId::Boottime);
    let seconds = u64::try_from(shown.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(shown.tv_nsec).unwrap_or(0);
    units_time::MonoInstant(seconds * 1_000_000_000 + nanos)
}

/// Returns wall time, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since_epoch.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
