//! Timeouts and validity periods that all machines must agree on.

use std::time;

use waxwing_units::time as units_time;

/// Timeouts, intervals and validity periods that bound how long a machine acts on what another
/// machine sent it.
///
/// All machines of a deployment use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long a granted token may be spent, counted from when it was requested.
    pub grant_validity: time::Duration,
    /// How long a leased floor part counts with the base part, counted from when it was requested.
    pub lease_validity: time::Duration,
    /// The interval at which the holder of the base part renews the leases of floor parts.
    pub lease_renewal: time::Duration,
    /// How long a process may stall before it has to confirm its seats again.
    pub stall_max: time::Duration,
    /// How long a borrower waits for a response before it retries a token request.
    pub request_timeout: time::Duration,
    /// How many times a token request is sent to a holder before the borrower falls back to the
    /// floor part.
    pub request_attempts_max: u32,
    /// How far ahead of the refill a holder grants tokens, as the time to refill them.
    pub debt_max: time::Duration,
    /// The interval at which a borrower probes an unresponsive holder of the base part.
    pub probe_interval: time::Duration,
    /// The period whose demand a borrower prefetches while the holder has tokens to spare.
    pub prefetch_window: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            grant_validity: time::Duration::from_millis(600),
            lease_validity: time::Duration::from_secs(3),
            lease_renewal: time::Duration::from_millis(800),
            stall_max: time::Duration::from_secs(10),
            request_timeout: time::Duration::from_millis(110),
            request_attempts_max: 2,
            debt_max: time::Duration::from_millis(150),
            probe_interval: time::Duration::from_millis(500),
            prefetch_window: time::Duration::from_millis(200),
        }
    }
}

impl Options {
    /// Returns how long a holder counts a grant as outstanding, on its own clock.
    pub fn holder_grant_validity(&self) -> time::Duration {
        units_time::extend_by_clock_drift(self.grant_validity)
    }

    /// Returns how long the holder of a lent floor part does not use it, on its own clock.
    pub fn lender_lease_validity(&self) -> time::Duration {
        units_time::extend_by_clock_drift(self.lease_validity)
    }

    /// Returns how long a borrower may spend a token after it sent the request, on its own clock.
    pub fn borrower_grant_validity(&self) -> time::Duration {
        units_time::shorten_by_clock_drift(self.grant_validity)
    }

    /// Returns how long the holder of the base part counts a lease after it sent the request, on
    /// its own clock.
    ///
    /// The period ends one grant validity before the lease does, so that no grant backed by the
    /// lease outlives it.
    pub fn borrower_lease_validity(&self) -> time::Duration {
        units_time::shorten_by_clock_drift(self.lease_validity)
            .saturating_sub(self.holder_grant_validity())
    }
}
