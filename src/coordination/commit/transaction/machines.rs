//! Machines in a transaction: additions, health changes, removals.

use super::limits::SPARE_BYTES;
use super::reservation::Needs;
use super::{GroupId, TransactionBuilder};
use crate::coordination::agents::HealthChange;
use crate::storage::ids::{MachineId, ShardId};
use crate::storage::records::{GroupRecord, Key, MachineHealth, MachineRecord};

/// Bytes of a group without machines.
const EMPTY_GROUP_BYTES: usize = 64;

/// Bytes that a higher fenced incarnation can add to a machine's record.
const INCARNATION_BYTES: usize = 6;

impl TransactionBuilder<'_> {
    /// Adds a machine whose agent registers for the first time, to the first of the shard's groups
    /// that will still have room when all of its machines are full, else to a new one. `full_size`:
    /// bytes that a machine of a type takes then.
    ///
    /// Every addition writes the shard's first group, which is never removed. So an addition with
    /// unknown outcome cannot succeed beside a later one of the same machine to another group; one
    /// of an earlier leader fails for its term.
    pub fn add(
        &mut self,
        shard: ShardId,
        machine: MachineId,
        record: MachineRecord,
        full_size: &dyn Fn(&str) -> usize,
    ) -> bool {
        let size = GroupRecord::machine_bytes(machine, &record);
        let size_when_full = full_size(&record.machine_type).max(size);
        for index in 0.. {
            let group = (shard, index);
            let full_bytes = self.full_bytes_of(group, full_size) + size_when_full;
            if !self.may_hold(group, full_bytes) {
                continue;
            }
            let exists = self.group(group).is_some();
            if !self.reserve_addition(group) {
                return false;
            }
            if self.grow(group, size, SPARE_BYTES) {
                if let Some(edit) = self.groups.get_mut(&group) {
                    edit.record.machines.insert(machine, record);
                }
                self.added.insert(machine, group);
                self.full_bytes.insert(group, full_bytes);
                return true;
            }
            if !exists {
                return false;
            }
        }
        false
    }

    /// The group as this transaction would leave it.
    fn group(&self, group: GroupId) -> Option<&GroupRecord> {
        let (shard, index) = group;
        match self.groups.get(&group) {
            Some(edit) => Some(&edit.record),
            None => self.cell.groups[shard]
                .get(&index)
                .map(|group| &group.value),
        }
    }

    /// Bytes that the machines of a group take once they are full.
    fn full_bytes_of(&mut self, group: GroupId, full_size: &dyn Fn(&str) -> usize) -> usize {
        if let Some(bytes) = self.full_bytes.get(&group) {
            return *bytes;
        }
        let bytes = self.group(group).map_or(EMPTY_GROUP_BYTES, |record| {
            let machines = record.machines.values();
            machines
                .map(|machine| full_size(&machine.machine_type))
                .sum()
        });
        self.full_bytes.insert(group, bytes);
        bytes
    }

    /// Whether a group may take so many bytes when full. One with a single machine may be larger than
    /// a group should be.
    fn may_hold(&self, group: GroupId, full_bytes: usize) -> bool {
        full_bytes <= self.limits.group_bytes
            || self
                .group(group)
                .is_none_or(|record| record.machines.is_empty())
    }

    fn reserve_addition(&mut self, group: GroupId) -> bool {
        let (shard, index) = group;
        let first_and_group = [(shard, 0), group];
        let groups = if index == 0 {
            &first_and_group[..1]
        } else {
            &first_and_group
        };
        self.reserve(Needs {
            groups,
            conditions: &[Key::ShardLeader(shard)],
            ..Needs::default()
        })
    }

    /// Sets a machine's health and its fenced incarnation. `by`: the shard whose leader decides.
    pub fn set_health(&mut self, machine: MachineId, change: HealthChange, by: ShardId) -> bool {
        let (Some(before), Some(group)) = (self.machine(machine), self.home(machine)) else {
            return true;
        };
        // A machine that may have been returned to the provider is never used again.
        let health = if before.health == MachineHealth::Decommissioning {
            MachineHealth::Decommissioning
        } else {
            change.health
        };
        let fenced_incarnation = before.fenced_incarnation.max(change.fenced_incarnation);
        if (before.health, before.fenced_incarnation) == (health, fenced_incarnation) {
            return true;
        }
        let is_fenced_anew = fenced_incarnation > before.fenced_incarnation;
        let growth = usize::from(is_fenced_anew) * INCARNATION_BYTES;
        let needs = Needs {
            groups: &[group],
            conditions: &[Key::ShardLeader(by)],
            ..Needs::default()
        };
        if !self.reserve(needs) || !self.grow(group, growth, 0) {
            return false;
        }
        if let Some(record) = self.machine_mut(machine) {
            record.health = health;
            record.fenced_incarnation = fenced_incarnation;
        }
        true
    }

    /// Removes a machine that is gone; all its assignments must have been released.
    pub fn remove(&mut self, machine: MachineId) -> bool {
        let (Some(record), Some(group)) = (self.machine(machine), self.home(machine)) else {
            return true;
        };
        if self.cell.is_superseded(machine) || !record.tasks.is_empty() {
            return false;
        }
        let needs = Needs {
            groups: &[group],
            conditions: &[Key::ShardLeader(0)],
            ..Needs::default()
        };
        if !self.reserve(needs) {
            return false;
        }
        if let Some(edit) = self.groups.get_mut(&group) {
            edit.record.machines.remove(&machine);
        }
        true
    }
}
