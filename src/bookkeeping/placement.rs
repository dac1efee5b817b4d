//! Where tasks go: a pure plan on a set of machines.

use super::admission::{Admission, House, Insisted, Site};
use super::amount::Amount;
use super::classes::ClassId;
use super::ids::{JobId, MachineId};
use super::job::{JobSpec, Priority};
use super::records::Booking;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// A machine that takes bookings.
#[derive(Clone, Debug)]
pub struct Slot<'a> {
    /// The machine.
    pub machine: MachineId,
    /// Number of the record that holds it, in [`Groups`].
    pub group: usize,
    /// Who answers its worker, by some number that jobs use as well.
    pub owner: usize,
    /// Type.
    pub machine_type: &'a str,
    /// Zone.
    pub zone: &'a str,
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
    pub images: &'a [(Arc<str>, u64)],
    /// An image that this plan lets it fetch.
    pub fetches: Option<&'a str>,
    /// What could be stopped there, the latest started last.
    pub running: Vec<Running>,
    /// Its class, where rules ask for it.
    pub class: ClassId,
    /// Jobs that have tasks there, where rules ask for them.
    pub there: Vec<JobId>,
    /// Whether rules of some of them ask what is beside.
    pub guarded: bool,
}

impl Slot<'_> {
    fn site(&self) -> Site<'_> {
        Site {
            class: self.class,
            images: self.images,
            fetches: self.fetches,
            there: &self.there,
            guarded: self.guarded,
        }
    }

    fn has_image(&self, name: &str) -> bool {
        self.fetches == Some(name) || self.images.iter().any(|(n, _)| **n == *name)
    }
}

/// Records that a round may write: each one more is a change, and of changes there are few.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    /// Whether the round writes it.
    pub open: Vec<bool>,
    /// How many more it may open.
    pub left: usize,
}

impl Groups {
    fn may(&self, group: usize) -> bool {
        self.left > 0 || self.open[group]
    }

    /// Opens a group; false if that would be one too many.
    fn take(&mut self, group: usize) -> bool {
        if !self.may(group) {
            return false;
        }
        if !std::mem::replace(&mut self.open[group], true) {
            self.left -= 1;
        }
        true
    }
}

/// A booked task that others may take the room of.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Its booking.
    pub booking: Booking,
    /// What it takes.
    pub need: Amount,
    /// How urgent it is.
    pub priority: Priority,
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
    /// How urgent it is, for itself or for what needs it.
    pub priority: Priority,
    /// Tasks, in order.
    pub tasks: Vec<u32>,
    /// Tasks of the job by zone that are booked already.
    pub zones: BTreeMap<&'a str, u32>,
    /// Most tasks that its team's limit still allows.
    pub most: u64,
    /// Most that a core of a machine may cost.
    pub price_limit: u64,
    /// Who places it.
    pub owner: usize,
    /// It is this controller's to place. The others' jobs take their turn in the plan all the same,
    /// so that nothing of lower precedence takes the room that they are about to claim.
    pub mine: bool,
    /// It must start at once, and may stop others for it.
    pub preempts: bool,
    /// It is work within its team's guarantee.
    pub guaranteed: bool,
    /// Takes what is free, and has nothing kept for it.
    pub modest: bool,
    /// All or nothing.
    pub whole: bool,
    /// Machines to leave to others if any other will do.
    pub avoid: &'a [MachineId],
    /// The rules that have a say.
    pub rules: Option<Rules<'a>>,
}

/// The rules that have a say in where tasks of a job go.
#[derive(Clone, Copy, Debug)]
pub struct Rules<'a> {
    /// What they ask about the present.
    pub house: &'a House<'a>,
    /// What those that concern the job say; others may concern what is on the machines.
    pub admission: Option<&'a Admission>,
    /// Preferences that are waited for.
    pub insisted: Insisted,
}

impl Ask<'_> {
    fn takes(&self, s: &Slot<'_>) -> bool {
        self.suits(s) && self.admitted(s)
    }

    /// Whether the machine is one that it asks for.
    fn suits(&self, s: &Slot<'_>) -> bool {
        s.price <= self.price_limit && self.spec.allows(s.machine_type, s.zone, s.spot)
    }

    /// Whether rules let it on the machine.
    fn admitted(&self, s: &Slot<'_>) -> bool {
        self.rules.is_none_or(|r| {
            r.house
                .admits((self.job, self.spec), r.admission, r.insisted, s.site())
        })
    }

    /// The same, as far as the machine's class tells.
    fn class_admitted(&self, s: &Slot<'_>) -> bool {
        self.rules
            .and_then(|r| r.admission.map(|a| (a, r.insisted)))
            .is_none_or(|(a, i)| a.may(s.class, i))
    }

    /// How much its preferences make of the machine.
    fn worth(&self, s: &Slot<'_>) -> u32 {
        self.rules.map_or(0, |r| {
            r.house.worth((self.job, self.spec), r.admission, s.site())
        })
    }

    /// Notes that tasks of it go to the machine, if rules ask.
    fn comes_to(&self, s: &mut Slot<'_>) {
        if self.rules.is_some_and(|r| r.house.beside) && !s.there.contains(&self.job) {
            s.there.push(self.job);
            s.guarded |= self.rules.is_some_and(|r| r.house.guards(self.job));
        }
    }
}

/// A task and the machine it is to be booked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The job.
    pub job: JobId,
    /// The task's number.
    pub index: u32,
    /// The machine.
    pub machine: MachineId,
}

/// Tasks to be booked on a machine in the room of others that are stopped for them.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The machine.
    pub machine: MachineId,
    /// What is stopped.
    pub victims: Vec<Booking>,
    /// What is booked.
    pub claims: Vec<Claim>,
}

/// Finds room for what `plan` found none for, by stopping what may be stopped: of every machine
/// the latest started first, and of all machines the one where the least is lost. `running`: what
/// could be stopped on a machine.
pub fn preempt(
    slots: &mut [Slot<'_>],
    asks: &[Ask<'_>],
    claims: &[Claim],
    most: usize,
    running: &dyn Fn(MachineId) -> Vec<Running>,
) -> Vec<Takeover> {
    let mut takeovers: Vec<Takeover> = Vec::new();
    let mut looked = false;
    for ask in asks.iter().filter(|a| {
        a.mine && a.preempts && !a.whole && !a.spec.single_zone && !a.spec.anti_affinity
    }) {
        let placed = claims.iter().filter(|c| c.job == ask.job).count() as u64;
        let mut left = (ask.tasks.len() as u64)
            .min(ask.most)
            .saturating_sub(placed);
        if left > 0 && !std::mem::replace(&mut looked, true) {
            for s in slots.iter_mut() {
                s.running = running(s.machine);
            }
        }
        let mut next = ask.tasks[placed as usize..].iter();
        while left > 0 && takeovers.len() < most {
            let best = slots
                .iter()
                .enumerate()
                .filter(|(_, s)| ask.takes(s) && ask.spec.need.fits(&s.all))
                .filter_map(|(i, s)| {
                    let (victims, room, n) = victims(s, ask, left)?;
                    let lost: u64 = s.running[s.running.len() - victims..]
                        .iter()
                        .map(|r| r.need.cores)
                        .sum();
                    // Stopping much for little is not worth what is lost.
                    let gained = n * ask.spec.need.cores;
                    let no_image = !s.has_image(&ask.spec.image);
                    (lost <= gained * 4).then_some((
                        (no_image, lost * 16 / gained.max(1), s.machine),
                        i,
                        n,
                        victims,
                        room,
                    ))
                })
                .min_by_key(|b| b.0);
            let Some((_, i, n, count, room)) = best else {
                break;
            };
            let slot = &mut slots[i];
            slot.free = room;
            slot.free -= ask.spec.need.times(n);
            ask.comes_to(slot);
            let from = slot.running.len() - count;
            let victims = slot.running.drain(from..).map(|r| r.booking).collect();
            let machine = slot.machine;
            let claims = next
                .by_ref()
                .take(n as usize)
                .map(|index| Claim {
                    job: ask.job,
                    index: *index,
                    machine,
                })
                .collect();
            takeovers.push(Takeover {
                machine,
                victims,
                claims,
            });
            left -= n;
        }
    }
    takeovers
}

/// How many of the latest started must be stopped for as many as `most` more tasks, the room that there
/// is then, and how many tasks have it.
fn victims(slot: &Slot<'_>, ask: &Ask<'_>, most: u64) -> Option<(usize, Amount, u64)> {
    let mut room = slot.free;
    let mut best = None;
    let mut fit = 0;
    for (i, r) in slot.running.iter().rev().enumerate() {
        let may = r.priority > ask.priority || (r.borrowed && ask.guaranteed);
        if !may || fit >= most {
            break;
        }
        room += r.need;
        let n = ask.spec.need.times_in(&room, most);
        if n > fit {
            fit = n;
            best = Some((i + 1, room, n));
        }
    }
    best
}

/// Places what fits, in the order of the asks; takes the room from the slots.
pub fn plan<'a>(
    slots: &mut [Slot<'a>],
    asks: &mut [Ask<'a>],
    groups: &mut Groups,
    most: usize,
) -> Vec<Claim> {
    let mut claims = Vec::new();
    // Room only becomes less while planning: what is full now is not looked at again.
    let mut live: Vec<usize> = (0..slots.len())
        .filter(|i| slots[*i].free.cores > 0)
        .collect();
    // So what was looked for in vain need not be looked for again.
    let mut vain: Vec<Shape<'a>> = Vec::new();
    // The others' claims only take room here. Beyond some number they are no longer worth following.
    let mut followed = 0;
    for ask in asks {
        live.retain(|i| !slots[*i].kept && slots[*i].free.cores > 0);
        if claims.len() >= most || live.is_empty() {
            break;
        }
        if !ask.mine && followed >= most {
            continue;
        }
        let begun = claims.len();
        let shape = Shape::of(ask);
        if shape.is_none_or(|s| !vain.contains(&s)) {
            let found = place_job(slots, &live, ask, groups, most, &mut claims);
            vain.extend(shape.filter(|_| !found));
        }
        let placed = claims.len() - begun;
        if ask.whole && placed < ask.tasks.len() {
            if placed > 0 {
                vain.clear();
            }
            take_back(slots, ask, &mut claims, begun);
        }
        keep(slots, &live, ask, (ask.tasks.len() - placed) as u64);
        if !ask.mine {
            followed += placed;
            claims.truncate(begun);
        }
    }
    claims
}

/// Gives back the room of a set that could not be placed whole.
fn take_back(slots: &mut [Slot<'_>], ask: &Ask<'_>, claims: &mut Vec<Claim>, begun: usize) {
    for c in claims.drain(begun..) {
        if let Some(s) = slots.iter_mut().find(|s| s.machine == c.machine) {
            s.free += ask.spec.need;
            // Nothing of it was booked before.
            s.there.retain(|j| *j != ask.job);
        }
    }
}

/// What tells whether a machine has room for tasks of a job, where nothing else does.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Shape<'a> {
    need: Amount,
    machine_types: Option<&'a [String]>,
    zone: Option<&'a str>,
    spot: bool,
    price_limit: u64,
    mine: bool,
}

impl<'a> Shape<'a> {
    /// None where more has a say: rules, or the zone of its other tasks.
    fn of(ask: &Ask<'a>) -> Option<Shape<'a>> {
        let spec = ask.spec;
        let shape = Shape {
            need: spec.need,
            machine_types: spec.machine_types.as_deref(),
            zone: spec.zone.as_deref(),
            spot: spec.spot_allowed,
            price_limit: ask.price_limit,
            mine: ask.mine,
        };
        (ask.rules.is_none() && !spec.single_zone).then_some(shape)
    }
}

/// Places tasks of a job; whether any machine has room for one.
fn place_job<'a>(
    slots: &mut [Slot<'a>],
    live: &[usize],
    ask: &mut Ask<'a>,
    groups: &mut Groups,
    most: usize,
    claims: &mut Vec<Claim>,
) -> bool {
    let mut zone = ask
        .zones
        .keys()
        .next()
        .copied()
        .filter(|_| ask.spec.single_zone);
    if ask.spec.single_zone && zone.is_none() {
        zone = roomiest_zone(slots, ask);
    }
    let fits = |s: &Slot<'_>| {
        ask.spec.need.fits(&s.free)
            && ask.suits(s)
            && zone.is_none_or(|z| z == s.zone)
            && (!ask.mine || groups.may(s.group))
            && ask.class_admitted(s)
    };
    // What preferences make of it, then the image's machine, else the fullest that fits. Among machines
    // alike in this, those that this controller answers come first: their tasks' ends then go out with its own claims.
    let rank = |s: &Slot<'_>| {
        let avoided = ask.avoid.contains(&s.machine);
        let far = s.owner != ask.owner;
        let new = !groups.open[s.group];
        let worth = ask.worth(s);
        (
            avoided,
            Reverse(worth),
            !s.has_image(&ask.spec.image),
            far,
            s.free.cores,
            s.free.memory,
            new,
            s.price,
            s.machine,
        )
    };
    // A machine that takes a task has the image then and is fuller, so it stays the first choice
    // until it is full: one ranking serves all tasks of the job.
    let mut best: BinaryHeap<_> = live
        .iter()
        .filter(|i| fits(&slots[**i]))
        .map(|i| Reverse((rank(&slots[*i]), *i)))
        .collect();
    let found = !best.is_empty();
    let mut tasks = ask
        .tasks
        .iter()
        .take(ask.most.min(most as u64) as usize)
        .peekable();
    while tasks.peek().is_some() && claims.len() < most {
        let Some(Reverse((_, at))) = best.pop() else {
            break;
        };
        let slot = &mut slots[at];
        // What is on it now is only looked at once its turn has come: most machines' never does.
        if !ask.admitted(slot) || ask.mine && !groups.take(slot.group) {
            continue;
        }
        let before = claims.len();
        let in_zone = ask.zones.entry(slot.zone).or_default();
        let limit = ask.spec.zone_limit();
        while ask.spec.need.fits(&slot.free) && *in_zone < limit && claims.len() < most {
            let Some(index) = tasks.next() else {
                break;
            };
            slot.free -= ask.spec.need;
            slot.fetches = Some(&ask.spec.image);
            *in_zone += 1;
            claims.push(Claim {
                job: ask.job,
                index: *index,
                machine: slot.machine,
            });
        }
        if claims.len() > before {
            ask.comes_to(slot);
        }
    }
    found
}

/// Keeps the machines nearest to having room for what found none, so that smaller tasks of lower
/// precedence do not nibble at them for ever.
fn keep(slots: &mut [Slot<'_>], live: &[usize], ask: &Ask<'_>, missing: u64) {
    let mut missing = missing.min(ask.most);
    if missing == 0 || ask.modest {
        return;
    }
    let fits = |s: &Slot<'_>| ask.spec.need.fits(&s.all) && ask.takes(s);
    let nearest: Vec<usize> = live.iter().copied().filter(|i| fits(&slots[*i])).collect();
    if !ask.whole && nearest.iter().any(|i| ask.spec.need.fits(&slots[*i].free)) {
        // There is room; it is the round that cannot take more.
        return;
    }
    // A few of many are wanted: they are not sorted.
    let near = |i: usize| (slots[i].free.cores, slots[i].free.memory, Reverse(i), i);
    let mut nearest: BinaryHeap<_> = nearest.into_iter().map(near).collect();
    for _ in 0..slots.len().div_ceil(3) {
        let Some((.., i)) = nearest.pop().filter(|_| missing > 0) else {
            return;
        };
        let slot = &mut slots[i];
        slot.kept = true;
        missing = missing.saturating_sub(ask.spec.need.times_in(&slot.all, missing));
    }
}

fn roomiest_zone<'a>(slots: &[Slot<'a>], ask: &Ask<'_>) -> Option<&'a str> {
    let spec = ask.spec;
    let mut room: BTreeMap<&str, u64> = BTreeMap::new();
    for s in slots
        .iter()
        .filter(|s| spec.allows(s.machine_type, s.zone, s.spot) && ask.admitted(s))
    {
        *room.entry(s.zone).or_default() += spec.need.times_in(&s.free, spec.task_count.into());
    }
    room.into_iter().max_by_key(|(_, n)| *n).map(|(z, _)| z)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};

    /// Jobs whose shape found no room are passed over, and that changes no plan: with price limits that differ, and
    /// forbid nothing, all are looked for.
    #[test]
    fn passing_over_shapes_changes_nothing() {
        let record = |text: String| serde_json::from_str::<JobSpec>(&text).expect("a job");
        for seed in 0..400 {
            let mut rng = StdRng::seed_from_u64(seed);
            let specs: Vec<JobSpec> = (0..30)
                .map(|_| {
                    let set = if rng.random_range(0..6) == 0 { r#""q":true,"# } else { "" };
                    let zone = if rng.random_range(0..5) == 0 { r#""y":"a","# } else { "" };
                    let (n, cores) = (rng.random_range(1..6), rng.random_range(1..5));
                    record(format!(
                        r#"{{"l":"x","w":"t","u":"2","n":{n},{set}{zone}"r":{{"c":{cores}000}},"i":"i","g":1}}"#
                    ))
                })
                .collect();
            let free: Vec<u64> = (0..12).map(|_| rng.random_range(0..6) * 1_000).collect();
            let mine: Vec<bool> = specs.iter().map(|_| rng.random()).collect();
            let planned = |differ: bool| {
                let slot = |(i, free): (usize, &u64)| Slot {
                    machine: MachineId(i as u64),
                    group: i / 3,
                    owner: i % 2,
                    machine_type: "small",
                    zone: if i % 2 == 0 { "a" } else { "b" },
                    spot: false,
                    price: 1,
                    all: Amount {
                        cores: 6_000,
                        accelerators: 0,
                        memory: 0,
                    },
                    free: Amount {
                        cores: *free,
                        accelerators: 0,
                        memory: 0,
                    },
                    kept: false,
                    images: &[],
                    fetches: None,
                    running: Vec::new(),
                    class: 0,
                    guarded: false,
                    there: Vec::new(),
                };
                let mut slots: Vec<Slot<'_>> = free.iter().enumerate().map(slot).collect();
                let mut asks: Vec<Ask<'_>> = specs
                    .iter()
                    .enumerate()
                    .map(|(i, spec)| Ask {
                        job: JobId(i as u64),
                        spec,
                        priority: spec.priority,
                        tasks: (0..spec.task_count).collect(),
                        zones: BTreeMap::new(),
                        most: u64::MAX,
                        price_limit: u64::MAX - if differ { i as u64 } else { 0 },
                        owner: 0,
                        mine: mine[i],
                        preempts: false,
                        guaranteed: false,
                        modest: false,
                        whole: spec.together(),
                        avoid: &[],
                        rules: None,
                    })
                    .collect();
                let mut groups = Groups {
                    open: vec![false; 4],
                    left: 3,
                };
                plan(&mut slots, &mut asks, &mut groups, 20)
            };
            assert_eq!(planned(false), planned(true), "seed {seed}");
        }
    }
}
