//! Why a command failed.

use cometlead::protocol::operator::OperatorSettingsError;
use cometlead::protocol::settings::SettingsError;
use cometlead_constraints::RulesError;
use std::io;
use std::process::ExitCode;
use thiserror::Error;

/// Why a command failed; one line for standard error.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The failure of the operating system.
        source: io::Error,
    },
    /// The deploy file cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The operator's settings file cannot be used.
    #[error("{path}: {source}")]
    OperatorSettings {
        /// Path of the file.
        path: String,
        /// What is wrong with it.
        source: OperatorSettingsError,
    },
    /// A rules file cannot be used.
    #[error("{path}: {source}")]
    Rules {
        /// Path of the file.
        path: String,
        /// What is wrong with it.
        source: RulesError,
    },
    /// The rules do not fit into a value of the state store.
    #[error("rules: the file takes {bytes} bytes, the state service keeps {limit} in one value")]
    RulesTooLarge {
        /// Size of the rules as they are stored.
        bytes: usize,
        /// Size of the largest value.
        limit: usize,
    },
    /// The files of `rules explain` cannot be used.
    #[error(transparent)]
    Explain(#[from] cometlead::explain::ExplainError),
    /// A report cannot be encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings of the queues cannot be used.
    #[cfg(feature = "queues")]
    #[error("{path}: {source}")]
    Queues {
        /// Path of the file.
        path: String,
        /// What is wrong with it, or with a file that it names.
        source: Box<cometlead_queues::settings::SettingsError>,
    },
    /// `queues` was run without a settings file.
    #[cfg(feature = "queues")]
    #[error("--settings FILE is missing; see queues --help")]
    MissingQueueSettings,
    /// A controller was started without a deploy file.
    #[error("--config FILE is missing; see --help")]
    MissingConfig,
    /// `check` was run without a file.
    #[error("nothing to check: give --config, --settings or both")]
    NothingToCheck,
    /// The asynchronous runtime or a signal handler cannot be set up.
    #[error(transparent)]
    Runtime(io::Error),
}

impl CliError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::FAILURE
    }
}
