//! Where tasks go: a pure plan on a set of machines.

use super::amount::Amount;
use super::ids::{JobId, MachineId, Slice};
use super::job::JobSpec;
use std::collections::BTreeMap;

/// A machine that takes bookings.
#[derive(Clone, Debug)]
pub struct Slot<'a> {
    /// Its slice.
    pub slice: Slice,
    /// The machine.
    pub machine: MachineId,
    /// Type.
    pub build: &'a str,
    /// Zone.
    pub yard: &'a str,
    /// Spot.
    pub spot: bool,
    /// Price per core.
    pub price: u64,
    /// Room left.
    pub free: Amount,
    /// Images that it has or is fetching.
    pub images: Vec<&'a str>,
}

/// Tasks of one job that want a place.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The job.
    pub job: JobId,
    /// What was asked for.
    pub spec: &'a JobSpec,
    /// Tasks, in order.
    pub tasks: Vec<u32>,
    /// Tasks of the job by zone that are booked already.
    pub zones: BTreeMap<&'a str, u32>,
    /// Most tasks that its team's limit still allows.
    pub most: u64,
    /// Most that a core of a machine may cost.
    pub price_limit: u64,
    /// All or nothing.
    pub whole: bool,
    /// Machines to leave to others if any other will do.
    pub avoid: &'a [MachineId],
}

/// A task and the machine it is to be booked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The job.
    pub job: JobId,
    /// The task's number.
    pub index: u32,
    /// The slice of the machine.
    pub slice: Slice,
    /// The machine.
    pub machine: MachineId,
}

/// Places what fits, in the order of the asks; takes the room from the slots.
pub fn plan<'a>(slots: &mut [Slot<'a>], asks: &mut [Ask<'a>], most: usize) -> Vec<Claim> {
    let mut claims = Vec::new();
    for ask in asks {
        if claims.len() >= most {
            break;
        }
        let begun = claims.len();
        place_job(slots, ask, most, &mut claims);
        if ask.whole && claims.len() - begun < ask.tasks.len() {
            for c in claims.drain(begun..) {
                if let Some(s) = slots.iter_mut().find(|s| s.machine == c.machine) {
                    s.free += ask.spec.need;
                }
            }
        }
    }
    claims
}

fn place_job<'a>(slots: &mut [Slot<'a>], ask: &mut Ask<'a>, most: usize, claims: &mut Vec<Claim>) {
    let mut zone = ask.zones.keys().next().copied().filter(|_| ask.spec.one_zone);
    if ask.spec.one_zone && zone.is_none() {
        zone = roomiest_zone(slots, ask.spec);
    }
    for (placed, index) in (0..).zip(&ask.tasks) {
        if placed >= ask.most || claims.len() >= most {
            return;
        }
        let Some(at) = choose(slots, ask, zone) else {
            return;
        };
        let slot = &mut slots[at];
        slot.free -= ask.spec.need;
        if !slot.images.contains(&ask.spec.bundle.as_str()) {
            slot.images.push(&ask.spec.bundle);
        }
        *ask.zones.entry(slot.yard).or_default() += 1;
        claims.push(Claim { job: ask.job, index: *index, slice: slot.slice, machine: slot.machine });
    }
}

/// The image's machine, else the fullest that fits. The job's zone is part of what is allowed.
fn choose(slots: &[Slot<'_>], ask: &Ask<'_>, zone: Option<&str>) -> Option<usize> {
    let fits = |s: &Slot<'_>| {
        ask.spec.need.fits(&s.free)
            && s.price <= ask.price_limit
            && ask.spec.allows(s.build, s.yard, s.spot)
            && zone.is_none_or(|z| z == s.yard)
            && (!ask.spec.apart || ask.zones.get(s.yard).copied().unwrap_or(0) < ask.spec.zone_limit())
    };
    let rank = |s: &Slot<'_>| {
        let avoided = ask.avoid.contains(&s.machine);
        let has_image = s.images.contains(&ask.spec.bundle.as_str());
        (avoided, !has_image, s.free.cores, s.free.memory, s.price, s.machine)
    };
    (0..slots.len()).filter(|i| fits(&slots[*i])).min_by_key(|i| rank(&slots[*i]))
}

fn roomiest_zone<'a>(slots: &[Slot<'a>], spec: &JobSpec) -> Option<&'a str> {
    let mut room: BTreeMap<&str, u64> = BTreeMap::new();
    for s in slots.iter().filter(|s| spec.allows(s.build, s.yard, s.spot)) {
        *room.entry(s.yard).or_default() += spec.need.times_in(&s.free, spec.pieces.into());
    }
    room.into_iter().max_by_key(|(_, n)| *n).map(|(z, _)| z)
}
