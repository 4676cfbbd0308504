//! Reports the events of a process to its event journal and its log.

use std::sync;

use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_timeline::stamp;
use waxwing_units::id;

use crate::clock;

/// Adds events to the in-memory journal, which the admin endpoint serves, and to the log.
///
/// Clones share the same journal.
#[derive(Debug, Clone)]
pub struct Reporter {
    journal: sync::Arc<journal::Journal>,
}

impl Reporter {
    /// Creates the reporter of a process with an empty journal.
    pub fn new(vm: id::VmId, role: event::Role) -> Self {
        Self { journal: sync::Arc::new(journal::Journal::new(vm, role)) }
    }

    /// Reports an event that concerns no particular request or organisation.
    pub fn report(&self, kind: event::Kind) {
        self.report_with_context(journal::Context::default(), kind);
    }

    /// Reports an event that concerns a request or an organisation.
    pub fn report_with_context(&self, context: journal::Context, kind: event::Kind) {
        let event = self.journal.add(clock::wall_ms(), context, kind);
        match serde_json::to_string(&event) {
            Ok(line) => log::info!(target: "event", "{line}"),
            Err(error) => log::warn!("event can't be encoded as JSON: {error}"),
        }
    }

    /// Advances the hybrid logical clock and returns its stamp, for a message to send.
    pub fn stamp(&self) -> stamp::Stamp {
        self.journal.stamp(clock::wall_ms())
    }

    /// Merges the stamp of a received message into the hybrid logical clock.
    pub fn observe(&self, received: stamp::Stamp) {
        self.journal.observe(clock::wall_ms(), received);
    }

    /// Returns the events after `after` that the journal still has.
    pub fn since(&self, after: stamp::Stamp) -> Vec<event::Event> {
        self.journal.since(after)
    }
}
