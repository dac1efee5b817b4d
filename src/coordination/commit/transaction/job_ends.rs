//! Ends of jobs in a transaction.

use super::TransactionBuilder;
use super::required_records::{RequiredJob, RequiredRecords};
use crate::storage::cell_state::Job;
use crate::storage::ids::JobId;
use crate::storage::job::FinalRecord;
use crate::storage::records::Key;

impl TransactionBuilder<'_> {
    /// Ends a job of which all tasks are done. Chunks whose completions its own record could not take are removed first,
    /// one by each call, once that record says that all tasks are finished.
    pub fn end_done(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
        if !job.chunks.is_empty() {
            return if job.record.has_only_complete_chunks() {
                self.remove_chunk(id, job)
            } else {
                self.finish_record(id, job)
            };
        }
        let end = FinalRecord {
            cancelled: false,
            done: job.spec().task_count,
            ended_at: self.cell.time_of_day,
        };
        self.end(id, job, end)
    }

    /// Ends a cancelled job that has no assignments. The chunks of a large job are removed first, one by
    /// each call.
    pub fn end_cancelled(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
        if !job.chunks.is_empty() {
            return self.remove_chunk(id, job);
        }
        let end = FinalRecord {
            cancelled: true,
            done: job.finished_count(),
            ended_at: self.cell.time_of_day,
        };
        self.end(id, job, end)
    }

    /// Removes the first of a job's chunks. The job's own record must no longer need it.
    fn remove_chunk(&mut self, id: JobId, job: &Job) -> bool {
        let changes = self.changes() + 1;
        if !self.is_within_counts(changes, self.conditions_after(changes, &[])) {
            return false;
        }
        self.removed_chunks
            .extend(job.chunks.keys().next().map(|chunk| (id, *chunk)));
        true
    }

    /// Marks all tasks of a job as finished in its own record, which could not be written while they ended.
    fn finish_record(&mut self, id: JobId, job: &Job) -> bool {
        let opened = self.reserve(RequiredRecords {
            job: Some(RequiredJob {
                id,
                more_changes: 0,
            }),
            conditions: &[Key::ShardLeader(self.cell.shard_of_job(id, job.spec()))],
            ..RequiredRecords::default()
        });
        if opened && let Some(edit) = self.jobs.get_mut(&id) {
            edit.record.finish_within(self.limits.value_bytes);
            edit.chunks.clear();
            edit.writes_record = true;
        }
        opened
    }

    fn end(&mut self, id: JobId, job: &Job, end: FinalRecord) -> bool {
        let shard = self.cell.shard_of_job(id, job.spec());
        // The completions that the usage record keeps for the job are dropped in the same transaction,
        // if the usage record can be written.
        let is_kept_in_usage = !self.usage_from_groups
            && self.cell.usage[shard]
                .value
                .finished_tasks
                .contains_key(&id);
        let conditions = [Key::ShardLeader(shard)];
        let required = |usage| RequiredRecords {
            usage,
            job: Some(RequiredJob {
                id,
                more_changes: 1,
            }),
            conditions: &conditions,
            ..RequiredRecords::default()
        };
        let usage = is_kept_in_usage.then_some(shard);
        if !self.reserve(required(usage)) && !self.reserve(required(None)) {
            return false;
        }
        if let Some(edit) = self.jobs.get_mut(&id) {
            edit.ended = Some(end);
        }
        true
    }

    /// Moves the completions that usage records keep for a job to the job's own record.
    pub fn move_completions_to_job(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
        let shard = self.cell.shard_of_job(id, job.spec());
        if !self.accepts_job_record(id, job, |_| ()) {
            return false;
        }
        self.reserve(RequiredRecords {
            usage: (!self.usage_from_groups).then_some(shard),
            job: Some(RequiredJob {
                id,
                more_changes: 0,
            }),
            conditions: &[Key::ShardLeader(shard)],
            ..RequiredRecords::default()
        })
    }
}
