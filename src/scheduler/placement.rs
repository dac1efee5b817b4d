//! Placement of pending tasks on machines: a pure plan over candidates and requests.
//!
//! Requests are served in order of precedence. [`plan`] packs tasks into free room and reserves machines for the tasks
//! that do not fit; [`preempt`] then makes room for tasks that must start at once.

mod candidate;
mod gang_reservation;
mod plan_reservation;
mod preemption;
mod request;

pub use candidate::{Candidate, GroupWriteLimit, PreemptibleTask};
pub use gang_reservation::{
    EndingTask, GangDemand, ReservationCandidate, ReservedMachines, select_reserved_machines,
};
pub use preemption::{Preemption, preempt};
pub use request::{Claim, PlacementRequest, PlacementRules};

use crate::storage::ids::MachineId;
use plan_reservation::reserve;
use request::RequestShape;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Places as many tasks as fit, in the order of the requests, and subtracts their resources from the free room of the
/// candidates.
///
/// `groups`: machine groups that may be written. `claim_limit`: largest number of claims.
pub fn plan<'a>(
    candidates: &mut [Candidate<'a>],
    requests: &mut [PlacementRequest<'a>],
    groups: &mut GroupWriteLimit,
    claim_limit: usize,
) -> Vec<Claim> {
    let mut planner = Planner::new(candidates, groups, claim_limit);
    for request in requests {
        planner.retain_available();
        if planner.claim_limit_reached() || planner.available.is_empty() {
            break;
        }
        if request.is_local || planner.placed_for_others < claim_limit {
            planner.plan_request(request);
        }
    }
    planner.claims
}

/// State of one plan.
struct Planner<'p, 'a> {
    candidates: &'p mut [Candidate<'a>],
    groups: &'p mut GroupWriteLimit,
    claim_limit: usize,
    claims: Vec<Claim>,
    /// Indexes of the candidates with free room. Free room only shrinks, so a full machine is not visited again.
    available: Vec<usize>,
    /// Shapes that fit no machine. Free room only shrinks, so no machine is searched for them again.
    unplaceable_shapes: Vec<RequestShape<'a>>,
    /// Tasks placed for other controllers, whose claims only take room in this plan. Bounded, because a long
    /// plan for other controllers costs more than it prevents, see [`PlacementRequest::is_local`].
    placed_for_others: usize,
}

/// Order in which machines are filled; the least is the best, compared field by field.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MachineRank {
    in_gang_reservation: bool,
    avoided: bool,
    score: Reverse<u32>,
    image_missing: bool,
    /// The machine's agent is served by another controller, so the ends of its tasks are not committed together
    /// with the claims of this controller.
    other_owner: bool,
    /// Best fit: the machine with the least free room first.
    free_cores: u64,
    free_memory: u64,
    needs_group_write: bool,
    price: u64,
    machine: MachineId,
    /// Index of the candidate.
    candidate: usize,
}

impl<'p, 'a> Planner<'p, 'a> {
    fn new(
        candidates: &'p mut [Candidate<'a>],
        groups: &'p mut GroupWriteLimit,
        claim_limit: usize,
    ) -> Planner<'p, 'a> {
        let available = (0..candidates.len())
            .filter(|index| candidates[*index].free.cores > 0)
            .collect();
        Planner {
            candidates,
            groups,
            claim_limit,
            claims: Vec::new(),
            available,
            unplaceable_shapes: Vec::new(),
            placed_for_others: 0,
        }
    }

    fn claim_limit_reached(&self) -> bool {
        self.claims.len() >= self.claim_limit
    }

    fn retain_available(&mut self) {
        self.available
            .retain(|index| self.candidates[*index].is_available());
    }

    /// Places tasks of a request and reserves machines in this plan for those that found no room.
    fn plan_request(&mut self, request: &mut PlacementRequest<'a>) {
        let first_claim = self.claims.len();
        let shape = RequestShape::of(request);
        if shape.is_none_or(|shape| !self.unplaceable_shapes.contains(&shape)) {
            let any_fits = self.place_tasks(request);
            self.unplaceable_shapes.extend(shape.filter(|_| !any_fits));
        }
        let placed = self.claims.len() - first_claim;
        let missing = request.tasks.len() - placed;
        if request.gang && missing > 0 {
            self.withdraw_claims(request, first_claim);
        }
        reserve(self.candidates, &self.available, request, missing as u64);
        if !request.is_local {
            self.placed_for_others += placed;
            self.claims.truncate(first_claim);
        }
    }

    /// Withdraws the claims of a gang that could not be placed completely.
    fn withdraw_claims(&mut self, request: &PlacementRequest<'_>, first_claim: usize) {
        if self.claims.len() > first_claim {
            self.unplaceable_shapes.clear();
        }
        for claim in self.claims.drain(first_claim..) {
            let candidate = self
                .candidates
                .iter_mut()
                .find(|candidate| candidate.machine == claim.machine);
            if let Some(candidate) = candidate {
                candidate.free += request.spec.need;
                // No task of a gang is assigned before all of them are.
                candidate.residents.retain(|job| *job != request.job);
            }
        }
    }

    /// Places tasks of a request, machine by machine; returns whether any machine has room for a task.
    fn place_tasks(&mut self, request: &mut PlacementRequest<'a>) -> bool {
        // A machine that was assigned a task has the image and less free room than before, so it stays the first
        // choice until it is full: one ranking is enough for all tasks of the job.
        let mut ranked = self.rank_machines(request);
        let any_fits = !ranked.is_empty();
        let task_limit = request.remaining_task_quota.min(self.claim_limit as u64) as usize;
        let task_count = request.tasks.len().min(task_limit);
        let mut placed = 0;
        while placed < task_count && !self.claim_limit_reached() {
            let Some(Reverse(best)) = ranked.pop() else {
                break;
            };
            // Rules about the current state are evaluated here and not in the ranking, because most machines of the
            // ranking are never used.
            let candidate = &self.candidates[best.candidate];
            if !request.rules_admit(candidate)
                || request.is_local && !self.groups.add_write(candidate.group)
            {
                continue;
            }
            placed += self.fill_machine(best.candidate, request, placed..task_count);
        }
        any_fits
    }

    /// The machines with room for a task of the request, as a heap with the best one on top.
    fn rank_machines(&self, request: &PlacementRequest<'a>) -> BinaryHeap<Reverse<MachineRank>> {
        let zone = self.required_zone(request);
        let fits = |candidate: &Candidate<'_>| {
            request.spec.need.fits(&candidate.free)
                && request.allows_machine(candidate)
                && zone.is_none_or(|zone| zone == candidate.zone)
                && (!request.is_local || self.groups.may_write(candidate.group))
                && request.rules_may_admit_class(candidate)
        };
        self.available
            .iter()
            .filter(|index| fits(&self.candidates[**index]))
            .map(|index| Reverse(self.rank(*index, request)))
            .collect()
    }

    fn rank(&self, index: usize, request: &PlacementRequest<'_>) -> MachineRank {
        let candidate = &self.candidates[index];
        MachineRank {
            in_gang_reservation: candidate.in_gang_reservation,
            avoided: request.avoided_machines.contains(&candidate.machine),
            score: Reverse(request.score(candidate)),
            image_missing: !candidate.has_image(&request.spec.image),
            other_owner: candidate.owner != request.owner,
            free_cores: candidate.free.cores,
            free_memory: candidate.free.memory,
            needs_group_write: !self.groups.written[candidate.group],
            price: candidate.price,
            machine: candidate.machine,
            candidate: index,
        }
    }

    /// The zone that all tasks of the job must share: that of its assigned tasks, if there are any, otherwise the zone
    /// with the most room. `None` if the job is not bound to a single zone, or no zone has a machine for it.
    fn required_zone(&self, request: &PlacementRequest<'a>) -> Option<&'a str> {
        if !request.spec.single_zone {
            return None;
        }
        let assigned = request.zones.keys().next().copied();
        assigned.or_else(|| zone_with_most_room(self.candidates, request))
    }

    /// Claims room on a machine for tasks of the request until the machine is full; returns the number of claims.
    /// `pending`: positions of the tasks that are not placed yet.
    fn fill_machine(
        &mut self,
        index: usize,
        request: &mut PlacementRequest<'a>,
        pending: std::ops::Range<usize>,
    ) -> usize {
        let candidate = &mut self.candidates[index];
        let spec = request.spec;
        let tasks_in_zone = request.zones.entry(candidate.zone).or_default();
        let zone_limit = spec.zone_limit();
        let mut placed = 0;
        for task in &request.tasks[pending] {
            let may_claim = self.claims.len() < self.claim_limit && *tasks_in_zone < zone_limit;
            if !may_claim || !spec.need.fits(&candidate.free) {
                break;
            }
            candidate.claim_room(spec.need, &spec.image);
            *tasks_in_zone += 1;
            placed += 1;
            self.claims.push(Claim {
                job: request.job,
                index: *task,
                machine: candidate.machine,
            });
        }
        if placed > 0 {
            request.add_resident_to(candidate);
        }
        placed
    }
}

/// The zone with room for the most tasks of a job; of several such zones, the last by name.
fn zone_with_most_room<'a>(
    candidates: &[Candidate<'a>],
    request: &PlacementRequest<'_>,
) -> Option<&'a str> {
    let spec = request.spec;
    let task_count = u64::from(spec.task_count);
    let feasible = candidates.iter().filter(|candidate| {
        spec.allows(candidate.machine_type, candidate.zone, candidate.spot)
            && request.rules_admit(candidate)
    });
    let mut room_by_zone: BTreeMap<&str, u64> = BTreeMap::new();
    for candidate in feasible {
        let room = spec.need.count_fitting_in(&candidate.free, task_count);
        *room_by_zone.entry(candidate.zone).or_default() += room;
    }
    room_by_zone
        .into_iter()
        .max_by_key(|(_, room)| *room)
        .map(|(zone, _)| zone)
}

#[cfg(test)]
mod tests;
