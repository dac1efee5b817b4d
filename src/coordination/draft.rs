//! A transaction in the making: edited copies of records, with their conditions.

mod edits;
mod ends;
#[cfg(test)]
mod model;
pub mod shrink;
#[cfg(test)]
mod tests;

use crate::bookkeeping::finished::{CHUNK, Finished};
use crate::bookkeeping::ids::{Attempt, JobId, MachineId, Part, Slice};
use crate::bookkeeping::job::{FinalRecord, JobRecord};
use crate::bookkeeping::records::{GroupRecord, Key, MachineRecord, OwnRecord, UsageRecord};
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
        let jobs: usize = self
            .jobs
            .values()
            .map(|j| j.chunks.len() + 1 + usize::from(j.ended.is_some()))
            .sum();
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
        let id = a.task.job;
        let writes_usage = |job: &Job| self.writes_usage(self.view.job_slice(id, job.spec()));
        self.home(m).is_some_and(|at| self.writes_group(at))
            && (self.fenced || self.view.jobs.get(&id).is_some_and(writes_usage))
    }

    /// Makes sure that the records can be edited within the limits; changes nothing otherwise.
    fn reserve(&mut self, needs: Needs<'_>) -> bool {
        let mut ops = self.ops();
        let new_groups: Vec<(Slice, Part)> = needs
            .groups
            .iter()
            .copied()
            .filter(|g| !self.groups.contains_key(g))
            .collect();
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
                let bitmap = job.spec().task_count.min(CHUNK) as usize / 4 + 16;
                job_bytes = size_of(&job.record)
                    + 512
                    + bitmap * (1 + job.spec().extra_chunks().min(1) as usize);
            }
        }
        // While machines of a slice are being copied from a group that is too large, its term changes with
        // every step: whoever plans on a copy of before then fails.
        let owners = needs.groups.iter().map(|(k, _)| Key::Own(*k));
        let wanted: Vec<Key> = needs.conditions.iter().cloned().chain(owners).collect();
        let new_conditions = wanted
            .iter()
            .filter(|c| !self.conditions.contains(c))
            .count();
        // Everything written is a condition as well.
        let all = ops + self.conditions.len() + new_conditions;
        if ops > self.limits.ops || all > self.limits.conditions {
            return false;
        }
        let groups: Vec<((Slice, Part), GroupEdit)> = new_groups
            .into_iter()
            .map(|(k, n)| {
                let record = self.view.groups[k]
                    .get(&n)
                    .map(|g| g.value.clone())
                    .unwrap_or_default();
                let record = GroupRecord {
                    terse: self.terse,
                    ..record
                };
                let bytes = size_of(&record);
                (
                    (k, n),
                    GroupEdit {
                        record,
                        bytes,
                        most: self.limits.most(bytes),
                        pruned: false,
                    },
                )
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
            (
                k,
                UsageEdit {
                    record,
                    bytes: bytes + SPARE_BYTES,
                },
            )
        });
        let too_large = |bytes: usize| bytes > self.limits.taken_bytes;
        if groups.iter().any(|(_, g)| too_large(g.bytes))
            || usage
                .as_ref()
                .is_some_and(|(_, u)| too_large(u.bytes - SPARE_BYTES))
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
        if let Some(id) = needs
            .job
            .map(|(id, _)| id)
            .filter(|id| !self.jobs.contains_key(id))
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
            self.jobs.insert(
                id,
                JobEdit {
                    record,
                    chunks: BTreeMap::new(),
                    ended: None,
                },
            );
        }
        self.conditions.extend(wanted);
        true
    }

    /// Whether ends that are kept beside their job's record still say something: not those of a job that has ended
    /// itself, and not those that its record has.
    fn is_needed(&self, id: &JobId, ends: &Finished) -> bool {
        self.view
            .jobs
            .get(id)
            .is_some_and(|j| !j.record.finished.covers(ends))
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
            g.record
                .machines
                .values_mut()
                .for_each(|r| r.forget_images(FEW_IMAGES));
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
        let parts = self
            .view
            .groups
            .iter()
            .enumerate()
            .flat_map(|(k, parts)| parts.iter().map(move |(n, g)| ((k, *n), g)));
        parts
            .map(|(at, g)| (at, self.groups.get(&at).map_or(&g.value, |e| &e.record)))
            .flat_map(|(at, g)| g.machines.iter().map(move |(m, r)| (at, *m, r)))
    }

    /// What a team of a slice would have booked.
    pub fn used(&self, k: Slice, team: &str) -> (u64, u64) {
        if !self.fenced {
            return self
                .usage
                .get(&k)
                .map_or(&self.view.usage[k].value, |u| &u.record)
                .of(team);
        }
        let (booked, [more, less]) = (
            self.view.used(k, team),
            self.moved.get(team).copied().unwrap_or_default(),
        );
        (
            (booked.0 + more.0).saturating_sub(less.0),
            (booked.1 + more.1).saturating_sub(less.1),
        )
    }

    /// The transaction: every record that it writes is a condition.
    pub fn commit(self) -> Commit {
        let mut commit = Commit {
            txn: Txn::default(),
            changes: Vec::new(),
            ended: Vec::new(),
        };
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
            commit.txn.then.push(Put {
                key: key.clone(),
                value,
                lease_id: None,
            });
            commit.changes.push(Change {
                key,
                content,
                mod_revision: 0,
            });
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
                let known = self.view.mod_revision(&Key::Chunk(id, n)) > 0;
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
            commit.txn.then.push(Put {
                key: Key::Final(id),
                value: encode(&f),
                lease_id: None,
            });
            conditions.insert(Key::Final(id));
            commit.ended.push((id, f));
        }
        commit.txn.when = conditions
            .into_iter()
            .map(|k| (self.view.mod_revision(&k), k))
            .map(|(s, k)| (k, s))
            .collect();
        commit
    }
}
