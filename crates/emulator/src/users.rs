//! Fake users: they submit jobs through a load balancer, poll the jobs until they are finished, and cancel some of them.

use crate::controllers::{URGENT_CLASS, team_name};
use crate::fakes::submission::Submission;
use crate::fakes::worker::JobInfo;
use crate::http::{Answer, Connection, NoAnswer, Traffic};
use crate::invariants::ReportedState;
use crate::late_copies::CopiedRequest;
use crate::region::{MACHINE_CORES, Region};
use bytes::Bytes;
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Interval of the health checks of each controller.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Controllers that the load balancer tries for a connection.
const MAX_CONNECT_ATTEMPTS: usize = 3;
/// Timeout of a request that submits or cancels a job.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a status query.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const MIN_RETRY_S: u64 = 1;
const MAX_RETRY_S: u64 = 30;
/// Users repeat a submission or a cancellation for this long, then give up.
const CHANGE_RETRY_DURATION: Duration = Duration::from_secs(60);
/// A submission counts as accepted promptly within this time, in microseconds.
const PROMPT_ACCEPTANCE_US: u64 = 300_000;
/// Memory of a task in GB.
const TASK_MEMORY_GB: f64 = 1.0;
/// Run time of a task that runs for longer than any scenario, in seconds.
const ENDLESS_S: f64 = 100_000.0;
/// Number of images; every machine ends up with most of them.
const IMAGE_COUNT: u64 = 5;
/// Size of an image in GB. The fake cloud fetches 1 GB a second, so the number is also the fetch time in seconds.
const IMAGE_SIZE_GB: f64 = 0.5;

/// Counters of what users did, and of the responses that they got.
#[derive(Debug)]
pub struct UserStats {
    /// Submissions started.
    pub submitted: AtomicU64,
    /// Submissions accepted.
    pub accepted: AtomicU64,
    /// Submissions accepted within 300 ms of the first attempt.
    pub accepted_promptly: AtomicU64,
    /// Submissions refused as invalid, or given up after a minute.
    pub given_up: AtomicU64,
    /// Requests by response status; 0 means no response.
    pub statuses: Mutex<BTreeMap<u16, u64>>,
    /// Times from the first attempt to the acceptance, in microseconds.
    pub accept_times: Mutex<Histogram<u64>>,
    /// When urgent jobs were submitted, by job, in microseconds.
    pub urgent_submitted_at: Mutex<BTreeMap<u64, u64>>,
}

impl Default for UserStats {
    fn default() -> Self {
        UserStats {
            submitted: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            accepted_promptly: AtomicU64::new(0),
            given_up: AtomicU64::new(0),
            statuses: Mutex::default(),
            accept_times: Mutex::new(new_histogram()),
            urgent_submitted_at: Mutex::default(),
        }
    }
}

/// Creates a histogram that accepts values of any size, with three significant digits.
pub fn new_histogram() -> Histogram<u64> {
    // Creation fails only with more than five significant digits.
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

/// The load balancer of a region.
pub struct LoadBalancer {
    region: Arc<Region>,
    healthy: Vec<AtomicBool>,
    open_connections: Vec<AtomicUsize>,
    /// Traffic between users and controllers.
    pub traffic: Arc<Traffic>,
    /// Counters of the users.
    pub user_stats: Arc<UserStats>,
}

/// A user's connection through the load balancer.
struct UserConnection {
    connection: Connection,
    node: usize,
    balancer: Arc<LoadBalancer>,
}

impl Drop for UserConnection {
    fn drop(&mut self) {
        self.balancer.open_connections[self.node].fetch_sub(1, Ordering::Relaxed);
    }
}

impl LoadBalancer {
    /// Creates a load balancer that has not checked the health of any controller yet.
    pub fn new(region: &Arc<Region>, user_stats: &Arc<UserStats>) -> Arc<LoadBalancer> {
        let nodes = region.context.scenario.regions[region.index].controllers;
        Arc::new(LoadBalancer {
            region: Arc::clone(region),
            healthy: (0..nodes).map(|_| AtomicBool::new(false)).collect(),
            open_connections: (0..nodes).map(|_| AtomicUsize::new(0)).collect(),
            traffic: Arc::default(),
            user_stats: Arc::clone(user_stats),
        })
    }

    /// The number of its region.
    pub fn region(&self) -> usize {
        self.region.index
    }

    /// Whether at least one controller is healthy.
    pub fn is_up(&self) -> bool {
        self.healthy.iter().any(|h| h.load(Ordering::Relaxed))
    }

    /// Checks the health of a controller periodically; does not return.
    pub async fn probe(self: Arc<Self>, node: usize) {
        let traffic = Arc::default();
        let address = self
            .region
            .context
            .addresses
            .controller(self.region.index, node);
        loop {
            let health_check = async {
                let mut connection = Connection::open(address, &traffic).await?;
                connection.call("GET", "/healthz", Bytes::new()).await
            };
            let answer = tokio::time::timeout(PROBE_TIMEOUT, health_check).await;
            let healthy = matches!(answer, Ok(Ok(Answer { status: 200, .. })));
            self.healthy[node].store(healthy, Ordering::Relaxed);
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    async fn connect(self: &Arc<Self>) -> Result<UserConnection, NoAnswer> {
        let mut nodes: Vec<usize> = (0..self.open_connections.len())
            .filter(|n| self.healthy[*n].load(Ordering::Relaxed))
            .collect();
        nodes.sort_by_key(|n| self.open_connections[*n].load(Ordering::Relaxed));
        for node in nodes.into_iter().take(MAX_CONNECT_ATTEMPTS) {
            let address = self
                .region
                .context
                .addresses
                .controller(self.region.index, node);
            if let Ok(connection) = Connection::open(address, &self.traffic).await {
                self.open_connections[node].fetch_add(1, Ordering::Relaxed);
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

/// A user, with one job.
struct User {
    balancer: Arc<LoadBalancer>,
    connection: Option<UserConnection>,
    job: u64,
}

impl User {
    fn now(&self) -> u64 {
        self.balancer.region.context.now()
    }

    async fn request(
        &mut self,
        method: &str,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, NoAnswer> {
        let open = self.connection.take().filter(|c| c.connection.is_open());
        let balancer = Arc::clone(&self.balancer);
        let exchange = async {
            let mut user = match open {
                Some(user) => user,
                None => balancer.connect().await?,
            };
            let answer = user.connection.call(method, path, body).await?;
            Ok::<_, NoAnswer>((user, answer))
        };
        let result = match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok((user, answer))) => {
                self.connection = Some(user);
                Ok(answer)
            }
            _ => Err(NoAnswer),
        };
        let status = result.as_ref().map_or(0, |a| a.status);
        *self
            .balancer
            .user_stats
            .statuses
            .lock()
            .entry(status)
            .or_default() += 1;
        result
    }

    /// Passes the reported state of the job to the invariant checker; returns whether the job is finished.
    fn record_answer(&self, sent_at: u64, answer: &Answer) -> bool {
        let now = self.now();
        let mut checker = self.balancer.region.context.checker.lock();
        if answer.status == 404 {
            checker.job_unknown(now, self.job);
        }
        if !matches!(answer.status, 200 | 201) {
            return false;
        }
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let reported = match body["status"].as_str() {
            Some("done") => ReportedState::Done,
            Some("cancelled") => ReportedState::Cancelled,
            _ => ReportedState::Live,
        };
        checker.state_reported(now, sent_at, self.job, reported);
        reported != ReportedState::Live
    }

    /// Repeats a submission or a cancellation until it is accepted or refused as invalid, or until the time for retries is over;
    /// returns whether it was accepted.
    async fn post_with_retries(&mut self, path: &str, body: Bytes) -> bool {
        let started_at = tokio::time::Instant::now();
        while started_at.elapsed() < CHANGE_RETRY_DURATION {
            let sent_at = self.now();
            let answer = self
                .request("POST", path, body.clone(), CHANGE_TIMEOUT)
                .await;
            if let Ok(answer) = &answer {
                self.record_answer(sent_at, answer);
                self.copy_later(path, &body);
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
                .clamp(MIN_RETRY_S, MAX_RETRY_S);
            tokio::time::sleep(Duration::from_secs(pause)).await;
        }
        false
    }

    /// Sends copies of a request that was answered to the same controller later.
    fn copy_later(&self, path: &str, body: &Bytes) {
        let Some(node) = self.connection.as_ref().map(|c| c.node) else {
            return;
        };
        let region = &self.balancer.region;
        let to = region.context.addresses.controller(region.index, node);
        region.copy_post_later(CopiedRequest::User, to, path, body);
    }

    async fn submit(&mut self, body: Bytes) -> bool {
        let user_stats = Arc::clone(&self.balancer.user_stats);
        let started_at = self.now();
        user_stats.submitted.fetch_add(1, Ordering::Relaxed);
        if !self.post_with_retries("/work", body).await {
            user_stats.given_up.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let duration_us = self.now() - started_at;
        user_stats.accepted.fetch_add(1, Ordering::Relaxed);
        user_stats.accepted_promptly.fetch_add(
            u64::from(duration_us <= PROMPT_ACCEPTANCE_US),
            Ordering::Relaxed,
        );
        // An auto-resizing histogram accepts every value.
        let _ = user_stats.accept_times.lock().record(duration_us);
        true
    }

    /// Polls until the job is finished. With `cancel`, cancels the job instead, and polls only if that fails.
    async fn follow(&mut self, cancel: bool) {
        let path = format!("/work/{}", Submission::name(self.job));
        tokio::time::sleep(POLL_INTERVAL.mul_f64(self.balancer.region.random())).await;
        if cancel
            && self
                .post_with_retries(&format!("{path}/abort"), Bytes::new())
                .await
        {
            return;
        }
        loop {
            let sent_at = self.now();
            if let Ok(answer) = self.request("GET", &path, Bytes::new(), POLL_TIMEOUT).await
                && self.record_answer(sent_at, &answer)
            {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Kinds of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// Its tasks run for longer than the scenario.
    Endless,
    /// Its tasks run for the scenario's run time.
    Short,
    /// One task that must start at once.
    Urgent,
}

/// Cores of a task if `tasks_per_worker` of them fill a worker, rounded down to thousandths.
pub fn task_cores(tasks_per_worker: f64) -> f64 {
    (MACHINE_CORES / tasks_per_worker * 1e3).floor() / 1e3
}

/// Submits a job and polls it until it is finished.
pub async fn submit_and_follow(balancer: Arc<LoadBalancer>, job: u64, kind: JobKind, tasks: u32) {
    let context = Arc::clone(&balancer.region.context);
    let load = &context.scenario.load;
    let team = job as usize % load.teams;
    let run_s = if kind == JobKind::Endless {
        ENDLESS_S
    } else {
        load.run_s
    };
    let (job_class, urgency) = match kind {
        JobKind::Endless => ("endless", "standard"),
        JobKind::Short => ("short", "standard"),
        JobKind::Urgent => (URGENT_CLASS, "critical"),
    };
    let submission = Submission {
        job,
        job_class: job_class.to_owned(),
        team: team_name(team),
        shape: "sweep".to_owned(),
        urgency: urgency.to_owned(),
        task_count: tasks,
        cores: task_cores(load.tasks_per_worker),
        memory_gb: TASK_MEMORY_GB,
        machine_types: None,
        zone: None,
        one_zone: false,
        anti_affinity: false,
        spot: true,
        image: format!("img-{}", job % IMAGE_COUNT),
        image_size_gb: IMAGE_SIZE_GB,
        estimated_run_s: run_s,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        dependencies: None,
    };
    let info = JobInfo {
        cores: submission.cores,
        memory_gb: submission.memory_gb,
        run_us: (run_s * 1e6) as u64,
        image: submission.image.clone(),
        image_fetch_s: submission.image_size_gb,
        task_count: tasks,
        runs_until_cancelled: false,
        gang: false,
        fails: false,
        saves_checkpoint: false,
        checkpoint_duration_s: 0.0,
    };
    context.jobs.write().insert(job, info);
    context
        .checker
        .lock()
        .job_submitted(job, team, submission.cores, tasks);
    if kind == JobKind::Urgent {
        balancer
            .user_stats
            .urgent_submitted_at
            .lock()
            .insert(job, context.now());
    }
    let cancel = kind == JobKind::Short && balancer.region.random() < load.cancelled;
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
