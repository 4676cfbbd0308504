//! The operator's command.
//!
//! * [`arguments`]: the command line.
//! * [`settings`]: where the platform and the machines answer.
//! * [`plan`]: compares what is wanted with what is stored, and finds every fault.
//! * [`commit`]: writes a plan and tells truthfully what became of it.
//! * [`explain`]: tells from logs what became of a request, and why.
//! * [`keys`]: makes keys.
//! * [`fleet`]: asks all machines for their state and their events.
//! * [`show`]: tables for people.
//! * [`run`]: runs one command.

pub mod arguments;
pub mod commit;
pub mod explain;
pub mod fleet;
pub mod keys;
pub mod plan;
pub mod run;
pub mod settings;
pub mod show;
