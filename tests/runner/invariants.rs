//! Checks what workers do and what users are told against the protocol's rules, independently of the scheduler's code.

use super::placement_rules::PlacementRuleChecker;
use super::worker::{Task, TaskEvent, task_name};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The parts of a user's submission that the invariants depend on.
#[derive(Clone, Debug)]
pub struct JobRequest {
    pub dependencies: Vec<u64>,
    pub team: String,
    pub job_class: String,
    pub cores: f64,
    pub task_count: u32,
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub spot_allowed: bool,
    pub single_zone: bool,
    pub anti_affinity: bool,
    pub image: String,
    pub priority: String,
    /// The placement rules in the submission.
    pub own_rules: Option<Value>,
}

#[derive(Clone, Debug)]
pub struct MachineInfo {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Default)]
pub struct InvariantChecker {
    pub violations: Vec<String>,
    pub job_requests: BTreeMap<u64, JobRequest>,
    pub team_limits: BTreeMap<String, f64>,
    /// Team limits of a newer deploy file. Each applies once the team's usage, which was assigned under the old limit, is
    /// within it.
    pub next_team_limits: BTreeMap<String, f64>,
    cancel_deadline_us: u64,
    machine_of: BTreeMap<Task, u64>,
    /// Running tasks by machine.
    tasks_on: BTreeMap<u64, BTreeSet<Task>>,
    completed_tasks: BTreeMap<u64, BTreeSet<u32>>,
    accepted_at: BTreeMap<u64, u64>,
    reported_state: BTreeMap<u64, (&'static str, u64)>,
    cancellation_reported_at: BTreeMap<u64, u64>,
    abort_requests: BTreeSet<u64>,
    completion_reported_at: BTreeMap<u64, u64>,
    /// When jobs were first submitted.
    pub submitted_at: BTreeMap<u64, u64>,
    /// How long tasks waited for their first start after submission.
    pub start_delays: BTreeMap<Task, u64>,
    pub start_counts: BTreeMap<u64, u64>,
    /// When a job's first task started.
    pub first_start: BTreeMap<u64, u64>,
    /// When a task of the job was last done.
    last_end: BTreeMap<u64, u64>,
    /// Since when all polls for a job have failed, the numbers of all polls and of answered ones at that time, and how many of
    /// the polls since then were for this job.
    failing_polls: BTreeMap<u64, (u64, (u64, u64), u64)>,
    /// When the last fault is over.
    pub last_fault_end: u64,
    /// When a request about a job was last answered.
    last_answered_at: BTreeMap<u64, u64>,
    /// Jobs whose submissions can never run or lack a field.
    pub invalid_jobs: BTreeSet<u64>,
    /// Number of tasks that started after a response reported their jobs as cancelled.
    pub starts_after_cancellation: u64,
    /// Since when a job has waited although a machine fits and its team has room, and how many of its tasks had started by
    /// then.
    waiting_with_room: BTreeMap<u64, (u64, u64)>,
    /// The least time that was left until the cancellation deadline when a task of a cancelled job ended.
    pub cancel_margin: Option<u64>,
    /// Number of polls, and of answered ones.
    pub polls: (u64, u64),
    pub started_tasks: u64,
    /// Checker of the placement rules.
    pub rule_checker: PlacementRuleChecker,
    /// The machines on which each job's tasks were started.
    pub start_machines: BTreeMap<u64, Vec<MachineInfo>>,
    /// Reasons for which jobs were refused.
    pub refusals: BTreeMap<u64, String>,
    /// Reasons for which jobs wait, as reported to users.
    pub reasons: BTreeMap<u64, BTreeSet<String>>,
}

impl InvariantChecker {
    pub fn new(cancel_deadline_us: u64) -> InvariantChecker {
        InvariantChecker {
            cancel_deadline_us,
            ..InvariantChecker::default()
        }
    }

    fn record_violation(&mut self, now: u64, text: String) {
        self.violations
            .push(format!("{:.3}: {text}", now as f64 / 1e6));
    }

    /// A copy of a command that was carried out before started an attempt: nothing may depend on a command that arrives again.
    pub fn record_start_by_copy(&mut self, now: u64, machine: u64, task: Task, attempt: u64) {
        self.record_violation(
            now,
            format!(
                "copy_started: a late copy starts {} attempt {attempt} on {machine}",
                task_name(task)
            ),
        );
    }

    /// Checks a task start or end on a machine. `machines` has all machines by number.
    pub fn observe(
        &mut self,
        now: u64,
        machine: u64,
        info: &MachineInfo,
        event: &TaskEvent,
        machines: &BTreeMap<u64, MachineInfo>,
    ) {
        match event {
            TaskEvent::Ended(t, why) => {
                if self.machine_of.get(t) == Some(&machine) {
                    self.end_task(now, *t);
                }
                if *why == "done" {
                    self.completed_tasks.entry(t.0).or_default().insert(t.1);
                    self.last_end.insert(t.0, now);
                }
            }
            TaskEvent::Started(t) => {
                self.started_tasks += 1;
                self.starts_after_cancellation += u64::from(
                    self.cancellation_reported_at
                        .get(&t.0)
                        .is_some_and(|c| now > *c),
                );
                *self.start_counts.entry(t.0).or_default() += 1;
                self.first_start.entry(t.0).or_insert(now);
                if let Some(before) = self
                    .dependencies_of(t.0)
                    .into_iter()
                    .find(|j| !self.all_tasks_completed(*j))
                {
                    self.record_violation(
                        now,
                        format!(
                            "too_early: {} starts before req-{before:06} is done",
                            task_name(*t)
                        ),
                    );
                }
                if let Some(at) = self.submitted_at.get(&t.0) {
                    self.start_delays.entry(*t).or_insert(now - at);
                }
                let other = self.end_task(now, *t);
                self.machine_of.insert(*t, machine);
                self.tasks_on.entry(machine).or_default().insert(*t);
                if let Some(other) = other.filter(|o| *o != machine) {
                    self.record_violation(
                        now,
                        format!(
                            "ran_twice: {} starts on {machine} while on {other}",
                            task_name(*t)
                        ),
                    );
                }
                let Some(request) = self.job_requests.get(&t.0).cloned() else {
                    return self
                        .record_violation(now, format!("{} was never submitted", task_name(*t)));
                };
                if let Some(limit) = self
                    .team_limits
                    .get(&request.team)
                    .copied()
                    .filter(|l| *l > 0.0)
                {
                    let used = self.cores_used(&request.team);
                    if used > limit + 1e-6 {
                        self.record_violation(
                            now,
                            format!("quota: {} uses {used} of {limit}", request.team),
                        );
                    }
                }
                let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
                if request.single_zone || request.anti_affinity {
                    for (_, m) in self.machine_of.range((t.0, 0)..=(t.0, u32::MAX)) {
                        *zones.entry(machines[m].zone.as_str()).or_default() += 1;
                    }
                }
                let is_misplaced = request
                    .machine_types
                    .as_ref()
                    .is_some_and(|b| !b.contains(&info.machine_type))
                    || request.zone.as_ref().is_some_and(|y| *y != info.zone)
                    || info.spot && !request.spot_allowed
                    || request.single_zone && zones.len() > 1
                    || request.anti_affinity
                        && zones.values().any(|n| *n > request.task_count.div_ceil(2));
                self.start_machines
                    .entry(t.0)
                    .or_default()
                    .push(info.clone());
                let colocated: BTreeSet<u64> = self.tasks_on[&machine]
                    .iter()
                    .filter(|o| o.0 != t.0)
                    .map(|o| o.0)
                    .collect();
                if let Some(rule) = self.rule_checker.broken_rule(
                    now,
                    &self.job_requests,
                    t.0,
                    (machine, info),
                    &colocated,
                ) {
                    self.record_violation(
                        now,
                        format!(
                            "rule_broken: {rule}: {} on {machine} {info:?}",
                            task_name(*t)
                        ),
                    );
                }
                if is_misplaced {
                    self.record_violation(
                        now,
                        format!(
                            "wrong_place: {} on {machine} {info:?} {zones:?}",
                            task_name(*t)
                        ),
                    );
                }
                if self
                    .cancellation_reported_at
                    .get(&t.0)
                    .is_some_and(|c| now > c + self.cancel_deadline_us)
                {
                    self.record_violation(now, format!("ran_cancelled: {} starts", task_name(*t)));
                }
            }
        }
    }

    /// Records that a task does not run any more. Returns its machine.
    fn end_task(&mut self, now: u64, t: Task) -> Option<u64> {
        let machine = self.machine_of.remove(&t)?;
        if let Some(reported_at) = self.cancellation_reported_at.get(&t.0) {
            let left = (reported_at + self.cancel_deadline_us).saturating_sub(now);
            self.cancel_margin = Some(self.cancel_margin.map_or(left, |m| m.min(left)));
        }
        self.tasks_on.get_mut(&machine)?.remove(&t);
        Some(machine)
    }

    /// The direct dependencies of a job.
    fn dependencies_of(&self, job: u64) -> Vec<u64> {
        self.job_requests
            .get(&job)
            .map(|a| a.dependencies.clone())
            .unwrap_or_default()
    }

    /// Whether all tasks of a job were done on some machine.
    pub fn all_tasks_completed(&self, job: u64) -> bool {
        self.job_requests.get(&job).is_some_and(|a| {
            self.completed_tasks
                .get(&job)
                .is_some_and(|d| d.len() >= a.task_count as usize)
        })
    }

    /// The dependencies of a job, direct and transitive.
    fn transitive_dependencies(&self, job: u64) -> BTreeSet<u64> {
        let mut all = BTreeSet::new();
        let mut todo = self.dependencies_of(job);
        while let Some(j) = todo.pop() {
            if all.insert(j) {
                todo.extend(self.dependencies_of(j));
            }
        }
        all
    }

    /// When the last dependency of a job ended, once all of them are done.
    pub fn dependencies_completed_at(&self, job: u64) -> Option<u64> {
        let awaited = self.dependencies_of(job);
        awaited
            .iter()
            .all(|j| self.all_tasks_completed(*j))
            .then(|| awaited.iter().filter_map(|j| self.last_end.get(j)).max())?
            .copied()
    }

    /// How long after the end of its last dependency a job started.
    pub fn start_delay_after_dependencies(&self, job: u64) -> Option<u64> {
        let ready = self
            .dependencies_of(job)
            .iter()
            .filter_map(|j| self.last_end.get(j))
            .max()
            .copied()?;
        Some(self.first_start.get(&job)?.saturating_sub(ready))
    }

    /// Whether a team may use this many more cores.
    pub fn is_within_team_limit(&self, team: &str, cores: f64) -> bool {
        self.team_limits
            .get(team)
            .is_none_or(|limit| *limit == 0.0 || self.cores_used(team) + cores <= limit + 1e-6)
    }

    /// Whether a task was done on some machine.
    pub fn is_task_completed(&self, t: Task) -> bool {
        self.completed_tasks
            .get(&t.0)
            .is_some_and(|d| d.contains(&t.1))
    }

    /// Whether all dependencies of a job were reported as done. Results may still be lost before that.
    pub fn dependencies_reported_done(&self, job: u64) -> bool {
        self.dependencies_of(job).iter().all(|j| self.is_done(*j))
    }

    /// The machines of each job that has tasks on machines.
    pub fn machines_of_running_jobs(&self) -> BTreeMap<u64, Vec<u64>> {
        let mut jobs: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        self.machine_of
            .iter()
            .for_each(|(t, m)| jobs.entry(t.0).or_default().push(*m));
        jobs
    }

    /// The state of a job that was last reported to users: `live` for any before its end, `done` or `cancelled`; `None` if it
    /// was not reported yet.
    pub fn last_reported_state(&self, job: u64) -> Option<&'static str> {
        self.reported_state.get(&job).map(|t| t.0)
    }

    /// Records which jobs wait although a machine fits and their teams have room; `jobs` has the machine of each. No job may
    /// wait so for 90 s once all faults are over.
    pub fn observe_waiting_jobs(&mut self, now: u64, jobs: &BTreeMap<u64, u64>) {
        const MAX_WAIT_US: u64 = 90_000_000;
        let starts = &self.start_counts;
        let started = |j: &u64| starts.get(j).copied().unwrap_or(0);
        self.waiting_with_room
            .retain(|j, (_, before)| jobs.contains_key(j) && started(j) == *before);
        for j in jobs.keys() {
            self.waiting_with_room
                .entry(*j)
                .or_insert((now, started(j)));
        }
        let overdue: Vec<u64> = self
            .waiting_with_room
            .iter()
            .filter(|(_, (since, _))| now > since + MAX_WAIT_US)
            .map(|(j, _)| *j)
            .collect();
        for j in overdue {
            self.waiting_with_room.remove(&j);
            self.record_violation(
                now,
                format!(
                    "left_waiting: req-{j:06} has waited for 90 s although i-{:06} fits",
                    jobs[&j]
                ),
            );
        }
    }

    /// Cores that a team's tasks use now.
    fn cores_used(&self, team: &str) -> f64 {
        let running_requests = self
            .machine_of
            .keys()
            .filter_map(|o| self.job_requests.get(&o.0));
        running_requests
            .filter(|a| a.team == team)
            .map(|a| a.cores)
            .sum()
    }

    /// Checks the deadlines: tasks of cancelled jobs that still run, and jobs about which no request was answered for too
    /// long. Applies team limits that have become effective.
    pub fn check_deadlines(&mut self, now: u64) {
        for (team, limit) in std::mem::take(&mut self.next_team_limits) {
            if limit == 0.0 || self.cores_used(&team) <= limit {
                self.team_limits.insert(team, limit);
            } else {
                self.next_team_limits.insert(team, limit);
            }
        }
        let overdue: Vec<Task> = self
            .machine_of
            .keys()
            .filter(|t| {
                self.cancellation_reported_at
                    .get(&t.0)
                    .is_some_and(|c| now > c + self.cancel_deadline_us)
            })
            .copied()
            .collect();
        for t in overdue {
            self.end_task(now, t);
            self.record_violation(
                now,
                format!("ran_cancelled: {} is still there", task_name(t)),
            );
        }
        // Once all faults are over, this deadline applies to each job on its own, whatever happens to other jobs.
        for job in self.unfinished_jobs() {
            let since = self
                .last_answered_at
                .get(&job)
                .copied()
                .unwrap_or(0)
                .max(self.last_fault_end)
                .max(self.accepted_at[&job]);
            if now > since + 75_000_000 {
                self.last_answered_at.insert(job, now);
                self.record_violation(
                    now,
                    format!("forgotten: no request about req-{job:06} was answered for 75 s"),
                );
            }
        }
    }

    pub fn record_abort_request(&mut self, job: u64) {
        self.abort_requests.insert(job);
    }

    /// Records a poll that was answered with a state or a 404, or failed.
    pub fn record_poll(&mut self, now: u64, job: u64, answered: bool) {
        self.polls.0 += 1;
        self.polls.1 += u64::from(answered);
        if answered || !self.is_accepted(job) {
            self.failing_polls.remove(&job);
            return;
        }
        let (since, before, own) = self
            .failing_polls
            .entry(job)
            .or_insert((now, self.polls, 0));
        let (others, others_answered) = (self.polls.0 - before.0 - *own, self.polls.1 - before.1);
        *own += 1;
        let since = *since;
        if now - since > 90_000_000 && others_answered > 20 && others_answered * 2 > others {
            self.record_violation(
                now,
                format!("forgotten: every poll for req-{job:06} has failed for 90 s"),
            );
            self.failing_polls.remove(&job);
        }
    }

    /// Checks a response to a user. `kind` is submit, query or abort.
    pub fn record_reply(
        &mut self,
        now: u64,
        sent_at: u64,
        kind: &str,
        job: u64,
        status: u16,
        state: Option<&str>,
    ) {
        // The response to a request that was sent before the job was accepted may reflect an earlier state.
        let was_accepted = self.accepted_at.get(&job).is_some_and(|at| *at <= sent_at);
        if matches!(status, 200 | 201 | 404) {
            self.last_answered_at.insert(job, now);
        }
        match status {
            200 | 201 => {
                if self.invalid_jobs.contains(&job) {
                    return self.record_violation(
                        now,
                        format!("accepted_bad: req-{job:06} cannot run or lacks a field"),
                    );
                }
                if !self.job_requests.contains_key(&job) {
                    return self.record_violation(now, format!("invented: req-{job:06}"));
                }
                self.accepted_at.entry(job).or_insert(now);
                let state = match state {
                    Some("done") => "done",
                    Some("cancelled") => "cancelled",
                    _ => "live",
                };
                let task_count = self.job_requests[&job].task_count as usize;
                if state == "done"
                    && self
                        .completed_tasks
                        .get(&job)
                        .is_none_or(|d| d.len() < task_count)
                {
                    self.record_violation(now, format!("not_done: req-{job:06}"));
                }
                let needed = self.transitive_dependencies(job);
                let cancelled_at = needed
                    .iter()
                    .filter_map(|j| self.cancellation_reported_at.get(j))
                    .min();
                if state == "live"
                    && cancelled_at.is_some_and(|t| now > t + self.cancel_deadline_us)
                {
                    self.record_violation(now, format!("orphaned: req-{job:06}"));
                }
                let asked_for = |j: &u64| self.abort_requests.contains(j);
                if state == "cancelled" && !asked_for(&job) && !needed.iter().any(asked_for) {
                    self.record_violation(
                        now,
                        format!(
                            "went_back: req-{job:06} is cancelled although nobody requested it"
                        ),
                    );
                }
                // Responses to overlapping requests may arrive in another order.
                let (before, at) = self
                    .reported_state
                    .get(&job)
                    .copied()
                    .unwrap_or(("live", now));
                if before == "live" {
                    self.reported_state.insert(job, (state, now));
                } else if before != state && at <= sent_at {
                    self.record_violation(
                        now,
                        format!("went_back: req-{job:06} was {before}, is {state}"),
                    );
                }
                if state == "done" {
                    self.completion_reported_at.entry(job).or_insert(now);
                }
                if state == "cancelled" {
                    self.cancellation_reported_at.entry(job).or_insert(now);
                }
            }
            404 if was_accepted => {
                self.record_violation(now, format!("forgotten: req-{job:06} gets 404 to a {kind}"));
            }
            400 | 422 if was_accepted => {
                self.record_violation(now, format!("forgotten: req-{job:06} gets {status}"));
            }
            _ => {}
        }
    }

    pub fn is_done(&self, job: u64) -> bool {
        self.reported_state.get(&job).is_some_and(|t| t.0 == "done")
    }

    /// The first twelve jobs that are done, with the time when that was first reported, in seconds.
    pub fn done_jobs(&self) -> Vec<(u64, u64)> {
        self.completion_reported_at
            .iter()
            .take(12)
            .map(|(j, t)| (*j, t / 1_000_000))
            .collect()
    }

    pub fn completion_reported_at(&self, job: u64) -> Option<u64> {
        self.completion_reported_at.get(&job).copied()
    }

    pub fn is_cancelled(&self, job: u64) -> bool {
        self.reported_state
            .get(&job)
            .is_some_and(|t| t.0 == "cancelled")
    }

    pub fn is_accepted(&self, job: u64) -> bool {
        self.accepted_at.contains_key(&job)
    }

    pub fn unfinished_jobs(&self) -> Vec<u64> {
        self.accepted_at
            .keys()
            .copied()
            .filter(|j| !self.is_done(*j) && !self.is_cancelled(*j))
            .collect()
    }
}
