//! `rules`: checks rules files, and explains how their rules apply to a job.

use super::args::RulesCommand;
use super::config::{read, read_rules};
use super::error::CliError;
use super::print_line;
use cometlead::explain::{self, Report};
use cometlead_constraints::RuleSet;
use comfy_table::Table;
use std::process::ExitCode;

/// The exit code for a job that no machine can run.
const EXIT_CODE_IMPOSSIBLE: u8 = 3;

/// Executes a subcommand of `rules`.
pub fn execute(command: &RulesCommand) -> Result<ExitCode, CliError> {
    match command {
        RulesCommand::Check { file } => check(file),
        RulesCommand::Schema => {
            print_line(&RuleSet::schema());
            Ok(ExitCode::SUCCESS)
        }
        RulesCommand::Explain {
            rules,
            job,
            machines,
            json,
        } => {
            let report = explain::report(&read(rules)?, &read(job)?, &read(machines)?)
                .map_err(CliError::Explain)?;
            print_report(&report, *json)
        }
    }
}

fn check(file: &str) -> Result<ExitCode, CliError> {
    let rule_set = read_rules(file)?;
    print_line(&format!(
        "ok: {} rules, version {:016x}",
        rule_set.rules.len(),
        rule_set.digest
    ));
    Ok(ExitCode::SUCCESS)
}

fn print_report(report: &Report, json: bool) -> Result<ExitCode, CliError> {
    if json {
        print_line(&serde_json::to_string_pretty(report)?);
    } else {
        print_line(&format!("{}\n{}", table(report), conclusion(report)));
    }
    if report.possible {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(EXIT_CODE_IMPOSSIBLE))
    }
}

/// A table with the rules of each machine, clause by clause.
fn table(report: &Report) -> Table {
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(["machine", "may run", "worth", "rule", "met", "clause"]);
    for machine in &report.machines {
        let mut rows: Vec<[String; 3]> = Vec::new();
        for finding in &machine.explanation.findings {
            let mut rule = match finding.weight {
                None => finding.rule.clone(),
                Some(weight) => format!("{} (prefers, {weight})", finding.rule),
            };
            for clause in &finding.clauses {
                // The rule's name is only shown with its first clause.
                let rule = std::mem::take(&mut rule);
                rows.push([rule, yes_or_no(clause.met), clause.text.clone()]);
            }
        }
        for rule in &machine.exclusions {
            rows.push([rule.clone(), yes_or_no(false), String::new()]);
        }
        if rows.is_empty() {
            rows.push(Default::default());
        }
        let mut machine_columns = [
            machine.host.clone(),
            yes_or_no(machine.allowed),
            machine.explanation.total_weight.to_string(),
        ];
        for row in rows {
            table.add_row(std::mem::take(&mut machine_columns).into_iter().chain(row));
        }
    }
    table
}

fn conclusion(report: &Report) -> String {
    if report.possible {
        return "possible".to_owned();
    }
    format!(
        "impossible: no machine that could be had meets all of: {}",
        report.conflicting_rules.join(", ")
    )
}

fn yes_or_no(value: bool) -> String {
    let text = if value { "yes" } else { "no" };
    text.to_owned()
}
