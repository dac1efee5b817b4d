//! Assignments in a transaction.

use super::limits::SPARE_BYTES;
use super::required_records::{GroupGrowth, RequiredRecords};
use super::{MachineAttempt, TransactionBuilder};
use crate::storage::ids::{Attempt, MachineId};
use crate::storage::job::JobSpec;
use crate::storage::records::{Assignment, GroupRecord, Key};

impl<'a> TransactionBuilder<'a> {
    /// Assigns an attempt of a task to a machine.
    pub fn assign(&mut self, machine: MachineId, attempt: Attempt) -> bool {
        let id = attempt.task.job;
        let cell = self.cell;
        let (Some(job), Some(group)) = (cell.jobs.get(&id), self.group_of(machine)) else {
            return false;
        };
        let spec = job.spec();
        let shard = cell.shard_of_job(id, spec);
        let required = RequiredRecords {
            groups: &[group],
            growth: Some(GroupGrowth {
                group,
                bytes: GroupRecord::max_assignment_bytes(&attempt, &spec.image, spec.image_size),
                spare: SPARE_BYTES,
                attempt_number: attempt.number,
            }),
            usage: Some(shard),
            conditions: &[Key::ShardLeader(shard), Key::Job(id), Key::Meta],
            ..RequiredRecords::default()
        };
        if !self.reserve(required) {
            return false;
        }
        if !self.push_assignment(machine, attempt, spec) {
            return false;
        }
        self.add_usage(shard, spec);
        true
    }

    /// Adds the assignment to the machine's record; false if the group does not contain the machine.
    fn push_assignment(&mut self, machine: MachineId, attempt: Attempt, spec: &JobSpec) -> bool {
        let cell = self.cell;
        let Some(record) = self.machine_mut(machine) else {
            return false;
        };
        record.tasks.push(Assignment::of(attempt));
        let cache_bytes = cell
            .machine_type(&record.machine_type)
            .map_or(0, |machine_type| machine_type.cache_size);
        record.record_image_use(&spec.image, spec.image_size, cache_bytes);
        true
    }

    /// Assigns tasks to a machine on which others are preempted for them: all or nothing, since without
    /// the preemptions the machine would be assigned more than its capacity.
    pub fn assign_preempting(
        &mut self,
        machine: MachineId,
        victims: &[Assignment],
        tasks: &[Attempt],
    ) -> bool {
        let mut copy = self.clone();
        let Some(group) = self.group_of(machine) else {
            return false;
        };
        let growth = GroupRecord::MAX_PREEMPTED_ENTRY_BYTES * victims.len();
        let assigns_all = tasks.iter().all(|attempt| copy.assign(machine, *attempt));
        if !assigns_all || !copy.grow(group, growth, SPARE_BYTES) {
            self.groups_without_room.extend(copy.groups_without_room);
            return false;
        }
        let Some(record) = copy.machine_mut(machine) else {
            return false;
        };
        for victim in victims {
            if !record.tasks.contains(victim) || record.preempted.contains(victim) {
                return false;
            }
            record.preempted.push(*victim);
        }
        *self = copy;
        true
    }

    /// Assigns all tasks of a gang, or none.
    pub fn assign_gang(&mut self, gang: &[MachineAttempt]) -> bool {
        let mut copy = self.clone();
        let assigns_all = gang
            .iter()
            .all(|assignment| copy.assign(assignment.machine, assignment.attempt));
        if assigns_all {
            *self = copy;
        } else {
            self.groups_without_room.extend(copy.groups_without_room);
        }
        assigns_all
    }
}
