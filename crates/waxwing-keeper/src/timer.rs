//! Calls the accounts at their deadlines.

use std::time;

use parking_lot::Condvar;
use parking_lot::Mutex;
use waxwing_contract::accounts;
use waxwing_process::clock;
use waxwing_units::time as units_time;

use crate::keeper;

/// The longest time between two calls of a shard.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The next deadline of each shard of accounts.
#[derive(Debug)]
pub struct Timer {
    deadlines: Mutex<Vec<units_time::MonoInstant>>,
    changed: Condvar,
}

impl Default for Timer {
    fn default() -> Self {
        let deadlines = Mutex::new(vec![units_time::MonoInstant(0); accounts::SHARDS]);
        Self { deadlines, changed: Condvar::new() }
    }
}

impl Timer {
    /// Sets the deadline of `shard` to `deadline` if that is earlier.
    pub fn arm(&self, shard: usize, deadline: units_time::MonoInstant) {
        let mut deadlines = self.deadlines.lock();
        if deadline < deadlines[shard] {
            deadlines[shard] = deadline;
            self.changed.notify_one();
        }
    }

    /// Makes all shards due now.
    pub fn wake_all(&self) {
        self.deadlines.lock().fill(units_time::MonoInstant(0));
        self.changed.notify_one();
    }

    /// Waits until a shard is due and returns all shards that are.
    fn due(&self) -> Vec<usize> {
        let mut deadlines = self.deadlines.lock();
        loop {
            let now = clock::now();
            let due: Vec<usize> =
                (0..deadlines.len()).filter(|shard| deadlines[*shard] <= now).collect();
            if !due.is_empty() {
                due.iter().for_each(|shard| deadlines[*shard] = now.after(TICK_INTERVAL));
                return due;
            }
            let next = deadlines.iter().min().copied().unwrap_or(now.after(TICK_INTERVAL));
            self.changed.wait_for(&mut deadlines, next.since(now));
        }
    }
}

/// Calls [`accounts::Accounts::tick`] for each shard that is due; never returns.
pub fn run(keeper: &keeper::Keeper) {
    loop {
        for shard in keeper.timer.due() {
            let mut out = accounts::Outbox::default();
            let next = keeper.accounts.tick(clock::now(), shard, &mut out);
            out.wakes.extend(next.map(|next| (shard, next)));
            keeper.dispatch(out);
        }
    }
}
