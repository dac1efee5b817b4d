//! The machines' agents: their incarnations, the commands that they get, and when an assignment may be released.
//!
//! An assignment is released only on proof that its attempt is not on the machine and cannot get there:
//! see `docs/design.md`, "When an assignment may be released".

mod agent;
pub(super) mod cancellations;
mod commands;
mod heartbeats;
mod launch_policy;
mod launches;
mod liveness;
mod push;

pub use agent::Agent;

use crate::coordination::Controller;
use crate::storage::ids::{JobId, MachineId, ShardId};
use crate::storage::records::{Assignment, MachineHealth};

/// Why an assignment is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssignmentOutcome {
    /// The task completed.
    Done,
    /// The task failed on its machine.
    Failed,
    /// The task is not on the machine and cannot get there any more: it is assigned again.
    Reassign,
}

/// A change to a machine's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthChange {
    /// The new health.
    pub health: MachineHealth,
    /// Agent incarnations up to this one have ended.
    pub fenced_incarnation: u64,
}

impl Controller {
    /// Lower bound for the number of removed machines that are remembered, for small fleets.
    const MIN_REMEMBERED_REMOVED_MACHINES: usize = 4_096;
    /// Number of removed machines that are remembered for each machine of the largest fleet so far: all machines may be replaced,
    /// and the replacements removed as well, while heartbeats are still in flight.
    const REMEMBERED_REMOVALS_PER_MACHINE: usize = 2;

    /// How many removed machines are remembered.
    fn max_remembered_removed_machines(&self) -> usize {
        Self::MIN_REMEMBERED_REMOVED_MACHINES
            .max(self.max_agents_served * Self::REMEMBERED_REMOVALS_PER_MACHINE)
    }

    /// Begins a term as the leader of a shard: nothing is proved about its agents yet.
    pub(super) fn register_agents_of_shard(&mut self, shard: ShardId) {
        self.drop_agents_of_shard(shard);
        let agents = self
            .cell
            .machines_of_shard(shard)
            .map(|(machine, record)| (machine, Agent::from_record(record)));
        self.agents.extend(agents);
    }

    /// Ends the term as the leader of a shard: its agents and the requests for its machines are dropped.
    pub(super) fn drop_agents_of_shard(&mut self, shard: ShardId) {
        let cell = &self.cell;
        let is_of_shard = |machine: MachineId| cell.shard_of_machine(machine) == shard;
        self.agents.retain(|machine, _| !is_of_shard(*machine));
        self.rounds.drop_requests_for_machines(is_of_shard);
    }

    /// Handles a changed or removed machine record.
    pub(super) fn on_machine_changed(&mut self, machine: MachineId) {
        if !self.leads(self.cell.shard_of_machine(machine)) {
            return;
        }
        let Some(agent) = self.agents.get_mut(&machine) else {
            return;
        };
        let Some(record) = self.cell.machine(machine) else {
            self.forget_removed_machine(machine);
            return;
        };
        let has_new_assignment = |tasks: &[Assignment]| {
            tasks
                .iter()
                .any(|assignment| !agent.launches().was_sent(&assignment.attempt()))
        };
        if !record.preempted.is_empty() || has_new_assignment(&record.tasks) {
            self.agents_to_command.insert(machine);
        }
        agent
            .launches_mut()
            .retain_sent(|attempt| record.tasks.contains(&Assignment::of(*attempt)));
    }

    /// Drops a removed machine's agent, and remembers the machine: a late heartbeat must not add it again.
    fn forget_removed_machine(&mut self, machine: MachineId) {
        self.max_agents_served = self.max_agents_served.max(self.agents.len());
        self.agents.remove(&machine);
        self.removed_machines.insert(machine);
        if self.removed_machines.len() > self.max_remembered_removed_machines() {
            self.removed_machines.pop_first();
        }
    }

    /// Handles a changed or removed job record.
    pub(super) fn on_job_changed(&mut self, id: JobId) {
        let Some(job) = self.cell.jobs.get(&id) else {
            self.rounds.clear_suspect(id);
            return;
        };
        let cancelled = job.is_cancelled();
        if cancelled {
            self.cancellations
                .record(id, self.replica.previous_contact());
        }
        let (suspect, errors) = (job.is_suspect(), job.record.failures);
        self.update_suspicion(id, suspect, errors);
        if cancelled {
            self.command_machines_of(id);
        }
    }

    /// Updates whether a job is suspect. It is suspect while its tasks fail on several machines and none completes.
    fn update_suspicion(&mut self, id: JobId, suspect: bool, errors: u32) {
        if suspect {
            if self.rounds.mark_suspect(id, errors, self.now.monotonic) {
                tracing::info!(job = %id, errors, "job suspect");
                self.lift_quarantine(id);
            }
        } else if self.rounds.clear_suspect(id) {
            tracing::info!(job = %id, "job no longer suspect");
        }
    }

    /// Schedules commands for the agents of the machines to which tasks of the job are assigned.
    fn command_machines_of(&mut self, id: JobId) {
        let places = self.cell.assigned(id).into_iter().flat_map(|p| p.values());
        self.agents_to_command
            .extend(places.map(|place| place.machine));
    }

    /// Discards the failures of a suspect job, which no longer count against the machines on which it failed.
    fn lift_quarantine(&mut self, job: JobId) {
        for (machine, agent) in &mut self.agents {
            if agent.discard_failures_of(job) {
                tracing::info!(%machine, %job, "machine quarantine lifted");
            }
        }
    }
}
