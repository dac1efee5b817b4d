//! Placement requests of the jobs in their order, as far as their teams' limits allow.

use super::job_order::Turn;
use crate::coordination::Controller;
use crate::coordination::commit::transaction::{TeamUsage, TransactionBuilder};
use crate::protocol::settings::Team;
use crate::scheduler::constraints::PlacementContext;
use crate::scheduler::placement::{Claim, PlacementRequest};
use crate::storage::cell_state::Job;
use crate::storage::ids::{JobId, ShardId};
use crate::storage::job::JobSpec;
use crate::storage::resources::Amount;
use std::collections::{BTreeMap, BTreeSet};

/// A kind of machine that is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineKind<'a> {
    pub machine_type: &'a str,
    pub zone: &'a str,
    pub spot: bool,
}

/// Builds the requests of one plan, and counts how much of the teams' limits they use.
struct RequestPlanner<'a, 't> {
    controller: &'a Controller,
    transaction: &'t TransactionBuilder<'t>,
    context: Option<&'a PlacementContext<'a>>,
    /// What teams have claimed already in this plan; none while the first requests are built.
    claimed: Option<&'t BTreeMap<&'t str, Amount>>,
    machine_kinds: BTreeSet<MachineKind<'a>>,
    usage: BTreeMap<&'a str, TeamUsage>,
    /// Own tasks that are requested so far.
    own_tasks: usize,
}

impl<'a> RequestPlanner<'a, '_> {
    /// The request of a job in its turn; none if its team's limits or its state prevent it.
    fn request(&mut self, turn: &Turn<'a>) -> Option<PlacementRequest<'a>> {
        let Turn { id, job, .. } = *turn;
        let controller = self.controller;
        let spec = job.spec();
        let shard = controller.cell.shard_of_job(id, spec);
        let is_local = controller.leads(shard);
        let team = controller.settings.team(&spec.team);
        let remaining_task_quota = self.tasks_within_limits(shard, spec, team);
        let suspect = controller.rounds.is_suspect(id);
        let has_reservation = self.count_reservation(id, job);
        if remaining_task_quota == 0 || controller.waits_for_running_tasks(id, spec, suspect) {
            return None;
        }
        let gang = controller.is_all_or_nothing(id, spec);
        let max_tasks = self.max_tasks(turn, suspect, gang);
        let tasks: Vec<u32> = controller.cell.pending(id, job).take(max_tasks).collect();
        if is_local {
            self.own_tasks += tasks.len();
        }
        let allowed = (tasks.len() as u64).min(remaining_task_quota);
        // Once the other claims are planned, no part of the limits is set aside for gangs that exceed
        // the limits now.
        if gang && allowed < tasks.len() as u64 && self.claimed.is_some() {
            return None;
        }
        if !has_reservation {
            self.count_usage(spec, allowed);
        }
        Some(PlacementRequest {
            job: id,
            spec,
            priority: job.priority(),
            tasks,
            zones: controller.spread_zones(id, spec),
            remaining_task_quota,
            price_limit: self.price_limit(id, job, suspect),
            owner: shard,
            is_local,
            // A job that goes ahead because of the deficit of its class or team preempts nothing; it
            // waits for free capacity.
            may_preempt: controller.preempts(job) && !suspect && !turn.ahead,
            never_reserves: suspect || has_reservation,
            may_use_gang_reservations: controller.may_use_gang_reservation(id, spec),
            guaranteed: team.is_some_and(Team::has_guarantee_or_limit)
                && !controller.borrows(job, shard),
            gang,
            avoided_machines: &job.record.failed_machines,
            rules: controller.rules_for(id, job, self.context),
        })
    }

    /// Counts all tasks that a gang reservation is for, including those that the team's limit does not allow yet:
    /// otherwise other jobs of the team would use up the limit meanwhile. Returns whether the job has the reservation.
    fn count_reservation(&mut self, id: JobId, job: &'a Job) -> bool {
        let has_reservation = self.controller.has_reservation(id);
        if has_reservation {
            let tasks = self.controller.tasks_needed_at_once(id, job);
            self.count_usage(job.spec(), tasks);
        }
        has_reservation
    }

    fn price_limit(&self, id: JobId, job: &Job, suspect: bool) -> u64 {
        let controller = self.controller;
        if suspect {
            controller.regular_price_limit(job.spec())
        } else {
            controller.placement_price_limit(id, job, &self.machine_kinds)
        }
    }

    /// How many more tasks of this job the team's limits allow.
    fn tasks_within_limits(
        &mut self,
        shard: ShardId,
        spec: &'a JobSpec,
        team: Option<&Team>,
    ) -> u64 {
        let usage = self.usage_of_team(shard, &spec.team);
        let tasks_within = |limit: Option<u64>, used: u64, need: u64| match limit {
            Some(limit) if need > 0 => limit.saturating_sub(used) / need,
            _ => u64::MAX,
        };
        let cores_limit = team.and_then(|team| team.cores_limit);
        let accelerators_limit = team.and_then(|team| team.accelerators_limit);
        let by_cores = tasks_within(cores_limit, usage.cores, spec.need.cores);
        let by_accelerators = tasks_within(
            accelerators_limit,
            usage.accelerators,
            spec.need.accelerators,
        );
        by_cores.min(by_accelerators)
    }

    /// What a team uses, with what is claimed and requested in this plan.
    fn usage_of_team(&mut self, shard: ShardId, team: &'a str) -> TeamUsage {
        *self.usage.entry(team).or_insert_with(|| {
            let used = self.transaction.used(shard, team);
            let claimed = self
                .claimed
                .and_then(|claimed| claimed.get(team))
                .copied()
                .unwrap_or_default();
            TeamUsage {
                cores: used.cores + claimed.cores,
                accelerators: used.accelerators + claimed.accelerators,
            }
        })
    }

    /// Most tasks that a job requests in its turn.
    fn max_tasks(&self, turn: &Turn<'_>, suspect: bool, gang: bool) -> usize {
        let spec = turn.job.spec();
        let left = Controller::MAX_CLAIMS_PER_ROUND - self.own_tasks;
        let max_for_job = if suspect && !spec.runs_all_tasks_at_once() {
            1
        } else if gang {
            left.max(spec.task_count as usize)
        } else {
            left
        };
        if gang {
            max_for_job
        } else {
            max_for_job.min(usize::try_from(turn.max_tasks).unwrap_or(usize::MAX))
        }
    }

    /// Counts requested tasks to their team's usage.
    fn count_usage(&mut self, spec: &JobSpec, tasks: u64) {
        if let Some(usage) = self.usage.get_mut(spec.team.as_str()) {
            usage.add(spec, tasks);
        }
    }
}

impl Controller {
    /// What the jobs request, as far as their teams' limits allow. `claimed`: what teams have claimed
    /// already in this plan. If it is given, no part of the limits is set aside for gangs that exceed
    /// the limits now.
    pub(super) fn requests<'a>(
        &'a self,
        turns: Vec<Turn<'a>>,
        claimed: Option<&BTreeMap<&str, Amount>>,
        transaction: &TransactionBuilder<'_>,
        context: Option<&'a PlacementContext<'a>>,
    ) -> Vec<PlacementRequest<'a>> {
        let machine_kinds = self
            .cell
            .schedulable_machines()
            .map(|(_, record)| MachineKind {
                machine_type: &record.machine_type,
                zone: &record.zone,
                spot: record.spot,
            })
            .collect();
        let mut planner = RequestPlanner {
            controller: self,
            transaction,
            context,
            claimed,
            machine_kinds,
            usage: BTreeMap::new(),
            own_tasks: 0,
        };
        let mut requests = Vec::new();
        for turn in &turns {
            if planner.own_tasks >= Self::MAX_CLAIMS_PER_ROUND {
                break;
            }
            requests.extend(planner.request(turn));
        }
        requests
    }

    /// Requests of own jobs that are starved and have no claim in this plan. One task of each, or a
    /// whole gang, may use the remaining capacity, even if it is reserved for others. Only a job with
    /// a gang reservation keeps the part of the team's limit that is set aside for it.
    pub(super) fn requests_of_starved_jobs<'a, 'b>(
        &'a self,
        starved: impl Iterator<Item = &'b (JobId, &'a Job)>,
        claims: &[Claim],
        transaction: &TransactionBuilder<'_>,
        context: Option<&'a PlacementContext<'a>>,
    ) -> Vec<PlacementRequest<'a>>
    where
        'a: 'b,
    {
        let has_claim = |id: JobId| claims.iter().any(|claim| claim.job == id);
        let turns = starved
            .filter(|(id, job)| {
                self.leads_job(*id, job)
                    && self.is_job_starved(*id)
                    && !has_claim(*id)
                    && !self.has_reservation(*id)
            })
            .map(|(id, job)| Turn {
                id: *id,
                job,
                max_tasks: 1,
                ahead: false,
            })
            .collect();
        let mut claimed = self.claimed_by_team(claims);
        if let Some((id, job)) = self.job_with_reservation()
            && !has_claim(id)
        {
            let needed = job.spec().need.times(self.tasks_needed_at_once(id, job));
            *claimed.entry(&job.spec().team).or_default() += needed;
        }
        let mut requests = self.requests(turns, Some(&claimed), transaction, context);
        for request in &mut requests {
            request.may_preempt = false;
        }
        requests
    }

    fn claimed_by_team(&self, claims: &[Claim]) -> BTreeMap<&str, Amount> {
        let mut claimed: BTreeMap<&str, Amount> = BTreeMap::new();
        for claim in claims {
            if let Some(job) = self.cell.jobs.get(&claim.job) {
                *claimed.entry(&job.spec().team).or_default() += job.spec().need;
            }
        }
        claimed
    }

    /// Whether a job waits until its assigned tasks have ended.
    fn waits_for_running_tasks(&self, id: JobId, spec: &JobSpec, suspect: bool) -> bool {
        if self.cell.assigned(id).is_none() {
            return false;
        }
        // The remaining tasks of a gang that lost a task end by themselves; then all tasks are placed
        // anew.
        let is_incomplete_gang = spec.gang && !self.is_assigned_in_parts(id);
        is_incomplete_gang || suspect && !spec.service
    }

    /// Whether the tasks of a job are assigned by one transaction, all or none.
    fn is_all_or_nothing(&self, id: JobId, spec: &JobSpec) -> bool {
        spec.runs_all_tasks_at_once()
            && self.cell.assigned(id).is_none()
            && (spec.task_count as usize) <= Self::MAX_CLAIMS_PER_ROUND
            && !self.must_be_assigned_in_parts(id, spec)
    }

    /// Assigned tasks of a job by zone, where its placement depends on them.
    fn spread_zones(&self, id: JobId, spec: &JobSpec) -> BTreeMap<&str, u32> {
        let mut tasks_by_zone = BTreeMap::new();
        if !spec.single_zone && !spec.anti_affinity {
            return tasks_by_zone;
        }
        let places = self
            .cell
            .assigned(id)
            .into_iter()
            .flat_map(|assigned| assigned.values());
        for place in places {
            if let Some(record) = self.cell.machine(place.machine) {
                *tasks_by_zone.entry(&*record.zone).or_default() += 1;
            }
        }
        tasks_by_zone
    }
}
