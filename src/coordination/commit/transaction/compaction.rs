//! Values that were written under larger limits than the state service will have, or has by now: they
//! are brought down in steps that are each complete.

use super::{GroupEdit, Needs, TransactionBuilder, size_of};
use crate::storage::cell_state::CellState;
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::{GroupIndex, JobId, MachineId, ShardId};
use crate::storage::records::{GroupRecord, Key, ShardLeaderRecord};

/// Whether the view has this record larger than `most` bytes.
pub fn too_large(cell: &CellState, key: &Key, most: usize) -> bool {
    match key {
        Key::Group(k, n) => cell.groups[*k]
            .get(n)
            .is_some_and(|g| size_of(&g.value) > most),
        Key::Usage(k) => size_of(&cell.usage[*k].value) > most,
        _ => false,
    }
}

impl TransactionBuilder<'_> {
    /// A step that makes a value smaller; false if none is possible. The draft must be empty.
    pub fn compact(
        &mut self,
        key: &Key,
        leader_record: &ShardLeaderRecord,
        full: &dyn Fn(&str) -> usize,
    ) -> bool {
        match key {
            Key::Group(k, n) => self.shrink_group(*k, *n, leader_record, full),
            Key::Usage(k) => self.shrink_usage(*k),
            _ => false,
        }
    }

    /// Moves machines of a group to new ones. If it is too large to be written at all they are copied,
    /// and the copies count, until what is left can be written: see [`CellState::is_stale`]. Every step of
    /// that raises the slice's term, on which whoever writes to its groups relies: so nothing that was
    /// planned on the group itself can still be applied, nor the same step twice.
    fn shrink_group(
        &mut self,
        k: ShardId,
        n: GroupIndex,
        leader_record: &ShardLeaderRecord,
        full: &dyn Fn(&str) -> usize,
    ) -> bool {
        let Some(group) = self.cell.groups[k].get(&n) else {
            return false;
        };
        let mut rest = GroupRecord {
            terse: self.terse,
            ..group.value.clone()
        };
        let size = size_of(&rest);
        let writable = size <= self.limits.taken_bytes;
        // The group itself, or the term, takes one change.
        let parts = self.limits.ops - 1;
        let mut new: Vec<GroupRecord> = Vec::new();
        let mut bytes = size;
        let mut left = 0;
        let machines: Vec<MachineId> = group.value.machines.keys().rev().copied().collect();
        for m in machines {
            if size_of(&rest) <= self.limits.value_bytes.min(self.limits.part_bytes) {
                break;
            }
            let Some(record) = rest.machines.get(&m).cloned() else {
                continue;
            };
            let mut alone = GroupRecord {
                terse: self.terse,
                ..GroupRecord::default()
            };
            alone.machines.insert(m, record);
            let takes = size_of(&alone);
            // Once full it may take more than now. One that has no room alone stays.
            let expected = alone
                .machines
                .values()
                .map(|r| full(&r.machine_type))
                .sum::<usize>()
                .max(takes);
            if takes + super::SPARE_BYTES / 2 > self.limits.value_bytes {
                continue;
            }
            if new.is_empty() || expected > left || bytes + takes > super::TXN_BYTES {
                if new.len() >= parts || bytes + takes > super::TXN_BYTES {
                    break;
                }
                new.push(GroupRecord {
                    terse: self.terse,
                    ..GroupRecord::default()
                });
                left = self.limits.part_bytes;
            }
            left = left.saturating_sub(expected);
            bytes += takes;
            rest.machines.remove(&m);
            if let Some(g) = new.last_mut() {
                g.machines.append(&mut alone.machines);
            }
        }
        let fits = size_of(&rest) <= self.limits.value_bytes;
        if new.is_empty() && !fits {
            return false;
        }
        let writes = writable || fits;
        let next = self.cell.groups[k]
            .keys()
            .next_back()
            .map_or(0, |last| last + 1);
        let most = self.limits.value_bytes;
        for (n, record) in (next..).zip(new) {
            let edit = GroupEdit {
                bytes: size_of(&record),
                record,
                most,
                pruned: false,
            };
            self.groups.insert((k, n), edit);
        }
        self.conditions
            .extend([Key::ShardLeader(k), Key::Group(k, n)]);
        if writes {
            self.groups.insert(
                (k, n),
                GroupEdit {
                    bytes: size_of(&rest),
                    record: rest,
                    most: size,
                    pruned: false,
                },
            );
        } else {
            self.raise = Some((k, leader_record.clone()));
        }
        true
    }

    /// Moves ends of tasks from a usage record to the records of their jobs, the largest sets first. If
    /// it is too large to be written they are copied: a job's ends are those of both, and what its own
    /// record has is left out as soon as the rest can be written.
    fn shrink_usage(&mut self, k: ShardId) -> bool {
        let usage = &self.cell.usage[k];
        let conditions = &[Key::ShardLeader(k)];
        let opened = self.reserve(Needs {
            usage: Some(k),
            conditions,
            ..Needs::default()
        });
        if opened
            && self
                .usage
                .get(&k)
                .is_some_and(|u| size_of(&u.record) <= self.limits.value_bytes)
        {
            return true;
        }
        let copied = |id: &JobId, ends: &CompletionBitmap| {
            self.cell
                .jobs
                .get(id)
                .is_none_or(|j| j.record.finished.covers(ends))
        };
        let mut sets: Vec<(usize, JobId)> = usage
            .value
            .ends
            .iter()
            .filter(|(id, ends)| !copied(id, ends))
            .map(|(id, ends)| (ends.bytes(), *id))
            .collect();
        sets.sort_unstable_by(|a, b| b.cmp(a));
        let mut moved = false;
        for (_, id) in sets {
            let conditions = &[Key::ShardLeader(k), Key::Usage(k)];
            if !self.reserve(Needs {
                usage: opened.then_some(k),
                job: Some((id, 0)),
                conditions,
                ..Needs::default()
            }) {
                break;
            }
            if let (Some(j), Some(ends)) = (self.jobs.get_mut(&id), usage.value.ends.get(&id)) {
                j.record.finished.merge(ends);
            }
            moved = true;
        }
        moved
    }
}

#[cfg(test)]
mod tests;
