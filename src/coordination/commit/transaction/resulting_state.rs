//! The state of the cell as a transaction would leave it.

use super::{GroupId, TransactionBuilder};
use crate::storage::ids::{Attempt, MachineId, ShardId};
use crate::storage::job::JobSpec;
use crate::storage::records::MachineRecord;

/// Resources that are assigned to tasks of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Cores, in thousandths.
    pub cores: u64,
    /// Accelerators, in thousandths.
    pub accelerators: u64,
}

impl TeamUsage {
    /// Adds the resources that `tasks` tasks of a job need.
    pub fn add(&mut self, spec: &JobSpec, tasks: u64) {
        self.cores += tasks * spec.need.cores;
        self.accelerators += tasks * spec.need.accelerators;
    }
}

impl From<(u64, u64)> for TeamUsage {
    fn from((cores, accelerators): (u64, u64)) -> TeamUsage {
        TeamUsage {
            cores,
            accelerators,
        }
    }
}

/// How a transaction changes the usage of a team.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsageChange {
    pub assigned: TeamUsage,
    pub released: TeamUsage,
}

impl UsageChange {
    fn apply(&self, before: TeamUsage) -> TeamUsage {
        TeamUsage {
            cores: (before.cores + self.assigned.cores).saturating_sub(self.released.cores),
            accelerators: (before.accelerators + self.assigned.accelerators)
                .saturating_sub(self.released.accelerators),
        }
    }
}

impl<'a> TransactionBuilder<'a> {
    /// Whether the transaction writes this group already.
    pub fn writes_group(&self, group: GroupId) -> bool {
        self.groups.contains_key(&group)
    }

    /// Whether the transaction writes this shard's usage record already.
    pub fn writes_usage(&self, shard: ShardId) -> bool {
        self.usage.contains_key(&shard)
    }

    /// Whether the release of this assignment writes only records that the transaction writes already,
    /// or that no other controller writes.
    pub fn can_release_without_new_records(&self, machine: MachineId, attempt: Attempt) -> bool {
        let id = attempt.task.job;
        let writes_group = self
            .group_of(machine)
            .is_some_and(|group| self.writes_group(group));
        let writes_usage = || {
            self.cell
                .jobs
                .get(&id)
                .is_some_and(|job| self.writes_usage(self.cell.shard_of_job(id, job.spec())))
        };
        writes_group && (self.usage_from_groups || writes_usage())
    }

    /// The group that contains a machine.
    pub(super) fn group_of(&self, machine: MachineId) -> Option<GroupId> {
        self.added
            .get(&machine)
            .copied()
            .or_else(|| self.cell.group_of_machine(machine))
    }

    /// The machine as this transaction would leave it.
    pub fn machine(&self, machine: MachineId) -> Option<&MachineRecord> {
        match self.groups.get(&self.group_of(machine)?) {
            Some(edit) => edit.record.machines.get(&machine),
            None => self.cell.machine(machine),
        }
    }

    /// The machine's record for an edit; none if its group is not open.
    pub(super) fn machine_mut(&mut self, machine: MachineId) -> Option<&mut MachineRecord> {
        let group = self.group_of(machine)?;
        self.groups
            .get_mut(&group)?
            .record
            .machines
            .get_mut(&machine)
    }

    /// All machines of the replica as this transaction would leave them, with their groups.
    pub fn machines(&self) -> impl Iterator<Item = (GroupId, MachineId, &MachineRecord)> {
        self.cell
            .groups
            .iter()
            .enumerate()
            .flat_map(|(shard, groups)| {
                groups
                    .iter()
                    .map(move |(index, group)| ((shard, *index), &group.value))
            })
            .map(|(id, before)| (id, self.groups.get(&id).map_or(before, |edit| &edit.record)))
            .flat_map(|(id, group)| {
                group
                    .machines
                    .iter()
                    .map(move |(machine, record)| (id, *machine, record))
            })
    }

    /// What would be assigned to tasks of a team that belongs to this shard.
    pub fn used(&self, shard: ShardId, team: &str) -> TeamUsage {
        if !self.usage_from_groups {
            let record = self
                .usage
                .get(&shard)
                .map_or(&self.cell.usage[shard].value, |edit| &edit.record);
            return record.assigned_to(team).into();
        }
        let change = self.usage_changes.get(team).copied().unwrap_or_default();
        change.apply(self.cell.assigned_to_team(shard, team).into())
    }

    /// Adds an assigned task to its team's usage.
    pub(super) fn add_usage(&mut self, shard: ShardId, spec: &'a JobSpec) {
        if !self.usage_from_groups
            && let Some(edit) = self.usage.get_mut(&shard)
        {
            edit.record
                .add(&spec.team, spec.need.cores, spec.need.accelerators);
        }
        let change = self.usage_changes.entry(&spec.team).or_default();
        change.assigned.add(spec, 1);
    }

    /// Subtracts a released task from its team's usage.
    pub(super) fn subtract_usage(&mut self, shard: ShardId, spec: &'a JobSpec) {
        if !self.usage_from_groups
            && let Some(edit) = self.usage.get_mut(&shard)
        {
            edit.record
                .subtract(&spec.team, spec.need.cores, spec.need.accelerators);
        }
        let change = self.usage_changes.entry(&spec.team).or_default();
        change.released.add(spec, 1);
    }
}
