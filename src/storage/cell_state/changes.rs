//! Changes of records, and how they are applied to the replica.

use super::{CellState, Versioned};
use crate::storage::catalog::Catalog;
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::{GroupIndex, JobId, MachineId, ShardId};
use crate::storage::job::{FinalRecord, JobRecord};
use crate::storage::records::{
    FleetRecord, GroupRecord, Key, MetaRecord, NodeRecord, ShardLeaderRecord, UsageRecord,
};
use cometlead_constraints::RuleSet;
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
    /// A further chunk of a job's completion bitmap.
    Chunk(CompletionBitmap),
    /// A rule set; `None` if this version of the software cannot read it.
    Rules(Option<Arc<RuleSet>>),
}

/// One change of one key.
#[derive(Clone, Debug)]
pub struct Change {
    /// The key.
    pub key: Key,
    /// New content of the key's record; `None` if the key was removed.
    pub content: Option<Content>,
    /// Revision of the change.
    pub mod_revision: u64,
}

/// A job that is no longer live.
#[derive(Clone, Debug)]
pub struct EndedJob {
    /// The job.
    pub job: JobId,
    /// How it ended, if that is known.
    pub outcome: Option<FinalRecord>,
    /// Job class.
    pub job_class: String,
    /// Team.
    pub team: String,
}

/// What applied changes affected, for the parts of the controller that react to changes.
#[derive(Clone, Debug, Default)]
pub struct CellChanges {
    /// Shards whose leader changed.
    pub leaders: Vec<ShardId>,
    /// Machines that were added, changed or removed.
    pub machines: Vec<MachineId>,
    /// Whether usage or machine types changed.
    pub usage: bool,
    /// Jobs that were added, changed or removed.
    pub jobs: Vec<JobId>,
    /// Jobs whose records were removed.
    pub ended: Vec<EndedJob>,
    /// Whether a controller joined, changed or left.
    pub nodes: bool,
    /// Whether rules, or the machine types that they refer to, changed.
    pub rules: bool,
}

impl CellState {
    /// Applies changes in order, and adds what they affect to `changes_seen`.
    ///
    /// Skips changes that are already applied and those up to the replica's revision: the response to a commit of this
    /// controller may arrive long after the watch delivered that commit and later ones, and must not restore a job that
    /// has ended since.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = Change>,
        changes_seen: &mut CellChanges,
    ) {
        for change in changes {
            if self.is_applied(&change) {
                continue;
            }
            self.latest = self.latest.max(change.mod_revision);
            self.apply_change(change, changes_seen);
        }
    }

    /// Marks all changes up to `revision` as applied.
    pub fn advance(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.latest = self.latest.max(revision);
            self.removed_keys
                .retain(|_, removed_at| *removed_at > revision);
        }
    }

    fn is_applied(&self, change: &Change) -> bool {
        let known = self.revision.max(self.mod_revision(&change.key));
        change.mod_revision <= known
            || self
                .removed_keys
                .get(&change.key)
                .is_some_and(|removed_at| change.mod_revision <= *removed_at)
    }

    fn apply_change(&mut self, change: Change, changes_seen: &mut CellChanges) {
        if matches!(change.key, Key::Group(..) | Key::Job(_)) {
            self.assigned_by_team.invalidate();
        }
        match change.content {
            Some(content) => self.put(change.key, content, change.mod_revision, changes_seen),
            None => {
                self.removed_keys
                    .insert(change.key.clone(), change.mod_revision);
                self.remove(change.key, changes_seen);
            }
        }
    }

    /// Stores a record's new content. Ignores content of another kind than its key, and the records of ended jobs,
    /// which the replica does not keep.
    fn put(
        &mut self,
        key: Key,
        content: Content,
        mod_revision: u64,
        changes_seen: &mut CellChanges,
    ) {
        match (key, content) {
            (Key::Meta, Content::Meta(meta)) => self.put_meta(meta, mod_revision),
            (Key::Types, Content::Types(catalog)) => {
                self.put_catalog(catalog, mod_revision, changes_seen);
            }
            (Key::TypesPart(part), Content::Types(catalog)) => {
                self.put_catalog_part(part, catalog, mod_revision, changes_seen);
            }
            (Key::Fleet, Content::Fleet(fleet)) => {
                self.fleet = Versioned::new(fleet, mod_revision);
            }
            (Key::Rules(digest), Content::Rules(rules)) => {
                self.rules
                    .insert(digest, Versioned::new(rules, mod_revision));
                changes_seen.rules = true;
            }
            (Key::Node(name), Content::Node(node)) => {
                self.nodes.insert(name, Versioned::new(node, mod_revision));
                changes_seen.nodes = true;
            }
            (Key::ShardLeader(shard), Content::ShardLeader(leader)) => {
                self.set_leader(
                    shard,
                    Versioned::new(Some(leader), mod_revision),
                    changes_seen,
                );
            }
            (Key::Group(shard, group), Content::Group(record)) => {
                let record = Versioned::new(record, mod_revision);
                self.set_group(shard, group, Some(record), changes_seen);
            }
            (Key::Usage(shard), Content::Usage(usage)) => {
                self.set_usage(shard, Versioned::new(usage, mod_revision), changes_seen);
            }
            (Key::Job(id), Content::Job(record)) => {
                self.put_job(id, Versioned::new(*record, mod_revision), changes_seen);
            }
            (Key::Chunk(id, chunk), Content::Chunk(bitmap)) => {
                self.put_chunk(id, chunk, Versioned::new(bitmap, mod_revision));
                changes_seen.jobs.push(id);
            }
            _ => {}
        }
    }

    /// Removes a record. The number of shards, the first machine types and the fleet record are never removed.
    fn remove(&mut self, key: Key, changes_seen: &mut CellChanges) {
        match key {
            Key::TypesPart(part) => self.remove_catalog_part(part, changes_seen),
            Key::Rules(digest) => {
                self.rules.remove(&digest);
                changes_seen.rules = true;
            }
            Key::Node(name) => {
                self.nodes.remove(&name);
                changes_seen.nodes = true;
            }
            Key::ShardLeader(shard) => {
                self.set_leader(shard, Versioned::default(), changes_seen);
            }
            Key::Group(shard, group) => self.set_group(shard, group, None, changes_seen),
            Key::Usage(shard) => self.set_usage(shard, Versioned::default(), changes_seen),
            Key::Job(id) => self.remove_job(id, changes_seen),
            Key::Chunk(id, chunk) => self.remove_chunk(id, chunk),
            Key::Meta | Key::Types | Key::Fleet | Key::Final(_) => {}
        }
    }

    fn put_meta(&mut self, meta: MetaRecord, mod_revision: u64) {
        let last_shard = meta.shards.saturating_sub(1);
        self.meta = Versioned::new(Some(meta), mod_revision);
        self.ensure_shard(last_shard);
    }

    fn set_leader(
        &mut self,
        shard: ShardId,
        leader: Versioned<Option<ShardLeaderRecord>>,
        changes_seen: &mut CellChanges,
    ) {
        self.ensure_shard(shard);
        self.leaders[shard] = leader;
        changes_seen.leaders.push(shard);
    }

    fn set_group(
        &mut self,
        shard: ShardId,
        group: GroupIndex,
        record: Option<Versioned<GroupRecord>>,
        changes_seen: &mut CellChanges,
    ) {
        self.ensure_shard(shard);
        self.replace_group(shard, group, record, changes_seen);
    }

    fn set_usage(
        &mut self,
        shard: ShardId,
        usage: Versioned<UsageRecord>,
        changes_seen: &mut CellChanges,
    ) {
        self.ensure_shard(shard);
        let old = std::mem::replace(&mut self.usage[shard], usage);
        self.update_recorded_finished_tasks(shard, &old.value.finished_tasks, changes_seen);
        changes_seen.usage = true;
    }
}
