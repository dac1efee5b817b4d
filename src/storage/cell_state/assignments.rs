//! Index of the assignments of all machines, by job and task.

use crate::storage::ids::{JobId, MachineId};
use crate::storage::records::MachineRecord;
use std::collections::{BTreeMap, HashMap};

/// Where a task is assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The machine.
    pub machine: MachineId,
    /// Number of the attempt.
    pub attempt_number: u64,
}

/// Places of the assigned tasks, by job and task number; jobs without assigned tasks have no entry.
#[derive(Debug, Default)]
pub(super) struct AssignmentIndex(HashMap<JobId, BTreeMap<u32, Place>>);

impl AssignmentIndex {
    /// Adds all assignments of a machine. They replace assignments of the same tasks to other machines.
    pub(super) fn add(&mut self, machine: MachineId, record: &MachineRecord) {
        for assignment in &record.tasks {
            let place = Place {
                machine,
                attempt_number: assignment.attempt_number,
            };
            self.0
                .entry(assignment.job)
                .or_default()
                .insert(assignment.index, place);
        }
    }

    /// Removes all assignments of a machine.
    pub(super) fn remove(&mut self, machine: MachineId, record: &MachineRecord) {
        for assignment in &record.tasks {
            let place = Place {
                machine,
                attempt_number: assignment.attempt_number,
            };
            let Some(tasks) = self.0.get_mut(&assignment.job) else {
                continue;
            };
            // A task that was moved to another machine is already indexed at its new place.
            if tasks.get(&assignment.index) == Some(&place) {
                tasks.remove(&assignment.index);
            }
            if tasks.is_empty() {
                self.0.remove(&assignment.job);
            }
        }
    }

    /// The places of a job's assigned tasks, by task number.
    pub(super) fn of_job(&self, job: JobId) -> Option<&BTreeMap<u32, Place>> {
        self.0.get(&job)
    }

    /// All jobs with assigned tasks, and the number of those tasks.
    pub(super) fn task_counts(&self) -> impl Iterator<Item = (JobId, u64)> {
        self.0.iter().map(|(job, tasks)| (*job, tasks.len() as u64))
    }
}
