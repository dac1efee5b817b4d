//! Executes a scale run: starts all processes and fakes, ramps up the load, measures, and stops everything.

use crate::addresses::{Addresses, NoFreePort};
use crate::controllers::Controller;
use crate::invariants::InvariantChecker;
use crate::late_copies::CopyCounters;
use crate::measure;
use crate::region::{Region, RunContext};
use crate::report::{RunResult, Sample};
use crate::scenario::{FaultKind, MAX_MEMORY_MB, Scenario};
use crate::users::{JobKind, LoadBalancer, UserStats, submit_and_follow, task_cores};
use parking_lot::Mutex;
use snapshot::Snapshot;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

mod snapshot;

/// Name of the threads that run the fake workers.
const WORKER_THREAD_NAME: &str = "hollow-workers";
/// Name of the threads that run the fake users, clouds and state services.
const SERVICE_THREAD_NAME: &str = "hollow-outside";
/// Threads of each of the two runtimes.
const THREADS_PER_RUNTIME: usize = 2;
/// Fraction of the wanted tasks that must run before the measurement.
const RAMP_COMPLETE_FRACTION: f64 = 0.97;
/// Time by which all regions must have a healthy controller.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(30);
/// Jobs submitted per second in each region during the ramp.
const RAMP_JOBS_PER_S: f64 = 10.0;
/// Most tasks of a job that runs for longer than the scenario.
const MAX_TASKS_PER_ENDLESS_JOB: u32 = 100;
/// Time after the end of a fault during which unanswered status queries are not counted.
const UNANSWERED_GRACE_PERIOD: Duration = Duration::from_secs(10);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a run failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// A system call failed.
    #[error("{operation}: {error}")]
    System {
        /// The operation that failed.
        operation: &'static str,
        /// The error of the system.
        error: std::io::Error,
    },
    /// No port is free.
    #[error(transparent)]
    Port(#[from] NoFreePort),
    /// No controller of a region became healthy in time.
    #[error("no controller of region {0} became healthy")]
    NotHealthy(usize),
    /// This process received SIGTERM or SIGINT.
    #[error("stopped by a signal")]
    Stopped,
    /// The run used more memory than it may.
    #[error("stopped: the run took {0:.0} MB, at most {MAX_MEMORY_MB} are allowed")]
    Memory(f64),
}

fn system_error(operation: &'static str) -> impl Fn(std::io::Error) -> RunError {
    move |error| RunError::System { operation, error }
}

/// Called with a text that describes how far the run has come.
pub type Progress = dyn Fn(&str) + Send + Sync;

/// The runtimes of a run; dropping them stops all fakes.
struct Runtimes {
    workers: Option<Runtime>,
    services: Option<Runtime>,
}

impl Drop for Runtimes {
    fn drop(&mut self) {
        for runtime in [self.workers.take(), self.services.take()]
            .into_iter()
            .flatten()
        {
            runtime.shutdown_background();
        }
    }
}

fn new_runtime(name: &str) -> Result<Runtime, RunError> {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(THREADS_PER_RUNTIME)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(system_error("cannot start threads"))
}

/// Each team's limit over all regions, in cores.
pub fn team_quotas(scenario: &Scenario) -> Vec<f64> {
    let wanted = scenario.wanted_running() * task_cores(scenario.load.tasks_per_worker);
    let per_team = (wanted * scenario.load.quota_headroom / scenario.load.teams as f64).ceil();
    vec![per_team; scenario.load.teams]
}

/// A region's shares of the teams' limits, in proportion to its workers. They are rounded down to whole cores, so that their sum
/// never exceeds the limits.
pub fn quota_shares(scenario: &Scenario, region: usize) -> Vec<f64> {
    let region_fraction = scenario.regions[region].workers as f64 / scenario.total_workers() as f64;
    team_quotas(scenario)
        .into_iter()
        .map(|quota| (quota * region_fraction).floor().max(1.0))
        .collect()
}

/// The state of a run.
struct Run {
    context: Arc<RunContext>,
    regions: Vec<Arc<Region>>,
    balancers: Vec<Arc<LoadBalancer>>,
    user_stats: Arc<UserStats>,
    controllers: Mutex<Vec<Controller>>,
    samples: Mutex<Vec<Sample>>,
    next_job: AtomicU64,
    /// Longest observed delay of a timer of this process, in microseconds.
    max_timer_delay_us: AtomicU64,
}

/// Runs a scenario with a controller binary. Deploy files and logs are written to a subfolder of `folder`.
///
/// # Errors
///
/// Why the run failed. Violated invariants are no error; they are part of the result.
pub fn run(
    scenario: &Scenario,
    binary: &Path,
    folder: &Path,
    progress: &Progress,
) -> Result<RunResult, RunError> {
    let folder: PathBuf = folder.join(&scenario.name);
    std::fs::create_dir_all(&folder).map_err(system_error("cannot create the output folder"))?;
    let (workers, services) = (
        new_runtime(WORKER_THREAD_NAME)?,
        new_runtime(SERVICE_THREAD_NAME)?,
    );
    let cancel_limit_us = (scenario.workers.cancel_s * 1e6) as u64;
    let context = Arc::new(RunContext {
        scenario: scenario.clone(),
        addresses: Addresses::find(scenario.seed ^ u64::from(std::process::id()))?,
        started_at: Instant::now(),
        jobs: Default::default(),
        copies: CopyCounters::default(),
        checker: Mutex::new(InvariantChecker::new(
            cancel_limit_us,
            team_quotas(scenario),
        )),
        worker_threads: workers.handle().clone(),
        service_threads: services.handle().clone(),
    });
    let runtimes = Runtimes {
        workers: Some(workers),
        services: Some(services),
    };
    let regions: Vec<Arc<Region>> = (0..scenario.regions.len())
        .map(|i| Region::new(&context, i))
        .collect();
    let user_stats = Arc::<UserStats>::default();
    let balancers = regions
        .iter()
        .map(|r| LoadBalancer::new(r, &user_stats))
        .collect();
    let run = Arc::new(Run {
        context: Arc::clone(&context),
        regions,
        balancers,
        user_stats,
        controllers: Mutex::default(),
        samples: Mutex::default(),
        next_job: AtomicU64::new(1),
        max_timer_delay_us: AtomicU64::new(0),
    });
    let result = context.service_threads.block_on(async {
        let mut terminate = signal(SignalKind::terminate())
            .map_err(system_error("cannot install a signal handler"))?;
        let mut interrupt = signal(SignalKind::interrupt())
            .map_err(system_error("cannot install a signal handler"))?;
        tokio::select! {
            result = run.execute(binary, &folder, progress) => result,
            _ = terminate.recv() => Err(RunError::Stopped),
            _ = interrupt.recv() => Err(RunError::Stopped),
        }
    });
    run.controllers.lock().clear();
    drop(runtimes);
    result
}

impl Run {
    async fn execute(
        self: &Arc<Self>,
        binary: &Path,
        folder: &Path,
        progress: &Progress,
    ) -> Result<RunResult, RunError> {
        for region in &self.regions {
            region.start().await.map_err(system_error(
                "cannot listen on the address of a fake service",
            ))?;
        }
        self.start_controllers(binary, folder)?;
        self.wait_until_healthy().await?;
        tokio::spawn(Arc::clone(self).measure_timer_delay());
        tokio::spawn(Arc::clone(self).sample_every_second());
        let ramped = self.ramp_up(progress).await?;
        let ramp_s = self.context.started_at.elapsed().as_secs_f64();
        self.start_streams();
        self.wait_phase("settling", self.context.scenario.settle_s, progress)
            .await?;
        let before = Snapshot::take(self);
        tokio::spawn(Arc::clone(self).inject_faults());
        self.wait_phase("measuring", self.context.scenario.measure_s, progress)
            .await?;
        let after = Snapshot::take(self);
        Ok(self.result(&before, &after, ramped, ramp_s))
    }

    fn start_controllers(&self, binary: &Path, folder: &Path) -> Result<(), RunError> {
        let mut controllers = self.controllers.lock();
        for (region, spec) in self.context.scenario.regions.iter().enumerate() {
            let quota_shares = quota_shares(&self.context.scenario, region);
            for node in 0..spec.controllers {
                let controller =
                    Controller::start(&self.context, (region, node), &quota_shares, binary, folder);
                controllers.push(controller.map_err(system_error("cannot start a controller"))?);
            }
        }
        for balancer in &self.balancers {
            for node in 0..self.context.scenario.regions[balancer.region()].controllers {
                tokio::spawn(Arc::clone(balancer).probe(node));
            }
        }
        Ok(())
    }

    async fn wait_until_healthy(&self) -> Result<(), RunError> {
        let started_at = Instant::now();
        for balancer in &self.balancers {
            while !balancer.is_up() {
                if started_at.elapsed() > HEALTHY_TIMEOUT {
                    return Err(RunError::NotHealthy(balancer.region()));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Measures how late this process's own timers fire.
    async fn measure_timer_delay(self: Arc<Self>) {
        const TIMER_INTERVAL: Duration = Duration::from_millis(50);
        loop {
            let started_at = Instant::now();
            tokio::time::sleep(TIMER_INTERVAL).await;
            let delay_us = started_at
                .elapsed()
                .saturating_sub(TIMER_INTERVAL)
                .as_micros() as u64;
            self.max_timer_delay_us
                .fetch_max(delay_us, Ordering::Relaxed);
        }
    }

    async fn sample_every_second(self: Arc<Self>) {
        let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
        let mut previous_starts = 0;
        loop {
            interval.tick().await;
            let now = self.context.now();
            let workers = self.workers();
            let mut checker = self.context.checker.lock();
            checker.check_timeouts(now);
            let starts = checker.starts() - previous_starts;
            previous_starts = checker.starts();
            let sample = Sample {
                at_s: now as f64 / 1e6,
                workers,
                running: checker.running(),
                starts,
            };
            drop(checker);
            self.samples.lock().push(sample);
        }
    }

    fn workers(&self) -> usize {
        self.regions.iter().map(|r| r.fleet.lock().len()).sum()
    }

    fn submit(&self, region: usize, kind: JobKind, tasks: u32) {
        let job = self.next_job.fetch_add(1, Ordering::Relaxed);
        self.context.service_threads.spawn(submit_and_follow(
            Arc::clone(&self.balancers[region]),
            job,
            kind,
            tasks,
        ));
    }

    /// Number of endless tasks of a region: the wanted running tasks less those of the stream of short jobs.
    fn endless_tasks(&self, region: usize) -> u32 {
        let scenario = &self.context.scenario;
        let region_fraction =
            scenario.regions[region].workers as f64 / scenario.total_workers() as f64;
        let short = scenario.load.starts_per_s * scenario.load.run_s;
        ((scenario.wanted_running() - short).max(0.0) * region_fraction) as u32
    }

    /// Submits the endless jobs and waits until their tasks run; returns whether they run in time.
    async fn ramp_up(self: &Arc<Self>, progress: &Progress) -> Result<bool, RunError> {
        let mut wanted = 0;
        for region in 0..self.regions.len() {
            let tasks = self.endless_tasks(region);
            wanted += tasks;
            tokio::spawn(Arc::clone(self).submit_endless(region, tasks));
        }
        let limit = Duration::from_secs_f64(self.context.scenario.ramp_s);
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            self.check_memory()?;
            let running = self.context.checker.lock().running();
            if running as f64 >= f64::from(wanted) * RAMP_COMPLETE_FRACTION {
                return Ok(true);
            }
            progress(&format!(
                "ramping up: {running} of {wanted} tasks run on {} workers",
                self.workers()
            ));
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        Ok(false)
    }

    async fn submit_endless(self: Arc<Self>, region: usize, tasks: u32) {
        // All tasks of a job must be able to run at once, so each job has to fit into its team's limit.
        let tasks_per_job =
            (tasks / self.context.scenario.load.teams as u32).clamp(1, MAX_TASKS_PER_ENDLESS_JOB);
        let mut remaining = tasks;
        while remaining > 0 {
            let tasks = remaining.min(tasks_per_job);
            remaining -= tasks;
            self.submit(region, JobKind::Endless, tasks);
            tokio::time::sleep(Duration::from_secs_f64(1.0 / RAMP_JOBS_PER_S)).await;
        }
    }

    /// Starts the streams of short and urgent jobs.
    fn start_streams(self: &Arc<Self>) {
        let load = &self.context.scenario.load;
        let workers = self.context.scenario.total_workers() as f64;
        for (region, spec) in self.context.scenario.regions.iter().enumerate() {
            let region_fraction = spec.workers as f64 / workers;
            let short = load.starts_per_s * region_fraction / f64::from(load.tasks_per_job);
            tokio::spawn(Arc::clone(self).submit_stream(
                region,
                JobKind::Short,
                short,
                load.tasks_per_job,
            ));
            tokio::spawn(Arc::clone(self).submit_stream(
                region,
                JobKind::Urgent,
                load.urgent_per_s * region_fraction,
                1,
            ));
        }
    }

    /// Submits `rate` jobs per second on average, at random times.
    async fn submit_stream(self: Arc<Self>, region: usize, kind: JobKind, rate: f64, tasks: u32) {
        if rate <= 0.0 {
            return;
        }
        loop {
            let pause = -(1.0 - self.regions[region].random()).max(1e-6).ln() / rate;
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            self.submit(region, kind, tasks);
        }
    }

    async fn wait_phase(
        &self,
        phase: &str,
        duration_s: f64,
        progress: &Progress,
    ) -> Result<(), RunError> {
        let until = Instant::now() + Duration::from_secs_f64(duration_s);
        while Instant::now() < until {
            self.check_memory()?;
            let remaining = until.saturating_duration_since(Instant::now());
            let running = self.context.checker.lock().running();
            progress(&format!(
                "{phase}: {:.0} s left, {running} tasks run on {} workers",
                remaining.as_secs_f64(),
                self.workers()
            ));
            tokio::time::sleep(remaining.min(SAMPLE_INTERVAL)).await;
        }
        Ok(())
    }

    fn check_memory(&self) -> Result<(), RunError> {
        let own_mb = measure::process_usage(std::process::id()).map_or(0.0, |u| u.memory_mb);
        let controllers_mb: f64 = self
            .controllers
            .lock()
            .iter()
            .filter_map(|c| Some(c.usage()?.memory_mb))
            .sum();
        if own_mb + controllers_mb > MAX_MEMORY_MB {
            Err(RunError::Memory(own_mb + controllers_mb))
        } else {
            Ok(())
        }
    }

    async fn inject_faults(self: Arc<Self>) {
        let mut faults = self.context.scenario.faults.clone();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        let started_at = Instant::now();
        for fault in faults {
            let at = Duration::from_secs_f64(fault.at_s);
            tokio::time::sleep(at.saturating_sub(started_at.elapsed())).await;
            self.inject_fault(fault.region, &fault.kind);
        }
    }

    fn inject_fault(self: &Arc<Self>, region: usize, kind: &FaultKind) {
        let now = self.context.now();
        let mut duration = Duration::ZERO;
        match kind {
            FaultKind::KillController { node } => self.kill(region, Some(*node)),
            FaultKind::KillRegion => self.kill(region, None),
            FaultKind::ZonePartitioned { zone, for_s } => {
                duration = Duration::from_secs_f64(*for_s);
                let until = now + duration.as_micros() as u64;
                self.regions[region]
                    .partitioned_zones
                    .lock()
                    .push((RunContext::zone(region, *zone), until));
            }
            FaultKind::StateOutage { for_s } => {
                duration = Duration::from_secs_f64(*for_s);
                self.regions[region]
                    .state
                    .lock()
                    .outage(now, duration.as_micros() as u64);
            }
        }
        let exempt_until = now + (duration + UNANSWERED_GRACE_PERIOD).as_micros() as u64;
        self.context
            .checker
            .lock()
            .exempt_unanswered_until(exempt_until);
    }

    /// Kills one controller, or all controllers of a region, and starts them again after the scenario's restart delay.
    fn kill(self: &Arc<Self>, region: usize, node: Option<usize>) {
        let is_target =
            move |c: &Controller| c.region == region && node.is_none_or(|n| n == c.node);
        self.controllers
            .lock()
            .iter_mut()
            .filter(|c| is_target(c))
            .for_each(Controller::kill);
        let run = Arc::clone(self);
        let pause = Duration::from_secs_f64(self.context.scenario.controller.restart_s);
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            for controller in run.controllers.lock().iter_mut().filter(|c| is_target(c)) {
                // A controller that cannot be started has no usage in the results.
                let _ = controller.spawn();
            }
        });
    }
}
