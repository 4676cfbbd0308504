//! Runs the test double of a backend server.

use std::net;

use clap::Parser;
use waxwing_stand_ins::backend;

/// Test double of a backend server; records requests and injects faults.
#[derive(Debug, Parser)]
struct Arguments {
    /// The address to listen on.
    #[arg(long)]
    listen: net::SocketAddr,
    /// The name of the server, with which its responses begin.
    #[arg(long)]
    name: String,
    /// How many requests the server runs at the same time.
    #[arg(long, default_value_t = 3)]
    slots: u32,
}

#[ntex::main]
async fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    let backend = backend::Backend::new(arguments.name, arguments.slots);
    backend::serve(arguments.listen, backend)?.await?;
    Ok(())
}
