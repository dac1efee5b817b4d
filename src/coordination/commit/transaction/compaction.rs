//! Compaction of records that were written under larger limits than the state store has now or will
//! have: each step leaves a complete state.

use super::edits::{GroupEdit, fit_images};
use super::limits::{SPARE_BYTES, max_values_bytes};
use super::required_records::{RequiredJob, RequiredRecords};
use super::{GroupId, TermUpdate, TransactionBuilder, TransactionLimits};
use crate::storage::cell_state::CellState;
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::{JobId, MachineId, ShardId};
use crate::storage::records::{GroupRecord, Key, ShardLeaderRecord, stored_bytes};

/// Whether this record is larger than `max_bytes` in the replica.
pub fn is_record_larger_than(cell: &CellState, key: &Key, max_bytes: usize) -> bool {
    match key {
        Key::Group(shard, index) => cell.groups[*shard]
            .get(index)
            .is_some_and(|group| stored_bytes(&group.value) > max_bytes),
        Key::Usage(shard) => stored_bytes(&cell.usage[*shard].value) > max_bytes,
        _ => false,
    }
}

/// A machine group from which machines are moved to new groups until the rest is small enough.
struct GroupSplit<'s> {
    limits: TransactionLimits,
    /// Bytes that a machine of a type takes once it is full.
    full_record_bytes: &'s dyn Fn(&str) -> usize,
    compact_encoding: bool,
    rest: GroupRecord,
    new_groups: Vec<GroupRecord>,
    /// Upper bound of the bytes of the whole transaction.
    bytes: usize,
    /// Bytes that the last new group may still take, counting its machines as full.
    bytes_left: usize,
}

impl GroupSplit<'_> {
    /// Moves machines, the last one first, until the rest is small enough or the transaction is full.
    fn run(&mut self) {
        let machines: Vec<MachineId> = self.rest.machines.keys().rev().copied().collect();
        let target_bytes = self.limits.value_bytes.min(self.limits.group_bytes);
        for machine in machines {
            if stored_bytes(&self.rest) <= target_bytes || !self.move_machine(machine) {
                break;
            }
        }
    }

    /// Moves a machine to the last new group, or to another new one if that has no room. A machine that
    /// is too large even for a group of its own is not moved. False if the transaction is full.
    fn move_machine(&mut self, machine: MachineId) -> bool {
        let Some(record) = self.rest.machines.get(&machine).cloned() else {
            return true;
        };
        let full_bytes = (self.full_record_bytes)(&record.machine_type);
        let mut alone = self.empty_group();
        alone.machines.insert(machine, record);
        let max_bytes = self.limits.value_bytes.saturating_sub(SPARE_BYTES / 2);
        let bytes = fit_images(&mut alone, max_bytes);
        if bytes > max_bytes {
            return true;
        }
        // The new groups, one more for the machine, and the group itself or the shard's term; each is a
        // condition as well.
        let changes = self.new_groups.len() + 2;
        if self.bytes + bytes > max_values_bytes(changes, 2 * changes) {
            return false;
        }
        // A full machine may take more bytes than it does now.
        let reserved_bytes = full_bytes.max(bytes);
        if self.new_groups.is_empty() || reserved_bytes > self.bytes_left {
            // One change is for the group itself, or for the shard's term.
            if self.new_groups.len() >= self.limits.changes - 1 {
                return false;
            }
            self.new_groups.push(self.empty_group());
            self.bytes_left = self.limits.group_bytes;
        }
        self.bytes_left = self.bytes_left.saturating_sub(reserved_bytes);
        self.bytes += bytes;
        self.rest.machines.remove(&machine);
        if let Some(group) = self.new_groups.last_mut() {
            group.machines.append(&mut alone.machines);
        }
        true
    }

    fn empty_group(&self) -> GroupRecord {
        GroupRecord {
            compact_encoding: self.compact_encoding,
            ..GroupRecord::default()
        }
    }
}

impl TransactionBuilder<'_> {
    /// Adds a step that makes a record smaller; false if none is possible. The transaction must be
    /// empty.
    pub fn compact(
        &mut self,
        key: &Key,
        leader_record: &ShardLeaderRecord,
        full_record_bytes: &dyn Fn(&str) -> usize,
    ) -> bool {
        match key {
            Key::Group(shard, index) => {
                self.compact_group((*shard, *index), leader_record, full_record_bytes)
            }
            Key::Usage(shard) => self.compact_usage(*shard),
            _ => false,
        }
    }

    /// Moves machines of a group to new groups. If the group is too large to be written at all, the
    /// machines are copied instead, and the copies are authoritative until the rest of the group can be
    /// written, see [`CellState::is_superseded`]. Every such step raises the shard's term, on which every
    /// write to its groups is conditional. So nothing that was planned on the group before the step can
    /// be applied any more, and the same step cannot be applied twice.
    fn compact_group(
        &mut self,
        group: GroupId,
        leader_record: &ShardLeaderRecord,
        full_record_bytes: &dyn Fn(&str) -> usize,
    ) -> bool {
        let (shard, index) = group;
        let Some(before) = self.cell.groups[shard].get(&index) else {
            return false;
        };
        let rest = GroupRecord {
            compact_encoding: self.compact_encoding,
            ..before.value.clone()
        };
        let bytes = stored_bytes(&rest);
        let mut split = GroupSplit {
            limits: self.limits,
            full_record_bytes,
            compact_encoding: self.compact_encoding,
            rest,
            new_groups: Vec::new(),
            bytes,
            bytes_left: 0,
        };
        split.run();
        let rest_bytes = stored_bytes(&split.rest);
        let rest_fits = rest_bytes <= self.limits.value_bytes;
        if split.new_groups.is_empty() && !rest_fits {
            return false;
        }
        self.insert_new_groups(shard, split.new_groups);
        self.conditions
            .extend([Key::ShardLeader(shard), Key::Group(shard, index)]);
        let is_writable = bytes <= self.limits.stored_value_bytes;
        if is_writable || rest_fits {
            self.groups
                .insert(group, GroupEdit::new(split.rest, rest_bytes, bytes));
        } else {
            self.term_update = Some(TermUpdate {
                shard,
                record: leader_record.clone(),
            });
        }
        true
    }

    /// Adds new groups after the last group of the shard.
    fn insert_new_groups(&mut self, shard: ShardId, new_groups: Vec<GroupRecord>) {
        let next_index = self.cell.groups[shard]
            .keys()
            .next_back()
            .map_or(0, |last| last + 1);
        for (index, record) in (next_index..).zip(new_groups) {
            let bytes = stored_bytes(&record);
            let edit = GroupEdit::new(record, bytes, self.limits.value_bytes);
            self.groups.insert((shard, index), edit);
        }
    }

    /// Moves completions from a usage record to the records of their jobs, the largest bitmaps first. If
    /// the usage record is too large to be written they are copied: a job's completions are then those in
    /// either record, and the usage record drops those that are in the job's own record as soon as the
    /// rest of it can be written.
    fn compact_usage(&mut self, shard: ShardId) -> bool {
        let opened = self.reserve(RequiredRecords {
            usage: Some(shard),
            conditions: &[Key::ShardLeader(shard)],
            ..RequiredRecords::default()
        });
        if opened && self.is_usage_small_enough(shard) {
            return true;
        }
        let mut moved = false;
        for id in self.jobs_by_bitmap_bytes(shard) {
            if !self.accepts_merged_completions(id, shard) {
                continue;
            }
            let required = RequiredRecords {
                usage: opened.then_some(shard),
                job: Some(RequiredJob {
                    id,
                    more_changes: 0,
                }),
                conditions: &[Key::ShardLeader(shard), Key::Usage(shard)],
                ..RequiredRecords::default()
            };
            if !self.reserve(required) {
                break;
            }
            let kept = self.cell.usage[shard].value.finished_tasks.get(&id);
            if let (Some(edit), Some(ends)) = (self.jobs.get_mut(&id), kept) {
                edit.record.finished.merge(ends);
            }
            moved = true;
        }
        moved
    }

    /// Whether the store accepts a job's record with the completions that a usage record keeps for the job.
    fn accepts_merged_completions(&self, id: JobId, shard: ShardId) -> bool {
        let kept = self.cell.usage[shard].value.finished_tasks.get(&id);
        self.cell.jobs.get(&id).is_none_or(|job| {
            self.accepts_job_record(id, job, |edit| {
                if let Some(ends) = kept {
                    edit.record.finished.merge(ends);
                }
            })
        })
    }

    fn is_usage_small_enough(&self, shard: ShardId) -> bool {
        self.usage
            .get(&shard)
            .is_some_and(|edit| stored_bytes(&edit.record) <= self.limits.value_bytes)
    }

    /// Jobs for which the usage record keeps completions that their own records do not contain, the
    /// largest bitmaps first.
    fn jobs_by_bitmap_bytes(&self, shard: ShardId) -> Vec<JobId> {
        let is_copied = |id: &JobId, ends: &CompletionBitmap| {
            self.cell
                .jobs
                .get(id)
                .is_none_or(|job| job.record.finished.covers(ends))
        };
        let mut bitmaps: Vec<(usize, JobId)> = self.cell.usage[shard]
            .value
            .finished_tasks
            .iter()
            .filter(|(id, ends)| !is_copied(id, ends))
            .map(|(id, ends)| (ends.max_stored_bytes(), *id))
            .collect();
        bitmaps.sort_unstable_by(|a, b| b.cmp(a));
        bitmaps.into_iter().map(|(_, id)| id).collect()
    }
}

#[cfg(test)]
mod tests;
