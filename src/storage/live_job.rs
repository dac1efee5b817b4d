//! Live jobs, as the copy has them.

use crate::storage::completion_bitmap::{CHUNK, CompletionBitmap};
use crate::storage::dependency_graph::DependencyState;
use crate::storage::job::{JobRecord, JobSpec, Priority};
use std::collections::BTreeMap;

/// A value with the revision of its last change, 0 if it does not exist.
#[derive(Clone, Debug, Default)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Its revision.
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

/// A live job in the copy.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its record.
    pub record: JobRecord,
    /// The record's revision.
    pub mod_revision: u64,
    /// Further chunks of the finished set.
    pub chunks: BTreeMap<u32, Versioned<CompletionBitmap>>,
    /// Finished tasks that usage records have, and the job's own may not have yet.
    pub ends: CompletionBitmap,
    /// Where it stands in its pipeline.
    pub dependency_state: DependencyState,
}

impl Job {
    /// Whether it is cancelled, by its own user or because of a job that it awaits.
    pub fn cancelled(&self) -> bool {
        self.record.cancelled || self.dependency_state.cancelled
    }

    /// Whether its tasks may be booked: everything that it awaits is known to be done.
    pub fn ready(&self) -> bool {
        !self.cancelled() && !self.dependency_state.waits
    }

    /// How urgent it is, for itself or for what needs it.
    pub fn priority(&self) -> Priority {
        self.dependency_state.priority
    }

    /// How many tasks are finished.
    pub fn done(&self) -> u32 {
        self.record.finished.count_with(&self.ends) + self.record.more
    }

    /// Whether the task is finished.
    pub fn finished(&self, index: u32) -> bool {
        match index / CHUNK {
            0 => self.record.finished.has(index) || self.ends.has(index),
            n if self.record.full >> n & 1 == 1 => true,
            n => self
                .chunks
                .get(&n)
                .is_some_and(|c| c.value.has(index % CHUNK)),
        }
    }

    /// Whether it seems to be the job's own fault that its tasks fail: on several machines, and nothing
    /// of it was completed, or far less than failed. A replica that goes on running completes nothing.
    pub fn suspect(&self) -> bool {
        let done = self.done();
        let failures = if done == 0 && !self.spec().service {
            2
        } else {
            done.saturating_add(4)
        };
        self.record.avoid.len() >= 2 && self.record.errors >= failures
    }

    /// What was asked for.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }
}
