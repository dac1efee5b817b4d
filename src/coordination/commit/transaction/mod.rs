//! A transaction in the making: edited copies of records, with their conditions.

mod assignments;
pub mod compaction;
mod completions;
#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;

use crate::protocol::state::{Put, Txn, encode};
use crate::storage::cell_state::{CellState, Change, Content, Job};
use crate::storage::completion_bitmap::{CHUNK, CompletionBitmap};
use crate::storage::ids::{Attempt, GroupIndex, JobId, MachineId, ShardId};
use crate::storage::job::{FinalRecord, JobRecord};
use crate::storage::records::{GroupRecord, Key, MachineRecord, ShardLeaderRecord, UsageRecord};
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
    chunks: BTreeMap<u32, CompletionBitmap>,
    ended: Option<FinalRecord>,
}

/// The draft.
#[derive(Clone, Debug)]
pub struct TransactionBuilder<'a> {
    cell: &'a CellState,
    limits: Limits,
    groups: BTreeMap<(ShardId, GroupIndex), GroupEdit>,
    /// Machines that it adds.
    added: BTreeMap<MachineId, (ShardId, GroupIndex)>,
    /// Bytes that the machines of a group will take once they are full.
    expected: BTreeMap<(ShardId, GroupIndex), usize>,
    usage: BTreeMap<ShardId, UsageEdit>,
    /// Cores and accelerators that teams would have booked more, and less.
    moved: BTreeMap<&'a str, [(u64, u64); 2]>,
    jobs: BTreeMap<JobId, JobEdit>,
    removed_chunks: BTreeSet<(JobId, u32)>,
    conditions: BTreeSet<Key>,
    bytes: usize,
    /// The terser written forms are understood by all.
    terse: bool,
    /// What is booked is told by the groups alone: see [`CellState::fenced`].
    fenced: bool,
    /// A slice whose term it raises, and the owner.
    raise: Option<(ShardId, ShardLeaderRecord)>,
}

/// A finished draft: the transaction, and what it changes in the copy when it succeeds.
#[derive(Debug)]
pub struct PlannedTransaction {
    /// The transaction.
    pub txn: Txn,
    /// Its changes; their stamps are set when it has one.
    pub changes: Vec<Change>,
    /// Jobs that it ends.
    pub ended: Vec<(JobId, FinalRecord)>,
}

/// An attempt of a task, and the machine that it is assigned to.
#[derive(Clone, Copy, Debug)]
pub struct MachineAttempt {
    /// The machine.
    pub machine: MachineId,
    /// The attempt.
    pub attempt: Attempt,
}

/// Records that an edit needs.
#[derive(Clone, Copy, Debug, Default)]
struct Needs<'a> {
    groups: &'a [(ShardId, GroupIndex)],
    usage: Option<ShardId>,
    /// A job, and the changes that it takes beyond that of its record.
    job: Option<(JobId, usize)>,
    conditions: &'a [Key],
}

fn size_of<T: serde::Serialize>(value: &T) -> usize {
    encode(value).map_or(0, |r| r.get().len())
}

impl<'a> TransactionBuilder<'a> {
    /// An empty draft on the copy.
    pub fn new(cell: &'a CellState, limits: Limits) -> TransactionBuilder<'a> {
        TransactionBuilder {
            cell,
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
            terse: cell.terse(),
            fenced: cell.fenced(),
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
    pub fn writes_group(&self, at: (ShardId, GroupIndex)) -> bool {
        self.groups.contains_key(&at)
    }

    /// Whether it writes this slice's usage already.
    pub fn writes_usage(&self, k: ShardId) -> bool {
        self.usage.contains_key(&k)
    }

    /// Whether clearing this booking writes only records that it writes already, or that nobody else writes.
    pub fn covers(&self, m: MachineId, a: Attempt) -> bool {
        let id = a.task.job;
        let writes_usage = |job: &Job| self.writes_usage(self.cell.shard_of_job(id, job.spec()));
        self.home(m).is_some_and(|at| self.writes_group(at))
            && (self.fenced || self.cell.jobs.get(&id).is_some_and(writes_usage))
    }

    /// Makes sure that the records can be edited within the limits; changes nothing otherwise.
    fn reserve(&mut self, needs: Needs<'_>) -> bool {
        let mut ops = self.ops();
        let new_groups: Vec<(ShardId, GroupIndex)> = needs
            .groups
            .iter()
            .copied()
            .filter(|g| !self.groups.contains_key(g))
            .collect();
        let new_usage = needs.usage.filter(|k| !self.usage.contains_key(k));
        ops += new_groups.len() + usize::from(new_usage.is_some());
        let mut job_bytes = 0;
        if let Some((id, more)) = needs.job
            && let Some(job) = self.cell.jobs.get(&id)
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
        let owners = needs.groups.iter().map(|(k, _)| Key::ShardLeader(*k));
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
        let groups: Vec<((ShardId, GroupIndex), GroupEdit)> = new_groups
            .into_iter()
            .map(|(k, n)| {
                let record = self.cell.groups[k]
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
            let mut record = self.cell.usage[k].value.clone();
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
            && let Some(job) = self.cell.jobs.get(&id)
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
    fn is_needed(&self, id: &JobId, ends: &CompletionBitmap) -> bool {
        self.cell
            .jobs
            .get(id)
            .is_some_and(|j| !j.record.finished.covers(ends))
    }

    /// Makes sure that a group may grow by some bytes, and still leaves `spare`.
    fn grow(&mut self, at: (ShardId, GroupIndex), by: usize, spare: usize) -> bool {
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
    fn home(&self, m: MachineId) -> Option<(ShardId, GroupIndex)> {
        self.added.get(&m).copied().or_else(|| self.cell.home(m))
    }

    /// The machine as this draft would leave it.
    pub fn machine(&self, m: MachineId) -> Option<&MachineRecord> {
        match self.groups.get(&self.home(m)?) {
            Some(g) => g.record.machines.get(&m),
            None => self.cell.machine(m),
        }
    }

    fn machine_mut(&mut self, m: MachineId) -> Option<&mut MachineRecord> {
        let at = self.home(m)?;
        self.groups.get_mut(&at)?.record.machines.get_mut(&m)
    }

    /// All machines of the copy as this draft would leave them, with the groups that hold them.
    pub fn machines(
        &self,
    ) -> impl Iterator<Item = ((ShardId, GroupIndex), MachineId, &MachineRecord)> {
        let parts = self
            .cell
            .groups
            .iter()
            .enumerate()
            .flat_map(|(k, parts)| parts.iter().map(move |(n, g)| ((k, *n), g)));
        parts
            .map(|(at, g)| (at, self.groups.get(&at).map_or(&g.value, |e| &e.record)))
            .flat_map(|(at, g)| g.machines.iter().map(move |(m, r)| (at, *m, r)))
    }

    /// What a team of a slice would have booked.
    pub fn used(&self, k: ShardId, team: &str) -> (u64, u64) {
        if !self.fenced {
            return self
                .usage
                .get(&k)
                .map_or(&self.cell.usage[k].value, |u| &u.record)
                .of(team);
        }
        let (assigned, [more, less]) = (
            self.cell.used(k, team),
            self.moved.get(team).copied().unwrap_or_default(),
        );
        (
            (assigned.0 + more.0).saturating_sub(less.0),
            (assigned.1 + more.1).saturating_sub(less.1),
        )
    }

    /// The transaction: every record that it writes is a condition.
    pub fn commit(self) -> PlannedTransaction {
        let mut commit = PlannedTransaction {
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
                Some(Content::ShardLeader(o)) => encode(o),
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
        if let Some((k, leader_record)) = self.raise {
            put(
                Key::ShardLeader(k),
                Some(Content::ShardLeader(leader_record)),
            );
        }
        for (id, n) in self.removed_chunks {
            put(Key::Chunk(id, n), None);
        }
        let mut finals = Vec::new();
        for (id, mut edit) in self.jobs {
            edit.record.finished.terse(self.terse);
            for (n, mut chunk) in edit.chunks {
                chunk.terse(self.terse);
                let known = self.cell.mod_revision(&Key::Chunk(id, n)) > 0;
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
            .map(|k| (self.cell.mod_revision(&k), k))
            .map(|(s, k)| (k, s))
            .collect();
        commit
    }
}
