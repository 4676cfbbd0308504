//! The command line that all processes share.

use std::path;

use clap::Parser;

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
