//! Gang reservation: which machines are reserved for a gang until all of its tasks fit.
//!
//! A reserved machine takes no other work that would outlast the reservation, so its free room grows as its tasks end.
//! The choice follows from the machines' assignments alone, without stored state, so all controllers make the same one.
//! It is stable as well: a reserved machine only becomes a better choice, and only a better one replaces it.

use crate::storage::ids::MachineId;
use crate::storage::resources::Amount;
use crate::time::{MICROS_PER_SECOND, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that may be reserved.
#[derive(Clone, Debug)]
pub struct ReservationCandidate<'a> {
    /// The machine.
    pub machine: MachineId,
    /// Its zone.
    pub zone: &'a str,
    /// Unassigned capacity.
    pub free: Amount,
    /// Assigned tasks that end by themselves.
    pub ending_tasks: Vec<EndingTask>,
}

/// An assigned task that ends by itself.
#[derive(Clone, Copy, Debug)]
pub struct EndingTask {
    /// Estimated runtime.
    pub estimated_runtime: Micros,
    /// Resources that become free when it ends.
    pub need: Amount,
}

/// The tasks of a gang that are to fit on the reserved machines.
#[derive(Clone, Copy, Debug)]
pub struct GangDemand {
    /// Resources of one task.
    pub need: Amount,
    /// Number of tasks.
    pub tasks: u64,
    /// Whether all tasks must be in one zone.
    pub single_zone: bool,
    /// Largest number of tasks in one zone.
    pub zone_limit: u64,
}

/// Machines to reserve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReservedMachines {
    /// The machines.
    pub machines: BTreeSet<MachineId>,
    /// The longest estimated runtime of the tasks that have to end first.
    pub longest_runtime: Micros,
    /// Tasks that fit on the machines once these tasks have ended.
    pub tasks: u64,
}

/// Time until a reservation is complete, in classes that differ by a factor of two: estimates are rough, and a finer
/// order would change with every task that ends. 0: no task has to end.
type DurationClass = u32;

fn duration_class(runtime: Micros) -> DurationClass {
    u64::BITS - (runtime.0 / MICROS_PER_SECOND).leading_zeros()
}

/// Room for tasks of the demand on a machine, once the tasks there up to some estimated runtime have ended. The order
/// of the fields is the order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RoomOffer<'a> {
    /// Whether tasks have to end first.
    must_wait: bool,
    duration_class: DurationClass,
    machine: MachineId,
    zone: &'a str,
    /// Tasks that fit in addition to those of the machine's earlier offers.
    tasks: u64,
    duration: Micros,
}

/// The machines to reserve for a demand: those that are expected to be free the soonest. They may have room for fewer
/// tasks than the demand has, see [`ReservedMachines::tasks`].
pub fn select_reserved_machines(
    candidates: &[ReservationCandidate<'_>],
    demand: &GangDemand,
) -> ReservedMachines {
    let mut offers: Vec<RoomOffer<'_>> = candidates
        .iter()
        .flat_map(|candidate| machine_offers(candidate, demand))
        .collect();
    offers.sort_unstable();
    if !demand.single_zone {
        return accept_offers(&offers, demand);
    }
    let mut by_zone: BTreeMap<&str, Vec<RoomOffer<'_>>> = BTreeMap::new();
    for offer in offers {
        by_zone.entry(offer.zone).or_default().push(offer);
    }
    by_zone
        .values()
        .map(|offers| accept_offers(offers, demand))
        .reduce(better_reservation)
        .unwrap_or_default()
}

/// The reservation with room for more tasks, otherwise the shorter one; the first of two equal ones.
fn better_reservation(first: ReservedMachines, second: ReservedMachines) -> ReservedMachines {
    let rank = |choice: &ReservedMachines| {
        (
            std::cmp::Reverse(choice.tasks),
            duration_class(choice.longest_runtime),
        )
    };
    if rank(&second) < rank(&first) {
        second
    } else {
        first
    }
}

/// The offers of a machine: for its free room, and for each ending task that makes room for more tasks of the demand.
fn machine_offers<'a>(
    candidate: &ReservationCandidate<'a>,
    demand: &GangDemand,
) -> Vec<RoomOffer<'a>> {
    let mut ending = candidate.ending_tasks.clone();
    ending.sort_unstable_by_key(|task| task.estimated_runtime);
    let mut room = candidate.free;
    let mut fitting_tasks = demand.need.count_fitting_in(&room, demand.tasks);
    let mut offers = Vec::new();
    let mut add_offer = |must_wait, duration, tasks| {
        offers.push(RoomOffer {
            must_wait,
            duration_class: duration_class(duration),
            machine: candidate.machine,
            zone: candidate.zone,
            tasks,
            duration,
        });
    };
    if fitting_tasks > 0 {
        add_offer(false, Micros::ZERO, fitting_tasks);
    }
    for task in ending {
        room += task.need;
        let tasks = demand.need.count_fitting_in(&room, demand.tasks);
        if tasks > fitting_tasks {
            add_offer(true, task.estimated_runtime, tasks - fitting_tasks);
            fitting_tasks = tasks;
        }
    }
    offers
}

/// Accepts offers in their order until all tasks fit.
fn accept_offers(offers: &[RoomOffer<'_>], demand: &GangDemand) -> ReservedMachines {
    let mut reservation = ReservedMachines::default();
    let mut placed_by_zone: BTreeMap<&str, u64> = BTreeMap::new();
    for offer in offers {
        let placed_in_zone = placed_by_zone.entry(offer.zone).or_default();
        let missing = demand.tasks - reservation.tasks;
        let tasks = offer
            .tasks
            .min(missing)
            .min(demand.zone_limit - *placed_in_zone);
        if tasks == 0 {
            continue;
        }
        *placed_in_zone += tasks;
        reservation.tasks += tasks;
        reservation.longest_runtime = reservation.longest_runtime.max(offer.duration);
        reservation.machines.insert(offer.machine);
    }
    reservation
}

#[cfg(test)]
mod tests;
