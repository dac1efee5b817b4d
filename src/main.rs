//! The command line of cometlead.

use clap::{Parser, Subcommand};
use cometlead::coordination::Controller;
use cometlead::coordination::api::connections::SocketPlan;
use cometlead::explain::Report;
use cometlead::protocol::operator::OperatorSettings;
use cometlead::protocol::settings::Settings;
use cometlead::time::Micros;
use cometlead::transport::node::Node;
use cometlead::transport::{peers, server};
use cometlead_constraints::RuleSet;
use comfy_table::Table;
use std::path::Path;
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
enum QueuesCommand {
    /// Checks the settings and the files that they name, without connecting to anything.
    Check,
    /// Prints the schema of the settings.
    Schema,
}

/// What is done with rules.
#[derive(Subcommand)]
enum RulesCommand {
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

/// Prints a line. A reader that has gone away is nobody's mistake.
fn say(line: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// The exit status for a job that no machine could run.
const IMPOSSIBLE: u8 = 3;

fn read(path: &str) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|e| format!("{path}: {e}"))
}

fn operator_settings(path: Option<&str>) -> Result<OperatorSettings, String> {
    let Some(path) = path else {
        return Ok(OperatorSettings::default());
    };
    OperatorSettings::parse(&read(path)?).map_err(|e| format!("{path}: {e}"))
}

/// Where a settings file lies, and with it what it names.
fn folder_of(path: &str) -> &Path {
    Path::new(path).parent().unwrap_or(Path::new(""))
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())
}

/// The rules that the settings name.
fn rules(
    settings: Option<&str>,
    operator: &OperatorSettings,
) -> Result<Option<Arc<RuleSet>>, String> {
    let (Some(settings), Some(rules)) = (settings, &operator.rules) else {
        return Ok(None);
    };
    let path = folder_of(settings).join(rules);
    let path = path.to_string_lossy();
    Ok(Some(Arc::new(
        RuleSet::parse(&read(&path)?).map_err(|e| format!("{path}: {e}"))?,
    )))
}

/// All that a controller is started with.
struct Loaded {
    settings: Option<Settings>,
    operator: OperatorSettings,
    rules: Option<Arc<RuleSet>>,
}

fn load(cli: &Cli, config: Option<&str>) -> Result<Loaded, String> {
    let settings = config
        .map(Settings::load)
        .transpose()
        .map_err(|e| e.to_string())?;
    let operator = operator_settings(cli.settings.as_deref())?;
    let rules = rules(cli.settings.as_deref(), &operator)?;
    if let (Some(settings), Some(rules)) = (&settings, &rules) {
        // They are kept as one value at the state service, under whichever limits hold.
        let bytes = serde_json::to_vec(&**rules).map_or(usize::MAX, |v| v.len());
        let most = settings
            .limits
            .value_bytes
            .min(settings.next_limits.value_bytes);
        if bytes > most {
            return Err(format!(
                "rules: the file takes {bytes} bytes, the state service keeps {most} in one value"
            ));
        }
    }
    Ok(Loaded {
        settings,
        operator,
        rules,
    })
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

fn run(
    settings: Settings,
    operator: OperatorSettings,
    rules: Option<Arc<RuleSet>>,
) -> Result<(), String> {
    start_log();
    runtime()?.block_on(async {
        let settings = Arc::new(settings);
        let seed = rand::random();
        tracing::info!(
            node = settings.node,
            run = format!("{seed:016x}"),
            "starting"
        );
        if settings.contact_limit() == Micros::ZERO {
            tracing::error!(
                "params.workers.cancel_s leaves no time beside lease_s: no worker can be answered"
            );
        }
        let node = Node::new(
            Controller::new(Arc::clone(&settings), operator, seed).with_rules(rules),
            &settings,
        );
        let sockets = SocketPlan::new(settings.connections, settings.others.len());
        tokio::spawn(server::serve(
            Arc::clone(&node),
            settings.bind,
            sockets.served,
        ));
        tokio::spawn(peers::listen(
            Arc::clone(&node),
            settings.back,
            settings.others.len(),
        ));
        for other in &settings.others {
            tokio::spawn(peers::send_hints(Arc::clone(&node), other.back));
        }
        node.run().await;
    });
    Ok(())
}

fn yes(is: bool) -> String {
    (if is { "yes" } else { "no" }).to_owned()
}

fn explain(report: &Report) -> String {
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(["machine", "may run", "worth", "rule", "met", "clause"]);
    for m in &report.machines {
        let mut rows: Vec<[String; 3]> = Vec::new();
        for f in &m.verdict.findings {
            let mut rule = match f.weight {
                None => f.rule.clone(),
                Some(weight) => format!("{} (prefers, {weight})", f.rule),
            };
            for c in &f.clauses {
                rows.push([std::mem::take(&mut rule), yes(c.met), c.text.clone()]);
            }
        }
        rows.extend(
            m.against
                .iter()
                .map(|what| [what.clone(), yes(false), String::new()]),
        );
        if rows.is_empty() {
            rows.push(Default::default());
        }
        let mut head = [m.host.clone(), yes(m.allowed), m.verdict.worth.to_string()];
        for row in rows {
            table.add_row(std::mem::take(&mut head).into_iter().chain(row));
        }
    }
    let end = if report.possible {
        "possible".to_owned()
    } else {
        format!(
            "impossible: no machine that could be had meets all of: {}",
            report.clash.join(", ")
        )
    };
    format!("{table}\n{end}")
}

fn act_on_rules(command: &RulesCommand) -> Result<ExitCode, String> {
    match command {
        RulesCommand::Check { file } => {
            let set = RuleSet::parse(&read(file)?).map_err(|e| format!("{file}: {e}"))?;
            say(&format!(
                "ok: {} rules, version {:016x}",
                set.rules.len(),
                set.digest
            ));
        }
        RulesCommand::Schema => say(&RuleSet::schema()),
        RulesCommand::Explain {
            rules,
            job,
            machines,
            json,
        } => {
            let report = cometlead::explain::report(&read(rules)?, &read(job)?, &read(machines)?)
                .map_err(|e| e.to_string())?;
            if *json {
                say(&serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?);
            } else {
                say(&explain(&report));
            }
            if !report.possible {
                return Ok(ExitCode::from(IMPOSSIBLE));
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

#[cfg(feature = "queues")]
fn act_on_queues(
    settings: Option<&str>,
    command: Option<&QueuesCommand>,
) -> Result<ExitCode, String> {
    use cometlead_queues::runtime::QueueService;
    use cometlead_queues::settings::QueueSettings;
    if let Some(QueuesCommand::Schema) = command {
        say(&QueueSettings::schema());
        return Ok(ExitCode::SUCCESS);
    }
    let path = settings.ok_or("--settings FILE is missing; see queues --help")?;
    let bad = |e: &dyn std::fmt::Display| format!("{path}: {e}");
    let parsed = QueueSettings::parse(&read(path)?).map_err(|e| bad(&e))?;
    let queues = QueueService::new(parsed, folder_of(path)).map_err(|e| bad(&e))?;
    if let Some(QueuesCommand::Check) = command {
        say("ok");
        return Ok(ExitCode::SUCCESS);
    }
    start_log();
    runtime()?.block_on(async {
        use tokio::signal::unix::{SignalKind, signal};
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
        let stop = async {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        };
        queues.serve(rand::random(), stop).await;
        Ok(ExitCode::SUCCESS)
    })
}

fn act(cli: &Cli) -> Result<ExitCode, String> {
    match &cli.command {
        Some(Command::Schema) => {
            say(&OperatorSettings::schema());
            Ok(ExitCode::SUCCESS)
        }
        Some(Command::Rules(command)) => act_on_rules(command),
        #[cfg(feature = "queues")]
        Some(Command::Queues { command }) => {
            act_on_queues(cli.settings.as_deref(), command.as_ref())
        }
        Some(Command::Check { config }) => {
            let config = config.as_deref().or(cli.config.as_deref());
            if config.is_none() && cli.settings.is_none() {
                return Err("nothing to check: give --config, --settings or both".to_owned());
            }
            load(cli, config)?;
            say("ok");
            Ok(ExitCode::SUCCESS)
        }
        None => match load(cli, cli.config.as_deref())? {
            Loaded {
                settings: Some(settings),
                operator,
                rules,
            } => run(settings, operator, rules).map(|()| ExitCode::SUCCESS),
            _ => Err("--config FILE is missing; see --help".to_owned()),
        },
    }
}

fn main() -> ExitCode {
    match act(&Cli::parse()) {
        Ok(status) => status,
        Err(problem) => {
            eprintln!("cometlead: {problem}");
            ExitCode::FAILURE
        }
    }
}
