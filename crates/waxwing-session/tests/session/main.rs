//! End-to-end tests: each test starts a deployment of real processes on loopback.

mod configuration;
mod examples;
mod failures;
mod path;
mod planned_stop;
mod responses;
mod steering;
mod support;
mod upstream_faults;
