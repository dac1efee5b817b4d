//! Ends of jobs in a transaction.

use super::TransactionBuilder;
use super::required_records::{RequiredJob, RequiredRecords};
use crate::storage::cell_state::Job;
use crate::storage::ids::JobId;
use crate::storage::job::FinalRecord;
use crate::storage::records::Key;

impl TransactionBuilder<'_> {
    /// Ends a job of which all tasks are done.
    pub fn end_done(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
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
        if let Some(chunk) = job.chunks.keys().next() {
            let changes = self.changes() + 1;
            if !self.is_within_counts(changes, self.conditions_after(changes, &[])) {
                return false;
            }
            self.removed_chunks.insert((id, *chunk));
            return true;
        }
        let end = FinalRecord {
            cancelled: true,
            done: job.finished_count(),
            ended_at: self.cell.time_of_day,
        };
        self.end(id, job, end)
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
