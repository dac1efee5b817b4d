//! The local copy of everything that the log contains.

use super::change::{Change, EntryChange};
use super::segment::{Segment, SegmentEntry};
use crate::message::MessageKey;
use crate::progress::{ConsumerId, ConsumerState, ProgressEntry, VersionedEntry};
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Clone, Copy, Debug)]
struct StoredEntry {
    versioned: VersionedEntry,
    /// Number of the segment that holds it.
    segment: u64,
}

/// Local copy of the log.
#[derive(Debug, Default)]
pub(super) struct Replica {
    entries: HashMap<MessageKey, StoredEntry>,
    consumers: BTreeMap<ConsumerId, ConsumerState>,
    /// Revision of the open segment; 0 if there is none.
    open_revision: u64,
    /// Number of the open segment.
    open_number: u64,
    /// Messages whose newest entry is in the open segment.
    open_keys: BTreeSet<MessageKey>,
    /// First closed segment that is kept.
    first_kept: u64,
    /// Closed segments below this number are loaded.
    loaded_until: u64,
    /// When the newest entry of each closed segment was written, in seconds.
    newest_entry_s: BTreeMap<u64, u64>,
    /// Value of `first_kept` when expired entries were last dropped.
    dropped_until: u64,
}

impl Replica {
    pub fn entry(&self, key: MessageKey) -> Option<VersionedEntry> {
        self.entries.get(&key).map(|stored| stored.versioned)
    }

    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    pub fn consumers(&self) -> &BTreeMap<ConsumerId, ConsumerState> {
        &self.consumers
    }

    pub fn open_revision(&self) -> u64 {
        self.open_revision
    }

    pub fn open_number(&self) -> u64 {
        self.open_number
    }

    pub fn first_kept(&self) -> u64 {
        self.first_kept
    }

    /// Whether any entry is a claim of this consumer. Scans all entries.
    pub fn has_claims_of(&self, consumer: ConsumerId) -> bool {
        let mut entries = self.entries.values();
        entries.any(|stored| stored.versioned.entry.claimant() == Some(consumer))
    }

    /// The entries of the open segment.
    pub fn open_entries(&self) -> Vec<SegmentEntry> {
        let entry = |key: &MessageKey| {
            self.entry(*key).map(|versioned| SegmentEntry {
                key: *key,
                version: versioned.version,
                entry: versioned.entry,
            })
        };
        self.open_keys.iter().filter_map(entry).collect()
    }

    /// The first closed segment that has to be read before this open segment can be loaded.
    pub fn first_missing(&self, open: &Segment) -> Option<u64> {
        let from = self.loaded_until.max(open.first_kept);
        (from < open.number).then_some(from)
    }

    /// Loads an open segment whose closed predecessors are all loaded.
    pub fn load_open(&mut self, segment: Segment, revision: u64) {
        self.open_revision = revision;
        self.open_number = segment.number;
        self.loaded_until = segment.number;
        self.first_kept = segment.first_kept;
        self.consumers = segment.consumers;
        self.open_keys.clear();
        for entry in segment.entries {
            self.load_entry(entry, segment.number);
        }
        self.drop_expired();
    }

    /// Loads a closed segment.
    pub fn load_closed(&mut self, number: u64, segment: Segment) {
        let written = segment.entries.iter().map(|e| e.entry.written_at_s());
        let newest = written.max().unwrap_or_default();
        self.newest_entry_s.insert(number, newest);
        for entry in segment.entries {
            self.load_entry(entry, number);
        }
        self.loaded_until = number + 1;
    }

    fn load_entry(&mut self, entry: SegmentEntry, segment: u64) {
        let known = self.entries.get(&entry.key);
        if known.is_none_or(|stored| stored.versioned.version <= entry.version) {
            let versioned = VersionedEntry {
                entry: entry.entry,
                version: entry.version,
            };
            let stored = StoredEntry { versioned, segment };
            self.entries.insert(entry.key, stored);
        }
        if segment == self.open_number {
            self.open_keys.insert(entry.key);
        }
    }

    /// Closes the open segment and begins an empty one.
    pub fn close_open_segment(&mut self) {
        let entries = self.open_keys.iter().filter_map(|key| self.entry(*key));
        let newest = entries
            .map(|versioned| versioned.entry.written_at_s())
            .max();
        self.newest_entry_s
            .insert(self.open_number, newest.unwrap_or_default());
        self.open_keys.clear();
        self.open_number += 1;
        self.loaded_until = self.open_number;
    }

    /// Applies changes that were written to the open segment at this revision.
    pub fn apply(&mut self, changes: &[Change], revision: u64) {
        self.open_revision = revision;
        for change in changes {
            match change {
                Change::Entry(change) => self.apply_entry(change),
                Change::Consumer(change) => change.apply(&mut self.consumers),
            }
        }
    }

    fn apply_entry(&mut self, change: &EntryChange) {
        let stored = StoredEntry {
            versioned: change.resulting_entry(),
            segment: self.open_number,
        };
        self.entries.insert(change.key, stored);
        self.open_keys.insert(change.key);
    }

    /// Forgets a closed segment that was removed, and all entries in it.
    pub fn remove_segment(&mut self, number: u64) {
        self.first_kept = number + 1;
        self.drop_expired();
    }

    fn drop_expired(&mut self) {
        let first = self.first_kept;
        if first > std::mem::replace(&mut self.dropped_until, first) {
            self.newest_entry_s.retain(|number, _| *number >= first);
            self.entries.retain(|_, stored| stored.segment >= first);
        }
    }

    /// The oldest closed segment, if all its entries were written before this time.
    pub fn oldest_segment_written_before(&self, before_s: u64) -> Option<u64> {
        let (number, newest_s) = self.newest_entry_s.first_key_value()?;
        (*newest_s < before_s && *number == self.first_kept).then_some(*number)
    }

    /// Whether a segment holds a claim of a registered consumer, whose receipts may still settle it.
    pub fn has_unsettled_claims(&self, segment: u64) -> bool {
        let is_unsettled_claim = |entry: ProgressEntry| {
            let claimant = entry.claimant();
            claimant.is_some_and(|by| self.consumers.contains_key(&by))
        };
        let mut entries = self.entries.values().filter(|e| e.segment == segment);
        entries.any(|stored| is_unsettled_claim(stored.versioned.entry))
    }
}
