//! The central token bucket that the simulated fleet is compared with.

use waxwing_contract::contract;
use waxwing_units::rate;

/// A token bucket that sees every request at its true time, without any network delay.
///
/// A sequence of admissions stays within a rate and a burst in every time window exactly when this
/// bucket, full at the start, holds at least one token at each admission.
#[derive(Debug, Clone)]
pub struct CentralBucket {
    limit: contract::RateLimit,
    level: i128,
    at_ns: u64,
}

/// Units of `level` per nano token. A nanosecond at one thousandth of a token per second refills
/// one unit, so that no refill is rounded.
const SCALE: i128 = 1_000;

impl CentralBucket {
    /// Creates a full bucket.
    pub fn full(limit: contract::RateLimit) -> Self {
        Self { limit, level: i128::from(limit.burst_tokens.0) * SCALE, at_ns: 0 }
    }

    /// Refills up to `now_ns`, then changes the limit; tokens above the new burst are dropped.
    pub fn set_limit(&mut self, now_ns: u64, limit: contract::RateLimit) {
        self.refill(now_ns);
        self.limit = limit;
        self.level = self.level.min(i128::from(limit.burst_tokens.0) * SCALE);
    }

    fn refill(&mut self, now_ns: u64) {
        let elapsed_ns = i128::from(now_ns.saturating_sub(self.at_ns));
        let rate_milli = i128::from(self.limit.rate_per_second.milli_per_second());
        let capacity = i128::from(self.limit.burst_tokens.0) * SCALE;
        self.level = (self.level + elapsed_ns * rate_milli).min(capacity);
        self.at_ns = self.at_ns.max(now_ns);
    }

    /// Takes one token at `now_ns`; returns whether there was one.
    pub fn admit(&mut self, now_ns: u64) -> bool {
        self.refill(now_ns);
        let token = i128::from(rate::NANO_PER_TOKEN) * SCALE;
        if self.level < token {
            return false;
        }
        self.level -= token;
        true
    }
}
