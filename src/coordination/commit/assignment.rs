//! Assignment: pending tasks are placed on the machines as the transaction would leave them, and as
//! many as fit into the transaction are assigned.

use super::candidates::Candidates;
use super::fair_shares::FairShares;
use super::job_order::JobOrder;
use super::{PlannedAssignment, RoundScope};
use crate::coordination::Controller;
use crate::coordination::commit::transaction::{MachineAttempt, TransactionBuilder};
use crate::scheduler::constraints::PlacementContext;
use crate::scheduler::placement::{
    Claim, GroupWriteLimit, PlacementRequest, PreemptibleTask, Preemption, plan, preempt,
};
use crate::storage::cell_state::Job;
use crate::storage::ids::{JobId, MachineId};
use std::collections::BTreeSet;

/// How often starved jobs are planned in one round. If a team's limit allows only one more task, a
/// starved job that finds no machine must not keep that task from the next starved job of the team.
const STARVED_JOB_PASSES: usize = 6;

/// The plan of one round: the machines, and the claims on them so far.
struct AssignmentPlan<'a> {
    candidates: Candidates<'a>,
    groups: GroupWriteLimit,
    /// Claims of free capacity.
    claims: Vec<Claim>,
    /// All claims, including those of capacity that preempted tasks release.
    all_claims: Vec<Claim>,
    /// Gangs: jobs of which either all tasks are assigned or none.
    gang_jobs: BTreeSet<JobId>,
}

/// Replaces the shard of each request by the number of its leader, see [`Controller::owner_numbers`].
fn set_owner_numbers(requests: &mut [PlacementRequest<'_>], owners: &[usize]) {
    for request in requests {
        request.owner = owners[request.owner];
    }
}

fn log_assigned_reserved_machines(claims: &[Claim], reserved: &BTreeSet<MachineId>) {
    let is_reserved = |claim: &&Claim| reserved.contains(&claim.machine);
    for Claim { job, machine, .. } in claims.iter().filter(is_reserved) {
        tracing::debug!(%job, %machine, "reserved machine assigned to a starved job");
    }
}

impl<'a> AssignmentPlan<'a> {
    fn new(candidates: Candidates<'a>, groups: GroupWriteLimit) -> AssignmentPlan<'a> {
        AssignmentPlan {
            candidates,
            groups,
            claims: Vec::new(),
            all_claims: Vec::new(),
            gang_jobs: BTreeSet::new(),
        }
    }

    fn claims_left(&self) -> usize {
        Controller::MAX_CLAIMS_PER_ROUND.saturating_sub(self.claims.len())
    }

    /// Claims free capacity for the requests; returns the new claims.
    fn place(&mut self, requests: &mut [PlacementRequest<'a>]) -> Vec<Claim> {
        let claims_left = self.claims_left();
        let new_claims = plan(
            &mut self.candidates.usable,
            requests,
            &mut self.groups,
            claims_left,
        );
        let gang_jobs = requests.iter().filter(|request| request.gang);
        self.gang_jobs.extend(gang_jobs.map(|request| request.job));
        self.claims.extend(&new_claims);
        self.all_claims.extend(&new_claims);
        new_claims
    }

    /// Claims the capacity of tasks that may be preempted.
    fn preempt(
        &mut self,
        requests: &[PlacementRequest<'a>],
        preemptible_tasks: &dyn Fn(MachineId) -> Vec<PreemptibleTask>,
    ) -> Vec<Preemption> {
        let preemptions = preempt(
            &mut self.candidates.usable,
            requests,
            &self.claims,
            Controller::MAX_PREEMPTION_MACHINES_PER_ROUND,
            preemptible_tasks,
        );
        for preemption in &preemptions {
            self.all_claims.extend(&preemption.claims);
        }
        preemptions
    }
}

impl Controller {
    /// Plans on the replica as the transaction would leave it, and assigns as many of the claims as fit
    /// into the transaction.
    pub(super) fn assign(
        &self,
        transaction: &mut TransactionBuilder<'_>,
        scope: RoundScope,
    ) -> Vec<PlannedAssignment> {
        let JobOrder { turns, fair_shares } = self.jobs_in_order();
        if !turns.iter().any(|turn| self.leads_job(turn.id, turn.job)) {
            return Vec::new();
        }
        let context = self.rules.active().then(|| self.context());
        let context = context.as_ref();
        let starved: Vec<(JobId, &Job)> = turns
            .iter()
            .map(|turn| (turn.id, turn.job))
            .filter(|(id, _)| self.is_job_starved(*id))
            .collect();
        let mut requests = self.requests(turns, None, transaction, context);
        if scope == RoundScope::UrgentOnly {
            self.limit_to_urgent(&mut requests);
        }
        let owners = self.owner_numbers();
        let mut groups = GroupWriteLimit::default();
        let candidates = self.candidates(transaction, context, &owners, &mut groups, &starved);
        groups.remaining = self.group_write_limit(transaction, &requests);
        let mut plan = AssignmentPlan::new(candidates, groups);
        set_owner_numbers(&mut requests, &owners);
        plan.place(&mut requests);
        self.log_waiting_gangs(&requests, &plan.candidates.usable, &plan.claims);
        let mut assigned = self.assign_preempting(&mut plan, &requests, transaction, &fair_shares);
        if scope == RoundScope::All && !starved.is_empty() && plan.claims_left() > 0 {
            self.place_starved_jobs(&mut plan, &starved, transaction, context, &owners);
        }
        assigned.extend(self.assign_claims(&plan, transaction));
        assigned
    }

    /// Limits the jobs that this controller assigns in this round to those that must start at once. The
    /// other requests still take part in the plan, so that urgent jobs do not get ahead of their turn.
    fn limit_to_urgent(&self, requests: &mut [PlacementRequest<'_>]) {
        for request in requests {
            request.is_local &= self.starts_at_once(request.spec);
        }
    }

    /// Assigns tasks to the capacity of others that are preempted for them.
    fn assign_preempting<'a>(
        &'a self,
        plan: &mut AssignmentPlan<'a>,
        requests: &[PlacementRequest<'a>],
        transaction: &mut TransactionBuilder<'_>,
        fair_shares: &FairShares<'_>,
    ) -> Vec<PlannedAssignment> {
        if !requests
            .iter()
            .any(|request| request.is_local && request.may_preempt)
        {
            return Vec::new();
        }
        let preemptible_tasks = |machine| {
            self.cell.machine(machine).map_or(Vec::new(), |record| {
                self.preemptible_tasks(record, transaction.machine(machine), fair_shares)
            })
        };
        let preemptions = plan.preempt(requests, &preemptible_tasks);
        let mut assigned = Vec::new();
        for preemption in preemptions {
            let planned = self.planned_assignments(&preemption.claims);
            let attempts: Vec<_> = planned.iter().map(PlannedAssignment::attempt).collect();
            if !transaction.assign_preempting(preemption.machine, &preemption.victims, &attempts) {
                continue;
            }
            for victim in &preemption.victims {
                tracing::info!(
                    task = %victim.attempt(),
                    machine = %preemption.machine,
                    by = %preemption.claims[0].job,
                    "task preempted"
                );
            }
            assigned.extend(planned);
        }
        assigned
    }

    /// Places tasks of starved jobs on the remaining free capacity, even if it is reserved for others.
    fn place_starved_jobs<'a>(
        &'a self,
        plan: &mut AssignmentPlan<'a>,
        starved: &[(JobId, &'a Job)],
        transaction: &TransactionBuilder<'_>,
        context: Option<&'a PlacementContext<'a>>,
        owners: &[usize],
    ) {
        let reserved = plan.candidates.reserved_machines();
        plan.candidates.open_all_to_starved_jobs();
        let mut unplaceable = BTreeSet::new();
        for _ in 0..STARVED_JOB_PASSES {
            let turns = starved.iter().filter(|(id, _)| !unplaceable.contains(id));
            let mut requests =
                self.requests_of_starved_jobs(turns, &plan.all_claims, transaction, context);
            set_owner_numbers(&mut requests, owners);
            let new_claims = plan.place(&mut requests);
            log_assigned_reserved_machines(&new_claims, &reserved);
            // A job that finds no machine is left out of the next pass, so that other jobs can use the
            // part of the team's limit that was set aside for it.
            unplaceable.extend(
                requests
                    .iter()
                    .map(|request| request.job)
                    .filter(|id| new_claims.iter().all(|claim| claim.job != *id)),
            );
            if requests.is_empty() || plan.claims_left() == 0 {
                break;
            }
        }
    }

    /// Assigns the claims of free capacity.
    fn assign_claims(
        &self,
        plan: &AssignmentPlan<'_>,
        transaction: &mut TransactionBuilder<'_>,
    ) -> Vec<PlannedAssignment> {
        let mut assigned = Vec::new();
        for claims in plan.claims.chunk_by(|a, b| a.job == b.job) {
            let planned = self.planned_assignments(claims);
            if !plan.gang_jobs.contains(&claims[0].job) {
                assigned.extend(planned.into_iter().filter(|assignment| {
                    transaction.assign(assignment.claim.machine, assignment.attempt())
                }));
                continue;
            }
            let gang_attempts: Vec<MachineAttempt> = planned
                .iter()
                .map(|assignment| MachineAttempt {
                    machine: assignment.claim.machine,
                    attempt: assignment.attempt(),
                })
                .collect();
            if transaction.assign_gang(&gang_attempts) {
                assigned.extend(planned);
            }
        }
        assigned
    }

    fn planned_assignments(&self, claims: &[Claim]) -> Vec<PlannedAssignment> {
        claims
            .iter()
            .map(|claim| PlannedAssignment {
                claim: *claim,
                attempt_number: self.cell.latest,
            })
            .collect()
    }
}
