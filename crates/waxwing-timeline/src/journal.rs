//! The bounded in-memory event log of one process.

use std::collections;

use parking_lot::Mutex;
use waxwing_units::id;

use crate::event;
use crate::stamp;

/// The number of most recent events that a process retains.
pub const EVENTS_MAX: usize = 4_096;

/// The request and the organisation that an event concerns, if any.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Context {
    /// The request concerned; `None` for events of the process as a whole.
    pub request: Option<id::RequestId>,
    /// The organisation concerned; `None` if there is none or it is not yet known.
    pub organisation: Option<id::OrganisationId>,
}

/// The bounded event log of one process, and the clock that stamps its events and messages.
#[derive(Debug)]
pub struct Journal {
    vm: id::VmId,
    role: event::Role,
    clock: stamp::Clock,
    events: Mutex<collections::VecDeque<event::Event>>,
}

impl Journal {
    /// Creates the empty journal of the process in `role` on `vm`.
    pub fn new(vm: id::VmId, role: event::Role) -> Self {
        let events = Mutex::new(collections::VecDeque::new());
        Self { vm, role, clock: stamp::Clock::default(), events }
    }

    /// Stamps an event, appends it and returns it; evicts the oldest event if the journal is full.
    pub fn add(&self, wall_ms: u64, context: Context, what: event::Kind) -> event::Event {
        let event = event::Event {
            at: self.clock.next(wall_ms),
            vm: self.vm.clone(),
            role: self.role,
            request: context.request,
            organisation: context.organisation,
            what,
        };
        let mut events = self.events.lock();
        if events.len() == EVENTS_MAX {
            events.pop_front();
        }
        events.push_back(event.clone());
        event
    }

    /// Returns the stamp to put on an outgoing message.
    pub fn stamp(&self, wall_ms: u64) -> stamp::Stamp {
        self.clock.next(wall_ms)
    }

    /// Advances the clock to at least the stamp of a received message.
    pub fn observe(&self, wall_ms: u64, received: stamp::Stamp) {
        self.clock.observe(wall_ms, received);
    }

    /// Returns the retained events whose stamp is later than `after`.
    pub fn since(&self, after: stamp::Stamp) -> Vec<event::Event> {
        let events = self.events.lock();
        events.iter().filter(|event| event.at > after).cloned().collect()
    }
}
