//! The records that an edit requires. They are opened only if the whole edit is within the limits.

use super::edits::{GroupEdit, UsageEdit, fit_images};
use super::job_records::max_job_edit_bytes;
use super::limits::max_values_bytes;
use super::{GroupId, TransactionBuilder};
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::{JobId, ShardId};
use crate::storage::records::{GroupRecord, Key};

/// A job whose record an edit requires.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequiredJob {
    pub id: JobId,
    /// Changes that the edit takes in addition to that of the job's record.
    pub more_changes: usize,
}

/// Bytes by which an edit lets a group grow, and bytes that must be free then.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupGrowth {
    pub group: GroupId,
    pub bytes: usize,
    pub spare: usize,
    /// Number of the attempt that is added; the record's other attempts may take more bytes with it.
    pub attempt_number: u64,
}

/// Records that an edit requires.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequiredRecords<'a> {
    pub groups: &'a [GroupId],
    /// How one of the groups grows.
    pub growth: Option<GroupGrowth>,
    pub usage: Option<ShardId>,
    pub job: Option<RequiredJob>,
    pub conditions: &'a [Key],
}

impl RequiredRecords<'_> {
    /// Keys that must not have changed. They include the leader records of the groups' shards: while
    /// machines of a shard are copied from an oversized group, every step changes the shard's term, so
    /// that a plan on an earlier replica fails.
    fn all_conditions(&self) -> Vec<Key> {
        let leaders = self
            .groups
            .iter()
            .map(|(shard, _)| Key::ShardLeader(*shard));
        self.conditions.iter().cloned().chain(leaders).collect()
    }
}

/// Records that an edit requires and that the transaction does not write yet.
struct MissingRecords {
    groups: Vec<GroupId>,
    usage: Option<ShardId>,
    /// Changes that the edit adds.
    changes: usize,
    /// Upper bound of the bytes that the edit adds for its job.
    job_bytes: usize,
}

/// Copies of records that are opened together.
struct OpenedRecords {
    groups: Vec<(GroupId, GroupEdit)>,
    usage: Option<(ShardId, UsageEdit)>,
}

impl OpenedRecords {
    fn bytes(&self) -> usize {
        let groups: usize = self.groups.iter().map(|(_, edit)| edit.bytes).sum();
        groups + self.usage.as_ref().map_or(0, |(_, edit)| edit.bytes)
    }

    fn has_record_larger_than(&self, max_bytes: usize) -> bool {
        self.groups_larger_than(max_bytes).next().is_some()
            || self
                .usage
                .as_ref()
                .is_some_and(|(_, edit)| edit.record_bytes() > max_bytes)
    }

    fn groups_larger_than(&self, max_bytes: usize) -> impl Iterator<Item = GroupId> + '_ {
        let groups = self.groups.iter();
        groups
            .filter(move |(_, edit)| edit.bytes > max_bytes)
            .map(|(group, _)| *group)
    }
}

impl TransactionBuilder<'_> {
    /// Opens the required records if the edit is within the limits; otherwise returns false and changes
    /// nothing.
    pub(super) fn reserve(&mut self, required: RequiredRecords<'_>) -> bool {
        let missing = self.missing_records(&required);
        let conditions = required.all_conditions();
        let changes_after = self.changes() + missing.changes;
        let conditions_after = self.conditions_after(changes_after, &conditions);
        if !self.is_within_counts(changes_after, conditions_after) {
            return false;
        }
        let mut opened = self.open_records(&missing);
        if opened.has_record_larger_than(self.limits.stored_value_bytes) {
            let too_large = opened.groups_larger_than(self.limits.stored_value_bytes);
            self.groups_without_room.extend(too_large);
            return false;
        }
        let growth_bytes = required.growth.map_or(0, |growth| growth.bytes);
        let bytes = self.bytes + opened.bytes() + missing.job_bytes + growth_bytes;
        if bytes > max_values_bytes(changes_after, conditions_after) {
            return false;
        }
        if let Some(growth) = required.growth
            && !self.grow_required(&mut opened, growth)
        {
            self.groups_without_room.insert(growth.group);
            return false;
        }
        self.bytes = bytes;
        self.groups.extend(opened.groups);
        self.usage.extend(opened.usage);
        if let Some(job) = required.job {
            self.open_job(job.id);
        }
        self.conditions.extend(conditions);
        true
    }

    /// Lets a group grow that is open, or about to be; false if its record has no room.
    fn grow_required(&mut self, opened: &mut OpenedRecords, growth: GroupGrowth) -> bool {
        let opened = opened.groups.iter_mut();
        let edit = opened
            .filter(|(group, _)| *group == growth.group)
            .map(|(_, edit)| edit)
            .chain(self.groups.get_mut(&growth.group))
            .next();
        edit.is_some_and(|edit| {
            let bytes = growth.bytes + edit.record.max_renumbering_bytes(growth.attempt_number);
            let has_room = edit.ensure_capacity(bytes, growth.spare, self.compact_encoding);
            if has_room {
                edit.bytes += bytes;
            }
            has_room
        })
    }

    fn missing_records(&self, required: &RequiredRecords<'_>) -> MissingRecords {
        let groups: Vec<GroupId> = required
            .groups
            .iter()
            .copied()
            .filter(|group| !self.groups.contains_key(group))
            .collect();
        let usage = required
            .usage
            .filter(|shard| !self.usage.contains_key(shard));
        let mut missing = MissingRecords {
            changes: groups.len() + usize::from(usage.is_some()),
            groups,
            usage,
            job_bytes: 0,
        };
        if let Some(need) = required.job
            && let Some(job) = self.cell.jobs.get(&need.id)
        {
            missing.changes += need.more_changes;
            if !self.jobs.contains_key(&need.id) {
                missing.changes += 1 + usize::from(self.writes_detached_chunk(job));
                missing.job_bytes = max_job_edit_bytes(job);
            }
        }
        missing
    }

    /// Whether the limits allow this many changes and conditions.
    pub(super) fn is_within_counts(&self, changes: usize, conditions: usize) -> bool {
        changes <= self.limits.changes && conditions <= self.limits.conditions
    }

    /// Most conditions that the transaction has with this many changes and these additional conditions.
    pub(super) fn conditions_after(&self, changes: usize, additional: &[Key]) -> usize {
        let new_conditions = additional
            .iter()
            .filter(|key| !self.conditions.contains(key))
            .count();
        // Every written key is a condition as well.
        changes + self.conditions.len() + new_conditions
    }

    fn open_records(&self, missing: &MissingRecords) -> OpenedRecords {
        OpenedRecords {
            groups: missing
                .groups
                .iter()
                .map(|group| (*group, self.open_group(*group)))
                .collect(),
            usage: missing.usage.map(|shard| (shard, self.open_usage(shard))),
        }
    }

    fn open_group(&self, (shard, index): GroupId) -> GroupEdit {
        let record = self.cell.groups[shard]
            .get(&index)
            .map(|group| group.value.clone())
            .unwrap_or_default();
        let mut record = GroupRecord {
            compact_encoding: self.compact_encoding,
            ..record
        };
        let bytes = fit_images(&mut record, self.limits.stored_value_bytes);
        GroupEdit::new(record, bytes, self.limits.max_bytes(bytes))
    }

    fn open_usage(&self, shard: ShardId) -> UsageEdit {
        let mut record = self.cell.usage[shard].value.clone();
        record
            .finished_tasks
            .retain(|id, ends| self.has_unrecorded_completions(*id, ends));
        for ends in record.finished_tasks.values_mut() {
            ends.set_compact_encoding(self.compact_encoding);
        }
        if self.usage_from_groups {
            record.teams.clear();
        }
        UsageEdit::new(record)
    }

    /// Whether completions in a usage record are still needed: their job has not ended, and its own
    /// record does not contain all of them.
    fn has_unrecorded_completions(&self, id: JobId, ends: &CompletionBitmap) -> bool {
        self.cell
            .jobs
            .get(&id)
            .is_some_and(|job| !job.record.finished.covers(ends))
    }

    /// Lets a group grow by this many bytes if that leaves `spare` bytes free; false otherwise.
    pub(super) fn grow(&mut self, group: GroupId, growth: usize, spare: usize) -> bool {
        let changes = self.changes();
        let max_bytes = max_values_bytes(changes, self.conditions_after(changes, &[]));
        let Some(edit) = self.groups.get_mut(&group) else {
            return false;
        };
        if !edit.ensure_capacity(growth, spare, self.compact_encoding) {
            self.groups_without_room.insert(group);
            return false;
        }
        if self.bytes + growth > max_bytes {
            return false;
        }
        edit.bytes += growth;
        self.bytes += growth;
        true
    }
}
