//! Gangs that are assigned in parts, since one transaction cannot write as many machine groups as
//! they need.

use crate::coordination::Controller;
use crate::storage::ids::JobId;
use crate::storage::job::JobSpec;
use crate::storage::records::{MachineHealth, MachineRecord};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// Machine groups that one transaction can write in addition to a usage record.
    fn max_groups_per_round(&self) -> usize {
        self.limits.max_changes() - 1
    }

    /// Whether there is free capacity for all tasks of a gang, but not on as many machine groups as one
    /// transaction can write at most. Such a gang is assigned in parts, over several rounds: the tasks that
    /// are assigned first wait for the others.
    pub(super) fn must_be_assigned_in_parts(&self, id: JobId, spec: &JobSpec) -> bool {
        if !spec.runs_all_tasks_at_once() {
            return false;
        }
        let tasks = u64::from(spec.task_count);
        let is_allowed = |record: &MachineRecord| {
            record.health == MachineHealth::Schedulable
                && spec.allows(&record.machine_type, &record.zone, record.spot)
        };
        let mut fitting_tasks_by_group: BTreeMap<_, u64> = BTreeMap::new();
        for (_, machine, record) in self.cell.machines() {
            if is_allowed(record) && self.rules_allow_machine(id, machine) {
                let fitting = spec
                    .need
                    .count_fitting_in(&self.cell.free_resources(record), tasks);
                *fitting_tasks_by_group
                    .entry(self.cell.group_of_machine(machine))
                    .or_default() += fitting;
            }
        }
        let mut fitting_tasks: Vec<u64> = fitting_tasks_by_group.into_values().collect();
        fitting_tasks.sort_unstable_by_key(|tasks| Reverse(*tasks));
        let fitting_tasks_per_round: u64 =
            fitting_tasks.iter().take(self.max_groups_per_round()).sum();
        fitting_tasks_per_round < tasks && fitting_tasks.iter().sum::<u64>() >= tasks
    }

    /// Whether a gang is assigned on at least as many machine groups as one transaction can write. If
    /// so, it may be one that is assigned in parts.
    pub(super) fn is_assigned_in_parts(&self, id: JobId) -> bool {
        let groups: BTreeSet<_> = self
            .cell
            .assigned(id)
            .into_iter()
            .flat_map(|assigned| assigned.values())
            .filter_map(|place| self.cell.group_of_machine(place.machine))
            .collect();
        groups.len() >= self.max_groups_per_round()
    }
}
