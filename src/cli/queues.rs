//! `queues`: AMQP work queues.

use super::args::QueuesCommand;
use super::config::{folder_of, read};
use super::error::CliError;
use super::{init_logging, print_line, runtime};
use cometlead_queues::runtime::QueueService;
use cometlead_queues::settings::QueueSettings;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Executes `queues` or one of its subcommands.
pub fn execute(
    settings_path: Option<&str>,
    command: Option<&QueuesCommand>,
) -> Result<ExitCode, CliError> {
    if let Some(QueuesCommand::Schema) = command {
        print_line(&QueueSettings::schema());
        return Ok(ExitCode::SUCCESS);
    }
    let queues = load(settings_path.ok_or(CliError::MissingQueueSettings)?)?;
    if let Some(QueuesCommand::Check) = command {
        print_line("ok");
        return Ok(ExitCode::SUCCESS);
    }
    init_logging();
    runtime()?.block_on(serve(queues))?;
    Ok(ExitCode::SUCCESS)
}

fn load(path: &str) -> Result<QueueService, CliError> {
    let text = read(path)?;
    QueueSettings::parse(&text)
        .and_then(|settings| QueueService::new(settings, folder_of(path)))
        .map_err(|source| CliError::Queues {
            path: path.to_owned(),
            source: Box::new(source),
        })
}

/// Serves the queues until SIGTERM or SIGINT.
async fn serve(queues: QueueService) -> Result<(), CliError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(CliError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CliError::Runtime)?;
    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    queues.serve(rand::random(), stop).await;
    Ok(())
}
