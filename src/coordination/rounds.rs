//! Rounds: what was proven and what was planned goes into one transaction at a time, on the
//! revisions of the records that it changes.

use super::draft::shrink::too_large;
use super::draft::{Commit, Draft, Limits};
use super::rules::jobs_there;
use super::sessions::{Mark, Outcome};
use super::{Controller, Purpose};
use crate::bookkeeping::admission::House;
use crate::bookkeeping::amount::Amount;
use crate::bookkeeping::fleet::{core_price, price_limit};
use crate::bookkeeping::ids::{Attempt, JobId, MachineId, Slice, TaskId};
use crate::bookkeeping::job::{FinalRecord, JobSpec, Urgency};
use crate::bookkeeping::pipeline::expected_run;
use crate::bookkeeping::placement::{Ask, Claim, Groups, Running, Slot, plan, preempt};
use crate::bookkeeping::records::{Fitness, GroupRecord, Key, MachineRecord};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::{Change, Job, Touched, View};
use crate::protocol::settings::ObjectiveKind;
use crate::protocol::state::{CallError, StateReply, StateRequest};
use std::cmp::Reverse;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A round that waits for its answer.
#[derive(Debug)]
pub struct InFlight {
    changes: Vec<Change>,
    ended: Vec<(JobId, FinalRecord)>,
    booked: Vec<(Claim, u64)>,
    cleared: usize,
}

/// A round that is ready to be sent.
struct Drafted {
    commit: Commit,
    booked: Vec<(Claim, u64)>,
    cleared: usize,
}

/// What comes first: what is not suspect, then work within its team's guarantee, then the urgent, then
/// what must start soonest, then the oldest.
type Precedence = (bool, bool, Urgency, Micros, Micros);

/// A job that is suspected to fail wherever it runs.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// How often its tasks had failed when it was last looked at, and when that was.
    errors: u32,
    at: Micros,
    /// How often it was tried in vain since the suspicion was formed.
    tries: u32,
}

/// What waits to be committed.
#[derive(Debug, Default)]
pub struct Rounds {
    looking: bool,
    in_flight: bool,
    /// The call after which a read was asked for before a round, and when that was.
    reading: Option<(u64, Micros)>,
    next: Micros,
    /// When the last round was sent, and when the last one that had no room for all there was.
    last: Micros,
    last_full: Option<Micros>,
    /// Bookings to be cleared, with since when.
    clears: BTreeMap<(MachineId, Attempt), (Outcome, Micros)>,
    marks: BTreeMap<MachineId, Mark>,
    adds: BTreeSet<MachineId>,
    /// Machines that are proven gone, by this process as the fleet's owner.
    gone: BTreeSet<MachineId>,
    /// Machines that the fleet wants to return.
    releasing: BTreeSet<MachineId>,
    /// The last round was for what must start at once alone.
    lean: bool,
    /// The last full round had no room left to book anything, so the next one books before it clears.
    books_first: bool,
    /// No planning before the copy has passed this revision.
    hold_epoch: u64,
    /// No planning before a read that began after this call.
    hold_call: Option<u64>,
    suspects: BTreeMap<JobId, Suspicion>,
    /// Own records that were written under larger limits than those to come, and are to be brought down.
    large: BTreeSet<Key>,
    /// The last round brought one of them down.
    shrank: bool,
}

impl Rounds {
    /// Something changed that may call for a round.
    pub fn look(&mut self) {
        self.looking = true;
    }

    /// Wants a booking cleared; false if that was wanted already. The first outcome stands: silence
    /// proves less than the end that was seen before it.
    pub fn clear(&mut self, m: MachineId, a: Attempt, outcome: Outcome, now: Micros) -> bool {
        self.looking = true;
        match self.clears.entry((m, a)) {
            Entry::Occupied(_) => false,
            Entry::Vacant(e) => {
                e.insert((outcome, now));
                true
            }
        }
    }

    /// Whether a booking is to be cleared; its attempt must not be launched again.
    pub fn clearing(&self, m: MachineId, a: Attempt) -> bool {
        self.clears.contains_key(&(m, a))
    }

    /// Whether more waits than rounds have had room for lately.
    pub fn pressed(&self, now: Micros) -> bool {
        self.last_full.is_some_and(|t| now.since(t) < Micros::secs(3))
    }

    /// How many bookings wait to be cleared.
    pub fn waiting(&self) -> usize {
        self.clears.len()
    }

    /// Bookings to be cleared. A round has room for few records: first come those for which most waits,
    /// each end counting by how long it has waited, so none is left out for ever.
    fn clears_in_order(&self, view: &View, now: Micros) -> Vec<(MachineId, Attempt, Outcome)> {
        const HEAD_START: Micros = Micros::millis(500);
        let mut weights: HashMap<_, u64> = HashMap::new();
        for ((m, _), (_, since)) in &self.clears {
            *weights.entry(view.home(*m)).or_default() += (now.since(*since) + HEAD_START).0;
        }
        let weight = |m: MachineId| weights.get(&view.home(m)).copied().unwrap_or(0);
        let mut all: Vec<_> =
            self.clears.iter().map(|((m, a), (o, since))| (Reverse(weight(*m)), *since, *m, *a, *o)).collect();
        all.sort_unstable_by_key(|(weight, since, m, a, _)| (*weight, *since, *m, *a));
        all.into_iter().map(|(_, _, m, a, o)| (m, a, o)).collect()
    }

    /// Wants a machine's record changed; false if that was wanted already.
    pub fn mark(&mut self, m: MachineId, mark: Mark) -> bool {
        self.looking = true;
        self.marks.insert(m, mark) != Some(mark)
    }

    /// Wants a machine added to its group.
    pub fn add(&mut self, m: MachineId) {
        self.looking = true;
        self.adds.insert(m);
    }

    /// A machine is proven gone.
    pub fn gone(&mut self, m: MachineId) {
        self.looking = true;
        self.gone.insert(m);
    }

    /// Wants a machine marked before it is returned; false if that was wanted already.
    pub fn releasing(&mut self, m: MachineId) -> bool {
        self.looking = true;
        self.releasing.insert(m)
    }

    /// Drops what the owner of these machines wanted: it is not this process any more.
    pub fn drop_machines(&mut self, lost: impl Fn(MachineId) -> bool) {
        self.clears.retain(|(m, _), _| !lost(*m));
        self.marks.retain(|m, _| !lost(*m));
        self.adds.retain(|m| !lost(*m));
    }

    /// Drops what the fleet's owner wanted.
    pub fn drop_fleet(&mut self) {
        self.gone.clear();
        self.releasing.clear();
    }

    /// A job is suspect, and its tasks have failed this often; whether that is new.
    pub fn suspect(&mut self, job: JobId, errors: u32, now: Micros) -> bool {
        match self.suspects.entry(job) {
            Entry::Vacant(e) => {
                e.insert(Suspicion { errors, at: now, tries: 0 });
                true
            }
            Entry::Occupied(mut e) => {
                let s = e.get_mut();
                if s.errors < errors {
                    // Tasks that were started together fail together: that is one try.
                    let again = now.since(s.at) > Self::pause(s.tries);
                    *s = Suspicion { errors, at: now, tries: s.tries + u32::from(again) };
                }
                false
            }
        }
    }

    /// A job has ended, or something of it was completed; whether it was suspect.
    pub fn clear_suspect(&mut self, job: JobId) -> bool {
        self.suspects.remove(&job).is_some()
    }

    /// Whether a job is suspect.
    pub fn is_suspect(&self, job: JobId) -> bool {
        self.suspects.contains_key(&job)
    }

    /// Whether some job waits for a pause to end.
    pub fn pausing(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// How long a suspect job waits for its next try.
    fn pause(tries: u32) -> Micros {
        Micros::secs(2 << tries.min(5))
    }

    /// A read has brought the copy forward.
    pub fn on_read(&mut self, epoch: u64, read: u64) {
        if self.hold_epoch <= epoch {
            self.hold_epoch = 0;
        }
        if self.hold_call.is_some_and(|c| read > c) {
            self.hold_call = None;
        }
    }

    fn held(&self) -> bool {
        self.hold_epoch > 0 || self.hold_call.is_some()
    }
}

impl Controller {
    /// How long small rounds are gathered for while a peer has more to write than its share.
    const GATHER: Micros = Micros::millis(800);
    /// Most claims of one round.
    const CLAIMS: usize = 256;
    /// Most machines on which one round stops tasks for others.
    const TAKEOVERS: usize = 4;

    pub(super) fn pump_rounds(&mut self) {
        let now = self.now.steady;
        if !self.rounds.looking || self.rounds.in_flight || self.rounds.held() || !self.reader.ready() {
            return;
        }
        if now < self.rounds.next {
            self.wake_at(self.rounds.next);
            return;
        }
        if self.view.types.value.is_none() || self.view.slices() == 0 {
            return;
        }
        let patient = self.rounds.last + Self::GATHER;
        if now < patient && self.yields() {
            self.wake_at(patient);
            return;
        }
        if !self.read_before_round() {
            return;
        }
        self.refresh_bars();
        // A large round of what has time must not hold up what must start at once: that may overdraw.
        let lean_only = match self.budget.round(now) {
            Ok(()) => false,
            Err(_) if !self.rounds.lean && self.budget.overdraw(now).is_ok() && self.urgent_waits() => true,
            Err(at) => {
                self.wake_at(at);
                return;
            }
        };
        let ops = self.limits.txn_ops();
        let limits = Limits {
            ops,
            conditions: ops * 4,
            value_bytes: self.limits.value_bytes(),
            taken_bytes: self.limits.taken_bytes(),
            large_grow: !self.view.terse(),
            part_bytes: self.part_bytes(),
        };
        self.rounds.next = now + Micros::millis(self.op.round_ms);
        let Some(Drafted { commit, booked, cleared }) = self.draft_round(limits, lean_only) else {
            self.rounds.looking = lean_only;
            return;
        };
        self.budget.force(now, commit.txn.then.len());
        self.rounds.last = now;
        // The end of a job takes two more changes, so a full round of many may be a little short.
        if commit.txn.then.len() + (ops / 6).min(2) >= ops {
            self.rounds.last_full = Some(now);
        }
        self.rounds.in_flight = true;
        let in_flight = InFlight { changes: commit.changes, ended: commit.ended, booked, cleared };
        self.ask_state(Purpose::Round(Box::new(in_flight)), StateRequest::Txn(commit.txn));
    }

    /// Whether the copy is new enough for a round, or a read has made it so. The watch rests for a while after each
    /// answer; what is planned in that time on what others have changed meanwhile would only clash.
    fn read_before_round(&mut self) -> bool {
        const PATIENCE: Micros = Micros::millis(100);
        let now = self.now.steady;
        if let Some((call, asked)) = self.rounds.reading {
            if !self.reader.passed(call) && now < asked + PATIENCE {
                self.wake_at(asked + PATIENCE);
                return false;
            }
            self.rounds.reading = None;
            return true;
        }
        if self.reader.is_fresh(now) || self.cfg.others.is_empty() || !self.budget.has_requests(now) {
            return true;
        }
        self.rounds.reading = Some((self.next_call - 1, now));
        self.reader.want_barrier();
        self.wake_at(now + PATIENCE);
        false
    }

    /// Whether small rounds should be gathered into larger ones: a peer has more to write than its share
    /// of the rate, this controller has not, and nothing here must start at once.
    fn yields(&self) -> bool {
        let now = self.now.steady;
        let fresh = |told: Micros| now.since(told) < Micros::secs(3);
        !self.rounds.pressed(now)
            && self.peers.values().any(|(told, hint)| hint.pressed && fresh(*told))
            && !self.urgent_waits()
    }

    /// Whether something waits that must start at once.
    fn urgent_waits(&self) -> bool {
        self.view.jobs.iter().any(|(id, j)| self.urgent(*id, j) && self.view.pending_count(*id, j) > 0)
    }

    /// Whether a job is this controller's, and must start at once.
    fn urgent(&self, id: JobId, job: &Job) -> bool {
        self.starts_at_once(job.spec())
            && job.ready()
            && self.owns(self.view.job_slice(id, job.spec()))
            && !self.rounds.is_suspect(id)
            && !self.unplaced_job(job)
            && !self.rules.bars(id)
    }

    /// How large a group should become. Every change of it is sent whole to every controller, so at
    /// the full rate of changes it must be read with a small part of the processor share; within
    /// that, the larger it is the more changes go out with one write.
    fn part_bytes(&self) -> usize {
        /// Bytes of records that a whole core takes in a second, and the part of it to spend.
        const READ_RATE: f64 = 100e6 * 0.05;
        let affordable = self.cfg.core_share * READ_RATE / self.limits.write_rps();
        let most = self.limits.value_bytes();
        (affordable as usize).max(4_096).min(most - most / 16)
    }

    /// Bytes that a machine's record takes when the machine is full of the smallest tasks there are.
    fn full_bytes(&self, build: &str) -> usize {
        let room = self.view.machine_type(build).map(|t| t.room).unwrap_or_default();
        let tasks = self.view.jobs.values().map(|j| j.spec().need.times_in(&room, 1_000)).max();
        GroupRecord::usual_bytes(tasks.unwrap_or(0).max(1), self.view.terse())
    }

    fn draft_round(&mut self, limits: Limits, lean_only: bool) -> Option<Drafted> {
        // What the copy shows as carried out already is not wanted any more.
        let view = &self.view;
        let has =
            |m: MachineId, a: &Attempt| view.place(a.task).is_some_and(|p| p.machine == m && p.number == a.number);
        self.rounds.clears.retain(|(m, a), _| has(*m, a));
        self.rounds.marks.retain(|m, mark| {
            view.machine(*m)
                .is_some_and(|r| r.fitness != Fitness::Releasing && (r.fitness, r.dead) != (mark.fitness, mark.dead))
        });
        self.rounds.adds.retain(|m| view.machine(*m).is_none());
        self.rounds.gone.retain(|m| view.machine(*m).is_some());
        self.rounds.releasing.retain(|m| {
            view.machine(*m)
                .is_some_and(|r| r.fitness == Fitness::Lost || r.fitness != Fitness::Releasing && r.tasks.is_empty())
        });

        // Every other round at most: what is urgent may never cease to come.
        if !std::mem::take(&mut self.rounds.lean)
            && let Some(drafted) = self.lean_round(limits)
        {
            self.rounds.lean = true;
            return Some(drafted);
        }
        if lean_only {
            return None;
        }
        // Every other round, too: nothing is booked on what is too large, but elsewhere work goes on.
        if !std::mem::take(&mut self.rounds.shrank)
            && let Some(drafted) = self.shrink_round(limits)
        {
            self.rounds.shrank = true;
            return Some(drafted);
        }
        let view = &self.view;
        let mut draft = Draft::new(view, limits);
        let mut cleared = 0;
        for m in &self.rounds.gone {
            let Some(r) = view.machine(*m) else { continue };
            let mut all = true;
            for b in &r.tasks {
                all &= draft.clear(*m, b.attempt(), Outcome::Again, 0);
                cleared += 1;
            }
            if all {
                draft.remove(*m);
            }
        }
        // Where a transaction holds few changes, clearings would leave nothing to bookings for as long as tasks end,
        // and the other way round: they take turns.
        let books_first = std::mem::take(&mut self.rounds.books_first);
        let mut booked = if books_first { self.book(&mut draft, false) } else { Vec::new() };
        for (m, a, outcome) in self.rounds.clears_in_order(view, self.now.steady) {
            if draft.clear(m, a, outcome, view.machine_slice(m)) {
                cleared += 1;
            }
        }
        let full = draft.ops_left() == 0;
        for (m, mark) in &self.rounds.marks {
            draft.mark(*m, *mark, view.machine_slice(*m));
        }
        if !self.rounds.adds.is_empty() {
            let full = self.full_sizes();
            for m in &self.rounds.adds {
                if let Some(s) = self.sessions.get(m) {
                    let full = |build: &str| full.get(build).copied().unwrap_or(0);
                    draft.add(view.machine_slice(*m), *m, s.record(), &full);
                }
            }
        }
        for m in &self.rounds.releasing {
            let mark = Mark { fitness: Fitness::Releasing, dead: 0 };
            draft.mark(*m, mark, 0);
        }
        let ended: Vec<JobId> = view
            .jobs
            .iter()
            .filter(|(id, j)| {
                let over = j.cancelled() || j.done() >= j.spec().pieces;
                over && view.booked(**id).is_none() && self.owns(view.job_slice(**id, j.spec()))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            if view.jobs.get(&id).is_some_and(Job::cancelled) {
                draft.end_cancelled(id);
            } else {
                draft.end_done(id);
            }
        }
        for (id, _) in view
            .jobs
            .iter()
            .filter(|(_, j)| !j.record.finished.covers(&j.ends) && self.unplaced_job(j))
            .filter(|(id, j)| self.owns(view.job_slice(**id, j.spec())))
        {
            draft.settle(*id);
        }
        if !books_first {
            booked = self.book(&mut draft, false);
        }
        let drafted = (!draft.is_empty()).then(|| Drafted { commit: draft.commit(), booked, cleared });
        self.rounds.books_first = full && drafted.as_ref().is_some_and(|d| d.booked.is_empty());
        drafted
    }

    /// Bytes that machines take when they are full, by type.
    fn full_sizes(&self) -> BTreeMap<String, usize> {
        let types = self.view.types.value.iter().flat_map(|c| &c.types);
        types.map(|t| (t.name.clone(), self.full_bytes(&t.name))).collect()
    }

    /// Looks for own records that are larger than they will be allowed to be. Once all controllers have
    /// this version none is written any more, so that is done when that is so, and after takeovers.
    pub(super) fn find_large(&mut self) {
        if !self.view.terse() {
            return;
        }
        let most = self.limits.value_bytes();
        for k in 0..self.view.own.len() {
            if !self.owns(k) {
                continue;
            }
            let groups = self.view.groups[k].keys().map(|n| Key::Group(k, *n));
            let large = groups.chain([Key::Usage(k)]).filter(|key| too_large(&self.view, key, most));
            self.rounds.large.extend(large);
        }
        if !self.rounds.large.is_empty() {
            tracing::info!(records = ?self.rounds.large, most, "records to be brought down to the size to come");
            self.rounds.look();
        }
    }

    /// A step that brings down a record that is too large, the largest kind first.
    fn shrink_round(&mut self, limits: Limits) -> Option<Drafted> {
        let view = &self.view;
        let owned = |key: &Key| matches!(key, Key::Group(k, _) | Key::Usage(k) if self.ownership.tenure(*k).is_some());
        self.rounds.large.retain(|key| owned(key) && too_large(view, key, limits.value_bytes));
        if self.rounds.large.is_empty() {
            return None;
        }
        let full = self.full_sizes();
        let full = |build: &str| full.get(build).copied().unwrap_or(0);
        let me = self.me();
        for key in &self.rounds.large {
            let mut draft = Draft::new(&self.view, limits);
            if draft.shrink(key, &me, &full) {
                tracing::info!(record = %key, "bringing down to the size to come");
                return Some(Drafted { commit: draft.commit(), booked: Vec::new(), cleared: 0 });
            }
        }
        None
    }

    /// A round for what must start at once, and for the ends that go along with its records. The
    /// fewer records a round writes the less it clashes, and the sooner there may be another. None
    /// if there is nothing of the kind, or if it needs the room that ends give back.
    fn lean_round(&self, limits: Limits) -> Option<Drafted> {
        let urgent = self.view.jobs.iter().filter(|(id, j)| self.urgent(**id, j));
        let waiting: u32 = urgent.map(|(id, j)| self.view.pending_count(*id, j)).sum();
        if waiting == 0 {
            return None;
        }
        let mut draft = Draft::new(&self.view, limits);
        let booked = self.book(&mut draft, true);
        if booked.len() < waiting as usize {
            return None;
        }
        let mut cleared = 0;
        for (m, a, outcome) in self.rounds.clears_in_order(&self.view, self.now.steady) {
            if draft.covers(m, a) && draft.clear(m, a, outcome, self.view.machine_slice(m)) {
                cleared += 1;
            }
        }
        Some(Drafted { commit: draft.commit(), booked, cleared })
    }

    /// Plans on the copy as the draft would leave it, and books what the draft can take; of the own
    /// jobs, if `at_once`, only those that must start at once.
    fn book(&self, draft: &mut Draft<'_>, at_once: bool) -> Vec<(Claim, u64)> {
        let jobs = self.jobs_in_order();
        if !jobs.iter().any(|(id, j)| self.owns(self.view.job_slice(*id, j.spec()))) {
            return Vec::new();
        }
        let house = self.rules.active().then(|| self.house());
        let mut asks = self.asks(jobs, draft, house.as_ref());
        if at_once {
            asks.iter_mut().for_each(|a| a.mine &= self.starts_at_once(a.spec));
        }
        let owners = self.owner_numbers();
        let mut groups = Groups::default();
        let mut numbers = BTreeMap::new();
        // By copy: the draft's machines borrow from the draft, which the bookings then change.
        let machines: Vec<(Slice, usize, MachineId, Amount)> = draft
            .machines()
            .filter(|(_, _, r)| r.fitness == Fitness::Up)
            .map(|(at, m, r)| {
                let group = *numbers.entry(at).or_insert_with(|| {
                    groups.open.push(draft.writes_group(at));
                    groups.open.len() - 1
                });
                (at.0, group, m, self.view.free(r))
            })
            .collect();
        let mut slices: Vec<Slice> = asks.iter().filter(|a| a.mine).map(|a| a.owner).collect();
        slices.sort_unstable();
        slices.dedup();
        let usages = slices.iter().filter(|k| !draft.writes_usage(**k)).count();
        groups.left = draft.ops_left().saturating_sub(usages);
        for a in &mut asks {
            a.owner = owners[a.owner];
        }
        let mut slots: Vec<Slot<'_>> = machines
            .into_iter()
            .filter_map(|(k, group, machine, free)| {
                // A machine that the draft adds is planned on in the next round.
                let r = self.view.machine(machine)?;
                let t = self.view.machine_type(&r.build)?;
                let there = match house {
                    Some(h) if h.beside => draft.machine(machine).map_or(Vec::new(), |r| jobs_there(&r.tasks)),
                    _ => Vec::new(),
                };
                Some(Slot {
                    machine,
                    group,
                    owner: owners[k],
                    build: &r.build,
                    yard: &r.yard,
                    spot: r.spot,
                    price: core_price(t, r.spot),
                    all: t.room,
                    free,
                    kept: false,
                    images: &r.images,
                    fetches: None,
                    running: Vec::new(),
                    class: house.and_then(|_| self.view.classes.of(machine)).unwrap_or_default(),
                    guarded: house.is_some_and(|h| there.iter().any(|j| h.guards(*j))),
                    there,
                })
            })
            .collect();
        let claims = plan(&mut slots, &mut asks, &mut groups, Self::CLAIMS);
        let number = self.view.latest;
        let attempt = |c: &Claim| Attempt { task: TaskId { job: c.job, index: c.index }, number };
        let mut booked = Vec::new();
        if asks.iter().any(|a| a.mine && a.preempts) {
            let running = |m| self.view.machine(m).map_or(Vec::new(), |r| self.running(r, draft.machine(m)));
            for t in preempt(&mut slots, &asks, &claims, Self::TAKEOVERS, &running) {
                let tasks: Vec<Attempt> = t.claims.iter().map(attempt).collect();
                if draft.book_over(t.machine, &t.victims, &tasks) {
                    for v in &t.victims {
                        tracing::info!(task = %v.attempt(), machine = %t.machine, by = %t.claims[0].job, "preempting");
                    }
                    booked.extend(t.claims.iter().map(|c| (*c, number)));
                }
            }
        }
        let whole: BTreeSet<JobId> = asks.iter().filter(|a| a.whole).map(|a| a.job).collect();
        for of_job in claims.chunk_by(|a, b| a.job == b.job) {
            let set: Vec<(MachineId, Attempt)> = of_job.iter().map(|c| (c.machine, attempt(c))).collect();
            if whole.contains(&of_job[0].job) {
                if draft.book_all(&set) {
                    booked.extend(of_job.iter().map(|c| (*c, number)));
                }
                continue;
            }
            for (c, (m, a)) in of_job.iter().zip(set) {
                if draft.book(m, a) {
                    booked.push((*c, number));
                }
            }
        }
        booked
    }

    /// A number for each slice that is the same for slices of one owner.
    fn owner_numbers(&self) -> Vec<usize> {
        let owner = |k: Slice| self.view.own[k].value.as_ref().map(|o| &o.node);
        (0..self.view.own.len())
            .map(|k| (0..k).find(|j| owner(*j).is_some() && owner(*j) == owner(k)).unwrap_or(k))
            .collect()
    }

    /// What the jobs ask for, as far as their teams' limits let them.
    fn asks<'a>(
        &'a self,
        jobs: Vec<(JobId, &'a Job)>,
        draft: &Draft<'_>,
        house: Option<&'a House<'a>>,
    ) -> Vec<Ask<'a>> {
        let mut asks: Vec<Ask<'a>> = Vec::new();
        let mut wanted = 0;
        let mut left: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let up = self.view.machines().filter(|(_, _, r)| r.fitness == Fitness::Up);
        let kinds: BTreeSet<(&str, &str, bool)> = up.map(|(_, _, r)| (&*r.build, &*r.yard, r.spot)).collect();
        for (id, job) in jobs {
            if wanted >= Self::CLAIMS {
                break;
            }
            let spec = job.spec();
            let k = self.view.job_slice(id, spec);
            let mine = self.owns(k);
            let team = self.cfg.team(&spec.crew);
            let used = *left.entry(&spec.crew).or_insert_with(|| draft.used(k, &spec.crew));
            let limit = |most: Option<u64>, used: u64, need: u64| match most {
                Some(most) if need > 0 => most.saturating_sub(used) / need,
                _ => u64::MAX,
            };
            let most = limit(team.and_then(|t| t.cores_limit), used.0, spec.need.cores).min(limit(
                team.and_then(|t| t.accelerators_limit),
                used.1,
                spec.need.accelerators,
            ));
            if most == 0 {
                continue;
            }
            let none_booked = self.view.booked(id).is_none();
            if spec.gang && !none_booked && !self.in_parts(id) {
                // What is left of a gang that lost a task ends by itself; then all are placed anew.
                continue;
            }
            let fits = (spec.pieces as usize) <= Self::CLAIMS && !self.needs_parts(id, spec);
            let whole = spec.together() && none_booked && fits;
            let suspect = self.rounds.is_suspect(id);
            if suspect && !spec.standing && !none_booked {
                continue;
            }
            let cap = match (suspect && !spec.together(), whole) {
                (true, _) => 1,
                (_, true) => (Self::CLAIMS - wanted).max(spec.pieces as usize),
                _ => Self::CLAIMS - wanted,
            };
            let tasks: Vec<u32> = self.view.pending(id, job).take(cap).collect();
            if mine {
                wanted += tasks.len();
            }
            let n = (tasks.len() as u64).min(most);
            if let Some(u) = left.get_mut(spec.crew.as_str()) {
                u.0 += n * spec.need.cores;
                u.1 += n * spec.need.accelerators;
            }
            asks.push(Ask {
                job: id,
                spec,
                urgency: job.urgency(),
                tasks,
                zones: if spec.one_zone || spec.apart { self.zones_of(id) } else { BTreeMap::new() },
                most,
                price_limit: if suspect { self.fair_price(spec) } else { self.price_limit_among(id, job, &kinds) },
                owner: k,
                mine,
                preempts: self.preempts(job) && !suspect,
                modest: suspect,
                guaranteed: team.is_some_and(|t| t.has_share()) && !self.borrows(job, k),
                whole,
                avoid: &job.record.avoid,
                rules: self.rules_for(id, job, house),
            });
        }
        asks
    }

    /// Groups that one transaction can write beside a usage record.
    fn groups_of_a_round(&self) -> usize {
        self.limits.txn_ops() - 1
    }

    /// Whether there is room for all tasks of a set, but not on as many groups as one transaction can
    /// write. Then it is booked in parts, round after round: a gang's tasks wait for each other.
    fn needs_parts(&self, id: JobId, spec: &JobSpec) -> bool {
        if !spec.together() {
            return false;
        }
        let mut room: BTreeMap<_, u64> = BTreeMap::new();
        for (_, m, r) in self.view.machines() {
            if r.fitness == Fitness::Up && spec.allows(&r.build, &r.yard, r.spot) && self.may_use(id, m) {
                *room.entry(self.view.home(m)).or_default() +=
                    spec.need.times_in(&self.view.free(r), spec.pieces.into());
            }
        }
        let mut room: Vec<u64> = room.into_values().collect();
        room.sort_unstable_by_key(|n| Reverse(*n));
        let most: u64 = room.iter().take(self.groups_of_a_round()).sum();
        most < spec.pieces.into() && room.iter().sum::<u64>() >= spec.pieces.into()
    }

    /// Whether a set is booked on as many groups as one transaction can write: then it may be one that is
    /// booked in parts.
    fn in_parts(&self, id: JobId) -> bool {
        let places = self.view.booked(id).into_iter().flat_map(|b| b.values());
        let groups: BTreeSet<_> = places.filter_map(|p| self.view.home(p.machine)).collect();
        groups.len() >= self.groups_of_a_round()
    }

    /// Tasks on a machine that may have to make room, the latest started last.
    fn running(&self, r: &MachineRecord, drafted: Option<&MachineRecord>) -> Vec<Running> {
        let mut running: Vec<Running> = r
            .tasks
            .iter()
            .filter(|b| !r.preempted.contains(b) && drafted.is_some_and(|d| d.tasks.contains(b)))
            .filter_map(|b| {
                let id = b.attempt().task.job;
                let job = self.view.jobs.get(&id)?;
                let k = self.view.job_slice(id, job.spec());
                let team = self.cfg.team(&job.spec().crew);
                let borrowed = team.is_some_and(|t| {
                    let used = self.view.used(k, &job.spec().crew);
                    used.0 > t.guarantee.0 + job.spec().need.cores
                });
                Some(Running { booking: *b, need: job.spec().need, urgency: job.urgency(), borrowed })
            })
            .collect();
        // The more urgent are never reached; of the rest the latest have the least to lose.
        running.sort_by_key(|r| (r.urgency, r.booking.2));
        running
    }

    /// Whether a job may stop others: its class must start at once, or it is about to be late.
    fn preempts(&self, job: &Job) -> bool {
        let now = self.now.day;
        let latest = self.latest_start(job);
        self.starts_at_once(job.spec()) || latest < now + Micros::secs(5) && now < latest + job.spec().guess
    }

    /// Whether one more task of the job is beyond its team's guarantee.
    fn borrows(&self, job: &Job, k: Slice) -> bool {
        let spec = job.spec();
        self.cfg.team(&spec.crew).is_some_and(|t| {
            let used = self.view.used(k, &spec.crew);
            // A team without a guarantee is always beyond it.
            used.0 + spec.need.cores > t.guarantee.0
                || spec.need.accelerators > 0 && used.1 + spec.need.accelerators > t.guarantee.1
        })
    }

    fn zones_of(&self, id: JobId) -> BTreeMap<&str, u32> {
        let mut zones = BTreeMap::new();
        for p in self.view.booked(id).into_iter().flat_map(|b| b.values()) {
            if let Some(r) = self.view.machine(p.machine) {
                *zones.entry(&*r.yard).or_default() += 1;
            }
        }
        zones
    }

    /// Whether a job's team has no slice yet, see [`Controller::unplaced`].
    pub(super) fn unplaced_job(&self, job: &Job) -> bool {
        self.cfg.team(&job.spec().crew).is_some_and(|t| self.unplaced(t))
    }

    /// All jobs with tasks to place, the most pressing first.
    fn jobs_in_order(&self) -> Vec<(JobId, &Job)> {
        let mut jobs: Vec<(Precedence, JobId, &Job)> = Vec::new();
        for (id, job) in &self.view.jobs {
            let none = !job.ready() || self.view.pending_count(*id, job) == 0;
            if none || self.backing_off(*id) || self.unplaced_job(job) || self.rules.bars(*id) {
                continue;
            }
            let spec = job.spec();
            let borrows = self.borrows(job, self.view.job_slice(*id, spec));
            let suspect = self.rounds.is_suspect(*id);
            let key = (suspect, borrows, job.urgency(), self.latest_start(job), job.record.submitted);
            jobs.push((key, *id, job));
        }
        jobs.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        jobs.into_iter().map(|(_, id, j)| (id, j)).collect()
    }

    /// The time of day by which a job's tasks should start to end as they should: an estimate is
    /// often wrong, of many tasks some run longer, and the image may have to be fetched.
    pub(super) fn latest_start(&self, job: &Job) -> Micros {
        let spec = job.spec();
        // Deadlines count from the submission, everything else from when the job could begin.
        let ready = job.record.submitted.max(job.stage.ready_at);
        let due = spec.due.map_or_else(|| ready + self.finish_aim(spec), |d| job.record.submitted + d);
        let due = job.stage.wanted_by.map_or(due, |by| by.min(due));
        let types = self.view.types.value.iter().flat_map(|c| &c.types);
        let fetch = types.filter(|t| spec.need.fits(&t.room)).map(|t| t.fetch_time(spec.size)).min();
        let start = due - (expected_run(spec) + fetch.unwrap_or_default());
        let aim = self.start_aim(spec).filter(|aim| *aim >= self.shortest_boot());
        aim.map_or(start, |aim| start.min(ready + aim))
    }

    /// Most that a core may cost for a job: what is dear is for those that would be late, or have
    /// to start at once.
    pub(super) fn price_limit(&self, job: &Job) -> u64 {
        let spec = job.spec();
        let margin = Micros::secs(10) + Micros(spec.guess.0 / 4);

        if self.starts_at_once(spec) || self.latest_start(job) < self.now.day + margin {
            u64::MAX
        } else {
            self.fair_price(spec)
        }
    }

    /// The same for placing: where nothing but what is dear is up, waiting for better would leave
    /// it idle, and paid for.
    fn price_limit_among(&self, id: JobId, job: &Job, kinds: &BTreeSet<(&str, &str, bool)>) -> u64 {
        let spec = job.spec();
        let limit = self.price_limit(job);
        let cheap = |(build, yard, spot): &(&str, &str, bool)| {
            self.view.machine_type(build).is_some_and(|t| {
                spec.need.fits(&t.room)
                    && spec.allows(build, yard, *spot)
                    && core_price(t, *spot) <= limit
                    && self.may_hire(id, build, yard, *spot)
            })
        };
        if limit < u64::MAX && !kinds.iter().any(cheap) { u64::MAX } else { limit }
    }

    fn fair_price(&self, spec: &JobSpec) -> u64 {
        let allows = |build: &str, yard: &str, spot: bool| spec.allows(build, yard, spot);
        self.view.types.value.as_ref().map_or(u64::MAX, |catalog| price_limit(catalog, spec, &allows))
    }

    /// Whether the objectives want tasks of this class started at once.
    fn starts_at_once(&self, spec: &JobSpec) -> bool {
        self.start_aim(spec).is_some_and(|aim| aim < self.shortest_boot())
    }

    /// Within what time the objectives want tasks of this class started.
    fn start_aim(&self, spec: &JobSpec) -> Option<Micros> {
        let aims = self.objectives(spec).filter_map(|o| match o {
            ObjectiveKind::Wait(t) => Some(t),
            _ => None,
        });
        aims.min()
    }

    /// The least time that a machine takes to come up: what may start later than that has time.
    fn shortest_boot(&self) -> Micros {
        let types = self.view.types.value.iter().flat_map(|c| &c.types);
        types.map(|t| t.boot).min().unwrap_or(Micros::FOREVER)
    }

    fn objectives<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = ObjectiveKind> + 'a {
        let of_class = |class: &Option<String>| class.as_ref().is_none_or(|c| *c == spec.lane);
        self.cfg.objectives.iter().filter(move |o| of_class(&o.class)).map(|o| o.kind)
    }

    /// Within what time a job without a deadline should be done: as the objectives want it, or
    /// some time that is long for it.
    fn finish_aim(&self, spec: &JobSpec) -> Micros {
        let aim = self.objectives(spec).find_map(|o| match o {
            ObjectiveKind::Finished(t) => Some(t),
            _ => None,
        });
        aim.unwrap_or(spec.guess * 2 + Micros::secs(300))
    }

    /// A job that fails wherever it runs is tried ever more seldom, until its user ends it.
    fn backing_off(&self, id: JobId) -> bool {
        let now = self.now.steady;
        self.rounds.suspects.get(&id).is_some_and(|s| now.since(s.at) < Rounds::pause(s.tries))
    }

    pub(super) fn on_round(&mut self, round: InFlight, result: Result<StateReply, CallError>) {
        let now = self.now.steady;
        self.rounds.in_flight = false;
        self.rounds.looking = true;
        match result {
            Ok(StateReply::Applied(epoch)) => {
                self.counters.commits += 1;
                self.counters.booked += round.booked.len() as u64;
                self.counters.cleared += round.cleared as u64;
                let spent = &mut self.counters.changes;
                spent.ends += round.ended.len() as u64;
                for c in &round.changes {
                    *match c.key {
                        Key::Group(..) => &mut spent.groups,
                        Key::Usage(_) => &mut spent.usage,
                        _ => &mut spent.jobs,
                    } += 1;
                }
                for (c, number) in &round.booked {
                    let k = self.view.jobs.get(&c.job).map(|j| self.view.job_slice(c.job, j.spec()));
                    let term = k.map_or(0, |k| self.view.stamp(&Key::Own(k)));
                    tracing::info!(task = %TaskId { job: c.job, index: c.index }, attempt = number,
                        machine = %c.machine, term, "booked");
                    if let Some(met) = self.wish_met(c.job, c.machine) {
                        self.counters.wishes.0 += 1;
                        self.counters.wishes.1 += u64::from(met);
                    }
                }
                let changes = round.changes.into_iter().map(|mut c| {
                    c.stamp = epoch;
                    c
                });
                let mut touched = Touched::default();
                self.view.apply(changes, &mut touched);
                for (id, f) in round.ended {
                    let how = if f.cancelled { "cancelled" } else { "done" };
                    tracing::info!(job = %id, done = f.done, how, "ended");
                    self.users.remember(id, f);
                }
                self.on_touched_view(&touched);
            }
            Ok(StateReply::Clash(keys, epoch)) => {
                self.counters.clashes += 1;
                self.counters.dropped += round.booked.len() as u64;
                tracing::debug!(?keys, claims = round.booked.len(), "the round clashed");
                self.rounds.hold_epoch = epoch;
                self.reader.want_barrier();
            }
            Err(CallError::Unavailable | CallError::TooMany) => self.rounds.next = now + Micros::millis(250),
            _ => {
                self.counters.unknown += 1;
                tracing::info!(claims = round.booked.len(), "the round had no answer");
                self.rounds.hold_call = Some(self.next_call);
                self.reader.want_barrier();
            }
        }
    }
}
