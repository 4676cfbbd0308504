//! Logging to standard output as JSON lines.

use logforth::filter::rustlog;

/// The filter if the environment sets none: warnings of libraries, info of this project and events.
const DEFAULT_FILTER: &str = "warn,waxwing=info,event=info";

/// Starts logging to standard output, filtered by `RUST_LOG`; by default, libraries log only
/// warnings.
///
/// A second call has no effect.
pub fn init() {
    let result = logforth::starter_log::stdout()
        .layout(logforth::layout::JsonLayout::default())
        .filter(rustlog::RustLogFilterBuilder::from_default_env_or(DEFAULT_FILTER).build())
        .try_apply();
    if result.is_err() {
        log::debug!("logging is already set up");
    }
}
