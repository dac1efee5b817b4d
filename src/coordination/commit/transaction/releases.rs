//! Releases of assignments in a transaction, with their outcomes.

use super::limits::{MAX_JOB_TASKS_IN_USAGE, SPARE_BYTES, USAGE_ENTRY_BYTES};
use super::required_records::{RequiredJob, RequiredRecords};
use super::{GroupId, TransactionBuilder};
use crate::coordination::agents::AssignmentOutcome;
use crate::storage::cell_state::Job;
use crate::storage::completion_bitmap::{CompletionBitmap, FIRST_CHUNK, TASKS_PER_CHUNK};
use crate::storage::ids::{Attempt, JobId, MachineId, ShardId, TaskId};
use crate::storage::job::FinalRecord;
use crate::storage::records::{Assignment, Key, stored_bytes};

/// Where the outcome of an attempt is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutcomeRecord {
    /// Nowhere, since the task runs again or its job is cancelled.
    None,
    /// In the usage record of the shard, until the job's own record is written.
    Usage,
    /// In the job's own record.
    Job,
}

/// An assignment that is to be released.
struct Release<'a> {
    attempt: Attempt,
    outcome: AssignmentOutcome,
    group: GroupId,
    job: &'a Job,
    /// The shard whose leader decides on the release.
    deciding_shard: ShardId,
    /// The shard of the job.
    job_shard: ShardId,
    /// The shard whose usage record is written.
    usage_shard: ShardId,
    record: OutcomeRecord,
}

/// What the completion of a task changes beside its job's record.
#[derive(Clone, Copy, Debug)]
struct Completion {
    /// Another chunk of the job's bitmap is written.
    opens_chunk: bool,
    /// It was the job's last task.
    ends_job: bool,
}

impl Completion {
    fn changes(self) -> usize {
        usize::from(self.opens_chunk) + usize::from(self.ends_job)
    }
}

/// How many of the records that a release writes could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseExtent {
    None,
    /// The end of the job does not fit into the same transaction.
    AllButJobEnd,
    All,
}

impl<'a> TransactionBuilder<'a> {
    /// Releases an assignment: in one transaction its outcome is recorded, and its resources and its
    /// team's usage are freed. `deciding_shard`: the shard whose leader decides that.
    pub fn release(
        &mut self,
        machine: MachineId,
        attempt: Attempt,
        outcome: AssignmentOutcome,
        deciding_shard: ShardId,
    ) -> bool {
        let Some(release) = self.plan_release(machine, attempt, outcome, deciding_shard) else {
            return true;
        };
        let extent = self.reserve_release(&release);
        if extent == ReleaseExtent::None {
            return false;
        }
        self.subtract_usage(release.job_shard, release.job.spec());
        let assignment = Assignment::of(attempt);
        if let Some(record) = self.machine_mut(machine) {
            record.tasks.retain(|task| *task != assignment);
            record.preempted.retain(|task| *task != assignment);
        }
        match (release.record, outcome) {
            (OutcomeRecord::None, _) => {}
            (OutcomeRecord::Usage, _) => self.complete_in_usage(&release),
            (OutcomeRecord::Job, AssignmentOutcome::Done) => self.complete_in_job(&release, extent),
            (OutcomeRecord::Job, _) => {
                if let Some(edit) = self.jobs.get_mut(&attempt.task.job) {
                    edit.record.record_failure_on(machine);
                }
            }
        }
        true
    }

    /// The records that a release needs; none if there is nothing to release.
    fn plan_release(
        &self,
        machine: MachineId,
        attempt: Attempt,
        outcome: AssignmentOutcome,
        deciding_shard: ShardId,
    ) -> Option<Release<'a>> {
        let cell = self.cell;
        let group = self.group_of(machine)?;
        let is_assigned = self
            .machine(machine)?
            .tasks
            .contains(&Assignment::of(attempt));
        if !is_assigned {
            return None;
        }
        let id = attempt.task.job;
        let job = cell.jobs.get(&id)?;
        let job_shard = cell.shard_of_job(id, job.spec());
        let usage_shard = if self.usage_from_groups {
            deciding_shard
        } else {
            job_shard
        };
        let record = if outcome == AssignmentOutcome::Reassign || job.is_cancelled() {
            OutcomeRecord::None
        } else if outcome == AssignmentOutcome::Done
            && self.is_kept_in_usage(job, attempt, usage_shard)
        {
            OutcomeRecord::Usage
        } else if outcome == AssignmentOutcome::Done || self.accepts_failure(machine, id, job) {
            OutcomeRecord::Job
        } else {
            OutcomeRecord::None
        };
        Some(Release {
            attempt,
            outcome,
            group,
            job,
            deciding_shard,
            job_shard,
            usage_shard,
            record,
        })
    }

    /// Whether the store accepts the job's record with a failure on this machine. Otherwise the failure is
    /// not recorded, and the task runs again all the same.
    fn accepts_failure(&self, machine: MachineId, id: JobId, job: &Job) -> bool {
        self.accepts_job_record(id, job, |edit| edit.record.record_failure_on(machine))
    }

    /// Opens the records that a release writes. If the end of the job does not fit into the same
    /// transaction it is written later, see [`TransactionBuilder::end_done`].
    fn reserve_release(&mut self, release: &Release<'_>) -> ReleaseExtent {
        let writes_usage = release.record == OutcomeRecord::Usage || !self.usage_from_groups;
        let writes_job = release.record == OutcomeRecord::Job;
        let (groups, conditions) = ([release.group], [Key::ShardLeader(release.deciding_shard)]);
        let required = |more_changes| RequiredRecords {
            groups: &groups,
            usage: writes_usage.then_some(release.usage_shard),
            job: writes_job.then_some(RequiredJob {
                id: release.attempt.task.job,
                more_changes,
            }),
            conditions: &conditions,
            ..RequiredRecords::default()
        };
        if !writes_job || release.outcome != AssignmentOutcome::Done {
            return if self.reserve(required(0)) {
                ReleaseExtent::All
            } else {
                ReleaseExtent::None
            };
        }
        let completion = self.completion(release.job, release.attempt);
        let may_write_record = |transaction: &Self| {
            let TaskId { job: id, index } = release.attempt.task;
            transaction.keeps_job_record(id, release.job)
                || transaction
                    .accepts_job_record(id, release.job, |edit| edit.complete(index, release.job))
        };
        // The end of the job removes its record.
        if (completion.ends_job || may_write_record(self))
            && self.reserve(required(completion.changes()))
        {
            ReleaseExtent::All
        } else if completion.ends_job
            && completion.opens_chunk
            && self.compact_encoding
            && may_write_record(self)
            && self.reserve(required(completion.changes() - 1))
        {
            ReleaseExtent::AllButJobEnd
        } else {
            ReleaseExtent::None
        }
    }

    /// Whether a completion is kept in this shard's usage record: its job is small, does not end with
    /// it, and is not written by this transaction anyway, and the usage record has room.
    fn is_kept_in_usage(&self, job: &Job, attempt: Attempt, shard: ShardId) -> bool {
        let id = attempt.task.job;
        let task_count = job.spec().task_count;
        if task_count > MAX_JOB_TASKS_IN_USAGE || self.jobs.contains_key(&id) {
            return false;
        }
        let ends = self.ends_in_usage(id, job);
        let index = attempt.task.index;
        let is_known = ends.contains(index) || job.record.finished.contains(index);
        let completed = job.record.finished.union_count(&ends) + u32::from(!is_known);
        let bytes = self.usage.get(&shard).map_or_else(
            || stored_bytes(&self.cell.usage[shard].value) + SPARE_BYTES,
            |edit| edit.bytes,
        );
        let bitmap_bytes = (MAX_JOB_TASKS_IN_USAGE / 4) as usize;
        let max_bytes = self.limits.group_bytes.min(self.limits.value_bytes);
        completed < task_count
            && bytes + USAGE_ENTRY_BYTES + bitmap_bytes + SPARE_BYTES <= max_bytes
    }

    /// Completions of a job that usage records would keep after this transaction.
    fn ends_in_usage(&self, id: JobId, job: &Job) -> CompletionBitmap {
        let mut ends = job.recorded_finished_tasks.clone();
        self.usage
            .values()
            .filter_map(|edit| edit.record.finished_tasks.get(&id))
            .for_each(|more| ends.merge(more));
        ends
    }

    /// What a completion changes in addition to its machine group, its team's usage and its job's record.
    fn completion(&self, job: &Job, attempt: Attempt) -> Completion {
        let id = attempt.task.job;
        let edit = self.jobs.get(&id);
        let chunk = attempt.task.index / TASKS_PER_CHUNK;
        let opens_chunk = match edit {
            Some(edit) => edit.keeps_apart(chunk) && !edit.chunks.contains_key(&chunk),
            // Opening the job's record may open its first chunk already.
            None if chunk == FIRST_CHUNK => {
                self.detaches_first_chunk(job) && !self.writes_detached_chunk(job)
            }
            None => true,
        };
        let completed = edit.map_or_else(
            || {
                let ends = self.ends_in_usage(id, job);
                job.record.finished.union_count(&ends) + job.finished_in_chunks()
            },
            |edit| edit.record.finished_count(),
        );
        Completion {
            opens_chunk,
            ends_job: completed + 1 >= job.spec().task_count,
        }
    }

    fn complete_in_usage(&mut self, release: &Release<'_>) {
        let Some(edit) = self.usage.get_mut(&release.usage_shard) else {
            return;
        };
        let task = release.attempt.task;
        let ends = &mut edit.record.finished_tasks;
        let bytes_before = ends
            .get(&task.job)
            .map_or(0, CompletionBitmap::max_stored_bytes);
        let completions = ends.entry(task.job).or_default();
        completions.insert(task.index);
        let entry_bytes = if bytes_before == 0 {
            USAGE_ENTRY_BYTES
        } else {
            0
        };
        let growth = completions.max_stored_bytes() - bytes_before + entry_bytes;
        edit.bytes += growth;
        self.bytes += growth;
    }

    /// Marks a task as completed in its job's record. Ends the job if this was the last task and the end
    /// fits into the transaction.
    fn complete_in_job(&mut self, release: &Release<'_>, extent: ReleaseExtent) {
        let Some(edit) = self.jobs.get_mut(&release.attempt.task.job) else {
            return;
        };
        edit.complete(release.attempt.task.index, release.job);
        let completed = edit.record.finished_count();
        if extent == ReleaseExtent::All
            && completed >= edit.record.spec.task_count
            && edit.may_end(release.job)
        {
            edit.ended = Some(FinalRecord {
                cancelled: false,
                done: completed,
                ended_at: self.cell.time_of_day,
            });
        }
    }
}
