//! Preemption: room for urgent tasks on machines that run tasks of lower precedence.

use super::candidate::{Candidate, PreemptibleTask};
use super::request::{Claim, PlacementRequest};
use crate::storage::ids::MachineId;
use crate::storage::records::Assignment;
use crate::storage::resources::Amount;

/// Largest number of cores that may be preempted for each core that is gained.
const MAX_LOST_CORES_PER_GAINED_CORE: u64 = 4;

/// Factor by which the ratio of lost to gained cores is scaled up for integer comparison.
const LOSS_PER_GAIN_SCALE: u64 = 16;

/// Tasks to assign to a machine, and the tasks that are preempted to make room for them.
#[derive(Clone, Debug)]
pub struct Preemption {
    /// The machine.
    pub machine: MachineId,
    /// Assignments that are preempted.
    pub victims: Vec<Assignment>,
    /// Tasks that are assigned.
    pub claims: Vec<Claim>,
}

/// The most recently started tasks of a machine whose preemption makes room for tasks of a request.
struct VictimSet {
    /// How many of the most recently started tasks are preempted.
    count: usize,
    /// Free capacity after the preemption.
    room: Amount,
    /// How many tasks of the request fit after the preemption.
    tasks: u64,
}

/// Cost of preemption on a machine; the lowest is preferred, compared field by field.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    in_gang_reservation: bool,
    image_missing: bool,
    loss_per_gain: u64,
    machine: MachineId,
}

/// A machine on which preemption is worth its cost.
struct PreemptionOption {
    cost: PreemptionCost,
    /// Index of the candidate.
    candidate: usize,
    victims: VictimSet,
}

/// Makes room for tasks that `plan` did not place, by preemption: the most recently started tasks of a machine first,
/// on the machines where the least work is lost.
///
/// `claims`: the claims of `plan`. `preemption_limit`: largest number of preemptions. `running`: returns the tasks of a
/// machine that may be preempted; it is called only if a request preempts.
pub fn preempt(
    candidates: &mut [Candidate<'_>],
    requests: &[PlacementRequest<'_>],
    claims: &[Claim],
    preemption_limit: usize,
    running: &dyn Fn(MachineId) -> Vec<PreemptibleTask>,
) -> Vec<Preemption> {
    let mut preemptions = Vec::new();
    let mut running_loaded = false;
    for request in requests.iter().filter(|request| may_preempt(request)) {
        let placed = claims
            .iter()
            .filter(|claim| claim.job == request.job)
            .count();
        let mut missing = (request.tasks.len() as u64)
            .min(request.remaining_task_quota)
            .saturating_sub(placed as u64);
        if missing > 0 && !running_loaded {
            load_running(candidates, running);
            running_loaded = true;
        }
        let mut pending = request.tasks[placed..].iter().copied();
        while missing > 0 && preemptions.len() < preemption_limit {
            let Some(option) = cheapest_option(candidates, request, missing) else {
                break;
            };
            missing -= option.victims.tasks;
            preemptions.push(apply_preemption(candidates, request, option, &mut pending));
        }
    }
    preemptions
}

/// Whether a request may preempt. Gangs and jobs that are bound to a single zone or spread over machines may not:
/// whether their tasks can start depends on more than a single machine.
fn may_preempt(request: &PlacementRequest<'_>) -> bool {
    request.is_local
        && request.may_preempt
        && !request.gang
        && !request.spec.single_zone
        && !request.spec.anti_affinity
}

fn load_running(
    candidates: &mut [Candidate<'_>],
    running: &dyn Fn(MachineId) -> Vec<PreemptibleTask>,
) {
    for candidate in candidates {
        candidate.preemptible_tasks = running(candidate.machine);
    }
}

/// The machine where preemption for a request costs the least.
fn cheapest_option(
    candidates: &[Candidate<'_>],
    request: &PlacementRequest<'_>,
    missing: u64,
) -> Option<PreemptionOption> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| {
            request.is_feasible(candidate) && request.spec.need.fits(&candidate.capacity)
        })
        .filter_map(|(index, candidate)| preemption_option(index, candidate, request, missing))
        .min_by_key(|option| option.cost)
}

/// What preemption on one machine gains and costs; `None` if it gains nothing or loses too much for it.
fn preemption_option(
    index: usize,
    candidate: &Candidate<'_>,
    request: &PlacementRequest<'_>,
    missing: u64,
) -> Option<PreemptionOption> {
    let victims = select_victims(candidate, request, missing)?;
    let first_victim = candidate.preemptible_tasks.len() - victims.count;
    let lost_cores: u64 = candidate.preemptible_tasks[first_victim..]
        .iter()
        .map(|victim| victim.need.cores)
        .sum();
    let gained_cores = victims.tasks * request.spec.need.cores;
    if lost_cores > gained_cores * MAX_LOST_CORES_PER_GAINED_CORE {
        return None;
    }
    Some(PreemptionOption {
        cost: PreemptionCost {
            in_gang_reservation: candidate.in_gang_reservation,
            image_missing: !candidate.has_image(&request.spec.image),
            loss_per_gain: lost_cores * LOSS_PER_GAIN_SCALE / gained_cores.max(1),
            machine: candidate.machine,
        },
        candidate: index,
        victims,
    })
}

/// The smallest number of the most recently started tasks that make room for the most tasks of a request, at most
/// `missing`.
fn select_victims(
    candidate: &Candidate<'_>,
    request: &PlacementRequest<'_>,
    missing: u64,
) -> Option<VictimSet> {
    let mut room = candidate.free;
    let mut best = None;
    let mut fitting_tasks = 0;
    for (index, task) in candidate.preemptible_tasks.iter().rev().enumerate() {
        if !is_preemptible(task, request) || fitting_tasks >= missing {
            break;
        }
        room += task.need;
        let tasks = request.spec.need.count_fitting_in(&room, missing);
        if tasks > fitting_tasks {
            fitting_tasks = tasks;
            best = Some(VictimSet {
                count: index + 1,
                room,
                tasks,
            });
        }
    }
    best
}

fn is_preemptible(task: &PreemptibleTask, request: &PlacementRequest<'_>) -> bool {
    task.priority > request.priority || (task.borrowed && request.guaranteed)
}

/// Gives the room of the victims to the next pending tasks of a request.
fn apply_preemption(
    candidates: &mut [Candidate<'_>],
    request: &PlacementRequest<'_>,
    option: PreemptionOption,
    pending: &mut impl Iterator<Item = u32>,
) -> Preemption {
    let victims = option.victims;
    let candidate = &mut candidates[option.candidate];
    candidate.free = victims.room;
    candidate.free -= request.spec.need.times(victims.tasks);
    request.add_resident_to(candidate);
    let first_victim = candidate.preemptible_tasks.len() - victims.count;
    let machine = candidate.machine;
    let claim = |index| Claim {
        job: request.job,
        index,
        machine,
    };
    Preemption {
        machine,
        victims: candidate
            .preemptible_tasks
            .drain(first_victim..)
            .map(|task| task.assignment)
            .collect(),
        claims: pending.take(victims.tasks as usize).map(claim).collect(),
    }
}
