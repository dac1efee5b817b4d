//! Results of a run: what is written to files and shown on the screen.

use crate::judge::{Rule, Violation};
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

/// Three points of a distribution.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
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

impl Spread {
    /// Of a histogram, each value divided by `unit`.
    pub fn of(histogram: &Histogram<u64>, unit: f64) -> Spread {
        Spread {
            mean: histogram.mean() / unit,
            p50: histogram.value_at_quantile(0.5) as f64 / unit,
            p99: histogram.value_at_quantile(0.99) as f64 / unit,
            max: histogram.max() as f64 / unit,
            count: histogram.len(),
        }
    }
}

/// One controller over the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct ControllerResult {
    /// Region.
    pub region: usize,
    /// Number there.
    pub node: usize,
    /// Processor: cores on average.
    pub cores: f64,
    /// Memory at the end, in MB.
    pub memory_mb: f64,
    /// The most memory, in MB.
    pub peak_memory_mb: f64,
    /// Open files at the end, sockets included.
    pub files: usize,
}

/// One region over the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct RegionResult {
    /// Its number.
    pub region: usize,
    /// Workers at the end.
    pub workers: usize,
    /// Requests a second to the state service.
    pub state_requests: f64,
    /// Changes a second at the state service.
    pub state_changes: f64,
    /// Transactions a second that were carried out.
    pub state_commits: f64,
    /// Requests refused for their rate, a second.
    pub state_throttled: f64,
    /// Bytes a second that the state service got.
    pub state_bytes_in: f64,
    /// Bytes a second that it sent.
    pub state_bytes_out: f64,
    /// Bytes of its values at the end.
    pub state_bytes_kept: u64,
    /// Requests a second to the cloud interface.
    pub cloud_requests: f64,
    /// Bytes a second in both directions between users and controllers.
    pub user_bytes: f64,
    /// Requests a second of users.
    pub user_requests: f64,
}

/// What a run found.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The scenario's name.
    pub name: String,
    /// Whether the wanted number of tasks ran before the measurement.
    pub ramped: bool,
    /// Seconds that the ramp took.
    pub ramp_s: f64,
    /// Length of the measurement in seconds.
    pub measured_s: f64,
    /// Workers wanted.
    pub wanted_workers: u64,
    /// Tasks wanted to run.
    pub wanted_running: f64,
    /// Starts a second that were wanted.
    pub wanted_starts_per_s: f64,
    /// Workers at the end.
    pub workers: usize,
    /// Tasks running, on average.
    pub running: f64,
    /// The most tasks that ran at once.
    pub most_running: usize,
    /// Task starts a second.
    pub starts_per_s: f64,
    /// Completed tasks a second.
    pub completions_per_s: f64,
    /// The most starts within one second.
    pub most_starts_in_a_second: u64,
    /// Urgent work: seconds from submission to running.
    pub urgent_s: Spread,
    /// Urgent jobs submitted during the measurement whose task did not start in it.
    pub urgent_not_started: u64,
    /// Submissions during the measurement.
    pub submitted: u64,
    /// Share of those accepted that were accepted within 300 ms.
    pub accepted_in_300_ms: f64,
    /// Seconds until acceptance.
    pub accepted_s: Spread,
    /// Submissions given up.
    pub given_up: u64,
    /// Requests of users by status; 0: no answer.
    pub user_statuses: BTreeMap<u16, u64>,
    /// Bytes a second to and from a worker.
    pub worker_bytes_per_s: Spread,
    /// Requests a second to and from a worker: reports and commands.
    pub worker_requests_per_s: f64,
    /// Connections a second that a worker opens or takes.
    pub worker_connections_per_s: f64,
    /// Processor of the hollow workers: cores for each worker.
    pub worker_cores: f64,
    /// Processor of hollow users, clouds and state services together, in cores.
    pub outside_cores: f64,
    /// Memory of this process at the end, in MB.
    pub hollow_memory_mb: f64,
    /// Share of all processors of the machine that was busy.
    pub machine_busy: f64,
    /// Reports that had no answer, or another than 200, during the measurement.
    pub reports_failed: u64,
    /// Leases that ended with tasks on the machine.
    pub lost_leases: u64,
    /// Controllers that ended by themselves.
    pub ended_by_themselves: usize,
    /// Longest delay of this process's timers, in seconds: the hollow parties were that late.
    pub hollow_delay_s: f64,
    /// Controllers.
    pub controllers: Vec<ControllerResult>,
    /// Regions.
    pub regions: Vec<RegionResult>,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// The first violations.
    pub violations: Vec<Violation>,
    /// Running tasks and starts, second by second of the whole run.
    pub seconds: Vec<Second>,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Second {
    /// Since the begin, in seconds.
    pub at_s: f64,
    /// Workers that are up.
    pub workers: usize,
    /// Tasks running.
    pub running: usize,
    /// Starts since the second before.
    pub starts: u64,
}

impl RunResult {
    /// The result as a table.
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
        let of = self.worker_bytes_per_s;
        let bytes = format!("{:.0} / {:.0} / {:.0}", of.mean, of.p50, of.p99);
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
            format!("{:.2}", self.hollow_delay_s),
        );
        row("leases lost", String::new(), self.lost_leases.to_string());
        row(
            "rules broken",
            "none".to_owned(),
            format!("{:?}", self.broken),
        );
        table.to_string()
    }

    /// Writes JSON, a CSV file of the seconds, and a plot.
    ///
    /// # Errors
    ///
    /// What could not be written.
    pub fn write(&self, folder: &Path) -> Result<(), Box<dyn Error>> {
        let path = |extension: &str| folder.join(format!("{}.{extension}", self.name));
        std::fs::write(path("json"), serde_json::to_vec_pretty(self)?)?;
        let mut csv = csv::Writer::from_path(path("csv"))?;
        for second in &self.seconds {
            csv.serialize(second)?;
        }
        csv.flush()?;
        self.plot(&path("svg"))
    }

    fn plot(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let end = self.seconds.last().map_or(1.0, |s| s.at_s);
        let most_running = self
            .seconds
            .iter()
            .map(|s| s.running)
            .max()
            .unwrap_or(1)
            .max(1) as f64;
        let most_starts = self
            .seconds
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
            .seconds
            .iter()
            .map(|s| (s.at_s, s.running as f64 / most_running));
        let starts = self
            .seconds
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
