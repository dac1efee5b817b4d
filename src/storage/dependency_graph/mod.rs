//! Dependencies between jobs, and what follows from them.
//!
//! All states are derived from facts that never change: how a job ended, that it was cancelled, and which jobs it
//! depends on. So every controller derives the same states, in whatever order the jobs end.

mod propagation;

use crate::storage::ids::JobId;
use crate::storage::job::{FinalRecord, JobSpec, Priority};
use crate::storage::live_job::Job;
use crate::time::Micros;
use propagation::Propagation;
use std::collections::{BTreeSet, HashMap};

/// The part of a job's state that follows from the jobs that it depends on and those that depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DependencyState {
    /// Whether some job that it depends on is not known to be done.
    pub blocked: bool,
    /// Whether a job that it depends on, directly or through others, is cancelled.
    pub cancelled: bool,
    /// Whether it is unknown how some job that it depends on, directly or through others, ended; that job may be
    /// cancelled, and then this one is too.
    pub cancellation_unknown: bool,
    /// When the last job that it depends on was done, by the time of day; zero if it depends on none.
    pub ready_at: Micros,
    /// The highest of the job's own priority and those of all jobs that depend on it.
    pub priority: Priority,
    /// When the job must be done, by the time of day, for the jobs that depend on it to meet their deadlines.
    pub required_by: Option<Micros>,
}

impl DependencyState {
    /// The state of a job without dependencies on which no other depends.
    pub fn independent(spec: &JobSpec) -> DependencyState {
        DependencyState {
            blocked: false,
            cancelled: false,
            cancellation_unknown: false,
            ready_at: Micros::ZERO,
            priority: spec.priority,
            required_by: None,
        }
    }
}

/// How long the tasks of a job are expected to run: the user's estimate plus a quarter of it, since estimates are often
/// wrong, and of many tasks some run longer.
pub fn expected_runtime(spec: &JobSpec) -> Micros {
    spec.estimated_runtime + Micros(spec.estimated_runtime.0 / 4)
}

/// The dependencies between live jobs.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// For each job on which live jobs depend, those live jobs.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Ended jobs on which live jobs depend, with how they ended.
    ends: HashMap<JobId, FinalRecord>,
    /// Jobs on which live jobs depend, that are not live, and of which it is not known how they ended.
    unknown: BTreeSet<JobId>,
}

impl DependencyGraph {
    /// Jobs for which the state store has to be queried to learn how they ended.
    pub fn jobs_with_unknown_end(&self) -> &BTreeSet<JobId> {
        &self.unknown
    }

    /// Adds a job that is new in `jobs`. Appends the jobs whose states changed to `changed`.
    pub fn on_job_added(
        &mut self,
        id: JobId,
        jobs: &mut HashMap<JobId, Job>,
        changed: &mut Vec<JobId>,
    ) {
        self.unknown.remove(&id);
        let Some(job) = jobs.get(&id) else { return };
        self.add_dependencies(id, job, jobs);
        let has_dependencies = !job.spec().dependencies.is_empty();
        let has_dependents = self.dependents.contains_key(&id);
        let mut propagation = self.propagation(jobs, changed);
        if has_dependents {
            propagation.recompute_urgency(id);
        }
        if has_dependencies || has_dependents {
            propagation.recompute_states(vec![id]);
            if has_dependents {
                propagation.recompute_states(self.dependents_of(id));
            }
        }
        if has_dependencies {
            propagation.raise_urgency_of_dependencies(id);
        }
    }

    /// Updates a job that its user has cancelled, and the jobs that depend on it. Appends the jobs whose states changed
    /// to `changed`.
    pub fn on_job_cancelled(
        &self,
        id: JobId,
        jobs: &mut HashMap<JobId, Job>,
        changed: &mut Vec<JobId>,
    ) {
        let mut affected = self.dependents_of(id);
        affected.push(id);
        self.propagation(jobs, changed).recompute_states(affected);
    }

    /// Updates a job whose record has lost its dependencies because it does not wait for them any more, see
    /// [`JobRecord::drop_dependencies`](crate::storage::job::JobRecord::drop_dependencies). Appends the jobs whose
    /// states changed to `changed`.
    pub fn on_dependencies_dropped(
        &mut self,
        id: JobId,
        former: &[JobId],
        jobs: &mut HashMap<JobId, Job>,
        changed: &mut Vec<JobId>,
    ) {
        self.remove_dependencies(id, former);
        let mut propagation = self.propagation(jobs, changed);
        for dependency in former {
            propagation.recompute_urgency(*dependency);
        }
        propagation.recompute_states(vec![id]);
    }

    /// Removes a job that has ended and is no longer in `jobs`. Appends the jobs whose states changed to `changed`.
    /// Returns how the job ended, with `time_of_day` as the time of the end, if that is known.
    pub fn on_job_ended(
        &mut self,
        id: JobId,
        job: &Job,
        time_of_day: Micros,
        jobs: &mut HashMap<JobId, Job>,
        changed: &mut Vec<JobId>,
    ) -> Option<FinalRecord> {
        let end = derive_end(job, time_of_day);
        self.remove_dependencies(id, &job.spec().dependencies);
        let mut propagation = self.propagation(jobs, changed);
        for dependency in &job.spec().dependencies {
            // The dependency may have been urgent only because of the removed job.
            propagation.recompute_urgency(*dependency);
        }
        if self.dependents.contains_key(&id) {
            self.record_end(id, end);
            self.propagation(jobs, changed)
                .recompute_states(self.dependents_of(id));
        }
        end
    }

    /// Stores how a job ended, if that was unknown and live jobs depend on the job. Appends the jobs whose states
    /// changed to `changed`.
    pub fn on_end_learned(
        &mut self,
        id: JobId,
        end: FinalRecord,
        jobs: &mut HashMap<JobId, Job>,
        changed: &mut Vec<JobId>,
    ) {
        if self.unknown.remove(&id) {
            self.ends.insert(id, end);
            self.propagation(jobs, changed)
                .recompute_states(self.dependents_of(id));
        }
    }

    fn add_dependencies(&mut self, id: JobId, job: &Job, jobs: &HashMap<JobId, Job>) {
        for dependency in &job.spec().dependencies {
            self.dependents.entry(*dependency).or_default().insert(id);
            if !jobs.contains_key(dependency) && !self.ends.contains_key(dependency) {
                self.unknown.insert(*dependency);
            }
        }
    }

    fn remove_dependencies(&mut self, id: JobId, dependencies: &[JobId]) {
        for dependency in dependencies {
            let Some(dependents) = self.dependents.get_mut(dependency) else {
                continue;
            };
            dependents.remove(&id);
            if dependents.is_empty() {
                self.dependents.remove(dependency);
                self.ends.remove(dependency);
                self.unknown.remove(dependency);
            }
        }
    }

    fn record_end(&mut self, id: JobId, end: Option<FinalRecord>) {
        match end {
            Some(end) => {
                self.ends.insert(id, end);
            }
            None => {
                self.unknown.insert(id);
            }
        }
    }

    fn dependents_of(&self, id: JobId) -> Vec<JobId> {
        self.dependents
            .get(&id)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    fn propagation<'a>(
        &'a self,
        jobs: &'a mut HashMap<JobId, Job>,
        changed: &'a mut Vec<JobId>,
    ) -> Propagation<'a> {
        Propagation {
            graph: self,
            jobs,
            changed,
        }
    }
}

/// How a job ended whose record was removed, if that is known.
///
/// A record is removed only when its job ends. A job that its user cancelled ends as cancelled. A job with dependencies
/// may have been cancelled because of them, which its own record does not say.
fn derive_end(job: &Job, time_of_day: Micros) -> Option<FinalRecord> {
    let cancelled = job.is_cancelled();
    let is_known = cancelled || !job.dependency_state.blocked;
    let done = if cancelled {
        job.finished_count()
    } else {
        job.spec().task_count
    };
    is_known.then_some(FinalRecord {
        cancelled,
        done,
        ended_at: time_of_day,
    })
}
