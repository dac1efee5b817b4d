//! Which jobs may preempt others, and which tasks may be preempted.

use super::fair_shares::FairShares;
use crate::coordination::Controller;
use crate::scheduler::placement::PreemptibleTask;
use crate::storage::cell_state::Job;
use crate::storage::records::{Assignment, MachineRecord};
use crate::time::Micros;

/// How long before its latest start a job may preempt others.
const PREEMPTION_LEAD_TIME: Micros = Micros::secs(5);

impl Controller {
    /// Tasks on a machine that may be preempted, by priority, and those that started last at the end.
    /// `planned`: the machine as the transaction would leave it.
    pub(super) fn preemptible_tasks(
        &self,
        record: &MachineRecord,
        planned: Option<&MachineRecord>,
        fair_shares: &FairShares<'_>,
    ) -> Vec<PreemptibleTask> {
        let stays = |assignment: &Assignment| {
            planned.is_some_and(|planned| planned.tasks.contains(assignment))
        };
        let mut tasks: Vec<PreemptibleTask> = record
            .tasks
            .iter()
            .filter(|assignment| !record.preempted.contains(assignment) && stays(assignment))
            .filter_map(|assignment| self.preemptible_task(assignment, fair_shares))
            .collect();
        // Tasks of higher priority are never preempted; among the others, those that started last lose
        // the least work.
        tasks.sort_by_key(|task| (task.priority, task.assignment.attempt_number));
        tasks
    }

    fn preemptible_task(
        &self,
        assignment: &Assignment,
        fair_shares: &FairShares<'_>,
    ) -> Option<PreemptibleTask> {
        let id = assignment.attempt().task.job;
        let job = self.cell.jobs.get(&id)?;
        if fair_shares.is_protected(id) {
            return None;
        }
        let spec = job.spec();
        let shard = self.cell.shard_of_job(id, spec);
        let borrowed = self.settings.team(&spec.team).is_some_and(|team| {
            let (cores, _) = self.cell.assigned_to_team(shard, &spec.team);
            cores > team.guarantee.0 + spec.need.cores
        });
        Some(PreemptibleTask {
            assignment: *assignment,
            need: spec.need,
            priority: job.priority(),
            borrowed,
        })
    }

    /// Whether a job may preempt others: its class must start at once, or the job is about to be late.
    pub(super) fn preempts(&self, job: &Job) -> bool {
        let now = self.now.time_of_day;
        let latest_start = self.latest_start(job);
        let is_about_to_be_late = latest_start < now + PREEMPTION_LEAD_TIME
            && now < latest_start + job.spec().estimated_runtime;
        self.starts_at_once(job.spec()) || is_about_to_be_late
    }
}
