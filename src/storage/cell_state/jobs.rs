//! Live jobs: their records, the chunks of their completion bitmaps, and their dependencies.

use super::{CellChanges, CellState, EndedJob, Job, Versioned};
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::dependency_graph::DependencyState;
use crate::storage::ids::JobId;
use crate::storage::job::{FinalRecord, JobRecord, JobSpec};
use std::collections::BTreeMap;

impl CellState {
    /// Stores how a job ended, if that was unknown and live jobs depend on the job.
    pub fn on_end_learned(&mut self, id: JobId, end: FinalRecord, changes_seen: &mut CellChanges) {
        self.dependencies
            .on_end_learned(id, end, &mut self.jobs, &mut changes_seen.jobs);
    }

    /// Stores a job's record; the job may be new.
    pub(super) fn put_job(
        &mut self,
        id: JobId,
        record: Versioned<JobRecord>,
        changes_seen: &mut CellChanges,
    ) {
        if self.jobs.contains_key(&id) {
            self.update_job(id, record, changes_seen);
        } else {
            self.add_job(id, record, changes_seen);
        }
        changes_seen.jobs.push(id);
    }

    fn update_job(
        &mut self,
        id: JobId,
        record: Versioned<JobRecord>,
        changes_seen: &mut CellChanges,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_newly_cancelled = record.value.cancelled && !job.record.cancelled;
        let former = std::mem::replace(&mut job.record, record.value);
        job.mod_revision = record.mod_revision;
        if job.record.spec.dependencies != former.spec.dependencies {
            self.dependencies.on_dependencies_dropped(
                id,
                &former.spec.dependencies,
                &mut self.jobs,
                &mut changes_seen.jobs,
            );
        }
        if is_newly_cancelled {
            self.dependencies
                .on_job_cancelled(id, &mut self.jobs, &mut changes_seen.jobs);
        }
    }

    fn add_job(&mut self, id: JobId, record: Versioned<JobRecord>, changes_seen: &mut CellChanges) {
        let job = Job {
            dependency_state: DependencyState::independent(&record.value.spec),
            record: record.value,
            mod_revision: record.mod_revision,
            chunks: BTreeMap::new(),
            recorded_finished_tasks: self.recorded_finished_tasks(id),
        };
        self.jobs.insert(id, job);
        self.dependencies
            .on_job_added(id, &mut self.jobs, &mut changes_seen.jobs);
    }

    /// Removes a job that has ended.
    pub(super) fn remove_job(&mut self, id: JobId, changes_seen: &mut CellChanges) {
        if let Some(job) = self.jobs.remove(&id) {
            let outcome = self.dependencies.on_job_ended(
                id,
                &job,
                self.time_of_day,
                &mut self.jobs,
                &mut changes_seen.jobs,
            );
            let JobSpec {
                job_class, team, ..
            } = job.record.spec;
            changes_seen.ended.push(EndedJob {
                job: id,
                outcome,
                job_class,
                team,
            });
        }
        changes_seen.jobs.push(id);
    }

    /// Stores a further chunk of a job's completion bitmap.
    pub(super) fn put_chunk(&mut self, id: JobId, chunk: u32, bitmap: Versioned<CompletionBitmap>) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.chunks.insert(chunk, bitmap);
        }
    }

    /// Removes a further chunk of a job's completion bitmap.
    pub(super) fn remove_chunk(&mut self, id: JobId, chunk: u32) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.chunks.remove(&chunk);
        }
    }
}
