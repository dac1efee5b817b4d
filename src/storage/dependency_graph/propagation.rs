//! Recomputes the states that follow from dependencies, along the chains of jobs.
//!
//! Cancellation and readiness propagate from a job to the jobs that depend on it; urgency propagates from a job to the
//! jobs that it depends on.

use super::{DependencyGraph, DependencyState, expected_runtime};
use crate::storage::ids::JobId;
use crate::storage::job::Priority;
use crate::storage::live_job::Job;
use crate::time::Micros;
use std::collections::HashMap;

/// The part of a job's state that follows from the jobs that depend on it.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Urgency {
    priority: Priority,
    required_by: Option<Micros>,
}

impl DependencyState {
    fn urgency(&self) -> Urgency {
        Urgency {
            priority: self.priority,
            required_by: self.required_by,
        }
    }

    fn set_urgency(&mut self, urgency: Urgency) {
        self.priority = urgency.priority;
        self.required_by = urgency.required_by;
    }
}

/// One update of the live jobs.
pub(super) struct Propagation<'a> {
    pub(super) graph: &'a DependencyGraph,
    /// The live jobs.
    pub(super) jobs: &'a mut HashMap<JobId, Job>,
    /// Jobs whose states changed, in order; a job may occur several times.
    pub(super) changed: &'a mut Vec<JobId>,
}

impl Propagation<'_> {
    /// Recomputes the states of these jobs from the jobs that they depend on, and the states of the jobs that depend on
    /// those that change.
    pub(super) fn recompute_states(&mut self, mut pending: Vec<JobId>) {
        while let Some(id) = pending.pop() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let old = job.dependency_state;
            let new = self.derive_state(job);
            if new == old {
                continue;
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.dependency_state = new;
            }
            self.changed.push(id);
            if (new.cancelled, new.cancellation_unknown)
                != (old.cancelled, old.cancellation_unknown)
            {
                pending.extend(self.graph.dependents_of(id));
            }
        }
    }

    /// A job's state as it follows from the jobs that it depends on, with its urgency unchanged.
    fn derive_state(&self, job: &Job) -> DependencyState {
        let mut state = DependencyState {
            blocked: false,
            cancelled: false,
            cancellation_unknown: false,
            ..job.dependency_state
        };
        for dependency in &job.spec().dependencies {
            match (self.jobs.get(dependency), self.graph.ends.get(dependency)) {
                (Some(live), _) => {
                    state.blocked = true;
                    state.cancelled |= live.is_cancelled();
                    state.cancellation_unknown |= live.dependency_state.cancellation_unknown;
                }
                (None, Some(end)) => {
                    state.blocked |= end.cancelled;
                    state.cancelled |= end.cancelled;
                    state.ready_at = state.ready_at.max(end.ended_at);
                }
                (None, None) => {
                    state.blocked = true;
                    state.cancellation_unknown = true;
                }
            }
        }
        // A cancelled job stays cancelled, even if it is unknown how some of its dependencies ended.
        state.cancellation_unknown &= !state.cancelled && !job.record.cancelled;
        state
    }

    /// Makes the jobs that a new job depends on, directly or through others, at least as urgent as the new job.
    pub(super) fn raise_urgency_of_dependencies(&mut self, id: JobId) {
        let mut pending = vec![id];
        while let Some(id) = pending.pop() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let priority = job.dependency_state.priority;
            let start_by = latest_start(job);
            for dependency in job.spec().dependencies.clone() {
                let Some(job) = self.jobs.get_mut(&dependency) else {
                    continue;
                };
                let old = job.dependency_state.urgency();
                let new = Urgency {
                    priority: old.priority.min(priority),
                    required_by: old.required_by.into_iter().chain(start_by).min(),
                };
                if new != old {
                    job.dependency_state.set_urgency(new);
                    self.changed.push(dependency);
                    pending.push(dependency);
                }
            }
        }
    }

    /// Recomputes a job's urgency from the jobs that depend on it and, if the urgency changes, that of the jobs that it
    /// depends on.
    pub(super) fn recompute_urgency(&mut self, id: JobId) {
        let mut pending = vec![id];
        while let Some(id) = pending.pop() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let new = self.derive_urgency(id, job);
            if new == job.dependency_state.urgency() {
                continue;
            }
            let dependencies = job.spec().dependencies.clone();
            if let Some(job) = self.jobs.get_mut(&id) {
                job.dependency_state.set_urgency(new);
            }
            self.changed.push(id);
            pending.extend(dependencies);
        }
    }

    fn derive_urgency(&self, id: JobId, job: &Job) -> Urgency {
        let mut urgency = Urgency {
            priority: job.spec().priority,
            required_by: None,
        };
        let dependents = self.graph.dependents.get(&id).into_iter().flatten();
        for dependent in dependents.filter_map(|dependent| self.jobs.get(dependent)) {
            let start_by = latest_start(dependent);
            urgency.priority = urgency.priority.min(dependent.dependency_state.priority);
            urgency.required_by = urgency.required_by.into_iter().chain(start_by).min();
        }
        urgency
    }
}

/// When a job must start, by the time of day, to meet its own deadline and those of the jobs that depend on it.
fn latest_start(job: &Job) -> Option<Micros> {
    let own_deadline = job
        .spec()
        .deadline
        .map(|deadline| job.record.submitted + deadline);
    let done_by = own_deadline
        .into_iter()
        .chain(job.dependency_state.required_by)
        .min()?;
    Some(done_by - expected_runtime(job.spec()))
}
