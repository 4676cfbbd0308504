//! The decisions about one request, object by object.

mod attempt;
mod budget;
mod queue;
mod retry;
