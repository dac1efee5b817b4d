//! Checks invariants during a run, from the task events of workers and the job states reported to users.
//!
//! Performs no I/O and reads no clock: the caller passes events and times in microseconds, the checker collects violations.

use crate::fakes::worker::{Task, TaskEvent, task_name};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for rounding errors when cores are compared.
const CORE_ROUNDING: f64 = 1e-6;
/// An accepted job whose status queries all fail for this long is reported as unanswered, in microseconds.
pub const UNANSWERED_LIMIT_US: u64 = 75_000_000;
/// Most violations that are kept with their description; all are counted.
const MAX_KEPT_VIOLATIONS: usize = 50;

/// Invariants that a run can violate. Their names are written to the results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task started on a machine while it ran on another one.
    RanTwice,
    /// A team's running tasks used more cores than its limit.
    Quota,
    /// A task still ran, or started, after the time limit that follows the confirmation of its job's cancellation.
    RanCancelled,
    /// A controller responded that it does not know an accepted job.
    Forgotten,
    /// No status query about an accepted job was answered for too long.
    Unanswered,
    /// A job was reported as done before all of its tasks were done.
    NotDone,
    /// A job that had been reported as done or cancelled was later reported in another state.
    WentBack,
    /// A copy of a command that a worker had carried out before started an attempt.
    StartedByCopy,
    /// A controller sent a request that exceeds the limits of the state service.
    BeyondLimits,
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Time since the start of the run, in seconds.
    pub at_s: f64,
    /// The violated rule.
    pub rule: Rule,
    /// Description: which task, job, team or request violated it, and how.
    #[serde(rename = "what")]
    pub description: String,
}

/// A job's state as a response reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
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
    reported: Option<ReportedState>,
    cancelled_at: Option<u64>,
    /// When its first task started, in microseconds.
    first_start: Option<u64>,
    /// When a response about it last arrived, in microseconds.
    last_answered_at: u64,
}

/// A machine: its region, and its number in the region.
pub type Machine = (usize, u64);

/// Collects what happens in a run, and the violations found in it.
#[derive(Debug)]
pub struct InvariantChecker {
    /// Longest time that tasks may still run after a confirmed cancellation, in microseconds.
    cancel_limit_us: u64,
    /// Limit of each team, in cores.
    quotas: Vec<f64>,
    /// Cores of each team's running tasks.
    used_cores: Vec<f64>,
    jobs: BTreeMap<u64, Job>,
    running_on: BTreeMap<Task, Machine>,
    violations: Vec<Violation>,
    counts: BTreeMap<Rule, u64>,
    /// Task starts so far.
    starts: u64,
    /// Tasks that completed successfully so far.
    completions: u64,
    /// Until when unanswered status queries are not counted, because of a fault, in microseconds.
    unanswered_exempt_until: u64,
}

impl InvariantChecker {
    /// Creates a checker. `cancel_limit_us` is the time by which a cancelled job's tasks must have stopped, in microseconds;
    /// `quotas` are the teams' limits over all regions, in cores.
    pub fn new(cancel_limit_us: u64, quotas: Vec<f64>) -> InvariantChecker {
        let used_cores = vec![0.0; quotas.len()];
        InvariantChecker {
            cancel_limit_us,
            quotas,
            used_cores,
            jobs: BTreeMap::new(),
            running_on: BTreeMap::new(),
            violations: Vec::new(),
            counts: BTreeMap::new(),
            starts: 0,
            completions: 0,
            unanswered_exempt_until: 0,
        }
    }

    fn add_violation(&mut self, now: u64, rule: Rule, description: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(Violation {
                at_s: now as f64 / 1e6,
                rule,
                description,
            });
        }
    }

    /// Records that a user is about to submit a job.
    pub fn job_submitted(&mut self, job: u64, team: usize, cores: f64, tasks: u32) {
        let job_state = Job {
            team,
            cores,
            tasks,
            done: BTreeSet::new(),
            reported: None,
            cancelled_at: None,
            first_start: None,
            last_answered_at: 0,
        };
        self.jobs.entry(job).or_insert(job_state);
    }

    /// Records a task event of a worker.
    pub fn task_event(&mut self, now: u64, machine: Machine, task_event: &TaskEvent) {
        match task_event {
            TaskEvent::Started(task) => self.task_started(now, machine, *task),
            TaskEvent::Ended(task, cause) => self.task_ended(machine, *task, cause),
        }
    }

    /// Records that a late copy of a command started an attempt.
    pub fn attempt_started_by_copy(
        &mut self,
        now: u64,
        machine: Machine,
        task: Task,
        attempt: u64,
    ) {
        let description = format!("{} attempt {attempt} on {machine:?}", task_name(task));
        self.add_violation(now, Rule::StartedByCopy, description);
    }

    fn task_started(&mut self, now: u64, machine: Machine, task: Task) {
        self.starts += 1;
        if let Some(other) = self
            .running_on
            .get(&task)
            .filter(|other| **other != machine)
        {
            let description = format!(
                "{} starts on {machine:?} while it is on {other:?}",
                task_name(task)
            );
            self.add_violation(now, Rule::RanTwice, description);
        }
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return;
        };
        job.first_start.get_or_insert(now);
        let (team, cores, cancelled_at) = (job.team, job.cores, job.cancelled_at);
        if cancelled_at.is_some_and(|at| now > at + self.cancel_limit_us) {
            self.add_violation(
                now,
                Rule::RanCancelled,
                format!("{} starts", task_name(task)),
            );
        }
        if self.running_on.insert(task, machine).is_none() {
            self.used_cores[team] += cores;
        }
        if self.used_cores[team] > self.quotas[team] + CORE_ROUNDING {
            let description = format!(
                "team {team} uses {:.3} of {:.3} cores",
                self.used_cores[team], self.quotas[team]
            );
            self.add_violation(now, Rule::Quota, description);
        }
    }

    fn task_ended(&mut self, machine: Machine, task: Task, cause: &str) {
        if self.running_on.get(&task) != Some(&machine) {
            return;
        }
        self.running_on.remove(&task);
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return;
        };
        self.used_cores[job.team] -= job.cores;
        if cause == "done" {
            job.done.insert(task.1);
            self.completions += 1;
        }
    }

    /// Records a job's state in the response to a request that was sent at `sent_at`.
    pub fn state_reported(&mut self, now: u64, sent_at: u64, job: u64, state: ReportedState) {
        let Some(job_state) = self.jobs.get_mut(&job) else {
            return;
        };
        job_state.last_answered_at = now;
        let previous = job_state.reported;
        let has_unfinished_tasks = job_state.done.len() < job_state.tasks as usize;
        match previous {
            None | Some(ReportedState::Live) => job_state.reported = Some(state),
            Some(_) => {}
        }
        if state == ReportedState::Cancelled && previous != Some(ReportedState::Done) {
            job_state.cancelled_at.get_or_insert(now);
        }
        if state == ReportedState::Done && has_unfinished_tasks {
            self.add_violation(now, Rule::NotDone, format!("req-{job:06}"));
        }
        let was_final = matches!(
            previous,
            Some(ReportedState::Done | ReportedState::Cancelled)
        );
        // A response to a request sent before the cancellation may arrive after a newer one; it is no violation.
        let sent_after_cancellation = self
            .jobs
            .get(&job)
            .and_then(|j| j.cancelled_at)
            .is_none_or(|at| at <= sent_at);
        if was_final && previous != Some(state) && sent_after_cancellation {
            self.add_violation(
                now,
                Rule::WentBack,
                format!("req-{job:06} was {previous:?}, is {state:?}"),
            );
        }
    }

    /// Records that a controller responded that it does not know a job.
    pub fn job_unknown(&mut self, now: u64, job: u64) {
        if self.jobs.get(&job).is_some_and(|j| j.reported.is_some()) {
            self.add_violation(now, Rule::Forgotten, format!("req-{job:06} is unknown"));
        }
    }

    /// Does not count unanswered status queries until this time, because of a fault.
    pub fn exempt_unanswered_until(&mut self, at: u64) {
        self.unanswered_exempt_until = self.unanswered_exempt_until.max(at);
    }

    /// Records a request that exceeds the limits of the state service.
    pub fn limit_exceeded(&mut self, now: u64, description: &str) {
        self.add_violation(
            now,
            Rule::BeyondLimits,
            description.chars().take(200).collect(),
        );
    }

    /// Checks the rules that are violated by the passing of time: late tasks of cancelled jobs, and unanswered jobs.
    pub fn check_timeouts(&mut self, now: u64) {
        let cancelled_at = |job: u64| self.jobs.get(&job).and_then(|j| j.cancelled_at);
        let is_overdue =
            |task: &&Task| cancelled_at(task.0).is_some_and(|at| now > at + self.cancel_limit_us);
        let overdue: Vec<Task> = self.running_on.keys().filter(is_overdue).copied().collect();
        for task in overdue {
            let machine = self.running_on[&task];
            self.task_ended(machine, task, "late");
            self.add_violation(
                now,
                Rule::RanCancelled,
                format!("{} is still there", task_name(task)),
            );
        }
        let exempt_until = self.unanswered_exempt_until;
        let mut unanswered = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.reported == Some(ReportedState::Live)
                && now > job.last_answered_at.max(exempt_until) + UNANSWERED_LIMIT_US
            {
                job.last_answered_at = now;
                unanswered.push(*id);
            }
        }
        for id in unanswered {
            self.add_violation(
                now,
                Rule::Unanswered,
                format!("nothing was answered about req-{id:06} for 75 s"),
            );
        }
    }

    /// When the first task of a job started, in microseconds.
    pub fn first_start(&self, job: u64) -> Option<u64> {
        self.jobs.get(&job)?.first_start
    }

    /// Number of tasks that run now.
    pub fn running(&self) -> usize {
        self.running_on.len()
    }

    /// Task starts so far.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Tasks that completed successfully so far.
    pub fn completions(&self) -> u64 {
        self.completions
    }

    /// Number of violations of each rule.
    pub fn counts(&self) -> &BTreeMap<Rule, u64> {
        &self.counts
    }

    /// The first violations, at most `MAX_KEPT_VIOLATIONS`.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}
