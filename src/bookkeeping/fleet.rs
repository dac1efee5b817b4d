//! What to hire: a pure plan from what waits and what there is.

use super::amount::Amount;
use super::catalog::{Catalog, MachineType};
use super::job::JobSpec;
use super::time::Micros;

/// Tasks of one job that have no place.
#[derive(Clone, Debug)]
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
}

impl Demand<'_> {
    fn takes(&self, r: &Room<'_>) -> bool {
        self.spec.allows(r.build, r.yard, r.spot) && r.price <= self.price_limit
    }
}

/// A machine that is up, or is expected to be.
#[derive(Clone, Debug)]
pub struct Room<'a> {
    /// Type.
    pub build: &'a str,
    /// Zone.
    pub yard: &'a str,
    /// Spot.
    pub spot: bool,
    /// All of its room.
    pub all: Amount,
    /// Room left.
    pub free: Amount,
    /// Core time that what is booked on it still takes, in thousandths of a core times microseconds.
    pub work: u128,
    /// Price per core.
    pub price: u64,
}

/// A type, zone and kind of machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    /// Type.
    pub build: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    pub spot: bool,
}

/// Price per core of a machine of this type and kind.
pub fn core_price(t: &MachineType, spot: bool) -> u64 {
    t.price_of(spot) * 1_000_000 / t.room.cores.max(1)
}

/// Most that a core may cost for work that has time: half as much again as the cheapest that the
/// job may use. What is dearer is for work that would otherwise be late.
pub fn price_limit(catalog: &Catalog, spec: &JobSpec) -> u64 {
    let allowed = |t: &MachineType, spot: bool| t.zones.iter().any(|z| spec.allows(&t.name, z, spot));
    let fitting = catalog.types.iter().filter(|t| spec.need.fits(&t.room));
    let prices = fitting.flat_map(|t| [true, false].map(|spot| allowed(t, spot).then(|| core_price(t, spot))));
    prices.flatten().min().map_or(u64::MAX, |least| least.saturating_mul(3) / 2)
}

/// Machines to hire, with how many of each. `offered`: whether an offer is worth asking for.
pub fn plan(
    catalog: &Catalog,
    demands: &[Demand<'_>],
    rooms: &mut [Room<'_>],
    offered: &dyn Fn(&Offer) -> bool,
) -> Vec<(Offer, u32)> {
    /// Most machines asked for at once.
    const MOST: usize = 200;
    let mut hires: Vec<(Offer, u32)> = Vec::new();
    let mut new: Vec<(Offer, Amount)> = Vec::new();
    let mut waiting: u128 = 0;
    for d in demands {
        let need = &d.spec.need;
        let task_work = u128::from(need.cores) * u128::from(d.run.0);
        let mut left = d.count;
        for r in rooms.iter_mut().filter(|r| d.takes(r)) {
            let n = take(&mut r.free, need, left);
            r.work += task_work * u128::from(n);
            left -= n;
        }
        for (_, free) in new.iter_mut().filter(|(o, _)| d.spec.allows(&o.build, &o.yard, o.spot)) {
            left -= take(free, need, left);
        }
        while left > 0 && new.len() < MOST {
            // How long until the machines that could run these tasks have run off what is ahead.
            let (mut cores, mut ahead) = (0, waiting + task_work * u128::from(left));
            for r in rooms.iter().filter(|r| d.takes(r)) {
                let usable = need.times_in(&r.all, u64::from(u32::MAX)) * need.cores;
                if usable > 0 {
                    cores += u128::from(usable);
                    ahead += r.work;
                }
            }
            for (o, _) in new.iter().filter(|(o, _)| d.spec.allows(&o.build, &o.yard, o.spot)) {
                cores += catalog.get(&o.build).map_or(0, |t| u128::from(t.room.cores));
            }
            let backlog = Backlog { cores, ahead };
            let Some((t, offer)) = cheapest(catalog, d, left, backlog, offered) else {
                waiting += task_work * u128::from(left);
                break;
            };
            let mut free = t.room;
            left -= take(&mut free, need, left);
            new.push((offer.clone(), free));
            match hires.iter_mut().find(|(o, _)| *o == offer) {
                Some((_, n)) => *n += 1,
                None => hires.push((offer, 1)),
            }
        }
    }
    hires
}

fn take(free: &mut Amount, need: &Amount, most: u64) -> u64 {
    let n = need.times_in(free, most);
    *free -= need.times(n);
    n
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
        self.ahead.checked_div(self.cores).map_or(Micros::FOREVER, |t| Micros(t as u64))
    }

    /// What is left of it after some time.
    fn after(&self, t: Micros) -> u128 {
        self.ahead.saturating_sub(self.cores * u128::from(t.0))
    }
}

/// The cheapest offer for work like this that is worth it, by price per task with boot, fetch and
/// shortest charge.
fn cheapest<'a>(
    catalog: &'a Catalog,
    d: &Demand<'_>,
    left: u64,
    backlog: Backlog,
    offered: &dyn Fn(&Offer) -> bool,
) -> Option<(&'a MachineType, Offer)> {
    let dear = price_limit(catalog, d.spec);
    let mut best: Option<(u128, &MachineType, Offer)> = None;
    for t in &catalog.types {
        let per_machine = d.spec.need.times_in(&t.room, left);
        if per_machine == 0 {
            continue;
        }
        let comes_up = t.boot + t.fetch_time(d.spec.size);
        for zone in &t.zones {
            for spot in [true, false] {
                let offer = Offer { build: t.name.clone(), yard: zone.clone(), spot };
                // There must still be something for it to do when it comes up.
                let some = u128::from(d.spec.need.cores) * u128::from(d.run.0) * u128::from(per_machine) / 2;
                let useful = backlog.cores == 0 || backlog.after(comes_up) >= some;
                // What is dear is only for what would be late otherwise and will not be with it.
                let late = backlog.drained() > d.slack && comes_up < d.slack;
                let worth = useful && (late || backlog.cores == 0 || core_price(t, spot) <= dear);
                if !worth || !d.spec.allows(&t.name, zone, spot) || !offered(&offer) {
                    continue;
                }
                let busy = d.run.max(Micros::secs(10)) + t.fetch_time(d.spec.size);
                let charged = (t.boot + busy * 2).max(Micros::secs(60));
                let cost = u128::from(t.price_of(spot)) * u128::from(charged.0) / u128::from(per_machine);
                if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                    best = Some((cost, t, offer));
                }
            }
        }
    }
    best.map(|(_, t, o)| (t, o))
}
