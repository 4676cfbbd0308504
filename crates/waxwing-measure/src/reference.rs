//! The ideal central bucket that the fleet is held against.

use waxwing_contract::contract;
use waxwing_units::rate;

/// A token bucket that sees every admission at its true time.
///
/// A list of admissions keeps to a rate and a burst in every window exactly when this bucket,
/// full at the start, never has less than a token at an admission.
#[derive(Debug, Clone)]
pub struct Reference {
    part: contract::RateLimit,
    level: i128,
    at_ns: u64,
}

/// Thousandths of a nano token, so that no refill is rounded.
const SCALE: i128 = 1_000;

impl Reference {
    /// Creates a full bucket.
    pub fn full(part: contract::RateLimit) -> Self {
        Self { part, level: i128::from(part.burst_tokens.0) * SCALE, at_ns: 0 }
    }

    /// Moves on to `now_ns` and changes the rate and the burst there.
    pub fn set_part(&mut self, now_ns: u64, part: contract::RateLimit) {
        self.refill(now_ns);
        self.part = part;
        self.level = self.level.min(i128::from(part.burst_tokens.0) * SCALE);
    }

    fn refill(&mut self, now_ns: u64) {
        let passed_ns = i128::from(now_ns.saturating_sub(self.at_ns));
        let rate_milli = i128::from(self.part.rate_per_second.milli_per_second());
        let room = i128::from(self.part.burst_tokens.0) * SCALE;
        self.level = (self.level + passed_ns * rate_milli).min(room);
        self.at_ns = self.at_ns.max(now_ns);
    }

    /// Takes one token at `now_ns` if there is one.
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
