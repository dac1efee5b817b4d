//! The data of `docs/CAPACITY.md`: sizes, slopes and budgets, and the tables that are made from them.

use crate::scenario::Malformed;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::path::Path;
use thiserror::Error;

/// Name of the slopes file, which is in the folder of the capacity file.
const SLOPES_FILE: &str = "slopes.toml";

/// Why the capacity page cannot be made. The message is one line.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A file cannot be read or written.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// The error of the system.
        error: std::io::Error,
    },
    /// Not TOML, or a field is unknown, missing or of the wrong type.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// A marker is missing in the page.
    #[error("the page has no marker <!-- {0} -->")]
    NoMarker(&'static str),
}

/// The unit of size that a slope refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Per {
    /// Independent of the size.
    Constant,
    /// Per worker of the region.
    Worker,
    /// Per running task of the region.
    Running,
    /// Per task start per second in the region.
    Start,
    /// Per running task on a worker.
    TaskOfWorker,
    /// Per task start per second on a worker.
    StartOfWorker,
}

/// How a slope was determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlopeSource {
    /// Measured by the command that its file names.
    Measured,
    /// Calculated from the protocol or the design.
    Derived,
}

/// How much of a resource a role uses per unit of size.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Role.
    pub role: String,
    /// Resource, with its unit.
    pub resource: String,
    /// Unit of size.
    pub per: Per,
    /// Usage per unit of size.
    pub value: f64,
    /// Whether the region's total is divided among its controllers.
    #[serde(default)]
    pub divided: bool,
    /// How it was determined.
    #[serde(rename = "known")]
    pub source: SlopeSource,
    /// Root mean square error of the fit, or the reason for the value.
    pub basis: String,
}

/// Slopes file, as a scale run writes it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// The command that measured them.
    pub command: String,
    /// Sizes at which they were measured; beyond these, they are extrapolated.
    pub range: Option<Range>,
    /// The slopes.
    #[serde(default)]
    pub slope: Vec<Slope>,
}

/// Smallest and largest sizes of the runs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// Workers.
    pub workers: (f64, f64),
    /// Running tasks.
    pub running: (f64, f64),
    /// Task starts per second.
    pub starts: (f64, f64),
    /// Controllers of the region.
    pub controllers: usize,
}

/// Size of a region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSize {
    /// Name in the tables.
    pub name: String,
    /// Workers.
    pub workers: f64,
    /// Running tasks.
    pub running: f64,
    /// Its fraction of the fleet's task starts.
    pub share: f64,
    /// Controllers.
    pub controllers: f64,
}

/// A load situation, for which the tables have columns.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name in the tables.
    pub name: String,
    /// Task starts per second over the fleet.
    pub starts_per_s: f64,
    /// Fraction of the region's tasks that are lost and started again within a minute.
    #[serde(default)]
    pub lost: f64,
    /// Controllers of the region that are unavailable.
    #[serde(default)]
    pub controllers_away: f64,
}

/// Limit on the usage of a resource by a role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Role.
    pub role: String,
    /// Resource.
    pub resource: String,
    /// Largest allowed usage.
    pub limit: f64,
    /// Where the limit comes from.
    pub from: String,
    /// Why the budget is not kept yet, if it is not.
    #[serde(default)]
    pub missing: Option<String>,
}

/// A figure that the users require, and the mechanism that meets it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// The figure.
    pub figure: String,
    /// The mechanism that meets it, with its module.
    pub mechanism: String,
    /// Measured, derived or missing.
    pub status: Status,
    /// The margin; for a missing figure, its place in the order of work.
    pub margin: String,
}

/// How it is known that a required figure is met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Measured in a run.
    Measured,
    /// Calculated from slopes.
    Derived,
    /// Not met yet.
    Missing,
}

/// Capacity file: the data of the page.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Regions of the tables.
    pub region: Vec<RegionSize>,
    /// Columns of the tables.
    pub phase: Vec<Phase>,
    /// Derived slopes.
    #[serde(default)]
    pub slope: Vec<Slope>,
    /// Budgets.
    #[serde(default)]
    pub budget: Vec<Budget>,
    /// Required figures.
    #[serde(default)]
    pub line: Vec<Requirement>,
    /// Measured slopes, from the slopes file.
    #[serde(skip)]
    pub measured: Slopes,
}

fn read_toml<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, CapacityError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| CapacityError::File {
        path: name.clone(),
        error,
    })?;
    Ok(toml::from_str(&text).map_err(|error| Malformed::new(&name, &text, &error))?)
}

impl Capacity {
    /// Reads a capacity file, and the slopes file in the same folder.
    ///
    /// # Errors
    ///
    /// One line that names the file or the field.
    pub fn load(path: &Path) -> Result<Capacity, CapacityError> {
        let mut capacity: Capacity = read_toml(path)?;
        capacity.measured = read_toml(&path.with_file_name(SLOPES_FILE))?;
        Ok(capacity)
    }

    fn slopes(&self) -> impl Iterator<Item = &Slope> {
        self.measured.slope.iter().chain(&self.slope)
    }

    /// Usage of a resource by a role in a region during a phase; `None` if there is no slope for it.
    pub fn total(
        &self,
        role: &str,
        resource: &str,
        region: &RegionSize,
        phase: &Phase,
    ) -> Option<f64> {
        let mut matching = self
            .slopes()
            .filter(|s| s.role == role && s.resource == resource)
            .peekable();
        matching.peek()?;
        Some(matching.map(|slope| slope.usage(region, phase)).sum())
    }

    /// Roles in the order in which the slopes name them, each with its resources.
    fn roles(&self) -> Vec<(&str, Vec<&str>)> {
        let mut roles: Vec<(&str, Vec<&str>)> = Vec::new();
        for slope in self.slopes() {
            let index = roles
                .iter()
                .position(|(role, _)| *role == slope.role)
                .unwrap_or_else(|| {
                    roles.push((&slope.role, Vec::new()));
                    roles.len() - 1
                });
            if !roles[index].1.contains(&slope.resource.as_str()) {
                roles[index].1.push(&slope.resource);
            }
        }
        roles
    }

    /// Describes the totals that exceed their budget or are unknown. Budgets that are marked as missing are skipped.
    pub fn over_budget(&self) -> Vec<String> {
        let mut over_budget = Vec::new();
        for budget in self.budget.iter().filter(|b| b.missing.is_none()) {
            for region in &self.region {
                for phase in &self.phase {
                    let total = self.total(&budget.role, &budget.resource, region, phase);
                    if total.is_none_or(|t| t > budget.limit) {
                        let total = total.map_or_else(|| "unknown".to_owned(), format_amount);
                        let place = format!("{}, {}", region.name, phase.name);
                        over_budget.push(format!(
                            "{} {}: {total} of {} ({place})",
                            budget.role, budget.resource, budget.limit
                        ));
                    }
                }
            }
        }
        over_budget
    }

    /// Formats the tables of all roles for the page.
    pub fn resource_tables(&self) -> String {
        let mut text = String::new();
        for (role, resources) in self.roles() {
            let _ = writeln!(text, "\n### {role}\n");
            let columns: Vec<String> = self
                .phase
                .iter()
                .flat_map(|p| {
                    self.region
                        .iter()
                        .map(move |r| format!("{}, {}", p.name, r.name))
                })
                .collect();
            let _ = writeln!(text, "| resource | {} | budget |", columns.join(" | "));
            let _ = writeln!(text, "| --- |{}", " --- |".repeat(columns.len() + 1));
            for resource in resources {
                let totals: Vec<String> = self
                    .phase
                    .iter()
                    .flat_map(|p| self.region.iter().map(move |r| (p, r)))
                    .map(|(p, r)| {
                        self.total(role, resource, r, p)
                            .map_or_else(|| "-".to_owned(), format_amount)
                    })
                    .collect();
                let _ = writeln!(
                    text,
                    "| {resource} | {} | {} |",
                    totals.join(" | "),
                    self.budget_text(role, resource)
                );
            }
            let _ = writeln!(text, "\nSlopes: {}.", self.slopes_text(role));
        }
        text
    }

    fn budget_text(&self, role: &str, resource: &str) -> String {
        let matching = self
            .budget
            .iter()
            .find(|b| b.role == role && b.resource == resource);
        matching.map_or_else(String::new, |b| match &b.missing {
            None => format!("{} ({})", format_amount(b.limit), b.from),
            Some(why) => format!(
                "{} ({}); **missing**: {why}",
                format_amount(b.limit),
                b.from
            ),
        })
    }

    fn slopes_text(&self, role: &str) -> String {
        let matching = self.slopes().filter(|s| s.role == role);
        matching.map(Slope::describe).collect::<Vec<_>>().join("; ")
    }

    /// Formats the table of the required figures for the page.
    pub fn requirements_table(&self) -> String {
        let mut text = String::from(
            "\n| figure | mechanism | status | margin, or order |\n| --- | --- | --- | --- |\n",
        );
        for line in &self.line {
            let status = match line.status {
                Status::Measured => "measured",
                Status::Derived => "derived",
                Status::Missing => "**missing**",
            };
            let _ = writeln!(
                text,
                "| {} | {} | {status} | {} |",
                line.figure, line.mechanism, line.margin
            );
        }
        text
    }

    /// Returns the page with updated tables.
    ///
    /// # Errors
    ///
    /// [`CapacityError::NoMarker`] if a marker is missing in the page.
    pub fn update_page(&self, page: &str) -> Result<String, CapacityError> {
        let page = replace_between(page, "tables", "end of tables", &self.resource_tables())?;
        replace_between(&page, "lines", "end of lines", &self.requirements_table())
    }
}

/// Replaces the text between two markers.
fn replace_between(
    page: &str,
    begin: &'static str,
    end: &'static str,
    text: &str,
) -> Result<String, CapacityError> {
    let (before, rest) = page
        .split_once(&format!("<!-- {begin} -->\n"))
        .ok_or(CapacityError::NoMarker(begin))?;
    let (_, after) = rest
        .split_once(&format!("<!-- {end} -->"))
        .ok_or(CapacityError::NoMarker(end))?;
    Ok(format!(
        "{before}<!-- {begin} -->\n{text}<!-- {end} -->{after}"
    ))
}

/// Formats a number with three significant digits.
pub(crate) fn format_amount(value: f64) -> String {
    const GROUPING_THRESHOLD: f64 = 1e4;
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits <= 0 {
        let unit = 10_f64.powi(-digits);
        let rounded = (value / unit).round() * unit;
        let text = format!("{rounded:.0}");
        return if rounded.abs() < GROUPING_THRESHOLD {
            text
        } else {
            group_thousands(&text)
        };
    }
    let text = format!("{value:.*}", digits as usize);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Inserts commas between the thousands of a whole number.
fn group_thousands(digits: &str) -> String {
    let mut text = String::new();
    for (i, digit) in digits.chars().enumerate() {
        if i > 0 && (digits.len() - i).is_multiple_of(3) && digit != '-' {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

impl Slope {
    /// Usage that the slope gives for a region during a phase.
    fn usage(&self, region: &RegionSize, phase: &Phase) -> f64 {
        const MINUTE_S: f64 = 60.0;
        let starts = phase.starts_per_s * region.share + region.running * phase.lost / MINUTE_S;
        let size = match self.per {
            Per::Constant => 1.0,
            Per::Worker => region.workers,
            Per::Running => region.running,
            Per::Start => starts,
            Per::TaskOfWorker => region.running / region.workers,
            Per::StartOfWorker => starts / region.workers,
        };
        let controllers = if self.divided {
            region.controllers - phase.controllers_away
        } else {
            1.0
        };
        self.value * size / controllers
    }

    /// Describes the slope.
    pub fn describe(&self) -> String {
        let per = match self.per {
            Per::Constant => "at any size",
            Per::Worker => "a worker",
            Per::Running => "a running task",
            Per::Start => "a start a second",
            Per::TaskOfWorker => "a task of the worker",
            Per::StartOfWorker => "a start a second at the worker",
        };
        let divided = if self.divided {
            ", divided among the controllers"
        } else {
            ""
        };
        let source = match self.source {
            SlopeSource::Measured => "measured, ",
            SlopeSource::Derived => "derived: ",
        };
        format!(
            "{} {} {per}{divided} ({source}{})",
            self.resource,
            format_amount(self.value),
            self.basis
        )
    }
}
