//! The command line of cometlead.

use clap::{Parser, Subcommand};
use cometlead::coordination::Controller;
use cometlead::protocol::operator::OperatorSettings;
use cometlead::protocol::settings::Settings;
use cometlead::transport::node::Node;
use cometlead::transport::{peers, server};
use std::process::ExitCode;
use std::sync::Arc;
use tracing::level_filters::LevelFilter;

/// A shared-state cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// The platform's deploy file (JSON): runs a controller with it.
    #[arg(long, value_name = "FILE")]
    config: Option<String>,
    /// Operators' own settings (JSON, see `schema`).
    #[arg(long, value_name = "FILE", global = true)]
    settings: Option<String>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Checks settings files without running anything.
    Check {
        /// The platform's deploy file.
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
    },
    /// Prints the schema of the operators' own settings.
    Schema,
}

fn operator_settings(path: Option<&str>) -> Result<OperatorSettings, String> {
    let Some(path) = path else {
        return Ok(OperatorSettings::default());
    };
    let text = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    OperatorSettings::parse(&text).map_err(|e| format!("{path}: {e}"))
}

fn load(cli: &Cli, config: Option<&str>) -> Result<(Option<Settings>, OperatorSettings), String> {
    let settings = config.map(Settings::load).transpose().map_err(|e| e.to_string())?;
    Ok((settings, operator_settings(cli.settings.as_deref())?))
}

fn start_log() {
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

fn run(settings: Settings, operator: OperatorSettings) -> Result<(), String> {
    start_log();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let settings = Arc::new(settings);
        let seed = rand::random();
        tracing::info!(node = settings.node, run = format!("{seed:016x}"), "starting");
        let node = Node::new(Controller::new(Arc::clone(&settings), operator, seed), &settings);
        // Of the sockets, a quarter is for calls to others, and some for the peers.
        let serving = settings.connections / 2;
        tokio::spawn(server::serve(Arc::clone(&node), settings.bind, serving));
        tokio::spawn(peers::listen(Arc::clone(&node), settings.back, settings.others.len()));
        for other in &settings.others {
            tokio::spawn(peers::tell(Arc::clone(&node), other.back));
        }
        node.run().await;
    });
    Ok(())
}

fn act(cli: &Cli) -> Result<(), String> {
    match &cli.command {
        Some(Command::Schema) => {
            println!("{}", OperatorSettings::schema());
            Ok(())
        }
        Some(Command::Check { config }) => {
            let config = config.as_deref().or(cli.config.as_deref());
            if config.is_none() && cli.settings.is_none() {
                return Err("nothing to check: give --config, --settings or both".to_owned());
            }
            load(cli, config)?;
            println!("ok");
            Ok(())
        }
        None => match load(cli, cli.config.as_deref())? {
            (Some(settings), operator) => run(settings, operator),
            _ => Err("--config FILE is missing; see --help".to_owned()),
        },
    }
}

fn main() -> ExitCode {
    match act(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("cometlead: {problem}");
            ExitCode::FAILURE
        }
    }
}
