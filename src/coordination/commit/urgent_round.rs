//! Urgent-only rounds: small rounds for work that must start at once.

use super::{PlannedRound, RoundScope};
use crate::coordination::Controller;
use crate::coordination::commit::transaction::{TransactionBuilder, TransactionLimits};
use crate::storage::cell_state::Job;
use crate::storage::ids::JobId;

impl Controller {
    /// Plans a round for work that must start at once, and for releases that write the same records.
    /// The fewer records a round writes, the fewer conflicts it has, and the sooner the next round may
    /// be sent. None if there is no urgent work, or if it needs capacity that other releases free.
    pub(super) fn plan_urgent_round(&self, limits: TransactionLimits) -> Option<PlannedRound> {
        let pending: u32 = self
            .urgent_jobs()
            .map(|(id, job)| self.cell.pending_count(id, job))
            .sum();
        if pending == 0 {
            return None;
        }
        let mut transaction = TransactionBuilder::new(&self.cell, limits);
        let assigned = self.assign(&mut transaction, RoundScope::UrgentOnly);
        if assigned.len() < pending as usize {
            return None;
        }
        let released = self.release_from_written_records(&mut transaction);
        Some(PlannedRound {
            transaction: transaction.build(),
            assigned,
            released,
        })
    }

    /// Releases assignments whose release writes no further record; returns how many.
    fn release_from_written_records(&self, transaction: &mut TransactionBuilder<'_>) -> usize {
        self.rounds
            .releases_in_order(&self.cell, self.now.monotonic)
            .iter()
            .filter(|release| {
                let shard = self.cell.shard_of_machine(release.machine);
                transaction.can_release_without_new_records(release.machine, release.attempt)
                    && transaction.release(release.machine, release.attempt, release.outcome, shard)
            })
            .count()
    }

    /// Whether tasks are pending that must start at once.
    pub(super) fn has_urgent_work(&self) -> bool {
        self.urgent_jobs()
            .any(|(id, job)| self.cell.pending_count(id, job) > 0)
    }

    /// Own jobs that must start at once.
    fn urgent_jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.cell
            .jobs
            .iter()
            .filter(|(id, job)| self.is_urgent(**id, job))
            .map(|(id, job)| (*id, job))
    }

    fn is_urgent(&self, id: JobId, job: &Job) -> bool {
        self.starts_at_once(job.spec())
            && job.is_ready()
            && self.leads_job(id, job)
            && !self.rounds.is_suspect(id)
            && !self.belongs_to_team_without_shard(job)
            && !self.rules.is_unschedulable(id)
    }
}
