//! The command line of every process, and how a process starts and exits.

use std::fmt;
use std::path;
use std::process;

use clap::Parser;

use crate::logs;
use crate::settings;

/// Exit code for invalid settings.
pub const EXIT_SETTINGS: i32 = 2;

/// Exit code for a process that failed to start or stopped because of an error.
pub const EXIT_FAILED: i32 = 1;

/// The command line of every process.
#[derive(Debug, Parser)]
#[command(
    after_help = "Exit codes: 0 shut down or settings valid, 1 could not run, 2 settings invalid."
)]
pub struct Arguments {
    /// The YAML file with the settings of this process.
    #[arg(long, value_name = "FILE")]
    pub settings: path::PathBuf,
    /// Validates the settings, lists all errors and exits.
    #[arg(long)]
    pub check: bool,
}

/// Parses the command line, reads the settings and starts logging.
///
/// Exits the process if the settings are invalid, or if `--check` only asks to validate them.
pub fn settings_or_exit<T: settings::Settings>() -> T {
    settings_and_path_or_exit().0
}

/// Does the same as [`settings_or_exit`] and also returns the path of the file, for reloads.
pub fn settings_and_path_or_exit<T: settings::Settings>() -> (T, path::PathBuf) {
    let arguments = Arguments::parse();
    let settings = settings::load(&arguments.settings).unwrap_or_else(|error| {
        eprintln!("{error}");
        process::exit(EXIT_SETTINGS)
    });
    if arguments.check {
        println!("{}: the settings are valid", arguments.settings.display());
        process::exit(0);
    }
    logs::init();
    (settings, arguments.settings)
}

/// Prints the error and exits with [`EXIT_FAILED`] if the process `name` failed.
pub fn exit_on_error<E: fmt::Display>(name: &str, result: Result<(), E>) {
    if let Err(error) = result {
        eprintln!("{name}: {error:#}");
        process::exit(EXIT_FAILED);
    }
}
