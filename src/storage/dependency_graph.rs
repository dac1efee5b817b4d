//! Pipelines: which jobs await which, and what follows from that.
//!
//! Everything here is derived from facts that never change: how a job ended, that it was cancelled,
//! and which jobs another one names. So every controller derives the same, whoever ends next.

use crate::storage::ids::JobId;
use crate::storage::job::{FinalRecord, JobSpec, Priority};
use crate::storage::live_job::Job;
use crate::time::Micros;
use std::collections::{BTreeSet, HashMap};

/// Where a job stands in its pipeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DependencyState {
    /// Some job that it awaits is not known to be done.
    pub waits: bool,
    /// A job that it awaits, directly or through others, is cancelled.
    pub cancelled: bool,
    /// It is not known how some job before it ended: it may be cancelled.
    pub doubtful: bool,
    /// When the last job that it awaits was done, by the time of day; zero if it awaits none.
    pub ready_at: Micros,
    /// The most urgent of its own urgency and that of all that need it.
    pub priority: Priority,
    /// When it must be done, by the time of day, for what needs it to be in time.
    pub wanted_by: Option<Micros>,
}

impl DependencyState {
    /// The stage of a job that awaits nothing and that nothing awaits.
    pub fn alone(spec: &JobSpec) -> DependencyState {
        let none = Micros::ZERO;
        let priority = spec.priority;
        DependencyState {
            waits: false,
            cancelled: false,
            doubtful: false,
            ready_at: none,
            priority,
            wanted_by: None,
        }
    }
}

/// How long the tasks of a job are expected to run: an estimate is often wrong, and of many tasks some
/// run longer.
pub fn expected_run(spec: &JobSpec) -> Micros {
    spec.estimated_runtime + Micros(spec.estimated_runtime.0 / 4)
}

/// When a job must begin for itself and for what needs it to be in time.
fn must_begin(job: &Job) -> Option<Micros> {
    let own = job.spec().deadline.map(|d| job.record.submitted + d);
    let by = own
        .into_iter()
        .chain(job.dependency_state.wanted_by)
        .min()?;
    Some(by - expected_run(job.spec()))
}

/// The jobs that others await.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Live jobs that name a job, by the job that they name.
    followers: HashMap<JobId, BTreeSet<JobId>>,
    /// How jobs ended that live ones name.
    ends: HashMap<JobId, FinalRecord>,
    /// Jobs that live ones name, and that are neither live nor known to have ended in some way.
    unknown: BTreeSet<JobId>,
}

impl DependencyGraph {
    /// Jobs whose ends have to be looked up.
    pub fn unknown(&self) -> &BTreeSet<JobId> {
        &self.unknown
    }

    /// A job has come up; it is among `jobs` already. Tells whose stages changed.
    pub fn appeared(
        &mut self,
        id: JobId,
        jobs: &mut HashMap<JobId, Job>,
        changed: &mut Vec<JobId>,
    ) {
        self.unknown.remove(&id);
        let Some(job) = jobs.get(&id) else { return };
        for f in &job.spec().dependencies {
            self.followers.entry(*f).or_default().insert(id);
            if !jobs.contains_key(f) && !self.ends.contains_key(f) {
                self.unknown.insert(*f);
            }
        }
        let (dependencies, needed) = (
            !job.spec().dependencies.is_empty(),
            self.followers.contains_key(&id),
        );
        if needed {
            self.want(id, jobs, changed);
        }
        if dependencies || needed {
            self.settle(vec![id], jobs, changed);
            if needed {
                self.settle(self.followers_of(id), jobs, changed);
            }
        }
        if dependencies {
            self.pull(id, jobs, changed);
        }
    }

    /// A job's own user has cancelled it.
    pub fn cancelled(&self, id: JobId, jobs: &mut HashMap<JobId, Job>, changed: &mut Vec<JobId>) {
        let mut todo = self.followers_of(id);
        todo.push(id);
        self.settle(todo, jobs, changed);
    }

    /// A job has ended, and is among `jobs` no more. Tells how, if that is known.
    ///
    /// A record goes only as its job ends. One whose user cancelled it ends as cancelled. One that
    /// awaits others may be cancelled because of them: that its own record cannot tell.
    pub fn ended(
        &mut self,
        id: JobId,
        job: &Job,
        today: Micros,
        jobs: &mut HashMap<JobId, Job>,
        changed: &mut Vec<JobId>,
    ) -> Option<FinalRecord> {
        let cancelled = job.cancelled();
        let done = if cancelled {
            job.done()
        } else {
            job.spec().task_count
        };
        let known = cancelled || !job.dependency_state.waits;
        let end = known.then_some(FinalRecord {
            cancelled,
            done,
            at: today,
        });
        for f in &job.spec().dependencies {
            let Some(of) = self.followers.get_mut(f) else {
                continue;
            };
            of.remove(&id);
            if of.is_empty() {
                self.followers.remove(f);
                self.ends.remove(f);
                self.unknown.remove(f);
            }
        }
        for f in &job.spec().dependencies {
            // What needed it may have been what made it urgent.
            self.want(*f, jobs, changed);
        }
        if self.followers.contains_key(&id) {
            match end {
                Some(end) => {
                    self.ends.insert(id, end);
                }
                None => {
                    self.unknown.insert(id);
                }
            }
            self.settle(self.followers_of(id), jobs, changed);
        }
        end
    }

    /// It became known how a job ended.
    pub fn learn(
        &mut self,
        id: JobId,
        end: FinalRecord,
        jobs: &mut HashMap<JobId, Job>,
        changed: &mut Vec<JobId>,
    ) {
        if self.unknown.remove(&id) {
            self.ends.insert(id, end);
            self.settle(self.followers_of(id), jobs, changed);
        }
    }

    fn followers_of(&self, id: JobId) -> Vec<JobId> {
        self.followers
            .get(&id)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    /// Works out anew what follows for these jobs from those that they await, and goes on along the
    /// chains that change.
    fn settle(
        &self,
        mut todo: Vec<JobId>,
        jobs: &mut HashMap<JobId, Job>,
        changed: &mut Vec<JobId>,
    ) {
        while let Some(id) = todo.pop() {
            let Some(job) = jobs.get(&id) else { continue };
            let mut new = DependencyState {
                waits: false,
                cancelled: false,
                doubtful: false,
                ..job.dependency_state
            };
            for f in &job.spec().dependencies {
                match (jobs.get(f), self.ends.get(f)) {
                    (Some(before), _) => {
                        new.waits = true;
                        new.cancelled |= before.cancelled();
                        new.doubtful |= before.dependency_state.doubtful;
                    }
                    (None, Some(end)) => {
                        new.waits |= end.cancelled;
                        new.cancelled |= end.cancelled;
                        new.ready_at = new.ready_at.max(end.at);
                    }
                    (None, None) => {
                        new.waits = true;
                        new.doubtful = true;
                    }
                }
            }
            // What is cancelled is known, whatever else is not.
            new.doubtful &= !new.cancelled && !job.record.cancelled;
            let old = job.dependency_state;
            if new == old {
                continue;
            }
            if let Some(job) = jobs.get_mut(&id) {
                job.dependency_state = new;
            }
            changed.push(id);
            if (new.cancelled, new.doubtful) != (old.cancelled, old.doubtful) {
                todo.extend(self.followers_of(id));
            }
        }
    }

    /// Makes the jobs that a new one awaits as urgent as it is, and so on back along the chains.
    fn pull(&self, id: JobId, jobs: &mut HashMap<JobId, Job>, changed: &mut Vec<JobId>) {
        let mut todo = vec![id];
        while let Some(id) = todo.pop() {
            let Some(job) = jobs.get(&id) else { continue };
            let (priority, by) = (job.dependency_state.priority, must_begin(job));
            for f in job.spec().dependencies.clone() {
                let Some(before) = jobs.get_mut(&f) else {
                    continue;
                };
                let wanted_by = before
                    .dependency_state
                    .wanted_by
                    .into_iter()
                    .chain(by)
                    .min();
                let priority = before.dependency_state.priority.min(priority);
                if (priority, wanted_by)
                    != (
                        before.dependency_state.priority,
                        before.dependency_state.wanted_by,
                    )
                {
                    before.dependency_state.priority = priority;
                    before.dependency_state.wanted_by = wanted_by;
                    changed.push(f);
                    todo.push(f);
                }
            }
        }
    }

    /// Works out anew what those that need a job want of it, and goes back along the chains that
    /// change.
    fn want(&self, id: JobId, jobs: &mut HashMap<JobId, Job>, changed: &mut Vec<JobId>) {
        let mut todo = vec![id];
        while let Some(id) = todo.pop() {
            let Some(job) = jobs.get(&id) else { continue };
            let needed: Vec<&Job> = self
                .followers
                .get(&id)
                .into_iter()
                .flatten()
                .filter_map(|f| jobs.get(f))
                .collect();
            let priority = needed
                .iter()
                .map(|j| j.dependency_state.priority)
                .chain([job.spec().priority])
                .min();
            let priority = priority.unwrap_or(job.spec().priority);
            let wanted_by = needed.iter().filter_map(|j| must_begin(j)).min();
            if (priority, wanted_by)
                == (
                    job.dependency_state.priority,
                    job.dependency_state.wanted_by,
                )
            {
                continue;
            }
            let before = job.spec().dependencies.clone();
            if let Some(job) = jobs.get_mut(&id) {
                job.dependency_state.priority = priority;
                job.dependency_state.wanted_by = wanted_by;
            }
            changed.push(id);
            todo.extend(before);
        }
    }
}
