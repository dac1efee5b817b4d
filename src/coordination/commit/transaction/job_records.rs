//! The records of jobs that a transaction writes, and how they stay within the limits.

use super::TransactionBuilder;
use super::edits::JobEdit;
use super::limits::MAX_JOB_TASKS_IN_USAGE;
use crate::storage::cell_state::Job;
use crate::storage::completion_bitmap::{FIRST_CHUNK, TASKS_PER_CHUNK};
use crate::storage::ids::JobId;
use crate::storage::job::{JobRecord, JobSpec};
use crate::storage::records::stored_bytes;

impl TransactionBuilder<'_> {
    /// Opens a job's record if it is not open. The completions that usage records keep for the job are
    /// moved to its record. Usage records that this transaction does not write drop them the next time
    /// that they are written.
    pub(super) fn open_job(&mut self, id: JobId) {
        let Some(job) = self.cell.jobs.get(&id) else {
            return;
        };
        if self.jobs.contains_key(&id) {
            return;
        }
        let edit = self.job_edit(id, job);
        for usage in self.usage.values_mut() {
            usage.record.finished_tasks.remove(&id);
        }
        self.jobs.insert(id, edit);
    }

    /// An edit of a job's record, with the completions that usage records keep for the job.
    fn job_edit(&self, id: JobId, job: &Job) -> JobEdit {
        let mut record = job.record.clone();
        record.finished.merge(&job.recorded_finished_tasks);
        for usage in self.usage.values() {
            if let Some(ends) = usage.record.finished_tasks.get(&id) {
                record.finished.merge(ends);
            }
        }
        let max_bytes = max_job_record_bytes(&record);
        let mut edit = JobEdit::new(record, max_bytes);
        if self.detaches_first_chunk(job) {
            edit.record.finished_in_chunks = job.finished_in_chunks();
            if self.may_write_without_bitmap(job) {
                edit.detach_first_chunk(job);
            } else {
                edit.keep_record();
            }
        }
        edit
    }

    /// Whether the completions of a job's first chunk go into a record of their own: they do from the time on when the
    /// job's own record could become larger than a value may be. That happens only if it was written under larger limits.
    pub(super) fn detaches_first_chunk(&self, job: &Job) -> bool {
        job.has_detached_chunk()
            || self.detached_chunk_allowed
                && job.spec().task_count > MAX_JOB_TASKS_IN_USAGE
                && job.recorded_finished_tasks.is_empty()
                && self.may_outgrow_limits(job)
    }

    /// Whether a job's record may become larger than a value may be.
    fn may_outgrow_limits(&self, job: &Job) -> bool {
        initial_record_bytes(job) + job.spec().max_growth_bytes() > self.limits.value_bytes
    }

    /// Whether the store accepts a job's record if it has no completion bitmap.
    fn may_write_without_bitmap(&self, job: &Job) -> bool {
        let awaited_bytes = if job.is_ready() {
            stored_bytes(&job.spec().dependencies)
        } else {
            0
        };
        let bytes = initial_record_bytes(job) + MAX_COUNTERS_BYTES - awaited_bytes;
        bytes <= self.limits.stored_value_bytes
    }

    /// Whether opening a job's record takes a further change, since the first chunk of its bitmap moves to a record of its
    /// own. A complete chunk needs none.
    pub(super) fn writes_detached_chunk(&self, job: &Job) -> bool {
        let finished = job.record.finished.count();
        finished > 0
            && finished < job.spec().tasks_in_chunk(FIRST_CHUNK)
            && self.detaches_first_chunk(job)
            && self.may_write_without_bitmap(job)
    }

    /// Whether the store accepts a job's record after this change of it. A record may be too large if it
    /// was written under larger limits; see [`JobEdit::fit`] for how it is made smaller.
    pub(super) fn accepts_job_record(
        &self,
        id: JobId,
        job: &Job,
        change: impl FnOnce(&mut JobEdit),
    ) -> bool {
        let limit = self.limits.stored_value_bytes;
        let mut edit = match self.jobs.get(&id) {
            Some(edit) if edit.max_bytes <= limit => return true,
            Some(edit) => edit.clone(),
            None => self.job_edit(id, job),
        };
        if edit.max_bytes <= limit {
            return true;
        }
        if !edit.writes_record {
            return false;
        }
        change(&mut edit);
        edit.record
            .finished
            .set_compact_encoding(self.compact_encoding);
        edit.fit(job, limit);
        stored_bytes(&edit.record) <= limit
    }

    /// Whether completions of a job go into the records of its chunks alone.
    pub(super) fn keeps_job_record(&self, id: JobId, job: &Job) -> bool {
        self.jobs.get(&id).map_or_else(
            || self.detaches_first_chunk(job) && !self.may_write_without_bitmap(job),
            |edit| !edit.writes_record,
        )
    }
}

/// Upper bound of the bytes of a job's counters and of the machines on which its tasks failed.
const MAX_COUNTERS_BYTES: usize = 200;

/// Bytes of a job's record when it was submitted.
fn initial_record_bytes(job: &Job) -> usize {
    stored_bytes(&JobRecord::new(job.spec().clone(), job.record.submitted))
}

/// Upper bound of the bytes that the edit of a job takes, with a further chunk of its bitmap.
pub(super) fn max_job_edit_bytes(job: &Job) -> usize {
    let chunk_bytes = job.spec().extra_chunks().min(1) as usize * max_bitmap_bytes(job.spec());
    max_job_record_bytes(&job.record) + chunk_bytes
}

/// Upper bound of the bytes that a job's record takes after an edit. The bitmap may be full then.
fn max_job_record_bytes(record: &JobRecord) -> usize {
    const OVERHEAD_BYTES: usize = 512;
    stored_bytes(record) + OVERHEAD_BYTES + max_bitmap_bytes(&record.spec)
}

/// Upper bound of the bytes of one chunk's bitmap; each of its bytes is written as two hexadecimal digits.
fn max_bitmap_bytes(spec: &JobSpec) -> usize {
    const OVERHEAD_BYTES: usize = 16;
    spec.task_count.min(TASKS_PER_CHUNK) as usize / 4 + OVERHEAD_BYTES
}
