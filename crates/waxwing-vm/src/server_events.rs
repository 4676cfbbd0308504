//! Logs and counts the changes of backend servers' states.

use waxwing_machine::availability;
use waxwing_process::clock;

use crate::vm;

/// Logs and counts a change of a server's state.
pub fn record(vm: &vm::Vm, transition: &availability::Transition) {
    let availability::Change { from, to, source } = transition.change;
    let source = source.to_string();
    vm.counters.count_server_transition(to.name(), source.clone());
    let lasts_ms = match to {
        availability::State::BackingOff { until } => until.since(clock::now()).as_millis(),
        _ => 0,
    };
    log::info!(
        server = transition.server.as_str(),
        started = transition.started.0,
        from = from.name(),
        to = to.name(),
        source = source.as_str(),
        lasts_ms = u64::try_from(lasts_ms).unwrap_or(u64::MAX);
        "the state of a backend server changed"
    );
}
