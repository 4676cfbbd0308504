//! The log of the process, as JSON lines.

use logforth::filter::rustlog;

/// The level where the environment sets none.
const DEFAULT_LEVEL: &str = "warn,waxwing=info,event=info";

/// Begins to write the log to standard output; `RUST_LOG` sets the level; by default, libraries only warn.
///
/// A second call changes nothing.
pub fn begin() {
    let started = logforth::starter_log::stdout()
        .layout(logforth::layout::JsonLayout::default())
        .filter(rustlog::RustLogFilterBuilder::from_default_env_or(DEFAULT_LEVEL).build())
        .try_apply();
    if started.is_err() {
        log::debug!("the log was begun already");
    }
}
