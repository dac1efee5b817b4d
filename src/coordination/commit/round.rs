//! What goes into a round: clearings, marks, additions and bookings, within the limits of a transaction.

use super::PlannedRound;
use crate::coordination::Controller;
use crate::coordination::agents::{HealthChange, Outcome};
use crate::coordination::commit::transaction::compaction::too_large;
use crate::coordination::commit::transaction::{Limits, TransactionBuilder};
use crate::coordination::constraints::jobs_there;
use crate::scheduler::placement::{
    Candidate, Claim, GroupAllowance, PlacementRequest, plan, preempt,
};
use crate::scheduler::provisioning::core_price;
use crate::storage::cell_state::Job;
use crate::storage::ids::{Attempt, JobId, MachineId, ShardId, TaskId};
use crate::storage::records::{GroupRecord, Key, MachineHealth};
use crate::storage::resources::Amount;
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// How large a group should become. Every change of it is sent whole to every controller, so at
    /// the full rate of changes it must be read with a small part of the processor share; within
    /// that, the larger it is the more changes go out with one write.
    pub(super) fn part_bytes(&self) -> usize {
        /// Bytes of records that a whole core takes in a second, and the part of it to spend.
        const READ_RATE: f64 = 100e6 * 0.05;
        let affordable = self.settings.core_share * READ_RATE / self.limits.write_rps();
        let most = self.limits.value_bytes();
        (affordable as usize).max(4_096).min(most - most / 16)
    }

    /// Bytes that a machine's record takes when the machine is full of the smallest tasks there are.
    fn full_bytes(&self, machine_type: &str) -> usize {
        let room = self
            .cell
            .machine_type(machine_type)
            .map(|t| t.room)
            .unwrap_or_default();
        let tasks = self
            .cell
            .jobs
            .values()
            .map(|j| j.spec().need.times_in(&room, 1_000))
            .max();
        GroupRecord::usual_bytes(tasks.unwrap_or(0).max(1), self.cell.terse())
    }

    pub(super) fn plan_round(&mut self, limits: Limits, urgent_only: bool) -> Option<PlannedRound> {
        // What the copy shows as carried out already is not wanted any more.
        let cell = &self.cell;
        let has = |m: MachineId, a: &Attempt| {
            cell.place(a.task)
                .is_some_and(|p| p.machine == m && p.number == a.number)
        };
        self.rounds.pending_releases.retain(|(m, a), _| has(*m, a));
        self.rounds.health_changes.retain(|m, mark| {
            cell.machine(*m).is_some_and(|r| {
                r.health != MachineHealth::Decommissioning
                    && (r.health, r.fenced_incarnation) != (mark.health, mark.fenced_incarnation)
            })
        });
        self.rounds.adds.retain(|m| cell.machine(*m).is_none());
        self.rounds.gone.retain(|m| cell.machine(*m).is_some());
        self.rounds.releasing.retain(|m| {
            cell.machine(*m).is_some_and(|r| {
                r.health == MachineHealth::Unreachable
                    || r.health != MachineHealth::Decommissioning && r.tasks.is_empty()
            })
        });

        // Every other round at most: what is urgent may never cease to come.
        if !std::mem::take(&mut self.rounds.urgent_only)
            && let Some(planned) = self.plan_urgent_round(limits)
        {
            self.rounds.urgent_only = true;
            return Some(planned);
        }
        if urgent_only {
            return None;
        }
        // Every other round, too: nothing is booked on what is too large, but elsewhere work goes on.
        if !std::mem::take(&mut self.rounds.compacted)
            && let Some(planned) = self.plan_compaction_round(limits)
        {
            self.rounds.compacted = true;
            return Some(planned);
        }
        let cell = &self.cell;
        let mut transaction = TransactionBuilder::new(cell, limits);
        let mut released = 0;
        for m in &self.rounds.gone {
            let Some(r) = cell.machine(*m) else { continue };
            let mut all = true;
            for b in &r.tasks {
                all &= transaction.release(*m, b.attempt(), Outcome::Again, 0);
                released += 1;
            }
            if all {
                transaction.remove(*m);
            }
        }
        // Where a transaction holds few changes, clearings would leave nothing to bookings for as long as tasks end,
        // and the other way round: they take turns.
        let assignments_first = std::mem::take(&mut self.rounds.assignments_first);
        let mut assigned = if assignments_first {
            self.assign(&mut transaction, false)
        } else {
            Vec::new()
        };
        for (m, a, outcome) in self.rounds.releases_in_order(cell, self.now.steady) {
            if transaction.release(m, a, outcome, cell.shard_of_machine(m)) {
                released += 1;
            }
        }
        let filled = transaction.ops_left() == 0;
        for (m, mark) in &self.rounds.health_changes {
            transaction.set_health(*m, *mark, cell.shard_of_machine(*m));
        }
        if !self.rounds.adds.is_empty() {
            let full = self.full_sizes();
            for m in &self.rounds.adds {
                if let Some(s) = self.agents.get(m) {
                    let full = |machine_type: &str| full.get(machine_type).copied().unwrap_or(0);
                    transaction.add(cell.shard_of_machine(*m), *m, s.record(), &full);
                }
            }
        }
        for m in &self.rounds.releasing {
            let mark = HealthChange {
                health: MachineHealth::Decommissioning,
                fenced_incarnation: 0,
            };
            transaction.set_health(*m, mark, 0);
        }
        let mut ended: Vec<JobId> = cell
            .jobs
            .iter()
            .filter(|(id, j)| {
                let over = j.cancelled() || j.done() >= j.spec().task_count;
                over && cell.assigned(**id).is_none()
                    && self.leads(cell.shard_of_job(**id, j.spec()))
            })
            .map(|(id, _)| *id)
            .collect();
        // The order of a hash map differs from process to process.
        ended.sort_unstable();
        for id in ended {
            if cell.jobs.get(&id).is_some_and(Job::cancelled) {
                transaction.end_cancelled(id);
            } else {
                transaction.end_done(id);
            }
        }
        let mut unsettled: Vec<JobId> = cell
            .jobs
            .iter()
            .filter(|(_, j)| {
                !j.record.finished.covers(&j.ends) && self.belongs_to_team_without_shard(j)
            })
            .filter(|(id, j)| self.leads(cell.shard_of_job(**id, j.spec())))
            .map(|(id, _)| *id)
            .collect();
        unsettled.sort_unstable();
        for id in unsettled {
            transaction.settle(id);
        }
        if !assignments_first {
            assigned = self.assign(&mut transaction, false);
        }
        let planned = (!transaction.is_empty()).then(|| PlannedRound {
            commit: transaction.commit(),
            assigned,
            released,
        });
        self.rounds.assignments_first =
            filled && planned.as_ref().is_some_and(|d| d.assigned.is_empty());
        planned
    }

    /// Bytes that machines take when they are full, by type.
    fn full_sizes(&self) -> BTreeMap<String, usize> {
        let types = self.cell.machine_types();
        types
            .map(|t| (t.name.clone(), self.full_bytes(&t.name)))
            .collect()
    }

    /// Looks for own records that are larger than they will be allowed to be. Once all controllers have
    /// this version none is written any more, so that is done when that is so, and after takeovers.
    pub(in crate::coordination) fn find_large(&mut self) {
        if !self.cell.terse() {
            return;
        }
        let most = self.limits.value_bytes();
        for k in 0..self.cell.leaders.len() {
            if !self.leads(k) {
                continue;
            }
            let groups = self.cell.groups[k].keys().map(|n| Key::Group(k, *n));
            let large = groups
                .chain([Key::Usage(k)])
                .filter(|key| too_large(&self.cell, key, most));
            self.rounds.large.extend(large);
        }
        if !self.rounds.large.is_empty() {
            tracing::info!(records = ?self.rounds.large, most, "records to be brought down to the size to come");
            self.rounds.request();
        }
    }

    /// A step that brings down a record that is too large, the largest kind first.
    fn plan_compaction_round(&mut self, limits: Limits) -> Option<PlannedRound> {
        let cell = &self.cell;
        let owned = |key: &Key| matches!(key, Key::Group(k, _) | Key::Usage(k) if self.leadership.leader_term(*k).is_some());
        self.rounds
            .large
            .retain(|key| owned(key) && too_large(cell, key, limits.value_bytes));
        if self.rounds.large.is_empty() {
            return None;
        }
        let full = self.full_sizes();
        let full = |machine_type: &str| full.get(machine_type).copied().unwrap_or(0);
        let leader_record = self.leader_record();
        for key in &self.rounds.large {
            let mut transaction = TransactionBuilder::new(&self.cell, limits);
            if transaction.compact(key, &leader_record, &full) {
                tracing::info!(record = %key, "bringing down to the size to come");
                return Some(PlannedRound {
                    commit: transaction.commit(),
                    assigned: Vec::new(),
                    released: 0,
                });
            }
        }
        None
    }

    /// A round for what must start at once, and for the ends that go along with its records. The
    /// fewer records a round writes the less it clashes, and the sooner there may be another. None
    /// if there is nothing of the kind, or if it needs the room that ends give back.
    fn plan_urgent_round(&self, limits: Limits) -> Option<PlannedRound> {
        let urgent = self.cell.jobs.iter().filter(|(id, j)| self.urgent(**id, j));
        let waiting: u32 = urgent.map(|(id, j)| self.cell.pending_count(*id, j)).sum();
        if waiting == 0 {
            return None;
        }
        let mut transaction = TransactionBuilder::new(&self.cell, limits);
        let assigned = self.assign(&mut transaction, true);
        if assigned.len() < waiting as usize {
            return None;
        }
        let mut released = 0;
        for (m, a, outcome) in self.rounds.releases_in_order(&self.cell, self.now.steady) {
            if transaction.covers(m, a)
                && transaction.release(m, a, outcome, self.cell.shard_of_machine(m))
            {
                released += 1;
            }
        }
        Some(PlannedRound {
            commit: transaction.commit(),
            assigned,
            released,
        })
    }

    /// How often those that have waited for long are planned in one round: where a team's limit has room for one task more, one
    /// that finds no machine must not hold it from the next.
    const STARVED_JOB_PASSES: usize = 6;

    /// One in so many of the changes left is for groups, however many usage records are to be written.
    const GROUPS_PART: usize = 3;

    /// Plans on the copy as the draft would leave it, and books what the draft can take; of the own
    /// jobs, if `at_once`, only those that must start at once.
    pub(super) fn assign(
        &self,
        transaction: &mut TransactionBuilder<'_>,
        at_once: bool,
    ) -> Vec<(Claim, u64)> {
        let (turns, fair_shares) = self.jobs_in_order();
        if !turns
            .iter()
            .any(|t| self.leads(self.cell.shard_of_job(t.id, t.job.spec())))
        {
            return Vec::new();
        }
        let context = self.rules.active().then(|| self.context());
        let waited: Vec<(JobId, &Job)> = turns
            .iter()
            .map(|t| (t.id, t.job))
            .filter(|t| self.is_job_starved(t.0))
            .collect();
        let mut requests = self.requests(turns, None, transaction, context.as_ref());
        if at_once {
            requests
                .iter_mut()
                .for_each(|a| a.mine &= self.starts_at_once(a.spec));
        }
        let owners = self.owner_numbers();
        let mut groups = GroupAllowance::default();
        let mut numbers = BTreeMap::new();
        // By copy: the draft's machines borrow from the draft, which the bookings then change.
        let machines: Vec<(ShardId, usize, MachineId, Amount)> = transaction
            .machines()
            .filter(|(_, _, r)| r.health == MachineHealth::Schedulable)
            .map(|(at, m, r)| {
                let group = *numbers.entry(at).or_insert_with(|| {
                    groups.open.push(transaction.writes_group(at));
                    groups.open.len() - 1
                });
                (at.0, group, m, self.cell.free(r))
            })
            .collect();
        let mut shards: Vec<ShardId> = requests
            .iter()
            .filter(|a| a.mine)
            .map(|a| a.owner)
            .collect();
        shards.sort_unstable();
        shards.dedup();
        let usages = shards
            .iter()
            .filter(|k| !transaction.writes_usage(**k))
            .count();
        // Teams of more slices may wait than a transaction has changes: some of these stay for groups, or nothing at all
        // would be booked. Who finds no change left then comes in the next round.
        let least = (transaction.ops_left() / Self::GROUPS_PART)
            .max(1)
            .min(transaction.ops_left());
        groups.left = transaction.ops_left().saturating_sub(usages).max(least);
        for a in &mut requests {
            a.owner = owners[a.owner];
        }
        // Machines of zones that are coming back, or that others hear though they seem lost from here: for who has waited for long.
        let mut resting = Vec::new();
        let mut candidates: Vec<Candidate<'_>> = machines
            .into_iter()
            .filter_map(|(k, group, machine, free)| {
                // A machine that the draft adds is planned on in the next round.
                let r = self.cell.machine(machine)?;
                let rests = !self.zones.takes_work(&r.zone, machine, self.now.steady);
                if rests && waited.is_empty() {
                    return None;
                }
                let t = self.cell.machine_type(&r.machine_type)?;
                let there = match context {
                    Some(h) if h.colocated => transaction
                        .machine(machine)
                        .map_or(Vec::new(), |r| jobs_there(&r.tasks)),
                    _ => Vec::new(),
                };
                let candidate = Candidate {
                    machine,
                    group,
                    owner: owners[k],
                    machine_type: &r.machine_type,
                    zone: &r.zone,
                    spot: r.spot,
                    price: core_price(t, r.spot),
                    all: t.room,
                    free,
                    reserved: false,
                    images: &r.images,
                    fetches: None,
                    running: Vec::new(),
                    class: context
                        .and_then(|_| self.cell.classes.of(machine))
                        .unwrap_or_default(),
                    has_exclusions: context
                        .is_some_and(|h| there.iter().any(|j| h.excludes_newcomers(*j))),
                    there,
                };
                if rests {
                    resting.push(candidate);
                    return None;
                }
                Some(candidate)
            })
            .collect();
        let mut claims = plan(&mut candidates, &mut requests, &mut groups, Self::CLAIMS);
        let sets = |requests: &[PlacementRequest<'_>]| {
            requests
                .iter()
                .filter(|a| a.all_or_nothing)
                .map(|a| a.job)
                .collect::<Vec<_>>()
        };
        let mut all_or_nothing: BTreeSet<JobId> = sets(&requests).into_iter().collect();
        let number = self.cell.latest;
        let attempt = |c: &Claim| Attempt {
            task: TaskId {
                job: c.job,
                index: c.index,
            },
            number,
        };
        let mut assigned = Vec::new();
        let mut so_far = claims.clone();
        if requests.iter().any(|a| a.mine && a.preempts) {
            let running = |m| {
                self.cell.machine(m).map_or(Vec::new(), |r| {
                    self.running(r, transaction.machine(m), &fair_shares)
                })
            };
            for t in preempt(
                &mut candidates,
                &requests,
                &claims,
                Self::PREEMPTIONS,
                &running,
            ) {
                so_far.extend(&t.claims);
                let tasks: Vec<Attempt> = t.claims.iter().map(attempt).collect();
                if transaction.assign_preempting(t.machine, &t.victims, &tasks) {
                    for v in &t.victims {
                        tracing::info!(task = %v.attempt(), machine = %t.machine, by = %t.claims[0].job, "preempting");
                    }
                    assigned.extend(t.claims.iter().map(|c| (*c, number)));
                }
            }
        }
        if !at_once && !waited.is_empty() && claims.len() < Self::CLAIMS {
            candidates.append(&mut resting);
            candidates.iter_mut().for_each(|s| s.reserved = false);
            let mut vain = BTreeSet::new();
            for _ in 0..Self::STARVED_JOB_PASSES {
                let turns = waited.iter().filter(|(id, _)| !vain.contains(id));
                let mut requests =
                    self.requests_of_starved_jobs(turns, &so_far, transaction, context.as_ref());
                for a in &mut requests {
                    a.owner = owners[a.owner];
                }
                all_or_nothing.extend(sets(&requests));
                let new = plan(
                    &mut candidates,
                    &mut requests,
                    &mut groups,
                    Self::CLAIMS - claims.len(),
                );
                // What of its team's limit was set aside for one that finds no room is for the others again.
                vain.extend(
                    requests
                        .iter()
                        .map(|a| a.job)
                        .filter(|id| new.iter().all(|c| c.job != *id)),
                );
                if requests.is_empty() || claims.len() + new.len() >= Self::CLAIMS {
                    claims.extend(new);
                    break;
                }
                so_far.extend(&new);
                claims.extend(new);
            }
        }
        for of_job in claims.chunk_by(|a, b| a.job == b.job) {
            let set: Vec<(MachineId, Attempt)> =
                of_job.iter().map(|c| (c.machine, attempt(c))).collect();
            if all_or_nothing.contains(&of_job[0].job) {
                if transaction.assign_all(&set) {
                    assigned.extend(of_job.iter().map(|c| (*c, number)));
                }
                continue;
            }
            for (c, (m, a)) in of_job.iter().zip(set) {
                if transaction.assign(m, a) {
                    assigned.push((*c, number));
                }
            }
        }
        assigned
    }

    /// A number for each slice that is the same for slices of one owner.
    fn owner_numbers(&self) -> Vec<usize> {
        let owner = |k: ShardId| self.cell.leaders[k].value.as_ref().map(|o| &o.node);
        (0..self.cell.leaders.len())
            .map(|k| {
                (0..k)
                    .find(|j| owner(*j).is_some() && owner(*j) == owner(k))
                    .unwrap_or(k)
            })
            .collect()
    }
}
