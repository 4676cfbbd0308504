//! Events of all processes in one causal order.
//!
//! * [`stamp`]: hybrid logical clocks, which order events across machines.
//! * [`event`]: what processes tell about themselves.
//! * [`journal`]: the last events of one process.
//! * [`merge`]: one order over the events of several processes, and its text form.

pub mod event;
pub mod journal;
pub mod merge;
pub mod stamp;
