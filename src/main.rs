//! The executable of cometlead.

mod cli;

use clap::Parser;
use cli::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    match Cli::parse().execute() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cometlead: {error}");
            error.exit_code()
        }
    }
}
