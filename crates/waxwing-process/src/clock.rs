//! The machine's monotonic clock and wall time.

use std::time;

use rustix::time as rustix_time;
use waxwing_units::time as units_time;

/// Returns the time of the monotonic clock (`CLOCK_BOOTTIME`), which includes time in suspend.
pub fn now() -> units_time::MonoInstant {
    let timespec = rustix_time::clock_gettime(rustix_time::ClockId::Boottime);
    let seconds = u64::try_from(timespec.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(timespec.tv_nsec).unwrap_or(0);
    units_time::MonoInstant(seconds * 1_000_000_000 + nanos)
}

/// Returns the wall time in milliseconds since the Unix epoch, or zero if it is before the epoch.
pub fn wall_ms() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since_epoch.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
