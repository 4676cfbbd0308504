//! The spans that all machines must agree on.

use std::time;

use waxwing_units::time as units_time;

/// Spans that bound how long a machine acts on what another one told it.
///
/// All machines of a deployment use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long a granted token may be spent, counted from when it was asked for.
    pub grant_validity: time::Duration,
    /// How long a lent floor part counts with the base part, counted from when it was asked for.
    pub lease_validity: time::Duration,
    /// How often a holder renews the leases of floor parts.
    pub lease_renewal: time::Duration,
    /// How long a machine may stand still before it has to confirm its seats.
    pub fence: time::Duration,
    /// How long a borrower waits for an answer before it sends the question again.
    pub ask_timeout: time::Duration,
    /// How often a question is sent to a holder before the floor part is asked instead.
    pub ask_attempts: u32,
    /// How far ahead of the refill a holder promises tokens.
    pub debt_max: time::Duration,
    /// How often a borrower asks whether a silent holder is back.
    pub probe_interval: time::Duration,
    /// How much demand ahead a borrower asks for while tokens are plentiful.
    pub ahead: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            grant_validity: time::Duration::from_millis(600),
            lease_validity: time::Duration::from_secs(3),
            lease_renewal: time::Duration::from_millis(800),
            fence: time::Duration::from_secs(10),
            ask_timeout: time::Duration::from_millis(110),
            ask_attempts: 2,
            debt_max: time::Duration::from_millis(150),
            probe_interval: time::Duration::from_millis(500),
            ahead: time::Duration::from_millis(200),
        }
    }
}

impl Options {
    /// Returns how long a holder counts a grant as outstanding, on its own clock.
    pub fn holder_grant_validity(&self) -> time::Duration {
        units_time::extend_by_clock_drift(self.grant_validity)
    }

    /// Returns how long a floor's holder leaves a lent part alone, on its own clock.
    pub fn lender_lease_validity(&self) -> time::Duration {
        units_time::extend_by_clock_drift(self.lease_validity)
    }

    /// Returns how long a borrower may spend a token after asking, on its own clock.
    pub fn borrower_grant_validity(&self) -> time::Duration {
        units_time::shorten_by_clock_drift(self.grant_validity)
    }

    /// Returns how long a holder counts a lease after asking, on its own clock.
    ///
    /// It stops one grant's life before the lease ends, so that no grant made on the strength of
    /// the lease outlives it.
    pub fn borrower_lease_validity(&self) -> time::Duration {
        units_time::shorten_by_clock_drift(self.lease_validity)
            .saturating_sub(self.holder_grant_validity())
    }
}
