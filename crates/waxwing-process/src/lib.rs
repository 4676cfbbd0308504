//! What every process of the system shares: settings, clocks, logs, metrics and an admin endpoint.
//!
//! * [`settings`]: reads and validates YAML settings, and reports all errors at once.
//! * [`arguments`]: the command line.
//! * [`clock`]: the monotonic clock and wall time.
//! * [`logs`]: sets up logging as JSON lines.
//! * [`metrics`]: OpenTelemetry instruments, exported as Prometheus text.
//! * [`reporter`]: writes events to the event journal and the log.
//! * [`admin`]: serves health, readiness, metrics, events and status over HTTP.
//! * [`shutdown`]: the shutdown of the process, as the requests in progress see it.
//! * [`signal`]: turns process signals into shutdown and reload actions.
//! * [`timer`]: sleeps and timeouts for asynchronous code.
//! * [`response_body`]: the body of an HTTP response, read with its progress.
//! * [`log_limiter`]: limits the rate of log lines.
//! * [`descriptors`]: the limit on the descriptors of the process.

pub mod admin;
pub mod arguments;
pub mod clock;
pub mod descriptors;
pub mod log_limiter;
pub mod logs;
pub mod metrics;
pub mod reporter;
pub mod response_body;
pub mod settings;
pub mod shutdown;
pub mod signal;
pub mod timer;
