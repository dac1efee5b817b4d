//! What to hire: a pure plan from what waits and what there is.

use crate::storage::catalog::{Catalog, MachineType};
use crate::storage::ids::MachineId;
use crate::storage::job::JobSpec;
use crate::storage::machine_classes::ClassId;
use crate::storage::resources::Amount;
use crate::time::Micros;
use std::cmp::Reverse;

/// What rules make of machines, for one job.
pub trait PlacementFilter {
    /// Whether machines of a class may run it, as far as the class tells.
    fn class(&self, class: ClassId) -> bool;
    /// Whether a machine may run it as it is now; one that is still to come up is nobody yet.
    fn machine(&self, class: ClassId, machine: Option<MachineId>) -> bool;
    /// What preferences make of a machine that is hired for it; `None` if it may not run it.
    fn offer(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u32>;
}

/// Tasks of one job that have no place.
pub struct Demand<'a> {
    /// What was asked for.
    pub spec: &'a JobSpec,
    /// How many tasks.
    pub count: u64,
    /// Time until they must start to end by their deadline; zero if that is past.
    pub slack: Micros,
    /// How long one of them is expected to run.
    pub run: Micros,
    /// Most that a core of a machine may cost, see [`price_limit`].
    pub price_limit: u64,
    /// What rules say, if any concern it.
    pub places: Option<Box<dyn PlacementFilter + 'a>>,
}

impl Demand<'_> {
    /// Whether the machines of a pool may run it.
    fn is_feasible(&self, p: &MachinePool<'_>) -> bool {
        self.spec.allows(p.machine_type, p.zone, p.spot)
            && self
                .places
                .as_ref()
                .is_none_or(|r| p.class.is_some_and(|c| r.class(c)))
    }

    /// What a machine hired for it would be worth to its preferences; `None` if it may not run it.
    fn score(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u32> {
        if !self.spec.allows(machine_type, zone, spot) {
            return None;
        }
        self.places
            .as_ref()
            .map_or(Some(0), |r| r.offer(machine_type, zone, spot))
    }
}

/// Machines of one type, zone and kind that are up, or are expected to be.
#[derive(Clone, Debug)]
pub struct MachinePool<'a> {
    /// Type.
    pub machine_type: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Spot.
    pub spot: bool,
    /// All of one machine's room.
    pub all: Amount,
    /// Price per core.
    pub price: u64,
    /// How many machines.
    pub count: u64,
    /// Core time that what is booked on them still takes, in thousandths of a core times microseconds.
    pub work: u128,
    /// Room left on those that have some, and which of them that is, if it is up.
    pub free: Vec<(Amount, Option<MachineId>)>,
    /// Their class, where rules ask for it.
    pub class: Option<ClassId>,
}

/// All machines.
#[derive(Clone, Debug, Default)]
pub struct MachinePools<'a>(Vec<MachinePool<'a>>);

impl<'a> MachinePools<'a> {
    /// Adds machines with this much room left and this much work booked on each.
    pub fn add(
        &mut self,
        (machine_type, zone, spot): (&'a str, &'a str, bool),
        catalog: &Catalog,
        class: Option<ClassId>,
        count: u64,
        free: Option<(Amount, Option<MachineId>)>,
        work: u128,
    ) {
        let same = |p: &MachinePool<'_>| {
            p.spot == spot && p.machine_type == machine_type && p.zone == zone && p.class == class
        };
        let at = self.0.iter().position(same);
        let at = at.unwrap_or_else(|| {
            let kind = catalog.get(machine_type);
            let all = kind.map_or(Amount::default(), |t| t.room);
            let price = kind.map_or(0, |t| core_price(t, spot));
            self.0.push(MachinePool {
                machine_type,
                zone,
                spot,
                all,
                price,
                count: 0,
                work: 0,
                free: Vec::new(),
                class,
            });
            self.0.len() - 1
        });
        let pool = &mut self.0[at];
        pool.count += count;
        pool.work += work * u128::from(count);
        let free = free.unwrap_or((pool.all, None));
        if free.0.cores > 0 {
            pool.free.extend((0..count).map(|_| free));
        }
    }
}

impl MachinePool<'_> {
    /// Takes room for up to `left` tasks; how many found none.
    fn take(&mut self, d: &Demand<'_>, mut left: u64, task_work: u128) -> u64 {
        let need = &d.spec.need;
        for (free, machine) in &mut self.free {
            if left == 0 {
                break;
            }
            if let (Some(places), Some(class)) = (&d.places, self.class)
                && !places.machine(class, *machine)
            {
                continue;
            }
            let n = need.times_in(free, left);
            *free -= need.times(n);
            self.work += task_work * u128::from(n);
            left -= n;
        }
        self.free.retain(|(f, _)| f.cores > 0);
        left
    }
}

/// A type, zone and kind of machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineOffer {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
}

/// Price per core of a machine of this type and kind.
pub fn core_price(t: &MachineType, spot: bool) -> u64 {
    t.price_of(spot) * 1_000_000 / t.room.cores.max(1)
}

/// Most that a core may cost for work that has time: half as much again as the cheapest that the
/// job may use. What is dearer is for work that would otherwise be late. `allows`: whether it may use
/// machines of a type, zone and kind.
pub fn price_limit(
    catalog: &Catalog,
    spec: &JobSpec,
    allows: &dyn Fn(&str, &str, bool) -> bool,
) -> u64 {
    let allowed = |t: &MachineType, spot: bool| t.zones.iter().any(|z| allows(&t.name, z, spot));
    let fitting = catalog.types.iter().filter(|t| spec.need.fits(&t.room));
    let prices = fitting
        .flat_map(|t| [true, false].map(|spot| allowed(t, spot).then(|| core_price(t, spot))));
    prices
        .flatten()
        .min()
        .map_or(u64::MAX, |least| least.saturating_mul(3) / 2)
}

/// Machines to hire, with how many of each. `offered`: whether an offer is worth asking for. `class_of`: the
/// class of its machines, where rules ask for it.
pub fn plan<'a>(
    catalog: &'a Catalog,
    demands: &[Demand<'_>],
    pools: &mut MachinePools<'a>,
    offered: &dyn Fn(&MachineOffer) -> bool,
    class_of: &dyn Fn(&MachineOffer) -> Option<ClassId>,
) -> Vec<(MachineOffer, u32)> {
    /// Most machines asked for at once.
    const MOST: u32 = 400;
    let mut provision_requests: Vec<(MachineOffer, u32)> = Vec::new();
    let mut provisioned = 0;
    let mut waiting: u128 = 0;
    for d in demands {
        let need = &d.spec.need;
        let task_work = u128::from(need.cores) * u128::from(d.run.0);
        let mut left = d.count;
        // What is dear is there for what would be late, whatever it was hired for.
        let mut late = false;
        let take = |pools: &mut MachinePools<'_>, mut left: u64, dear: bool| {
            for p in &mut pools.0 {
                if left > 0 && (p.price > d.price_limit) == dear && d.is_feasible(p) {
                    left = p.take(d, left, task_work);
                }
            }
            left
        };
        left = take(pools, left, false);
        while left > 0 && provisioned < MOST {
            // How long until the machines that could run these tasks have run off what is ahead.
            let (mut cores, mut ahead) = (0, waiting + task_work * u128::from(left));
            for p in &pools.0 {
                if (late || p.price <= d.price_limit) && d.is_feasible(p) {
                    let usable = need.times_in(&p.all, u64::from(u32::MAX)) * need.cores;
                    if usable > 0 {
                        cores += u128::from(usable * p.count);
                        ahead += p.work;
                    }
                }
            }
            let backlog = Backlog { cores, ahead };
            if !late && backlog.drained() > d.slack {
                late = true;
                left = take(pools, left, true);
                continue;
            }
            let Some((t, offer)) = cheapest(catalog, d, left, backlog, offered) else {
                waiting += task_work * u128::from(left);
                break;
            };
            let zone = t
                .zones
                .iter()
                .find(|z| **z == offer.zone)
                .map_or("", |z| z.as_str());
            let n = need.times_in(&t.room, left);
            let free = t.room - need.times(n);
            let class = class_of(&offer);
            let kind = (t.name.as_str(), zone, offer.spot);
            pools.add(
                kind,
                catalog,
                class,
                1,
                Some((free, None)),
                task_work * u128::from(n),
            );
            left -= n;
            provisioned += 1;
            match provision_requests.iter_mut().find(|(o, _)| *o == offer) {
                Some((_, n)) => *n += 1,
                None => provision_requests.push((offer, 1)),
            }
        }
    }
    provision_requests
}

/// What is ahead of the machines that could run a demand.
#[derive(Clone, Copy)]
struct Backlog {
    cores: u128,
    ahead: u128,
}

impl Backlog {
    /// When it will have been run off.
    fn drained(&self) -> Micros {
        self.ahead
            .checked_div(self.cores)
            .map_or(Micros::FOREVER, |t| Micros(t as u64))
    }

    /// What is left of it after some time.
    fn after(&self, t: Micros) -> u128 {
        self.ahead.saturating_sub(self.cores * u128::from(t.0))
    }
}

/// Price per task, and what preferences make of it.
type Cost = (u128, Reverse<u32>);

/// The cheapest offer for work like this that is worth it, by price per task with boot, fetch and
/// shortest charge.
fn cheapest<'a>(
    catalog: &'a Catalog,
    d: &Demand<'_>,
    left: u64,
    backlog: Backlog,
    offered: &dyn Fn(&MachineOffer) -> bool,
) -> Option<(&'a MachineType, MachineOffer)> {
    let dear = price_limit(catalog, d.spec, &|machine_type, zone, spot| {
        d.score(machine_type, zone, spot).is_some()
    });
    let mut best: Option<(Cost, &MachineType, MachineOffer)> = None;
    for t in &catalog.types {
        let per_machine = d.spec.need.times_in(&t.room, left);
        if per_machine == 0 {
            continue;
        }
        let comes_up = t.boot + t.fetch_time(d.spec.size);
        for zone in &t.zones {
            for spot in [true, false] {
                let offer = MachineOffer {
                    machine_type: t.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                // There must still be something for it to do when it comes up.
                let some =
                    u128::from(d.spec.need.cores) * u128::from(d.run.0) * u128::from(per_machine)
                        / 2;
                // A set that starts together needs room for all of it at once, however soon each task is done.
                let together = d.spec.together();
                let useful = together || backlog.cores == 0 || backlog.after(comes_up) >= some;
                // What is dear is only for what would be late otherwise and will not be with it, and
                // only if it does not take longer to come up than it works.
                let late = backlog.drained() > d.slack && comes_up < d.slack && comes_up <= d.run;
                let score = useful && (late || backlog.cores == 0 || core_price(t, spot) <= dear);
                let Some(liked) = d
                    .score(&t.name, zone, spot)
                    .filter(|_| score && offered(&offer))
                else {
                    continue;
                };
                let busy = d.run.max(Micros::secs(10)) + t.fetch_time(d.spec.size);
                let charged = (t.boot + busy * 2).max(Micros::secs(60));
                let cost =
                    u128::from(t.price_of(spot)) * u128::from(charged.0) / u128::from(per_machine);
                // What costs the same goes by preference.
                let cost = (cost, Reverse(liked));
                if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                    best = Some((cost, t, offer));
                }
            }
        }
    }
    best.map(|(_, t, o)| (t, o))
}
