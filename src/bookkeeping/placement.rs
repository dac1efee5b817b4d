//! Where tasks go: a pure plan on a set of machines.

use super::amount::Amount;
use super::ids::{JobId, MachineId, Slice};
use super::job::{JobSpec, Urgency};
use super::records::Booking;
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
    /// All of its room.
    pub all: Amount,
    /// Room left.
    pub free: Amount,
    /// Kept for a job that found no room and comes before others.
    pub kept: bool,
    /// Images that it has or is fetching.
    pub images: Vec<&'a str>,
    /// What could be stopped there, the latest started last.
    pub running: Vec<Running>,
}

/// A booked task that others may take the room of.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Its booking.
    pub booking: Booking,
    /// What it takes.
    pub need: Amount,
    /// How urgent it is.
    pub urgency: Urgency,
    /// Its team has booked more than its guarantee.
    pub borrowed: bool,
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
    /// It is this controller's to place. The others' jobs take their turn in the plan all the same,
    /// so that nothing of lower precedence takes the room that they are about to claim.
    pub mine: bool,
    /// It must start at once, and may stop others for it.
    pub preempts: bool,
    /// It is work within its team's guarantee.
    pub guaranteed: bool,
    /// All or nothing.
    pub whole: bool,
    /// Machines to leave to others if any other will do.
    pub avoid: &'a [MachineId],
}

impl Ask<'_> {
    fn takes(&self, s: &Slot<'_>) -> bool {
        s.price <= self.price_limit && self.spec.allows(s.build, s.yard, s.spot)
    }
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

/// Tasks to be booked on a machine in the room of others that are stopped for them.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The slice of the machine.
    pub slice: Slice,
    /// The machine.
    pub machine: MachineId,
    /// What is stopped.
    pub victims: Vec<Booking>,
    /// What is booked.
    pub claims: Vec<Claim>,
}

/// Finds room for what `plan` found none for, by stopping what may be stopped: of every machine
/// the latest started first, and of all machines the one where the least is lost.
pub fn preempt(slots: &mut [Slot<'_>], asks: &[Ask<'_>], claims: &[Claim], most: usize) -> Vec<Takeover> {
    let mut takeovers: Vec<Takeover> = Vec::new();
    for ask in asks.iter().filter(|a| a.mine && a.preempts && !a.whole && !a.spec.one_zone && !a.spec.apart) {
        let placed = claims.iter().filter(|c| c.job == ask.job).count() as u64;
        let mut left = (ask.tasks.len() as u64).min(ask.most).saturating_sub(placed);
        let mut next = ask.tasks[placed as usize..].iter();
        while left > 0 && takeovers.len() < most {
            let best = slots
                .iter()
                .enumerate()
                .filter(|(_, s)| ask.takes(s) && ask.spec.need.fits(&s.all))
                .filter_map(|(i, s)| {
                    let (victims, room) = victims(s, ask)?;
                    let n = ask.spec.need.times_in(&room, left);
                    let lost: u64 = s.running[s.running.len() - victims..].iter().map(|r| r.need.cores).sum();
                    // Stopping much for little is not worth what is lost.
                    let gained = n * ask.spec.need.cores;
                    let no_image = !s.images.contains(&ask.spec.bundle.as_str());
                    (n > 0 && lost <= gained * 4).then_some((
                        (no_image, lost * 16 / gained.max(1), s.machine),
                        i,
                        n,
                        victims,
                        room,
                    ))
                })
                .min_by_key(|b| b.0);
            let Some((_, i, n, count, room)) = best else { break };
            let slot = &mut slots[i];
            slot.free = room;
            slot.free -= ask.spec.need.times(n);
            let from = slot.running.len() - count;
            let victims = slot.running.drain(from..).map(|r| r.booking).collect();
            let (slice, machine) = (slot.slice, slot.machine);
            let claims = next
                .by_ref()
                .take(n as usize)
                .map(|index| Claim { job: ask.job, index: *index, slice, machine })
                .collect();
            takeovers.push(Takeover { slice, machine, victims, claims });
            left -= n;
        }
    }
    takeovers
}

/// How many of the latest started must be stopped for one more task, and the room that there is then.
fn victims(slot: &Slot<'_>, ask: &Ask<'_>) -> Option<(usize, Amount)> {
    let mut room = slot.free;
    for (n, r) in slot.running.iter().rev().enumerate() {
        let may = r.urgency > ask.spec.urgency || (r.borrowed && ask.guaranteed);
        if !may {
            return None;
        }
        room += r.need;
        if ask.spec.need.fits(&room) {
            return Some((n + 1, room));
        }
    }
    None
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
        let placed = claims.len() - begun;
        if ask.whole && placed < ask.tasks.len() {
            for c in claims.drain(begun..) {
                if let Some(s) = slots.iter_mut().find(|s| s.machine == c.machine) {
                    s.free += ask.spec.need;
                }
            }
        }
        keep(slots, ask, (ask.tasks.len() - placed) as u64);
        if !ask.mine {
            claims.truncate(begun);
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

/// Keeps the machines nearest to having room for what found none, so that smaller tasks of lower
/// precedence do not nibble at them for ever.
fn keep(slots: &mut [Slot<'_>], ask: &Ask<'_>, missing: u64) {
    let mut missing = missing.min(ask.most);
    let mut budget = slots.len().div_ceil(3);
    while missing > 0 && budget > 0 {
        let fits = |s: &Slot<'_>| !s.kept && ask.spec.need.fits(&s.all) && ask.takes(s);
        let nearest = slots.iter_mut().filter(|s| fits(s)).max_by_key(|s| (s.free.cores, s.free.memory));
        let Some(slot) = nearest else { return };
        slot.kept = true;
        missing = missing.saturating_sub(ask.spec.need.times_in(&slot.all, missing));
        budget -= 1;
    }
}

/// The image's machine, else the fullest that fits. The job's zone is part of what is allowed.
fn choose(slots: &[Slot<'_>], ask: &Ask<'_>, zone: Option<&str>) -> Option<usize> {
    let fits = |s: &Slot<'_>| {
        !s.kept
            && ask.spec.need.fits(&s.free)
            && ask.takes(s)
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
