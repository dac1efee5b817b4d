//! What jobs ask of a plan, in their order, as far as limits let them.

use super::floors::Floors;
use super::{Precedence, Rounds, Turn};
use crate::bookkeeping::admission::House;
use crate::bookkeeping::amount::Amount;
use crate::bookkeeping::ids::{JobId, Slice};
use crate::bookkeeping::job::JobSpec;
use crate::bookkeeping::placement::{Ask, Claim, Running};
use crate::bookkeeping::records::{Fitness, MachineRecord};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::Job;
use crate::coordination::Controller;
use crate::coordination::draft::Draft;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// What the jobs ask for, as far as their teams' limits let them. `claimed`: what teams are about to book besides, once
    /// those have had their turns; then nothing is saved any more for sets that do not fit the limits now.
    pub(super) fn asks<'a>(
        &'a self,
        turns: Vec<Turn<'a>>,
        claimed: Option<&BTreeMap<&str, Amount>>,
        draft: &Draft<'_>,
        house: Option<&'a House<'a>>,
    ) -> Vec<Ask<'a>> {
        let mut asks: Vec<Ask<'a>> = Vec::new();
        let mut wanted = 0;
        let mut left: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let kinds: BTreeSet<(&str, &str, bool)> = self
            .view
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
            let k = self.view.job_slice(id, spec);
            let mine = self.owns(k);
            let team = self.cfg.team(&spec.team);
            let used = *left.entry(&spec.team).or_insert_with(|| {
                let (cores, accelerators) = draft.used(k, &spec.team);
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
            let none_booked = self.view.booked(id).is_none();
            if spec.gang && !none_booked && !self.in_parts(id) {
                // What is left of a gang that lost a task ends by itself; then all are placed anew.
                continue;
            }
            let fits = (spec.task_count as usize) <= Self::CLAIMS && !self.needs_parts(id, spec);
            let whole = spec.together() && none_booked && fits;
            let suspect = self.rounds.is_suspect(id);
            if suspect && !spec.service && !none_booked {
                continue;
            }
            let cap = match (suspect && !spec.together(), whole) {
                (true, _) => 1,
                (_, true) => (Self::CLAIMS - wanted).max(spec.task_count as usize),
                _ => Self::CLAIMS - wanted,
            };
            let cap = if whole {
                cap
            } else {
                cap.min(usize::try_from(in_turn).unwrap_or(usize::MAX))
            };
            let tasks: Vec<u32> = self.view.pending(id, job).take(cap).collect();
            if mine {
                wanted += tasks.len();
            }
            let n = (tasks.len() as u64).min(most);
            if whole && n < tasks.len() as u64 && claimed.is_some() {
                continue;
            }
            if let Some(u) = left.get_mut(spec.team.as_str()) {
                u.0 += n * spec.need.cores;
                u.1 += n * spec.need.accelerators;
            }
            asks.push(Ask {
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
                modest: suspect,
                guaranteed: team.is_some_and(|t| t.has_share()) && !self.borrows(job, k),
                whole,
                avoid: &job.record.avoid,
                rules: self.rules_for(id, job, house),
            });
        }
        asks
    }

    /// Own jobs that have waited for long and have got nothing in this plan: one task of each, or a set as a whole, may go to
    /// what is left, whatever that is kept for.
    pub(super) fn asks_of_the_patient<'a, 'b>(
        &'a self,
        turns: impl Iterator<Item = &'b (JobId, &'a Job)>,
        claims: &[Claim],
        draft: &Draft<'_>,
        house: Option<&'a House<'a>>,
    ) -> Vec<Ask<'a>>
    where
        'a: 'b,
    {
        let mut claimed: BTreeMap<&str, Amount> = BTreeMap::new();
        for c in claims {
            if let Some(job) = self.view.jobs.get(&c.job) {
                *claimed.entry(&job.spec().team).or_default() += job.spec().need;
            }
        }
        let got_none = |id: JobId| claims.iter().all(|c| c.job != id);
        let turns = turns
            .filter(|(id, job)| {
                self.owns(self.view.job_slice(*id, job.spec()))
                    && self.has_waited(*id)
                    && got_none(*id)
            })
            .map(|(id, job)| Turn {
                id: *id,
                job,
                most: 1,
                ahead: false,
            })
            .collect();
        let mut asks = self.asks(turns, Some(&claimed), draft, house);
        asks.iter_mut().for_each(|a| a.preempts = false);
        asks
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
        for (_, m, r) in self.view.machines() {
            if r.fitness == Fitness::Up
                && spec.allows(&r.machine_type, &r.zone, r.spot)
                && self.may_use(id, m)
            {
                *room.entry(self.view.home(m)).or_default() += spec
                    .need
                    .times_in(&self.view.free(r), spec.task_count.into());
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
        let places = self.view.booked(id).into_iter().flat_map(|b| b.values());
        let groups: BTreeSet<_> = places.filter_map(|p| self.view.home(p.machine)).collect();
        groups.len() >= self.groups_of_a_round()
    }

    /// Tasks on a machine that may have to make room, the latest started last.
    pub(super) fn running(
        &self,
        r: &MachineRecord,
        drafted: Option<&MachineRecord>,
        floors: &Floors<'_>,
    ) -> Vec<Running> {
        let mut running: Vec<Running> = r
            .tasks
            .iter()
            .filter(|b| !r.preempted.contains(b) && drafted.is_some_and(|d| d.tasks.contains(b)))
            .filter_map(|b| {
                let id = b.attempt().task.job;
                let job = self.view.jobs.get(&id).filter(|_| !floors.shields(id))?;
                let k = self.view.job_slice(id, job.spec());
                let team = self.cfg.team(&job.spec().team);
                let borrowed = team.is_some_and(|t| {
                    let used = self.view.used(k, &job.spec().team);
                    used.0 > t.guarantee.0 + job.spec().need.cores
                });
                Some(Running {
                    booking: *b,
                    need: job.spec().need,
                    priority: job.priority(),
                    borrowed,
                })
            })
            .collect();
        // The more urgent are never reached; of the rest the latest have the least to lose.
        running.sort_by_key(|r| (r.priority, r.booking.2));
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
    fn borrows(&self, job: &Job, k: Slice) -> bool {
        let spec = job.spec();
        self.cfg.team(&spec.team).is_some_and(|t| {
            let used = self.view.used(k, &spec.team);
            // A team without a guarantee is always beyond it.
            used.0 + spec.need.cores > t.guarantee.0
                || spec.need.accelerators > 0 && used.1 + spec.need.accelerators > t.guarantee.1
        })
    }

    fn zones_of(&self, id: JobId) -> BTreeMap<&str, u32> {
        let mut zones = BTreeMap::new();
        for p in self.view.booked(id).into_iter().flat_map(|b| b.values()) {
            if let Some(r) = self.view.machine(p.machine) {
                *zones.entry(&*r.zone).or_default() += 1;
            }
        }
        zones
    }

    /// Whether a job's team has no slice yet, see [`Controller::unplaced`].
    pub(in crate::coordination) fn unplaced_job(&self, job: &Job) -> bool {
        self.cfg
            .team(&job.spec().team)
            .is_some_and(|t| self.unplaced(t))
    }

    /// All jobs with tasks to place, the most pressing first, and who is left behind.
    pub(super) fn jobs_in_order(&self) -> (Vec<Turn<'_>>, Floors<'_>) {
        let mut jobs: Vec<(Precedence, JobId, &Job)> = Vec::new();
        for (id, job) in &self.view.jobs {
            let none = !job.ready() || self.view.pending_count(*id, job) == 0;
            if none || self.backing_off(*id) || self.unplaced_job(job) || self.rules.bars(*id) {
                continue;
            }
            let spec = job.spec();
            let borrows = self.borrows(job, self.view.job_slice(*id, spec));
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
        let floors = self.floors(&jobs);
        let mut left = floors.clone();
        let (mut ahead, mut rest) = (Vec::new(), Vec::new());
        for (id, job) in jobs {
            let most = if self.rounds.is_suspect(id) {
                0
            } else {
                left.take(job, self.view.pending_count(id, job).into())
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
        (ahead, floors)
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
