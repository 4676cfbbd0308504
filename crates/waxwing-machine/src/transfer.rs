//! Progress of a message that is received in pieces, and when it is given up.
//!
//! A limit on the whole time would be a limit on the length: what takes its link longer than that would
//! never arrive, however often it is requested. So a transfer goes on while it makes progress.

use std::fmt;
use std::time;

use waxwing_units::bandwidth;
use waxwing_units::size;
use waxwing_units::time as units_time;

/// When a transfer is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long nothing may arrive, and how long the whole transfer may take if its length is not
    /// stated.
    pub idle_max: time::Duration,
    /// The mean rate that a transfer of stated length must have; a slower one might never end.
    pub rate_min: bandwidth::Bandwidth,
}

/// How much of a message has arrived, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    started_at: units_time::MonoInstant,
    progressed_at: units_time::MonoInstant,
    received: size::Bytes,
    /// The length that the sender stated; `None` until it has, or if it states none.
    declared: Option<size::Bytes>,
}

impl Transfer {
    /// Starts a transfer of which nothing has arrived.
    pub const fn begin(now: units_time::MonoInstant) -> Self {
        Self { started_at: now, progressed_at: now, received: size::Bytes(0), declared: None }
    }

    /// Records the length that the sender states before the content, which is progress as well.
    pub const fn record_length(
        &mut self,
        now: units_time::MonoInstant,
        declared: Option<size::Bytes>,
    ) {
        self.progressed_at = now;
        self.declared = declared;
    }

    /// Records the arrival of a piece of the content.
    pub const fn record_piece(&mut self, now: units_time::MonoInstant, len: size::Bytes) {
        self.progressed_at = now;
        self.received = size::Bytes(self.received.0.saturating_add(len.0));
    }

    /// Returns whether the content has begun to arrive, of which the sender has stated the length.
    pub const fn has_length(&self) -> bool {
        self.declared.is_some()
    }

    /// Returns when the transfer is given up unless another piece arrives.
    pub fn deadline(&self, limits: &Limits) -> units_time::MonoInstant {
        let content_max = self.declared.map(|len| limits.rate_min.transfer_time(len));
        let whole_max = limits.idle_max.saturating_add(content_max.unwrap_or_default());
        self.progressed_at.after(limits.idle_max).min(self.started_at.after(whole_max))
    }
}

impl fmt::Display for Transfer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lasted_ms = self.progressed_at.since(self.started_at).as_millis();
        match self.declared {
            Some(declared) => write!(f, "{} of {declared}", self.received)?,
            None => write!(f, "{}", self.received)?,
        }
        write!(f, " received, the last after {lasted_ms} ms")
    }
}
