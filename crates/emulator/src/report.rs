//! Results of a run, as written to files and printed.

use crate::invariants::{Rule, Violation};
use crate::late_copies::CopiedRequest;
use comfy_table::Table;
use hdrhistogram::Histogram;
use plotters::prelude::{ChartBuilder, IntoDrawingArea, LineSeries, SVGBackend};
use plotters::style::{BLACK, BLUE, RED, WHITE};
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

/// Size of plots in pixels.
const PLOT_SIZE: (u32, u32) = (800, 400);

/// Summary of a distribution.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Distribution {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
    /// Number of values.
    pub count: u64,
}

impl Distribution {
    /// Summarizes a histogram; each value is divided by `unit`.
    pub fn of(histogram: &Histogram<u64>, unit: f64) -> Distribution {
        Distribution {
            mean: histogram.mean() / unit,
            p50: histogram.value_at_quantile(0.5) as f64 / unit,
            p99: histogram.value_at_quantile(0.99) as f64 / unit,
            max: histogram.max() as f64 / unit,
            count: histogram.len(),
        }
    }
}

/// Result of a controller over the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct ControllerResult {
    /// Region.
    pub region: usize,
    /// Its number in the region.
    pub node: usize,
    /// Mean processor usage, in cores.
    pub cores: f64,
    /// Memory at the end, in MB.
    pub memory_mb: f64,
    /// Peak memory, in MB.
    pub peak_memory_mb: f64,
    /// Open files at the end, sockets included.
    pub files: usize,
}

/// Result of a region over the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct RegionResult {
    /// Its number.
    pub region: usize,
    /// Workers at the end.
    pub workers: usize,
    /// Requests per second to the state service.
    pub state_requests: f64,
    /// Changes per second in the state service.
    pub state_changes: f64,
    /// Committed transactions per second.
    pub state_commits: f64,
    /// Requests per second that the rate limits refused.
    pub state_throttled: f64,
    /// Bytes per second that the state service received.
    pub state_bytes_in: f64,
    /// Bytes per second that the state service sent.
    pub state_bytes_out: f64,
    /// Bytes of keys and values in the state service at the end.
    pub state_bytes_kept: u64,
    /// Requests per second to the cloud interface.
    pub cloud_requests: f64,
    /// Bytes per second between users and controllers, in both directions.
    pub user_bytes: f64,
    /// Requests per second of users.
    pub user_requests: f64,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The scenario's name.
    pub name: String,
    /// Whether the wanted number of tasks ran before the measurement.
    pub ramped: bool,
    /// Duration of the ramp in seconds.
    pub ramp_s: f64,
    /// Duration of the measurement in seconds.
    pub measured_s: f64,
    /// Wanted number of workers.
    pub wanted_workers: u64,
    /// Wanted number of running tasks.
    pub wanted_running: f64,
    /// Wanted task starts per second.
    pub wanted_starts_per_s: f64,
    /// Workers at the end.
    pub workers: usize,
    /// Mean number of running tasks.
    pub running: f64,
    /// Most tasks that ran at the same time.
    pub most_running: usize,
    /// Task starts per second.
    pub starts_per_s: f64,
    /// Completed tasks per second.
    pub completions_per_s: f64,
    /// Most task starts within one second.
    pub most_starts_in_a_second: u64,
    /// Urgent jobs: seconds from the submission to the start of the task.
    pub urgent_s: Distribution,
    /// Urgent jobs submitted during the measurement whose task did not start during it.
    pub urgent_not_started: u64,
    /// Submissions during the measurement.
    pub submitted: u64,
    /// Fraction of the accepted submissions that were accepted within 300 ms.
    pub accepted_in_300_ms: f64,
    /// Seconds from the first attempt of a submission to its acceptance.
    pub accepted_s: Distribution,
    /// Submissions that users gave up.
    pub given_up: u64,
    /// Requests of users by response status; 0 means no response.
    pub user_statuses: BTreeMap<u16, u64>,
    /// Bytes per second to and from a worker.
    pub worker_bytes_per_s: Distribution,
    /// Requests per second to and from a worker: reports and commands.
    pub worker_requests_per_s: f64,
    /// Connections per second that a worker opens or accepts.
    pub worker_connections_per_s: f64,
    /// Processor usage of the fake workers, in cores per worker.
    pub worker_cores: f64,
    /// Processor usage of the fake users, clouds and state services together, in cores.
    #[serde(rename = "outside_cores")]
    pub service_cores: f64,
    /// Memory of this process at the end, in MB.
    #[serde(rename = "hollow_memory_mb")]
    pub emulator_memory_mb: f64,
    /// Busy fraction of the processors of this machine.
    pub machine_busy: f64,
    /// Reports during the measurement without a response, or with a status other than 200.
    pub reports_failed: u64,
    /// Leases that expired while tasks were on the machine.
    pub lost_leases: u64,
    /// Controllers that exited without being killed by the run.
    #[serde(rename = "ended_by_themselves")]
    pub exited_controllers: usize,
    /// Longest delay of this process's timers, in seconds; the fakes were late by up to this time.
    #[serde(rename = "hollow_delay_s")]
    pub max_timer_delay_s: f64,
    /// Results by controller.
    pub controllers: Vec<ControllerResult>,
    /// Results by region.
    pub regions: Vec<RegionResult>,
    /// Late copies of requests that arrived during the whole run, by kind.
    pub late_copies: BTreeMap<CopiedRequest, u64>,
    /// Number of violations of each rule.
    #[serde(rename = "broken")]
    pub violation_counts: BTreeMap<Rule, u64>,
    /// The first violations.
    pub violations: Vec<Violation>,
    /// Running tasks and starts in each second of the whole run.
    #[serde(rename = "seconds")]
    pub samples: Vec<Sample>,
}

/// Workers, running tasks and starts at one second of a run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Time since the start of the run, in seconds.
    pub at_s: f64,
    /// Started workers.
    pub workers: usize,
    /// Running tasks.
    pub running: usize,
    /// Task starts since the previous sample.
    pub starts: u64,
}

impl RunResult {
    /// Formats the result as a table.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table
            .load_preset(comfy_table::presets::NOTHING)
            .set_header(["what", "wanted", "measured"]);
        let mut row = |what: &str, wanted: String, measured: String| {
            table.add_row([what.to_owned(), wanted, measured]);
        };
        row(
            "workers",
            self.wanted_workers.to_string(),
            self.workers.to_string(),
        );
        row(
            "tasks running (mean)",
            format!("{:.0}", self.wanted_running),
            format!("{:.0}", self.running),
        );
        row(
            "task starts a second",
            format!("{:.0}", self.wanted_starts_per_s),
            format!("{:.1}", self.starts_per_s),
        );
        row(
            "most starts in a second",
            String::new(),
            self.most_starts_in_a_second.to_string(),
        );
        let urgent = format!(
            "{:.2} / {:.2} / {:.2}",
            self.urgent_s.p50, self.urgent_s.p99, self.urgent_s.max
        );
        row(
            "urgent to running, s (p50/p99/max)",
            "5.7".to_owned(),
            urgent,
        );
        row(
            "urgent not started",
            "0".to_owned(),
            format!("{} of {}", self.urgent_not_started, self.urgent_s.count),
        );
        row(
            "accepted in 300 ms",
            String::new(),
            format!("{:.3} of {}", self.accepted_in_300_ms, self.submitted),
        );
        let rate = self.worker_bytes_per_s;
        let bytes = format!("{:.0} / {:.0} / {:.0}", rate.mean, rate.p50, rate.p99);
        row(
            "bytes a second and worker (mean/p50/p99)",
            "4096".to_owned(),
            bytes,
        );
        row(
            "processor of a worker",
            "0.015".to_owned(),
            format!("{:.5}", self.worker_cores),
        );
        for c in &self.controllers {
            let what = format!("controller r{}-n{}: cores, MB, files", c.region, c.node);
            row(
                &what,
                String::new(),
                format!("{:.3}, {:.0}, {}", c.cores, c.memory_mb, c.files),
            );
        }
        for r in &self.regions {
            let what = format!(
                "state service r{}: requests, changes a second, KB/s out",
                r.region
            );
            let out = r.state_bytes_out / 1e3;
            row(
                &what,
                String::new(),
                format!("{:.0}, {:.0}, {out:.0}", r.state_requests, r.state_changes),
            );
        }
        row(
            "machine busy",
            String::new(),
            format!("{:.2}", self.machine_busy),
        );
        row(
            "hollow parties late by, s",
            String::new(),
            format!("{:.2}", self.max_timer_delay_s),
        );
        row("leases lost", String::new(), self.lost_leases.to_string());
        row(
            "late copies",
            String::new(),
            format!("{:?}", self.late_copies),
        );
        row(
            "rules broken",
            "none".to_owned(),
            format!("{:?}", self.violation_counts),
        );
        table.to_string()
    }

    /// Writes the result as JSON, the samples as CSV, and a plot of the samples as SVG.
    ///
    /// # Errors
    ///
    /// Why a file could not be written.
    pub fn write(&self, folder: &Path) -> Result<(), Box<dyn Error>> {
        let path = |extension: &str| folder.join(format!("{}.{extension}", self.name));
        std::fs::write(path("json"), serde_json::to_vec_pretty(self)?)?;
        let mut csv = csv::Writer::from_path(path("csv"))?;
        for sample in &self.samples {
            csv.serialize(sample)?;
        }
        csv.flush()?;
        self.plot(&path("svg"))
    }

    fn plot(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let end = self.samples.last().map_or(1.0, |s| s.at_s);
        let most_running = self
            .samples
            .iter()
            .map(|s| s.running)
            .max()
            .unwrap_or(1)
            .max(1) as f64;
        let most_starts = self
            .samples
            .iter()
            .map(|s| s.starts)
            .max()
            .unwrap_or(1)
            .max(1) as f64;
        let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .build_cartesian_2d(0.0..end, 0.0..1.0)?;
        let running = self
            .samples
            .iter()
            .map(|s| (s.at_s, s.running as f64 / most_running));
        let starts = self
            .samples
            .iter()
            .map(|s| (s.at_s, s.starts as f64 / most_starts));
        let frame = [(0.0, 1.0), (0.0, 0.0), (end, 0.0)];
        chart.draw_series(LineSeries::new(frame, &BLACK))?;
        chart.draw_series(LineSeries::new(running, &BLUE))?;
        chart.draw_series(LineSeries::new(starts, &RED))?;
        area.present()?;
        Ok(())
    }
}
