//! Edited copies of records.

use super::limits::{IMAGES_KEPT_BY_PRUNING, SPARE_BYTES};
use crate::storage::cell_state::Job;
use crate::storage::completion_bitmap::{CompletionBitmap, FIRST_CHUNK, TASKS_PER_CHUNK};
use crate::storage::job::{FinalRecord, JobRecord};
use crate::storage::records::{GroupRecord, UsageRecord, stored_bytes};
use std::collections::BTreeMap;

/// A group of machines.
#[derive(Clone, Debug)]
pub(super) struct GroupEdit {
    pub record: GroupRecord,
    /// Upper bound of the record's bytes.
    pub bytes: usize,
    /// Most bytes that the record may have.
    max_bytes: usize,
    /// Whether all but [`IMAGES_KEPT_BY_PRUNING`] images of each machine were dropped.
    pruned: bool,
}

impl GroupEdit {
    /// An edit of a record that takes `bytes` now and may grow to `max_bytes`.
    pub fn new(record: GroupRecord, bytes: usize, max_bytes: usize) -> GroupEdit {
        GroupEdit {
            record,
            bytes,
            max_bytes,
            pruned: false,
        }
    }

    /// Whether the record may grow by `growth` bytes and still has `spare` bytes free (less in a small
    /// record). `may_prune`: images may be dropped for that.
    pub fn ensure_capacity(&mut self, growth: usize, spare: usize, may_prune: bool) -> bool {
        let needed_bytes = growth + spare.min(self.max_bytes / 16);
        if self.bytes + needed_bytes > self.max_bytes {
            // The size so far is a sum of upper bounds; near the limit the exact size is needed.
            self.bytes = stored_bytes(&self.record);
        }
        if self.bytes + needed_bytes > self.max_bytes && may_prune && !self.pruned {
            self.prune_images();
        }
        self.bytes + needed_bytes <= self.max_bytes
    }

    /// Drops most images of the machines: fetching an image again costs less than leaving a machine
    /// without work.
    fn prune_images(&mut self) {
        self.pruned = true;
        truncate_images(&mut self.record, IMAGES_KEPT_BY_PRUNING);
        self.bytes = stored_bytes(&self.record);
    }
}

/// Drops images of the machines, as many as it takes for a record of at most `max_bytes`: first most, then all. Returns the
/// record's bytes.
pub(super) fn fit_images(record: &mut GroupRecord, max_bytes: usize) -> usize {
    let mut bytes = stored_bytes(record);
    for kept in [IMAGES_KEPT_BY_PRUNING, 0] {
        if bytes <= max_bytes {
            break;
        }
        truncate_images(record, kept);
        bytes = stored_bytes(record);
    }
    bytes
}

fn truncate_images(record: &mut GroupRecord, kept: usize) {
    for machine in record.machines.values_mut() {
        machine.truncate_images(kept);
    }
}

/// The usage record of a shard.
#[derive(Clone, Debug)]
pub(super) struct UsageEdit {
    pub record: UsageRecord,
    /// Upper bound of the record's bytes, including [`SPARE_BYTES`].
    pub bytes: usize,
}

impl UsageEdit {
    pub fn new(record: UsageRecord) -> UsageEdit {
        let bytes = stored_bytes(&record) + SPARE_BYTES;
        UsageEdit { record, bytes }
    }

    /// Bytes of the record when it was opened, without [`SPARE_BYTES`].
    pub fn record_bytes(&self) -> usize {
        self.bytes - SPARE_BYTES
    }
}

/// A job's record, with the chunks of its completions.
#[derive(Clone, Debug)]
pub(super) struct JobEdit {
    pub record: JobRecord,
    pub chunks: BTreeMap<u32, CompletionBitmap>,
    /// How the job ends with this transaction, if it does.
    pub ended: Option<FinalRecord>,
    /// Upper bound of the record's bytes, whatever is edited.
    pub max_bytes: usize,
    /// Whether the completions of the first chunk go into a record of their own.
    detached_chunk: bool,
    /// Whether the job's own record is written; otherwise only the records of its chunks are, since its specification
    /// alone is larger than a value may be.
    pub writes_record: bool,
}

impl JobEdit {
    /// An edit of a record that takes at most `max_bytes`.
    pub fn new(record: JobRecord, max_bytes: usize) -> JobEdit {
        JobEdit {
            record,
            chunks: BTreeMap::new(),
            ended: None,
            max_bytes,
            detached_chunk: false,
            writes_record: true,
        }
    }

    /// Records completions in the records of chunks alone; the job's own record stays as it is.
    pub fn keep_record(&mut self) {
        self.detached_chunk = true;
        self.writes_record = false;
    }

    /// Whether the end of the job can be part of the transaction: no record of a chunk is left then.
    pub fn may_end(&self, job: &Job) -> bool {
        let is_edited = |chunk: &u32| self.chunks.contains_key(chunk);
        self.writes_record && job.chunks.keys().all(is_edited)
    }

    /// Moves the completions of the first chunk from the job's record to one of their own. `job`: the job as it was before
    /// the transaction.
    pub fn detach_first_chunk(&mut self, job: &Job) {
        self.detached_chunk = true;
        if self.record.finished.is_empty() {
            return;
        }
        let first_chunk = self.record.detach_first_chunk();
        if !self.record.is_chunk_complete(FIRST_CHUNK) {
            self.chunk_mut(FIRST_CHUNK, job).merge(&first_chunk);
        }
    }

    /// Changes that the edit takes in the transaction. The end of a job takes two: its record is
    /// removed, and its final record is written.
    pub fn changes(&self) -> usize {
        self.chunks.len() + 1 + usize::from(self.ended.is_some())
    }

    /// Makes a record smaller that takes more than `max_bytes`: it loses the dependencies if the job does not
    /// wait for them any more. `job`: the job as it was before the transaction.
    pub fn fit(&mut self, job: &Job, max_bytes: usize) {
        if self.max_bytes > max_bytes && job.is_ready() && stored_bytes(&self.record) > max_bytes {
            self.record.drop_dependencies();
        }
    }

    /// Whether the completions of a chunk go into a record of their own.
    pub fn keeps_apart(&self, chunk_index: u32) -> bool {
        chunk_index != FIRST_CHUNK || self.detached_chunk
    }

    /// Marks a task as completed. `job`: the job as it was before the transaction.
    pub fn complete(&mut self, index: u32, job: &Job) {
        let chunk_index = index / TASKS_PER_CHUNK;
        if !self.keeps_apart(chunk_index) {
            self.record.finished.insert(index);
        } else if chunk_index == FIRST_CHUNK && self.record.finished.contains(index) {
            // The job's own record, which is not written, has this task.
        } else if !self.record.is_chunk_complete(chunk_index) {
            self.complete_in_chunk(chunk_index, index % TASKS_PER_CHUNK, job);
        }
    }

    /// Marks a task as completed in a chunk that has a record of its own. A complete chunk needs no record, so
    /// that the end of a large job is a small change.
    fn complete_in_chunk(&mut self, chunk_index: u32, index: u32, job: &Job) {
        let chunk = self.chunk_mut(chunk_index, job);
        let is_new = chunk.insert(index);
        let count = chunk.count();
        if is_new {
            self.record.finished_in_chunks += 1;
            if count == self.record.spec.tasks_in_chunk(chunk_index) {
                self.record.set_chunk_complete(chunk_index);
            }
        }
    }

    fn chunk_mut(&mut self, chunk_index: u32, job: &Job) -> &mut CompletionBitmap {
        self.chunks.entry(chunk_index).or_insert_with(|| {
            job.chunks
                .get(&chunk_index)
                .map(|chunk| chunk.value.clone())
                .unwrap_or_default()
        })
    }
}
