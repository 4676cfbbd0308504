//! The level of tokens in a part.

use waxwing_units::rate;
use waxwing_units::time as units_time;

/// A level of tokens that rises with time.
///
/// The level may be negative: tokens that were promised before they came in.
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
    pub const fn full(now: units_time::MonoInstant, level: rate::NanoTokens) -> Self {
        Self { level, refilled_at: now }
    }

    /// Returns the level at the last refill.
    pub const fn level(&self) -> rate::NanoTokens {
        self.level
    }

    /// Adds what came in since the last refill, up to `room`.
    ///
    /// Only the time that has surely passed on a drifting clock counts. A level above `room`
    /// falls to it.
    pub fn refill(
        &mut self,
        now: units_time::MonoInstant,
        rate_per_second: rate::TokenRate,
        room: rate::NanoTokens,
    ) {
        let passed = units_time::shorten_by_clock_drift(now.since(self.refilled_at));
        let risen = self.level.plus(rate_per_second.tokens_within(passed));
        self.level = risen.min(room);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `amount` out; the level may become negative.
    pub const fn take(&mut self, amount: rate::NanoTokens) {
        self.level = self.level.minus(amount);
    }

    /// Puts `amount` back in.
    pub const fn put_back(&mut self, amount: rate::NanoTokens) {
        self.level = self.level.plus(amount);
    }
}
