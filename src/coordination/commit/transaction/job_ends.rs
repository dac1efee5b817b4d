//! Ends of jobs in a transaction.

use super::TransactionBuilder;
use super::reservation::{JobNeed, Needs};
use crate::storage::cell_state::Job;
use crate::storage::ids::JobId;
use crate::storage::job::FinalRecord;
use crate::storage::records::Key;

impl TransactionBuilder<'_> {
    /// Ends a job whose tasks are all done.
    pub fn end_done(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
        let end = FinalRecord {
            cancelled: false,
            done: job.spec().task_count,
            at: self.cell.time_of_day,
        };
        self.end(id, job, end)
    }

    /// Ends a cancelled job of which nothing is assigned. A large one drops its chunks first, one at
    /// a time.
    pub fn end_cancelled(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
        if let Some(chunk) = job.chunks.keys().next() {
            if self.changes() + 1 > self.limits.changes {
                return false;
            }
            self.removed_chunks.insert((id, *chunk));
            return true;
        }
        let end = FinalRecord {
            cancelled: true,
            done: job.done(),
            at: self.cell.time_of_day,
        };
        self.end(id, job, end)
    }

    fn end(&mut self, id: JobId, job: &Job, end: FinalRecord) -> bool {
        let shard = self.cell.shard_of_job(id, job.spec());
        // What the usage record keeps of it is dropped along with it, if that can be written.
        let is_kept_in_usage =
            !self.usage_from_groups && self.cell.usage[shard].value.ends.contains_key(&id);
        let conditions = [Key::ShardLeader(shard)];
        let needs = |usage| Needs {
            usage,
            job: Some(JobNeed {
                id,
                more_changes: 1,
            }),
            conditions: &conditions,
            ..Needs::default()
        };
        let usage = is_kept_in_usage.then_some(shard);
        if !self.reserve(needs(usage)) && !self.reserve(needs(None)) {
            return false;
        }
        if let Some(edit) = self.jobs.get_mut(&id) {
            edit.ended = Some(end);
        }
        true
    }

    /// Moves the completions of a job that usage records keep into the job's own record.
    pub fn settle(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
        let shard = self.cell.shard_of_job(id, job.spec());
        self.reserve(Needs {
            usage: (!self.usage_from_groups).then_some(shard),
            job: Some(JobNeed {
                id,
                more_changes: 0,
            }),
            conditions: &[Key::ShardLeader(shard)],
            ..Needs::default()
        })
    }
}
