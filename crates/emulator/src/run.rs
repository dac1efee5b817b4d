//! A scale run: starts everything, ramps up, measures, ends everything.

use crate::addresses::{Addresses, NoPort};
use crate::controllers::Controller;
use crate::judge::Judge;
use crate::measure;
use crate::region::{Region, World};
use crate::report::{RunResult, Second};
use crate::scenario::{MOST_MEMORY_MB, Scenario, TroubleKind};
use crate::users::{Balancer, Kind, Service, see_to, task_cores};
use parking_lot::Mutex;
use reading::Reading;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

mod reading;

/// Names of this process's threads, by what runs on them.
const WORKER_THREADS: &str = "hollow-workers";
const OUTSIDE_THREADS: &str = "hollow-outside";
/// Threads of each kind.
const THREADS: usize = 2;
/// Share of the wanted tasks that must run before the measurement.
const RAMPED: f64 = 0.97;
/// Longest wait until all regions have a healthy controller.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Jobs submitted a second in each region while the run ramps up.
const RAMP_JOBS_PER_S: f64 = 10.0;
/// The most tasks of a job that runs for longer than the scenario.
const ENDLESS_TASKS: u32 = 100;
/// Time after the last trouble within which unanswered questions have an excuse.
const EXCUSE: Duration = Duration::from_secs(10);
const SECOND: Duration = Duration::from_secs(1);

/// Why a run could not be made.
#[derive(Debug, Error)]
pub enum RunError {
    /// The system refused something.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: &'static str,
        /// What it said.
        error: std::io::Error,
    },
    /// No port is free.
    #[error(transparent)]
    Port(#[from] NoPort),
    /// No controller of some region came up.
    #[error("no controller of region {0} became healthy")]
    NotHealthy(usize),
    /// The user or the system asked this process to end.
    #[error("stopped by a signal")]
    Stopped,
    /// The run would have taken more memory than it may.
    #[error("stopped: the run took {0:.0} MB, at most {MOST_MEMORY_MB} are allowed")]
    Memory(f64),
}

fn system(what: &'static str) -> impl Fn(std::io::Error) -> RunError {
    move |error| RunError::System { what, error }
}

/// Tells how far a run has come.
pub type Progress = dyn Fn(&str) + Send + Sync;

/// The runtimes of a run; dropping them ends all hollow parties.
struct Threads {
    workers: Option<Runtime>,
    outside: Option<Runtime>,
}

impl Drop for Threads {
    fn drop(&mut self) {
        for runtime in [self.workers.take(), self.outside.take()]
            .into_iter()
            .flatten()
        {
            runtime.shutdown_background();
        }
    }
}

fn threads(name: &str) -> Result<Runtime, RunError> {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(system("threads"))
}

/// Each team's cores over all regions.
pub fn quotas(scenario: &Scenario) -> Vec<f64> {
    let wanted = scenario.wanted_running() * task_cores(scenario.load.tasks_per_worker);
    let each = (wanted * scenario.load.quota_headroom / scenario.load.teams as f64).ceil();
    vec![each; scenario.load.teams]
}

/// A region's shares of the quotas: by its workers, rounded down to whole cores, so that they never add up to more.
pub fn shares(scenario: &Scenario, region: usize) -> Vec<f64> {
    let part = scenario.regions[region].workers as f64 / scenario.all_workers() as f64;
    quotas(scenario)
        .into_iter()
        .map(|quota| (quota * part).floor().max(1.0))
        .collect()
}

/// Everything that runs.
struct Run {
    world: Arc<World>,
    regions: Vec<Arc<Region>>,
    balancers: Vec<Arc<Balancer>>,
    service: Arc<Service>,
    controllers: Mutex<Vec<Controller>>,
    seconds: Mutex<Vec<Second>>,
    next_job: AtomicU64,
    /// Longest delay of a timer, in microseconds.
    delay: AtomicU64,
}

/// Runs a scenario with the release binary of cometlead; deploy files and logs go to `folder`.
///
/// # Errors
///
/// What kept the run from being made. Broken rules are part of the result.
pub fn run(
    scenario: &Scenario,
    binary: &Path,
    folder: &Path,
    progress: &Progress,
) -> Result<RunResult, RunError> {
    let folder: PathBuf = folder.join(&scenario.name);
    std::fs::create_dir_all(&folder).map_err(system("folder"))?;
    let (workers, outside) = (threads(WORKER_THREADS)?, threads(OUTSIDE_THREADS)?);
    let cancel = (scenario.workers.cancel_s * 1e6) as u64;
    let world = Arc::new(World {
        scenario: scenario.clone(),
        addresses: Addresses::find(scenario.seed ^ u64::from(std::process::id()))?,
        started: Instant::now(),
        jobs: Default::default(),
        judge: Mutex::new(Judge::new(cancel, quotas(scenario))),
        worker_threads: workers.handle().clone(),
        outside_threads: outside.handle().clone(),
    });
    let threads = Threads {
        workers: Some(workers),
        outside: Some(outside),
    };
    let regions: Vec<Arc<Region>> = (0..scenario.regions.len())
        .map(|i| Region::new(&world, i))
        .collect();
    let service = Arc::<Service>::default();
    let balancers = regions.iter().map(|r| Balancer::new(r, &service)).collect();
    let run = Arc::new(Run {
        world: Arc::clone(&world),
        regions,
        balancers,
        service,
        controllers: Mutex::default(),
        seconds: Mutex::default(),
        next_job: AtomicU64::new(1),
        delay: AtomicU64::new(0),
    });
    let result = world.outside_threads.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(system("a signal"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(system("a signal"))?;
        tokio::select! {
            result = run.play(binary, &folder, progress) => result,
            _ = terminate.recv() => Err(RunError::Stopped),
            _ = interrupt.recv() => Err(RunError::Stopped),
        }
    });
    run.controllers.lock().clear();
    drop(threads);
    result
}

impl Run {
    async fn play(
        self: &Arc<Self>,
        binary: &Path,
        folder: &Path,
        progress: &Progress,
    ) -> Result<RunResult, RunError> {
        for region in &self.regions {
            region
                .start()
                .await
                .map_err(system("an address of the outside"))?;
        }
        self.start_controllers(binary, folder)?;
        self.wait_until_healthy().await?;
        tokio::spawn(Arc::clone(self).watch_time());
        tokio::spawn(Arc::clone(self).count_seconds());
        let ramped = self.ramp(progress).await?;
        let ramp_s = self.world.started.elapsed().as_secs_f64();
        self.start_streams();
        self.wait("settling", self.world.scenario.settle_s, progress)
            .await?;
        let before = Reading::take(self);
        tokio::spawn(Arc::clone(self).play_troubles());
        self.wait("measuring", self.world.scenario.measure_s, progress)
            .await?;
        let after = Reading::take(self);
        Ok(self.result(&before, &after, ramped, ramp_s))
    }

    fn start_controllers(&self, binary: &Path, folder: &Path) -> Result<(), RunError> {
        let mut controllers = self.controllers.lock();
        for (region, spec) in self.world.scenario.regions.iter().enumerate() {
            let shares = shares(&self.world.scenario, region);
            for node in 0..spec.controllers {
                let started =
                    Controller::start(&self.world, (region, node), &shares, binary, folder);
                controllers.push(started.map_err(system("a controller"))?);
            }
        }
        for balancer in &self.balancers {
            for node in 0..self.world.scenario.regions[balancer.region()].controllers {
                tokio::spawn(Arc::clone(balancer).probe(node));
            }
        }
        Ok(())
    }

    async fn wait_until_healthy(&self) -> Result<(), RunError> {
        let begun = Instant::now();
        for balancer in &self.balancers {
            while !balancer.is_up() {
                if begun.elapsed() > START_LIMIT {
                    return Err(RunError::NotHealthy(balancer.region()));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Notes how late this process's own timers are.
    async fn watch_time(self: Arc<Self>) {
        const PAUSE: Duration = Duration::from_millis(50);
        loop {
            let begun = Instant::now();
            tokio::time::sleep(PAUSE).await;
            let late = begun.elapsed().saturating_sub(PAUSE).as_micros() as u64;
            self.delay.fetch_max(late, Ordering::Relaxed);
        }
    }

    async fn count_seconds(self: Arc<Self>) {
        let mut interval = tokio::time::interval(SECOND);
        let mut before = 0;
        loop {
            interval.tick().await;
            let now = self.world.now();
            let workers = self.workers();
            let mut judge = self.world.judge.lock();
            judge.sweep(now);
            let starts = judge.starts() - before;
            before = judge.starts();
            let second = Second {
                at_s: now as f64 / 1e6,
                workers,
                running: judge.running(),
                starts,
            };
            drop(judge);
            self.seconds.lock().push(second);
        }
    }

    fn workers(&self) -> usize {
        self.regions.iter().map(|r| r.fleet.lock().len()).sum()
    }

    fn submit(&self, region: usize, kind: Kind, tasks: u32) {
        let job = self.next_job.fetch_add(1, Ordering::Relaxed);
        self.world.outside_threads.spawn(see_to(
            Arc::clone(&self.balancers[region]),
            job,
            kind,
            tasks,
        ));
    }

    /// Endless tasks of a region: what the stream of short ones leaves of the wanted.
    fn endless_tasks(&self, region: usize) -> u32 {
        let scenario = &self.world.scenario;
        let part = scenario.regions[region].workers as f64 / scenario.all_workers() as f64;
        let short = scenario.load.starts_per_s * scenario.load.run_s;
        ((scenario.wanted_running() - short).max(0.0) * part) as u32
    }

    /// Submits the endless jobs and waits until their tasks run; whether they do in time.
    async fn ramp(self: &Arc<Self>, progress: &Progress) -> Result<bool, RunError> {
        let mut wanted = 0;
        for region in 0..self.regions.len() {
            let tasks = self.endless_tasks(region);
            wanted += tasks;
            tokio::spawn(Arc::clone(self).submit_endless(region, tasks));
        }
        let limit = Duration::from_secs_f64(self.world.scenario.ramp_s);
        let begun = Instant::now();
        while begun.elapsed() < limit {
            self.check_memory()?;
            let running = self.world.judge.lock().running();
            if running as f64 >= f64::from(wanted) * RAMPED {
                return Ok(true);
            }
            progress(&format!(
                "ramping up: {running} of {wanted} tasks run on {} workers",
                self.workers()
            ));
            tokio::time::sleep(SECOND).await;
        }
        Ok(false)
    }

    async fn submit_endless(self: Arc<Self>, region: usize, tasks: u32) {
        // Each job within its team's limit: all of its tasks are to run at once.
        let each = (tasks / self.world.scenario.load.teams as u32).clamp(1, ENDLESS_TASKS);
        let mut left = tasks;
        while left > 0 {
            let part = left.min(each);
            left -= part;
            self.submit(region, Kind::Endless, part);
            tokio::time::sleep(Duration::from_secs_f64(1.0 / RAMP_JOBS_PER_S)).await;
        }
    }

    /// Starts the streams of short and urgent jobs.
    fn start_streams(self: &Arc<Self>) {
        let load = &self.world.scenario.load;
        let workers = self.world.scenario.all_workers() as f64;
        for (region, spec) in self.world.scenario.regions.iter().enumerate() {
            let part = spec.workers as f64 / workers;
            let short = load.starts_per_s * part / f64::from(load.tasks_per_job);
            tokio::spawn(Arc::clone(self).stream(region, Kind::Short, short, load.tasks_per_job));
            tokio::spawn(Arc::clone(self).stream(
                region,
                Kind::Urgent,
                load.urgent_per_s * part,
                1,
            ));
        }
    }

    /// Submits jobs at random times, so many a second on average.
    async fn stream(self: Arc<Self>, region: usize, kind: Kind, rate: f64, tasks: u32) {
        if rate <= 0.0 {
            return;
        }
        loop {
            let pause = -(1.0 - self.regions[region].random()).max(1e-6).ln() / rate;
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            self.submit(region, kind, tasks);
        }
    }

    async fn wait(&self, what: &str, seconds: f64, progress: &Progress) -> Result<(), RunError> {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            self.check_memory()?;
            let left = until.saturating_duration_since(Instant::now());
            let running = self.world.judge.lock().running();
            progress(&format!(
                "{what}: {:.0} s left, {running} tasks run on {} workers",
                left.as_secs_f64(),
                self.workers()
            ));
            tokio::time::sleep(left.min(SECOND)).await;
        }
        Ok(())
    }

    fn check_memory(&self) -> Result<(), RunError> {
        let own = measure::process(std::process::id()).map_or(0.0, |u| u.memory_mb);
        let theirs: f64 = self
            .controllers
            .lock()
            .iter()
            .filter_map(|c| Some(c.usage()?.memory_mb))
            .sum();
        if own + theirs > MOST_MEMORY_MB {
            Err(RunError::Memory(own + theirs))
        } else {
            Ok(())
        }
    }

    async fn play_troubles(self: Arc<Self>) {
        let mut troubles = self.world.scenario.troubles.clone();
        troubles.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        let begun = Instant::now();
        for trouble in troubles {
            let at = Duration::from_secs_f64(trouble.at_s);
            tokio::time::sleep(at.saturating_sub(begun.elapsed())).await;
            self.trouble(trouble.region, &trouble.what);
        }
    }

    fn trouble(self: &Arc<Self>, region: usize, kind: &TroubleKind) {
        let now = self.world.now();
        let mut lasts = Duration::ZERO;
        match kind {
            TroubleKind::KillController { node } => self.kill(region, Some(*node)),
            TroubleKind::KillRegion => self.kill(region, None),
            TroubleKind::ZoneGone { zone, for_s } => {
                lasts = Duration::from_secs_f64(*for_s);
                let until = now + lasts.as_micros() as u64;
                self.regions[region]
                    .cut_zones
                    .lock()
                    .push((World::zone(region, *zone), until));
            }
            TroubleKind::StateOut { for_s } => {
                lasts = Duration::from_secs_f64(*for_s);
                self.regions[region]
                    .state
                    .lock()
                    .outage(now, lasts.as_micros() as u64);
            }
        }
        let excused = now + (lasts + EXCUSE).as_micros() as u64;
        self.world.judge.lock().excuse_until(excused);
    }

    /// Ends one controller or all of a region, and starts them again after the scenario's pause.
    fn kill(self: &Arc<Self>, region: usize, node: Option<usize>) {
        let is_hit = move |c: &Controller| c.region == region && node.is_none_or(|n| n == c.node);
        self.controllers
            .lock()
            .iter_mut()
            .filter(|c| is_hit(c))
            .for_each(Controller::end);
        let run = Arc::clone(self);
        let pause = Duration::from_secs_f64(self.world.scenario.controller.restart_s);
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            for controller in run.controllers.lock().iter_mut().filter(|c| is_hit(c)) {
                // One that cannot be started shows as one without usage.
                let _ = controller.begin();
            }
        });
    }
}
