//! The last events of one process.

use std::collections;

use parking_lot::Mutex;
use waxwing_units::id;

use crate::event;
use crate::stamp;

/// Events that a process keeps.
pub const EVENTS_MAX: usize = 4_096;

/// What an event is about, besides what happened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Context {
    /// The request.
    pub request: Option<id::RequestId>,
    /// The organisation.
    pub organisation: Option<id::OrganisationId>,
}

/// The last events of one process.
#[derive(Debug)]
pub struct Journal {
    vm: id::VmId,
    role: event::Role,
    clock: stamp::Clock,
    events: Mutex<collections::VecDeque<event::Event>>,
}

impl Journal {
    /// Creates the journal of a process.
    pub fn new(vm: id::VmId, role: event::Role) -> Self {
        let events = Mutex::new(collections::VecDeque::new());
        Self { vm, role, clock: stamp::Clock::default(), events }
    }

    /// Adds an event and returns it; the oldest one goes when there are too many.
    pub fn add(&self, wall_ms: u64, about: Context, what: event::Kind) -> event::Event {
        let event = event::Event {
            at: self.clock.next(wall_ms),
            vm: self.vm.clone(),
            role: self.role,
            request: about.request,
            organisation: about.organisation,
            what,
        };
        let mut events = self.events.lock();
        if events.len() == EVENTS_MAX {
            events.pop_front();
        }
        events.push_back(event.clone());
        event
    }

    /// Returns a stamp for a message that this process sends.
    pub fn stamp(&self, wall_ms: u64) -> stamp::Stamp {
        self.clock.next(wall_ms)
    }

    /// Takes note of the stamp of a message that this process received.
    pub fn observe(&self, wall_ms: u64, seen: stamp::Stamp) {
        self.clock.observe(wall_ms, seen);
    }

    /// Returns the kept events after `after`.
    pub fn since(&self, after: stamp::Stamp) -> Vec<event::Event> {
        let events = self.events.lock();
        events.iter().filter(|event| event.at > after).cloned().collect()
    }
}
