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
    /// Time until they should start; zero if that is past, `FOREVER` if nothing presses.
    pub slack: Micros,
    /// How long one of them is expected to run.
    pub run: Micros,
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
    /// Room left.
    pub free: Amount,
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

/// The load that runs already.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Cores of all machines that are up or booting, in thousandths.
    pub cores: u64,
    /// Core time that what is booked still takes, in thousandths of a core times microseconds.
    pub work: u128,
}

/// Machines to hire, with how many of each.
pub fn plan(
    catalog: &Catalog,
    demands: &[Demand<'_>],
    rooms: &mut Vec<Room<'_>>,
    load: Load,
    offered: &dyn Fn(&Offer) -> bool,
) -> Vec<(Offer, u32)> {
    let mut hires: Vec<(Offer, u32)> = Vec::new();
    let mut new_rooms: Vec<(Offer, Amount)> = Vec::new();
    let mut waiting_work: u128 = 0;
    for d in demands {
        let mut left = d.count;
        for r in rooms.iter_mut() {
            if left == 0 {
                break;
            }
            if d.spec.allows(r.build, r.yard, r.spot) {
                left -= take(&mut r.free, &d.spec.need, left);
            }
        }
        for (o, free) in &mut new_rooms {
            if left == 0 {
                break;
            }
            if d.spec.allows(&o.build, &o.yard, o.spot) {
                left -= take(free, &d.spec.need, left);
            }
        }
        while left > 0 {
            // What will have run off by then leaves room in time.
            let work = u128::from(d.spec.need.cores) * u128::from(d.run.0) * u128::from(left);
            let cores = u128::from(load.cores);
            if cores > 0 && d.slack != Micros::ZERO {
                let drained = (load.work + waiting_work + work) / cores;
                if drained < u128::from(d.slack.0) {
                    waiting_work += work;
                    break;
                }
            }
            let Some((t, offer, per_machine)) = cheapest(catalog, d, left, offered) else {
                break;
            };
            let mut free = t.room;
            let taken = take(&mut free, &d.spec.need, left.min(per_machine));
            left -= taken;
            new_rooms.push((offer.clone(), free));
            match hires.iter_mut().find(|(o, _)| *o == offer) {
                Some((_, n)) => *n += 1,
                None => hires.push((offer, 1)),
            }
            if new_rooms.len() >= 200 {
                return hires;
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

/// The cheapest offer for work like this, by price per task, boot and shortest charge included.
fn cheapest<'a>(
    catalog: &'a Catalog,
    d: &Demand<'_>,
    left: u64,
    offered: &dyn Fn(&Offer) -> bool,
) -> Option<(&'a MachineType, Offer, u64)> {
    let mut best: Option<(u128, &MachineType, Offer, u64)> = None;
    for t in &catalog.types {
        let per_machine = d.spec.need.times_in(&t.room, left);
        if per_machine == 0 {
            continue;
        }
        for zone in &t.zones {
            for spot in [true, false] {
                if !d.spec.allows(&t.name, zone, spot) {
                    continue;
                }
                let offer = Offer { build: t.name.clone(), yard: zone.clone(), spot };
                if !offered(&offer) {
                    continue;
                }
                let busy = d.run.max(Micros::secs(10)) + t.fetch_time(d.spec.size);
                let charged = (t.boot + busy * 2).max(Micros::secs(60));
                let cost = u128::from(t.price_of(spot)) * u128::from(charged.0) / u128::from(per_machine);
                if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                    best = Some((cost, t, offer, per_machine));
                }
            }
        }
    }
    best.map(|(_, t, o, n)| (t, o, n))
}
