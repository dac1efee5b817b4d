//! Zones that are lost and come back: what this controller hears of each, and what follows for the work there.
//!
//! See docs/zones.md. All of it is order, hiring and waiting; clearing stays as it is, machine by machine and on proof.
//! Where there is but one zone nothing of this applies.

use crate::coordination::Controller;
use crate::coordination::agents::HealthChange;
use crate::scheduler::zone_health::{Evidence, State, Zone};
use crate::storage::ids::{JobId, MachineId};
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Zones as this controller sees them.
#[derive(Debug, Default)]
pub struct Zones {
    all: BTreeMap<Arc<str>, Zone>,
    /// Since when this controller has had contact without a break.
    since: Micros,
}

/// What the sessions tell of one zone.
#[derive(Debug, Default)]
struct Word {
    machines: usize,
    last: Micros,
    unanswered: usize,
    heard_again: usize,
    /// Those that were heard before and can be asked, the longest silent first.
    silent: Vec<(Micros, MachineId)>,
}

impl Zones {
    /// Whether the zone may be lost, or seems to be.
    pub fn is_in_doubt(&self, zone: &str) -> bool {
        self.all.get(zone).is_some_and(Zone::is_in_doubt)
    }

    /// Since when the zone seems to be cut off or dead, if it does.
    fn lost_since(&self, zone: &str) -> Option<Micros> {
        self.all
            .get(zone)
            .filter(|z| z.state() == State::Lost)
            .map(Zone::since)
    }

    /// Whether the zone seems to be cut off or dead.
    pub fn is_lost(&self, zone: &str) -> bool {
        self.lost_since(zone).is_some()
    }

    /// Whether any zone is.
    pub fn any_lost(&self) -> bool {
        self.all.values().any(|z| z.state() == State::Lost)
    }

    /// Whether a machine of a zone takes new work: of one that returns a growing part does.
    pub fn takes_work(&self, zone: &str, m: MachineId, now: Micros) -> bool {
        self.all.get(zone).is_none_or(|z| z.takes_work(m.0, now))
    }
}

impl Controller {
    /// Without contact to the state service for longer than this a controller judges no zone.
    const CUT_OFF_ITSELF: Micros = Micros::secs(4);

    /// Looks at each zone: asks a few machines of one that has gone quiet, and marks all that it answers there once the
    /// zone seems to be lost.
    pub(in crate::coordination) fn tick_zones(&mut self) {
        let now = self.now.steady;
        if self.contact_age() > Self::CUT_OFF_ITSELF {
            // It may be this controller that is in the lost zone. What it hears now, and has not heard until contact is
            // back, says nothing of others.
            self.zones = Zones {
                since: now,
                ..Zones::default()
            };
            return;
        }
        let mut words = self.words_of_zones();
        if words.len() < 2 {
            self.zones.all.clear();
            return;
        }
        let report = self.settings.heartbeat_interval;
        let is_heard = |w: &Word| {
            w.machines > 0 && now.since(w.last) <= Zone::usual_silence(w.machines, report)
        };
        let heard = words.values().filter(|w| is_heard(w)).count();
        let deaf = self.cannot_hear_agents();
        let mut ask = Vec::new();
        for (zone, w) in &mut words {
            let others_heard = !deaf && heard > usize::from(is_heard(w));
            let e = Evidence {
                machines: w.machines,
                quiet: now.since(w.last),
                unanswered: w.unanswered,
                heard_again: w.heard_again,
                others_heard,
            };
            let zone_health = self.zones.all.entry(zone.clone()).or_default();
            if let Some(state) = zone_health.note(now, report, &e) {
                let (machines, quiet, unanswered) = (e.machines, e.quiet, e.unanswered);
                tracing::info!(zone = &**zone, ?state, machines, %quiet, unanswered, heard_again = e.heard_again, "the zone");
                self.rounds.request();
                self.autoscaler.schedule_check();
            }
            if zone_health.is_in_doubt() {
                w.silent.sort_unstable();
                ask.extend(w.silent.iter().take(Zone::ASKED).map(|(_, m)| *m));
            }
        }
        for m in ask {
            self.command(m, Vec::new(), Vec::new());
        }
        if self.zones.any_lost() {
            self.mark_unreachable_zones();
        }
    }

    fn words_of_zones(&self) -> BTreeMap<Arc<str>, Word> {
        let mut words: BTreeMap<Arc<str>, Word> = BTreeMap::new();
        for (m, s) in &self.agents {
            let Some(r) = self
                .cell
                .machine(*m)
                .filter(|r| r.health < MachineHealth::Decommissioning)
            else {
                continue;
            };
            let w = words.entry(r.zone.clone()).or_default();
            // Of one that was never heard in this tenure silence tells nothing.
            let Some(word) = s.last_sign_of_life() else {
                continue;
            };
            let word = word.max(self.stall.back()).max(self.zones.since);
            w.machines += 1;
            w.last = w.last.max(word);
            w.heard_again += usize::from(
                self.zones
                    .lost_since(&r.zone)
                    .is_some_and(|since| word > since),
            );
            w.unanswered += usize::from(s.is_unreachable());
            if s.may_be_asked() {
                w.silent.push((word, *m));
            }
        }
        // A zone whose machines all belong to others still counts as one that there is.
        for (_, _, r) in self.cell.machines() {
            if !words.contains_key(&r.zone) {
                words.entry(r.zone.clone()).or_default();
            }
        }
        words
    }

    /// Marks all machines that this controller answers in zones that seem to be lost, at once and together, instead of
    /// each when its own silence shows: so they take no more work, and others may see what is lost. Whoever is heard is
    /// marked well again by its report.
    fn mark_unreachable_zones(&mut self) {
        let mut health_changes = Vec::new();
        for (m, s) in &self.agents {
            let Some(r) = self
                .cell
                .machine(*m)
                .filter(|r| r.health < MachineHealth::Unreachable)
            else {
                continue;
            };
            if self
                .zones
                .lost_since(&r.zone)
                .is_some_and(|at| s.last_sign_of_life().is_none_or(|word| word < at))
            {
                health_changes.push((
                    *m,
                    HealthChange {
                        health: MachineHealth::Unreachable,
                        fenced_incarnation: r.fenced_incarnation,
                    },
                ));
            }
        }
        let count = health_changes
            .into_iter()
            .filter(|(m, mark)| self.rounds.set_health(*m, *mark))
            .count();
        if count > 0 {
            self.counters.lost_with_zones += count as u64;
            tracing::info!(machines = count, "marked as lost with their zones");
        }
    }

    /// Of jobs with tasks on machines of lost zones that would be late if they waited for the leases there and then for a
    /// boot, how many each has there: room is hired for these elsewhere ahead of the proof that they are gone. What has
    /// more time may still come back, or finds what others have left.
    pub(in crate::coordination) fn lost_with_zones(&self) -> HashMap<JobId, u64> {
        let mut lost = HashMap::new();
        if !self.zones.any_lost() {
            return lost;
        }
        let types = self.cell.machine_types();
        let boot = types
            .map(|t| self.expected_boot(&t.name))
            .max()
            .unwrap_or_default();
        let by = self.now.day + self.settings.lease + boot;
        for (_, _, r) in self.cell.machines() {
            if r.health == MachineHealth::Unreachable && self.zones.is_lost(&r.zone) {
                for b in &r.tasks {
                    *lost.entry(b.job).or_default() += 1;
                }
            }
        }
        lost.retain(|id, _| {
            self.cell
                .jobs
                .get(id)
                .is_some_and(|j| !j.cancelled() && self.latest_start(j) < by)
        });
        // Before the leases are over nothing of it can be booked, and by then others end. What has the most time left
        // finds its room there.
        let mut room = self.room_by_the_end_of_leases();
        let mut order: Vec<_> = lost
            .keys()
            .filter_map(|id| Some((self.latest_start(self.cell.jobs.get(id)?), *id)))
            .collect();
        order.sort_unstable();
        for (_, id) in order.into_iter().rev() {
            let each = self.cell.need(id).cores.max(1);
            if let Some(tasks) = lost.get_mut(&id) {
                let placed = (*tasks).min(room / each);
                room -= placed * each;
                *tasks -= placed;
            }
        }
        lost
    }

    /// Cores that are free outside lost zones by when leases that run now are over, as far as can be told: what is free,
    /// and the part of what runs that ends until then, less what waits and as much as came in as long a time before.
    fn room_by_the_end_of_leases(&self) -> u64 {
        let lease = self.settings.lease;
        let mut room = 0;
        for (_, r) in self.cell.machines_up() {
            room += self.cell.free(r).cores;
            for job in r.tasks.iter().filter_map(|b| self.cell.jobs.get(&b.job)) {
                let spec = job.spec();
                // When it began is not on record, but it was not before it was submitted.
                if self.now.day.since(job.record.submitted) + lease < spec.estimated_runtime {
                    continue;
                }
                let ends = lease.0.min(spec.estimated_runtime.0) as u128;
                room += (u128::from(spec.need.cores) * ends
                    / u128::from(spec.estimated_runtime.0.max(1))) as u64;
            }
        }
        let mut taken = 0;
        for (id, job) in self.cell.jobs.iter().filter(|(_, j)| !j.cancelled()) {
            let spec = job.spec();
            let came = self.now.day.since(job.record.submitted) < lease;
            let tasks = if came {
                spec.task_count
            } else {
                self.cell.pending_count(*id, job)
            };
            taken += u64::from(tasks) * spec.need.cores;
        }
        room.saturating_sub(taken)
    }

    /// Which machines of lost zones are worth releasing for their tasks: those with the most pressing ones first, as long
    /// as there is room elsewhere in which these could start. A release beyond that proves what nobody can use yet, and
    /// the machine may come back with its work done.
    pub(in crate::coordination) fn is_surplus(&self) -> BTreeSet<MachineId> {
        let mut worth = BTreeSet::new();
        if !self.zones.any_lost() {
            return worth;
        }
        let of = |r: &MachineRecord| {
            r.tasks
                .iter()
                .map(|b| b.attempt().task.job)
                .filter(|j| self.saturated(*j))
                .min()
        };
        let mut room = 0;
        let mut lost = Vec::new();
        for (_, m, r) in self.cell.machines() {
            if r.health == MachineHealth::Schedulable && !self.zones.is_in_doubt(&r.zone) {
                room += self.cell.free(r).cores;
            } else if r.health == MachineHealth::Decommissioning && self.zones.is_lost(&r.zone) {
                // What is on its way back already will want its room, too.
                room = room.saturating_sub(self.cores_on(r));
            } else if r.health == MachineHealth::Unreachable
                && self.zones.is_lost(&r.zone)
                && let Some(job) = of(r).and_then(|id| self.cell.jobs.get(&id))
            {
                lost.push((job.priority(), self.latest_start(job), m, self.cores_on(r)));
            }
        }
        lost.sort_unstable();
        for (_, _, m, cores) in lost {
            if cores > room {
                break;
            }
            room -= cores;
            worth.insert(m);
        }
        worth
    }

    fn cores_on(&self, r: &MachineRecord) -> u64 {
        r.tasks.iter().map(|b| self.cell.need(b.job).cores).sum()
    }
}
