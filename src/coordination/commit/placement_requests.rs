//! What jobs ask of a plan, in their order, as far as limits let them.

use super::fair_shares::FairShares;
use super::{Precedence, Rounds, Turn};
use crate::coordination::Controller;
use crate::coordination::commit::transaction::TransactionBuilder;
use crate::scheduler::constraints::PlacementContext;
use crate::scheduler::placement::{Claim, PlacementRequest, Running};
use crate::storage::cell_state::Job;
use crate::storage::ids::{JobId, ShardId};
use crate::storage::job::JobSpec;
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::storage::resources::Amount;
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// What the jobs ask for, as far as their teams' limits let them. `claimed`: what teams are about to book besides, once
    /// those have had their turns; then nothing is saved any more for sets that do not fit the limits now.
    pub(super) fn requests<'a>(
        &'a self,
        turns: Vec<Turn<'a>>,
        claimed: Option<&BTreeMap<&str, Amount>>,
        transaction: &TransactionBuilder<'_>,
        context: Option<&'a PlacementContext<'a>>,
    ) -> Vec<PlacementRequest<'a>> {
        let mut requests: Vec<PlacementRequest<'a>> = Vec::new();
        let mut wanted = 0;
        let mut left: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let kinds: BTreeSet<(&str, &str, bool)> = self
            .cell
            .machines_up()
            .map(|(_, r)| (&*r.machine_type, &*r.zone, r.spot))
            .collect();
        for Turn {
            id,
            job,
            most: in_turn,
            ahead,
        } in turns
        {
            if wanted >= Self::CLAIMS {
                break;
            }
            let spec = job.spec();
            let k = self.cell.shard_of_job(id, spec);
            let mine = self.leads(k);
            let team = self.settings.team(&spec.team);
            let used = *left.entry(&spec.team).or_insert_with(|| {
                let (cores, accelerators) = transaction.used(k, &spec.team);
                let more = claimed
                    .and_then(|c| c.get(spec.team.as_str()))
                    .copied()
                    .unwrap_or_default();
                (cores + more.cores, accelerators + more.accelerators)
            });
            let limit = |most: Option<u64>, used: u64, need: u64| match most {
                Some(most) if need > 0 => most.saturating_sub(used) / need,
                _ => u64::MAX,
            };
            let most = limit(team.and_then(|t| t.cores_limit), used.0, spec.need.cores).min(limit(
                team.and_then(|t| t.accelerators_limit),
                used.1,
                spec.need.accelerators,
            ));
            if most == 0 {
                continue;
            }
            let none_assigned = self.cell.assigned(id).is_none();
            if spec.gang && !none_assigned && !self.in_parts(id) {
                // What is left of a gang that lost a task ends by itself; then all are placed anew.
                continue;
            }
            let fits = (spec.task_count as usize) <= Self::CLAIMS && !self.needs_parts(id, spec);
            let all_or_nothing = spec.together() && none_assigned && fits;
            let suspect = self.rounds.is_suspect(id);
            if suspect && !spec.service && !none_assigned {
                continue;
            }
            let cap = match (suspect && !spec.together(), all_or_nothing) {
                (true, _) => 1,
                (_, true) => (Self::CLAIMS - wanted).max(spec.task_count as usize),
                _ => Self::CLAIMS - wanted,
            };
            let cap = if all_or_nothing {
                cap
            } else {
                cap.min(usize::try_from(in_turn).unwrap_or(usize::MAX))
            };
            let tasks: Vec<u32> = self.cell.pending(id, job).take(cap).collect();
            if mine {
                wanted += tasks.len();
            }
            let n = (tasks.len() as u64).min(most);
            if all_or_nothing && n < tasks.len() as u64 && claimed.is_some() {
                continue;
            }
            if let Some(u) = left.get_mut(spec.team.as_str()) {
                u.0 += n * spec.need.cores;
                u.1 += n * spec.need.accelerators;
            }
            requests.push(PlacementRequest {
                job: id,
                spec,
                priority: job.priority(),
                tasks,
                zones: if spec.single_zone || spec.anti_affinity {
                    self.zones_of(id)
                } else {
                    BTreeMap::new()
                },
                most,
                price_limit: if suspect {
                    self.fair_price(spec)
                } else {
                    self.price_limit_among(id, job, &kinds)
                },
                owner: k,
                mine,
                // What goes ahead for its class waits for room; it takes none from what runs.
                preempts: self.preempts(job) && !suspect && !ahead,
                takes_leftovers: suspect,
                guaranteed: team.is_some_and(|t| t.has_share()) && !self.borrows(job, k),
                all_or_nothing,
                avoid: &job.record.avoid,
                rules: self.rules_for(id, job, context),
            });
        }
        requests
    }

    /// Own jobs that have waited for long and have got nothing in this plan: one task of each, or a set as a whole, may go to
    /// what is left, whatever that is kept for.
    pub(super) fn requests_of_starved_jobs<'a, 'b>(
        &'a self,
        turns: impl Iterator<Item = &'b (JobId, &'a Job)>,
        claims: &[Claim],
        transaction: &TransactionBuilder<'_>,
        context: Option<&'a PlacementContext<'a>>,
    ) -> Vec<PlacementRequest<'a>>
    where
        'a: 'b,
    {
        let mut claimed: BTreeMap<&str, Amount> = BTreeMap::new();
        for c in claims {
            if let Some(job) = self.cell.jobs.get(&c.job) {
                *claimed.entry(&job.spec().team).or_default() += job.spec().need;
            }
        }
        let got_none = |id: JobId| claims.iter().all(|c| c.job != id);
        let turns = turns
            .filter(|(id, job)| {
                self.leads(self.cell.shard_of_job(*id, job.spec()))
                    && self.is_job_starved(*id)
                    && got_none(*id)
            })
            .map(|(id, job)| Turn {
                id: *id,
                job,
                most: 1,
                ahead: false,
            })
            .collect();
        let mut requests = self.requests(turns, Some(&claimed), transaction, context);
        requests.iter_mut().for_each(|a| a.preempts = false);
        requests
    }

    /// Groups that one transaction can write beside a usage record.
    fn groups_of_a_round(&self) -> usize {
        self.limits.txn_ops() - 1
    }

    /// Whether there is room for all tasks of a set, but not on as many groups as one transaction can
    /// write. Then it is booked in parts, round after round: a gang's tasks wait for each other.
    fn needs_parts(&self, id: JobId, spec: &JobSpec) -> bool {
        if !spec.together() {
            return false;
        }
        let mut room: BTreeMap<_, u64> = BTreeMap::new();
        for (_, m, r) in self.cell.machines() {
            if r.health == MachineHealth::Schedulable
                && spec.allows(&r.machine_type, &r.zone, r.spot)
                && self.may_use(id, m)
            {
                *room.entry(self.cell.home(m)).or_default() += spec
                    .need
                    .times_in(&self.cell.free(r), spec.task_count.into());
            }
        }
        let mut room: Vec<u64> = room.into_values().collect();
        room.sort_unstable_by_key(|n| Reverse(*n));
        let most: u64 = room.iter().take(self.groups_of_a_round()).sum();
        most < spec.task_count.into() && room.iter().sum::<u64>() >= spec.task_count.into()
    }

    /// Whether a set is booked on as many groups as one transaction can write: then it may be one that is
    /// booked in parts.
    fn in_parts(&self, id: JobId) -> bool {
        let places = self.cell.assigned(id).into_iter().flat_map(|b| b.values());
        let groups: BTreeSet<_> = places.filter_map(|p| self.cell.home(p.machine)).collect();
        groups.len() >= self.groups_of_a_round()
    }

    /// Tasks on a machine that may have to make room, the latest started last.
    pub(super) fn running(
        &self,
        r: &MachineRecord,
        planned: Option<&MachineRecord>,
        fair_shares: &FairShares<'_>,
    ) -> Vec<Running> {
        let mut running: Vec<Running> = r
            .tasks
            .iter()
            .filter(|b| !r.preempted.contains(b) && planned.is_some_and(|d| d.tasks.contains(b)))
            .filter_map(|b| {
                let id = b.attempt().task.job;
                let job = self
                    .cell
                    .jobs
                    .get(&id)
                    .filter(|_| !fair_shares.protects(id))?;
                let k = self.cell.shard_of_job(id, job.spec());
                let team = self.settings.team(&job.spec().team);
                let borrowed = team.is_some_and(|t| {
                    let used = self.cell.used(k, &job.spec().team);
                    used.0 > t.guarantee.0 + job.spec().need.cores
                });
                Some(Running {
                    assignment: *b,
                    need: job.spec().need,
                    priority: job.priority(),
                    borrowed,
                })
            })
            .collect();
        // The more urgent are never reached; of the rest the latest have the least to lose.
        running.sort_by_key(|r| (r.priority, r.assignment.2));
        running
    }

    /// Whether a job may stop others: its class must start at once, or it is about to be late.
    fn preempts(&self, job: &Job) -> bool {
        let now = self.now.day;
        let latest = self.latest_start(job);
        self.starts_at_once(job.spec())
            || latest < now + Micros::secs(5) && now < latest + job.spec().estimated_runtime
    }

    /// Whether one more task of the job is beyond its team's guarantee.
    fn borrows(&self, job: &Job, k: ShardId) -> bool {
        let spec = job.spec();
        self.settings.team(&spec.team).is_some_and(|t| {
            let used = self.cell.used(k, &spec.team);
            // A team without a guarantee is always beyond it.
            used.0 + spec.need.cores > t.guarantee.0
                || spec.need.accelerators > 0 && used.1 + spec.need.accelerators > t.guarantee.1
        })
    }

    fn zones_of(&self, id: JobId) -> BTreeMap<&str, u32> {
        let mut zones = BTreeMap::new();
        for p in self.cell.assigned(id).into_iter().flat_map(|b| b.values()) {
            if let Some(r) = self.cell.machine(p.machine) {
                *zones.entry(&*r.zone).or_default() += 1;
            }
        }
        zones
    }

    /// Whether a job's team has no slice yet, see [`Controller::has_no_shard`].
    pub(in crate::coordination) fn belongs_to_team_without_shard(&self, job: &Job) -> bool {
        self.settings
            .team(&job.spec().team)
            .is_some_and(|t| self.has_no_shard(t))
    }

    /// All jobs with tasks to place, the most pressing first, and who is left behind.
    pub(super) fn jobs_in_order(&self) -> (Vec<Turn<'_>>, FairShares<'_>) {
        let mut jobs: Vec<(Precedence, JobId, &Job)> = Vec::new();
        for (id, job) in &self.cell.jobs {
            let none = !job.ready() || self.cell.pending_count(*id, job) == 0;
            if none
                || self.backing_off(*id)
                || self.belongs_to_team_without_shard(job)
                || self.rules.is_unschedulable(*id)
            {
                continue;
            }
            let spec = job.spec();
            let borrows = self.borrows(job, self.cell.shard_of_job(*id, spec));
            let suspect = self.rounds.is_suspect(*id);
            let key: Precedence = (
                suspect,
                borrows,
                job.priority(),
                self.latest_start(job),
                job.record.submitted,
            );
            jobs.push((key, *id, job));
        }
        jobs.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        let jobs: Vec<(JobId, &Job)> = jobs.into_iter().map(|(_, id, j)| (id, j)).collect();
        let fair_shares = self.fair_shares(&jobs);
        let mut left = fair_shares.clone();
        let (mut ahead, mut rest) = (Vec::new(), Vec::new());
        for (id, job) in jobs {
            let most = if self.rounds.is_suspect(id) {
                0
            } else {
                left.take(job, self.cell.pending_count(id, job).into())
            };
            if most > 0 {
                ahead.push(Turn {
                    id,
                    job,
                    most,
                    ahead: true,
                });
            } else {
                rest.push(Turn {
                    id,
                    job,
                    most: u64::MAX,
                    ahead: false,
                });
            }
        }
        ahead.extend(rest);
        (ahead, fair_shares)
    }

    /// A job that fails wherever it runs is tried ever more seldom, until its user ends it.
    fn backing_off(&self, id: JobId) -> bool {
        let now = self.now.steady;
        self.rounds
            .suspects
            .get(&id)
            .is_some_and(|s| now.since(s.at) < Rounds::pause(s.tries))
    }
}
