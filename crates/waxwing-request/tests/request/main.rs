//! Tests of the rules for forwarding one request, one module per source module.

mod attempt;
mod body_length;
mod budget;
mod queue;
mod retry;
mod return_schedule;
mod shutdown;
mod status_line;
mod waiting_room;
