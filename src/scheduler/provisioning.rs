//! Which machines to provision: a pure plan from the pending tasks and the machines that are up or expected.

mod demand;
mod offers;
mod pools;

pub use demand::{Demand, PlacementFilter};
pub use offers::{MachineOffer, core_price, price_limit};
pub use pools::{MachinePool, MachinePools};

use crate::storage::catalog::Catalog;
use crate::storage::machine_classes::ClassId;
use offers::{Backlog, BorrowedOffer, OfferChoice};
use pools::PriceFilter;

/// Largest number of machines that one plan provisions.
const MAX_MACHINES_PER_PLAN: u32 = 400;

/// The machines to provision, with the number of each. Demands are served in their order, from the pools first.
///
/// `offered`: whether the cloud may have such a machine. `class_of`: the class of a provisioned machine, if rules
/// need it.
pub fn plan<'a>(
    catalog: &'a Catalog,
    demands: &[Demand<'_>],
    pools: &mut MachinePools<'a>,
    offered: &dyn Fn(&MachineOffer) -> bool,
    class_of: &dyn Fn(&MachineOffer) -> Option<ClassId>,
) -> Vec<(MachineOffer, u32)> {
    let mut planner = Planner {
        catalog,
        pools,
        offered,
        class_of,
        requests: Vec::new(),
        provisioned: 0,
        unplaced_work: 0,
    };
    for demand in demands {
        planner.plan_demand(demand);
    }
    planner.requests
}

/// State of one plan.
struct Planner<'p, 'a> {
    catalog: &'a Catalog,
    pools: &'p mut MachinePools<'a>,
    offered: &'p dyn Fn(&MachineOffer) -> bool,
    class_of: &'p dyn Fn(&MachineOffer) -> Option<ClassId>,
    requests: Vec<(MachineOffer, u32)>,
    provisioned: u32,
    /// Core time of the tasks for which no machine is provisioned: they wait for the machines that are up.
    unplaced_work: u128,
}

impl<'a> Planner<'_, 'a> {
    fn plan_demand(&mut self, demand: &Demand<'_>) {
        let mut missing = self
            .pools
            .place(demand, PriceFilter::WithinLimit, demand.task_count);
        let mut price_filter = PriceFilter::WithinLimit;
        while missing > 0 && self.provisioned < MAX_MACHINES_PER_PLAN {
            let backlog = self.backlog(demand, missing, price_filter);
            if price_filter == PriceFilter::WithinLimit && backlog.duration() > demand.slack {
                // Expensive machines are used for work that would otherwise be late, regardless of the demand that
                // they were provisioned for.
                missing = self.pools.place(demand, PriceFilter::AboveLimit, missing);
                price_filter = PriceFilter::Any;
                continue;
            }
            let choice = OfferChoice::new(self.catalog, demand, missing, backlog);
            let Some(offer) = choice.cheapest(self.catalog, self.offered) else {
                self.unplaced_work += demand.task_work() * u128::from(missing);
                break;
            };
            missing -= self.provision(offer, demand, missing);
        }
    }

    /// Work ahead of the machines that could run a demand, including its own `missing` tasks.
    fn backlog(&self, demand: &Demand<'_>, missing: u64, price_filter: PriceFilter) -> Backlog {
        let need = &demand.spec.need;
        let mut backlog = Backlog {
            cores: 0,
            work: self.unplaced_work + demand.task_work() * u128::from(missing),
        };
        for pool in self.pools.feasible(demand, price_filter) {
            let usable_cores =
                need.count_fitting_in(&pool.capacity, u64::from(u32::MAX)) * need.cores;
            if usable_cores > 0 {
                backlog.cores += u128::from(usable_cores * pool.count);
                backlog.work += pool.work;
            }
        }
        backlog
    }

    /// Provisions one machine for the `missing` tasks of a demand; returns how many fit on it.
    fn provision(&mut self, chosen: BorrowedOffer<'a>, demand: &Demand<'_>, missing: u64) -> u64 {
        let need = &demand.spec.need;
        let room = chosen.machine_type.capacity;
        let tasks = need.count_fitting_in(&room, missing);
        let offer = chosen.to_offer();
        self.pools.add(
            (&chosen.machine_type.name, chosen.zone, chosen.spot),
            self.catalog,
            (self.class_of)(&offer),
            1,
            Some((room - need.times(tasks), None)),
            demand.task_work() * u128::from(tasks),
        );
        self.provisioned += 1;
        match self
            .requests
            .iter_mut()
            .find(|(requested, _)| *requested == offer)
        {
            Some((_, count)) => *count += 1,
            None => self.requests.push((offer, 1)),
        }
        tasks
    }
}
