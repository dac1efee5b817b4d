//! The command line of the scale runs.

use clap::{Parser, Subcommand};
use cometlead_emulator::capacity::{Capacity, Slopes};
use cometlead_emulator::run::run;
use cometlead_emulator::scenario::Scenario;
use indicatif::{ProgressBar, ProgressStyle};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Scale runs: real cometlead controllers beside hollow workers, users, clouds and state services.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario. Exits with 1 if a rule was broken or a controller ended by itself.
    Run {
        /// The scenario (TOML).
        scenario: PathBuf,
        /// The controllers' binary.
        #[arg(long, default_value = "target/release/cometlead")]
        binary: PathBuf,
        /// Where results, deploy files and logs go.
        #[arg(long, default_value = "target/emulator")]
        out: PathBuf,
        /// Also writes the slopes here that were fitted to the scenario's steps.
        #[arg(long)]
        slopes: Option<PathBuf>,
    },
    /// Prints the tables of the capacity page, or writes them into it.
    Capacity {
        /// The page's data (TOML), with `slopes.toml` beside it.
        data: PathBuf,
        /// The page to be written.
        #[arg(long)]
        page: Option<PathBuf>,
    },
}

fn play(
    scenario: &Path,
    binary: &Path,
    out: &Path,
    slopes: Option<&Path>,
) -> Result<ExitCode, Box<dyn Error>> {
    let loaded = Scenario::load(scenario)?;
    let bar = ProgressBar::new_spinner();
    bar.set_style(ProgressStyle::with_template("{elapsed_precise} {msg}")?);
    let mut results = Vec::new();
    let mut good = true;
    for one in loaded.runs() {
        let name = one.name.clone();
        let progress = bar.clone();
        let result = run(&one, binary, out, &move |text| {
            progress.set_message(format!("{name}: {text}"));
        })?;
        result.write(out)?;
        bar.suspend(|| println!("{}\n{}\n", result.name, result.table()));
        good &= result.broken.is_empty() && result.ended_by_themselves == 0;
        results.push(result);
    }
    bar.finish_and_clear();
    if !loaded.steps.is_empty() {
        let fitted = Slopes::of(
            &format!("cometlead-emulator run {}", scenario.display()),
            &results,
        );
        for ((role, resource), slopes) in fitted.rows() {
            println!("{role}, {resource}: {}", slopes.join("; "));
        }
        if let Some(path) = slopes {
            std::fs::write(path, fitted.text()?)?;
        }
    }
    Ok(if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn capacity(data: &Path, page: Option<&Path>) -> Result<ExitCode, Box<dyn Error>> {
    let capacity = Capacity::load(data)?;
    match page {
        Some(path) => std::fs::write(path, capacity.page(&std::fs::read_to_string(path)?)?)?,
        None => println!("{}{}", capacity.tables(), capacity.lines()),
    }
    let beyond = capacity.over_budget();
    beyond
        .iter()
        .for_each(|line| eprintln!("beyond its budget: {line}"));
    Ok(if beyond.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run {
            scenario,
            binary,
            out,
            slopes,
        } => play(&scenario, &binary, &out, slopes.as_deref()),
        Command::Capacity { data, page } => capacity(&data, page.as_deref()),
    };
    done.unwrap_or_else(|problem| {
        eprintln!("cometlead-emulator: {problem}");
        ExitCode::FAILURE
    })
}
