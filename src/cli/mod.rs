//! The command line: arguments, subcommands and their errors.

mod args;
mod config;
mod controller;
mod error;
#[cfg(feature = "queues")]
mod queues;
mod rules;

pub use args::Cli;
pub use error::CliError;

use args::Command;
use std::io::Write;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

impl Cli {
    /// Executes the command.
    pub fn execute(&self) -> Result<ExitCode, CliError> {
        let settings = self.settings.as_deref();
        match &self.command {
            None => controller::run(self.config.as_deref(), settings),
            Some(Command::Check { config }) => {
                let config = config.as_deref().or(self.config.as_deref());
                controller::check(config, settings)
            }
            Some(Command::Schema) => Ok(controller::print_schema()),
            #[cfg(feature = "queues")]
            Some(Command::Queues { command }) => queues::execute(settings, command.as_ref()),
            Some(Command::Rules(command)) => rules::execute(command),
        }
    }
}

/// Prints a line to standard output. A reader that has closed it is not an error.
fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Creates an asynchronous runtime on the current thread.
fn runtime() -> Result<tokio::runtime::Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)
}

/// Starts logging to standard error, at the level of the environment variable `LOG_LEVEL`.
fn init_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("error") => LevelFilter::ERROR,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
}
