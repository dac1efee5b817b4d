//! Sets of tasks that belong together but are assigned in parts, since one transaction can't write
//! as many groups as they need.

use crate::coordination::Controller;
use crate::storage::ids::JobId;
use crate::storage::job::JobSpec;
use crate::storage::records::{MachineHealth, MachineRecord};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// Groups that one transaction can write beside a usage record.
    fn max_groups_of_round(&self) -> usize {
        self.limits.max_changes() - 1
    }

    /// Whether there is room for all tasks of a set, but not on as many groups as one transaction can
    /// write. Then it is assigned in parts, round after round: a gang's tasks wait for each other.
    pub(super) fn needs_parts(&self, id: JobId, spec: &JobSpec) -> bool {
        if !spec.runs_all_tasks_at_once() {
            return false;
        }
        let tasks = u64::from(spec.task_count);
        let is_allowed = |record: &MachineRecord| {
            record.health == MachineHealth::Schedulable
                && spec.allows(&record.machine_type, &record.zone, record.spot)
        };
        let mut room_by_group: BTreeMap<_, u64> = BTreeMap::new();
        for (_, machine, record) in self.cell.machines() {
            if is_allowed(record) && self.rules_allow_machine(id, machine) {
                let room = spec.need.times_in(&self.cell.free(record), tasks);
                *room_by_group
                    .entry(self.cell.group_of_machine(machine))
                    .or_default() += room;
            }
        }
        let mut room: Vec<u64> = room_by_group.into_values().collect();
        room.sort_unstable_by_key(|tasks| Reverse(*tasks));
        let room_of_round: u64 = room.iter().take(self.max_groups_of_round()).sum();
        room_of_round < tasks && room.iter().sum::<u64>() >= tasks
    }

    /// Whether a set is assigned on as many groups as one transaction can write: then it may be one
    /// that is assigned in parts.
    pub(super) fn is_in_parts(&self, id: JobId) -> bool {
        let groups: BTreeSet<_> = self
            .cell
            .assigned(id)
            .into_iter()
            .flat_map(|assigned| assigned.values())
            .filter_map(|place| self.cell.group_of_machine(place.machine))
            .collect();
        groups.len() >= self.max_groups_of_round()
    }
}
