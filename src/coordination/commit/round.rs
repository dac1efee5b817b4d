//! The contents of a full round, within the limits of a transaction, in this order: removals of
//! terminated machines, releases, health changes, additions of machines, ends of jobs, assignments.

use super::{PlannedRound, RoundScope};
use crate::coordination::Controller;
use crate::coordination::agents::{AssignmentOutcome, HealthChange};
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
        // At most every other round is an urgent-only one, since urgent work may keep arriving.
        if !self.rounds.set_urgent(false)
            && let Some(planned) = self.plan_urgent_round(limits)
        {
            self.rounds.set_urgent(true);
            return Some(planned);
        }
        if scope == RoundScope::UrgentOnly {
            return None;
        }
        // At most every other round compacts a record: nothing can be assigned to an oversized record,
        // but work on other records must go on.
        if !self.rounds.set_compaction(false)
            && let Some(planned) = self.plan_compaction_round(limits)
        {
            self.rounds.set_compaction(true);
            return Some(planned);
        }
        self.plan_full_round(limits)
    }

    fn plan_full_round(&mut self, limits: TransactionLimits) -> Option<PlannedRound> {
        // If a transaction may have only few changes, releases would leave no room for assignments as
        // long as tasks keep ending, and the other way round. So they alternate: after a round without room
        // for assignments the next one assigns first.
        let assignments_first = self.rounds.set_assignments_first(false);
        let mut transaction = TransactionBuilder::new(&self.cell, limits);
        let mut released = self.remove_terminated_machines(&mut transaction);
        let mut assigned = Vec::new();
        if assignments_first {
            assigned = self.assign(&mut transaction, RoundScope::All);
        }
        released += self.release_assignments(&mut transaction);
        let releases_filled_transaction = transaction.changes_left() == 0;
        self.change_health(&mut transaction);
        self.add_machines(&mut transaction);
        self.decommission_machines(&mut transaction);
        self.end_jobs(&mut transaction);
        self.move_completions_to_jobs(&mut transaction);
        if !assignments_first {
            assigned = self.assign(&mut transaction, RoundScope::All);
        }
        let full = transaction.groups_without_room().clone();
        if !full.is_empty() {
            // Other machines are tried next, also if this round has nothing to write.
            self.rounds.full_groups.add(&self.cell, &full);
            self.rounds.request();
        }
        if transaction.is_empty() {
            return None;
        }
        let planned = PlannedRound {
            transaction: transaction.build(),
            assigned,
            released,
        };
        self.rounds
            .set_assignments_first(releases_filled_transaction && planned.assigned.is_empty());
        Some(planned)
    }

    /// Releases the assignments of terminated machines, and removes the machines that have none left.
    /// Returns how many assignments were to be released.
    fn remove_terminated_machines(&self, transaction: &mut TransactionBuilder<'_>) -> usize {
        let mut released = 0;
        for machine in self.rounds.terminated_machines() {
            let Some(record) = self.cell.machine(*machine) else {
                continue;
            };
            let mut all_released = true;
            for assignment in &record.tasks {
                let attempt = assignment.attempt();
                all_released &= transaction.release(
                    *machine,
                    attempt,
                    AssignmentOutcome::Reassign,
                    FLEET_SHARD,
                );
                released += 1;
            }
            if all_released {
                transaction.remove(*machine);
            }
        }
        released
    }

    /// Releases assignments whose end is proven; returns how many fit into the transaction.
    fn release_assignments(&self, transaction: &mut TransactionBuilder<'_>) -> usize {
        self.rounds
            .releases_in_order(&self.cell, self.now.monotonic)
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
        let bytes_by_type = self.full_record_bytes_by_type();
        let full_record_bytes =
            |machine_type: &str| bytes_by_type.get(machine_type).copied().unwrap_or(0);
        for machine in self.rounds.machines_to_add() {
            if let Some(agent) = self.agents.get(machine) {
                let shard = self.cell.shard_of_machine(*machine);
                transaction.add(shard, *machine, agent.record(), &full_record_bytes);
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

    /// Ends own jobs that are cancelled or done and have no assignments.
    fn end_jobs(&self, transaction: &mut TransactionBuilder<'_>) {
        let has_ended = |id: JobId, job: &Job| {
            (job.is_cancelled() || job.finished_count() >= job.spec().task_count)
                && self.cell.assigned(id).is_none()
        };
        for id in self.own_jobs(has_ended) {
            if self.cell.jobs.get(&id).is_some_and(Job::is_cancelled) {
                transaction.end_cancelled(id);
            } else {
                transaction.end_done(id);
            }
        }
    }

    /// Moves completions of jobs whose team has no shard from usage records to the jobs' own records.
    fn move_completions_to_jobs(&self, transaction: &mut TransactionBuilder<'_>) {
        let has_completions_in_usage = |_: JobId, job: &Job| {
            !job.record.finished.covers(&job.recorded_finished_tasks)
                && self.belongs_to_team_without_shard(job)
        };
        for id in self.own_jobs(has_completions_in_usage) {
            transaction.move_completions_to_job(id);
        }
    }

    /// Jobs of own shards that pass the filter, sorted by id, since the order of a hash map differs
    /// from process to process.
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

    /// Most bytes that a machine group should have. Every controller receives the whole group after
    /// each change, and at the full rate of changes it may spend only a small part of its processor
    /// share on reading them. Within this limit a larger group is better, since one write carries more
    /// changes.
    pub(super) fn target_group_bytes(&self) -> usize {
        /// Bytes of records that one core can read in a second.
        const READ_BYTES_PER_CORE_SECOND: f64 = 100e6;
        /// Fraction of the processor share that may be spent on reading.
        const READ_CORE_FRACTION: f64 = 0.05;
        const MIN_GROUP_BYTES: usize = 4_096;
        let read_rate = READ_BYTES_PER_CORE_SECOND * READ_CORE_FRACTION;
        let affordable_bytes =
            self.settings.core_share * read_rate / self.limits.writes_per_second();
        let value_bytes = self.limits.value_bytes();
        (affordable_bytes as usize)
            .max(MIN_GROUP_BYTES)
            .min(value_bytes - value_bytes / 16)
    }

    /// Bytes that a machine's record takes when the machine is full of the smallest tasks of all jobs.
    fn full_record_bytes(&self, machine_type: &str) -> usize {
        const MAX_TASKS_PER_MACHINE: u64 = 1_000;
        let room = self
            .cell
            .machine_type(machine_type)
            .map(|machine_type| machine_type.capacity)
            .unwrap_or_default();
        let tasks = self
            .cell
            .jobs
            .values()
            .map(|job| {
                job.spec()
                    .need
                    .count_fitting_in(&room, MAX_TASKS_PER_MACHINE)
            })
            .max();
        GroupRecord::estimated_machine_bytes(
            tasks.unwrap_or(0).max(1),
            self.cell.uses_compact_encoding(),
        )
    }

    /// Bytes that a machine's record takes when the machine is full, by type.
    pub(super) fn full_record_bytes_by_type(&self) -> BTreeMap<String, usize> {
        self.cell
            .machine_types()
            .map(|machine_type| {
                let full_record_bytes = self.full_record_bytes(&machine_type.name);
                (machine_type.name.clone(), full_record_bytes)
            })
            .collect()
    }
}
