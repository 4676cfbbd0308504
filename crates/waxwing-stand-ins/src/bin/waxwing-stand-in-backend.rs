//! Runs the stand-in for a backend server.

use std::net;

use clap::Parser;
use waxwing_stand_ins::backend;

/// Stands in for a backend server.
#[derive(Debug, Parser)]
struct Arguments {
    /// Where to listen.
    #[arg(long)]
    listen: net::SocketAddr,
    /// The name that answers begin with.
    #[arg(long)]
    name: String,
    /// How many requests it bears at a time.
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
