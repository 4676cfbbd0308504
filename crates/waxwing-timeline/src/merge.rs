//! One order over the events of several processes, and its text form.

use std::fmt;

use waxwing_units::id;

use crate::event;

/// Which events are wanted.
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
/// The order is that of the stamps; equal stamps of different processes are ordered by machine
/// and process, so that the result is the same however the parts are arranged.
pub fn merge(parts: Vec<Vec<event::Event>>, filter: &Filter) -> Vec<event::Event> {
    let mut events: Vec<event::Event> = parts.into_iter().flatten().collect();
    events.retain(|event| filter.matches(event));
    events.sort_by(|a, b| (a.at, &a.vm, a.role).cmp(&(b.at, &b.vm, b.role)));
    events
}

/// Shows a merged time line, one event per line.
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
