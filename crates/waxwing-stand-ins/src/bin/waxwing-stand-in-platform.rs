//! Runs the test double of the platform.

use std::fs;
use std::net;
use std::path;

use clap::Parser;
use waxwing_stand_ins::platform;

/// Test double of the platform: a key-value store and a list of entry VMs.
#[derive(Debug, Parser)]
struct Arguments {
    /// The address to listen on.
    #[arg(long)]
    listen: net::SocketAddr,
    /// A JSON file with the initial list of entry VMs.
    #[arg(long)]
    vms: Option<path::PathBuf>,
}

#[ntex::main]
async fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    let platform = platform::Platform::default();
    if let Some(path) = arguments.vms {
        platform.set_vms(serde_json::from_str(&fs::read_to_string(path)?)?);
    }
    platform::serve(arguments.listen, platform)?.await?;
    Ok(())
}
