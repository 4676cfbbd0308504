//! Runs accounts when they have something to do.

use std::time;

use parking_lot::Condvar;
use parking_lot::Mutex;
use waxwing_contract::accounts;
use waxwing_process::clock;
use waxwing_units::time as units_time;

use crate::keeper;

/// How often each shard is run without any other cause.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The instants at which each shard has something to do.
#[derive(Debug)]
pub struct Timer {
    wakes: Mutex<Vec<units_time::MonoInstant>>,
    changed: Condvar,
}

impl Default for Timer {
    fn default() -> Self {
        let wakes = Mutex::new(vec![units_time::MonoInstant(0); accounts::SHARDS]);
        Self { wakes, changed: Condvar::new() }
    }
}

impl Timer {
    /// Notes that `shard` has something to do at `wake`.
    pub fn arm(&self, shard: usize, wake: units_time::MonoInstant) {
        let mut wakes = self.wakes.lock();
        if wake < wakes[shard] {
            wakes[shard] = wake;
            self.changed.notify_one();
        }
    }

    /// Notes that each shard has something to do now.
    pub fn wake_all(&self) {
        self.wakes.lock().fill(units_time::MonoInstant(0));
        self.changed.notify_one();
    }

    /// Waits until a shard has something to do and returns all that have.
    fn due(&self) -> Vec<usize> {
        let mut wakes = self.wakes.lock();
        loop {
            let now = clock::now();
            let due: Vec<usize> = (0..wakes.len()).filter(|shard| wakes[*shard] <= now).collect();
            if !due.is_empty() {
                due.iter().for_each(|shard| wakes[*shard] = now.after(TICK_INTERVAL));
                return due;
            }
            let next = wakes.iter().min().copied().unwrap_or(now.after(TICK_INTERVAL));
            self.changed.wait_for(&mut wakes, next.since(now));
        }
    }
}

/// Runs accounts when they have something to do; never returns.
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
