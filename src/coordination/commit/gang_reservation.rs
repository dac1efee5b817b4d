//! Gang reservation: machines reserved for a gang that has waited long for enough free capacity to start together. A
//! single task that needs most of a machine is treated in the same way.
//!
//! Reservations within one plan never add up to a whole gang under a lasting shortage: the reserved machines change from
//! plan to plan, and starved jobs may use them. So one job at a time, the one that has waited the longest, gets a
//! reservation for everything that it needs. The reservation may include full machines: the tasks that run there are left
//! to end, and other jobs use the machines only for backfill that ends before the reservation is expected to be complete.
//! The job and the machines follow from the replica alone, so all controllers make the same choice, and the reservation
//! survives the failure of any controller.

use crate::coordination::Controller;
use crate::scheduler::placement::{
    EndingTask, GangDemand, ReservationCandidate, ReservedMachines, select_reserved_machines,
};
use crate::storage::cell_state::Job;
use crate::storage::dependency_graph::expected_runtime;
use crate::storage::ids::{JobId, MachineId};
use crate::storage::job::JobSpec;
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::storage::resources::Amount;
use crate::time::Micros;
use std::collections::{BTreeSet, HashMap};

/// How long a job waits before machines are reserved for it.
const RESERVATION_DELAY: Micros = Micros::secs(45);

/// How long a reservation is kept after it has lost machines that the job needs and that are not replaced yet.
const REPLACEMENT_TIMEOUT: Micros = Micros::secs(60);

/// How much longer than twice its expected duration a reservation may last. A job that is not placed by then is probably
/// kept from the machines by something else.
const OVERDUE_GRACE_PERIOD: Micros = Micros::secs(60);

/// Longest pause between two reservations. No reservation begins during the pause, so that other jobs can use the
/// machines.
const MAX_PAUSE_BETWEEN_RESERVATIONS: Micros = Micros::secs(45);

/// A job needs most of a machine if one of its tasks takes more than the largest machine that it may use divided by this
/// number.
const LARGE_TASK_MACHINE_DIVISOR: u64 = 2;

/// For how many jobs a reservation is computed in one tick: each computation takes a pass over all machines.
const MAX_JOBS_TRIED_PER_TICK: usize = 4;

/// Delay after which a job is tried again for which not enough machines were found.
const RETRY_DELAY: Micros = Micros::secs(10);

/// Machines reserved for one job.
#[derive(Clone, Debug)]
pub struct GangReservation {
    job: JobId,
    machines: BTreeSet<MachineId>,
    since: Micros,
    /// When the reservation is expected to be complete, that is, when the tasks that have to end have ended. This is not
    /// postponed when the machines change, since estimates of run times are often wrong.
    expected_complete_at: Micros,
    /// When the reservation last covered all that the job needs.
    last_sufficient_at: Micros,
}

impl GangReservation {
    /// Whether the reservation takes so much longer than expected that other jobs should be tried first.
    fn is_overdue(&self, now: Micros) -> bool {
        now.since(self.expected_complete_at)
            > self.expected_complete_at.since(self.since) + OVERDUE_GRACE_PERIOD
    }
}

/// The reservation in force, and the pause after the last one.
#[derive(Debug, Default)]
pub struct GangReservations {
    current: Option<GangReservation>,
    paused_until: Micros,
    /// Jobs for which not enough machines were found, and when they are tried again.
    retry_at: HashMap<JobId, Micros>,
}

impl GangReservations {
    /// The reservation in force.
    pub fn current(&self) -> Option<&GangReservation> {
        self.current.as_ref()
    }

    fn is_for(&self, job: JobId) -> bool {
        self.current
            .as_ref()
            .is_some_and(|reservation| reservation.job == job)
    }

    /// Whether a reservation may be computed for a job now.
    fn is_retry_due(&self, now: Micros, job: JobId) -> bool {
        self.retry_at.get(&job).is_none_or(|at| *at <= now)
    }

    /// Defers jobs for which not enough machines were found.
    fn defer(&mut self, now: Micros, jobs: &[JobId]) {
        self.retry_at.retain(|_, at| *at > now);
        self.retry_at
            .extend(jobs.iter().map(|job| (*job, now + RETRY_DELAY)));
    }

    /// Defers the job of an overdue reservation; returns whether there is one.
    fn defer_overdue(&mut self, now: Micros) -> bool {
        let overdue = self
            .current
            .as_ref()
            .filter(|reservation| reservation.is_overdue(now));
        let job = overdue.map(|reservation| reservation.job);
        self.defer(now, job.as_slice());
        job.is_some()
    }

    /// Stores the machines that were chosen for a job.
    fn update(&mut self, now: Micros, job: JobId, reserved: ReservedMachines, covers_demand: bool) {
        let previous = self
            .current
            .take()
            .filter(|reservation| reservation.job == job);
        let (since, expected_complete_at, last_sufficient_at) =
            previous.map_or((now, now + reserved.longest_runtime, now), |reservation| {
                (
                    reservation.since,
                    reservation.expected_complete_at,
                    reservation.last_sufficient_at,
                )
            });
        self.current = Some(GangReservation {
            job,
            machines: reserved.machines,
            since,
            expected_complete_at,
            last_sufficient_at: if covers_demand {
                now
            } else {
                last_sufficient_at
            },
        });
    }

    /// Ends the reservation in force. The pause after it is as long as the reservation lasted, up to
    /// [`MAX_PAUSE_BETWEEN_RESERVATIONS`].
    fn end(&mut self, now: Micros) {
        if let Some(reservation) = self.current.take() {
            self.paused_until = now
                + now
                    .since(reservation.since)
                    .min(MAX_PAUSE_BETWEEN_RESERVATIONS);
        }
    }
}

impl Controller {
    /// Decides for which job machines are reserved, and which machines.
    pub(in crate::coordination) fn tick_gang_reservation(&mut self) {
        let now = self.now.monotonic;
        let previous = self
            .rounds
            .gang_reservations
            .current()
            .map(|reservation| reservation.job);
        let is_overdue = self.rounds.gang_reservations.defer_overdue(now);
        if is_overdue || previous.is_some_and(|job| !self.still_qualifies_for_reservation(job)) {
            self.end_reservation();
        }
        if now < self.rounds.gang_reservations.paused_until {
            return;
        }
        let mut jobs_without_plan = Vec::new();
        let chosen = self.choose_reservation(&mut jobs_without_plan);
        self.rounds.gang_reservations.defer(now, &jobs_without_plan);
        match chosen {
            Some((job, reserved, covers_demand)) => {
                if previous != Some(job) {
                    self.log_reservation_begin(job, &reserved);
                }
                self.rounds
                    .gang_reservations
                    .update(now, job, reserved, covers_demand);
                self.rounds.request();
            }
            None => self.end_reservation(),
        }
    }

    fn end_reservation(&mut self) {
        self.log_reservation_end();
        self.rounds.gang_reservations.end(self.now.monotonic);
    }

    /// Whether a job has the reservation and still waits for its machines.
    pub(super) fn has_reservation(&self, id: JobId) -> bool {
        self.rounds.gang_reservations.is_for(id) && self.still_qualifies_for_reservation(id)
    }

    /// The job that has the reservation, if it still waits.
    pub(super) fn job_with_reservation(&self) -> Option<(JobId, &Job)> {
        let id = self.rounds.gang_reservations.current()?.job;
        let job = self.cell.jobs.get(&id)?;
        self.qualifies_for_reservation(id, job).then_some((id, job))
    }

    /// The reserved machines, if their job still waits.
    pub(in crate::coordination) fn machines_reserved_for_gang(
        &self,
    ) -> Option<&BTreeSet<MachineId>> {
        self.job_with_reservation()?;
        Some(&self.rounds.gang_reservations.current()?.machines)
    }

    /// How many tasks of a job must be placed together: all tasks of a gang that are not assigned, otherwise one.
    pub(super) fn tasks_needed_at_once(&self, id: JobId, job: &Job) -> u64 {
        if job.spec().runs_all_tasks_at_once() {
            self.cell.pending_count(id, job).into()
        } else {
            1
        }
    }

    /// Whether tasks of a job may use machines of a gang reservation: the reservation is for this job, or its tasks must
    /// start at once, or they are backfill that ends before the reservation is expected to be complete.
    pub(super) fn may_use_gang_reservation(&self, id: JobId, spec: &JobSpec) -> bool {
        let Some(reservation) = self.rounds.gang_reservations.current() else {
            return true;
        };
        let ends_in_time = || {
            !spec.runs_all_tasks_at_once()
                && self.now.monotonic + expected_runtime(spec) <= reservation.expected_complete_at
        };
        reservation.job == id || self.starts_at_once(spec) || ends_in_time()
    }

    /// The job that has waited the longest among those for which enough machines can be reserved, its machines, and
    /// whether they cover all that it needs. Appends the jobs for which there are not enough to `jobs_without_plan`.
    fn choose_reservation(
        &self,
        jobs_without_plan: &mut Vec<JobId>,
    ) -> Option<(JobId, ReservedMachines, bool)> {
        let mut waiting: Vec<(Micros, JobId, &Job)> = self
            .cell
            .jobs
            .iter()
            .filter(|(id, job)| self.qualifies_for_reservation(**id, job))
            .filter(|(id, _)| {
                self.rounds
                    .gang_reservations
                    .is_retry_due(self.now.monotonic, **id)
            })
            .map(|(id, job)| (job.ready_since(), *id, job))
            .collect();
        waiting.sort_unstable_by_key(|(since, id, _)| (*since, *id));
        waiting
            .into_iter()
            .take(MAX_JOBS_TRIED_PER_TICK)
            .find_map(|(_, id, job)| {
                let chosen = self.plan_reservation_for(id, job);
                if chosen.is_none() {
                    jobs_without_plan.push(id);
                }
                chosen
            })
    }

    fn plan_reservation_for(
        &self,
        id: JobId,
        job: &Job,
    ) -> Option<(JobId, ReservedMachines, bool)> {
        if !self.fits_quota_after_tasks_end(id, job) {
            return None;
        }
        let demand = self.reservation_demand(id, job);
        let reserved =
            select_reserved_machines(&self.reservation_candidates(id, job.spec()), &demand);
        let covers_demand = reserved.tasks >= demand.tasks;
        (covers_demand || self.awaits_replacement_machines(id)).then_some((
            id,
            reserved,
            covers_demand,
        ))
    }

    fn still_qualifies_for_reservation(&self, id: JobId) -> bool {
        let job = self.cell.jobs.get(&id);
        job.is_some_and(|job| self.qualifies_for_reservation(id, job))
    }

    /// Whether a job has waited so long for all that it needs at once that machines should be reserved for it.
    fn qualifies_for_reservation(&self, id: JobId, job: &Job) -> bool {
        let spec = job.spec();
        self.now.time_of_day.since(job.ready_since()) > RESERVATION_DELAY
            && (self.cell.assigned(id).is_none() || spec.gang && self.is_assigned_in_parts(id))
            && (spec.runs_all_tasks_at_once() || self.needs_most_of_a_machine(spec))
            && self.is_placeable(id, job)
            && !self.rounds.is_suspect(id)
    }

    /// Whether a job has the reservation, and the reservation covered all that the job needs a short time ago.
    fn awaits_replacement_machines(&self, id: JobId) -> bool {
        self.rounds
            .gang_reservations
            .current()
            .is_some_and(|reservation| {
                reservation.job == id
                    && self.now.monotonic.since(reservation.last_sufficient_at)
                        < REPLACEMENT_TIMEOUT
            })
    }

    fn needs_most_of_a_machine(&self, spec: &JobSpec) -> bool {
        let types = self.cell.machine_types().filter(|t| spec.fits_type(t));
        let capacities: Vec<Amount> = types.map(|machine_type| machine_type.capacity).collect();
        let needs_most = |need: u64, room: fn(&Amount) -> u64| {
            let largest = capacities.iter().map(room).max().unwrap_or(u64::MAX);
            need.saturating_mul(LARGE_TASK_MACHINE_DIVISOR) > largest
        };
        needs_most(spec.need.cores, |room| room.cores)
            || needs_most(spec.need.memory, |room| room.memory)
    }

    /// Whether the team's limits allow what a job needs at once when all tasks of the team have ended that end by
    /// themselves: only services count as used.
    fn fits_quota_after_tasks_end(&self, id: JobId, job: &Job) -> bool {
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

    fn reservation_demand(&self, id: JobId, job: &Job) -> GangDemand {
        let spec = job.spec();
        GangDemand {
            need: spec.need,
            tasks: self.tasks_needed_at_once(id, job),
            single_zone: spec.single_zone,
            zone_limit: spec.zone_limit().into(),
        }
    }

    fn reservation_candidates(&self, id: JobId, spec: &JobSpec) -> Vec<ReservationCandidate<'_>> {
        let now = self.now.monotonic;
        let is_usable = |machine: MachineId, record: &MachineRecord| {
            record.health == MachineHealth::Schedulable
                && spec.allows(&record.machine_type, &record.zone, record.spot)
                && self.zones.accepts_tasks(&record.zone, machine, now)
                && self.rules_allow_machine(id, machine)
        };
        self.cell
            .machines()
            .filter(|(_, machine, record)| is_usable(*machine, record))
            .map(|(_, machine, record)| ReservationCandidate {
                machine,
                zone: &record.zone,
                free: self.cell.free_resources(record),
                ending_tasks: self.ending_tasks(id, record),
            })
            .collect()
    }

    /// Tasks on a machine that end by themselves. Tasks of the gang itself do not count, since they wait for the rest of
    /// the gang.
    fn ending_tasks(&self, gang: JobId, record: &MachineRecord) -> Vec<EndingTask> {
        record
            .tasks
            .iter()
            .filter(|assignment| assignment.job != gang && !record.preempted.contains(assignment))
            .filter_map(|assignment| self.cell.jobs.get(&assignment.job))
            .map(Job::spec)
            .filter(|spec| !spec.service)
            .map(|spec| EndingTask {
                estimated_runtime: spec.estimated_runtime,
                need: spec.need,
            })
            .collect()
    }

    fn log_reservation_begin(&self, id: JobId, reserved: &ReservedMachines) {
        tracing::info!(
            job = %id,
            tasks = reserved.tasks,
            machines = reserved.machines.len(),
            drain = %reserved.longest_runtime,
            "machines reserved for a waiting gang"
        );
    }

    fn log_reservation_end(&self) {
        let Some(reservation) = self.rounds.gang_reservations.current() else {
            return;
        };
        let placed = self.cell.assigned(reservation.job).is_some();
        let lasted = self.now.monotonic.since(reservation.since);
        tracing::info!(job = %reservation.job, placed, %lasted, "gang reservation ended");
    }
}

#[cfg(test)]
mod tests;
