//! The private copy of the whole state.
//!
//! It is brought forward by the watch, one consistent epoch at a time, and by the controller's own
//! commits. The latter may run ahead of the watch: every commit that books a slice's jobs writes that
//! slice's usage record conditionally, and every record is written on the revision that the copy has of it. So a
//! commit that succeeded proves that the copy had missed no booking of that slice, and nothing of what it wrote.

use crate::storage::catalog::{Catalog, MachineType};
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::dependency_graph::{DependencyGraph, DependencyState};
use crate::storage::ids::{GroupIndex, JobId, MachineId, ShardId, TaskId};
use crate::storage::job::{FinalRecord, JobRecord, JobSpec};
pub use crate::storage::live_job::{Job, Versioned};
use crate::storage::machine_classes::Classes;
use crate::storage::records::{
    Assignment, FENCED, FIRST_LAYOUT, FleetRecord, GroupRecord, Key, MachineHealth, MachineRecord,
    MetaRecord, NodeRecord, ShardLeaderRecord, TERSE, UsageRecord,
};
use crate::storage::resources::Amount;
use crate::time::Micros;
use cometlead_constraints::RuleSet;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A record's new content.
#[derive(Clone, Debug)]
pub enum Content {
    /// See [`MetaRecord`].
    Meta(MetaRecord),
    /// See [`Catalog`].
    Types(Catalog),
    /// See [`FleetRecord`].
    Fleet(FleetRecord),
    /// See [`NodeRecord`].
    Node(NodeRecord),
    /// See [`ShardLeaderRecord`].
    ShardLeader(ShardLeaderRecord),
    /// See [`GroupRecord`].
    Group(GroupRecord),
    /// See [`UsageRecord`].
    Usage(UsageRecord),
    /// See [`JobRecord`].
    Job(Box<JobRecord>),
    /// A chunk of a finished set.
    Chunk(CompletionBitmap),
    /// Rules; `None` if they are written in a way that this version does not understand.
    Rules(Option<Arc<RuleSet>>),
}

/// One change of one key; `None` removes it.
#[derive(Clone, Debug)]
pub struct Change {
    /// The key.
    pub key: Key,
    /// Its new content.
    pub content: Option<Content>,
    /// Revision of the change.
    pub mod_revision: u64,
}

/// Where a task is booked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The machine.
    pub machine: MachineId,
    /// The attempt's number.
    pub number: u64,
}

/// A job that is live no more.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The job.
    pub job: JobId,
    /// How it ended, where that is known.
    pub how: Option<FinalRecord>,
    /// Its class.
    pub job_class: String,
    /// Its team.
    pub team: String,
}

/// What applying changes did, for those who must act on it.
#[derive(Clone, Debug, Default)]
pub struct CellChanges {
    /// Slices whose owner changed.
    pub leaders: Vec<ShardId>,
    /// Machines that came, changed or went.
    pub machines: Vec<MachineId>,
    /// Slices whose usage changed.
    pub usage: bool,
    /// Jobs that came, changed or went.
    pub jobs: Vec<JobId>,
    /// Jobs whose records were removed.
    pub ended: Vec<Ended>,
    /// A controller came or went.
    pub nodes: bool,
    /// Rules, or what they are judged by, changed.
    pub rules: bool,
}

/// Takes a machine's bookings out of the index.
fn unindex(
    assigned: &mut HashMap<JobId, BTreeMap<u32, Place>>,
    m: MachineId,
    record: &MachineRecord,
) {
    for Assignment(job, index, number) in &record.tasks {
        let place = Place {
            machine: m,
            number: *number,
        };
        if let Some(tasks) = assigned.get_mut(&JobId(*job)) {
            // A task that moved is indexed at its new place already.
            if tasks.get(index) == Some(&place) {
                tasks.remove(index);
            }
            if tasks.is_empty() {
                assigned.remove(&JobId(*job));
            }
        }
    }
}

/// The private copy.
#[derive(Debug, Default)]
pub struct CellState {
    /// The time of day, as its controller last told it.
    pub today: Micros,
    /// All changes up to this revision are in.
    pub revision: u64,
    /// The latest revision of which anything is in.
    pub latest: u64,
    /// Slices and teams.
    pub meta: Versioned<Option<MetaRecord>>,
    /// Machine types.
    pub types: Versioned<Option<Catalog>>,
    /// The fleet's plan.
    pub fleet: Versioned<FleetRecord>,
    /// Live controllers.
    pub nodes: BTreeMap<String, Versioned<NodeRecord>>,
    /// Owners, by slice.
    pub leaders: Vec<Versioned<Option<ShardLeaderRecord>>>,
    /// Groups, by slice and part.
    pub groups: Vec<BTreeMap<GroupIndex, Versioned<GroupRecord>>>,
    /// Usage, by slice.
    pub usage: Vec<Versioned<UsageRecord>>,
    /// Live jobs.
    pub jobs: HashMap<JobId, Job>,
    /// Which of them await which.
    pub dependencies: DependencyGraph,
    /// Sets of rules, by digest.
    pub rules: BTreeMap<u64, Versioned<Option<Arc<RuleSet>>>>,
    /// Classes of equal machines.
    pub classes: Classes,
    parts: HashMap<MachineId, GroupIndex>,
    /// Machines that a lower part still lists although they were copied to a higher one, with that part.
    stale: HashMap<MachineId, GroupIndex>,
    assigned: HashMap<JobId, BTreeMap<u32, Place>>,
    /// What teams have booked, added up when it is asked for.
    used: OnceCell<HashMap<String, (u64, u64)>>,
    gone: HashMap<Key, u64>,
}

impl CellState {
    /// Number of slices, once known.
    pub fn shards(&self) -> usize {
        self.meta.value.as_ref().map_or(0, |m| m.shards)
    }

    fn size_for(&mut self, k: ShardId) {
        let n = (k + 1).max(self.shards());
        if self.leaders.len() < n {
            self.leaders.resize_with(n, Default::default);
            self.groups.resize_with(n, Default::default);
            self.usage.resize_with(n, Default::default);
        }
    }

    /// Slice of a machine.
    pub fn shard_of_machine(&self, m: MachineId) -> ShardId {
        (m.0 % self.shards().max(1) as u64) as ShardId
    }

    /// Slice of a job: by team, or by job where teams have no say.
    pub fn shard_of_job(&self, id: JobId, spec: &JobSpec) -> ShardId {
        let Some(meta) = &self.meta.value else {
            return 0;
        };
        match meta.teams.get(&spec.team) {
            Some(&k) if k < meta.shards => k,
            // The job ids come in no order; a multiplicative hash spreads runs of them too.
            _ => {
                ((id.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) % meta.shards.max(1) as u64)
                    as ShardId
            }
        }
    }

    /// The record that holds a machine.
    pub fn home(&self, m: MachineId) -> Option<(ShardId, GroupIndex)> {
        self.parts.get(&m).map(|n| (self.shard_of_machine(m), *n))
    }

    /// The machine's record.
    pub fn machine(&self, m: MachineId) -> Option<&MachineRecord> {
        let (k, n) = self.home(m)?;
        self.groups.get(k)?.get(&n)?.value.machines.get(&m)
    }

    /// Gives machines that rules name classes of their own.
    pub fn label(&mut self, labelled: BTreeSet<MachineId>) {
        let machines = self
            .groups
            .iter()
            .flat_map(|parts| parts.values())
            .flat_map(|g| &g.value.machines);
        self.classes.label(labelled, machines.map(|(m, r)| (*m, r)));
    }

    /// All machines of all groups.
    pub fn machines(&self) -> impl Iterator<Item = (ShardId, MachineId, &MachineRecord)> {
        (0..self.groups.len()).flat_map(|k| self.machines_of(k).map(move |(m, r)| (k, m, r)))
    }

    /// Those of them that take bookings.
    pub fn machines_up(&self) -> impl Iterator<Item = (MachineId, &MachineRecord)> {
        self.machines()
            .filter(|(_, _, r)| r.health == MachineHealth::Schedulable)
            .map(|(_, m, r)| (m, r))
    }

    /// The machines of a slice.
    pub fn machines_of(&self, k: ShardId) -> impl Iterator<Item = (MachineId, &MachineRecord)> {
        self.groups
            .get(k)
            .into_iter()
            .flat_map(|parts| parts.values())
            .flat_map(|g| g.value.machines.iter().map(|(m, r)| (*m, r)))
    }

    /// The layout of the kept records.
    pub fn layout(&self) -> u32 {
        self.meta.value.as_ref().map_or(FIRST_LAYOUT, |m| m.layout)
    }

    /// Whether every controller understands the terser written forms.
    pub fn terse(&self) -> bool {
        self.layout() >= TERSE
    }

    /// Whether what is booked is told by the groups alone: see [`FENCED`].
    pub fn fenced(&self) -> bool {
        self.layout() >= FENCED
    }

    /// Cores and accelerators that a team has booked, in thousandths; it is in slice `k`.
    ///
    /// Bookings of a slice's jobs are known to the slice's owner, or its next one fails for its condition on the
    /// usage record; of clearings it may know too few. So this is never less than what is booked, and a limit
    /// that it keeps is kept.
    pub fn used(&self, k: ShardId, team: &str) -> (u64, u64) {
        if !self.fenced() {
            return self.usage.get(k).map_or((0, 0), |u| u.value.of(team));
        }
        self.used
            .get_or_init(|| self.add_up())
            .get(team)
            .copied()
            .unwrap_or_default()
    }

    fn add_up(&self) -> HashMap<String, (u64, u64)> {
        let mut used: HashMap<String, (u64, u64)> = HashMap::new();
        for (id, tasks) in &self.assigned {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let (spec, n) = (job.spec(), tasks.len() as u64);
            let more = (n * spec.need.cores, n * spec.need.accelerators);
            match used.get_mut(&spec.team) {
                Some(u) => *u = (u.0 + more.0, u.1 + more.1),
                None => {
                    used.insert(spec.team.clone(), more);
                }
            }
        }
        used
    }

    /// The kept records are of a layout that is not understood, at most this one, and must not be touched.
    pub fn foreign(&self, understood: u32) -> bool {
        !(FIRST_LAYOUT..=understood).contains(&self.layout())
    }

    /// How a job ended that live ones await, and of which that was not known.
    pub fn learn(&mut self, id: JobId, end: FinalRecord, changes_seen: &mut CellChanges) {
        self.dependencies
            .learn(id, end, &mut self.jobs, &mut changes_seen.jobs);
    }

    /// All types that are known.
    pub fn machine_types(&self) -> impl Iterator<Item = &MachineType> {
        self.types.value.iter().flat_map(|c| &c.types)
    }

    /// The type of this name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.value.as_ref()?.get(name)
    }

    /// Where the tasks of a job are booked.
    pub fn assigned(&self, job: JobId) -> Option<&BTreeMap<u32, Place>> {
        self.assigned.get(&job)
    }

    /// How many tasks of a job are booked.
    pub fn assigned_count(&self, job: JobId) -> u32 {
        self.assigned(job).map_or(0, |b| b.len() as u32)
    }

    /// Where a task is booked.
    pub fn place(&self, task: TaskId) -> Option<Place> {
        self.assigned.get(&task.job)?.get(&task.index).copied()
    }

    /// What a task of this job takes; nothing for a job that is not live.
    pub fn need(&self, job: JobId) -> Amount {
        self.jobs
            .get(&job)
            .map(|j| j.record.spec.need)
            .unwrap_or_default()
    }

    /// Room left on a machine beside its bookings; that of preempted ones is given already.
    pub fn free(&self, record: &MachineRecord) -> Amount {
        let mut room = self
            .machine_type(&record.machine_type)
            .map(|t| t.room)
            .unwrap_or_default();
        for b in record
            .tasks
            .iter()
            .filter(|b| !record.preempted.contains(b))
        {
            room -= self.need(JobId(b.0));
        }
        room
    }

    /// Tasks of a job that are neither finished nor booked, in order.
    pub fn pending<'a>(&'a self, id: JobId, job: &'a Job) -> impl Iterator<Item = u32> + 'a {
        let assigned = self.assigned.get(&id);
        (0..job.record.spec.task_count)
            .filter(move |i| !job.finished(*i) && assigned.is_none_or(|b| !b.contains_key(i)))
    }

    /// How many tasks of a job are neither finished nor booked.
    pub fn pending_count(&self, id: JobId, job: &Job) -> u32 {
        job.record
            .spec
            .task_count
            .saturating_sub(job.done() + self.assigned_count(id))
    }

    /// The revision of a key as the copy knows it.
    pub fn mod_revision(&self, key: &Key) -> u64 {
        match key {
            Key::Meta => self.meta.mod_revision,
            Key::Types => self.types.mod_revision,
            Key::Fleet => self.fleet.mod_revision,
            Key::Node(n) => self.nodes.get(n).map_or(0, |s| s.mod_revision),
            Key::ShardLeader(k) => self.leaders.get(*k).map_or(0, |s| s.mod_revision),
            Key::Group(k, n) => self
                .groups
                .get(*k)
                .and_then(|g| g.get(n))
                .map_or(0, |s| s.mod_revision),
            Key::Usage(k) => self.usage.get(*k).map_or(0, |s| s.mod_revision),
            Key::Job(j) => self.jobs.get(j).map_or(0, |s| s.mod_revision),
            Key::Chunk(j, n) => self
                .jobs
                .get(j)
                .and_then(|s| s.chunks.get(n))
                .map_or(0, |c| c.mod_revision),
            Key::Rules(d) => self.rules.get(d).map_or(0, |s| s.mod_revision),
            Key::Final(_) => 0,
        }
    }

    /// Applies changes in order. Those that are in already are passed over; so is everything up to
    /// the copy's epoch: the answer to an own commit may come long after the watch has brought it
    /// and what followed, and must not bring back a job that has ended since.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = Change>,
        changes_seen: &mut CellChanges,
    ) {
        for c in changes {
            let known = self.revision.max(self.mod_revision(&c.key));
            if c.mod_revision <= known
                || self.gone.get(&c.key).is_some_and(|s| c.mod_revision <= *s)
            {
                continue;
            }
            self.latest = self.latest.max(c.mod_revision);
            self.apply_one(c, changes_seen);
        }
    }

    /// Marks all changes up to `revision` as applied.
    pub fn advance(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.latest = self.latest.max(revision);
            self.gone.retain(|_, s| *s > revision);
        }
    }

    fn apply_one(&mut self, c: Change, changes_seen: &mut CellChanges) {
        let mod_revision = if c.content.is_some() {
            c.mod_revision
        } else {
            0
        };
        if matches!(c.key, Key::Group(..) | Key::Job(_)) {
            self.used.take();
        }
        if c.content.is_none() {
            self.gone.insert(c.key.clone(), c.mod_revision);
        }
        match (c.key, c.content) {
            (Key::Meta, Some(Content::Meta(value))) => {
                let last = value.shards.saturating_sub(1);
                self.meta = Versioned {
                    value: Some(value),
                    mod_revision,
                };
                self.size_for(last);
            }
            (Key::Types, Some(Content::Types(value))) => {
                self.classes.offer(&value);
                self.types = Versioned {
                    value: Some(value),
                    mod_revision,
                };
                changes_seen.usage = true;
                changes_seen.rules = true;
            }
            (Key::Rules(digest), Some(Content::Rules(value))) => {
                self.rules.insert(
                    digest,
                    Versioned {
                        value,
                        mod_revision,
                    },
                );
                changes_seen.rules = true;
            }
            (Key::Rules(digest), None) => {
                self.rules.remove(&digest);
                changes_seen.rules = true;
            }
            (Key::Fleet, Some(Content::Fleet(value))) => {
                self.fleet = Versioned {
                    value,
                    mod_revision,
                }
            }
            (Key::Node(name), Some(Content::Node(value))) => {
                self.nodes.insert(
                    name,
                    Versioned {
                        value,
                        mod_revision,
                    },
                );
                changes_seen.nodes = true;
            }
            (Key::Node(name), None) => {
                self.nodes.remove(&name);
                changes_seen.nodes = true;
            }
            (Key::ShardLeader(k), content) => {
                self.size_for(k);
                let value = match content {
                    Some(Content::ShardLeader(o)) => Some(o),
                    _ => None,
                };
                self.leaders[k] = Versioned {
                    value,
                    mod_revision,
                };
                changes_seen.leaders.push(k);
            }
            (Key::Group(k, n), content) => {
                self.size_for(k);
                let value = match content {
                    Some(Content::Group(g)) => Some(Versioned {
                        value: g,
                        mod_revision,
                    }),
                    _ => None,
                };
                self.put_group(k, n, value, changes_seen);
            }
            (Key::Usage(k), content) => {
                self.size_for(k);
                let value = match content {
                    Some(Content::Usage(u)) => u,
                    _ => UsageRecord::default(),
                };
                let old = std::mem::replace(
                    &mut self.usage[k],
                    Versioned {
                        value,
                        mod_revision,
                    },
                );
                self.gather_ends(k, &old.value.ends, changes_seen);
                changes_seen.usage = true;
            }
            (Key::Job(id), Some(Content::Job(record))) => {
                let record = *record;
                match self.jobs.get_mut(&id) {
                    Some(job) => {
                        let cancels = record.cancelled && !job.record.cancelled;
                        job.record = record;
                        job.mod_revision = mod_revision;
                        if cancels {
                            self.dependencies
                                .cancelled(id, &mut self.jobs, &mut changes_seen.jobs);
                        }
                    }
                    None => {
                        let ends = self.kept_ends(id);
                        let chunks = BTreeMap::new();
                        let dependency_state = DependencyState::alone(&record.spec);
                        self.jobs.insert(
                            id,
                            Job {
                                record,
                                mod_revision,
                                chunks,
                                ends,
                                dependency_state,
                            },
                        );
                        self.dependencies
                            .appeared(id, &mut self.jobs, &mut changes_seen.jobs);
                    }
                }
                changes_seen.jobs.push(id);
            }
            (Key::Job(id), None) => {
                if let Some(job) = self.jobs.remove(&id) {
                    let end = self.dependencies.ended(
                        id,
                        &job,
                        self.today,
                        &mut self.jobs,
                        &mut changes_seen.jobs,
                    );
                    let JobSpec {
                        job_class, team, ..
                    } = job.record.spec;
                    changes_seen.ended.push(Ended {
                        job: id,
                        how: end,
                        job_class,
                        team,
                    });
                }
                changes_seen.jobs.push(id);
            }
            (Key::Chunk(id, n), Some(Content::Chunk(value))) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.chunks.insert(
                        n,
                        Versioned {
                            value,
                            mod_revision,
                        },
                    );
                }
            }
            (Key::Chunk(id, n), None) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.chunks.remove(&n);
                }
            }
            _ => {}
        }
    }

    /// Ends of a job's tasks that records other than its own keep. Ends are facts: what several keep is their union.
    fn kept_ends(&self, id: JobId) -> CompletionBitmap {
        let mut kept = self.usage.iter().filter_map(|u| u.value.ends.get(&id));
        let mut all = kept.next().cloned().unwrap_or_default();
        kept.for_each(|ends| all.merge(ends));
        all
    }

    /// A slice's usage record has changed, and kept these ends before.
    fn gather_ends(
        &mut self,
        k: ShardId,
        old: &BTreeMap<JobId, CompletionBitmap>,
        changes_seen: &mut CellChanges,
    ) {
        let new = &self.usage[k].value.ends;
        let changed = new
            .iter()
            .filter(|(id, set)| old.get(id) != Some(set))
            .map(|(id, _)| *id);
        let removed = old.keys().filter(|id| !new.contains_key(id)).copied();
        for id in changed.chain(removed).collect::<Vec<_>>() {
            if !self.jobs.contains_key(&id) {
                continue;
            }
            let ends = self.kept_ends(id);
            if let Some(job) = self.jobs.get_mut(&id)
                && job.ends != ends
            {
                job.ends = ends;
                changes_seen.jobs.push(id);
            }
        }
    }

    /// Whether a lower part of its slice still lists a machine that was copied: it must stay where it is,
    /// or it would be seen there again.
    pub fn is_stale(&self, m: MachineId) -> bool {
        self.stale.contains_key(&m)
    }

    /// Replaces a group, and brings the indexes along for what changed in it.
    ///
    /// Machines go from a part that is too large to higher ones only, and of one that two parts list the
    /// higher part counts: the lower could not be written any more, or was read before it was.
    fn put_group(
        &mut self,
        k: ShardId,
        n: GroupIndex,
        mut new: Option<Versioned<GroupRecord>>,
        changes_seen: &mut CellChanges,
    ) {
        if !self.stale.is_empty() {
            let of_this = |m: &MachineId| (m.0 % self.shards().max(1) as u64) as ShardId == k;
            let again: Vec<MachineId> = self
                .stale
                .iter()
                .filter(|(m, p)| **p == n && of_this(m))
                .map(|(m, _)| *m)
                .collect();
            again.iter().for_each(|m| {
                self.stale.remove(m);
            });
        }
        if let Some(g) = &mut new {
            let (parts, stale) = (&self.parts, &mut self.stale);
            g.value.machines.retain(|m, _| {
                let higher = parts.get(m).is_some_and(|p| *p > n);
                if higher {
                    stale.insert(*m, n);
                }
                !higher
            });
            for m in g.value.machines.keys() {
                if let Some(p) = self.parts.get(m).filter(|p| **p < n).copied() {
                    self.stale.insert(*m, p);
                    let low = self.groups[k]
                        .get_mut(&p)
                        .and_then(|low| low.value.machines.remove(m));
                    low.iter().for_each(|r| unindex(&mut self.assigned, *m, r));
                }
            }
        }
        let old = match new {
            Some(g) => self.groups[k].insert(n, g),
            None => self.groups[k].remove(&n),
        };
        let none = BTreeMap::new();
        let before = old.as_ref().map_or(&none, |g| &g.value.machines);
        let after = self.groups[k].get(&n).map_or(&none, |g| &g.value.machines);
        for (m, record) in before {
            let now = after.get(m);
            if now == Some(record) {
                continue;
            }
            changes_seen.machines.push(*m);
            if self.parts.get(m).is_some_and(|p| *p != n) {
                // It has gone to another part, and is indexed there.
                continue;
            }
            unindex(&mut self.assigned, *m, record);
            if now.is_none() && self.parts.get(m) == Some(&n) {
                self.parts.remove(m);
                self.classes.remove(*m);
            }
        }
        for (m, record) in after {
            let was = before.get(m);
            if was == Some(record) {
                continue;
            }
            if was.is_none() {
                changes_seen.machines.push(*m);
                self.parts.insert(*m, n);
                self.classes.add(*m, record);
            }
            for Assignment(job, index, number) in &record.tasks {
                let place = Place {
                    machine: *m,
                    number: *number,
                };
                self.assigned
                    .entry(JobId(*job))
                    .or_default()
                    .insert(*index, place);
            }
        }
    }

    /// Forgets everything before a full reread; revisions start anew.
    pub fn clear(&mut self) {
        *self = CellState {
            today: self.today,
            ..CellState::default()
        };
    }
}
