//! Runs the stand-in for the platform.

use std::net;

use clap::Parser;
use waxwing_stand_ins::platform;

/// Stands in for the platform's key-value store and list of entry VMs.
#[derive(Debug, Parser)]
struct Arguments {
    /// Where to listen.
    #[arg(long)]
    listen: net::SocketAddr,
}

#[ntex::main]
async fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    platform::serve(arguments.listen, platform::Platform::default())?.await?;
    Ok(())
}
