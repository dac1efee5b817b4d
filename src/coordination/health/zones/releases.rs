//! Which machines of lost zones are released so that their tasks can be restarted elsewhere.

use crate::coordination::Controller;
use crate::storage::cell_state::Job;
use crate::storage::ids::MachineId;
use crate::storage::job::Priority;
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::time::Micros;
use std::collections::BTreeSet;

/// An unreachable machine of a lost zone with a job that would be late if its tasks waited for the lease to expire. The
/// candidate with the most urgent job sorts first; fields are compared in their order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReleaseCandidate {
    priority: Priority,
    /// Time of day by which the tasks of that job should start.
    latest_start: Micros,
    machine: MachineId,
    /// Cores of all tasks on the machine.
    cores: u64,
}

impl Controller {
    /// Machines of lost zones to release, those with the most urgent tasks first, as long as there is room elsewhere in
    /// which their tasks can start. The release of more machines would prove the loss of tasks that no other machine
    /// can run yet, while the released machines might have returned with their work done.
    pub(in crate::coordination) fn lost_machines_to_release(&self) -> BTreeSet<MachineId> {
        let mut to_release = BTreeSet::new();
        if !self.zones.any_lost() {
            return to_release;
        }
        let mut free_cores = self.cores_for_lost_tasks();
        for candidate in self.release_candidates() {
            if candidate.cores > free_cores {
                break;
            }
            free_cores -= candidate.cores;
            to_release.insert(candidate.machine);
        }
        to_release
    }

    /// Free cores outside suspected zones, less the cores for tasks of machines in lost zones that are being released.
    fn cores_for_lost_tasks(&self) -> u64 {
        let mut free_cores: u64 = 0;
        for (_, _, machine) in self.cell.machines() {
            let schedulable = machine.health == MachineHealth::Schedulable;
            let releasing = machine.health == MachineHealth::Decommissioning;
            if schedulable && !self.zones.may_be_lost(&machine.zone) {
                free_cores += self.cell.free_resources(machine).cores;
            } else if releasing && self.zones.is_lost(&machine.zone) {
                free_cores = free_cores.saturating_sub(self.assigned_cores(machine));
            }
        }
        free_cores
    }

    /// Unreachable machines of lost zones that may be released, those with the most urgent tasks first.
    fn release_candidates(&self) -> Vec<ReleaseCandidate> {
        let mut candidates: Vec<ReleaseCandidate> = self
            .cell
            .machines()
            .filter(|(_, _, machine)| {
                machine.health == MachineHealth::Unreachable && self.zones.is_lost(&machine.zone)
            })
            .filter_map(|(_, id, machine)| {
                let job = self.first_late_job(machine)?;
                Some(ReleaseCandidate {
                    priority: job.priority(),
                    latest_start: self.latest_start(job),
                    machine: id,
                    cores: self.assigned_cores(machine),
                })
            })
            .collect();
        candidates.sort_unstable();
        candidates
    }

    /// The job with the lowest id among those that would be late if their tasks on this machine waited for the lease to
    /// expire.
    fn first_late_job(&self, machine: &MachineRecord) -> Option<&Job> {
        let jobs = machine
            .tasks
            .iter()
            .map(|assignment| assignment.attempt().task.job);
        let first = jobs
            .filter(|job| self.needs_immediate_restart(*job))
            .min()?;
        self.cell.jobs.get(&first)
    }

    fn assigned_cores(&self, machine: &MachineRecord) -> u64 {
        let tasks = machine.tasks.iter();
        tasks
            .map(|assignment| self.cell.need(assignment.job).cores)
            .sum()
    }
}
