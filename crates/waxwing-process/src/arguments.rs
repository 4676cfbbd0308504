//! The command line that all processes share.

use std::fmt;
use std::path;
use std::process;

use clap::Parser;

use crate::logs;
use crate::settings;

/// Exit code where the settings are wrong.
pub const EXIT_SETTINGS: i32 = 2;

/// Exit code where the process could not begin or had to end.
pub const EXIT_FAILED: i32 = 1;

/// The command line that all processes share.
#[derive(Debug, Parser)]
#[command(
    after_help = "Exit codes: 0 ended as told or settings right, 1 could not run, 2 settings wrong."
)]
pub struct Arguments {
    /// The YAML file with the settings of this process.
    #[arg(long, value_name = "FILE")]
    pub settings: path::PathBuf,
    /// Checks the settings, lists all faults and ends.
    #[arg(long)]
    pub check: bool,
}

/// Reads the command line and the settings, and begins the log.
///
/// Ends the process where the settings are wrong, and where they were only to be checked.
pub fn settings_or_exit<T: settings::Settings>() -> T {
    settings_and_path_or_exit().0
}

/// Does what [`settings_or_exit`] does and returns the file's path as well, to read it again.
pub fn settings_and_path_or_exit<T: settings::Settings>() -> (T, path::PathBuf) {
    let arguments = Arguments::parse();
    let settings = settings::load(&arguments.settings).unwrap_or_else(|error| {
        eprintln!("{error}");
        process::exit(EXIT_SETTINGS)
    });
    if arguments.check {
        println!("{}: the settings are right", arguments.settings.display());
        process::exit(0);
    }
    logs::begin();
    (settings, arguments.settings)
}

/// Ends the process where it could not run.
pub fn exit_on_error<E: fmt::Display>(name: &str, ended: Result<(), E>) {
    if let Err(error) = ended {
        eprintln!("{name}: {error:#}");
        process::exit(EXIT_FAILED);
    }
}
