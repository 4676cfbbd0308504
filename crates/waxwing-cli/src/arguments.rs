//! The command line. Doc comments here are the texts of `--help`.

use std::path;

use clap::{Args, Parser, Subcommand};
use waxwing_record::record;
use waxwing_units::id;

/// Manages waxwingreach: writes and withdraws records, and shows the state of the machines.
#[derive(Debug, Parser)]
#[command(
    name = "waxwing",
    after_help = "Exit codes: 0 success, 1 failed and nothing was changed, 2 invalid arguments, \
                  settings or records, 3 another operator changed a record at the same time, 4 \
                  unknown whether all changes took effect."
)]
pub struct Arguments {
    /// YAML file with the addresses of the platform and the machines.
    #[arg(long, global = true, default_value = "waxwing.yaml", value_name = "FILE")]
    pub settings: path::PathBuf,
    /// Prints JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// A subcommand of `waxwing`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validates files of records without contacting the platform.
    Check(Files),
    /// Creates or updates the records in files; other stored records stay as they are.
    Apply(Apply),
    /// Withdraws records, such as service/ledger.
    Withdraw(Records),
    /// Shows stored records: all, all of one kind, or one.
    Get(Get),
    /// Issues or withdraws API keys.
    #[command(subcommand)]
    Key(Key),
    /// Drains a backend server, an entry VM or a failure domain, or ends a drain.
    Drain(Drain),
    /// Shows the state of all machines.
    Status,
    /// Shows the events of all processes, merged in causal order.
    Timeline(Timeline),
    /// Shows from logs how a request ended, and why; needs no platform.
    Explain(Explain),
}

/// The arguments of `explain`.
#[derive(Debug, Args)]
#[command(after_help = "Example: cat vm-*.log | waxwing explain 733b430cae9237c4")]
pub struct Explain {
    /// The request id that the caller sent.
    pub request: String,
    /// Log files of the machines; reads standard input if there are none.
    pub logs: Vec<path::PathBuf>,
}

/// The arguments of `check`.
#[derive(Debug, Args)]
pub struct Files {
    /// YAML files with one or more records each.
    #[arg(required = true)]
    pub files: Vec<path::PathBuf>,
}

/// The arguments of `apply`.
#[derive(Debug, Args)]
pub struct Apply {
    /// YAML files with one or more records each.
    #[arg(required = true)]
    pub files: Vec<path::PathBuf>,
    /// Shows what would change, and writes nothing.
    #[arg(long)]
    pub dry_run: bool,
}

/// The arguments of `withdraw`.
#[derive(Debug, Args)]
pub struct Records {
    /// Kind and name of each record, such as service/ledger.
    #[arg(required = true)]
    pub records: Vec<record::RecordId>,
}

/// The arguments of `get`.
#[derive(Debug, Args)]
pub struct Get {
    /// A kind, such as service, or a kind and a name, such as service/ledger.
    pub what: Option<String>,
}

/// A subcommand of `waxwing key`.
#[derive(Debug, Subcommand)]
pub enum Key {
    /// Generates a key for an organisation and prints it once; only its digest is stored.
    Issue {
        /// Name of the key record; not the key itself.
        name: id::RecordName,
        /// The organisation that the key authenticates.
        #[arg(long)]
        organisation: id::OrganisationId,
    },
    /// Withdraws a key, so that entry VMs reject it.
    Withdraw {
        /// Name of the key record; not the key itself.
        name: id::RecordName,
    },
}

/// The arguments of `drain`.
#[derive(Debug, Args)]
pub struct Drain {
    /// Name of the drain; give the same name to end it.
    pub name: id::RecordName,
    /// What to drain, or that the drain ends.
    #[command(flatten)]
    pub target: DrainTarget,
}

/// What to drain, or that the drain ends.
#[derive(Debug, Args)]
#[group(required = true, multiple = false)]
pub struct DrainTarget {
    /// Drains a backend server.
    #[arg(long)]
    pub backend_server: Option<id::BackendServerId>,
    /// Drains an entry VM.
    #[arg(long)]
    pub entry_vm: Option<id::VmId>,
    /// Drains a failure domain.
    #[arg(long)]
    pub failure_domain: Option<id::FailureDomainId>,
    /// Ends the drain.
    #[arg(long)]
    pub end: bool,
}

/// The arguments of `timeline`.
#[derive(Debug, Args)]
pub struct Timeline {
    /// Only events of this request.
    #[arg(long)]
    pub request: Option<id::RequestId>,
    /// Only events of this organisation.
    #[arg(long)]
    pub organisation: Option<id::OrganisationId>,
    /// Only events of this machine.
    #[arg(long)]
    pub vm: Option<id::VmId>,
    /// Keeps printing new events until interrupted.
    #[arg(long)]
    pub follow: bool,
}
