//! Command line of the emulator.

use clap::{Parser, Subcommand};
use cometlead_emulator::capacity::{Capacity, Slopes};
use cometlead_emulator::run::run;
use cometlead_emulator::scenario::Scenario;
use indicatif::{ProgressBar, ProgressStyle};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Scale runs: real cometlead controllers with fake workers, users, clouds and state services.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario. Exits with 1 if an invariant was violated or a controller exited by itself.
    Run {
        /// Scenario file (TOML).
        scenario: PathBuf,
        /// Controller binary.
        #[arg(long, default_value = "target/release/cometlead")]
        binary: PathBuf,
        /// Folder for results, deploy files and logs.
        #[arg(long, default_value = "target/emulator")]
        out: PathBuf,
        /// File to which the slopes fitted to the steps of the scenario are written.
        #[arg(long)]
        slopes: Option<PathBuf>,
    },
    /// Prints the tables of the capacity page, or updates them in the page.
    Capacity {
        /// Capacity file (TOML), with `slopes.toml` in the same folder.
        data: PathBuf,
        /// Page to update.
        #[arg(long)]
        page: Option<PathBuf>,
    },
}

fn run_scenario(
    scenario: &Path,
    binary: &Path,
    out: &Path,
    slopes: Option<&Path>,
) -> Result<ExitCode, Box<dyn Error>> {
    let loaded = Scenario::load(scenario)?;
    let spinner = ProgressBar::new_spinner();
    spinner.set_style(ProgressStyle::with_template("{elapsed_precise} {msg}")?);
    let mut results = Vec::new();
    let mut success = true;
    for step in loaded.runs() {
        let name = step.name.clone();
        let progress = spinner.clone();
        let result = run(&step, binary, out, &move |text| {
            progress.set_message(format!("{name}: {text}"));
        })?;
        result.write(out)?;
        spinner.suspend(|| println!("{}\n{}\n", result.name, result.table()));
        success &= result.violation_counts.is_empty() && result.exited_controllers == 0;
        results.push(result);
    }
    spinner.finish_and_clear();
    if !loaded.steps.is_empty() {
        let fitted = Slopes::from_runs(
            &format!("cometlead-emulator run {}", scenario.display()),
            &results,
        );
        for ((role, resource), slopes) in fitted.descriptions() {
            println!("{role}, {resource}: {}", slopes.join("; "));
        }
        if let Some(path) = slopes {
            std::fs::write(path, fitted.to_toml()?)?;
        }
    }
    Ok(if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn capacity(data: &Path, page: Option<&Path>) -> Result<ExitCode, Box<dyn Error>> {
    let capacity = Capacity::load(data)?;
    match page {
        Some(path) => std::fs::write(path, capacity.update_page(&std::fs::read_to_string(path)?)?)?,
        None => println!(
            "{}{}",
            capacity.resource_tables(),
            capacity.requirements_table()
        ),
    }
    let over_budget = capacity.over_budget();
    over_budget
        .iter()
        .for_each(|line| eprintln!("beyond its budget: {line}"));
    Ok(if over_budget.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn main() -> ExitCode {
    let outcome = match Cli::parse().command {
        Command::Run {
            scenario,
            binary,
            out,
            slopes,
        } => run_scenario(&scenario, &binary, &out, slopes.as_deref()),
        Command::Capacity { data, page } => capacity(&data, page.as_deref()),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("cometlead-emulator: {error}");
        ExitCode::FAILURE
    })
}
