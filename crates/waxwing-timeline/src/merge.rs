//! Merges the events of several processes into one time line and formats it.

use std::fmt;

use waxwing_units::id;

use crate::event;

/// Selects events; an event has to match every field that is set.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only events of this request.
    pub request: Option<id::RequestId>,
    /// Only events of this organisation.
    pub organisation: Option<id::OrganisationId>,
    /// Only events of this machine.
    pub vm: Option<id::VmId>,
}

impl Filter {
    fn matches(&self, event: &event::Event) -> bool {
        let request = self.request.is_none() || self.request == event.request;
        let organisation = self.organisation.is_none() || self.organisation == event.organisation;
        let vm = self.vm.as_ref().is_none_or(|vm| *vm == event.vm);
        request && organisation && vm
    }
}

/// Merges the events of several processes into one causal order.
///
/// Events are sorted by stamp. Equal stamps are sorted by machine and role, so that the result does
/// not depend on the order in which the processes responded.
pub fn merge(events_by_process: Vec<Vec<event::Event>>, filter: &Filter) -> Vec<event::Event> {
    let mut events: Vec<event::Event> = events_by_process.into_iter().flatten().collect();
    events.retain(|event| filter.matches(event));
    events.sort_by(|a, b| (a.at, &a.vm, a.role).cmp(&(b.at, &b.vm, b.role)));
    events
}

/// Formats a merged time line, one event per line, with times relative to the first event.
#[derive(Debug, Clone, Copy)]
pub struct Lines<'a>(pub &'a [event::Event]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first_ms = self.0.first().map_or(0, |event| event.at.wall_ms);
        let vm_width = self.0.iter().map(|event| event.vm.as_str().len()).max().unwrap_or(0);
        for event in self.0 {
            let since_s = event.at.wall_ms.saturating_sub(first_ms) as f64 / 1_000.0;
            write!(f, "{since_s:>9.3}s  {:vm_width$}  {:6}", event.vm.as_str(), event.role)?;
            if let Some(request) = &event.request {
                write!(f, "  {request}")?;
            }
            if let Some(organisation) = &event.organisation {
                write!(f, "  [{organisation}]")?;
            }
            writeln!(f, "  {}", event.what)?;
        }
        Ok(())
    }
}
