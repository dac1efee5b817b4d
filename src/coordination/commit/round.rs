//! What goes into a full round, in this order: machines that are gone, releases, health changes,
//! additions, ends of jobs, assignments; within the limits of a transaction.

use super::{PlannedRound, RoundScope};
use crate::coordination::Controller;
use crate::coordination::agents::{HealthChange, Outcome};
use crate::coordination::commit::transaction::{TransactionBuilder, TransactionLimits};
use crate::storage::cell_state::Job;
use crate::storage::ids::{JobId, ShardId};
use crate::storage::records::{GroupRecord, MachineHealth};
use std::collections::BTreeMap;

/// The shard whose leader owns the fleet.
const FLEET_SHARD: ShardId = 0;

impl Controller {
    /// Plans the next round; none if there is nothing to write.
    pub(super) fn plan_round(
        &mut self,
        limits: TransactionLimits,
        scope: RoundScope,
    ) -> Option<PlannedRound> {
        self.rounds.drop_applied(&self.cell);
        // Every other round at most: urgent work may arrive without end.
        if !self.rounds.set_urgent(false)
            && let Some(planned) = self.plan_urgent_round(limits)
        {
            self.rounds.set_urgent(true);
            return Some(planned);
        }
        if scope == RoundScope::UrgentOnly {
            return None;
        }
        // Every other round, too: nothing is assigned to an oversized record, but work elsewhere
        // goes on.
        if !self.rounds.set_compaction(false)
            && let Some(planned) = self.plan_compaction_round(limits)
        {
            self.rounds.set_compaction(true);
            return Some(planned);
        }
        self.plan_full_round(limits)
    }

    fn plan_full_round(&mut self, limits: TransactionLimits) -> Option<PlannedRound> {
        // Where a transaction holds few changes, releases would leave no room for assignments for as
        // long as tasks end, and the other way round: they take turns.
        let assignments_first = self.rounds.set_assignments_first(false);
        let mut transaction = TransactionBuilder::new(&self.cell, limits);
        let mut released = self.remove_gone_machines(&mut transaction);
        let mut assigned = Vec::new();
        if assignments_first {
            assigned = self.assign(&mut transaction, RoundScope::All);
        }
        released += self.release_assignments(&mut transaction);
        let filled = transaction.changes_left() == 0;
        self.change_health(&mut transaction);
        self.add_machines(&mut transaction);
        self.decommission_machines(&mut transaction);
        self.end_jobs(&mut transaction);
        self.settle_completions(&mut transaction);
        if !assignments_first {
            assigned = self.assign(&mut transaction, RoundScope::All);
        }
        if transaction.is_empty() {
            return None;
        }
        let planned = PlannedRound {
            commit: transaction.commit(),
            assigned,
            released,
        };
        self.rounds
            .set_assignments_first(filled && planned.assigned.is_empty());
        Some(planned)
    }

    /// Releases what is assigned to machines that are gone, and removes those that are then empty;
    /// how many assignments were to be released.
    fn remove_gone_machines(&self, transaction: &mut TransactionBuilder<'_>) -> usize {
        let mut released = 0;
        for machine in self.rounds.machines_gone() {
            let Some(record) = self.cell.machine(*machine) else {
                continue;
            };
            let mut all_released = true;
            for assignment in &record.tasks {
                let attempt = assignment.attempt();
                all_released &=
                    transaction.release(*machine, attempt, Outcome::Reassign, FLEET_SHARD);
                released += 1;
            }
            if all_released {
                transaction.remove(*machine);
            }
        }
        released
    }

    /// Releases assignments whose end is proven; how many the transaction has room for.
    fn release_assignments(&self, transaction: &mut TransactionBuilder<'_>) -> usize {
        self.rounds
            .releases_in_order(&self.cell, self.now.steady)
            .iter()
            .filter(|release| {
                let shard = self.cell.shard_of_machine(release.machine);
                transaction.release(release.machine, release.attempt, release.outcome, shard)
            })
            .count()
    }

    fn change_health(&self, transaction: &mut TransactionBuilder<'_>) {
        for (machine, change) in self.rounds.health_changes() {
            transaction.set_health(machine, change, self.cell.shard_of_machine(machine));
        }
    }

    fn add_machines(&self, transaction: &mut TransactionBuilder<'_>) {
        if self.rounds.machines_to_add().is_empty() {
            return;
        }
        let full_sizes = self.full_sizes();
        let full_size = |machine_type: &str| full_sizes.get(machine_type).copied().unwrap_or(0);
        for machine in self.rounds.machines_to_add() {
            if let Some(agent) = self.agents.get(machine) {
                let shard = self.cell.shard_of_machine(*machine);
                transaction.add(shard, *machine, agent.record(), &full_size);
            }
        }
    }

    fn decommission_machines(&self, transaction: &mut TransactionBuilder<'_>) {
        let change = HealthChange {
            health: MachineHealth::Decommissioning,
            fenced_incarnation: 0,
        };
        for machine in self.rounds.machines_to_decommission() {
            transaction.set_health(*machine, change, FLEET_SHARD);
        }
    }

    /// Ends own jobs that are cancelled or done, and of which nothing is assigned.
    fn end_jobs(&self, transaction: &mut TransactionBuilder<'_>) {
        let has_ended = |id: JobId, job: &Job| {
            (job.cancelled() || job.done() >= job.spec().task_count)
                && self.cell.assigned(id).is_none()
        };
        for id in self.own_jobs(has_ended) {
            if self.cell.jobs.get(&id).is_some_and(Job::cancelled) {
                transaction.end_cancelled(id);
            } else {
                transaction.end_done(id);
            }
        }
    }

    /// Moves completions of jobs whose team has no shard from usage records to the jobs' own.
    fn settle_completions(&self, transaction: &mut TransactionBuilder<'_>) {
        let is_unsettled = |_: JobId, job: &Job| {
            !job.record.finished.covers(&job.ends) && self.belongs_to_team_without_shard(job)
        };
        for id in self.own_jobs(is_unsettled) {
            transaction.settle(id);
        }
    }

    /// Jobs of own shards that pass the filter, by id: the order of a hash map differs from process
    /// to process.
    fn own_jobs(&self, filter: impl Fn(JobId, &Job) -> bool) -> Vec<JobId> {
        let mut own: Vec<JobId> = self
            .cell
            .jobs
            .iter()
            .filter(|(id, job)| filter(**id, job) && self.leads_job(**id, job))
            .map(|(id, _)| *id)
            .collect();
        own.sort_unstable();
        own
    }

    /// Whether this controller leads the shard of a job.
    pub(super) fn leads_job(&self, id: JobId, job: &Job) -> bool {
        self.leads(self.cell.shard_of_job(id, job.spec()))
    }

    /// Bytes that a group should have at most. Every change of a group is sent whole to every
    /// controller, so at the full rate of changes it must be read with a small part of the processor
    /// share; within that, a larger group carries more changes with one write.
    pub(super) fn part_bytes(&self) -> usize {
        /// Bytes of records that one core reads in a second.
        const READ_BYTES_PER_CORE: f64 = 100e6;
        /// Part of the processor share that may be spent on reading.
        const READ_SHARE: f64 = 0.05;
        const MIN_BYTES: usize = 4_096;
        let read_rate = READ_BYTES_PER_CORE * READ_SHARE;
        let affordable = self.settings.core_share * read_rate / self.limits.writes_per_second();
        let value_bytes = self.limits.value_bytes();
        (affordable as usize)
            .max(MIN_BYTES)
            .min(value_bytes - value_bytes / 16)
    }

    /// Bytes that a machine's record takes when the machine is full of the smallest tasks there are.
    fn full_size(&self, machine_type: &str) -> usize {
        const MAX_TASKS: u64 = 1_000;
        let room = self
            .cell
            .machine_type(machine_type)
            .map(|machine_type| machine_type.room)
            .unwrap_or_default();
        let tasks = self
            .cell
            .jobs
            .values()
            .map(|job| job.spec().need.times_in(&room, MAX_TASKS))
            .max();
        GroupRecord::estimated_machine_bytes(
            tasks.unwrap_or(0).max(1),
            self.cell.uses_compact_encoding(),
        )
    }

    /// Bytes that a machine's record takes when the machine is full, by type.
    pub(super) fn full_sizes(&self) -> BTreeMap<String, usize> {
        self.cell
            .machine_types()
            .map(|machine_type| {
                let full_size = self.full_size(&machine_type.name);
                (machine_type.name.clone(), full_size)
            })
            .collect()
    }
}
