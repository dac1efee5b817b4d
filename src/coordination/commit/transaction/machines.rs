//! Machines in a transaction: additions, health changes, removals.

use super::limits::SPARE_BYTES;
use super::required_records::RequiredRecords;
use super::{GroupId, TransactionBuilder};
use crate::coordination::agents::HealthChange;
use crate::storage::ids::{MachineId, ShardId};
use crate::storage::records::{GroupRecord, Key, MachineHealth, MachineRecord};

/// Bytes of a group without machines.
const EMPTY_GROUP_BYTES: usize = 64;

/// Most bytes that a higher fenced incarnation adds to a machine's record.
const FENCED_INCARNATION_GROWTH_BYTES: usize = 6;

impl TransactionBuilder<'_> {
    /// Adds a machine whose agent registers for the first time. It is added to the first of the shard's
    /// groups that has room for it even when all machines of the group are full, otherwise to a new
    /// group. `full_record_bytes`: bytes that a full machine of a type takes.
    ///
    /// Every addition writes the shard's first group, which is never removed. So an addition with an
    /// unknown outcome cannot succeed in addition to a later one that adds the same machine to another
    /// group. An addition by an earlier leader fails because of its term.
    pub fn add(
        &mut self,
        shard: ShardId,
        machine: MachineId,
        record: MachineRecord,
        full_record_bytes: &dyn Fn(&str) -> usize,
    ) -> bool {
        let size = GroupRecord::max_machine_bytes(machine, &record);
        let size_when_full = full_record_bytes(&record.machine_type).max(size);
        for index in 0.. {
            let group = (shard, index);
            let full_bytes = self.full_bytes_of(group, full_record_bytes) + size_when_full;
            if !self.is_group_size_allowed(group, full_bytes) {
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
    fn full_bytes_of(
        &mut self,
        group: GroupId,
        full_record_bytes: &dyn Fn(&str) -> usize,
    ) -> usize {
        if let Some(bytes) = self.full_bytes.get(&group) {
            return *bytes;
        }
        let bytes = self.group(group).map_or(EMPTY_GROUP_BYTES, |record| {
            let machines = record.machines.values();
            machines
                .map(|machine| full_record_bytes(&machine.machine_type))
                .sum()
        });
        self.full_bytes.insert(group, bytes);
        bytes
    }

    /// Whether a group may take this many bytes when its machines are full. A group with a single
    /// machine may exceed the limit for groups.
    fn is_group_size_allowed(&self, group: GroupId, full_bytes: usize) -> bool {
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
        self.reserve(RequiredRecords {
            groups,
            conditions: &[Key::ShardLeader(shard)],
            ..RequiredRecords::default()
        })
    }

    /// Sets a machine's health and its fenced incarnation. `deciding_shard`: the shard whose leader
    /// decides that.
    pub fn set_health(
        &mut self,
        machine: MachineId,
        change: HealthChange,
        deciding_shard: ShardId,
    ) -> bool {
        let (Some(before), Some(group)) = (self.machine(machine), self.group_of(machine)) else {
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
        let growth = usize::from(is_fenced_anew) * FENCED_INCARNATION_GROWTH_BYTES;
        let required = RequiredRecords {
            groups: &[group],
            conditions: &[Key::ShardLeader(deciding_shard)],
            ..RequiredRecords::default()
        };
        if !self.reserve(required) || !self.grow(group, growth, 0) {
            return false;
        }
        if let Some(record) = self.machine_mut(machine) {
            record.health = health;
            record.fenced_incarnation = fenced_incarnation;
        }
        true
    }

    /// Removes a machine that no longer exists; all its assignments must have been released.
    pub fn remove(&mut self, machine: MachineId) -> bool {
        let (Some(record), Some(group)) = (self.machine(machine), self.group_of(machine)) else {
            return true;
        };
        if self.cell.is_superseded(machine) || !record.tasks.is_empty() {
            return false;
        }
        let required = RequiredRecords {
            groups: &[group],
            conditions: &[Key::ShardLeader(0)],
            ..RequiredRecords::default()
        };
        if !self.reserve(required) {
            return false;
        }
        if let Some(edit) = self.groups.get_mut(&group) {
            edit.record.machines.remove(&machine);
        }
        true
    }
}
