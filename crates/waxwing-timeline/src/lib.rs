//! Event logs of all processes, merged into one causal time line for operators.
//!
//! Each process records its events in memory and serves them at `/events` on its admin address.
//! `waxwing timeline` fetches and merges them.
//!
//! * [`stamp`]: hybrid logical clock timestamps, which order events across machines.
//! * [`event`]: the events that processes report, in JSON and as text.
//! * [`journal`]: the bounded in-memory event log of one process.
//! * [`merge`]: merges the events of several processes and formats them as lines.

pub mod event;
pub mod journal;
pub mod merge;
pub mod stamp;
