//! Rules for forwarding one request: attempts, outcomes, retry budgets and fair queueing.
//!
//! The crate only decides; sockets, clocks and threads belong to its callers.
//!
//! * [`attempt`]: the states of an upstream attempt, and whether a failed one is retried.
//! * [`outcome`]: whether a request ran, as reported to the caller.
//! * [`body_length`]: whether the body of a response is complete.
//! * [`budget`]: a retry budget per service that is shared by all machines.
//! * [`retry`]: a retry budget that each machine applies by itself.
//! * [`queue`]: a fair queue of requests that wait for a slot at a backend server.
//! * [`return_schedule`]: when callers whose requests were refused should come back.
//! * [`waiting_room`]: the order in which requests that wait on a machine get freed slots.
//! * [`status_line`]: a second status line in a response, which tells that two were joined.
//! * [`shutdown`]: which requests a machine still passes on during a shutdown.

pub mod attempt;
pub mod body_length;
pub mod budget;
pub mod outcome;
pub mod queue;
pub mod retry;
pub mod return_schedule;
pub mod shutdown;
pub mod status_line;
pub mod waiting_room;
