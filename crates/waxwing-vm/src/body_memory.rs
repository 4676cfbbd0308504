//! Memory for the bodies of requests and responses, bounded over all of them together.

use std::sync;
use std::sync::atomic;

use waxwing_units::size;

/// The bytes that all bodies in memory take.
#[derive(Debug, Default)]
pub struct BodyMemory {
    used_bytes: atomic::AtomicU64,
}

/// The memory of one body, returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: sync::Arc<BodyMemory>,
    max: size::Bytes,
    reserved: size::Bytes,
}

impl BodyMemory {
    /// Returns an empty reservation, which can grow while all bodies take at most `max`.
    pub fn reservation(self: &sync::Arc<Self>, max: size::Bytes) -> Reservation {
        Reservation { memory: self.clone(), max, reserved: size::Bytes(0) }
    }

    /// Returns the bytes that all bodies take.
    pub fn used(&self) -> size::Bytes {
        size::Bytes(self.used_bytes.load(atomic::Ordering::Acquire))
    }
}

impl Reservation {
    /// Reserves `more`; returns false if all bodies then take too much.
    pub fn grow(&mut self, more: size::Bytes) -> bool {
        let used_before = self.memory.used_bytes.fetch_add(more.0, atomic::Ordering::AcqRel);
        self.reserved.0 += more.0;
        used_before + more.0 <= self.max.0
    }

    /// Returns the size of the reservation.
    pub const fn reserved(&self) -> size::Bytes {
        self.reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used_bytes.fetch_sub(self.reserved.0, atomic::Ordering::AcqRel);
    }
}
