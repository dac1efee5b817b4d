//! A transaction in the making: edited copies of records, with their conditions.

use super::sessions::{Mark, Outcome};
use crate::bookkeeping::finished::{CHUNK, Finished};
use crate::bookkeeping::ids::{Attempt, JobId, MachineId, Slice};
use crate::bookkeeping::job::{FinalRecord, JobRecord};
use crate::bookkeeping::records::{Booking, Fitness, GroupRecord, Key, MachineRecord, UsageRecord};
use crate::bookkeeping::view::{Change, Content, View};
use crate::protocol::state::{Put, Txn, encode};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that a transaction may take; the service allows a little more.
const TXN_BYTES: usize = 56 * 1024;
/// Bytes that one more booking may add to a group's record.
const BOOKING_BYTES: usize = 44;
/// Bytes kept free of a group's record for changes of its machines.
const SPARE_BYTES: usize = 256;

/// What a draft may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Changes.
    pub ops: usize,
    /// Conditions.
    pub conditions: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
}

#[derive(Clone, Debug)]
struct GroupEdit {
    record: GroupRecord,
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
    groups: BTreeMap<Slice, GroupEdit>,
    usage: BTreeMap<Slice, UsageRecord>,
    jobs: BTreeMap<JobId, JobEdit>,
    removed_chunks: BTreeSet<(JobId, u32)>,
    conditions: BTreeSet<Key>,
    bytes: usize,
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

impl<'a> Draft<'a> {
    /// An empty draft on the copy.
    pub fn new(view: &'a View, limits: Limits) -> Draft<'a> {
        Draft {
            view,
            limits,
            groups: BTreeMap::new(),
            usage: BTreeMap::new(),
            jobs: BTreeMap::new(),
            removed_chunks: BTreeSet::new(),
            conditions: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.ops() == 0
    }

    /// Changes so far. A job that ends takes two: its record goes, its end is kept.
    fn ops(&self) -> usize {
        let jobs: usize = self.jobs.values().map(|j| j.chunks.len() + 1 + usize::from(j.ended.is_some())).sum();
        self.groups.len() + self.usage.len() + jobs + self.removed_chunks.len()
    }

    /// Makes sure that the records can be edited within the limits; changes nothing otherwise.
    fn reserve(&mut self, group: Option<Slice>, usage: Option<Slice>, job: Option<JobId>, conditions: &[Key]) -> bool {
        let mut ops = self.ops();
        let new_group = group.filter(|k| !self.groups.contains_key(k));
        let new_usage = usage.filter(|k| !self.usage.contains_key(k));
        ops += usize::from(new_group.is_some()) + usize::from(new_usage.is_some());
        if let Some(j) = job {
            // A job may turn out to end, or to write one more chunk.
            let chunked = self.view.jobs.get(&j).is_some_and(|j| j.spec().extra_chunks() > 0);
            ops += 1 + usize::from(chunked) + usize::from(!self.jobs.contains_key(&j));
        }
        let new_conditions = conditions.iter().filter(|c| !self.conditions.contains(c)).count();
        // Everything written is a condition as well.
        let all = ops + self.conditions.len() + new_conditions;
        if ops > self.limits.ops || all > self.limits.conditions {
            return false;
        }
        if let Some(k) = new_group {
            let record = self.view.groups[k].value.clone();
            let bytes = encode(&record).map_or(0, |r| r.get().len());
            if self.bytes + bytes > TXN_BYTES {
                return false;
            }
            self.bytes += bytes;
            self.groups.insert(k, GroupEdit { record, bytes });
        }
        if let Some(k) = new_usage {
            self.usage.insert(k, self.view.usage[k].value.clone());
            self.bytes += 512;
        }
        if let Some(j) = job.filter(|j| !self.jobs.contains_key(j))
            && let Some(job) = self.view.jobs.get(&j)
        {
            self.bytes += 3_000;
            self.jobs.insert(j, JobEdit { record: job.record.clone(), chunks: BTreeMap::new(), ended: None });
        }
        self.conditions.extend(conditions.iter().cloned());
        self.bytes <= TXN_BYTES
    }

    fn grow(&mut self, k: Slice, by: usize) -> bool {
        let Some(g) = self.groups.get_mut(&k) else {
            return false;
        };
        if g.bytes + by + SPARE_BYTES > self.limits.value_bytes || self.bytes + by > TXN_BYTES {
            return false;
        }
        g.bytes += by;
        self.bytes += by;
        true
    }

    /// The machine as this draft would leave it.
    pub fn machine(&self, k: Slice, m: MachineId) -> Option<&MachineRecord> {
        match self.groups.get(&k) {
            Some(g) => g.record.machines.get(&m),
            None => self.view.groups[k].value.machines.get(&m),
        }
    }

    /// All machines as this draft would leave them.
    pub fn machines(&self) -> impl Iterator<Item = (Slice, MachineId, &MachineRecord)> {
        self.view
            .groups
            .iter()
            .enumerate()
            .map(|(k, g)| (k, self.groups.get(&k).map_or(&g.value, |e| &e.record)))
            .flat_map(|(k, g)| g.machines.iter().map(move |(m, r)| (k, *m, r)))
    }

    /// What a team of a slice would have booked.
    pub fn used(&self, k: Slice, team: &str) -> (u64, u64) {
        self.usage.get(&k).unwrap_or(&self.view.usage[k].value).of(team)
    }

    /// Adds a machine that was heard for the first time.
    pub fn add(&mut self, k: Slice, m: MachineId, record: MachineRecord) -> bool {
        let size = 120 + record.endpoint.len() + record.build.len() + record.yard.len();
        if !self.reserve(Some(k), None, None, &[Key::Own(k)]) || !self.grow(k, size) {
            return false;
        }
        if let Some(g) = self.groups.get_mut(&k) {
            g.record.machines.entry(m).or_insert(record);
        }
        true
    }

    /// Sets a machine's fitness and the sessions that are over. `by`: the slice whose owner decides.
    pub fn mark(&mut self, k: Slice, m: MachineId, mark: Mark, by: Slice) -> bool {
        let Some(now) = self.machine(k, m) else {
            return true;
        };
        // A machine that may have been released is unusable for ever.
        let fitness = if now.fitness == Fitness::Releasing { Fitness::Releasing } else { mark.fitness };
        let dead = now.dead.max(mark.dead);
        if (now.fitness, now.dead) == (fitness, dead) {
            return true;
        }
        if !self.reserve(Some(k), None, None, &[Key::Own(by)]) {
            return false;
        }
        if let Some(r) = self.groups.get_mut(&k).and_then(|g| g.record.machines.get_mut(&m)) {
            r.fitness = fitness;
            r.dead = dead;
        }
        true
    }

    /// Clears a booking: its outcome, its room and its team's usage in one.
    pub fn clear(&mut self, k: Slice, m: MachineId, a: Attempt, outcome: Outcome, by: Slice) -> bool {
        let booking = Booking::of(a);
        if !self.machine(k, m).is_some_and(|r| r.tasks.contains(&booking)) {
            return true;
        }
        let id = a.task.job;
        let Some(job) = self.view.jobs.get(&id) else {
            return true;
        };
        let job_slice = self.view.job_slice(id, job.spec());
        let edits_job = outcome != Outcome::Again && !job.record.cancelled;
        if !self.reserve(Some(k), Some(job_slice), edits_job.then_some(id), &[Key::Own(by)]) {
            return false;
        }
        let spec = job.spec();
        if let Some(u) = self.usage.get_mut(&job_slice) {
            u.take(&spec.crew, spec.need.cores, spec.need.accelerators);
        }
        if let Some(r) = self.groups.get_mut(&k).and_then(|g| g.record.machines.get_mut(&m)) {
            r.tasks.retain(|b| *b != booking);
            r.preempted.retain(|b| *b != booking);
        }
        if edits_job {
            match outcome {
                Outcome::Done => self.finish(id, a.task.index),
                _ => {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.record.failed_on(m);
                    }
                }
            }
        }
        true
    }

    fn finish(&mut self, id: JobId, index: u32) {
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
        if edit.record.done() >= edit.record.spec.pieces {
            edit.ended = Some(FinalRecord { cancelled: false, done: edit.record.done() });
        }
    }

    /// Ends a cancelled job of which nothing is booked. Large ones shed their chunks first.
    pub fn end_cancelled(&mut self, id: JobId) -> bool {
        let Some(job) = self.view.jobs.get(&id) else {
            return true;
        };
        let k = self.view.job_slice(id, job.spec());
        if let Some(n) = job.chunks.keys().next() {
            if self.ops() + 1 > self.limits.ops {
                return false;
            }
            self.removed_chunks.insert((id, *n));
            return true;
        }
        let done = job.record.done();
        if !self.reserve(None, None, Some(id), &[Key::Own(k)]) {
            return false;
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            j.ended = Some(FinalRecord { cancelled: true, done });
        }
        true
    }

    /// Books a task.
    pub fn book(&mut self, k: Slice, m: MachineId, a: Attempt) -> bool {
        let id = a.task.job;
        let Some(job) = self.view.jobs.get(&id) else {
            return false;
        };
        let spec = job.spec();
        let job_slice = self.view.job_slice(id, spec);
        let keys = [Key::Own(job_slice), Key::Job(id)];
        if !self.reserve(Some(k), Some(job_slice), None, &keys) || !self.grow(k, BOOKING_BYTES + spec.bundle.len()) {
            return false;
        }
        let Some(r) = self.groups.get_mut(&k).and_then(|g| g.record.machines.get_mut(&m)) else {
            return false;
        };
        r.tasks.push(Booking::of(a));
        let cache = self.view.machine_type(&r.build).map_or(0, |t| t.cache);
        r.use_image(&spec.bundle, spec.size, cache);
        if let Some(u) = self.usage.get_mut(&job_slice) {
            u.add(&spec.crew, spec.need.cores, spec.need.accelerators);
        }
        true
    }

    /// Books tasks on a machine in the room of others that are to be stopped there: all or nothing,
    /// since without the others' room the machine would be booked beyond what it has.
    pub fn book_over(&mut self, k: Slice, m: MachineId, victims: &[Booking], tasks: &[Attempt]) -> bool {
        let mut trial = self.clone();
        if !tasks.iter().all(|a| trial.book(k, m, *a)) || !trial.grow(k, BOOKING_BYTES * victims.len()) {
            return false;
        }
        let Some(r) = trial.groups.get_mut(&k).and_then(|g| g.record.machines.get_mut(&m)) else { return false };
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
    pub fn book_all(&mut self, set: &[(Slice, MachineId, Attempt)]) -> bool {
        let mut trial = self.clone();
        let all = set.iter().all(|(k, m, a)| trial.book(*k, *m, *a));
        if all {
            *self = trial;
        }
        all
    }

    /// Removes a machine that is gone for ever; what was booked on it must have been cleared.
    pub fn remove(&mut self, k: Slice, m: MachineId) -> bool {
        match self.machine(k, m) {
            None => return true,
            Some(r) if !r.tasks.is_empty() => return false,
            Some(_) => {}
        }
        if !self.reserve(Some(k), None, None, &[Key::Own(0)]) {
            return false;
        }
        if let Some(g) = self.groups.get_mut(&k) {
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
                Some(Content::Job(j)) => encode(j),
                Some(Content::Chunk(c)) => encode(c),
                _ => None,
            };
            conditions.insert(key.clone());
            commit.txn.then.push(Put { key: key.clone(), value, permit: None });
            commit.changes.push(Change { key, content, stamp: 0 });
        };
        for (k, g) in self.groups {
            put(Key::Group(k), Some(Content::Group(g.record)));
        }
        for (k, u) in self.usage {
            put(Key::Usage(k), Some(Content::Usage(u)));
        }
        for (id, n) in self.removed_chunks {
            put(Key::Chunk(id, n), None);
        }
        let mut finals = Vec::new();
        for (id, edit) in self.jobs {
            for (n, chunk) in edit.chunks {
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
