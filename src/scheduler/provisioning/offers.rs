//! Machines that the cloud offers, their prices, and the choice among them.

use super::demand::Demand;
use crate::storage::catalog::{Catalog, MachineType};
use crate::storage::job::JobSpec;
use crate::time::Micros;
use std::cmp::Reverse;

/// Factor by which prices per core are scaled up for integer comparison.
const CORE_PRICE_SCALE: u64 = 1_000_000;

/// Shortest time that the cloud charges for.
const MIN_CHARGED_TIME: Micros = Micros::secs(60);

/// Shortest runtime that costs are estimated with.
const MIN_ESTIMATED_RUNTIME: Micros = Micros::secs(10);

/// Number of consecutive runs of a task that costs are estimated for, because most machines are used again before they
/// are released.
const RUNS_PER_COST_ESTIMATE: u64 = 2;

/// A machine is useful if work for at least one in this many of the tasks that fit on it is left when it comes up.
const MIN_USEFUL_TASKS_DIVISOR: u128 = 2;

/// A type, zone and kind of machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineOffer {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Price per core of a machine, scaled for comparison.
pub fn core_price(machine_type: &MachineType, spot: bool) -> u64 {
    machine_type.price_of(spot) * CORE_PRICE_SCALE / machine_type.capacity.cores.max(1)
}

/// Highest price per core for work that is not at risk of being late: 1.5 times the price of the cheapest machine that
/// the job may use. More expensive machines are for work that would otherwise be late.
///
/// `allows`: whether the job may use machines of a type, zone and kind.
pub fn price_limit(
    catalog: &Catalog,
    spec: &JobSpec,
    allows: &dyn Fn(&str, &str, bool) -> bool,
) -> u64 {
    let allowed = |machine_type: &MachineType, spot: bool| {
        machine_type
            .zones
            .iter()
            .any(|zone| allows(&machine_type.name, zone, spot))
    };
    catalog
        .types
        .iter()
        .filter(|machine_type| spec.need.fits(&machine_type.capacity))
        .flat_map(|machine_type| [(machine_type, true), (machine_type, false)])
        .filter(|(machine_type, spot)| allowed(machine_type, *spot))
        .map(|(machine_type, spot)| core_price(machine_type, spot))
        .min()
        .map_or(u64::MAX, |cheapest| cheapest.saturating_mul(3) / 2)
}

/// Work ahead of the machines that could run a demand.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    /// Usable cores of these machines, in thousandths.
    pub(super) cores: u128,
    /// Core time ahead of them, in thousandths of a core times microseconds.
    pub(super) work: u128,
}

impl Backlog {
    /// Time that the machines need to complete the work.
    pub(super) fn duration(&self) -> Micros {
        self.work
            .checked_div(self.cores)
            .map_or(Micros::FOREVER, |duration| Micros(duration as u64))
    }

    /// Work that is left after some time.
    fn remaining_work_after(&self, time: Micros) -> u128 {
        self.work.saturating_sub(self.cores * u128::from(time.0))
    }
}

/// Cost of an offer; the lowest is preferred, compared field by field.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OfferCost {
    /// Price per task, including the boot, the image fetch and the shortest charged time.
    per_task: u128,
    /// Total weight of the preferences that it meets.
    score: Reverse<u32>,
}

/// An offer, borrowed from the catalog.
#[derive(Clone, Copy)]
pub(super) struct BorrowedOffer<'a> {
    pub(super) machine_type: &'a MachineType,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

impl BorrowedOffer<'_> {
    pub(super) fn to_offer(self) -> MachineOffer {
        MachineOffer {
            machine_type: self.machine_type.name.clone(),
            zone: self.zone.to_owned(),
            spot: self.spot,
        }
    }
}

/// The choice of a machine for the tasks of a demand that found no room.
pub(super) struct OfferChoice<'d> {
    demand: &'d Demand<'d>,
    missing: u64,
    backlog: Backlog,
    /// Price limit under the rules of the demand.
    price_limit: u64,
}

impl<'d> OfferChoice<'d> {
    pub(super) fn new(
        catalog: &Catalog,
        demand: &'d Demand<'d>,
        missing: u64,
        backlog: Backlog,
    ) -> OfferChoice<'d> {
        let allows = |machine_type: &str, zone: &str, spot: bool| {
            demand.score(machine_type, zone, spot).is_some()
        };
        OfferChoice {
            demand,
            missing,
            backlog,
            price_limit: price_limit(catalog, demand.spec, &allows),
        }
    }

    /// The cheapest useful offer, by cost per task. `offered`: whether the cloud may have such a machine.
    pub(super) fn cheapest<'a>(
        &self,
        catalog: &'a Catalog,
        offered: &dyn Fn(&MachineOffer) -> bool,
    ) -> Option<BorrowedOffer<'a>> {
        let all = catalog.types.iter().flat_map(|machine_type| {
            machine_type.zones.iter().flat_map(move |zone| {
                [true, false].map(|spot| BorrowedOffer {
                    machine_type,
                    zone,
                    spot,
                })
            })
        });
        all.filter_map(|offer| Some((self.cost(offer, offered)?, offer)))
            .min_by_key(|(cost, _)| *cost)
            .map(|(_, offer)| offer)
    }

    /// The cost of an offer; `None` if it is not useful, too expensive, not allowed or not offered.
    fn cost(
        &self,
        offer: BorrowedOffer<'_>,
        offered: &dyn Fn(&MachineOffer) -> bool,
    ) -> Option<OfferCost> {
        let machine_type = offer.machine_type;
        let tasks = self
            .demand
            .spec
            .need
            .count_fitting_in(&machine_type.capacity, self.missing);
        if tasks == 0 || !self.is_useful(machine_type, tasks) {
            return None;
        }
        let is_price_acceptable = self.backlog.cores == 0
            || core_price(machine_type, offer.spot) <= self.price_limit
            || self.prevents_lateness(machine_type);
        if !is_price_acceptable {
            return None;
        }
        let score = self
            .demand
            .score(&machine_type.name, offer.zone, offer.spot)?;
        if !offered(&offer.to_offer()) {
            return None;
        }
        let charged = u128::from(self.charged_time(machine_type).0);
        let price = u128::from(machine_type.price_of(offer.spot));
        Some(OfferCost {
            per_task: price * charged / u128::from(tasks),
            score: Reverse(score),
        })
    }

    /// Whether there is still enough work for a machine when it comes up. A gang needs room for all of its tasks at
    /// once, no matter how soon each of them ends.
    fn is_useful(&self, machine_type: &MachineType, tasks: u64) -> bool {
        let min_work = self.demand.task_work() * u128::from(tasks) / MIN_USEFUL_TASKS_DIVISOR;
        self.demand.spec.runs_all_tasks_at_once()
            || self.backlog.cores == 0
            || self
                .backlog
                .remaining_work_after(self.ready_after(machine_type))
                >= min_work
    }

    /// Whether tasks that would be late without a machine start in time with it. The machine must not take longer to
    /// come up than a task runs.
    fn prevents_lateness(&self, machine_type: &MachineType) -> bool {
        let ready_after = self.ready_after(machine_type);
        self.backlog.duration() > self.demand.slack
            && ready_after < self.demand.slack
            && ready_after <= self.demand.estimated_runtime
    }

    /// Time until a machine is up and holds the image.
    fn ready_after(&self, machine_type: &MachineType) -> Micros {
        machine_type.boot_time + machine_type.fetch_time(self.demand.spec.image_size)
    }

    /// Time that a machine is charged for.
    fn charged_time(&self, machine_type: &MachineType) -> Micros {
        let busy = self.demand.estimated_runtime.max(MIN_ESTIMATED_RUNTIME)
            + machine_type.fetch_time(self.demand.spec.image_size);
        (machine_type.boot_time + busy * RUNS_PER_COST_ESTIMATE).max(MIN_CHARGED_TIME)
    }
}
