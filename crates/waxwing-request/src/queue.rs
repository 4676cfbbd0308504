//! A fair queue of requests that wait for a slot at a backend server.
//!
//! Free slots are shared equally among the organisations with waiting requests, so that an
//! organisation that sends several times as much as the others delays only its own requests.
//! Requests of one organisation are served in the order of their arrival.

use std::collections;

use waxwing_units::id;
use waxwing_units::time as units_time;

/// The largest number of waiting requests of one organisation; further ones are rejected.
pub const WAITING_MAX_PER_ORGANISATION: usize = 256;

/// The organisation that a request is queued for; `None` for requests without a key.
pub type Flow = Option<id::OrganisationId>;

/// A request that waits for a slot until its deadline.
#[derive(Debug)]
struct Waiting<T> {
    deadline: units_time::MonoInstant,
    item: T,
}

/// The waiting requests of one organisation, oldest first.
#[derive(Debug)]
struct FlowQueue<T> {
    flow: Flow,
    /// Slots given to the organisation. A new queue starts at the count of the queue that was
    /// served last, so that it gets no credit for the time before it had waiting requests.
    served: u64,
    waiting: collections::VecDeque<Waiting<T>>,
}

/// Requests that wait for slots, queued per organisation.
///
/// The caller pushes requests that find no free slot and pops one for each slot that is released.
#[derive(Debug)]
pub struct FairQueue<T> {
    flows: Vec<FlowQueue<T>>,
    served_floor: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { flows: Vec::new(), served_floor: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting requests of all organisations.
    pub fn len(&self) -> usize {
        self.flows.iter().map(|flow_queue| flow_queue.waiting.len()).sum()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Adds a request of the organisation `flow`, to be served before `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the request if [`WAITING_MAX_PER_ORGANISATION`] of its organisation wait already.
    pub fn push(
        &mut self,
        flow: Flow,
        deadline: units_time::MonoInstant,
        item: T,
    ) -> Result<(), T> {
        let at = match self.flows.binary_search_by(|flow_queue| flow_queue.flow.cmp(&flow)) {
            Ok(at) => at,
            Err(at) => {
                let waiting = collections::VecDeque::new();
                self.flows.insert(at, FlowQueue { flow, served: self.served_floor, waiting });
                at
            }
        };
        let flow_queue = &mut self.flows[at];
        if flow_queue.waiting.len() >= WAITING_MAX_PER_ORGANISATION {
            return Err(item);
        }
        flow_queue.waiting.push_back(Waiting { deadline, item });
        Ok(())
    }

    /// Removes the request that gets the next slot, from the organisation that was served least.
    ///
    /// Requests whose deadline has passed are dropped without notice; whoever waits for the slot
    /// watches the deadline itself.
    pub fn pop(&mut self, now: units_time::MonoInstant) -> Option<T> {
        for flow_queue in &mut self.flows {
            flow_queue.waiting.retain(|waiting| waiting.deadline > now);
        }
        self.flows.retain(|flow_queue| !flow_queue.waiting.is_empty());
        let flow_queue = self.flows.iter_mut().min_by_key(|flow_queue| flow_queue.served)?;
        self.served_floor = flow_queue.served;
        flow_queue.served += 1;
        let waiting = flow_queue.waiting.pop_front()?;
        if flow_queue.waiting.is_empty() {
            self.flows.retain(|flow_queue| !flow_queue.waiting.is_empty());
        }
        Some(waiting.item)
    }
}
