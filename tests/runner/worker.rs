//! A stand-in of a worker, by its protocol.

use serde_json::{Value, json};
use std::collections::BTreeMap;

pub type Task = (u64, u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Fetching,
    Running,
    Flushing,
    Exited(&'static str),
}

#[derive(Clone, Debug)]
pub struct Piece {
    pub number: u64,
    pub phase: Phase,
    pub until: u64,
}

/// What a job's tasks are like; users upload it.
#[derive(Clone, Debug)]
pub struct JobInfo {
    pub cores: f64,
    pub mem: f64,
    pub run: u64,
    pub image: String,
    pub size: f64,
    pub pieces: u32,
    pub standing: bool,
    /// All of its tasks run at once.
    pub together: bool,
    pub fails: bool,
    pub saves: bool,
    pub stash: f64,
}

/// What a worker did, for the checker.
#[derive(Clone, Debug)]
pub enum Deed {
    Started(Task),
    Ended(Task, &'static str),
}

pub struct Worker {
    pub id: u64,
    pub build: String,
    pub yard: String,
    pub spot: bool,
    pub cores: f64,
    pub mem: f64,
    pub shift: u64,
    pub tally: u64,
    pub baton: u64,
    pub recall_at: Option<u64>,
    pub pieces: BTreeMap<(Task, u64), Piece>,
    pub images: Vec<String>,
    pub renewed: u64,
    pub lease: u64,
    pub hung_until: u64,
    pub faulty: bool,
    pub node: usize,
    /// The report under way: its number, when it was sent, its session.
    pub waiting: Option<(u64, u64, u64)>,
    pub next_report: u64,
    pub last_report: u64,
    pub changed: bool,
    pub lost_leases: u64,
}

pub fn task_name(t: Task) -> String {
    format!("req-{:06}/{}", t.0, t.1)
}

fn parse_task(name: &str) -> Option<Task> {
    let (job, index) = name.strip_prefix("req-")?.split_once('/')?;
    Some((job.parse().ok()?, index.parse().ok()?))
}

impl Worker {
    /// Cores and memory that are free beside all that has not ended.
    pub fn free(&self, jobs: &BTreeMap<u64, JobInfo>) -> (f64, f64) {
        let live = self.pieces.iter().filter(|(_, p)| !matches!(p.phase, Phase::Exited(_)));
        live.fold((self.cores, self.mem), |(c, m), ((t, _), _)| (c - jobs[&t.0].cores, m - jobs[&t.0].mem))
    }

    fn on_machine(p: &Piece) -> bool {
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
        json!({"host": super::cloud::name(self.id), "endpoint": format!("10.1.0.{}:9000", self.id),
            "build": self.build, "yard": self.yard, "loaners": self.spot, "shift": self.shift, "tally": self.tally,
            "baton": self.baton, "pieces": pieces,
            "recallS": self.recall_at.map(|r| r.saturating_sub(now) as f64 / 1e6)})
    }

    /// Kills everything if the lease is over.
    pub fn check_lease(&mut self, now: u64, deeds: &mut Vec<Deed>) {
        if now.saturating_sub(self.renewed) <= self.lease {
            return;
        }
        if !self.pieces.is_empty() {
            self.lost_leases += 1;
        }
        self.kill_all(deeds);
        self.shift += 1;
        self.renewed = now;
        self.changed = true;
    }

    pub fn kill_all(&mut self, deeds: &mut Vec<Deed>) {
        for ((t, _), p) in std::mem::take(&mut self.pieces) {
            if Self::on_machine(&p) {
                deeds.push(Deed::Ended(t, "killed"));
            }
        }
    }

    /// Carries out a response or a direct command whose token is good.
    pub fn execute(&mut self, now: u64, orders: &Value, jobs: &BTreeMap<u64, JobInfo>, deeds: &mut Vec<Deed>) {
        for o in orders.as_array().into_iter().flatten() {
            let Some(task) = o["piece"].as_str().and_then(parse_task) else { continue };
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
                        } else if !matches!(p.phase, Phase::Exited(_)) && (p.phase != Phase::Flushing || leeway == 0.0)
                        {
                            if Self::on_machine(p) {
                                deeds.push(Deed::Ended(task, "halted"));
                            }
                            p.phase = Phase::Exited("halted");
                            self.changed = true;
                        }
                    }
                }
                Some("forget") => {
                    let exited = self.pieces.get(&(task, number)).is_some_and(|p| matches!(p.phase, Phase::Exited(_)));
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
        let live = |p: &&Piece| !matches!(p.phase, Phase::Exited(_));
        let mut piece = Piece { number, phase: Phase::Exited("no_such"), until: now };
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
    pub fn advance(&mut self, now: u64, jobs: &BTreeMap<u64, JobInfo>, deeds: &mut Vec<Deed>) {
        for ((t, _), p) in &mut self.pieces {
            let job = &jobs[&t.0];
            if p.phase == Phase::Fetching && p.until <= now {
                if !self.images.contains(&job.image) {
                    self.images.push(job.image.clone());
                }
                p.phase = Phase::Running;
                p.until = if job.standing { u64::MAX } else { now + job.run };
                if self.faulty || job.fails {
                    p.until = now + 500_000;
                }
                self.changed = true;
                deeds.push(Deed::Started(*t));
            } else if p.phase == Phase::Flushing && p.until <= now {
                p.phase = Phase::Exited("halted");
                self.changed = true;
                deeds.push(Deed::Ended(*t, "halted"));
            } else if p.phase == Phase::Running && p.until <= now {
                let why = if self.faulty || job.fails { "error" } else { "done" };
                p.phase = Phase::Exited(why);
                self.changed = true;
                deeds.push(Deed::Ended(*t, why));
            }
        }
    }

    /// The next time at which something happens by itself.
    pub fn next_deadline(&self) -> u64 {
        let tasks = self.pieces.values().filter(|p| !matches!(p.phase, Phase::Exited(_))).map(|p| p.until);
        let lease = self.renewed + self.lease + 1;
        let report = if self.waiting.is_some() { u64::MAX } else { self.report_at() };
        tasks.chain([report]).min().unwrap_or(report).max(self.hung_until).min(lease)
    }

    /// When the next report is due: sooner if something changed, but not within half a second.
    pub fn report_at(&self) -> u64 {
        if self.changed { self.next_report.min(self.last_report + 500_000) } else { self.next_report }
    }
}
