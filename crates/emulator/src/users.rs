//! Hollow users: they submit through a load balancer, ask until their jobs are over, and cancel some.

use crate::controllers::{URGENT_CLASS, team_name};
use crate::http::{Answer, Connection, NoAnswer, Traffic};
use crate::judge::Told;
use crate::region::{MACHINE_CORES, Region};
use crate::standins::submission::Submission;
use crate::standins::worker::JobInfo;
use bytes::Bytes;
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// How often the balancer asks each controller whether it is healthy.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_LIMIT: Duration = Duration::from_secs(1);
/// Controllers that the balancer tries for one connection.
const BALANCER_TRIES: usize = 3;
/// Users wait this long for the answer to a submission or a cancellation.
const CHANGE_LIMIT: Duration = Duration::from_secs(5);
/// The same for a poll.
const POLL_LIMIT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const LEAST_RETRY_S: u64 = 1;
const MOST_RETRY_S: u64 = 30;
/// Users give up on a submission after this long.
const GIVE_UP: Duration = Duration::from_secs(60);
/// Submissions that are accepted within this time are counted, in microseconds.
const PROMPT: u64 = 300_000;
/// Memory of a task in GB.
const TASK_MEMORY_GB: f64 = 1.0;
/// The run time of a task that runs for longer than any scenario, in seconds.
const ENDLESS_S: f64 = 100_000.0;
/// The most images; every machine ends up with most of them.
const IMAGES: u64 = 5;
/// What fetching an image takes, in seconds.
const FETCH_S: f64 = 0.5;

/// How users fared.
#[derive(Debug)]
pub struct Service {
    /// Submissions begun.
    pub submitted: AtomicU64,
    /// Submissions accepted.
    pub accepted: AtomicU64,
    /// Submissions accepted within 300 ms of the first attempt.
    pub prompt: AtomicU64,
    /// Submissions given up after a minute.
    pub given_up: AtomicU64,
    /// Requests by the status that they got; 0: no answer.
    pub statuses: Mutex<BTreeMap<u16, u64>>,
    /// Times from the first attempt to acceptance, in microseconds.
    pub accept_times: Mutex<Histogram<u64>>,
    /// When urgent jobs were submitted, in microseconds.
    pub urgent: Mutex<BTreeMap<u64, u64>>,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            submitted: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            prompt: AtomicU64::new(0),
            given_up: AtomicU64::new(0),
            statuses: Mutex::default(),
            accept_times: Mutex::new(new_histogram()),
            urgent: Mutex::default(),
        }
    }
}

/// A histogram of times in microseconds, up to any length, with three digits.
pub fn new_histogram() -> Histogram<u64> {
    // Only digits above 5 are refused.
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

/// The load balancer of a region.
pub struct Balancer {
    region: Arc<Region>,
    healthy: Vec<AtomicBool>,
    open: Vec<AtomicUsize>,
    /// What went between users and controllers.
    pub traffic: Arc<Traffic>,
    /// How users fared.
    pub service: Arc<Service>,
}

/// A user's connection through the balancer.
struct UserConnection {
    connection: Connection,
    node: usize,
    balancer: Arc<Balancer>,
}

impl Drop for UserConnection {
    fn drop(&mut self) {
        self.balancer.open[self.node].fetch_sub(1, Ordering::Relaxed);
    }
}

impl Balancer {
    /// A balancer that has asked nobody yet.
    pub fn new(region: &Arc<Region>, service: &Arc<Service>) -> Arc<Balancer> {
        let nodes = region.world.scenario.regions[region.index].controllers;
        Arc::new(Balancer {
            region: Arc::clone(region),
            healthy: (0..nodes).map(|_| AtomicBool::new(false)).collect(),
            open: (0..nodes).map(|_| AtomicUsize::new(0)).collect(),
            traffic: Arc::default(),
            service: Arc::clone(service),
        })
    }

    /// Its region.
    pub fn region(&self) -> usize {
        self.region.index
    }

    /// Whether some controller is healthy.
    pub fn is_up(&self) -> bool {
        self.healthy.iter().any(|h| h.load(Ordering::Relaxed))
    }

    /// Asks a controller for ever whether it is healthy.
    pub async fn probe(self: Arc<Self>, node: usize) {
        let traffic = Arc::default();
        let address = self
            .region
            .world
            .addresses
            .controller(self.region.index, node);
        loop {
            let asking = async {
                let mut connection = Connection::open(address, &traffic).await?;
                connection.call("GET", "/healthz", Bytes::new()).await
            };
            let answer = tokio::time::timeout(PROBE_LIMIT, asking).await;
            let healthy = matches!(answer, Ok(Ok(Answer { status: 200, .. })));
            self.healthy[node].store(healthy, Ordering::Relaxed);
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    async fn connect(self: &Arc<Self>) -> Result<UserConnection, NoAnswer> {
        let mut nodes: Vec<usize> = (0..self.open.len())
            .filter(|n| self.healthy[*n].load(Ordering::Relaxed))
            .collect();
        nodes.sort_by_key(|n| self.open[*n].load(Ordering::Relaxed));
        for node in nodes.into_iter().take(BALANCER_TRIES) {
            let address = self
                .region
                .world
                .addresses
                .controller(self.region.index, node);
            if let Ok(connection) = Connection::open(address, &self.traffic).await {
                self.open[node].fetch_add(1, Ordering::Relaxed);
                return Ok(UserConnection {
                    connection,
                    node,
                    balancer: Arc::clone(self),
                });
            }
        }
        Err(NoAnswer)
    }
}

/// A user who sees to one job.
struct User {
    balancer: Arc<Balancer>,
    connection: Option<UserConnection>,
    job: u64,
}

impl User {
    fn now(&self) -> u64 {
        self.balancer.region.world.now()
    }

    async fn ask(
        &mut self,
        method: &str,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, NoAnswer> {
        let open = self.connection.take().filter(|c| c.connection.is_open());
        let balancer = Arc::clone(&self.balancer);
        let asking = async {
            let mut user = match open {
                Some(user) => user,
                None => balancer.connect().await?,
            };
            let answer = user.connection.call(method, path, body).await?;
            Ok::<_, NoAnswer>((user, answer))
        };
        let result = match tokio::time::timeout(limit, asking).await {
            Ok(Ok((user, answer))) => {
                self.connection = Some(user);
                Ok(answer)
            }
            _ => Err(NoAnswer),
        };
        let status = result.as_ref().map_or(0, |a| a.status);
        *self
            .balancer
            .service
            .statuses
            .lock()
            .entry(status)
            .or_default() += 1;
        result
    }

    /// Tells the judge what an answer said; whether the job is over.
    fn note(&self, asked: u64, answer: &Answer) -> bool {
        let now = self.now();
        let mut judge = self.balancer.region.world.judge.lock();
        if answer.status == 404 {
            judge.unknown(now, self.job);
        }
        if !matches!(answer.status, 200 | 201) {
            return false;
        }
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let told = match body["status"].as_str() {
            Some("done") => Told::Done,
            Some("cancelled") => Told::Cancelled,
            _ => Told::Live,
        };
        judge.told(now, asked, self.job, told);
        told != Told::Live
    }

    /// Repeats a request that changes something until it is answered; whether it was.
    async fn insist(&mut self, path: &str, body: Bytes) -> bool {
        let begun = tokio::time::Instant::now();
        while begun.elapsed() < GIVE_UP {
            let asked = self.now();
            let answer = self.ask("POST", path, body.clone(), CHANGE_LIMIT).await;
            if let Ok(answer) = &answer {
                self.note(asked, answer);
                match answer.status {
                    200 | 201 => return true,
                    400 | 422 => return false,
                    _ => {}
                }
            }
            let pause = answer
                .ok()
                .and_then(|a| a.retry_after)
                .unwrap_or(0)
                .clamp(LEAST_RETRY_S, MOST_RETRY_S);
            tokio::time::sleep(Duration::from_secs(pause)).await;
        }
        false
    }

    async fn submit(&mut self, body: Bytes) -> bool {
        let service = Arc::clone(&self.balancer.service);
        let began = self.now();
        service.submitted.fetch_add(1, Ordering::Relaxed);
        if !self.insist("/work", body).await {
            service.given_up.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let took = self.now() - began;
        service.accepted.fetch_add(1, Ordering::Relaxed);
        service
            .prompt
            .fetch_add(u64::from(took <= PROMPT), Ordering::Relaxed);
        // A histogram that grows by itself takes every value.
        let _ = service.accept_times.lock().record(took);
        true
    }

    /// Asks until the job is over; cancels it before the first question if it is to be cancelled.
    async fn follow(&mut self, cancel: bool) {
        let path = format!("/work/{}", Submission::name(self.job));
        tokio::time::sleep(POLL_INTERVAL.mul_f64(self.balancer.region.random())).await;
        if cancel && self.insist(&format!("{path}/abort"), Bytes::new()).await {
            return;
        }
        loop {
            let asked = self.now();
            if let Ok(answer) = self.ask("GET", &path, Bytes::new(), POLL_LIMIT).await
                && self.note(asked, &answer)
            {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// What kind of job is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Its tasks run for longer than the scenario.
    Endless,
    /// Its tasks run for the scenario's run time.
    Short,
    /// One task that must start at once.
    Urgent,
}

/// Cores of a task of an ordinary size, in whole thousandths.
pub fn task_cores(tasks_per_worker: f64) -> f64 {
    (MACHINE_CORES / tasks_per_worker * 1e3).floor() / 1e3
}

/// Submits a job with so many tasks and follows it to its end.
pub async fn see_to(balancer: Arc<Balancer>, job: u64, kind: Kind, tasks: u32) {
    let world = Arc::clone(&balancer.region.world);
    let load = &world.scenario.load;
    let team = job as usize % load.teams;
    let run_s = if kind == Kind::Endless {
        ENDLESS_S
    } else {
        load.run_s
    };
    let (lane, urgency) = match kind {
        Kind::Endless => ("endless", "standard"),
        Kind::Short => ("short", "standard"),
        Kind::Urgent => (URGENT_CLASS, "critical"),
    };
    let submission = Submission {
        job,
        lane: lane.to_owned(),
        crew: team_name(team),
        shape: "sweep".to_owned(),
        urgency: urgency.to_owned(),
        pieces: tasks,
        cores: task_cores(load.tasks_per_worker),
        mem: TASK_MEMORY_GB,
        builds: None,
        yard: None,
        one_zone: false,
        apart: false,
        spot: true,
        image: format!("img-{}", job % IMAGES),
        size: FETCH_S,
        guess: run_s,
        bookmark: 0.0,
        stash: 0.0,
        due: None,
        awaits: None,
    };
    let info = JobInfo {
        cores: submission.cores,
        mem: submission.mem,
        run: (run_s * 1e6) as u64,
        image: submission.image.clone(),
        size: submission.size,
        pieces: tasks,
        standing: false,
        together: false,
        fails: false,
        saves: false,
        stash: 0.0,
    };
    world.jobs.write().insert(job, info);
    world
        .judge
        .lock()
        .submits(job, team, submission.cores, tasks);
    if kind == Kind::Urgent {
        balancer.service.urgent.lock().insert(job, world.now());
    }
    let cancel = kind == Kind::Short && balancer.region.random() < load.cancelled;
    let body = Bytes::from(submission.body().to_string());
    let mut user = User {
        balancer,
        connection: None,
        job,
    };
    if user.submit(body).await {
        user.follow(cancel).await;
    }
}
