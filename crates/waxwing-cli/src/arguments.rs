//! The command line.

use std::path;

use clap::{Args, Parser, Subcommand};
use waxwing_record::record;
use waxwing_units::id;

/// Operates waxwingreach: writes and withdraws records, and shows what the machines do.
#[derive(Debug, Parser)]
#[command(
    name = "waxwing",
    after_help = "Exit codes: 0 done, 1 failed and nothing was changed, 2 arguments, settings or \
                  records wrong, 3 another operator changed a record at the same time, 4 not \
                  known whether all changes took effect."
)]
pub struct Arguments {
    /// The YAML file that says where the platform and the machines answer.
    #[arg(long, global = true, default_value = "waxwing.yaml", value_name = "FILE")]
    pub settings: path::PathBuf,
    /// Prints JSON in place of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks files of records without calling the platform.
    Check(Files),
    /// Writes the records in files; records that are not in the files stay as they are.
    Apply(Apply),
    /// Withdraws records, such as service/ledger.
    Withdraw(Records),
    /// Shows stored records: all, those of a kind, or one.
    Get(Get),
    /// Issues and withdraws keys.
    #[command(subcommand)]
    Key(Key),
    /// Takes a backend server, an entry VM or a failure domain out of use, or back into use.
    Drain(Drain),
    /// Shows the state of all machines.
    Status,
    /// Shows the events of all processes in one order.
    Timeline(Timeline),
    /// Tells from logs what became of a request, and why; needs no platform.
    Explain(Explain),
}

/// The arguments of `explain`.
#[derive(Debug, Args)]
#[command(after_help = "Example: cat vm-*.log | waxwing explain 733b430cae9237c4")]
pub struct Explain {
    /// The caller's name for the request.
    pub request: String,
    /// The logs of the machines; standard input without them.
    pub logs: Vec<path::PathBuf>,
}

/// Files of records.
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
    /// Shows what would change and writes nothing.
    #[arg(long)]
    pub dry_run: bool,
}

/// The arguments of `withdraw`.
#[derive(Debug, Args)]
pub struct Records {
    /// Kind and name, such as service/ledger.
    #[arg(required = true)]
    pub records: Vec<record::RecordId>,
}

/// The arguments of `get`.
#[derive(Debug, Args)]
pub struct Get {
    /// A kind, such as service, or a kind and a name, such as service/ledger.
    pub what: Option<String>,
}

/// What to do with a key.
#[derive(Debug, Subcommand)]
pub enum Key {
    /// Makes a key for an organisation and prints it once; only its digest is stored.
    Issue {
        /// The name under which operators know the key.
        name: id::RecordName,
        /// The organisation.
        #[arg(long)]
        organisation: id::OrganisationId,
    },
    /// Withdraws a key.
    Withdraw {
        /// The name under which operators know the key.
        name: id::RecordName,
    },
}

/// The arguments of `drain`.
#[derive(Debug, Args)]
pub struct Drain {
    /// The name of the drain, under which it ends.
    pub name: id::RecordName,
    /// What is drained, and whether the drain ends.
    #[command(flatten)]
    pub target: DrainTarget,
}

/// What is drained, and whether the drain ends.
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
    /// Goes on with new events until it is stopped.
    #[arg(long)]
    pub follow: bool,
}
