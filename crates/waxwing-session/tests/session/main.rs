//! Whole sessions over the real processes.

mod configuration;
mod failures;
mod path;
mod support;
mod truth;
