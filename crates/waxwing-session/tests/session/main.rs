//! Whole sessions over the real processes.

mod configuration;
mod examples;
mod failures;
mod path;
mod steering;
mod support;
mod truth;
