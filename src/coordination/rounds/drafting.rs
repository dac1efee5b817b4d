//! What goes into a round: clearings, marks, additions and bookings, within the limits of a transaction.

use super::Drafted;
use crate::bookkeeping::amount::Amount;
use crate::bookkeeping::fleet::core_price;
use crate::bookkeeping::ids::{Attempt, JobId, MachineId, Slice, TaskId};
use crate::bookkeeping::placement::{Ask, Claim, Groups, Slot, plan, preempt};
use crate::bookkeeping::records::{Fitness, GroupRecord, Key};
use crate::bookkeeping::view::Job;
use crate::coordination::Controller;
use crate::coordination::draft::shrink::too_large;
use crate::coordination::draft::{Draft, Limits};
use crate::coordination::rules::jobs_there;
use crate::coordination::sessions::{Mark, Outcome};
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// How large a group should become. Every change of it is sent whole to every controller, so at
    /// the full rate of changes it must be read with a small part of the processor share; within
    /// that, the larger it is the more changes go out with one write.
    pub(super) fn part_bytes(&self) -> usize {
        /// Bytes of records that a whole core takes in a second, and the part of it to spend.
        const READ_RATE: f64 = 100e6 * 0.05;
        let affordable = self.cfg.core_share * READ_RATE / self.limits.write_rps();
        let most = self.limits.value_bytes();
        (affordable as usize).max(4_096).min(most - most / 16)
    }

    /// Bytes that a machine's record takes when the machine is full of the smallest tasks there are.
    fn full_bytes(&self, machine_type: &str) -> usize {
        let room = self
            .view
            .machine_type(machine_type)
            .map(|t| t.room)
            .unwrap_or_default();
        let tasks = self
            .view
            .jobs
            .values()
            .map(|j| j.spec().need.times_in(&room, 1_000))
            .max();
        GroupRecord::usual_bytes(tasks.unwrap_or(0).max(1), self.view.terse())
    }

    pub(super) fn draft_round(&mut self, limits: Limits, lean_only: bool) -> Option<Drafted> {
        // What the copy shows as carried out already is not wanted any more.
        let view = &self.view;
        let has = |m: MachineId, a: &Attempt| {
            view.place(a.task)
                .is_some_and(|p| p.machine == m && p.number == a.number)
        };
        self.rounds.clears.retain(|(m, a), _| has(*m, a));
        self.rounds.marks.retain(|m, mark| {
            view.machine(*m).is_some_and(|r| {
                r.fitness != Fitness::Releasing && (r.fitness, r.dead) != (mark.fitness, mark.dead)
            })
        });
        self.rounds.adds.retain(|m| view.machine(*m).is_none());
        self.rounds.gone.retain(|m| view.machine(*m).is_some());
        self.rounds.releasing.retain(|m| {
            view.machine(*m).is_some_and(|r| {
                r.fitness == Fitness::Lost || r.fitness != Fitness::Releasing && r.tasks.is_empty()
            })
        });

        // Every other round at most: what is urgent may never cease to come.
        if !std::mem::take(&mut self.rounds.lean)
            && let Some(drafted) = self.lean_round(limits)
        {
            self.rounds.lean = true;
            return Some(drafted);
        }
        if lean_only {
            return None;
        }
        // Every other round, too: nothing is booked on what is too large, but elsewhere work goes on.
        if !std::mem::take(&mut self.rounds.shrank)
            && let Some(drafted) = self.shrink_round(limits)
        {
            self.rounds.shrank = true;
            return Some(drafted);
        }
        let view = &self.view;
        let mut draft = Draft::new(view, limits);
        let mut cleared = 0;
        for m in &self.rounds.gone {
            let Some(r) = view.machine(*m) else { continue };
            let mut all = true;
            for b in &r.tasks {
                all &= draft.clear(*m, b.attempt(), Outcome::Again, 0);
                cleared += 1;
            }
            if all {
                draft.remove(*m);
            }
        }
        // Where a transaction holds few changes, clearings would leave nothing to bookings for as long as tasks end,
        // and the other way round: they take turns.
        let books_first = std::mem::take(&mut self.rounds.books_first);
        let mut booked = if books_first {
            self.book(&mut draft, false)
        } else {
            Vec::new()
        };
        for (m, a, outcome) in self.rounds.clears_in_order(view, self.now.steady) {
            if draft.clear(m, a, outcome, view.machine_slice(m)) {
                cleared += 1;
            }
        }
        let filled = draft.ops_left() == 0;
        for (m, mark) in &self.rounds.marks {
            draft.mark(*m, *mark, view.machine_slice(*m));
        }
        if !self.rounds.adds.is_empty() {
            let full = self.full_sizes();
            for m in &self.rounds.adds {
                if let Some(s) = self.sessions.get(m) {
                    let full = |machine_type: &str| full.get(machine_type).copied().unwrap_or(0);
                    draft.add(view.machine_slice(*m), *m, s.record(), &full);
                }
            }
        }
        for m in &self.rounds.releasing {
            let mark = Mark {
                fitness: Fitness::Releasing,
                dead: 0,
            };
            draft.mark(*m, mark, 0);
        }
        let mut ended: Vec<JobId> = view
            .jobs
            .iter()
            .filter(|(id, j)| {
                let over = j.cancelled() || j.done() >= j.spec().task_count;
                over && view.booked(**id).is_none() && self.owns(view.job_slice(**id, j.spec()))
            })
            .map(|(id, _)| *id)
            .collect();
        // The order of a hash map differs from process to process.
        ended.sort_unstable();
        for id in ended {
            if view.jobs.get(&id).is_some_and(Job::cancelled) {
                draft.end_cancelled(id);
            } else {
                draft.end_done(id);
            }
        }
        let mut unsettled: Vec<JobId> = view
            .jobs
            .iter()
            .filter(|(_, j)| !j.record.finished.covers(&j.ends) && self.unplaced_job(j))
            .filter(|(id, j)| self.owns(view.job_slice(**id, j.spec())))
            .map(|(id, _)| *id)
            .collect();
        unsettled.sort_unstable();
        for id in unsettled {
            draft.settle(id);
        }
        if !books_first {
            booked = self.book(&mut draft, false);
        }
        let drafted = (!draft.is_empty()).then(|| Drafted {
            commit: draft.commit(),
            booked,
            cleared,
        });
        self.rounds.books_first = filled && drafted.as_ref().is_some_and(|d| d.booked.is_empty());
        drafted
    }

    /// Bytes that machines take when they are full, by type.
    fn full_sizes(&self) -> BTreeMap<String, usize> {
        let types = self.view.machine_types();
        types
            .map(|t| (t.name.clone(), self.full_bytes(&t.name)))
            .collect()
    }

    /// Looks for own records that are larger than they will be allowed to be. Once all controllers have
    /// this version none is written any more, so that is done when that is so, and after takeovers.
    pub(in crate::coordination) fn find_large(&mut self) {
        if !self.view.terse() {
            return;
        }
        let most = self.limits.value_bytes();
        for k in 0..self.view.own.len() {
            if !self.owns(k) {
                continue;
            }
            let groups = self.view.groups[k].keys().map(|n| Key::Group(k, *n));
            let large = groups
                .chain([Key::Usage(k)])
                .filter(|key| too_large(&self.view, key, most));
            self.rounds.large.extend(large);
        }
        if !self.rounds.large.is_empty() {
            tracing::info!(records = ?self.rounds.large, most, "records to be brought down to the size to come");
            self.rounds.look();
        }
    }

    /// A step that brings down a record that is too large, the largest kind first.
    fn shrink_round(&mut self, limits: Limits) -> Option<Drafted> {
        let view = &self.view;
        let owned = |key: &Key| matches!(key, Key::Group(k, _) | Key::Usage(k) if self.ownership.tenure(*k).is_some());
        self.rounds
            .large
            .retain(|key| owned(key) && too_large(view, key, limits.value_bytes));
        if self.rounds.large.is_empty() {
            return None;
        }
        let full = self.full_sizes();
        let full = |machine_type: &str| full.get(machine_type).copied().unwrap_or(0);
        let me = self.me();
        for key in &self.rounds.large {
            let mut draft = Draft::new(&self.view, limits);
            if draft.shrink(key, &me, &full) {
                tracing::info!(record = %key, "bringing down to the size to come");
                return Some(Drafted {
                    commit: draft.commit(),
                    booked: Vec::new(),
                    cleared: 0,
                });
            }
        }
        None
    }

    /// A round for what must start at once, and for the ends that go along with its records. The
    /// fewer records a round writes the less it clashes, and the sooner there may be another. None
    /// if there is nothing of the kind, or if it needs the room that ends give back.
    fn lean_round(&self, limits: Limits) -> Option<Drafted> {
        let urgent = self.view.jobs.iter().filter(|(id, j)| self.urgent(**id, j));
        let waiting: u32 = urgent.map(|(id, j)| self.view.pending_count(*id, j)).sum();
        if waiting == 0 {
            return None;
        }
        let mut draft = Draft::new(&self.view, limits);
        let booked = self.book(&mut draft, true);
        if booked.len() < waiting as usize {
            return None;
        }
        let mut cleared = 0;
        for (m, a, outcome) in self.rounds.clears_in_order(&self.view, self.now.steady) {
            if draft.covers(m, a) && draft.clear(m, a, outcome, self.view.machine_slice(m)) {
                cleared += 1;
            }
        }
        Some(Drafted {
            commit: draft.commit(),
            booked,
            cleared,
        })
    }

    /// How often those that have waited for long are planned in one round: where a team's limit has room for one task more, one
    /// that finds no machine must not hold it from the next.
    const PATIENT_PASSES: usize = 6;

    /// One in so many of the changes left is for groups, however many usage records are to be written.
    const GROUPS_PART: usize = 3;

    /// Plans on the copy as the draft would leave it, and books what the draft can take; of the own
    /// jobs, if `at_once`, only those that must start at once.
    pub(super) fn book(&self, draft: &mut Draft<'_>, at_once: bool) -> Vec<(Claim, u64)> {
        let (turns, floors) = self.jobs_in_order();
        if !turns
            .iter()
            .any(|t| self.owns(self.view.job_slice(t.id, t.job.spec())))
        {
            return Vec::new();
        }
        let house = self.rules.active().then(|| self.house());
        let waited: Vec<(JobId, &Job)> = turns
            .iter()
            .map(|t| (t.id, t.job))
            .filter(|t| self.has_waited(t.0))
            .collect();
        let mut asks = self.asks(turns, None, draft, house.as_ref());
        if at_once {
            asks.iter_mut()
                .for_each(|a| a.mine &= self.starts_at_once(a.spec));
        }
        let owners = self.owner_numbers();
        let mut groups = Groups::default();
        let mut numbers = BTreeMap::new();
        // By copy: the draft's machines borrow from the draft, which the bookings then change.
        let machines: Vec<(Slice, usize, MachineId, Amount)> = draft
            .machines()
            .filter(|(_, _, r)| r.fitness == Fitness::Up)
            .map(|(at, m, r)| {
                let group = *numbers.entry(at).or_insert_with(|| {
                    groups.open.push(draft.writes_group(at));
                    groups.open.len() - 1
                });
                (at.0, group, m, self.view.free(r))
            })
            .collect();
        let mut slices: Vec<Slice> = asks.iter().filter(|a| a.mine).map(|a| a.owner).collect();
        slices.sort_unstable();
        slices.dedup();
        let usages = slices.iter().filter(|k| !draft.writes_usage(**k)).count();
        // Teams of more slices may wait than a transaction has changes: some of these stay for groups, or nothing at all
        // would be booked. Who finds no change left then comes in the next round.
        let least = (draft.ops_left() / Self::GROUPS_PART)
            .max(1)
            .min(draft.ops_left());
        groups.left = draft.ops_left().saturating_sub(usages).max(least);
        for a in &mut asks {
            a.owner = owners[a.owner];
        }
        // Machines of zones that are coming back, or that others hear though they seem lost from here: for who has waited for long.
        let mut resting = Vec::new();
        let mut slots: Vec<Slot<'_>> = machines
            .into_iter()
            .filter_map(|(k, group, machine, free)| {
                // A machine that the draft adds is planned on in the next round.
                let r = self.view.machine(machine)?;
                let rests = !self.zones.takes_work(&r.zone, machine, self.now.steady);
                if rests && waited.is_empty() {
                    return None;
                }
                let t = self.view.machine_type(&r.machine_type)?;
                let there = match house {
                    Some(h) if h.beside => draft
                        .machine(machine)
                        .map_or(Vec::new(), |r| jobs_there(&r.tasks)),
                    _ => Vec::new(),
                };
                let slot = Slot {
                    machine,
                    group,
                    owner: owners[k],
                    machine_type: &r.machine_type,
                    zone: &r.zone,
                    spot: r.spot,
                    price: core_price(t, r.spot),
                    all: t.room,
                    free,
                    kept: false,
                    images: &r.images,
                    fetches: None,
                    running: Vec::new(),
                    class: house
                        .and_then(|_| self.view.classes.of(machine))
                        .unwrap_or_default(),
                    guarded: house.is_some_and(|h| there.iter().any(|j| h.guards(*j))),
                    there,
                };
                if rests {
                    resting.push(slot);
                    return None;
                }
                Some(slot)
            })
            .collect();
        let mut claims = plan(&mut slots, &mut asks, &mut groups, Self::CLAIMS);
        let sets = |asks: &[Ask<'_>]| {
            asks.iter()
                .filter(|a| a.whole)
                .map(|a| a.job)
                .collect::<Vec<_>>()
        };
        let mut whole: BTreeSet<JobId> = sets(&asks).into_iter().collect();
        let number = self.view.latest;
        let attempt = |c: &Claim| Attempt {
            task: TaskId {
                job: c.job,
                index: c.index,
            },
            number,
        };
        let mut booked = Vec::new();
        let mut so_far = claims.clone();
        if asks.iter().any(|a| a.mine && a.preempts) {
            let running = |m| {
                self.view
                    .machine(m)
                    .map_or(Vec::new(), |r| self.running(r, draft.machine(m), &floors))
            };
            for t in preempt(&mut slots, &asks, &claims, Self::TAKEOVERS, &running) {
                so_far.extend(&t.claims);
                let tasks: Vec<Attempt> = t.claims.iter().map(attempt).collect();
                if draft.book_over(t.machine, &t.victims, &tasks) {
                    for v in &t.victims {
                        tracing::info!(task = %v.attempt(), machine = %t.machine, by = %t.claims[0].job, "preempting");
                    }
                    booked.extend(t.claims.iter().map(|c| (*c, number)));
                }
            }
        }
        if !at_once && !waited.is_empty() && claims.len() < Self::CLAIMS {
            slots.append(&mut resting);
            slots.iter_mut().for_each(|s| s.kept = false);
            let mut vain = BTreeSet::new();
            for _ in 0..Self::PATIENT_PASSES {
                let turns = waited.iter().filter(|(id, _)| !vain.contains(id));
                let mut asks = self.asks_of_the_patient(turns, &so_far, draft, house.as_ref());
                for a in &mut asks {
                    a.owner = owners[a.owner];
                }
                whole.extend(sets(&asks));
                let new = plan(
                    &mut slots,
                    &mut asks,
                    &mut groups,
                    Self::CLAIMS - claims.len(),
                );
                // What of its team's limit was set aside for one that finds no room is for the others again.
                vain.extend(
                    asks.iter()
                        .map(|a| a.job)
                        .filter(|id| new.iter().all(|c| c.job != *id)),
                );
                if asks.is_empty() || claims.len() + new.len() >= Self::CLAIMS {
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
            if whole.contains(&of_job[0].job) {
                if draft.book_all(&set) {
                    booked.extend(of_job.iter().map(|c| (*c, number)));
                }
                continue;
            }
            for (c, (m, a)) in of_job.iter().zip(set) {
                if draft.book(m, a) {
                    booked.push((*c, number));
                }
            }
        }
        booked
    }

    /// A number for each slice that is the same for slices of one owner.
    fn owner_numbers(&self) -> Vec<usize> {
        let owner = |k: Slice| self.view.own[k].value.as_ref().map(|o| &o.node);
        (0..self.view.own.len())
            .map(|k| {
                (0..k)
                    .find(|j| owner(*j).is_some() && owner(*j) == owner(k))
                    .unwrap_or(k)
            })
            .collect()
    }
}
