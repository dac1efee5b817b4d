//! Tasks for which machines are missing.

use crate::coordination::Controller;
use crate::scheduler::provisioning::Demand;
use crate::storage::cell_state::Job;
use crate::storage::ids::JobId;
use crate::storage::records::MachineHealth;
use std::collections::{BTreeMap, HashMap};

/// A job with tasks for which machines are missing.
struct WaitingJob<'a> {
    id: JobId,
    job: &'a Job,
    tasks: u64,
}

/// Cores that teams use, including those of the demands counted so far.
#[derive(Default)]
struct TeamUsage<'a>(BTreeMap<&'a str, u64>);

impl Controller {
    /// Tasks of live jobs that have no machine and that their teams' quotas allow to run, the most urgent first.
    pub(super) fn demands(&self) -> Vec<Demand<'_>> {
        let mut usage = TeamUsage::default();
        let mut demands = Vec::new();
        for waiting in self.waiting_jobs() {
            let count = self.count_within_quota(&waiting, &mut usage);
            if count > 0 {
                demands.extend(self.demand(&waiting, count));
            }
        }
        demands
    }

    fn waiting_jobs(&self) -> Vec<WaitingJob<'_>> {
        let lost_tasks = self.tasks_to_replace();
        let mut jobs: Vec<_> = self
            .cell
            .jobs
            .iter()
            .filter(|(id, _)| !self.rounds.is_suspect(**id))
            .filter_map(|(id, job)| self.waiting_job(*id, job, &lost_tasks))
            .collect();
        jobs.sort_by_key(|waiting| {
            let job = waiting.job;
            (job.priority(), self.latest_start(job), waiting.id)
        });
        jobs
    }

    fn waiting_job<'a>(
        &'a self,
        id: JobId,
        job: &'a Job,
        lost_tasks: &HashMap<JobId, u64>,
    ) -> Option<WaitingJob<'a>> {
        let lost_tasks = lost_tasks.get(&id).copied().unwrap_or_default();
        let tasks = u64::from(self.cell.pending_count(id, job)) + lost_tasks;
        let counts = tasks > 0
            && (job.is_ready() || self.is_nearly_ready(job) && self.lacks_machines(id, job));
        counts.then_some(WaitingJob { id, job, tasks })
    }

    /// The number of a job's waiting tasks that fit into its team's quota; their cores are added to the team's usage.
    fn count_within_quota<'a>(&self, waiting: &WaitingJob<'a>, usage: &mut TeamUsage<'a>) -> u64 {
        let spec = waiting.job.spec();
        let shard = self.cell.shard_of_job(waiting.id, spec);
        let used = usage
            .0
            .entry(&spec.team)
            .or_insert_with(|| self.cell.assigned_to_team(shard, &spec.team).0);
        let mut count = waiting.tasks;
        if let Some(limit) = self.settings.team(&spec.team).and_then(|t| t.cores_limit) {
            let left = limit.saturating_sub(*used).checked_div(spec.need.cores);
            count = count.min(left.unwrap_or(u64::MAX));
        }
        *used += count * spec.need.cores;
        count
    }

    /// The demand of a job; none if its rules exclude all machines that could be provisioned.
    fn demand<'a>(&'a self, waiting: &WaitingJob<'a>, count: u64) -> Option<Demand<'a>> {
        let job = waiting.job;
        let spec = job.spec();
        let placement_filter = self.placement_filter_for(waiting.id, job).ok()?;
        Some(Demand {
            spec,
            task_count: count,
            slack: self.latest_start(job).since(self.now.time_of_day),
            estimated_runtime: spec.estimated_runtime,
            price_limit: self.price_limit(job),
            placement_filter,
        })
    }

    /// Whether a job will be ready soon: all remaining tasks of its dependencies have started.
    fn is_nearly_ready(&self, job: &Job) -> bool {
        let has_started = |id: &JobId| {
            self.cell.jobs.get(id).is_none_or(|dependency| {
                dependency.is_ready()
                    && !self.rounds.is_suspect(*id)
                    && self.cell.pending_count(*id, dependency) == 0
            })
        };
        !job.is_cancelled()
            && !job.dependency_state.cancellation_unknown
            && job.spec().dependencies.iter().all(has_started)
    }

    /// Whether the machines that a job may use would lack room for it even if nothing else ran there. Where enough machines are
    /// up, some will have room in time, and provisioning before the job is ready would only add cost.
    fn lacks_machines(&self, id: JobId, job: &Job) -> bool {
        let spec = job.spec();
        let mut left = u64::from(spec.task_count);
        for (_, machine, record) in self.cell.machines() {
            if left == 0 {
                return false;
            }
            if record.health == MachineHealth::Schedulable
                && spec.allows(&record.machine_type, &record.zone, record.spot)
                && self.rules_allow_machine(id, machine)
                && let Some(machine_type) = self.cell.machine_type(&record.machine_type)
            {
                left -= spec.need.count_fitting_in(&machine_type.capacity, left);
            }
        }
        left > 0
    }
}
