//! The capacity page matches its data: tables are slopes times sizes, no total exceeds its budget unless the budget is marked as
//! missing, and every figure that the users require has a line.

use cometlead_emulator::capacity::{Capacity, Status};
use std::path::{Path, PathBuf};

fn docs(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(file)
}

fn capacity() -> Capacity {
    Capacity::load(&docs("capacity.toml")).unwrap()
}

#[test]
fn page_matches_the_tables_made_from_its_data() {
    let page = std::fs::read_to_string(docs("CAPACITY.md")).unwrap();
    let made = capacity().update_page(&page).unwrap();
    assert!(
        page == made,
        "run: cometlead-emulator capacity docs/capacity.toml --page docs/CAPACITY.md"
    );
}

#[test]
fn totals_are_slopes_times_sizes() {
    let capacity = capacity();
    let region = &capacity.region[1];
    let phase = capacity.phase.iter().find(|p| p.name == "peak").unwrap();
    let starts = phase.starts_per_s * region.share;
    let expected = (0.125 * region.workers + 0.4 * starts) / region.controllers;
    let total = capacity
        .total("Controller", "reports taken a second", region, phase)
        .unwrap();
    assert!((total - expected).abs() < 1e-9, "{total}, {expected}");
    assert_eq!(
        capacity.total("Controller", "patience", region, phase),
        None
    );
}

#[test]
fn lost_controller_and_lost_zone_increase_usage() {
    let capacity = capacity();
    let phase = |name: &str| capacity.phase.iter().find(|p| p.name == name).unwrap();
    for region in &capacity.region {
        let at = |name| {
            capacity
                .total("Controller", "reports taken a second", region, phase(name))
                .unwrap()
        };
        assert!(
            at("calm") < at("peak") && at("peak") < at("worst"),
            "{}",
            region.name
        );
    }
}

#[test]
fn totals_stay_within_budgets_not_marked_as_missing() {
    assert_eq!(capacity().over_budget(), Vec::<String>::new());
}

#[test]
fn total_above_its_budget_or_without_slopes_is_reported() {
    let mut capacity = capacity();
    capacity.budget.retain(|b| b.missing.is_none());
    capacity.budget[0].limit = 0.0;
    assert!(!capacity.over_budget().is_empty());
    capacity.budget[0].role = "Nobody".to_owned();
    assert!(capacity.over_budget()[0].contains("unknown"));
}

#[test]
fn every_required_figure_has_a_line() {
    let capacity = capacity();
    for figure in [
        "5,400 workers",
        "41,000 jobs a day",
        "1,400 task starts a second",
        "62,000 tasks running",
        "67 teams",
        "urgent work starts within 5.7 s",
        "7 regions with 23 zones",
        "4,700 changes of configuration",
        "1.5% of a core",
        "256 MB",
        "4 KB a second",
        "22 machines",
        "71 machines fail",
        "1,600 are restarted",
        "a rack or switch",
        "a zone a few times a year",
        "regions lose each other for an hour",
    ] {
        let lines: Vec<_> = capacity
            .line
            .iter()
            .filter(|l| l.figure.contains(figure))
            .collect();
        assert_eq!(lines.len(), 1, "{figure}");
        assert!(
            !lines[0].mechanism.is_empty() && !lines[0].margin.is_empty(),
            "{figure}"
        );
    }
    let missing = capacity.line.iter().filter(|l| l.status == Status::Missing);
    assert!(missing.clone().count() > 0);
    for line in missing {
        assert!(
            line.margin.contains("order"),
            "{}: its margin says in which order it comes",
            line.figure
        );
    }
}

#[test]
fn measured_slopes_name_their_command_and_their_range() {
    let slopes = capacity().measured;
    assert!(
        slopes.command.contains("cometlead-emulator run"),
        "{}",
        slopes.command
    );
    let range = slopes.range.unwrap();
    assert!(range.workers.0 < range.workers.1 && range.starts.0 < range.starts.1);
    assert!(
        slopes
            .slope
            .iter()
            .all(|s| s.basis.starts_with("fit error"))
    );
}
