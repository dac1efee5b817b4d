//! Collects changes into a batch that fits into one segment.

use super::change::{Change, ChangeOutcome, ConsumerChange, EntryChange};
use super::replica::Replica;
use super::segment::{MAX_CLAIMANTS, Segment, SegmentEntry};
use crate::message::MessageKey;
use crate::progress::{ConsumerId, ConsumerState, VersionedEntry};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Whether a change is still to be written.
pub(super) enum Assessment {
    /// Its condition holds.
    Pending,
    /// It was written already, or its condition cannot hold any more.
    Settled(ChangeOutcome),
}

/// The log as it will be after the changes collected so far.
pub(super) struct Preview<'a> {
    replica: &'a Replica,
    consumers: BTreeMap<ConsumerId, ConsumerState>,
    entries: HashMap<MessageKey, VersionedEntry>,
    claimants: BTreeSet<ConsumerId>,
    /// Upper bound on the entries of the segment.
    entry_count: usize,
}

impl<'a> Preview<'a> {
    /// A preview that begins with a segment with these entries.
    pub fn new(replica: &'a Replica, segment: &[SegmentEntry]) -> Preview<'a> {
        Preview {
            replica,
            consumers: replica.consumers().clone(),
            entries: HashMap::new(),
            claimants: segment.iter().filter_map(|e| e.entry.claimant()).collect(),
            entry_count: segment.len(),
        }
    }

    /// Whether the change is still to be written.
    pub fn assess(&self, change: &Change) -> Assessment {
        match change {
            Change::Entry(change) => self.assess_entry(change),
            Change::Consumer(change) => self.assess_consumer(change),
        }
    }

    fn assess_entry(&self, change: &EntryChange) -> Assessment {
        let previewed = self.entries.get(&change.key).copied();
        let current = previewed.or_else(|| self.replica.entry(change.key));
        let target = change.resulting_entry();
        let settled = |written_version| {
            Assessment::Settled(ChangeOutcome::Entry {
                key: change.key,
                written_version,
            })
        };
        match current {
            Some(current)
                if current.version == target.version
                    && current.entry.has_same_meaning(target.entry) =>
            {
                settled(Some(current.version))
            }
            current if current.map_or(0, |c| c.version) == change.expected_version => {
                Assessment::Pending
            }
            _ => settled(None),
        }
    }

    fn assess_consumer(&self, change: &ConsumerChange) -> Assessment {
        let current = self.consumers.get(&change.consumer).copied();
        if current == change.from && current != change.to {
            return Assessment::Pending;
        }
        Assessment::Settled(ChangeOutcome::Consumer {
            consumer: change.consumer,
            succeeded: current == change.to,
        })
    }

    /// Applies the change to the preview.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Entry(change) => {
                self.claimants.extend(change.entry.claimant());
                self.entries.insert(change.key, change.resulting_entry());
                self.entry_count += 1;
            }
            Change::Consumer(change) => change.apply(&mut self.consumers),
        }
    }

    /// Whether the segment may have more bytes than a value at the state service, or too many claimants.
    pub fn exceeds_limits(&self, max_value_bytes: usize) -> bool {
        let claimants = self.claimants.len();
        let bytes = Segment::max_encoded_bytes(self.consumers.len(), claimants, self.entry_count);
        bytes > max_value_bytes || claimants > MAX_CLAIMANTS
    }
}

/// Applies changes to a segment that is about to be written.
pub(super) fn apply_to_segment(segment: &mut Segment, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Entry(change) => {
                let VersionedEntry { entry, version } = change.resulting_entry();
                segment.entries.retain(|e| e.key != change.key);
                segment.entries.push(SegmentEntry {
                    key: change.key,
                    version,
                    entry,
                });
            }
            Change::Consumer(change) => change.apply(&mut segment.consumers),
        }
    }
}
