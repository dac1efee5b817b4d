//! A stand-in of a worker, by its protocol.

use super::cloud::TypeSpec;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// How long a worker waits for the answer to a report, in microseconds.
pub const ANSWER_LIMIT: u64 = 4_000_000;
/// How long a worker waits before it tries the next node, in microseconds.
pub const NEXT_NODE_PAUSE: u64 = 1_000_000;
/// How long after a redirection a worker reports to the node that it was sent to, in microseconds.
const REDIRECT_PAUSE: u64 = 100_000;
/// Shortest time between two reports, in microseconds.
const REPORT_SPACING: u64 = 500_000;

/// A task: its job's number, and its own.
pub type Task = (u64, u32);

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Saves.
    Flushing,
    /// Ended, with its cause.
    Exited(&'static str),
}

/// An attempt on a machine.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The attempt's number.
    pub number: u64,
    /// Its state.
    pub phase: Phase,
    /// When the state ends by itself, in microseconds.
    pub until: u64,
}

/// What a job's tasks are like; users upload it.
#[derive(Clone, Debug)]
pub struct JobInfo {
    /// Cores of a task.
    pub cores: f64,
    /// Memory of a task in GB.
    pub mem: f64,
    /// Run time in microseconds.
    pub run: u64,
    /// Image.
    pub image: String,
    /// What fetching it takes, in seconds.
    pub size: f64,
    /// Number of tasks.
    pub pieces: u32,
    /// Its tasks run until the job is cancelled.
    pub standing: bool,
    /// All of its tasks run at once.
    pub together: bool,
    /// Its tasks fail.
    pub fails: bool,
    /// Its tasks save when they are stopped.
    pub saves: bool,
    /// What saving takes, in seconds.
    pub stash: f64,
}

/// What a worker did, for the checker.
#[derive(Clone, Debug)]
pub enum Deed {
    /// A task runs.
    Started(Task),
    /// It ended, with its cause.
    Ended(Task, &'static str),
}

/// Where a worker reports next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Redirect {
    /// To the same node.
    Stay,
    /// To this node.
    To(usize),
    /// To the next node, after a pause.
    Next,
}

/// A worker.
pub struct Worker {
    /// Its machine's number.
    pub id: u64,
    /// Its address, as it tells it.
    pub endpoint: String,
    /// Type.
    pub build: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    pub spot: bool,
    /// Cores.
    pub cores: f64,
    /// Memory in GB.
    pub mem: f64,
    /// Session.
    pub shift: u64,
    /// Number of the last report.
    pub tally: u64,
    /// Highest token seen.
    pub baton: u64,
    /// When the cloud takes the machine, in microseconds.
    pub recall_at: Option<u64>,
    /// Attempts on the machine.
    pub pieces: BTreeMap<(Task, u64), Attempt>,
    /// Images that it has.
    pub images: Vec<String>,
    /// When the report was sent that renewed the lease, in microseconds.
    pub renewed: u64,
    /// The lease's length in microseconds.
    pub lease: u64,
    /// It hangs until then, in microseconds.
    pub hung_until: u64,
    /// All of its tasks fail.
    pub faulty: bool,
    /// The node that it reports to.
    pub node: usize,
    /// The report under way: its number, when it was sent, its session.
    pub waiting: Option<(u64, u64, u64)>,
    /// When the next periodic report is due, in microseconds.
    pub next_report: u64,
    /// When the last report was sent, in microseconds.
    pub last_report: u64,
    /// Something changed since the last report.
    pub changed: bool,
    /// Leases that ended with tasks on the machine.
    pub lost_leases: u64,
}

/// A task's name.
pub fn task_name(t: Task) -> String {
    format!("req-{:06}/{}", t.0, t.1)
}

fn parse_task(name: &str) -> Option<Task> {
    let (job, index) = name.strip_prefix("req-")?.split_once('/')?;
    Some((job.parse().ok()?, index.parse().ok()?))
}

impl Worker {
    /// A worker that has just begun: the machine's number, its address, type, zone and kind, its lease in microseconds, the
    /// node that it tries first, and the time in microseconds.
    pub fn new(
        id: u64,
        endpoint: String,
        machine: &TypeSpec,
        (yard, spot): (String, bool),
        lease: u64,
        node: usize,
        now: u64,
    ) -> Worker {
        Worker {
            id,
            endpoint,
            build: machine.name.clone(),
            yard,
            spot,
            cores: machine.cores,
            mem: machine.mem,
            shift: 1,
            tally: 0,
            baton: 0,
            recall_at: None,
            pieces: BTreeMap::new(),
            images: Vec::new(),
            renewed: now,
            lease,
            hung_until: 0,
            faulty: false,
            node,
            waiting: None,
            next_report: now,
            last_report: 0,
            changed: false,
            lost_leases: 0,
        }
    }

    /// Sends a report if one is due: its body. `interval` until the next one, in microseconds.
    pub fn due_report(&mut self, now: u64, interval: u64) -> Option<Vec<u8>> {
        if self.waiting.is_some() || now < self.report_at() {
            return None;
        }
        self.changed = false;
        self.last_report = now;
        self.next_report = now + interval;
        let body = self.report(now).to_string().into_bytes();
        self.waiting = Some((self.tally, now, self.shift));
        Some(body)
    }

    /// Takes the answer to the report that was sent at `sent` in session `shift`. Nodes are called `n0`, `n1` and so on.
    pub fn take_answer(
        &mut self,
        now: u64,
        (sent, shift): (u64, u64),
        (status, body): (u16, &[u8]),
        jobs: &BTreeMap<u64, JobInfo>,
        events: &mut Vec<Deed>,
    ) -> Redirect {
        self.check_lease(now, events);
        self.waiting = None;
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match status {
            200 => {
                let baton = body["baton"].as_u64().unwrap_or(0);
                if baton >= self.baton && shift == self.shift {
                    self.changed |= baton > self.baton;
                    self.baton = baton;
                    self.renewed = self.renewed.max(sent);
                    self.execute(now, &body["orders"], jobs, events);
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
                        self.next_report = now + REDIRECT_PAUSE;
                        Redirect::To(n)
                    }
                    None => Redirect::Next,
                }
            }
            _ => Redirect::Next,
        }
    }

    /// Goes on to the next node, after `wait` microseconds.
    pub fn try_next_node(&mut self, now: u64, nodes: usize, wait: u64) {
        self.waiting = None;
        self.node = (self.node + 1) % nodes;
        self.next_report = now + wait;
        self.changed = false;
    }

    /// Takes a direct command; `None` if it lacks its token or its session.
    pub fn take_command(
        &mut self,
        now: u64,
        body: &[u8],
        jobs: &BTreeMap<u64, JobInfo>,
        events: &mut Vec<Deed>,
    ) -> Option<(u16, Value)> {
        self.check_lease(now, events);
        let body: Value = serde_json::from_slice(body).ok()?;
        let (baton, shift) = (body["baton"].as_u64()?, body["shift"].as_u64()?);
        let good = baton >= self.baton && shift == self.shift;
        if good {
            self.changed |= baton > self.baton;
            self.baton = self.baton.max(baton);
            self.execute(now, &body["orders"], jobs, events);
        }
        Some((if good { 200 } else { 409 }, self.report(now)))
    }

    /// Cores and memory that are free beside all that has not ended.
    pub fn free(&self, jobs: &BTreeMap<u64, JobInfo>) -> (f64, f64) {
        let live = self
            .pieces
            .iter()
            .filter(|(_, p)| !matches!(p.phase, Phase::Exited(_)));
        live.fold((self.cores, self.mem), |(c, m), ((t, _), _)| {
            (c - jobs[&t.0].cores, m - jobs[&t.0].mem)
        })
    }

    fn on_machine(p: &Attempt) -> bool {
        matches!(p.phase, Phase::Running | Phase::Flushing)
    }

    /// The report as it is now; every one has a larger number.
    pub fn report(&mut self, now: u64) -> Value {
        self.tally += 1;
        let pieces: Vec<Value> = self
            .pieces
            .iter()
            .map(|((t, _), p)| {
                let mut v = json!({"piece": task_name(*t), "try": p.number, "status": match p.phase {
                    Phase::Fetching => "fetching",
                    Phase::Running => "running",
                    Phase::Flushing => "flushing",
                    Phase::Exited(_) => "exited",
                }});
                if let Phase::Exited(why) = p.phase {
                    v["cause"] = json!(why);
                }
                v
            })
            .collect();
        json!({"host": super::cloud::name(self.id), "endpoint": self.endpoint,
            "build": self.build, "yard": self.yard, "loaners": self.spot, "shift": self.shift, "tally": self.tally,
            "baton": self.baton, "pieces": pieces,
            "recallS": self.recall_at.map(|r| r.saturating_sub(now) as f64 / 1e6)})
    }

    /// Kills everything if the lease is over.
    pub fn check_lease(&mut self, now: u64, events: &mut Vec<Deed>) {
        if now.saturating_sub(self.renewed) <= self.lease {
            return;
        }
        if !self.pieces.is_empty() {
            self.lost_leases += 1;
        }
        self.kill_all(events);
        self.shift += 1;
        self.renewed = now;
        self.changed = true;
    }

    /// Ends all tasks.
    pub fn kill_all(&mut self, events: &mut Vec<Deed>) {
        for ((t, _), p) in std::mem::take(&mut self.pieces) {
            if Self::on_machine(&p) {
                events.push(Deed::Ended(t, "killed"));
            }
        }
    }

    /// Carries out a response or a direct command whose token is good.
    pub fn execute(
        &mut self,
        now: u64,
        orders: &Value,
        jobs: &BTreeMap<u64, JobInfo>,
        events: &mut Vec<Deed>,
    ) {
        for o in orders.as_array().into_iter().flatten() {
            let Some(task) = o["piece"].as_str().and_then(parse_task) else {
                continue;
            };
            let number = o["try"].as_u64().unwrap_or(0);
            match o["verb"].as_str() {
                Some("launch") => self.launch(now, task, number, jobs),
                Some("stop") => {
                    if let Some(p) = self.pieces.get_mut(&(task, number)) {
                        let job = &jobs[&task.0];
                        let leeway = o["leewayS"].as_f64().unwrap_or(0.0);
                        if p.phase == Phase::Running && job.saves && leeway >= job.stash {
                            p.phase = Phase::Flushing;
                            p.until = now + (job.stash * 1e6) as u64;
                            self.changed = true;
                        } else if !matches!(p.phase, Phase::Exited(_))
                            && (p.phase != Phase::Flushing || leeway == 0.0)
                        {
                            if Self::on_machine(p) {
                                events.push(Deed::Ended(task, "halted"));
                            }
                            p.phase = Phase::Exited("halted");
                            self.changed = true;
                        }
                    }
                }
                Some("forget") => {
                    let exited = self
                        .pieces
                        .get(&(task, number))
                        .is_some_and(|p| matches!(p.phase, Phase::Exited(_)));
                    if exited {
                        self.pieces.remove(&(task, number));
                        self.changed = true;
                    }
                }
                other => panic!("unknown command {other:?}"),
            }
        }
    }

    fn launch(&mut self, now: u64, task: Task, number: u64, jobs: &BTreeMap<u64, JobInfo>) {
        if self.pieces.contains_key(&(task, number)) {
            return;
        }
        self.changed = true;
        let live = |p: &&Attempt| !matches!(p.phase, Phase::Exited(_));
        let mut piece = Attempt {
            number,
            phase: Phase::Exited("no_such"),
            until: now,
        };
        if let Some(job) = jobs.get(&task.0).filter(|j| task.1 < j.pieces) {
            let (cores, mem) = self.free(jobs);
            let busy = self.pieces.iter().any(|((t, _), p)| *t == task && live(&p));
            if busy {
                piece.phase = Phase::Exited("in_use");
            } else if job.cores > cores || job.mem > mem {
                piece.phase = Phase::Exited("full");
            } else {
                piece.phase = Phase::Fetching;
                let has = self.images.contains(&job.image);
                piece.until = now + if has { 1_000 } else { (job.size * 1e6) as u64 };
            }
        }
        self.pieces.insert((task, number), piece);
    }

    /// Brings the tasks forward.
    pub fn advance(&mut self, now: u64, jobs: &BTreeMap<u64, JobInfo>, events: &mut Vec<Deed>) {
        for ((t, _), p) in &mut self.pieces {
            let job = &jobs[&t.0];
            if p.phase == Phase::Fetching && p.until <= now {
                if !self.images.contains(&job.image) {
                    self.images.push(job.image.clone());
                }
                p.phase = Phase::Running;
                p.until = if job.standing {
                    u64::MAX
                } else {
                    now + job.run
                };
                if self.faulty || job.fails {
                    p.until = now + 500_000;
                }
                self.changed = true;
                events.push(Deed::Started(*t));
            } else if p.phase == Phase::Flushing && p.until <= now {
                p.phase = Phase::Exited("halted");
                self.changed = true;
                events.push(Deed::Ended(*t, "halted"));
            } else if p.phase == Phase::Running && p.until <= now {
                let why = if self.faulty || job.fails {
                    "error"
                } else {
                    "done"
                };
                p.phase = Phase::Exited(why);
                self.changed = true;
                events.push(Deed::Ended(*t, why));
            }
        }
    }

    /// The next time at which something happens by itself.
    pub fn next_deadline(&self) -> u64 {
        let tasks = self
            .pieces
            .values()
            .filter(|p| !matches!(p.phase, Phase::Exited(_)))
            .map(|p| p.until);
        let lease = self.renewed + self.lease + 1;
        let report = if self.waiting.is_some() {
            u64::MAX
        } else {
            self.report_at()
        };
        tasks
            .chain([report])
            .min()
            .unwrap_or(report)
            .max(self.hung_until)
            .min(lease)
    }

    /// When the next report is due: sooner if something changed, but not within half a second.
    pub fn report_at(&self) -> u64 {
        if self.changed {
            self.next_report.min(self.last_report + REPORT_SPACING)
        } else {
            self.next_report
        }
    }
}
