//! Runs a controller, or checks its settings.

use super::config::Config;
use super::error::CliError;
use super::{init_logging, print_line, runtime};
use cometlead::coordination::Controller;
use cometlead::coordination::api::connections::SocketPlan;
use cometlead::protocol::operator::OperatorSettings;
use cometlead::protocol::settings::Settings;
use cometlead::time::Micros;
use cometlead::transport::node::Node;
use cometlead::transport::{peers, server};
use cometlead_constraints::RuleSet;
use std::process::ExitCode;
use std::sync::Arc;

/// `check`: validates the files that the command line names.
pub fn check(deploy_path: Option<&str>, operator_path: Option<&str>) -> Result<ExitCode, CliError> {
    if deploy_path.is_none() && operator_path.is_none() {
        return Err(CliError::NothingToCheck);
    }
    Config::load(deploy_path, operator_path)?;
    print_line("ok");
    Ok(ExitCode::SUCCESS)
}

/// `schema`: prints the schema of the operator's settings.
pub fn print_schema() -> ExitCode {
    print_line(&OperatorSettings::schema());
    ExitCode::SUCCESS
}

/// Runs a controller until the process ends.
pub fn run(deploy_path: Option<&str>, operator_path: Option<&str>) -> Result<ExitCode, CliError> {
    let config = Config::load(deploy_path, operator_path)?;
    let settings = config.settings.ok_or(CliError::MissingConfig)?;
    init_logging();
    runtime()?.block_on(serve(Arc::new(settings), config.operator, config.rules));
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: Arc<Settings>, operator: OperatorSettings, rules: Option<Arc<RuleSet>>) {
    let incarnation = rand::random();
    tracing::info!(
        node = settings.node,
        run = format!("{incarnation:016x}"),
        "starting"
    );
    if !settings.write_rates_suffice() {
        tracing::error!("params.state.write_rps is below 3: the ends of jobs cannot be recorded");
    }
    if settings.max_contact_age() == Micros::ZERO {
        tracing::error!(
            "params.workers.cancel_s leaves no time after lease_s: agent leases cannot be renewed"
        );
    }
    let controller =
        Controller::new(Arc::clone(&settings), operator, incarnation).with_rules(rules);
    let node = Node::new(controller, &settings);
    spawn_listeners(&node, &settings);
    node.run().await;
}

/// Starts the server for users and agents, and the links to and from all peers.
fn spawn_listeners(node: &Arc<Node>, settings: &Settings) {
    let sockets = SocketPlan::new(settings.max_connections, settings.peers.len());
    tokio::spawn(server::serve(
        Arc::clone(node),
        settings.bind,
        sockets.server_connections,
    ));
    tokio::spawn(peers::listen(
        Arc::clone(node),
        settings.peer_bind,
        settings.peers.len(),
    ));
    for peer in &settings.peers {
        tokio::spawn(peers::send_hints(Arc::clone(node), peer.address));
    }
}
