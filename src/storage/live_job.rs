//! Live jobs in the replica of the cell's state.

use crate::storage::completion_bitmap::{CompletionBitmap, FIRST_CHUNK, TASKS_PER_CHUNK};
use crate::storage::dependency_graph::DependencyState;
use crate::storage::job::{JobRecord, JobSpec, Priority};
use crate::time::Micros;
use std::collections::BTreeMap;

/// The value of a record with the revision of its last change.
#[derive(Clone, Debug, Default)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Revision of the record; 0 if the record does not exist.
    pub mod_revision: u64,
}

impl<T> Versioned<T> {
    /// A value that was last changed at this revision.
    pub fn new(value: T, mod_revision: u64) -> Versioned<T> {
        Versioned {
            value,
            mod_revision,
        }
    }
}

/// A live job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job's record.
    pub record: JobRecord,
    /// The record's revision.
    pub mod_revision: u64,
    /// Chunks of the completion bitmap that have records of their own, by chunk number.
    pub chunks: BTreeMap<u32, Versioned<CompletionBitmap>>,
    /// Finished tasks in the shards' usage records, which the job's own record may not have yet.
    pub recorded_finished_tasks: CompletionBitmap,
    /// The state that follows from the job's dependencies and dependents.
    pub dependency_state: DependencyState,
}

impl Job {
    /// Whether the job is cancelled, by its user or because a job that it depends on is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.record.cancelled || self.dependency_state.cancelled
    }

    /// Whether the job's tasks may be assigned: it is not cancelled, and all jobs that it depends on are known to be
    /// done.
    pub fn is_ready(&self) -> bool {
        !self.is_cancelled() && !self.dependency_state.blocked
    }

    /// The earliest time at which the job's tasks could have started, by the time of day: when the job was submitted,
    /// or when the last job that it depends on was done.
    pub fn ready_since(&self) -> Micros {
        self.record.submitted.max(self.dependency_state.ready_at)
    }

    /// The highest of the job's own priority and those of the jobs that depend on it.
    pub fn priority(&self) -> Priority {
        self.dependency_state.priority
    }

    /// Number of finished tasks.
    pub fn finished_count(&self) -> u32 {
        self.record
            .finished
            .union_count(&self.recorded_finished_tasks)
            + self.finished_in_chunks()
    }

    /// Number of finished tasks in chunks that have no place in the job's own record. The job's record counts them, unless
    /// it could not be written when they ended; then their chunks' records do.
    pub fn finished_in_chunks(&self) -> u32 {
        let spec = self.spec();
        let complete = (FIRST_CHUNK..=spec.extra_chunks())
            .filter(|chunk| self.record.is_chunk_complete(*chunk))
            .map(|chunk| spec.tasks_in_chunk(chunk));
        let incomplete = self
            .chunks
            .iter()
            .filter(|(chunk, _)| !self.record.is_chunk_complete(**chunk))
            .map(|(_, bitmap)| bitmap.value.count());
        let stored = complete.chain(incomplete).sum();
        self.record.finished_in_chunks.max(stored)
    }

    /// The job's record, marked as cancelled, of at most `max_bytes`.
    pub fn cancelled_record(&self, max_bytes: usize, compact_encoding: bool) -> JobRecord {
        let mut record = self.record.clone().with_compact_encoding(compact_encoding);
        record.finished_in_chunks = self.finished_in_chunks();
        record.cancel_within(max_bytes, &self.recorded_finished_tasks);
        record
    }

    /// Whether the task with this number is finished.
    pub fn is_finished(&self, index: u32) -> bool {
        match index / TASKS_PER_CHUNK {
            0 if self.record.finished.contains(index)
                || self.recorded_finished_tasks.contains(index) =>
            {
                true
            }
            chunk if self.record.is_chunk_complete(chunk) => true,
            chunk => self
                .chunks
                .get(&chunk)
                .is_some_and(|bitmap| bitmap.value.contains(index % TASKS_PER_CHUNK)),
        }
    }

    /// Whether the completions of the first chunk are no longer in the job's own record, but in one of their own.
    pub fn has_detached_chunk(&self) -> bool {
        self.chunks.contains_key(&FIRST_CHUNK) || self.record.is_chunk_complete(FIRST_CHUNK)
    }

    /// Whether the job itself rather than its machines seems to be the cause of its failures: its tasks failed on
    /// several machines, and more often than they finished. Since the replicas of a service never finish, a service is
    /// allowed as many failures as a job of which some tasks finished.
    pub fn is_suspect(&self) -> bool {
        const MIN_FAILED_MACHINES: usize = 2;
        const MIN_FAILURES: u32 = 2;
        const MIN_FAILURES_BEYOND_DONE: u32 = 4;

        let done = self.finished_count();
        let min_failures = if done == 0 && !self.spec().service {
            MIN_FAILURES
        } else {
            done.saturating_add(MIN_FAILURES_BEYOND_DONE)
        };
        self.record.failed_machines.len() >= MIN_FAILED_MACHINES
            && self.record.failures >= min_failures
    }

    /// What the user requested.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }
}
