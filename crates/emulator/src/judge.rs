//! Judges the rules while a run goes on, by what workers do and what users are told.
//!
//! Pure: events and the time in microseconds go in, violations are kept.

use crate::standins::worker::{Deed, Task, task_name};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Cores are compared in thousandths; this much is rounding.
const ROUNDING: f64 = 1e-6;
/// An accepted job about which nothing is answered for this long counts as forgotten, in microseconds.
pub const UNANSWERED_LIMIT: u64 = 75_000_000;
/// The most violations that are kept in words; all are counted.
const MOST_KEPT: usize = 50;

/// Rules that a run can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task started on a machine while it was on another.
    RanTwice,
    /// A team's tasks took more than its limit.
    Quota,
    /// A task was there, or started, later than allowed after its user was told that its job is cancelled.
    RanCancelled,
    /// An accepted job was unknown to a controller.
    Forgotten,
    /// No question about an accepted job was answered for too long.
    Unanswered,
    /// A job was called done before all of its tasks were.
    NotDone,
    /// A job that was called done or cancelled was called something else.
    WentBack,
    /// A controller sent a request that the state service can never take.
    BeyondLimits,
}

/// A rule that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// When, in seconds.
    pub at_s: f64,
    /// Which.
    pub rule: Rule,
    /// By what.
    pub what: String,
}

/// What users were last told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Queued or running.
    Live,
    /// Done.
    Done,
    /// Cancelled.
    Cancelled,
}

#[derive(Debug)]
struct Job {
    team: usize,
    cores: f64,
    tasks: u32,
    done: BTreeSet<u32>,
    told: Option<Told>,
    cancelled_at: Option<u64>,
    /// When a task of it first started.
    first_start: Option<u64>,
    /// When something was last answered about it.
    answered: u64,
}

/// A machine: its region and its number there.
pub type Machine = (usize, u64);

/// The judge.
#[derive(Debug)]
pub struct Judge {
    cancel: u64,
    quotas: Vec<f64>,
    used: Vec<f64>,
    jobs: BTreeMap<u64, Job>,
    on: BTreeMap<Task, Machine>,
    violations: Vec<Violation>,
    counts: BTreeMap<Rule, u64>,
    /// Starts of tasks so far.
    starts: u64,
    /// Ends of tasks with their work done so far.
    completions: u64,
    /// Until when what is unanswered is not counted, in microseconds.
    excused_until: u64,
}

impl Judge {
    /// A judge: `cancel` microseconds until a cancelled job's tasks must be gone, and each team's cores over all regions.
    pub fn new(cancel: u64, quotas: Vec<f64>) -> Judge {
        let used = vec![0.0; quotas.len()];
        Judge {
            cancel,
            quotas,
            used,
            jobs: BTreeMap::new(),
            on: BTreeMap::new(),
            violations: Vec::new(),
            counts: BTreeMap::new(),
            starts: 0,
            completions: 0,
            excused_until: 0,
        }
    }

    fn violated(&mut self, now: u64, rule: Rule, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.violations.len() < MOST_KEPT {
            self.violations.push(Violation {
                at_s: now as f64 / 1e6,
                rule,
                what,
            });
        }
    }

    /// A user is about to submit a job.
    pub fn submits(&mut self, job: u64, team: usize, cores: f64, tasks: u32) {
        let job_state = Job {
            team,
            cores,
            tasks,
            done: BTreeSet::new(),
            told: None,
            cancelled_at: None,
            first_start: None,
            answered: 0,
        };
        self.jobs.entry(job).or_insert(job_state);
    }

    /// A worker did something.
    pub fn deed(&mut self, now: u64, machine: Machine, deed: &Deed) {
        match deed {
            Deed::Started(task) => self.started(now, machine, *task),
            Deed::Ended(task, cause) => self.ended(machine, *task, cause),
        }
    }

    fn started(&mut self, now: u64, machine: Machine, task: Task) {
        self.starts += 1;
        if let Some(other) = self.on.get(&task).filter(|other| **other != machine) {
            let what = format!(
                "{} starts on {machine:?} while it is on {other:?}",
                task_name(task)
            );
            self.violated(now, Rule::RanTwice, what);
        }
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return;
        };
        job.first_start.get_or_insert(now);
        let (team, cores, cancelled_at) = (job.team, job.cores, job.cancelled_at);
        if cancelled_at.is_some_and(|at| now > at + self.cancel) {
            self.violated(
                now,
                Rule::RanCancelled,
                format!("{} starts", task_name(task)),
            );
        }
        if self.on.insert(task, machine).is_none() {
            self.used[team] += cores;
        }
        if self.used[team] > self.quotas[team] + ROUNDING {
            let what = format!(
                "team {team} uses {:.3} of {:.3} cores",
                self.used[team], self.quotas[team]
            );
            self.violated(now, Rule::Quota, what);
        }
    }

    fn ended(&mut self, machine: Machine, task: Task, cause: &str) {
        if self.on.get(&task) != Some(&machine) {
            return;
        }
        self.on.remove(&task);
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return;
        };
        self.used[job.team] -= job.cores;
        if cause == "done" {
            job.done.insert(task.1);
            self.completions += 1;
        }
    }

    /// A user was told a job's state, in an answer to a request sent at `asked`.
    pub fn told(&mut self, now: u64, asked: u64, job: u64, state: Told) {
        let Some(facts) = self.jobs.get_mut(&job) else {
            return;
        };
        facts.answered = now;
        let before = facts.told;
        let unfinished = facts.done.len() < facts.tasks as usize;
        match before {
            None | Some(Told::Live) => facts.told = Some(state),
            Some(_) => {}
        }
        if state == Told::Cancelled && before != Some(Told::Done) {
            facts.cancelled_at.get_or_insert(now);
        }
        if state == Told::Done && unfinished {
            self.violated(now, Rule::NotDone, format!("req-{job:06}"));
        }
        let over = matches!(before, Some(Told::Done | Told::Cancelled));
        // An answer on its way may be overtaken by a newer one.
        let settled = self
            .jobs
            .get(&job)
            .and_then(|j| j.cancelled_at)
            .is_none_or(|at| at <= asked);
        if over && before != Some(state) && settled {
            self.violated(
                now,
                Rule::WentBack,
                format!("req-{job:06} was {before:?}, is {state:?}"),
            );
        }
    }

    /// A controller did not know a job, in an answer to a request sent at `asked`.
    pub fn unknown(&mut self, now: u64, job: u64) {
        if self.jobs.get(&job).is_some_and(|j| j.told.is_some()) {
            self.violated(now, Rule::Forgotten, format!("req-{job:06} is unknown"));
        }
    }

    /// What is unanswered until this time has an excuse.
    pub fn excuse_until(&mut self, at: u64) {
        self.excused_until = self.excused_until.max(at);
    }

    /// Requests that the state service noted as beyond its limits.
    pub fn beyond_limits(&mut self, now: u64, what: &str) {
        self.violated(now, Rule::BeyondLimits, what.chars().take(200).collect());
    }

    /// Looks for what time alone makes wrong.
    pub fn sweep(&mut self, now: u64) {
        let cancelled = |job: u64| self.jobs.get(&job).and_then(|j| j.cancelled_at);
        let is_late = |task: &&Task| cancelled(task.0).is_some_and(|at| now > at + self.cancel);
        let late: Vec<Task> = self.on.keys().filter(is_late).copied().collect();
        for task in late {
            let machine = self.on[&task];
            self.ended(machine, task, "late");
            self.violated(
                now,
                Rule::RanCancelled,
                format!("{} is still there", task_name(task)),
            );
        }
        let excused = self.excused_until;
        let mut silent = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.told == Some(Told::Live) && now > job.answered.max(excused) + UNANSWERED_LIMIT {
                job.answered = now;
                silent.push(*id);
            }
        }
        for id in silent {
            self.violated(
                now,
                Rule::Unanswered,
                format!("nothing was answered about req-{id:06} for 75 s"),
            );
        }
    }

    /// When a task of a job first started, in microseconds.
    pub fn first_start(&self, job: u64) -> Option<u64> {
        self.jobs.get(&job)?.first_start
    }

    /// Tasks on machines now.
    pub fn running(&self) -> usize {
        self.on.len()
    }

    /// Starts of tasks so far.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Ends of tasks with their work done so far.
    pub fn completions(&self) -> u64 {
        self.completions
    }

    /// How often each rule was broken.
    pub fn counts(&self) -> &BTreeMap<Rule, u64> {
        &self.counts
    }

    /// The first violations.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}
