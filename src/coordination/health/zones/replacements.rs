//! Which tasks in lost zones need machines elsewhere before it is proved that they have ended.

use crate::coordination::Controller;
use crate::storage::cell_state::Job;
use crate::storage::ids::JobId;
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::time::Micros;
use std::collections::HashMap;

impl Controller {
    /// The number of tasks of each job for which machines are to be provisioned elsewhere: tasks in lost zones that would
    /// be late if they waited for the lease there to expire and then for a machine to boot. Tasks with more time may still
    /// return with their zone, or use the room of tasks that end.
    pub(in crate::coordination) fn tasks_to_replace(&self) -> HashMap<JobId, u64> {
        if !self.zones.any_lost() {
            return HashMap::new();
        }
        let mut lost_tasks = self.tasks_in_lost_zones();
        let earliest_replacement = self.earliest_replacement();
        lost_tasks.retain(|id, _| {
            self.cell.jobs.get(id).is_some_and(|job| {
                !job.is_cancelled() && self.latest_start(job) < earliest_replacement
            })
        });
        self.subtract_placeable(&mut lost_tasks);
        lost_tasks
    }

    /// Time of day by which a machine would be up if it were requested when the leases in a lost zone have expired.
    fn earliest_replacement(&self) -> Micros {
        let types = self.cell.machine_types();
        let slowest_boot = types
            .map(|machine_type| self.expected_boot_time(&machine_type.name))
            .max()
            .unwrap_or_default();
        self.now.time_of_day + self.settings.agent_lease + slowest_boot
    }

    fn tasks_in_lost_zones(&self) -> HashMap<JobId, u64> {
        let mut tasks = HashMap::new();
        for (_, _, machine) in self.cell.machines() {
            if machine.health == MachineHealth::Unreachable && self.zones.is_lost(&machine.zone) {
                for assignment in &machine.tasks {
                    *tasks.entry(assignment.job).or_default() += 1;
                }
            }
        }
        tasks
    }

    /// Subtracts the tasks that will find room on existing machines. None of them can be assigned before the leases
    /// expire, and by then other tasks have ended. The jobs with the most time left get this room.
    fn subtract_placeable(&self, lost_tasks: &mut HashMap<JobId, u64>) {
        let mut free_cores = self.free_cores_after_leases();
        let mut by_latest_start: Vec<(Micros, JobId)> = lost_tasks
            .keys()
            .filter_map(|id| Some((self.latest_start(self.cell.jobs.get(id)?), *id)))
            .collect();
        by_latest_start.sort_unstable();
        for (_, id) in by_latest_start.into_iter().rev() {
            let cores_per_task = self.cell.need(id).cores.max(1);
            if let Some(tasks) = lost_tasks.get_mut(&id) {
                let placeable = (*tasks).min(free_cores / cores_per_task);
                free_cores -= placeable * cores_per_task;
                *tasks -= placeable;
            }
        }
    }

    /// An estimate of the cores that are free outside lost zones when the current leases have expired: the cores that are
    /// free now and those of tasks that are expected to end by then, less the cores for tasks that wait and tasks that are
    /// expected to be submitted.
    fn free_cores_after_leases(&self) -> u64 {
        let free: u64 = self
            .cell
            .schedulable_machines()
            .map(|(_, machine)| {
                self.cell.free_resources(machine).cores + self.cores_ending_within_lease(machine)
            })
            .sum();
        free.saturating_sub(self.expected_demand())
    }

    /// Cores of a machine's tasks that are expected to end within a lease.
    fn cores_ending_within_lease(&self, machine: &MachineRecord) -> u64 {
        machine
            .tasks
            .iter()
            .filter_map(|assignment| self.cell.jobs.get(&assignment.job))
            .map(|job| self.cores_per_task_ending_within_lease(job))
            .sum()
    }

    /// The cores of a task, scaled by the fraction of its estimated runtime that the lease covers. The start time of the task
    /// is not recorded, but it cannot be before its job was submitted.
    fn cores_per_task_ending_within_lease(&self, job: &Job) -> u64 {
        let lease = self.settings.agent_lease;
        let spec = job.spec();
        let runtime = spec.estimated_runtime;
        if self.now.time_of_day.since(job.record.submitted) + lease < runtime {
            return 0;
        }
        let covered = u128::from(lease.0.min(runtime.0));
        (u128::from(spec.need.cores) * covered / u128::from(runtime.0.max(1))) as u64
    }

    /// Cores of the tasks that wait now, and of as many tasks as were submitted within the last lease duration.
    fn expected_demand(&self) -> u64 {
        let lease = self.settings.agent_lease;
        let live = self.cell.jobs.iter().filter(|(_, job)| !job.is_cancelled());
        live.map(|(id, job)| {
            let spec = job.spec();
            let submitted_lately = self.now.time_of_day.since(job.record.submitted) < lease;
            let tasks = if submitted_lately {
                spec.task_count
            } else {
                self.cell.pending_count(*id, job)
            };
            u64::from(tasks) * spec.need.cores
        })
        .sum()
    }
}
