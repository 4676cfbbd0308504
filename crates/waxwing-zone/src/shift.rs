//! The share of a service's traffic that a machine sends to regions other than its own, the home
//! region.
//!
//! The share rises while the home region can't serve and falls while it can, by the cap at most
//! within each interval. Each machine applies the cap by itself; if all machines do, so does their
//! total, and they need not coordinate. Requests that can't be served at home and may not move yet
//! are rejected with that reason.

use std::time;

use waxwing_units::time as units_time;

/// Interval within which the share changes by the cap at most.
pub const CAP_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Share at which all traffic goes to other regions, in thousandths.
pub const ALL_PERMILLE: u64 = 1_000;

/// Millionths in a thousandth; the share is kept in millionths, so that short steps don't round to
/// zero.
const MICRO_PER_PERMILLE: u128 = 1_000;

/// Region that a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// The machine's own region.
    HomeRegion,
    /// Any other region.
    OtherRegion,
}

/// Share of one service's traffic that one machine sends to other regions.
#[derive(Debug, Clone)]
pub struct Shift {
    share_micro: u128,
    changed_at: units_time::MonoInstant,
    remainder_micro: u128,
}

impl Shift {
    /// Creates a shift that starts with a share, which a new machine takes from machines nearby.
    ///
    /// A machine that starts during a shift must not undo it.
    pub const fn with_share(now: units_time::MonoInstant, share_permille: u64) -> Self {
        let share_micro = share_permille as u128 * MICRO_PER_PERMILLE;
        Self { share_micro, changed_at: now, remainder_micro: 0 }
    }

    /// Returns the share of traffic for other regions, in thousandths.
    pub fn share_permille(&self) -> u64 {
        u64::try_from(self.share_micro / MICRO_PER_PERMILLE).unwrap_or(ALL_PERMILLE)
    }

    /// Raises the share if the home region is unusable and lowers it otherwise, within the cap.
    pub fn advance(
        &mut self,
        now: units_time::MonoInstant,
        cap_permille: u64,
        is_home_usable: bool,
    ) {
        let elapsed_ns = units_time::shorten_by_clock_drift(now.since(self.changed_at)).as_nanos();
        let cap_micro = u128::from(cap_permille) * MICRO_PER_PERMILLE;
        let step_micro =
            cap_micro * elapsed_ns.min(CAP_INTERVAL.as_nanos()) / CAP_INTERVAL.as_nanos();
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

    /// Returns the region for the next request, so that requests follow the share evenly.
    pub const fn next_direction(&mut self) -> Direction {
        let all_micro = ALL_PERMILLE as u128 * MICRO_PER_PERMILLE;
        self.remainder_micro += self.share_micro;
        if self.remainder_micro < all_micro {
            return Direction::HomeRegion;
        }
        self.remainder_micro -= all_micro;
        Direction::OtherRegion
    }
}
