//! Events to the journal and the log at once.

use std::sync;

use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_timeline::stamp;
use waxwing_units::id;

use crate::clock;

/// Writes events to the journal and the log.
#[derive(Debug, Clone)]
pub struct Reporter {
    journal: sync::Arc<journal::Journal>,
}

impl Reporter {
    /// Creates the reporter of a process.
    pub fn new(vm: id::VmId, role: event::Role) -> Self {
        Self { journal: sync::Arc::new(journal::Journal::new(vm, role)) }
    }

    /// Reports an event about nothing in particular.
    pub fn report(&self, what: event::Kind) {
        self.report_about(journal::Context::default(), what);
    }

    /// Reports an event about a request or an organisation.
    pub fn report_about(&self, about: journal::Context, what: event::Kind) {
        let event = self.journal.add(clock::wall_ms(), about, what);
        match serde_json::to_string(&event) {
            Ok(line) => log::info!(target: "event", "{line}"),
            Err(error) => log::warn!("an event can't be written: {error}"),
        }
    }

    /// Returns a stamp for a message that this process sends.
    pub fn stamp(&self) -> stamp::Stamp {
        self.journal.stamp(clock::wall_ms())
    }

    /// Takes note of the stamp of a message that this process received.
    pub fn observe(&self, seen: stamp::Stamp) {
        self.journal.observe(clock::wall_ms(), seen);
    }

    /// Returns the kept events after `after`.
    pub fn since(&self, after: stamp::Stamp) -> Vec<event::Event> {
        self.journal.since(after)
    }
}
