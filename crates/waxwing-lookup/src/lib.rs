//! The lookup process: a directory that tells callers which entry VMs to send requests to.
//!
//! * [`directory`]: finds the entry VMs nearest to a caller and builds the response.
//! * [`settings`]: the settings file.

pub mod directory;
pub mod settings;
