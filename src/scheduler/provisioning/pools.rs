//! Pools of equal machines that are up or expected.

use super::demand::Demand;
use super::offers::core_price;
use crate::storage::catalog::Catalog;
use crate::storage::ids::MachineId;
use crate::storage::machine_classes::ClassId;
use crate::storage::resources::Amount;

/// Machines of one type, zone, kind and class that are up or expected.
#[derive(Clone, Debug)]
pub struct MachinePool<'a> {
    /// Machine type.
    pub machine_type: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Whether they are spot machines.
    pub spot: bool,
    /// Total capacity of one machine.
    pub capacity: Amount,
    /// Price per core.
    pub price: u64,
    /// Number of machines.
    pub count: u64,
    /// Core time that their assigned tasks still take, in thousandths of a core times microseconds.
    pub work: u128,
    /// Free capacity of each machine that has any, with the machine if it is up.
    pub free: Vec<(Amount, Option<MachineId>)>,
    /// Their class, if rules need it.
    pub class: Option<ClassId>,
}

impl<'a> MachinePool<'a> {
    /// A pool without machines. A type that the catalog does not list has no capacity.
    fn empty(
        (machine_type, zone, spot): (&'a str, &'a str, bool),
        catalog: &Catalog,
        class: Option<ClassId>,
    ) -> MachinePool<'a> {
        let entry = catalog.get(machine_type);
        MachinePool {
            machine_type,
            zone,
            spot,
            capacity: entry.map_or(Amount::default(), |entry| entry.capacity),
            price: entry.map_or(0, |entry| core_price(entry, spot)),
            count: 0,
            work: 0,
            free: Vec::new(),
            class,
        }
    }

    /// Places up to `missing` tasks in free room; returns how many found none.
    fn place(&mut self, demand: &Demand<'_>, mut missing: u64) -> u64 {
        let need = &demand.spec.need;
        for (free, machine) in &mut self.free {
            if missing == 0 {
                break;
            }
            if let (Some(placement_filter), Some(class)) = (&demand.placement_filter, self.class)
                && !placement_filter.allows_machine(class, *machine)
            {
                continue;
            }
            let tasks = need.count_fitting_in(free, missing);
            *free -= need.times(tasks);
            self.work += demand.task_work() * u128::from(tasks);
            missing -= tasks;
        }
        self.free.retain(|(free, _)| free.cores > 0);
        missing
    }
}

/// All machines that are up or expected.
#[derive(Clone, Debug, Default)]
pub struct MachinePools<'a>(Vec<MachinePool<'a>>);

impl<'a> MachinePools<'a> {
    /// Adds `count` machines of one type, zone and kind.
    ///
    /// `free`: free capacity of each, and the machine if it is up; `None` if they are empty and not up. `work`: core
    /// time that the assigned tasks of each still take.
    pub fn add(
        &mut self,
        (machine_type, zone, spot): (&'a str, &'a str, bool),
        catalog: &Catalog,
        class: Option<ClassId>,
        count: u64,
        free: Option<(Amount, Option<MachineId>)>,
        work: u128,
    ) {
        let pool = self.pool((machine_type, zone, spot), catalog, class);
        pool.count += count;
        pool.work += work * u128::from(count);
        let free = free.unwrap_or((pool.capacity, None));
        if free.0.cores > 0 {
            pool.free.extend((0..count).map(|_| free));
        }
    }

    fn pool(
        &mut self,
        (machine_type, zone, spot): (&'a str, &'a str, bool),
        catalog: &Catalog,
        class: Option<ClassId>,
    ) -> &mut MachinePool<'a> {
        let existing = self.0.iter().position(|pool| {
            pool.spot == spot
                && pool.machine_type == machine_type
                && pool.zone == zone
                && pool.class == class
        });
        let index = existing.unwrap_or_else(|| {
            self.0.push(MachinePool::empty(
                (machine_type, zone, spot),
                catalog,
                class,
            ));
            self.0.len() - 1
        });
        &mut self.0[index]
    }

    /// Places up to `missing` tasks in the free room of feasible pools; returns how many found none.
    pub(super) fn place(
        &mut self,
        demand: &Demand<'_>,
        price_filter: PriceFilter,
        missing: u64,
    ) -> u64 {
        self.0.iter_mut().fold(missing, |missing, pool| {
            if missing > 0 && price_filter.includes(pool, demand) && demand.is_feasible(pool) {
                pool.place(demand, missing)
            } else {
                missing
            }
        })
    }

    /// The pools that may run a demand, within these prices.
    pub(super) fn feasible(
        &self,
        demand: &Demand<'_>,
        price_filter: PriceFilter,
    ) -> impl Iterator<Item = &MachinePool<'a>> {
        self.0
            .iter()
            .filter(move |pool| price_filter.includes(pool, demand) && demand.is_feasible(pool))
    }
}

/// Selection of machines by price, relative to the price limit of a demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriceFilter {
    /// Up to the limit.
    WithinLimit,
    /// Above the limit only.
    AboveLimit,
    /// All prices.
    Any,
}

impl PriceFilter {
    fn includes(self, pool: &MachinePool<'_>, demand: &Demand<'_>) -> bool {
        match self {
            PriceFilter::WithinLimit => pool.price <= demand.price_limit,
            PriceFilter::AboveLimit => pool.price > demand.price_limit,
            PriceFilter::Any => true,
        }
    }
}
