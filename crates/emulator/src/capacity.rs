//! The machine-readable part of `docs/CAPACITY.md`: sizes, slopes and budgets, and the tables that are made from them.

use crate::scenario::Malformed;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::path::Path;
use thiserror::Error;

/// What the slopes' file is called beside the capacity file.
const SLOPES_FILE: &str = "slopes.toml";

/// Why the page's data cannot be used: one line.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A file cannot be read or written.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// Not TOML, or a field is unknown, missing or of the wrong type.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The page lacks one of its markers.
    #[error("the page has no marker <!-- {0} -->")]
    NoMarker(&'static str),
}

/// What a slope is a slope of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Per {
    /// It is there whatever the size.
    Constant,
    /// A worker of the region.
    Worker,
    /// A running task of the region.
    Running,
    /// A task start a second in the region.
    Start,
    /// A running task on one worker.
    TaskOfWorker,
    /// A task start a second on one worker.
    StartOfWorker,
}

/// How a slope is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlopeSource {
    /// Measured by the command that its file names.
    Measured,
    /// Worked out from what the protocol or the design says.
    Derived,
}

/// How much of a resource a role spends for each of something.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Role.
    pub role: String,
    /// Resource, with its unit.
    pub resource: String,
    /// Of what.
    pub per: Per,
    /// How much.
    pub value: f64,
    /// Whether the region's total is divided among its controllers.
    #[serde(default)]
    pub divided: bool,
    /// How it is known.
    pub known: SlopeSource,
    /// Root of the mean squared error of the fit, or why the value is what it is.
    pub basis: String,
}

/// Slopes as a scale run wrote them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// The command that measured them.
    pub command: String,
    /// Where they were measured; beyond that they are extrapolated.
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
    /// Starts a second.
    pub starts: (f64, f64),
    /// Controllers of the region.
    pub controllers: usize,
}

/// A region's size.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSize {
    /// What it is called in the tables.
    pub name: String,
    /// Workers.
    pub workers: f64,
    /// Running tasks.
    pub running: f64,
    /// Its share of the fleet's starts.
    pub share: f64,
    /// Controllers.
    pub controllers: f64,
}

/// A time for which the tables have columns.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// What it is called.
    pub name: String,
    /// Starts a second over the fleet.
    pub starts_per_s: f64,
    /// Share of the region's tasks that are lost and started again within a minute.
    #[serde(default)]
    pub lost: f64,
    /// Controllers of the region that are away.
    #[serde(default)]
    pub controllers_away: f64,
}

/// What a role may spend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Role.
    pub role: String,
    /// Resource.
    pub resource: String,
    /// At most.
    pub limit: f64,
    /// Where the limit comes from.
    pub from: String,
    /// It is not kept yet, for this reason.
    #[serde(default)]
    pub missing: Option<String>,
}

/// A figure of the users' letter, and what carries it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// The figure.
    pub figure: String,
    /// The mechanism that carries it, with its module.
    pub mechanism: String,
    /// Measured, derived or missing.
    pub status: Status,
    /// The margin, or the order in which it comes.
    pub margin: String,
}

/// How far a figure of the letter is carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Seen in a run.
    Measured,
    /// Worked out from slopes.
    Derived,
    /// Not carried yet.
    Missing,
}

/// The page's data.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Regions of the tables.
    pub region: Vec<RegionSize>,
    /// Columns of the tables.
    pub phase: Vec<Phase>,
    /// Slopes that were worked out.
    #[serde(default)]
    pub slope: Vec<Slope>,
    /// Budgets.
    #[serde(default)]
    pub budget: Vec<Budget>,
    /// Lines of the letter.
    #[serde(default)]
    pub line: Vec<Requirement>,
    /// Slopes that were measured, from the file beside it.
    #[serde(skip)]
    pub measured: Slopes,
}

fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, CapacityError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| CapacityError::File {
        path: name.clone(),
        error,
    })?;
    Ok(toml::from_str(&text).map_err(|error| Malformed::new(&name, &text, &error))?)
}

impl Capacity {
    /// Reads a capacity file, and the slopes beside it.
    ///
    /// # Errors
    ///
    /// One line that names the file or the field.
    pub fn load(path: &Path) -> Result<Capacity, CapacityError> {
        let mut capacity: Capacity = read(path)?;
        capacity.measured = read(&path.with_file_name(SLOPES_FILE))?;
        Ok(capacity)
    }

    fn slopes(&self) -> impl Iterator<Item = &Slope> {
        self.measured.slope.iter().chain(&self.slope)
    }

    /// What a role spends of a resource in a region at a time; `None` if no slope says so.
    pub fn total(
        &self,
        role: &str,
        resource: &str,
        region: &RegionSize,
        phase: &Phase,
    ) -> Option<f64> {
        let mut of = self
            .slopes()
            .filter(|s| s.role == role && s.resource == resource)
            .peekable();
        of.peek()?;
        Some(of.map(|slope| slope.at(region, phase)).sum())
    }

    /// Roles in the order in which they come up, each with its resources.
    fn roles(&self) -> Vec<(&str, Vec<&str>)> {
        let mut roles: Vec<(&str, Vec<&str>)> = Vec::new();
        for slope in self.slopes() {
            let at = roles
                .iter()
                .position(|(role, _)| *role == slope.role)
                .unwrap_or_else(|| {
                    roles.push((&slope.role, Vec::new()));
                    roles.len() - 1
                });
            if !roles[at].1.contains(&slope.resource.as_str()) {
                roles[at].1.push(&slope.resource);
            }
        }
        roles
    }

    /// Budgets that some total is beyond, unless they are marked as missing.
    pub fn over_budget(&self) -> Vec<String> {
        let mut beyond = Vec::new();
        for budget in self.budget.iter().filter(|b| b.missing.is_none()) {
            for region in &self.region {
                for phase in &self.phase {
                    let total = self.total(&budget.role, &budget.resource, region, phase);
                    if total.is_none_or(|t| t > budget.limit) {
                        let total = total.map_or_else(|| "unknown".to_owned(), format_amount);
                        let place = format!("{}, {}", region.name, phase.name);
                        beyond.push(format!(
                            "{} {}: {total} of {} ({place})",
                            budget.role, budget.resource, budget.limit
                        ));
                    }
                }
            }
        }
        beyond
    }

    /// The tables of all roles, as they stand in the page.
    pub fn tables(&self) -> String {
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
        let of = self
            .budget
            .iter()
            .find(|b| b.role == role && b.resource == resource);
        of.map_or_else(String::new, |b| match &b.missing {
            None => format!("{} ({})", format_amount(b.limit), b.from),
            Some(why) => format!(
                "{} ({}); **missing**: {why}",
                format_amount(b.limit),
                b.from
            ),
        })
    }

    fn slopes_text(&self, role: &str) -> String {
        let of = self.slopes().filter(|s| s.role == role);
        of.map(Slope::text).collect::<Vec<_>>().join("; ")
    }

    /// The table of the letter's lines, as it stands in the page.
    pub fn lines(&self) -> String {
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

    /// The page with its tables made anew.
    ///
    /// # Errors
    ///
    /// [`CapacityError::NoMarker`] if the page lacks a marker.
    pub fn page(&self, page: &str) -> Result<String, CapacityError> {
        let page = replace(page, "tables", "end of tables", &self.tables())?;
        replace(&page, "lines", "end of lines", &self.lines())
    }
}

/// Puts a text between two markers.
fn replace(
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

/// A number with three digits that count.
pub(crate) fn format_amount(value: f64) -> String {
    const GROUPED: f64 = 1e4;
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits <= 0 {
        let unit = 10_f64.powi(-digits);
        let rounded = (value / unit).round() * unit;
        let text = format!("{rounded:.0}");
        return if rounded.abs() < GROUPED {
            text
        } else {
            group_thousands(&text)
        };
    }
    let text = format!("{value:.*}", digits as usize);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// A whole number with its thousands set off.
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
    /// What it comes to in a region at a time.
    fn at(&self, region: &RegionSize, phase: &Phase) -> f64 {
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
        let among = if self.divided {
            region.controllers - phase.controllers_away
        } else {
            1.0
        };
        self.value * size / among
    }

    /// The slope in words.
    pub fn text(&self) -> String {
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
        let known = match self.known {
            SlopeSource::Measured => "measured, ",
            SlopeSource::Derived => "derived: ",
        };
        format!(
            "{} {} {per}{divided} ({known}{})",
            self.resource,
            format_amount(self.value),
            self.basis
        )
    }
}
