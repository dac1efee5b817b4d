//! Replacement of a machine group, and the indexes of its machines.
//!
//! Machines are only moved from a group that is too large to a group with a higher index. If two groups list the same
//! machine, the entry in the higher group is valid: the lower group was read before the machine was removed from it, or
//! could no longer be written.

use super::assignments::AssignmentIndex;
use super::{CellChanges, CellState, Versioned};
use crate::storage::ids::{GroupIndex, MachineId, ShardId};
use crate::storage::machine_classes::Classes;
use crate::storage::records::{GroupRecord, MachineRecord};
use std::collections::{BTreeMap, HashMap};

type Machines = BTreeMap<MachineId, MachineRecord>;

/// Which group of its shard each machine belongs to.
#[derive(Debug, Default)]
pub(super) struct MachineLocations {
    group_of: HashMap<MachineId, GroupIndex>,
    /// Machines that were moved to a higher group, and the lower group whose record still lists them.
    superseded: HashMap<MachineId, GroupIndex>,
}

impl MachineLocations {
    /// The group that a machine belongs to.
    pub(super) fn group_of(&self, machine: MachineId) -> Option<GroupIndex> {
        self.group_of.get(&machine).copied()
    }

    /// Whether a lower group still lists the machine.
    pub(super) fn is_superseded(&self, machine: MachineId) -> bool {
        self.superseded.contains_key(&machine)
    }

    /// Discards the superseded entries of a group that is about to be replaced. `in_shard`: whether a machine belongs
    /// to the group's shard, since other shards have groups with the same index.
    fn discard_superseded(&mut self, group: GroupIndex, in_shard: impl Fn(MachineId) -> bool) {
        self.superseded
            .retain(|machine, listed_in| *listed_in != group || !in_shard(*machine));
    }

    /// Removes from a group's new machines those that already belong to a higher group.
    fn drop_superseded(&mut self, group: GroupIndex, machines: &mut Machines) {
        machines.retain(|machine, _| {
            let is_in_higher = self
                .group_of
                .get(machine)
                .is_some_and(|other| *other > group);
            if is_in_higher {
                self.superseded.insert(*machine, group);
            }
            !is_in_higher
        });
    }

    /// Records that the lower group that a machine of `group` was moved from still lists the machine; returns that
    /// lower group, or `None` if the machine was not moved.
    fn supersede_in_lower_group(
        &mut self,
        machine: MachineId,
        group: GroupIndex,
    ) -> Option<GroupIndex> {
        let lower = self.group_of(machine).filter(|other| *other < group)?;
        self.superseded.insert(machine, lower);
        Some(lower)
    }
}

/// Updates the indexes from a group's old machines to its new ones.
struct GroupIndexer<'a> {
    group: GroupIndex,
    locations: &'a mut MachineLocations,
    assignments: &'a mut AssignmentIndex,
    classes: &'a mut Classes,
    changed: &'a mut Vec<MachineId>,
}

impl GroupIndexer<'_> {
    /// Removes machines that changed or are no longer in the group from the indexes.
    fn remove_outdated(&mut self, before: &Machines, after: &Machines) {
        for (machine, old) in before {
            let new = after.get(machine);
            if new == Some(old) {
                continue;
            }
            self.changed.push(*machine);
            let belongs_to = self.locations.group_of(*machine);
            if belongs_to.is_some_and(|other| other != self.group) {
                // The machine was moved to another group, and is indexed there.
                continue;
            }
            self.assignments.remove(*machine, old);
            if new.is_none() && belongs_to == Some(self.group) {
                self.locations.group_of.remove(machine);
                self.classes.remove(*machine);
            }
        }
    }

    /// Adds machines that changed or are new in the group to the indexes.
    fn add_updated(&mut self, before: &Machines, after: &Machines) {
        for (machine, new) in after {
            let old = before.get(machine);
            if old == Some(new) {
                continue;
            }
            if old.is_none() {
                self.changed.push(*machine);
                self.locations.group_of.insert(*machine, self.group);
                self.classes.add(*machine, new);
            }
            self.assignments.add(*machine, new);
        }
    }
}

impl CellState {
    /// Replaces a group, and updates the indexes for the machines that changed.
    pub(super) fn replace_group(
        &mut self,
        shard: ShardId,
        group: GroupIndex,
        mut new: Option<Versioned<GroupRecord>>,
        changes_seen: &mut CellChanges,
    ) {
        let shards = self.shards();
        self.locations
            .discard_superseded(group, |machine| shard_of(machine, shards) == shard);
        if let Some(new) = &mut new {
            let machines = &mut new.value.machines;
            self.locations.drop_superseded(group, machines);
            self.remove_from_lower_groups(shard, group, machines);
        }
        let groups = &mut self.groups[shard];
        let old = match new {
            Some(new) => groups.insert(group, new),
            None => groups.remove(&group),
        };
        let no_machines = Machines::new();
        let before = old.as_ref().map_or(&no_machines, |old| &old.value.machines);
        let after = groups
            .get(&group)
            .map_or(&no_machines, |new| &new.value.machines);
        let mut indexer = GroupIndexer {
            group,
            locations: &mut self.locations,
            assignments: &mut self.assignments,
            classes: &mut self.classes,
            changed: &mut changes_seen.machines,
        };
        indexer.remove_outdated(before, after);
        indexer.add_updated(before, after);
    }

    /// Removes machines from the lower groups that they were moved from.
    fn remove_from_lower_groups(&mut self, shard: ShardId, group: GroupIndex, machines: &Machines) {
        for machine in machines.keys() {
            let Some(lower) = self.locations.supersede_in_lower_group(*machine, group) else {
                continue;
            };
            let moved = self.groups[shard]
                .get_mut(&lower)
                .and_then(|record| record.value.machines.remove(machine));
            if let Some(record) = moved {
                self.assignments.remove(*machine, &record);
            }
        }
    }
}

/// The shard of a machine; `shards`: the number of shards.
pub(super) fn shard_of(machine: MachineId, shards: usize) -> ShardId {
    (machine.0 % shards.max(1) as u64) as ShardId
}
