//! Tests of the rules for forwarding one request, one module per source module.

mod attempt;
mod budget;
mod queue;
mod retry;
mod return_schedule;
mod shutdown;
