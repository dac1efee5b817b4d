//! The command line. Doc comments here are the texts of `--help`.

use clap::{Parser, Subcommand};

/// A shared-state cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
pub struct Cli {
    /// The platform's deploy file (JSON): runs a controller with it.
    #[arg(long, value_name = "FILE")]
    pub config: Option<String>,
    /// Operators' own settings (JSON, see `schema`).
    #[arg(long, value_name = "FILE", global = true)]
    pub settings: Option<String>,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Checks settings files without running anything.
    Check {
        /// The platform's deploy file.
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
    },
    /// Prints the schema of the operators' own settings.
    Schema,
    /// AMQP work queues: takes submissions from a broker's queues, and gives each message its one answer.
    ///
    /// It is a user of the controllers, and may run beside them or elsewhere, in any number. SIGTERM ends it: what is
    /// certain is answered, and the rest goes back to the broker.
    #[cfg(feature = "queues")]
    #[command(args_conflicts_with_subcommands = true)]
    Queues {
        #[command(subcommand)]
        command: Option<QueuesCommand>,
    },
    /// Rules for where jobs run: checks a file, explains what it makes of a job.
    #[command(subcommand)]
    Rules(RulesCommand),
}

/// What is done with the queues' settings.
#[cfg(feature = "queues")]
#[derive(Subcommand)]
pub enum QueuesCommand {
    /// Checks the settings and the files that they name, without connecting to anything.
    Check,
    /// Prints the schema of the settings.
    Schema,
}

/// What is done with rules.
#[derive(Subcommand)]
pub enum RulesCommand {
    /// Checks a rules file; what is wrong is named with its place.
    Check {
        /// The rules file (JSON, see `rules schema`).
        file: String,
    },
    /// Tells machine by machine which rules a job would meet, clause by clause. Exits with 0 if some machine
    /// could run the job, with 3 if the rules make that impossible, and with 1 if a file cannot be read.
    Explain {
        /// The rules file.
        #[arg(long, value_name = "FILE")]
        rules: String,
        /// The job, as `POST /work` takes it.
        #[arg(long, value_name = "FILE")]
        job: String,
        /// The cloud's catalogue, and machines with what is on them:
        /// `{"catalog": …, "machines": [{"host", "build", "yard", "loaners", "images", "jobs"}]}`.
        #[arg(long, value_name = "FILE")]
        machines: String,
        /// Prints JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Prints the schema of rules files.
    Schema,
}
