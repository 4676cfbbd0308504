//! The token bucket of a part.

use waxwing_units::rate;
use waxwing_units::time as units_time;

/// A token bucket that refills with time.
///
/// The level is negative while tokens are granted ahead of their refill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bucket {
    level: rate::NanoTokens,
    refilled_at: units_time::MonoInstant,
}

impl Bucket {
    /// Creates an empty bucket that refills from `now` on.
    pub const fn empty(now: units_time::MonoInstant) -> Self {
        Self { level: rate::NanoTokens::ZERO, refilled_at: now }
    }

    /// Creates a bucket with `level` that refills from `now` on.
    pub const fn with_level(now: units_time::MonoInstant, level: rate::NanoTokens) -> Self {
        Self { level, refilled_at: now }
    }

    /// Returns the level as of the last refill.
    pub const fn level(&self) -> rate::NanoTokens {
        self.level
    }

    /// Adds the refill since the last call, up to `capacity`.
    ///
    /// Only the time that has passed for certain on a drifting clock counts. A level above
    /// `capacity` drops to it.
    pub fn refill(
        &mut self,
        now: units_time::MonoInstant,
        rate_per_second: rate::TokenRate,
        capacity: rate::NanoTokens,
    ) {
        let elapsed = units_time::shorten_by_clock_drift(now.since(self.refilled_at));
        let refilled = self.level.plus(rate_per_second.tokens_within(elapsed));
        self.level = refilled.min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `amount` out; the level may become negative.
    pub const fn take(&mut self, amount: rate::NanoTokens) {
        self.level = self.level.minus(amount);
    }

    /// Puts `amount` back in.
    pub const fn refund(&mut self, amount: rate::NanoTokens) {
        self.level = self.level.plus(amount);
    }
}
