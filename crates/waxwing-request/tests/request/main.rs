//! The decisions about one request, object by object.

mod attempt;
mod queue;
mod retry;
