//! Machines held for a set of tasks that has waited for long for room to start together.
//!
//! Room that is reserved anew in each plan never adds up under a lasting shortage: the machines change from plan to plan,
//! and starved jobs may take them. So one job at a time, the one that has waited the longest, has machines held for
//! all that it needs, full ones too; their tasks end there, and others use them only for what ends before the drain does.
//! Which job and which machines follows from the replica, so it is the same on all controllers and outlives any of them.

use crate::coordination::Controller;
use crate::scheduler::placement::{Drain, DrainCandidate, DrainDemand, EndingTask, drain};
use crate::storage::cell_state::Job;
use crate::storage::dependency_graph::expected_runtime;
use crate::storage::ids::{JobId, MachineId};
use crate::storage::job::JobSpec;
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::storage::resources::Amount;
use crate::time::Micros;
use std::collections::{BTreeSet, HashMap};

/// How long a job waits before machines are held for it.
const RESERVATION_DELAY: Micros = Micros::secs(45);

/// How long machines stay held while some that the job needs as well are lost and not yet replaced.
const REPLACEMENT_TIME: Micros = Micros::secs(60);

/// How much longer than twice its expected time a drain may take: a job that is not placed by then seems to be kept
/// from the machines by something else.
const OVERRUN: Micros = Micros::secs(60);

/// Most time after a reservation in which no other begins, so that others have their turn.
const MAX_PAUSE: Micros = Micros::secs(45);

/// A job needs most of a machine if a task takes more than one part in so many of the largest that it may use.
const MOST_OF_A_MACHINE: u64 = 2;

/// How many jobs a drain is computed for at a time: it takes a pass over all machines.
const MAX_TRIED: usize = 4;

/// When a job is tried again for which no drain was found.
const RETRY_DELAY: Micros = Micros::secs(10);

/// Machines held for one job.
#[derive(Clone, Debug)]
pub struct SetReservation {
    job: JobId,
    machines: BTreeSet<MachineId>,
    since: Micros,
    /// When the drain is expected to end. It is not put off: estimates are often wrong.
    drained_at: Micros,
    /// When all that the job needs was last held.
    complete_at: Micros,
}

impl SetReservation {
    /// Whether the drain takes so long that others have their turn first.
    fn has_overrun(&self, now: Micros) -> bool {
        now.since(self.drained_at) > self.drained_at.since(self.since) + OVERRUN
    }
}

/// The reservation in force, and the pause after the last one.
#[derive(Debug, Default)]
pub struct SetReservations {
    current: Option<SetReservation>,
    paused_until: Micros,
    /// Jobs for which no drain was found, and when they are tried again.
    retry_at: HashMap<JobId, Micros>,
}

impl SetReservations {
    /// The reservation in force.
    pub fn current(&self) -> Option<&SetReservation> {
        self.current.as_ref()
    }

    fn holds_for(&self, job: JobId) -> bool {
        self.current.as_ref().is_some_and(|held| held.job == job)
    }

    /// Whether it is time to look for machines for a job.
    fn is_due(&self, now: Micros, job: JobId) -> bool {
        self.retry_at.get(&job).is_none_or(|at| *at <= now)
    }

    /// Notes that no drain was found for these jobs.
    fn defer(&mut self, now: Micros, jobs: &[JobId]) {
        self.retry_at.retain(|_, at| *at > now);
        self.retry_at
            .extend(jobs.iter().map(|job| (*job, now + RETRY_DELAY)));
    }

    /// Whether the drain takes too long; its job is deferred then.
    fn defer_overrun(&mut self, now: Micros) -> bool {
        let overrun = self.current.as_ref().filter(|held| held.has_overrun(now));
        let job = overrun.map(|held| held.job);
        self.defer(now, job.as_slice());
        job.is_some()
    }

    /// Takes the drain that was chosen for a job.
    fn update(&mut self, now: Micros, job: JobId, drain: Drain, complete: bool) {
        let before = self.current.take().filter(|held| held.job == job);
        let (since, drained_at, complete_at) = before
            .map_or((now, now + drain.duration, now), |held| {
                (held.since, held.drained_at, held.complete_at)
            });
        self.current = Some(SetReservation {
            job,
            machines: drain.machines,
            since,
            drained_at,
            complete_at: if complete { now } else { complete_at },
        });
    }

    /// Ends the reservation in force. The pause after it is as long as it lasted, up to a bound.
    fn end(&mut self, now: Micros) {
        if let Some(held) = self.current.take() {
            self.paused_until = now + now.since(held.since).min(MAX_PAUSE);
        }
    }
}

impl Controller {
    /// Decides for which job machines are held, and which.
    pub(in crate::coordination) fn tick_set_reservation(&mut self) {
        let now = self.now.steady;
        let before = self.rounds.sets.current().map(|held| held.job);
        let overrun = self.rounds.sets.defer_overrun(now);
        if overrun || before.is_some_and(|job| !self.may_hold_machines(job)) {
            self.end_reservation();
        }
        if now < self.rounds.sets.paused_until {
            return;
        }
        let mut without_drain = Vec::new();
        let chosen = self.choose_reservation(&mut without_drain);
        self.rounds.sets.defer(now, &without_drain);
        match chosen {
            Some((job, drain, complete)) => {
                if before != Some(job) {
                    self.log_reservation_begin(job, &drain);
                }
                self.rounds.sets.update(now, job, drain, complete);
                self.rounds.request();
            }
            None => self.end_reservation(),
        }
    }

    fn end_reservation(&mut self) {
        self.log_reservation_end();
        self.rounds.sets.end(self.now.steady);
    }

    /// Whether machines are held for a job that still waits for them.
    pub(super) fn has_reservation(&self, id: JobId) -> bool {
        self.rounds.sets.holds_for(id) && self.may_hold_machines(id)
    }

    /// The job that machines are held for, if it still waits.
    pub(super) fn job_with_reservation(&self) -> Option<(JobId, &Job)> {
        let id = self.rounds.sets.current()?.job;
        let job = self.cell.jobs.get(&id)?;
        self.waits_for_machines(id, job).then_some((id, job))
    }

    /// The machines that are held for a job that still waits.
    pub(in crate::coordination) fn machines_held_for_set(&self) -> Option<&BTreeSet<MachineId>> {
        self.job_with_reservation()?;
        Some(&self.rounds.sets.current()?.machines)
    }

    /// How many tasks of a job start together: those of a set that are not assigned, or one.
    pub(super) fn tasks_needed_at_once(&self, id: JobId, job: &Job) -> u64 {
        if job.spec().runs_all_tasks_at_once() {
            self.cell.pending_count(id, job).into()
        } else {
            1
        }
    }

    /// Whether tasks of a job may use machines that are held for another: they must start at once, or end before the
    /// drain does.
    pub(super) fn may_use_held_machines(&self, id: JobId, spec: &JobSpec) -> bool {
        let Some(held) = self.rounds.sets.current() else {
            return true;
        };
        let ends_in_time = || {
            !spec.runs_all_tasks_at_once()
                && self.now.steady + expected_runtime(spec) <= held.drained_at
        };
        held.job == id || self.starts_at_once(spec) || ends_in_time()
    }

    /// The job that has waited the longest among those for which enough machines can be drained, the drain, and whether
    /// all that it needs is there. Appends the jobs without a drain to `without_drain`.
    fn choose_reservation(&self, without_drain: &mut Vec<JobId>) -> Option<(JobId, Drain, bool)> {
        let mut waiting: Vec<(Micros, JobId, &Job)> = self
            .cell
            .jobs
            .iter()
            .filter(|(id, job)| self.waits_for_machines(**id, job))
            .filter(|(id, _)| self.rounds.sets.is_due(self.now.steady, **id))
            .map(|(id, job)| (job.ready_since(), *id, job))
            .collect();
        waiting.sort_unstable_by_key(|(since, id, _)| (*since, *id));
        waiting
            .into_iter()
            .take(MAX_TRIED)
            .find_map(|(_, id, job)| {
                let chosen = self.drain_for(id, job);
                if chosen.is_none() {
                    without_drain.push(id);
                }
                chosen
            })
    }

    fn drain_for(&self, id: JobId, job: &Job) -> Option<(JobId, Drain, bool)> {
        if !self.can_free_quota(id, job) {
            return None;
        }
        let demand = self.drain_demand(id, job);
        let drain = drain(&self.drain_candidates(id, job.spec()), &demand);
        let complete = drain.tasks >= demand.tasks;
        (complete || self.may_be_completed(id)).then_some((id, drain, complete))
    }

    fn may_hold_machines(&self, id: JobId) -> bool {
        let job = self.cell.jobs.get(&id);
        job.is_some_and(|job| self.waits_for_machines(id, job))
    }

    /// Whether a job has waited so long for what it needs at once that machines are held for it.
    fn waits_for_machines(&self, id: JobId, job: &Job) -> bool {
        let spec = job.spec();
        self.now.day.since(job.ready_since()) > RESERVATION_DELAY
            && (self.cell.assigned(id).is_none() || spec.gang && self.is_in_parts(id))
            && (spec.runs_all_tasks_at_once() || self.needs_most_of_a_machine(spec))
            && self.is_placeable(id, job)
            && !self.rounds.is_suspect(id)
    }

    /// Whether a job that holds machines lacks some only since a short time.
    fn may_be_completed(&self, id: JobId) -> bool {
        self.rounds.sets.current().is_some_and(|held| {
            held.job == id && self.now.steady.since(held.complete_at) < REPLACEMENT_TIME
        })
    }

    fn needs_most_of_a_machine(&self, spec: &JobSpec) -> bool {
        let types = self.cell.machine_types().filter(|t| spec.fits_type(t));
        let rooms: Vec<Amount> = types.map(|machine_type| machine_type.room).collect();
        let needs_most = |need: u64, room: fn(&Amount) -> u64| {
            let largest = rooms.iter().map(room).max().unwrap_or(u64::MAX);
            need.saturating_mul(MOST_OF_A_MACHINE) > largest
        };
        needs_most(spec.need.cores, |room| room.cores)
            || needs_most(spec.need.memory, |room| room.memory)
    }

    /// Whether the team's limit leaves room for what a job needs at once when all tasks of the team that end have ended.
    fn can_free_quota(&self, id: JobId, job: &Job) -> bool {
        let Some(team) = self.settings.team(&job.spec().team) else {
            return true;
        };
        let mut used = job.spec().need.times(self.tasks_needed_at_once(id, job));
        for (other, service) in &self.cell.jobs {
            let spec = service.spec();
            if spec.service && spec.team == job.spec().team {
                used += spec.need.times(self.cell.assigned_count(*other).into());
            }
        }
        let within = |limit: Option<u64>, used: u64| limit.is_none_or(|limit| used <= limit);
        within(team.cores_limit, used.cores) && within(team.accelerators_limit, used.accelerators)
    }

    fn drain_demand(&self, id: JobId, job: &Job) -> DrainDemand {
        let spec = job.spec();
        DrainDemand {
            need: spec.need,
            tasks: self.tasks_needed_at_once(id, job),
            single_zone: spec.single_zone,
            zone_limit: spec.zone_limit().into(),
        }
    }

    fn drain_candidates(&self, id: JobId, spec: &JobSpec) -> Vec<DrainCandidate<'_>> {
        let now = self.now.steady;
        let is_usable = |machine: MachineId, record: &MachineRecord| {
            record.health == MachineHealth::Schedulable
                && spec.allows(&record.machine_type, &record.zone, record.spot)
                && self.zones.accepts_tasks(&record.zone, machine, now)
                && self.rules_allow_machine(id, machine)
        };
        self.cell
            .machines()
            .filter(|(_, machine, record)| is_usable(*machine, record))
            .map(|(_, machine, record)| DrainCandidate {
                machine,
                zone: &record.zone,
                free: self.cell.free(record),
                ending: self.ending_tasks(id, record),
            })
            .collect()
    }

    /// Tasks on a machine that end by themselves. Those of the set itself wait for the others.
    fn ending_tasks(&self, set: JobId, record: &MachineRecord) -> Vec<EndingTask> {
        record
            .tasks
            .iter()
            .filter(|assignment| assignment.job != set && !record.preempted.contains(assignment))
            .filter_map(|assignment| self.cell.jobs.get(&assignment.job))
            .map(Job::spec)
            .filter(|spec| !spec.service)
            .map(|spec| EndingTask {
                estimated_runtime: spec.estimated_runtime,
                need: spec.need,
            })
            .collect()
    }

    fn log_reservation_begin(&self, id: JobId, drain: &Drain) {
        tracing::info!(
            job = %id,
            tasks = drain.tasks,
            machines = drain.machines.len(),
            drain = %drain.duration,
            "machines held for a waiting set"
        );
    }

    fn log_reservation_end(&self) {
        let Some(held) = self.rounds.sets.current() else {
            return;
        };
        let placed = self.cell.assigned(held.job).is_some();
        let lasted = self.now.steady.since(held.since);
        tracing::info!(job = %held.job, placed, %lasted, "machines no longer held for a set");
    }
}

#[cfg(test)]
mod tests;
