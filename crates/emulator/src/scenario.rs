//! Scenarios: what a scale run consists of. A scenario is a TOML file that is checked before anything starts.

use crate::fakes::late_copies::CopySchedule;
use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

/// Most processes of a run, this one included.
pub const MAX_PROCESSES: usize = 60;
/// Most memory that the processes of a run may use together, in MB.
pub const MAX_MEMORY_MB: f64 = 12_000.0;
/// Most copies of one request.
const MAX_COPIES: u64 = 100;
/// Number of regions that can be addressed.
const MAX_REGIONS: usize = 32;

/// Why a scenario is not valid. The message is one line that names the file or the field.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the system.
        error: std::io::Error,
    },
    /// Not TOML, or a field is unknown, missing or of the wrong type.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// A field's value is out of range.
    #[error("{field}: must be {range}")]
    Invalid {
        /// The field.
        field: &'static str,
        /// Its valid values.
        range: &'static str,
    },
}

/// A TOML file that cannot be parsed. The message is one line with the file and the line number.
#[derive(Debug, Error)]
#[error("{path}, line {line}: {problem}")]
pub struct Malformed {
    path: String,
    line: usize,
    problem: String,
}

impl Malformed {
    /// Creates the error from the parser's error in a file's text.
    pub fn new(path: &str, text: &str, error: &toml::de::Error) -> Malformed {
        let before = error
            .span()
            .and_then(|span| text.get(..span.start))
            .unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        // The message alone does not always name the field; its line does.
        let found = text.lines().nth(line - 1).unwrap_or_default().trim();
        Malformed {
            path: path.to_owned(),
            line,
            problem: format!("{}: {found}", error.message().replace('\n', " ")),
        }
    }
}

/// A scale run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name; the result files are named after it.
    pub name: String,
    /// Seed of the random numbers that the fakes draw.
    pub seed: u64,
    /// Time limit of the ramp, in which the wanted number of tasks has to start running, in seconds.
    pub ramp_s: f64,
    /// Time between the ramp and the measurement, in seconds.
    pub settle_s: f64,
    /// Length of the measurement, in seconds.
    pub measure_s: f64,
    /// Regions.
    pub regions: Vec<RegionSpec>,
    /// Load that the users create.
    pub load: Load,
    /// Workers.
    pub workers: WorkerSpec,
    /// Each region's state service.
    pub state: StateSpec,
    /// Each region's cloud.
    pub cloud: CloudSpec,
    /// Resource limits of each controller, as written to its deploy file.
    pub controller: ControllerSpec,
    /// Requests of all kinds but those between controllers arrive again later, during the whole run.
    #[serde(default)]
    pub late_copies: Option<CopySchedule>,
    /// Faults to inject during the measurement.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Sizes at which the scenario is run, one run each, to fit slopes to the results. If empty, there is one run.
    #[serde(default)]
    pub steps: Vec<StepSpec>,
}

/// A region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSpec {
    /// Wanted number of workers.
    pub workers: u64,
    /// Zones.
    pub zones: usize,
    /// Controllers.
    pub controllers: usize,
}

/// Load that the users create.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Teams, each with a guarantee and a limit.
    pub teams: usize,
    /// Sum of the teams' limits, as a multiple of the cores of the wanted tasks.
    pub quota_headroom: f64,
    /// Number of tasks that fill a worker; determines the cores of a task.
    pub tasks_per_worker: f64,
    /// Task starts per second over all regions.
    pub starts_per_s: f64,
    /// Run time of the tasks of the short jobs, in seconds. The tasks of endless jobs run for longer than the scenario.
    pub run_s: f64,
    /// Tasks of a short job.
    pub tasks_per_job: u32,
    /// Urgent jobs per second over all regions, with one task each.
    pub urgent_per_s: f64,
    /// Fraction of the short jobs that their users cancel.
    pub cancelled: f64,
}

/// Workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Report interval in seconds.
    pub report_s: f64,
    /// Lease in seconds.
    pub lease_s: f64,
    /// Time by which the tasks of a cancelled job must have stopped, in seconds.
    pub cancel_s: f64,
    /// Whether a worker keeps a connection open after it has received a command on it.
    pub keep_command_connections: bool,
}

/// Limits and latency of a state service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSpec {
    /// Limit of requests per second.
    pub rps: f64,
    /// Limit of changes per second.
    pub write_rps: f64,
    /// Limit of a value, in KiB.
    pub value_kb: f64,
    /// Limit of the changes in a transaction.
    pub txn_ops: usize,
    /// Mean response time, in milliseconds.
    pub latency_ms: f64,
    /// Fraction of the transactions whose response is lost.
    pub lost_answers: f64,
}

/// Limits and delays of a cloud.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudSpec {
    /// Limit of requests per second, as written to the deploy file.
    pub rps: f64,
    /// Delay until a change shows in a list of machines, in seconds.
    pub list_lag_s: f64,
    /// Nominal boot time in seconds.
    pub boot_s: f64,
}

/// Resource limits of a controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSpec {
    /// Fraction of a core.
    pub core_share: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Connections.
    pub max_connections: u64,
    /// Delay until a killed controller is started again, in seconds.
    pub restart_s: f64,
}

/// A fault to inject.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds since the start of the measurement.
    pub at_s: f64,
    /// Affected region.
    pub region: usize,
    /// What fails.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// Kinds of faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// One controller is killed and restarted.
    KillController {
        /// Its number in the region.
        node: usize,
    },
    /// All controllers of the region are killed and restarted.
    KillRegion,
    /// All workers of a zone are partitioned from the controllers; their tasks run until the leases expire.
    #[serde(rename = "zone_gone")]
    ZonePartitioned {
        /// Its number in the region.
        zone: usize,
        /// Duration in seconds.
        for_s: f64,
    },
    /// The state service is unavailable.
    #[serde(rename = "state_out")]
    StateOutage {
        /// Duration in seconds.
        for_s: f64,
    },
}

/// One of several sizes of a scenario; the number of workers is that of the first region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// Workers.
    pub workers: u64,
    /// Number of tasks that fill a worker.
    pub tasks_per_worker: f64,
    /// Task starts per second.
    pub starts_per_s: f64,
}

fn require(field: &'static str, ok: bool, range: &'static str) -> Result<(), ScenarioError> {
    if ok {
        Ok(())
    } else {
        Err(ScenarioError::Invalid { field, range })
    }
}

fn check_positive(field: &'static str, value: f64) -> Result<(), ScenarioError> {
    require(
        field,
        value.is_finite() && value > 0.0 && value <= 1e7,
        "above 0 and at most 1e7",
    )
}

fn check_not_negative(field: &'static str, value: f64) -> Result<(), ScenarioError> {
    require(field, (0.0..=1e7).contains(&value), "0 to 1e7")
}

fn check_fraction(field: &'static str, value: f64) -> Result<(), ScenarioError> {
    require(field, (0.0..=1.0).contains(&value), "0 to 1")
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// [`ScenarioError`] if the file cannot be read or is not valid.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ScenarioError::Unreadable {
            path: name.clone(),
            error,
        })?;
        Scenario::parse(&name, &text)
    }

    /// Parses and checks the text of a scenario file. `path` is used in error messages only.
    ///
    /// # Errors
    ///
    /// [`ScenarioError`] if the text is not valid.
    pub fn parse(path: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|error| Malformed::new(path, text, &error))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
        require(
            "name",
            !self.name.is_empty() && self.name.chars().all(is_allowed),
            "letters, digits and dashes",
        )?;
        check_positive("ramp_s", self.ramp_s)?;
        check_not_negative("settle_s", self.settle_s)?;
        check_positive("measure_s", self.measure_s)?;
        self.check_regions()?;
        self.check_load()?;
        check_positive("workers.report_s", self.workers.report_s)?;
        check_positive("workers.lease_s", self.workers.lease_s)?;
        check_positive("workers.cancel_s", self.workers.cancel_s)?;
        check_positive("state.rps", self.state.rps)?;
        check_positive("state.write_rps", self.state.write_rps)?;
        check_positive("state.value_kb", self.state.value_kb)?;
        require(
            "state.txn_ops",
            (4..=1_000).contains(&self.state.txn_ops),
            "4 to 1000",
        )?;
        check_not_negative("state.latency_ms", self.state.latency_ms)?;
        check_fraction("state.lost_answers", self.state.lost_answers)?;
        check_positive("cloud.rps", self.cloud.rps)?;
        check_positive("cloud.list_lag_s", self.cloud.list_lag_s)?;
        check_positive("cloud.boot_s", self.cloud.boot_s)?;
        check_positive("controller.core_share", self.controller.core_share)?;
        check_positive("controller.ram_mb", self.controller.ram_mb)?;
        require(
            "controller.max_connections",
            self.controller.max_connections >= 32,
            "32 or more",
        )?;
        check_not_negative("controller.restart_s", self.controller.restart_s)?;
        self.check_late_copies()?;
        self.check_faults()?;
        for step in &self.steps {
            require(
                "steps.workers",
                (1..=20_000).contains(&step.workers),
                "1 to 20000",
            )?;
            check_positive("steps.tasks_per_worker", step.tasks_per_worker)?;
            check_not_negative("steps.starts_per_s", step.starts_per_s)?;
        }
        Ok(())
    }

    fn check_regions(&self) -> Result<(), ScenarioError> {
        require(
            "regions",
            (1..=MAX_REGIONS).contains(&self.regions.len()),
            "1 to 32 regions",
        )?;
        for region in &self.regions {
            require(
                "regions.workers",
                (1..=20_000).contains(&region.workers),
                "1 to 20000",
            )?;
            require(
                "regions.zones",
                (1..=100).contains(&region.zones),
                "1 to 100",
            )?;
            require(
                "regions.controllers",
                (1..=100).contains(&region.controllers),
                "1 to 100",
            )?;
        }
        let processes = self.regions.iter().map(|r| r.controllers).sum::<usize>() + 1;
        require(
            "regions.controllers",
            processes <= MAX_PROCESSES,
            "59 or fewer over all regions",
        )
    }

    fn check_load(&self) -> Result<(), ScenarioError> {
        let load = &self.load;
        require("load.teams", (1..=1_000).contains(&load.teams), "1 to 1000")?;
        check_positive("load.quota_headroom", load.quota_headroom)?;
        check_positive("load.tasks_per_worker", load.tasks_per_worker)?;
        check_not_negative("load.starts_per_s", load.starts_per_s)?;
        check_positive("load.run_s", load.run_s)?;
        require(
            "load.tasks_per_job",
            (1..=100_000).contains(&load.tasks_per_job),
            "1 to 100000",
        )?;
        check_not_negative("load.urgent_per_s", load.urgent_per_s)?;
        check_fraction("load.cancelled", load.cancelled)
    }

    fn check_late_copies(&self) -> Result<(), ScenarioError> {
        let Some(copies) = &self.late_copies else {
            return Ok(());
        };
        check_fraction("late_copies.share", copies.share)?;
        check_positive("late_copies.min_delay_s", copies.min_delay_s)?;
        check_positive("late_copies.max_delay_s", copies.max_delay_s)?;
        require(
            "late_copies.max_delay_s",
            copies.max_delay_s >= copies.min_delay_s,
            "at least min_delay_s",
        )?;
        require(
            "late_copies.max_copies",
            (1..=MAX_COPIES).contains(&copies.max_copies),
            "1 to 100",
        )
    }

    fn check_faults(&self) -> Result<(), ScenarioError> {
        for fault in &self.faults {
            check_not_negative("troubles.at_s", fault.at_s)?;
            let Some(region) = self.regions.get(fault.region) else {
                return require("troubles.region", false, "the number of a region");
            };
            match &fault.kind {
                FaultKind::KillController { node } => {
                    require(
                        "troubles.node",
                        *node < region.controllers,
                        "the number of a controller of the region",
                    )?;
                }
                FaultKind::KillRegion => {}
                FaultKind::ZonePartitioned { zone, for_s } => {
                    require(
                        "troubles.zone",
                        *zone < region.zones,
                        "the number of a zone of the region",
                    )?;
                    check_positive("troubles.for_s", *for_s)?;
                }
                FaultKind::StateOutage { for_s } => check_positive("troubles.for_s", *for_s)?,
            }
        }
        Ok(())
    }

    /// Workers over all regions.
    pub fn total_workers(&self) -> u64 {
        self.regions.iter().map(|r| r.workers).sum()
    }

    /// Number of tasks that run at the same time once the ramp is complete.
    pub fn wanted_running(&self) -> f64 {
        self.total_workers() as f64 * self.load.tasks_per_worker
    }

    /// The scenarios to run: one for each step, or this one if it has no steps.
    pub fn runs(&self) -> Vec<Scenario> {
        if self.steps.is_empty() {
            return vec![self.clone()];
        }
        self.steps.iter().map(|step| self.with_step(step)).collect()
    }

    fn with_step(&self, step: &StepSpec) -> Scenario {
        let mut scenario = self.clone();
        scenario.steps.clear();
        scenario.name = format!(
            "{}-{}-{}-{}",
            self.name, step.workers, step.tasks_per_worker, step.starts_per_s
        );
        scenario.regions[0].workers = step.workers;
        scenario.load.tasks_per_worker = step.tasks_per_worker;
        scenario.load.starts_per_s = step.starts_per_s;
        scenario
    }
}
