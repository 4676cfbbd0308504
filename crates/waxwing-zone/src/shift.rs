//! How much of a service's traffic a machine sends to other regions.
//!
//! The share rises while the home region can't serve and falls when it can, both by the cap
//! within each interval and no faster. Each machine keeps to the cap by itself; a mix of
//! machines that all keep to it keeps to it too, so that nothing has to be agreed. What may not
//! move is refused with the truth.

use std::time;

use waxwing_units::time as units_time;

/// The interval within which the share changes by the cap at most.
pub const CAP_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// The share at which all traffic goes to other regions, in thousandths.
pub const ALL_PERMILLE: u64 = 1_000;

/// Finer parts per thousandth, so that short steps are not rounded away.
const MICRO_PER_PERMILLE: u128 = 1_000;

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// To the home region.
    HomeRegion,
    /// To another region.
    OtherRegion,
}

/// The share of one service's traffic that one machine sends to other regions.
#[derive(Debug, Clone)]
pub struct Shift {
    share_micro: u128,
    changed_at: units_time::MonoInstant,
    owed_micro: u128,
}

impl Shift {
    /// Creates a shift that begins with the share of machines nearby.
    ///
    /// A machine that starts in the middle of a shift must not undo it.
    pub const fn with_share(now: units_time::MonoInstant, share_permille: u64) -> Self {
        let share_micro = share_permille as u128 * MICRO_PER_PERMILLE;
        Self { share_micro, changed_at: now, owed_micro: 0 }
    }

    /// Returns the share, in thousandths.
    pub fn share_permille(&self) -> u64 {
        u64::try_from(self.share_micro / MICRO_PER_PERMILLE).unwrap_or(ALL_PERMILLE)
    }

    /// Moves the share towards where it is wanted, by the cap at most.
    pub fn advance(
        &mut self,
        now: units_time::MonoInstant,
        cap_permille: u64,
        is_home_usable: bool,
    ) {
        let passed = units_time::shorten_by_clock_drift(now.since(self.changed_at)).as_nanos();
        let cap_micro = u128::from(cap_permille) * MICRO_PER_PERMILLE;
        let step_micro = cap_micro * passed.min(CAP_INTERVAL.as_nanos()) / CAP_INTERVAL.as_nanos();
        if step_micro == 0 {
            return;
        }
        self.changed_at = now;
        let all_micro = u128::from(ALL_PERMILLE) * MICRO_PER_PERMILLE;
        self.share_micro = match is_home_usable {
            true => self.share_micro.saturating_sub(step_micro),
            false => (self.share_micro + step_micro).min(all_micro),
        };
    }

    /// Tells where the next request goes.
    pub const fn next_direction(&mut self) -> Direction {
        let all_micro = ALL_PERMILLE as u128 * MICRO_PER_PERMILLE;
        self.owed_micro += self.share_micro;
        if self.owed_micro < all_micro {
            return Direction::HomeRegion;
        }
        self.owed_micro -= all_micro;
        Direction::OtherRegion
    }
}
