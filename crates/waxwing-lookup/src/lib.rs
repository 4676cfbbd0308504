//! Tells callers which entry VMs to use.
//!
//! * [`answer`]: the answer to a look-up.
//! * [`settings`]: the settings.

pub mod answer;
pub mod settings;
