//! Where tasks go: a pure plan on a set of machines.

use crate::scheduler::constraints::{
    JobConstraints, MachineContext, PlacementContext, RequiredPreferences,
};
use crate::storage::ids::{JobId, MachineId};
use crate::storage::job::{JobSpec, Priority};
use crate::storage::machine_classes::ClassId;
use crate::storage::records::Assignment;
use crate::storage::resources::Amount;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// A machine that takes bookings.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The machine.
    pub machine: MachineId,
    /// Number of the record that holds it, in [`GroupAllowance`].
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
    pub reserved: bool,
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
    pub has_exclusions: bool,
}

impl Candidate<'_> {
    fn machine_context(&self) -> MachineContext<'_> {
        MachineContext {
            class: self.class,
            images: self.images,
            fetches: self.fetches,
            there: &self.there,
            has_exclusions: self.has_exclusions,
        }
    }

    fn has_image(&self, name: &str) -> bool {
        self.fetches == Some(name) || self.images.iter().any(|(n, _)| **n == *name)
    }
}

/// Records that a round may write: each one more is a change, and of changes there are few.
#[derive(Clone, Debug, Default)]
pub struct GroupAllowance {
    /// Whether the round writes it.
    pub open: Vec<bool>,
    /// How many more it may open.
    pub left: usize,
}

impl GroupAllowance {
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
    pub assignment: Assignment,
    /// What it takes.
    pub need: Amount,
    /// How urgent it is.
    pub priority: Priority,
    /// Its team has booked more than its guarantee.
    pub borrowed: bool,
}

/// Tasks of one job that want a place.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
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
    pub takes_leftovers: bool,
    /// All or nothing.
    pub all_or_nothing: bool,
    /// Machines to leave to others if any other will do.
    pub avoid: &'a [MachineId],
    /// The rules that have a say.
    pub rules: Option<Rules<'a>>,
}

/// The rules that have a say in where tasks of a job go.
#[derive(Clone, Copy, Debug)]
pub struct Rules<'a> {
    /// What they ask about the present.
    pub context: &'a PlacementContext<'a>,
    /// What those that concern the job say; others may concern what is on the machines.
    pub constraints: Option<&'a JobConstraints>,
    /// Preferences that are waited for.
    pub required_preferences: RequiredPreferences,
}

impl PlacementRequest<'_> {
    fn is_feasible(&self, s: &Candidate<'_>) -> bool {
        self.matches_request(s) && self.admitted(s)
    }

    /// Whether the machine is one that it asks for.
    fn matches_request(&self, s: &Candidate<'_>) -> bool {
        s.price <= self.price_limit && self.spec.allows(s.machine_type, s.zone, s.spot)
    }

    /// Whether rules let it on the machine.
    fn admitted(&self, s: &Candidate<'_>) -> bool {
        self.rules.is_none_or(|r| {
            r.context.admits(
                (self.job, self.spec),
                r.constraints,
                r.required_preferences,
                s.machine_context(),
            )
        })
    }

    /// The same, as far as the machine's class tells.
    fn class_admitted(&self, s: &Candidate<'_>) -> bool {
        self.rules
            .and_then(|r| r.constraints.map(|a| (a, r.required_preferences)))
            .is_none_or(|(a, i)| a.may(s.class, i))
    }

    /// How much its preferences make of the machine.
    fn score(&self, s: &Candidate<'_>) -> u32 {
        self.rules.map_or(0, |r| {
            r.context
                .score((self.job, self.spec), r.constraints, s.machine_context())
        })
    }

    /// Notes that tasks of it go to the machine, if rules ask.
    fn add_to(&self, s: &mut Candidate<'_>) {
        if self.rules.is_some_and(|r| r.context.colocated) && !s.there.contains(&self.job) {
            s.there.push(self.job);
            s.has_exclusions |= self
                .rules
                .is_some_and(|r| r.context.excludes_newcomers(self.job));
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
pub struct Preemption {
    /// The machine.
    pub machine: MachineId,
    /// What is stopped.
    pub victims: Vec<Assignment>,
    /// What is booked.
    pub claims: Vec<Claim>,
}

/// Finds room for what `plan` found none for, by stopping what may be stopped: of every machine
/// the latest started first, and of all machines the one where the least is lost. `running`: what
/// could be stopped on a machine.
pub fn preempt(
    candidates: &mut [Candidate<'_>],
    requests: &[PlacementRequest<'_>],
    claims: &[Claim],
    most: usize,
    running: &dyn Fn(MachineId) -> Vec<Running>,
) -> Vec<Preemption> {
    let mut takeovers: Vec<Preemption> = Vec::new();
    let mut looked = false;
    for request in requests.iter().filter(|a| {
        a.mine && a.preempts && !a.all_or_nothing && !a.spec.single_zone && !a.spec.anti_affinity
    }) {
        let placed = claims.iter().filter(|c| c.job == request.job).count() as u64;
        let mut left = (request.tasks.len() as u64)
            .min(request.most)
            .saturating_sub(placed);
        if left > 0 && !std::mem::replace(&mut looked, true) {
            for s in candidates.iter_mut() {
                s.running = running(s.machine);
            }
        }
        let mut next = request.tasks[placed as usize..].iter();
        while left > 0 && takeovers.len() < most {
            let best = candidates
                .iter()
                .enumerate()
                .filter(|(_, s)| request.is_feasible(s) && request.spec.need.fits(&s.all))
                .filter_map(|(i, s)| {
                    let (victims, room, n) = victims(s, request, left)?;
                    let lost: u64 = s.running[s.running.len() - victims..]
                        .iter()
                        .map(|r| r.need.cores)
                        .sum();
                    // Stopping much for little is not worth what is lost.
                    let gained = n * request.spec.need.cores;
                    let no_image = !s.has_image(&request.spec.image);
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
            let candidate = &mut candidates[i];
            candidate.free = room;
            candidate.free -= request.spec.need.times(n);
            request.add_to(candidate);
            let from = candidate.running.len() - count;
            let victims = candidate
                .running
                .drain(from..)
                .map(|r| r.assignment)
                .collect();
            let machine = candidate.machine;
            let claims = next
                .by_ref()
                .take(n as usize)
                .map(|index| Claim {
                    job: request.job,
                    index: *index,
                    machine,
                })
                .collect();
            takeovers.push(Preemption {
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
fn victims(
    candidate: &Candidate<'_>,
    request: &PlacementRequest<'_>,
    most: u64,
) -> Option<(usize, Amount, u64)> {
    let mut room = candidate.free;
    let mut best = None;
    let mut fit = 0;
    for (i, r) in candidate.running.iter().rev().enumerate() {
        let may = r.priority > request.priority || (r.borrowed && request.guaranteed);
        if !may || fit >= most {
            break;
        }
        room += r.need;
        let n = request.spec.need.times_in(&room, most);
        if n > fit {
            fit = n;
            best = Some((i + 1, room, n));
        }
    }
    best
}

/// Places what fits, in the order of the asks; takes the room from the slots.
pub fn plan<'a>(
    candidates: &mut [Candidate<'a>],
    requests: &mut [PlacementRequest<'a>],
    groups: &mut GroupAllowance,
    most: usize,
) -> Vec<Claim> {
    let mut claims = Vec::new();
    // Room only becomes less while planning: what is full now is not looked at again.
    let mut live: Vec<usize> = (0..candidates.len())
        .filter(|i| candidates[*i].free.cores > 0)
        .collect();
    // So what was looked for in vain need not be looked for again.
    let mut vain: Vec<Shape<'a>> = Vec::new();
    // The others' claims only take room here. Beyond some number they are no longer worth following.
    let mut followed = 0;
    for request in requests {
        live.retain(|i| !candidates[*i].reserved && candidates[*i].free.cores > 0);
        if claims.len() >= most || live.is_empty() {
            break;
        }
        if !request.mine && followed >= most {
            continue;
        }
        let begun = claims.len();
        let shape = Shape::of(request);
        if shape.is_none_or(|s| !vain.contains(&s)) {
            let found = place_job(candidates, &live, request, groups, most, &mut claims);
            vain.extend(shape.filter(|_| !found));
        }
        let placed = claims.len() - begun;
        if request.all_or_nothing && placed < request.tasks.len() {
            if placed > 0 {
                vain.clear();
            }
            take_back(candidates, request, &mut claims, begun);
        }
        reserve(
            candidates,
            &live,
            request,
            (request.tasks.len() - placed) as u64,
        );
        if !request.mine {
            followed += placed;
            claims.truncate(begun);
        }
    }
    claims
}

/// Gives back the room of a set that could not be placed whole.
fn take_back(
    candidates: &mut [Candidate<'_>],
    request: &PlacementRequest<'_>,
    claims: &mut Vec<Claim>,
    begun: usize,
) {
    for c in claims.drain(begun..) {
        if let Some(s) = candidates.iter_mut().find(|s| s.machine == c.machine) {
            s.free += request.spec.need;
            // Nothing of it was booked before.
            s.there.retain(|j| *j != request.job);
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
    fn of(request: &PlacementRequest<'a>) -> Option<Shape<'a>> {
        let spec = request.spec;
        let shape = Shape {
            need: spec.need,
            machine_types: spec.machine_types.as_deref(),
            zone: spec.zone.as_deref(),
            spot: spec.spot_allowed,
            price_limit: request.price_limit,
            mine: request.mine,
        };
        (request.rules.is_none() && !spec.single_zone).then_some(shape)
    }
}

/// Places tasks of a job; whether any machine has room for one.
fn place_job<'a>(
    candidates: &mut [Candidate<'a>],
    live: &[usize],
    request: &mut PlacementRequest<'a>,
    groups: &mut GroupAllowance,
    most: usize,
    claims: &mut Vec<Claim>,
) -> bool {
    let mut zone = request
        .zones
        .keys()
        .next()
        .copied()
        .filter(|_| request.spec.single_zone);
    if request.spec.single_zone && zone.is_none() {
        zone = roomiest_zone(candidates, request);
    }
    let fits = |s: &Candidate<'_>| {
        request.spec.need.fits(&s.free)
            && request.matches_request(s)
            && zone.is_none_or(|z| z == s.zone)
            && (!request.mine || groups.may(s.group))
            && request.class_admitted(s)
    };
    // What preferences make of it, then the image's machine, else the fullest that fits. Among machines
    // alike in this, those that this controller answers come first: their tasks' ends then go out with its own claims.
    let rank = |s: &Candidate<'_>| {
        let avoided = request.avoid.contains(&s.machine);
        let far = s.owner != request.owner;
        let new = !groups.open[s.group];
        let score = request.score(s);
        (
            avoided,
            Reverse(score),
            !s.has_image(&request.spec.image),
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
        .filter(|i| fits(&candidates[**i]))
        .map(|i| Reverse((rank(&candidates[*i]), *i)))
        .collect();
    let found = !best.is_empty();
    let mut tasks = request
        .tasks
        .iter()
        .take(request.most.min(most as u64) as usize)
        .peekable();
    while tasks.peek().is_some() && claims.len() < most {
        let Some(Reverse((_, at))) = best.pop() else {
            break;
        };
        let candidate = &mut candidates[at];
        // What is on it now is only looked at once its turn has come: most machines' never does.
        if !request.admitted(candidate) || request.mine && !groups.take(candidate.group) {
            continue;
        }
        let before = claims.len();
        let in_zone = request.zones.entry(candidate.zone).or_default();
        let limit = request.spec.zone_limit();
        while request.spec.need.fits(&candidate.free) && *in_zone < limit && claims.len() < most {
            let Some(index) = tasks.next() else {
                break;
            };
            candidate.free -= request.spec.need;
            candidate.fetches = Some(&request.spec.image);
            *in_zone += 1;
            claims.push(Claim {
                job: request.job,
                index: *index,
                machine: candidate.machine,
            });
        }
        if claims.len() > before {
            request.add_to(candidate);
        }
    }
    found
}

/// Keeps the machines nearest to having room for what found none, so that smaller tasks of lower
/// precedence do not nibble at them for ever.
fn reserve(
    candidates: &mut [Candidate<'_>],
    live: &[usize],
    request: &PlacementRequest<'_>,
    missing: u64,
) {
    let mut missing = missing.min(request.most);
    if missing == 0 || request.takes_leftovers {
        return;
    }
    let fits = |s: &Candidate<'_>| request.spec.need.fits(&s.all) && request.is_feasible(s);
    let nearest: Vec<usize> = live
        .iter()
        .copied()
        .filter(|i| fits(&candidates[*i]))
        .collect();
    if !request.all_or_nothing
        && nearest
            .iter()
            .any(|i| request.spec.need.fits(&candidates[*i].free))
    {
        // There is room; it is the round that cannot take more.
        return;
    }
    // A few of many are wanted: they are not sorted.
    let near = |i: usize| {
        (
            candidates[i].free.cores,
            candidates[i].free.memory,
            Reverse(i),
            i,
        )
    };
    let mut nearest: BinaryHeap<_> = nearest.into_iter().map(near).collect();
    for _ in 0..candidates.len().div_ceil(3) {
        let Some((.., i)) = nearest.pop().filter(|_| missing > 0) else {
            return;
        };
        let candidate = &mut candidates[i];
        candidate.reserved = true;
        missing = missing.saturating_sub(request.spec.need.times_in(&candidate.all, missing));
    }
}

fn roomiest_zone<'a>(
    candidates: &[Candidate<'a>],
    request: &PlacementRequest<'_>,
) -> Option<&'a str> {
    let spec = request.spec;
    let mut room: BTreeMap<&str, u64> = BTreeMap::new();
    for s in candidates
        .iter()
        .filter(|s| spec.allows(s.machine_type, s.zone, s.spot) && request.admitted(s))
    {
        *room.entry(s.zone).or_default() += spec.need.times_in(&s.free, spec.task_count.into());
    }
    room.into_iter().max_by_key(|(_, n)| *n).map(|(z, _)| z)
}

#[cfg(test)]
mod tests;
