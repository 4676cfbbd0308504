//! The order in which waiting requests of several organisations get slots.
//!
//! Each organisation with waiting requests has an equal share of the slots that come free, so
//! that one which sends several times as much as the others waits longer itself and leaves the
//! others alone. Within an organisation requests go in the order of their arrival.

use std::collections;

use waxwing_units::id;
use waxwing_units::time as units_time;

/// Waiting requests of one organisation, at most.
pub const WAITING_MAX_PER_ORGANISATION: usize = 256;

/// The organisation that requests without a key count for.
pub type Flow = Option<id::OrganisationId>;

/// A request that waits for a slot.
#[derive(Debug)]
struct Waiting<T> {
    deadline: units_time::MonoInstant,
    item: T,
}

/// The waiting requests of one organisation.
#[derive(Debug)]
struct Line<T> {
    flow: Flow,
    /// Slots that the organisation got since it began to wait, counted from the least of others.
    served: u64,
    waiting: collections::VecDeque<Waiting<T>>,
}

/// Requests that wait for slots, by organisation.
#[derive(Debug)]
pub struct FairQueue<T> {
    lines: Vec<Line<T>>,
    served_floor: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { lines: Vec::new(), served_floor: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.lines.iter().map(|line| line.waiting.len()).sum()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Adds a request; returns it where its organisation has too many waiting already.
    ///
    /// # Errors
    ///
    /// Returns the request that was not taken.
    pub fn push(
        &mut self,
        flow: Flow,
        deadline: units_time::MonoInstant,
        item: T,
    ) -> Result<(), T> {
        let at = match self.lines.binary_search_by(|line| line.flow.cmp(&flow)) {
            Ok(at) => at,
            Err(at) => {
                let waiting = collections::VecDeque::new();
                self.lines.insert(at, Line { flow, served: self.served_floor, waiting });
                at
            }
        };
        let line = &mut self.lines[at];
        if line.waiting.len() >= WAITING_MAX_PER_ORGANISATION {
            return Err(item);
        }
        line.waiting.push_back(Waiting { deadline, item });
        Ok(())
    }

    /// Takes the request that gets the next slot, from the organisation that got the fewest.
    ///
    /// Requests whose deadline has passed are left out; their callers notice by themselves.
    pub fn pop(&mut self, now: units_time::MonoInstant) -> Option<T> {
        for line in &mut self.lines {
            line.waiting.retain(|waiting| waiting.deadline > now);
        }
        self.lines.retain(|line| !line.waiting.is_empty());
        let line = self.lines.iter_mut().min_by_key(|line| line.served)?;
        self.served_floor = line.served;
        line.served += 1;
        let waiting = line.waiting.pop_front()?;
        if line.waiting.is_empty() {
            self.lines.retain(|line| !line.waiting.is_empty());
        }
        Some(waiting.item)
    }
}
