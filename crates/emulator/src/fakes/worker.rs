//! A fake worker that follows the workers' protocol.

use super::cloud::TypeSpec;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Timeout of a report, in microseconds.
pub const REPORT_TIMEOUT_US: u64 = 4_000_000;
/// Delay before a worker reports to the next node, in microseconds.
pub const NEXT_NODE_DELAY_US: u64 = 1_000_000;
/// Delay before a worker reports to the node that it was redirected to, in microseconds.
const REDIRECT_DELAY_US: u64 = 100_000;
/// Shortest interval between two reports, in microseconds.
const MIN_REPORT_INTERVAL_US: u64 = 500_000;

/// A task: the number of its job, and its index in the job.
pub type Task = (u64, u32);

/// The state of a task's attempt on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The image is being fetched.
    Fetching,
    /// The task is running.
    Running,
    /// The task is saving a checkpoint.
    Flushing,
    /// The task has ended, with the cause.
    Exited(&'static str),
}

/// An attempt to run a task, on its machine.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The attempt's number.
    pub number: u64,
    /// Its state.
    pub phase: Phase,
    /// When the state ends by itself, in microseconds.
    pub phase_ends_at: u64,
}

/// Properties of a job's tasks, which the fake users hand to the fake workers.
#[derive(Clone, Debug)]
pub struct JobInfo {
    /// Cores of a task.
    pub cores: f64,
    /// Memory of a task in GB.
    pub memory_gb: f64,
    /// Run time in microseconds.
    pub run_us: u64,
    /// Image.
    pub image: String,
    /// Time to fetch the image, in seconds.
    pub image_fetch_s: f64,
    /// Number of tasks.
    pub task_count: u32,
    /// Whether its tasks run until the job is cancelled.
    pub runs_until_cancelled: bool,
    /// Whether all of its tasks are placed together (a gang).
    pub gang: bool,
    /// Whether its tasks fail.
    pub fails: bool,
    /// Whether its tasks save a checkpoint when they are stopped.
    pub saves_checkpoint: bool,
    /// Time to save a checkpoint, in seconds.
    pub checkpoint_duration_s: f64,
}

/// A task event on a worker, for the invariant checker.
#[derive(Clone, Debug)]
pub enum TaskEvent {
    /// A task started running.
    Started(Task),
    /// A task stopped running, with the cause.
    Ended(Task, &'static str),
}

/// What a copy of a direct command did.
#[derive(Clone, Debug)]
pub struct CopyOutcome {
    /// Whether its fencing token and session were accepted.
    pub accepted: bool,
    /// The attempts that it started: their tasks and numbers.
    pub started: Vec<(Task, u64)>,
}

/// Node that a worker reports to next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Redirect {
    /// The same node.
    Stay,
    /// This node, as the response says.
    To(usize),
    /// The next node, after a delay.
    Next,
}

/// The fake worker.
pub struct Worker {
    /// Number of its machine.
    pub id: u64,
    /// Address that it reports.
    pub endpoint: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Cores.
    pub cores: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Session number; a new session begins when the lease expires.
    pub session: u64,
    /// Number of the last report.
    pub heartbeat_sequence: u64,
    /// Highest fencing token received.
    pub fencing_token: u64,
    /// When the cloud takes the machine away, in microseconds, once it has announced that.
    pub preempted_at: Option<u64>,
    /// Attempts on the machine.
    pub attempts: BTreeMap<(Task, u64), Attempt>,
    /// Fetched images.
    pub images: Vec<String>,
    /// When the report that renewed the lease was sent, in microseconds.
    pub lease_renewed_at: u64,
    /// Duration of the lease in microseconds.
    pub lease: u64,
    /// End of a stall of the worker, in microseconds.
    pub stalled_until: u64,
    /// Whether all of its tasks fail.
    pub all_tasks_fail: bool,
    /// The node that it reports to.
    pub node: usize,
    /// The report that awaits a response: its number, when it was sent, its session.
    pub pending_report: Option<(u64, u64, u64)>,
    /// When the next periodic report is due, in microseconds.
    pub next_report_at: u64,
    /// When the last report was sent, in microseconds.
    pub last_report_at: u64,
    /// Whether something changed since the last report.
    pub changed_since_report: bool,
    /// Leases that expired while tasks were on the machine.
    pub lost_leases: u64,
}

/// Returns the name of a task.
pub fn task_name(t: Task) -> String {
    format!("req-{:06}/{}", t.0, t.1)
}

fn parse_task(name: &str) -> Option<Task> {
    let (job, index) = name.strip_prefix("req-")?.split_once('/')?;
    Some((job.parse().ok()?, index.parse().ok()?))
}

impl Worker {
    /// Creates a worker that has just started on the machine number `id`. `(zone, spot)` are its zone and whether it is a spot
    /// machine, `lease` is the duration of its lease in microseconds, `node` is the node that it reports to first, and `now` is
    /// the time in microseconds.
    pub fn new(
        id: u64,
        endpoint: String,
        machine: &TypeSpec,
        (zone, spot): (String, bool),
        lease: u64,
        node: usize,
        now: u64,
    ) -> Worker {
        Worker {
            id,
            endpoint,
            machine_type: machine.name.clone(),
            zone,
            spot,
            cores: machine.cores,
            memory_gb: machine.memory_gb,
            session: 1,
            heartbeat_sequence: 0,
            fencing_token: 0,
            preempted_at: None,
            attempts: BTreeMap::new(),
            images: Vec::new(),
            lease_renewed_at: now,
            lease,
            stalled_until: 0,
            all_tasks_fail: false,
            node,
            pending_report: None,
            next_report_at: now,
            last_report_at: 0,
            changed_since_report: false,
            lost_leases: 0,
        }
    }

    /// Returns the body of a report if one is due. The next periodic report is due `interval` microseconds later.
    pub fn due_report(&mut self, now: u64, interval: u64) -> Option<Vec<u8>> {
        if self.pending_report.is_some() || now < self.report_due_at() {
            return None;
        }
        self.changed_since_report = false;
        self.last_report_at = now;
        self.next_report_at = now + interval;
        let body = self.report(now).to_string().into_bytes();
        self.pending_report = Some((self.heartbeat_sequence, now, self.session));
        Some(body)
    }

    /// Handles the response to the report that was sent at `sent` in session `session`. Nodes are named `n0`, `n1` and so on.
    pub fn handle_answer(
        &mut self,
        now: u64,
        (sent, session): (u64, u64),
        (status, body): (u16, &[u8]),
        jobs: &BTreeMap<u64, JobInfo>,
        events: &mut Vec<TaskEvent>,
    ) -> Redirect {
        self.check_lease(now, events);
        self.pending_report = None;
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match status {
            200 => {
                let fencing_token = body["baton"].as_u64().unwrap_or(0);
                if fencing_token >= self.fencing_token && session == self.session {
                    self.changed_since_report |= fencing_token > self.fencing_token;
                    self.fencing_token = fencing_token;
                    self.lease_renewed_at = self.lease_renewed_at.max(sent);
                    self.execute_orders(now, &body["orders"], jobs, events);
                }
                Redirect::Stay
            }
            421 => {
                let to = body["answerTo"]
                    .as_str()
                    .and_then(|n| n.strip_prefix('n')?.parse::<usize>().ok());
                match to.filter(|n| *n != self.node) {
                    Some(n) => {
                        self.node = n;
                        self.next_report_at = now + REDIRECT_DELAY_US;
                        Redirect::To(n)
                    }
                    None => Redirect::Next,
                }
            }
            _ => Redirect::Next,
        }
    }

    /// Makes the worker report to the next node, after `wait` microseconds.
    pub fn try_next_node(&mut self, now: u64, nodes: usize, wait: u64) {
        self.pending_report = None;
        self.node = (self.node + 1) % nodes;
        self.next_report_at = now + wait;
        self.changed_since_report = false;
    }

    /// Handles a direct command. `None` if it is malformed or has no fencing token or session.
    pub fn handle_command(
        &mut self,
        now: u64,
        body: &[u8],
        jobs: &BTreeMap<u64, JobInfo>,
        events: &mut Vec<TaskEvent>,
    ) -> Option<(u16, Value)> {
        self.check_lease(now, events);
        let body: Value = serde_json::from_slice(body).ok()?;
        let (fencing_token, session) = (body["baton"].as_u64()?, body["shift"].as_u64()?);
        let is_accepted = fencing_token >= self.fencing_token && session == self.session;
        if is_accepted {
            self.changed_since_report |= fencing_token > self.fencing_token;
            self.fencing_token = self.fencing_token.max(fencing_token);
            self.execute_orders(now, &body["orders"], jobs, events);
        }
        Some((if is_accepted { 200 } else { 409 }, self.report(now)))
    }

    /// Handles a direct command that was carried out before. Returns whether it was accepted, and what it started.
    pub fn handle_command_copy(
        &mut self,
        now: u64,
        body: &[u8],
        jobs: &BTreeMap<u64, JobInfo>,
        events: &mut Vec<TaskEvent>,
    ) -> CopyOutcome {
        let before: Vec<(Task, u64)> = self.attempts.keys().copied().collect();
        let answer = self.handle_command(now, body, jobs, events);
        let is_new = |attempt: &&(Task, u64)| !before.contains(attempt);
        CopyOutcome {
            accepted: answer.is_some_and(|(status, _)| status == 200),
            started: self.attempts.keys().filter(is_new).copied().collect(),
        }
    }

    /// Cores and memory that the attempts that have not ended leave free.
    pub fn free_resources(&self, jobs: &BTreeMap<u64, JobInfo>) -> (f64, f64) {
        let live = self
            .attempts
            .iter()
            .filter(|(_, p)| !matches!(p.phase, Phase::Exited(_)));
        live.fold((self.cores, self.memory_gb), |(c, m), ((t, _), _)| {
            (c - jobs[&t.0].cores, m - jobs[&t.0].memory_gb)
        })
    }

    fn is_executing(p: &Attempt) -> bool {
        matches!(p.phase, Phase::Running | Phase::Flushing)
    }

    /// Creates a report of the current state. Each report has a larger number than the previous one.
    pub fn report(&mut self, now: u64) -> Value {
        self.heartbeat_sequence += 1;
        let attempts: Vec<Value> = self
            .attempts
            .iter()
            .map(|((t, _), p)| {
                let mut v = json!({"piece": task_name(*t), "try": p.number, "status": match p.phase {
                    Phase::Fetching => "fetching",
                    Phase::Running => "running",
                    Phase::Flushing => "flushing",
                    Phase::Exited(_) => "exited",
                }});
                if let Phase::Exited(cause) = p.phase {
                    v["cause"] = json!(cause);
                }
                v
            })
            .collect();
        json!({"host": super::cloud::name(self.id), "endpoint": self.endpoint,
            "build": self.machine_type, "yard": self.zone, "loaners": self.spot, "shift": self.session,
            "tally": self.heartbeat_sequence, "baton": self.fencing_token, "pieces": attempts,
            "recallS": self.preempted_at.map(|r| r.saturating_sub(now) as f64 / 1e6)})
    }

    /// Kills all tasks and starts a new session if the lease has expired.
    pub fn check_lease(&mut self, now: u64, events: &mut Vec<TaskEvent>) {
        if now.saturating_sub(self.lease_renewed_at) <= self.lease {
            return;
        }
        if !self.attempts.is_empty() {
            self.lost_leases += 1;
        }
        self.kill_all(events);
        self.session += 1;
        self.lease_renewed_at = now;
        self.changed_since_report = true;
    }

    /// Kills all tasks.
    pub fn kill_all(&mut self, events: &mut Vec<TaskEvent>) {
        for ((t, _), p) in std::mem::take(&mut self.attempts) {
            if Self::is_executing(&p) {
                events.push(TaskEvent::Ended(t, "killed"));
            }
        }
    }

    /// Executes the orders of a response or a direct command whose fencing token is not outdated.
    pub fn execute_orders(
        &mut self,
        now: u64,
        orders: &Value,
        jobs: &BTreeMap<u64, JobInfo>,
        events: &mut Vec<TaskEvent>,
    ) {
        for o in orders.as_array().into_iter().flatten() {
            let Some(task) = o["piece"].as_str().and_then(parse_task) else {
                continue;
            };
            let number = o["try"].as_u64().unwrap_or(0);
            match o["verb"].as_str() {
                Some("launch") => self.launch(now, task, number, jobs),
                Some("stop") => {
                    if let Some(p) = self.attempts.get_mut(&(task, number)) {
                        let job = &jobs[&task.0];
                        let grace_period = o["leewayS"].as_f64().unwrap_or(0.0);
                        if p.phase == Phase::Running
                            && job.saves_checkpoint
                            && grace_period >= job.checkpoint_duration_s
                        {
                            p.phase = Phase::Flushing;
                            p.phase_ends_at = now + (job.checkpoint_duration_s * 1e6) as u64;
                            self.changed_since_report = true;
                        } else if !matches!(p.phase, Phase::Exited(_))
                            && (p.phase != Phase::Flushing || grace_period == 0.0)
                        {
                            if Self::is_executing(p) {
                                events.push(TaskEvent::Ended(task, "halted"));
                            }
                            p.phase = Phase::Exited("halted");
                            self.changed_since_report = true;
                        }
                    }
                }
                Some("forget") => {
                    let exited = self
                        .attempts
                        .get(&(task, number))
                        .is_some_and(|p| matches!(p.phase, Phase::Exited(_)));
                    if exited {
                        self.attempts.remove(&(task, number));
                        self.changed_since_report = true;
                    }
                }
                other => panic!("unknown command {other:?}"),
            }
        }
    }

    fn launch(&mut self, now: u64, task: Task, number: u64, jobs: &BTreeMap<u64, JobInfo>) {
        if self.attempts.contains_key(&(task, number)) {
            return;
        }
        self.changed_since_report = true;
        let live = |p: &&Attempt| !matches!(p.phase, Phase::Exited(_));
        let mut attempt = Attempt {
            number,
            phase: Phase::Exited("no_such"),
            phase_ends_at: now,
        };
        if let Some(job) = jobs.get(&task.0).filter(|j| task.1 < j.task_count) {
            let (cores, mem) = self.free_resources(jobs);
            let busy = self
                .attempts
                .iter()
                .any(|((t, _), p)| *t == task && live(&p));
            if busy {
                attempt.phase = Phase::Exited("in_use");
            } else if job.cores > cores || job.memory_gb > mem {
                attempt.phase = Phase::Exited("full");
            } else {
                attempt.phase = Phase::Fetching;
                let has_image = self.images.contains(&job.image);
                attempt.phase_ends_at = now
                    + if has_image {
                        1_000
                    } else {
                        (job.image_fetch_s * 1e6) as u64
                    };
            }
        }
        self.attempts.insert((task, number), attempt);
    }

    /// Advances the tasks to the time `now`.
    pub fn advance(
        &mut self,
        now: u64,
        jobs: &BTreeMap<u64, JobInfo>,
        events: &mut Vec<TaskEvent>,
    ) {
        for ((t, _), p) in &mut self.attempts {
            let job = &jobs[&t.0];
            if p.phase == Phase::Fetching && p.phase_ends_at <= now {
                if !self.images.contains(&job.image) {
                    self.images.push(job.image.clone());
                }
                p.phase = Phase::Running;
                p.phase_ends_at = if job.runs_until_cancelled {
                    u64::MAX
                } else {
                    now + job.run_us
                };
                if self.all_tasks_fail || job.fails {
                    p.phase_ends_at = now + 500_000;
                }
                self.changed_since_report = true;
                events.push(TaskEvent::Started(*t));
            } else if p.phase == Phase::Flushing && p.phase_ends_at <= now {
                p.phase = Phase::Exited("halted");
                self.changed_since_report = true;
                events.push(TaskEvent::Ended(*t, "halted"));
            } else if p.phase == Phase::Running && p.phase_ends_at <= now {
                let cause = if self.all_tasks_fail || job.fails {
                    "error"
                } else {
                    "done"
                };
                p.phase = Phase::Exited(cause);
                self.changed_since_report = true;
                events.push(TaskEvent::Ended(*t, cause));
            }
        }
    }

    /// Time at which the state changes by itself next, in microseconds.
    pub fn next_deadline(&self) -> u64 {
        let tasks = self
            .attempts
            .values()
            .filter(|p| !matches!(p.phase, Phase::Exited(_)))
            .map(|p| p.phase_ends_at);
        let lease = self.lease_renewed_at + self.lease + 1;
        let report = if self.pending_report.is_some() {
            u64::MAX
        } else {
            self.report_due_at()
        };
        tasks
            .chain([report])
            .min()
            .unwrap_or(report)
            .max(self.stalled_until)
            .min(lease)
    }

    /// When the next report is due, in microseconds: earlier than the periodic one if something changed, but not within half a
    /// second after the last report.
    pub fn report_due_at(&self) -> u64 {
        if self.changed_since_report {
            self.next_report_at
                .min(self.last_report_at + MIN_REPORT_INTERVAL_US)
        } else {
            self.next_report_at
        }
    }
}
