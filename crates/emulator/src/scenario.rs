//! What a scale run is made of: a TOML file, checked before anything starts.

use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

/// The most processes that a run may start.
pub const MOST_PROCESSES: usize = 60;
/// The most memory that a run may take, in MB.
pub const MOST_MEMORY_MB: f64 = 12_000.0;
/// The most regions that have addresses.
const MOST_REGIONS: usize = 32;

/// Why a scenario cannot be run: one line that names the field.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
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
        /// What it may be.
        range: &'static str,
    },
}

/// A TOML file that is not as it should be: one line with the place.
#[derive(Debug, Error)]
#[error("{path}, line {line}: {problem}")]
pub struct Malformed {
    path: String,
    line: usize,
    problem: String,
}

impl Malformed {
    /// What a parser found wrong in a file's text.
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
    /// Its name; results are written under it.
    pub name: String,
    /// Seed of all that is drawn by the hollow parties.
    pub seed: u64,
    /// Longest time until the wanted number of tasks runs, in seconds.
    pub ramp_s: f64,
    /// Time between the ramp and the measurement, in seconds.
    pub settle_s: f64,
    /// Length of the measurement, in seconds.
    pub measure_s: f64,
    /// Regions.
    pub regions: Vec<RegionSpec>,
    /// What users ask for.
    pub load: Load,
    /// Workers.
    pub workers: WorkerSpec,
    /// Each region's state service.
    pub state: StateSpec,
    /// Each region's cloud.
    pub cloud: CloudSpec,
    /// What each controller may use, as its deploy file says.
    pub controller: ControllerSpec,
    /// Troubles, by the time since the measurement began.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// Runs of the same scenario at several sizes, to which slopes are fitted. Empty: one run.
    #[serde(default)]
    pub steps: Vec<StepSpec>,
}

/// A region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSpec {
    /// Workers wanted.
    pub workers: u64,
    /// Zones.
    pub zones: usize,
    /// Controllers.
    pub controllers: usize,
}

/// What users ask for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Teams, each with a guarantee and a limit.
    pub teams: usize,
    /// The teams' limits together, as a multiple of what the wanted tasks take.
    pub quota_headroom: f64,
    /// Tasks of an ordinary size that fill a worker.
    pub tasks_per_worker: f64,
    /// Task starts a second over all regions.
    pub starts_per_s: f64,
    /// Run time of the tasks that start and end, in seconds. All others run for longer than the scenario.
    pub run_s: f64,
    /// Tasks of a job.
    pub tasks_per_job: u32,
    /// Urgent jobs of one task a second, over all regions.
    pub urgent_per_s: f64,
    /// Share of the jobs that their users cancel.
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
    /// Time by which a cancelled job's tasks must be gone, in seconds.
    pub cancel_s: f64,
    /// Whether a worker keeps connections by which it got commands.
    pub keep_command_connections: bool,
}

/// A state service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSpec {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Largest value in KiB.
    pub value_kb: f64,
    /// Changes of a transaction.
    pub txn_ops: usize,
    /// Mean time to an answer in milliseconds.
    pub latency_ms: f64,
    /// Share of the transactions whose answer is lost.
    pub lost_answers: f64,
}

/// A cloud.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudSpec {
    /// Requests a second, as the deploy file says.
    pub rps: f64,
    /// How far lists lag, in seconds.
    pub list_lag_s: f64,
    /// Nominal boot time in seconds.
    pub boot_s: f64,
}

/// What a controller may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSpec {
    /// Share of a core.
    pub core_share: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Sockets.
    pub max_connections: u64,
    /// Time until an ended controller is started again, in seconds.
    pub restart_s: f64,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// When, in seconds from the begin of the measurement.
    pub at_s: f64,
    /// Where.
    pub region: usize,
    /// What.
    pub what: TroubleKind,
}

/// Kinds of trouble.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TroubleKind {
    /// One controller is killed and comes back.
    KillController {
        /// Which.
        node: usize,
    },
    /// All controllers are killed and come back.
    KillRegion,
    /// All workers of a zone are cut off for a while; their tasks go on until their leases end.
    ZoneGone {
        /// Which, by its number.
        zone: usize,
        /// For how long, in seconds.
        for_s: f64,
    },
    /// The state service is out for a while.
    StateOut {
        /// For how long, in seconds.
        for_s: f64,
    },
}

/// One of several sizes of the first region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// Workers.
    pub workers: u64,
    /// Tasks of an ordinary size that fill a worker.
    pub tasks_per_worker: f64,
    /// Task starts a second.
    pub starts_per_s: f64,
}

fn check(field: &'static str, ok: bool, range: &'static str) -> Result<(), ScenarioError> {
    if ok {
        Ok(())
    } else {
        Err(ScenarioError::Invalid { field, range })
    }
}

fn positive(field: &'static str, value: f64) -> Result<(), ScenarioError> {
    check(
        field,
        value.is_finite() && value > 0.0 && value <= 1e7,
        "above 0 and at most 1e7",
    )
}

fn not_negative(field: &'static str, value: f64) -> Result<(), ScenarioError> {
    check(field, (0.0..=1e7).contains(&value), "0 to 1e7")
}

fn share(field: &'static str, value: f64) -> Result<(), ScenarioError> {
    check(field, (0.0..=1.0).contains(&value), "0 to 1")
}

impl Scenario {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// One line that names the file or the field.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ScenarioError::Unreadable {
            path: name.clone(),
            error,
        })?;
        Scenario::parse(&name, &text)
    }

    /// Checks the text of a file; `path` is only named in errors.
    ///
    /// # Errors
    ///
    /// One line that names the field.
    pub fn parse(path: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|error| Malformed::new(path, text, &error))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
        check(
            "name",
            !self.name.is_empty() && self.name.chars().all(plain),
            "letters, digits and dashes",
        )?;
        positive("ramp_s", self.ramp_s)?;
        not_negative("settle_s", self.settle_s)?;
        positive("measure_s", self.measure_s)?;
        self.check_regions()?;
        self.check_load()?;
        positive("workers.report_s", self.workers.report_s)?;
        positive("workers.lease_s", self.workers.lease_s)?;
        positive("workers.cancel_s", self.workers.cancel_s)?;
        positive("state.rps", self.state.rps)?;
        positive("state.write_rps", self.state.write_rps)?;
        positive("state.value_kb", self.state.value_kb)?;
        check(
            "state.txn_ops",
            (4..=1_000).contains(&self.state.txn_ops),
            "4 to 1000",
        )?;
        not_negative("state.latency_ms", self.state.latency_ms)?;
        share("state.lost_answers", self.state.lost_answers)?;
        positive("cloud.rps", self.cloud.rps)?;
        positive("cloud.list_lag_s", self.cloud.list_lag_s)?;
        positive("cloud.boot_s", self.cloud.boot_s)?;
        positive("controller.core_share", self.controller.core_share)?;
        positive("controller.ram_mb", self.controller.ram_mb)?;
        check(
            "controller.max_connections",
            self.controller.max_connections >= 32,
            "32 or more",
        )?;
        not_negative("controller.restart_s", self.controller.restart_s)?;
        self.check_troubles()?;
        for step in &self.steps {
            check(
                "steps.workers",
                (1..=20_000).contains(&step.workers),
                "1 to 20000",
            )?;
            positive("steps.tasks_per_worker", step.tasks_per_worker)?;
            not_negative("steps.starts_per_s", step.starts_per_s)?;
        }
        Ok(())
    }

    fn check_regions(&self) -> Result<(), ScenarioError> {
        check(
            "regions",
            (1..=MOST_REGIONS).contains(&self.regions.len()),
            "1 to 32 regions",
        )?;
        for region in &self.regions {
            check(
                "regions.workers",
                (1..=20_000).contains(&region.workers),
                "1 to 20000",
            )?;
            check(
                "regions.zones",
                (1..=100).contains(&region.zones),
                "1 to 100",
            )?;
            check(
                "regions.controllers",
                (1..=100).contains(&region.controllers),
                "1 to 100",
            )?;
        }
        let processes = self.regions.iter().map(|r| r.controllers).sum::<usize>() + 1;
        check(
            "regions.controllers",
            processes <= MOST_PROCESSES,
            "59 or fewer over all regions",
        )
    }

    fn check_load(&self) -> Result<(), ScenarioError> {
        let load = &self.load;
        check("load.teams", (1..=1_000).contains(&load.teams), "1 to 1000")?;
        positive("load.quota_headroom", load.quota_headroom)?;
        positive("load.tasks_per_worker", load.tasks_per_worker)?;
        not_negative("load.starts_per_s", load.starts_per_s)?;
        positive("load.run_s", load.run_s)?;
        check(
            "load.tasks_per_job",
            (1..=100_000).contains(&load.tasks_per_job),
            "1 to 100000",
        )?;
        not_negative("load.urgent_per_s", load.urgent_per_s)?;
        share("load.cancelled", load.cancelled)
    }

    fn check_troubles(&self) -> Result<(), ScenarioError> {
        for trouble in &self.troubles {
            not_negative("troubles.at_s", trouble.at_s)?;
            let Some(region) = self.regions.get(trouble.region) else {
                return check("troubles.region", false, "the number of a region");
            };
            match &trouble.what {
                TroubleKind::KillController { node } => {
                    check(
                        "troubles.node",
                        *node < region.controllers,
                        "the number of a controller of the region",
                    )?;
                }
                TroubleKind::KillRegion => {}
                TroubleKind::ZoneGone { zone, for_s } => {
                    check(
                        "troubles.zone",
                        *zone < region.zones,
                        "the number of a zone of the region",
                    )?;
                    positive("troubles.for_s", *for_s)?;
                }
                TroubleKind::StateOut { for_s } => positive("troubles.for_s", *for_s)?,
            }
        }
        Ok(())
    }

    /// Workers of all regions.
    pub fn all_workers(&self) -> u64 {
        self.regions.iter().map(|r| r.workers).sum()
    }

    /// Tasks that run at once when all is as wanted.
    pub fn wanted_running(&self) -> f64 {
        self.all_workers() as f64 * self.load.tasks_per_worker
    }

    /// The runs that it stands for.
    pub fn runs(&self) -> Vec<Scenario> {
        if self.steps.is_empty() {
            return vec![self.clone()];
        }
        self.steps.iter().map(|step| self.at_step(step)).collect()
    }

    fn at_step(&self, step: &StepSpec) -> Scenario {
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
