//! Draining: which machines are held for a set of tasks until all of it fits.
//!
//! A machine that is held takes no other work that would outlast the drain, so its room grows as its tasks end. The
//! choice follows from the machines' assignments alone, without memory, so all controllers come to the same one. It is
//! stable as well: a held machine only becomes a better choice, and another replaces it only by being a better one.

use crate::storage::ids::MachineId;
use crate::storage::resources::Amount;
use crate::time::{MICROS_PER_SECOND, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that may be drained.
#[derive(Clone, Debug)]
pub struct DrainCandidate<'a> {
    /// The machine.
    pub machine: MachineId,
    /// Its zone.
    pub zone: &'a str,
    /// Unassigned capacity.
    pub free: Amount,
    /// Assigned tasks that end by themselves.
    pub ending: Vec<EndingTask>,
}

/// An assigned task that ends by itself.
#[derive(Clone, Copy, Debug)]
pub struct EndingTask {
    /// Estimated run time.
    pub estimated_runtime: Micros,
    /// Resources that it gives back.
    pub need: Amount,
}

/// What is to fit on the drained machines.
#[derive(Clone, Copy, Debug)]
pub struct DrainDemand {
    /// Resources of one task.
    pub need: Amount,
    /// Number of tasks.
    pub tasks: u64,
    /// Whether all tasks must be in one zone.
    pub single_zone: bool,
    /// Most tasks in one zone.
    pub zone_limit: u64,
}

/// Machines to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drain {
    /// The machines.
    pub machines: BTreeSet<MachineId>,
    /// The longest estimated run time of the tasks that have to end.
    pub duration: Micros,
    /// Tasks that fit on the machines once they are drained.
    pub tasks: u64,
}

/// How long a drain takes, in steps of a factor of two: estimates are rough, and a finer order would change with every
/// task that ends. 0: nothing has to end.
type DrainStep = u32;

fn drain_step(runtime: Micros) -> DrainStep {
    u64::BITS - (runtime.0 / MICROS_PER_SECOND).leading_zeros()
}

/// Room for tasks of the demand that a machine has once its tasks up to some run time have ended. The order of the
/// fields is the order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Offer<'a> {
    /// Something has to end first.
    drains: bool,
    step: DrainStep,
    machine: MachineId,
    zone: &'a str,
    /// Tasks that fit beside those of the machine's earlier offers.
    tasks: u64,
    duration: Micros,
}

/// The machines to hold for a demand: those that are expected to be free the soonest. They may hold fewer tasks than
/// were asked for, see [`Drain::tasks`].
pub fn drain(candidates: &[DrainCandidate<'_>], demand: &DrainDemand) -> Drain {
    let mut offers: Vec<Offer<'_>> = candidates
        .iter()
        .flat_map(|candidate| offers(candidate, demand))
        .collect();
    offers.sort_unstable();
    if !demand.single_zone {
        return select(&offers, demand);
    }
    let mut by_zone: BTreeMap<&str, Vec<Offer<'_>>> = BTreeMap::new();
    for offer in offers {
        by_zone.entry(offer.zone).or_default().push(offer);
    }
    by_zone
        .values()
        .map(|offers| select(offers, demand))
        .reduce(better)
        .unwrap_or_default()
}

/// The drain that holds more tasks, or else the shorter one; the first among equals.
fn better(first: Drain, second: Drain) -> Drain {
    let rank = |drain: &Drain| (std::cmp::Reverse(drain.tasks), drain_step(drain.duration));
    if rank(&second) < rank(&first) {
        second
    } else {
        first
    }
}

/// What a machine offers: at once, and after each step of its drain that makes room for more.
fn offers<'a>(candidate: &DrainCandidate<'a>, demand: &DrainDemand) -> Vec<Offer<'a>> {
    let mut ending = candidate.ending.clone();
    ending.sort_unstable_by_key(|task| task.estimated_runtime);
    let mut room = candidate.free;
    let mut fitting = demand.need.times_in(&room, demand.tasks);
    let mut offers = Vec::new();
    let mut offer = |drains, duration, tasks| {
        offers.push(Offer {
            drains,
            step: drain_step(duration),
            machine: candidate.machine,
            zone: candidate.zone,
            tasks,
            duration,
        });
    };
    if fitting > 0 {
        offer(false, Micros::ZERO, fitting);
    }
    for task in ending {
        room += task.need;
        let tasks = demand.need.times_in(&room, demand.tasks);
        if tasks > fitting {
            offer(true, task.estimated_runtime, tasks - fitting);
            fitting = tasks;
        }
    }
    offers
}

/// Takes offers in their order until all tasks fit.
fn select(offers: &[Offer<'_>], demand: &DrainDemand) -> Drain {
    let mut drain = Drain::default();
    let mut in_zone: BTreeMap<&str, u64> = BTreeMap::new();
    for offer in offers {
        let placed = in_zone.entry(offer.zone).or_default();
        let wanted = demand.tasks - drain.tasks;
        let tasks = offer.tasks.min(wanted).min(demand.zone_limit - *placed);
        if tasks == 0 {
            continue;
        }
        *placed += tasks;
        drain.tasks += tasks;
        drain.duration = drain.duration.max(offer.duration);
        drain.machines.insert(offer.machine);
    }
    drain
}

#[cfg(test)]
mod tests;
