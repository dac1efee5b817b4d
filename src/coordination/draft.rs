//! A transaction in the making: edited copies of records, with their conditions.

#[cfg(test)]
mod model;
pub mod shrink;

use super::sessions::{Mark, Outcome};
use crate::bookkeeping::finished::{CHUNK, Finished};
use crate::bookkeeping::ids::{Attempt, JobId, MachineId, Part, Slice};
use crate::bookkeeping::job::{FinalRecord, JobRecord, JobSpec};
use crate::bookkeeping::records::{Booking, Fitness, GroupRecord, Key, MachineRecord, OwnRecord, UsageRecord};
use crate::bookkeeping::view::{Change, Content, Job, View};
use crate::protocol::state::{Put, Txn, encode};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that a transaction may take; the service allows a little more.
const TXN_BYTES: usize = 56 * 1024;
/// Bytes kept free of a record for changes that must not wait: marks of machines. Of a small one less.
const SPARE_BYTES: usize = 256;
/// Images that are remembered of each machine where a record has no room for more bookings otherwise.
const FEW_IMAGES: usize = 2;
/// Largest job whose ends go into its slice's usage record. The ends of larger ones come in
/// numbers, so a write of their own record carries many.
const SMALL_JOB: u32 = 256;
/// Bytes that one more job adds to a usage record, beside its bitmap.
const ENTRY_BYTES: usize = 26;

/// What a draft may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Changes.
    pub ops: usize,
    /// Conditions.
    pub conditions: usize,
    /// Bytes that a value may grow to.
    pub value_bytes: usize,
    /// Bytes of the largest value that the service takes: what is larger already must not grow, but may
    /// be written.
    pub taken_bytes: usize,
    /// Values that are larger than they should become may grow all the same: controllers of the version
    /// before let them grow, too.
    pub large_grow: bool,
    /// Bytes that a group should have at most once its machines are full, and the bound of what
    /// a usage record keeps of ended tasks.
    pub part_bytes: usize,
}

impl Limits {
    /// How large a value may become that has so many bytes now.
    fn most(&self, bytes: usize) -> usize {
        if bytes <= self.value_bytes {
            self.value_bytes
        } else if self.large_grow {
            self.taken_bytes
        } else {
            bytes
        }
    }
}

#[derive(Clone, Debug)]
struct GroupEdit {
    record: GroupRecord,
    /// At least as many as the record has.
    bytes: usize,
    /// Most that it may have.
    most: usize,
    /// Its machines' images were forgotten but for a few.
    pruned: bool,
}

#[derive(Clone, Debug)]
struct UsageEdit {
    record: UsageRecord,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct JobEdit {
    record: JobRecord,
    chunks: BTreeMap<u32, Finished>,
    ended: Option<FinalRecord>,
}

/// The draft.
#[derive(Clone, Debug)]
pub struct Draft<'a> {
    view: &'a View,
    limits: Limits,
    groups: BTreeMap<(Slice, Part), GroupEdit>,
    /// Machines that it adds.
    added: BTreeMap<MachineId, (Slice, Part)>,
    /// Bytes that the machines of a group will take once they are full.
    expected: BTreeMap<(Slice, Part), usize>,
    usage: BTreeMap<Slice, UsageEdit>,
    /// Cores and accelerators that teams would have booked more, and less.
    moved: BTreeMap<&'a str, [(u64, u64); 2]>,
    jobs: BTreeMap<JobId, JobEdit>,
    removed_chunks: BTreeSet<(JobId, u32)>,
    conditions: BTreeSet<Key>,
    bytes: usize,
    /// The terser written forms are understood by all.
    terse: bool,
    /// What is booked is told by the groups alone: see [`View::fenced`].
    fenced: bool,
    /// A slice whose term it raises, and the owner.
    raise: Option<(Slice, OwnRecord)>,
}

/// A finished draft: the transaction, and what it changes in the copy when it succeeds.
#[derive(Debug)]
pub struct Commit {
    /// The transaction.
    pub txn: Txn,
    /// Its changes; their stamps are set when it has one.
    pub changes: Vec<Change>,
    /// Jobs that it ends.
    pub ended: Vec<(JobId, FinalRecord)>,
}

/// Records that an edit needs.
#[derive(Clone, Copy, Debug, Default)]
struct Needs<'a> {
    groups: &'a [(Slice, Part)],
    usage: Option<Slice>,
    /// A job, and the changes that it takes beyond that of its record.
    job: Option<(JobId, usize)>,
    conditions: &'a [Key],
}

fn size_of<T: serde::Serialize>(value: &T) -> usize {
    encode(value).map_or(0, |r| r.get().len())
}

impl<'a> Draft<'a> {
    /// An empty draft on the copy.
    pub fn new(view: &'a View, limits: Limits) -> Draft<'a> {
        Draft {
            view,
            limits,
            groups: BTreeMap::new(),
            added: BTreeMap::new(),
            expected: BTreeMap::new(),
            usage: BTreeMap::new(),
            moved: BTreeMap::new(),
            jobs: BTreeMap::new(),
            removed_chunks: BTreeSet::new(),
            conditions: BTreeSet::new(),
            bytes: 0,
            terse: view.terse(),
            fenced: view.fenced(),
            raise: None,
        }
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.ops() == 0
    }

    /// Changes so far. A job that ends takes two: its record goes, its end is kept.
    fn ops(&self) -> usize {
        let jobs: usize = self.jobs.values().map(|j| j.chunks.len() + 1 + usize::from(j.ended.is_some())).sum();
        let records = self.groups.len() + self.usage.len() + self.removed_chunks.len();
        records + jobs + usize::from(self.raise.is_some())
    }

    /// Changes that it may still take.
    pub fn ops_left(&self) -> usize {
        self.limits.ops.saturating_sub(self.ops())
    }

    /// Whether it writes this group already.
    pub fn writes_group(&self, at: (Slice, Part)) -> bool {
        self.groups.contains_key(&at)
    }

    /// Whether it writes this slice's usage already.
    pub fn writes_usage(&self, k: Slice) -> bool {
        self.usage.contains_key(&k)
    }

    /// Whether clearing this booking writes only records that it writes already, or that nobody else writes.
    pub fn covers(&self, m: MachineId, a: Attempt) -> bool {
        if self.fenced {
            return self.home(m).is_some_and(|at| self.writes_group(at));
        }
        let Some(job) = self.view.jobs.get(&a.task.job) else { return false };
        let k = self.view.job_slice(a.task.job, job.spec());
        self.home(m).is_some_and(|at| self.writes_group(at)) && self.writes_usage(k)
    }

    /// Makes sure that the records can be edited within the limits; changes nothing otherwise.
    fn reserve(&mut self, needs: Needs<'_>) -> bool {
        let mut ops = self.ops();
        let new_groups: Vec<(Slice, Part)> =
            needs.groups.iter().copied().filter(|g| !self.groups.contains_key(g)).collect();
        let new_usage = needs.usage.filter(|k| !self.usage.contains_key(k));
        ops += new_groups.len() + usize::from(new_usage.is_some());
        let mut job_bytes = 0;
        if let Some((id, more)) = needs.job
            && let Some(job) = self.view.jobs.get(&id)
        {
            ops += more;
            if !self.jobs.contains_key(&id) {
                ops += 1;
                // The bitmaps, which may be full already, are two hexadecimal digits a byte.
                let bitmap = job.spec().pieces.min(CHUNK) as usize / 4 + 16;
                job_bytes = size_of(&job.record) + 512 + bitmap * (1 + job.spec().extra_chunks().min(1) as usize);
            }
        }
        // While machines of a slice are being copied from a group that is too large, its term changes with
        // every step: whoever plans on a copy of before then fails.
        let owners = needs.groups.iter().map(|(k, _)| Key::Own(*k));
        let wanted: Vec<Key> = needs.conditions.iter().cloned().chain(owners).collect();
        let new_conditions = wanted.iter().filter(|c| !self.conditions.contains(c)).count();
        // Everything written is a condition as well.
        let all = ops + self.conditions.len() + new_conditions;
        if ops > self.limits.ops || all > self.limits.conditions {
            return false;
        }
        let groups: Vec<((Slice, Part), GroupEdit)> = new_groups
            .into_iter()
            .map(|(k, n)| {
                let record = self.view.groups[k].get(&n).map(|g| g.value.clone()).unwrap_or_default();
                let record = GroupRecord { terse: self.terse, ..record };
                let bytes = size_of(&record);
                ((k, n), GroupEdit { record, bytes, most: self.limits.most(bytes), pruned: false })
            })
            .collect();
        let usage = new_usage.map(|k| {
            let mut record = self.view.usage[k].value.clone();
            record.ends.retain(|id, ends| self.is_needed(id, ends));
            record.ends.values_mut().for_each(|e| e.terse(self.terse));
            if self.fenced {
                record.teams.clear();
            }
            let bytes = size_of(&record);
            (k, UsageEdit { record, bytes: bytes + SPARE_BYTES })
        });
        let too_large = |bytes: usize| bytes > self.limits.taken_bytes;
        if groups.iter().any(|(_, g)| too_large(g.bytes))
            || usage.as_ref().is_some_and(|(_, u)| too_large(u.bytes - SPARE_BYTES))
        {
            return false;
        }
        let more: usize = groups.iter().map(|(_, g)| g.bytes).sum();
        let more = more + usage.as_ref().map_or(0, |(_, u)| u.bytes) + job_bytes;
        if self.bytes + more > TXN_BYTES {
            return false;
        }
        self.bytes += more;
        self.groups.extend(groups);
        self.usage.extend(usage);
        if let Some(id) = needs.job.map(|(id, _)| id).filter(|id| !self.jobs.contains_key(id))
            && let Some(job) = self.view.jobs.get(&id)
        {
            let mut record = job.record.clone();
            // A record that is written takes what usage records keep for it; from those that are not written
            // with it that goes when they next are.
            record.finished.merge(&job.ends);
            for edit in self.usage.values_mut() {
                if let Some(ends) = edit.record.ends.remove(&id) {
                    record.finished.merge(&ends);
                }
            }
            self.jobs.insert(id, JobEdit { record, chunks: BTreeMap::new(), ended: None });
        }
        self.conditions.extend(wanted);
        true
    }

    /// Whether ends that are kept beside their job's record still say something: not those of a job that has ended
    /// itself, and not those that its record has.
    fn is_needed(&self, id: &JobId, ends: &Finished) -> bool {
        self.view.jobs.get(id).is_some_and(|j| !j.record.finished.covers(ends))
    }

    /// Makes sure that a group may grow by some bytes, and still leaves `spare`.
    fn grow(&mut self, at: (Slice, Part), by: usize, spare: usize) -> bool {
        let Some(g) = self.groups.get_mut(&at) else {
            return false;
        };
        let spare = spare.min(g.most / 16);
        if g.bytes + by + spare > g.most {
            // What was added up are upper bounds; near the limit it is worth looking.
            g.bytes = size_of(&g.record);
        }
        if g.bytes + by + spare > g.most && self.terse && !g.pruned {
            // Better to fetch an image again than to leave a machine without work.
            g.pruned = true;
            g.record.machines.values_mut().for_each(|r| r.forget_images(FEW_IMAGES));
            g.bytes = size_of(&g.record);
        }
        if g.bytes + by + spare > g.most || self.bytes + by > TXN_BYTES {
            return false;
        }
        g.bytes += by;
        self.bytes += by;
        true
    }

    /// The group that holds a machine.
    fn home(&self, m: MachineId) -> Option<(Slice, Part)> {
        self.added.get(&m).copied().or_else(|| self.view.home(m))
    }

    /// The machine as this draft would leave it.
    pub fn machine(&self, m: MachineId) -> Option<&MachineRecord> {
        match self.groups.get(&self.home(m)?) {
            Some(g) => g.record.machines.get(&m),
            None => self.view.machine(m),
        }
    }

    fn machine_mut(&mut self, m: MachineId) -> Option<&mut MachineRecord> {
        let at = self.home(m)?;
        self.groups.get_mut(&at)?.record.machines.get_mut(&m)
    }

    /// All machines of the copy as this draft would leave them, with the groups that hold them.
    pub fn machines(&self) -> impl Iterator<Item = ((Slice, Part), MachineId, &MachineRecord)> {
        let parts =
            self.view.groups.iter().enumerate().flat_map(|(k, parts)| parts.iter().map(move |(n, g)| ((k, *n), g)));
        parts
            .map(|(at, g)| (at, self.groups.get(&at).map_or(&g.value, |e| &e.record)))
            .flat_map(|(at, g)| g.machines.iter().map(move |(m, r)| (at, *m, r)))
    }

    /// What a team of a slice would have booked.
    pub fn used(&self, k: Slice, team: &str) -> (u64, u64) {
        if !self.fenced {
            return self.usage.get(&k).map_or(&self.view.usage[k].value, |u| &u.record).of(team);
        }
        let (booked, [more, less]) = (self.view.used(k, team), self.moved.get(team).copied().unwrap_or_default());
        ((booked.0 + more.0).saturating_sub(less.0), (booked.1 + more.1).saturating_sub(less.1))
    }

    /// Adds a machine that was heard for the first time, to the first of the slice's groups that
    /// will still have room when all of its machines are full, else to a new one. `full`: bytes
    /// that a machine of a type takes then.
    ///
    /// Every addition writes the slice's first group, which is never removed. So an addition with
    /// unknown outcome cannot succeed beside a later one of the same machine to another group; one
    /// of an earlier owner fails for its term.
    pub fn add(&mut self, k: Slice, m: MachineId, record: MachineRecord, full: &dyn Fn(&str) -> usize) -> bool {
        let size = GroupRecord::machine_bytes(m, &record);
        let expected = full(&record.build).max(size);
        for n in 0.. {
            let at = (k, n);
            let group = match self.groups.get(&at) {
                Some(g) => Some(&g.record),
                None => self.view.groups[k].get(&n).map(|g| &g.value),
            };
            let exists = group.is_some();
            let before = *self
                .expected
                .entry(at)
                .or_insert_with(|| group.map_or(64, |g| g.machines.values().map(|r| full(&r.build)).sum()));
            // A group with a single machine may be larger than a group should be.
            let fits = before + expected <= self.limits.part_bytes || group.is_none_or(|g| g.machines.is_empty());
            if !fits {
                continue;
            }
            let both = [(k, 0), at];
            let groups = if n == 0 { &both[..1] } else { &both };
            if !self.reserve(Needs { groups, conditions: &[Key::Own(k)], ..Needs::default() }) {
                return false;
            }
            if !self.grow(at, size, SPARE_BYTES) {
                if exists {
                    continue;
                }
                return false;
            }
            if let Some(g) = self.groups.get_mut(&at) {
                g.record.machines.insert(m, record);
            }
            self.added.insert(m, at);
            self.expected.insert(at, before + expected);
            return true;
        }
        false
    }

    /// Sets a machine's fitness and the sessions that are over. `by`: the slice whose owner decides.
    pub fn mark(&mut self, m: MachineId, mark: Mark, by: Slice) -> bool {
        let (Some(now), Some(at)) = (self.machine(m), self.home(m)) else {
            return true;
        };
        // A machine that may have been released is unusable for ever.
        let fitness = if now.fitness == Fitness::Releasing { Fitness::Releasing } else { mark.fitness };
        let dead = now.dead.max(mark.dead);
        if (now.fitness, now.dead) == (fitness, dead) {
            return true;
        }
        let more = usize::from(dead > now.dead) * 6;
        if !self.reserve(Needs { groups: &[at], conditions: &[Key::Own(by)], ..Needs::default() })
            || !self.grow(at, more, 0)
        {
            return false;
        }
        if let Some(r) = self.machine_mut(m) {
            r.fitness = fitness;
            r.dead = dead;
        }
        true
    }

    /// Clears a booking: its outcome, its room and its team's usage in one.
    pub fn clear(&mut self, m: MachineId, a: Attempt, outcome: Outcome, by: Slice) -> bool {
        let booking = Booking::of(a);
        let Some(at) = self.home(m) else {
            return true;
        };
        if !self.machine(m).is_some_and(|r| r.tasks.contains(&booking)) {
            return true;
        }
        let id = a.task.job;
        let view = self.view;
        let Some(job) = view.jobs.get(&id) else {
            return true;
        };
        let spec = job.spec();
        let k = view.job_slice(id, spec);
        let counts = outcome != Outcome::Again && !job.cancelled();
        // The slice whose usage record keeps the end until the job's own is written.
        let keeper = if self.fenced { by } else { k };
        let kept = outcome == Outcome::Done && counts && self.is_kept(job, a, keeper);
        let own = counts && !kept;
        let more = if outcome == Outcome::Done { self.more_changes(job, a) } else { 0 };
        let (groups, conditions) = (&[at], &[Key::Own(by)]);
        let usage = (kept || !self.fenced).then_some(keeper);
        let needs = |more| Needs { groups, usage, job: own.then_some((id, more)), conditions };
        // Where the end of the job has no room in the same transaction, it goes out later: see `end_done`.
        let whole = self.reserve(needs(more));
        if !whole && (more < 2 || !self.terse || !self.reserve(needs(more - 1))) {
            return false;
        }
        self.take(k, spec);
        if let Some(r) = self.machine_mut(m) {
            r.tasks.retain(|b| *b != booking);
            r.preempted.retain(|b| *b != booking);
        }
        if !counts {
            return true;
        }
        match (outcome, kept) {
            (Outcome::Done, true) => {
                if let Some(u) = self.usage.get_mut(&keeper) {
                    let before = u.record.ends.get(&id).map_or(0, Finished::bytes);
                    let set = u.record.ends.entry(id).or_default();
                    set.insert(a.task.index);
                    let more = set.bytes() - before + if before == 0 { ENTRY_BYTES } else { 0 };
                    u.bytes += more;
                    self.bytes += more;
                }
            }
            (Outcome::Done, false) => self.finish(id, a.task.index, whole),
            _ => {
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.record.failed_on(m);
                }
            }
        }
        true
    }

    /// A team has less booked.
    fn take(&mut self, k: Slice, spec: &'a JobSpec) {
        if let Some(u) = self.usage.get_mut(&k).filter(|_| !self.fenced) {
            u.record.take(&spec.crew, spec.need.cores, spec.need.accelerators);
        }
        let [_, less] = self.moved.entry(&spec.crew).or_default();
        *less = (less.0 + spec.need.cores, less.1 + spec.need.accelerators);
    }

    /// Whether a task's end is kept in this slice's usage record: its job is small, goes on after it, is not
    /// written for another reason, and there is room.
    fn is_kept(&self, job: &Job, a: Attempt, keeper: Slice) -> bool {
        let id = a.task.job;
        if job.spec().pieces > SMALL_JOB || self.jobs.contains_key(&id) {
            return false;
        }
        let ends = self.ends_of(id, job);
        let known = ends.has(a.task.index) || job.record.finished.has(a.task.index);
        let done = job.record.finished.count_with(&ends) + u32::from(!known);
        let edit = self.usage.get(&keeper);
        let bytes = edit.map_or_else(|| size_of(&self.view.usage[keeper].value) + SPARE_BYTES, |u| u.bytes);
        let most = self.limits.part_bytes.min(self.limits.value_bytes);
        done < job.spec().pieces && bytes + ENTRY_BYTES + (SMALL_JOB / 4) as usize + SPARE_BYTES <= most
    }

    /// What usage records would keep of a job's ends.
    fn ends_of(&self, id: JobId, job: &Job) -> Finished {
        let mut ends = job.ends.clone();
        self.usage.values().filter_map(|u| u.record.ends.get(&id)).for_each(|more| ends.merge(more));
        ends
    }

    /// Changes that the completion of a task takes beyond those of its group, its team's usage and its
    /// job's record: a further chunk, and the end of the job.
    fn more_changes(&self, job: &Job, a: Attempt) -> usize {
        let edit = self.jobs.get(&a.task.job);
        let n = a.task.index / CHUNK;
        let chunk = n > 0 && edit.is_none_or(|e| !e.chunks.contains_key(&n));
        let done = edit.map_or_else(
            || job.record.finished.count_with(&self.ends_of(a.task.job, job)) + job.record.more,
            |e| e.record.done(),
        );
        usize::from(chunk) + usize::from(done + 1 >= job.spec().pieces)
    }

    /// Notes that a task is completed. `ends`: there is room for the end of the job as well.
    fn finish(&mut self, id: JobId, index: u32, ends: bool) {
        let Some(job) = self.view.jobs.get(&id) else {
            return;
        };
        let Some(edit) = self.jobs.get_mut(&id) else {
            return;
        };
        let n = index / CHUNK;
        if n == 0 {
            edit.record.finished.insert(index);
        } else if edit.record.full >> n & 1 == 0 {
            let chunk =
                edit.chunks.entry(n).or_insert_with(|| job.chunks.get(&n).map(|c| c.value.clone()).unwrap_or_default());
            if chunk.insert(index % CHUNK) {
                edit.record.more += 1;
                let size = CHUNK.min(edit.record.spec.pieces - n * CHUNK);
                if chunk.count() == size {
                    // A complete chunk needs no record, so the end of a large job is a small change.
                    edit.record.full |= 1 << n;
                }
            }
        }
        if ends && edit.record.done() >= edit.record.spec.pieces {
            edit.ended = Some(FinalRecord { cancelled: false, done: edit.record.done(), at: self.view.today });
        }
    }

    /// Ends a job whose tasks are all done.
    pub fn end_done(&mut self, id: JobId) -> bool {
        let Some(job) = self.view.jobs.get(&id) else { return true };
        self.end(id, job, FinalRecord { cancelled: false, done: job.spec().pieces, at: self.view.today })
    }

    fn end(&mut self, id: JobId, job: &Job, end: FinalRecord) -> bool {
        let k = self.view.job_slice(id, job.spec());
        // What the usage record keeps of it goes along, if that can be written.
        let kept = (!self.fenced && self.view.usage[k].value.ends.contains_key(&id)).then_some(k);
        let conditions = &[Key::Own(k)];
        let needs = |usage| Needs { usage, job: Some((id, 1)), conditions, ..Needs::default() };
        if !self.reserve(needs(kept)) && !self.reserve(needs(None)) {
            return false;
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            j.ended = Some(end);
        }
        true
    }

    /// Ends a cancelled job of which nothing is booked. Large ones shed their chunks first.
    pub fn end_cancelled(&mut self, id: JobId) -> bool {
        let Some(job) = self.view.jobs.get(&id) else {
            return true;
        };
        if let Some(n) = job.chunks.keys().next() {
            if self.ops() + 1 > self.limits.ops {
                return false;
            }
            self.removed_chunks.insert((id, *n));
            return true;
        }
        self.end(id, job, FinalRecord { cancelled: true, done: job.done(), at: self.view.today })
    }

    /// Moves what the usage record keeps of a job's ends into the job's own record.
    pub fn settle(&mut self, id: JobId) -> bool {
        let Some(job) = self.view.jobs.get(&id) else { return true };
        let k = self.view.job_slice(id, job.spec());
        let usage = (!self.fenced).then_some(k);
        self.reserve(Needs { usage, job: Some((id, 0)), conditions: &[Key::Own(k)], ..Needs::default() })
    }

    /// Books a task.
    pub fn book(&mut self, m: MachineId, a: Attempt) -> bool {
        let id = a.task.job;
        let view = self.view;
        let (Some(job), Some(at)) = (view.jobs.get(&id), self.home(m)) else {
            return false;
        };
        let spec = job.spec();
        let k = view.job_slice(id, spec);
        let conditions = &[Key::Own(k), Key::Job(id), Key::Meta];
        let size = GroupRecord::booking_bytes(&a, &spec.bundle, spec.size);
        if !self.reserve(Needs { groups: &[at], usage: Some(k), conditions, ..Needs::default() })
            || !self.grow(at, size, SPARE_BYTES)
        {
            return false;
        }
        let Some(r) = self.machine_mut(m) else {
            return false;
        };
        r.tasks.push(Booking::of(a));
        let cache = view.machine_type(&r.build).map_or(0, |t| t.cache);
        r.use_image(&spec.bundle, spec.size, cache);
        if let Some(u) = self.usage.get_mut(&k).filter(|_| !self.fenced) {
            u.record.add(&spec.crew, spec.need.cores, spec.need.accelerators);
        }
        let [more, _] = self.moved.entry(&spec.crew).or_default();
        *more = (more.0 + spec.need.cores, more.1 + spec.need.accelerators);
        true
    }

    /// Books tasks on a machine in the room of others that are to be stopped there: all or nothing,
    /// since without the others' room the machine would be booked beyond what it has.
    pub fn book_over(&mut self, m: MachineId, victims: &[Booking], tasks: &[Attempt]) -> bool {
        let mut trial = self.clone();
        let Some(at) = self.home(m) else { return false };
        let size = GroupRecord::PREEMPTED_BYTES * victims.len();
        if !tasks.iter().all(|a| trial.book(m, *a)) || !trial.grow(at, size, SPARE_BYTES) {
            return false;
        }
        let Some(r) = trial.machine_mut(m) else { return false };
        for v in victims {
            if !r.tasks.contains(v) || r.preempted.contains(v) {
                return false;
            }
            r.preempted.push(*v);
        }
        *self = trial;
        true
    }

    /// Books all of an indivisible set, or nothing.
    pub fn book_all(&mut self, set: &[(MachineId, Attempt)]) -> bool {
        let mut trial = self.clone();
        let all = set.iter().all(|(m, a)| trial.book(*m, *a));
        if all {
            *self = trial;
        }
        all
    }

    /// Removes a machine that is gone for ever; what was booked on it must have been cleared.
    pub fn remove(&mut self, m: MachineId) -> bool {
        match self.machine(m) {
            None => return true,
            Some(_) if self.view.is_stale(m) => return false,
            Some(r) if !r.tasks.is_empty() => return false,
            Some(_) => {}
        }
        let Some(at) = self.home(m) else { return true };
        if !self.reserve(Needs { groups: &[at], conditions: &[Key::Own(0)], ..Needs::default() }) {
            return false;
        }
        if let Some(g) = self.groups.get_mut(&at) {
            g.record.machines.remove(&m);
        }
        true
    }

    /// The transaction: every record that it writes is a condition.
    pub fn commit(self) -> Commit {
        let mut commit = Commit { txn: Txn::default(), changes: Vec::new(), ended: Vec::new() };
        let mut conditions = self.conditions;
        let mut put = |key: Key, content: Option<Content>| {
            let value = match &content {
                Some(Content::Group(g)) => encode(g),
                Some(Content::Usage(u)) => encode(u),
                Some(Content::Job(j)) => encode(&**j),
                Some(Content::Chunk(c)) => encode(c),
                Some(Content::Own(o)) => encode(o),
                _ => None,
            };
            conditions.insert(key.clone());
            commit.txn.then.push(Put { key: key.clone(), value, permit: None });
            commit.changes.push(Change { key, content, stamp: 0 });
        };
        for ((k, n), g) in self.groups {
            // A group without machines is closed, but for the first of a slice: see `add`.
            let open = n == 0 || !g.record.machines.is_empty();
            put(Key::Group(k, n), open.then_some(Content::Group(g.record)));
        }
        for (k, mut u) in self.usage {
            u.record.ends.values_mut().for_each(|e| e.terse(self.terse));
            put(Key::Usage(k), Some(Content::Usage(u.record)));
        }
        if let Some((k, me)) = self.raise {
            put(Key::Own(k), Some(Content::Own(me)));
        }
        for (id, n) in self.removed_chunks {
            put(Key::Chunk(id, n), None);
        }
        let mut finals = Vec::new();
        for (id, mut edit) in self.jobs {
            edit.record.finished.terse(self.terse);
            for (n, mut chunk) in edit.chunks {
                chunk.terse(self.terse);
                let known = self.view.stamp(&Key::Chunk(id, n)) > 0;
                let full = edit.record.full >> n & 1 == 1;
                if !full {
                    put(Key::Chunk(id, n), Some(Content::Chunk(chunk)));
                } else if known {
                    put(Key::Chunk(id, n), None);
                }
            }
            match edit.ended {
                None => put(Key::Job(id), Some(Content::Job(Box::new(edit.record)))),
                Some(f) => {
                    put(Key::Job(id), None);
                    finals.push((id, f));
                }
            }
        }
        for (id, f) in finals {
            commit.txn.then.push(Put { key: Key::Final(id), value: encode(&f), permit: None });
            conditions.insert(Key::Final(id));
            commit.ended.push((id, f));
        }
        commit.txn.when = conditions.into_iter().map(|k| (self.view.stamp(&k), k)).map(|(s, k)| (k, s)).collect();
        commit
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::bookkeeping::records::{FIRST_LAYOUT, MetaRecord, TERSE};
    use crate::bookkeeping::view::Touched;

    pub(super) fn machine() -> MachineRecord {
        MachineRecord {
            build: "small".into(),
            yard: "a".into(),
            spot: true,
            endpoint: None,
            fitness: Fitness::Up,
            dead: 0,
            images: Vec::new(),
            tasks: Vec::new(),
            preempted: Vec::new(),
        }
    }

    fn drafted(view: &View, work: impl FnOnce(&mut Draft<'_>)) -> Commit {
        // Groups have room for two machines.
        let limits = Limits {
            ops: 12,
            conditions: 48,
            value_bytes: 4_096,
            taken_bytes: 4_096,
            large_grow: false,
            part_bytes: 500,
        };
        let mut draft = Draft::new(view, limits);
        work(&mut draft);
        draft.commit()
    }

    fn add(d: &mut Draft<'_>, m: u64) {
        assert!(d.add(0, MachineId(m), machine(), &|_| 200));
    }

    /// Whether the store would apply the transaction, as the view knows the store.
    pub(super) fn holds(view: &View, commit: &Commit) -> bool {
        commit.txn.when.iter().all(|(k, s)| view.stamp(k) == *s)
    }

    pub(super) fn apply(view: &mut View, commit: Commit, stamp: u64) {
        assert!(holds(view, &commit));
        view.apply(commit.changes.into_iter().map(|c| Change { stamp, ..c }), &mut Touched::default());
        view.advance(stamp);
    }

    fn new_view() -> View {
        view_of(FIRST_LAYOUT)
    }

    /// A copy with nothing in it.
    pub(super) fn view_of(layout: u32) -> View {
        let mut view = View::default();
        let meta = MetaRecord { layout, slices: 1, teams: BTreeMap::new() };
        let change = Change { key: Key::Meta, content: Some(Content::Meta(meta)), stamp: 1 };
        view.apply([change], &mut Touched::default());
        view.advance(1);
        view
    }

    /// An addition without an answer must not be carried out beside a later one of the same machine
    /// to another group, which has room since a machine has gone: the machine would be in two.
    #[test]
    fn a_machine_is_added_once() {
        let mut view = new_view();
        let commit = drafted(&view, |d| (1..=4).for_each(|m| add(d, m)));
        apply(&mut view, commit, 2);
        assert_eq!(view.home(MachineId(4)), Some((0, 1)));
        let unanswered = drafted(&view, |d| add(d, 5));
        let commit = drafted(&view, |d| assert!(d.remove(MachineId(3))));
        apply(&mut view, commit, 3);
        let commit = drafted(&view, |d| add(d, 5));
        apply(&mut view, commit, 4);
        assert_eq!(view.home(MachineId(5)), Some((0, 1)));
        assert!(!holds(&view, &unanswered), "it is in two groups now");
    }

    /// Groups open when the others are full and close when they are empty, but for the first.
    #[test]
    fn groups_open_and_close() {
        let mut view = new_view();
        let commit = drafted(&view, |d| (1..=5).for_each(|m| add(d, m)));
        apply(&mut view, commit, 2);
        assert_eq!(view.groups[0].len(), 3);
        let commit = drafted(&view, |d| (1..=5).for_each(|m| assert!(d.remove(MachineId(m)))));
        apply(&mut view, commit, 3);
        assert_eq!(view.groups[0].keys().copied().collect::<Vec<_>>(), [0]);
    }

    /// With few changes in a transaction the last task of a job with several chunks and the end of the
    /// job go out one after the other, and nobody who reads in between takes it for less than done.
    #[test]
    fn the_end_of_a_large_job_takes_two_steps() {
        let mut view = view_of(TERSE);
        let text = r#"{"s":{"l":"lane","w":"free","u":"2","n":8193,"r":{"c":1000},"i":"img","g":9000000},"t":1}"#;
        let mut record: JobRecord = serde_json::from_str(text).unwrap();
        (0..CHUNK).for_each(|i| {
            record.finished.insert(i);
        });
        let id = JobId(7);
        let last = Attempt { task: crate::bookkeeping::ids::TaskId { job: id, index: CHUNK }, number: 2 };
        let mut g = GroupRecord::default();
        let mut r = machine();
        r.tasks.push(Booking::of(last));
        g.machines.insert(MachineId(1), r);
        let contents = [(Key::Job(id), Content::Job(Box::new(record))), (Key::Group(0, 0), Content::Group(g))];
        view.apply(
            contents.map(|(key, content)| Change { key, content: Some(content), stamp: 2 }),
            &mut Touched::default(),
        );
        view.advance(2);
        let limits = Limits {
            ops: 4,
            conditions: 16,
            value_bytes: 2_048,
            taken_bytes: 2_048,
            large_grow: false,
            part_bytes: 1_920,
        };
        let mut draft = Draft::new(&view, limits);
        assert!(draft.clear(MachineId(1), last, Outcome::Done, 0), "never cleared");
        let commit = draft.commit();
        assert!(commit.txn.then.len() <= 4 && commit.ended.is_empty());
        assert!(commit.txn.largest() <= 2_048, "{} bytes", commit.txn.largest());
        apply(&mut view, commit, 3);
        assert_eq!(view.jobs[&id].done(), CHUNK + 1);
        let mut draft = Draft::new(&view, limits);
        assert!(draft.end_done(id));
        let commit = draft.commit();
        assert_eq!(commit.ended.len(), 1);
        assert_eq!(commit.ended[0].1.done, CHUNK + 1);
        apply(&mut view, commit, 4);
        assert!(view.jobs.is_empty());
    }
}
