//! The `waxwing` command-line tool for operators.
//!
//! Writes records (services, organisations, keys, drains, ...) to the platform's store, and shows
//! the state, the events and the logs of the machines.
//!
//! * [`arguments`]: the command line.
//! * [`settings`]: the addresses of the platform's store and of the machines.
//! * [`plan`]: validates changes of records against the stored ones and computes the differences.
//! * [`commit`]: writes planned changes and determines whether each one took effect.
//! * [`explain`]: reconstructs from logs how a request ended, and why.
//! * [`keys`]: generates API keys.
//! * [`admin_client`]: fetches state and events from the admin endpoints of all processes.
//! * [`show`]: formats results as text for a terminal.
//! * [`run`]: runs one command.

pub mod admin_client;
pub mod arguments;
pub mod commit;
pub mod explain;
pub mod keys;
pub mod plan;
pub mod run;
pub mod settings;
pub mod show;
