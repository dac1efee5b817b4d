//! Requests to place tasks of one job, and the claims that result from them.

use super::candidate::Candidate;
use crate::scheduler::constraints::{
    JobConstraints, JobRef, PlacementContext, RequiredPreferences,
};
use crate::storage::ids::{JobId, MachineId};
use crate::storage::job::{JobSpec, Priority};
use crate::storage::resources::Amount;
use std::collections::BTreeMap;

/// Pending tasks of one job.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The job.
    pub job: JobId,
    /// Its specification.
    pub spec: &'a JobSpec,
    /// Its effective priority: its own or that of a job that depends on it.
    pub priority: Priority,
    /// Pending tasks, in order.
    pub tasks: Vec<u32>,
    /// Assigned tasks of the job by zone.
    pub zones: BTreeMap<&'a str, u32>,
    /// Largest number of tasks that the quota of its team still allows.
    pub remaining_task_quota: u64,
    /// Highest price per core of a machine that may run it.
    pub price_limit: u64,
    /// Controller that places the job, numbered like [`Candidate::owner`].
    pub owner: usize,
    /// Whether this controller places the job. The plan places jobs of other controllers as well, so that no request of
    /// lower precedence takes the room that these controllers are about to claim.
    pub is_local: bool,
    /// Whether it must start at once and may preempt other tasks.
    pub may_preempt: bool,
    /// Whether it is within the guarantee of its team.
    pub guaranteed: bool,
    /// Whether the plan reserves no machines for it: it uses leftover capacity only, or it has a gang reservation
    /// already.
    pub never_reserves: bool,
    /// Whether it may use machines of gang reservations: the reservation is its own, or it does not delay the gang that
    /// the machines are reserved for.
    pub may_use_gang_reservations: bool,
    /// Whether it is a gang: all of its tasks are placed or none.
    pub gang: bool,
    /// Machines to use only if no other machine fits.
    pub avoided_machines: &'a [MachineId],
    /// The rules that apply, if any.
    pub rules: Option<PlacementRules<'a>>,
}

/// The rules that restrict where the tasks of a job are placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRules<'a> {
    /// The current state that rules test.
    pub context: &'a PlacementContext<'a>,
    /// Constraints of the job itself; without them, rules of colocated jobs may still apply.
    pub constraints: Option<&'a JobConstraints>,
    /// Preferences that the job still waits for.
    pub required_preferences: RequiredPreferences,
}

impl PlacementRequest<'_> {
    fn job_ref(&self) -> JobRef<'_> {
        JobRef {
            id: self.job,
            spec: self.spec,
        }
    }

    /// Whether the job may run on the machine, regardless of the free room there.
    pub(super) fn is_feasible(&self, candidate: &Candidate<'_>) -> bool {
        self.allows_machine(candidate) && self.rules_admit(candidate)
    }

    /// Whether price, type, zone and kind (spot or not) of the machine match the request, and the request may use it if
    /// it is part of a gang reservation.
    pub(super) fn allows_machine(&self, candidate: &Candidate<'_>) -> bool {
        (self.may_use_gang_reservations || !candidate.in_gang_reservation)
            && candidate.price <= self.price_limit
            && self
                .spec
                .allows(candidate.machine_type, candidate.zone, candidate.spot)
    }

    /// Whether rules admit the job to the machine in its current state.
    pub(super) fn rules_admit(&self, candidate: &Candidate<'_>) -> bool {
        self.rules.is_none_or(|rules| {
            rules.context.admits(
                self.job_ref(),
                rules.constraints,
                rules.required_preferences,
                candidate.machine_context(),
            )
        })
    }

    /// Whether rules may admit the job to a machine of this class.
    pub(super) fn rules_may_admit_class(&self, candidate: &Candidate<'_>) -> bool {
        let Some(rules) = self.rules else {
            return true;
        };
        rules.constraints.is_none_or(|constraints| {
            constraints.may_run_on(candidate.class, rules.required_preferences)
        })
    }

    /// Total weight of the job's preferences that the machine meets.
    pub(super) fn score(&self, candidate: &Candidate<'_>) -> u32 {
        self.rules.map_or(0, |rules| {
            rules.context.score(
                self.job_ref(),
                rules.constraints,
                candidate.machine_context(),
            )
        })
    }

    /// Records on the candidate that it runs tasks of the job, if rules test colocated jobs.
    pub(super) fn add_resident_to(&self, candidate: &mut Candidate<'_>) {
        let Some(rules) = self
            .rules
            .filter(|rules| rules.context.rules_test_colocation)
        else {
            return;
        };
        if !candidate.residents.contains(&self.job) {
            candidate.residents.push(self.job);
            candidate.restricts_colocation |= rules.context.restricts_colocation(self.job);
        }
    }
}

/// A task and the machine that it is to be assigned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The job.
    pub job: JobId,
    /// Index of the task.
    pub index: u32,
    /// The machine.
    pub machine: MachineId,
}

/// All properties of a request that decide whether a task of it fits on a machine. Requests of equal shape fit on the
/// same machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RequestShape<'a> {
    need: Amount,
    machine_types: Option<&'a [String]>,
    zone: Option<&'a str>,
    spot: bool,
    price_limit: u64,
    is_local: bool,
    may_use_gang_reservations: bool,
}

impl<'a> RequestShape<'a> {
    /// The shape of a request; `None` if placement also depends on rules or on the zone of the job's other tasks.
    pub(super) fn of(request: &PlacementRequest<'a>) -> Option<RequestShape<'a>> {
        let spec = request.spec;
        if request.rules.is_some() || spec.single_zone {
            return None;
        }
        Some(RequestShape {
            need: spec.need,
            machine_types: spec.machine_types.as_deref(),
            zone: spec.zone.as_deref(),
            spot: spec.spot_allowed,
            price_limit: request.price_limit,
            is_local: request.is_local,
            may_use_gang_reservations: request.may_use_gang_reservations,
        })
    }
}
