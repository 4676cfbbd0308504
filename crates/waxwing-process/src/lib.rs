//! What each process of the system has: settings, clock, logs, metrics and an admin endpoint.
//!
//! * [`settings`]: reads YAML settings and lists all their faults at once.
//! * [`arguments`]: the command line that all processes share.
//! * [`clock`]: the machine's clocks.
//! * [`logs`]: the log of the process, as JSON lines.
//! * [`metrics`]: counters and histograms, and their text form.
//! * [`reporter`]: events to the journal and the log at once.
//! * [`admin`]: health, readiness, metrics and events over HTTP.
//! * [`signal`]: waits for orders that come as signals.
//! * [`timer`]: waiting on the clock in asynchronous code.
//! * [`log_limiter`]: bounds how much is logged.

pub mod admin;
pub mod arguments;
pub mod clock;
pub mod log_limiter;
pub mod logs;
pub mod metrics;
pub mod reporter;
pub mod settings;
pub mod signal;
pub mod timer;
