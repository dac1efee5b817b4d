//! Records that were written under larger limits than the state store will have, or has by now: they
//! are compacted in steps that are each complete.

use super::edits::{GroupEdit, size_of};
use super::limits::{MAX_TRANSACTION_BYTES, SPARE_BYTES};
use super::reservation::{JobNeed, Needs};
use super::{GroupId, TermUpdate, TransactionBuilder, TransactionLimits};
use crate::storage::cell_state::CellState;
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::{JobId, MachineId, ShardId};
use crate::storage::records::{GroupRecord, Key, ShardLeaderRecord};

/// Whether the replica has this record larger than `max_bytes`.
pub fn too_large(cell: &CellState, key: &Key, max_bytes: usize) -> bool {
    match key {
        Key::Group(shard, index) => cell.groups[*shard]
            .get(index)
            .is_some_and(|group| size_of(&group.value) > max_bytes),
        Key::Usage(shard) => size_of(&cell.usage[*shard].value) > max_bytes,
        _ => false,
    }
}

/// A group whose machines are moved to new groups until the rest is small enough.
struct GroupSplit<'s> {
    limits: TransactionLimits,
    /// Bytes that a machine of a type takes once it is full.
    full_size: &'s dyn Fn(&str) -> usize,
    compact_encoding: bool,
    rest: GroupRecord,
    new_groups: Vec<GroupRecord>,
    /// Upper bound of the bytes of the whole transaction.
    bytes: usize,
    /// Bytes that the last new group may still take, counting its machines as full.
    bytes_left: usize,
}

impl GroupSplit<'_> {
    /// Moves machines, the last one first, until the rest is small enough or the transaction full.
    fn run(&mut self) {
        let machines: Vec<MachineId> = self.rest.machines.keys().rev().copied().collect();
        let target_bytes = self.limits.value_bytes.min(self.limits.group_bytes);
        for machine in machines {
            if size_of(&self.rest) <= target_bytes || !self.move_machine(machine) {
                break;
            }
        }
    }

    /// Moves a machine to the last new group, or to another one. One that has no room alone stays.
    /// False if the transaction is full.
    fn move_machine(&mut self, machine: MachineId) -> bool {
        let Some(record) = self.rest.machines.get(&machine).cloned() else {
            return true;
        };
        let full_bytes = (self.full_size)(&record.machine_type);
        let mut alone = self.empty_group();
        alone.machines.insert(machine, record);
        let bytes = size_of(&alone);
        if bytes + SPARE_BYTES / 2 > self.limits.value_bytes {
            return true;
        }
        if self.bytes + bytes > MAX_TRANSACTION_BYTES {
            return false;
        }
        // Once full it may take more than now.
        let reserved_bytes = full_bytes.max(bytes);
        if self.new_groups.is_empty() || reserved_bytes > self.bytes_left {
            // The group itself, or the term, takes one change.
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
    /// A step that makes a record smaller; false if none is possible. The transaction must be empty.
    pub fn compact(
        &mut self,
        key: &Key,
        leader_record: &ShardLeaderRecord,
        full_size: &dyn Fn(&str) -> usize,
    ) -> bool {
        match key {
            Key::Group(shard, index) => {
                self.compact_group((*shard, *index), leader_record, full_size)
            }
            Key::Usage(shard) => self.compact_usage(*shard),
            _ => false,
        }
    }

    /// Moves machines of a group to new ones. If it is too large to be written at all they are copied,
    /// and the copies count, until what is left can be written: see [`CellState::is_superseded`]. Every step
    /// of that raises the shard's term, on which every write to its groups is conditional: so nothing
    /// that was planned on the group itself can still be applied, nor the same step twice.
    fn compact_group(
        &mut self,
        group: GroupId,
        leader_record: &ShardLeaderRecord,
        full_size: &dyn Fn(&str) -> usize,
    ) -> bool {
        let (shard, index) = group;
        let Some(before) = self.cell.groups[shard].get(&index) else {
            return false;
        };
        let rest = GroupRecord {
            compact_encoding: self.compact_encoding,
            ..before.value.clone()
        };
        let bytes = size_of(&rest);
        let mut split = GroupSplit {
            limits: self.limits,
            full_size,
            compact_encoding: self.compact_encoding,
            rest,
            new_groups: Vec::new(),
            bytes,
            bytes_left: 0,
        };
        split.run();
        let rest_bytes = size_of(&split.rest);
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

    /// Adds groups after the last one of the shard.
    fn insert_new_groups(&mut self, shard: ShardId, new_groups: Vec<GroupRecord>) {
        let next_index = self.cell.groups[shard]
            .keys()
            .next_back()
            .map_or(0, |last| last + 1);
        for (index, record) in (next_index..).zip(new_groups) {
            let bytes = size_of(&record);
            let edit = GroupEdit::new(record, bytes, self.limits.value_bytes);
            self.groups.insert((shard, index), edit);
        }
    }

    /// Moves completions from a usage record to the records of their jobs, the largest sets first. If
    /// it is too large to be written they are copied: a job's completions are those of both, and what
    /// its own record has is dropped as soon as the rest can be written.
    fn compact_usage(&mut self, shard: ShardId) -> bool {
        let opened = self.reserve(Needs {
            usage: Some(shard),
            conditions: &[Key::ShardLeader(shard)],
            ..Needs::default()
        });
        if opened && self.is_usage_small(shard) {
            return true;
        }
        let mut moved = false;
        for id in self.jobs_by_kept_bytes(shard) {
            let needs = Needs {
                usage: opened.then_some(shard),
                job: Some(JobNeed {
                    id,
                    more_changes: 0,
                }),
                conditions: &[Key::ShardLeader(shard), Key::Usage(shard)],
                ..Needs::default()
            };
            if !self.reserve(needs) {
                break;
            }
            let kept = self.cell.usage[shard].value.ends.get(&id);
            if let (Some(edit), Some(ends)) = (self.jobs.get_mut(&id), kept) {
                edit.record.finished.merge(ends);
            }
            moved = true;
        }
        moved
    }

    fn is_usage_small(&self, shard: ShardId) -> bool {
        self.usage
            .get(&shard)
            .is_some_and(|edit| size_of(&edit.record) <= self.limits.value_bytes)
    }

    /// Jobs of which the usage record keeps completions that their own records do not have, the
    /// largest sets first.
    fn jobs_by_kept_bytes(&self, shard: ShardId) -> Vec<JobId> {
        let is_copied = |id: &JobId, ends: &CompletionBitmap| {
            self.cell
                .jobs
                .get(id)
                .is_none_or(|job| job.record.finished.covers(ends))
        };
        let mut sets: Vec<(usize, JobId)> = self.cell.usage[shard]
            .value
            .ends
            .iter()
            .filter(|(id, ends)| !is_copied(id, ends))
            .map(|(id, ends)| (ends.bytes(), *id))
            .collect();
        sets.sort_unstable_by(|a, b| b.cmp(a));
        sets.into_iter().map(|(_, id)| id).collect()
    }
}

#[cfg(test)]
mod tests;
