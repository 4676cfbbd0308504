//! When callers whose requests were refused for lack of capacity should come back.
//!
//! Where more requests arrive than a resource frees up, all that are refused within a short time
//! would be told the same delay, come back together, and most of them be refused again. Each
//! refused caller gets a turn of its own instead, one after the other at the rate at which the
//! resource frees up.

use std::time;

use waxwing_units::time as units_time;

/// The longest delay of a turn after the resource is next free. Callers whose turns would be later
/// are spread over this time again, since few of them would still wait.
const TURNS_SPAN_MAX: time::Duration = time::Duration::from_millis(2_000);

/// The turns of the callers that one resource has refused.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReturnSchedule {
    next_turn_at: units_time::MonoInstant,
}

impl ReturnSchedule {
    /// Returns how long the next refused caller should wait, where the resource is next free in
    /// `free_in` and frees up once in each `interval`.
    pub fn next_turn_in(
        &mut self,
        now: units_time::MonoInstant,
        free_in: time::Duration,
        interval: time::Duration,
    ) -> time::Duration {
        let first_turn_at = now.after(free_in);
        let is_too_late = self.next_turn_at.since(first_turn_at) > TURNS_SPAN_MAX;
        let turn_at = match is_too_late {
            true => first_turn_at,
            false => self.next_turn_at.max(first_turn_at),
        };
        self.next_turn_at = turn_at.after(interval);
        turn_at.since(now)
    }
}
