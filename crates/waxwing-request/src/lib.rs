//! One request on its way: attempts, outcomes, retries and queues.
//!
//! * [`attempt`]: the states of an attempt and what a fault in each of them means.
//! * [`outcome`]: what a caller is told.
//! * [`budget`]: how often requests may be sent again, over all machines together.
//! * [`retry`]: how often requests may be attempted again.
//! * [`queue`]: the order in which waiting requests of several organisations get slots.

pub mod attempt;
pub mod budget;
pub mod outcome;
pub mod queue;
pub mod retry;
