//! The `waxwing` binary: parses the command line, runs the command and sets the exit code.

use std::process;

use clap::Parser;
use waxwing_cli::arguments;
use waxwing_cli::run;

#[ntex::main]
async fn main() {
    let arguments = arguments::Arguments::parse();
    let exit = match run::run(arguments).await {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("waxwing: {error:#}");
            run::Exit::Failed
        }
    };
    process::exit(exit.code());
}
