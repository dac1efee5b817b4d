//! Writes: collects pending changes into batches, and handles their results.

use super::batch::{self, Assessment, Preview};
use super::change::Change;
use super::segment::{Segment, SegmentEntry, SegmentRole};
use super::{
    BatchInFlight, ChangeOutcome, ClosedSegment, CompareAndSwap, EXPIRY_INTERVAL, MAX_RETRY_DELAY,
    ReplicatedLog, SyncPhase,
};
use crate::time::{Micros, SECOND};

impl ReplicatedLog {
    /// Requeues a batch that was not written, or possibly not: its changes are checked again after a read.
    pub(super) fn retry_batch(&mut self) {
        if let Some(batch) = self.batch_in_flight.take() {
            let should_retry = |change: &Change| !batch.is_abandoned || change.is_deregistration();
            self.requeue(batch.changes.iter().copied().filter(should_retry));
        }
        self.phase = SyncPhase::Stale;
    }

    /// Puts changes back to the front of the queue, in their order.
    fn requeue(&mut self, changes: impl DoubleEndedIterator<Item = Change>) {
        for change in changes.rev() {
            self.pending_changes.push_front(change);
        }
    }

    /// Collects pending changes whose conditions still hold, as many as one segment has room for.
    pub(super) fn next_batch(&mut self, now: Micros) -> Option<CompareAndSwap> {
        if !self.batch_rate.is_permitted(now) {
            return None;
        }
        let removed_segment = self.expired_segment(now);
        if self.pending_changes.is_empty() && removed_segment.is_none() {
            return None;
        }
        let open_entries = self.replica.open_entries();
        let (mut changes, mut is_full) = self.collect_changes(&open_entries);
        // Changes that do not fit next to the entries of the open segment begin a new one.
        let closes_segment = is_full && !open_entries.is_empty();
        if closes_segment {
            self.requeue(changes.into_iter());
            (changes, is_full) = self.collect_changes(&[]);
        }
        if is_full && changes.is_empty() {
            let consumers = self.consumers().len();
            tracing::error!(
                consumers,
                "too many registered consumers for one log segment"
            );
            self.not_before = now + MAX_RETRY_DELAY;
        }
        if changes.is_empty() && removed_segment.is_none() {
            return None;
        }
        self.batch_rate.record(now);
        let batch = BatchInFlight {
            changes,
            closes_segment,
            removed_segment,
            is_abandoned: false,
        };
        let request = self.encode_batch(&batch, open_entries);
        self.batch_in_flight = Some(batch);
        Some(request)
    }

    /// Takes pending changes until a segment that begins with these entries is full. Also returns whether it is full.
    fn collect_changes(&mut self, segment: &[SegmentEntry]) -> (Vec<Change>, bool) {
        let mut preview = Preview::new(&self.replica, segment);
        let mut changes = Vec::new();
        while let Some(change) = self.pending_changes.pop_front() {
            if let Assessment::Settled(outcome) = preview.assess(&change) {
                self.outcomes.push(outcome);
                continue;
            }
            preview.apply(&change);
            // Deregistrations free space, so they are accepted even if the segment is full.
            let exceeds_limits = preview.exceeds_limits(self.limits.max_value_bytes);
            if exceeds_limits && !change.is_deregistration() {
                self.pending_changes.push_front(change);
                return (changes, true);
            }
            changes.push(change);
        }
        (changes, false)
    }

    fn encode_batch(
        &self,
        batch: &BatchInFlight,
        open_entries: Vec<SegmentEntry>,
    ) -> CompareAndSwap {
        let number = self.replica.open_number();
        let old = Segment {
            entries: open_entries,
            ..Segment::default()
        };
        let close = batch.closes_segment.then(|| ClosedSegment {
            number,
            text: old.encode(SegmentRole::Closed),
        });
        let mut open = Segment {
            first_kept: batch
                .removed_segment
                .map_or(self.replica.first_kept(), |r| r + 1),
            number: number + u64::from(batch.closes_segment),
            consumers: self.consumers().clone(),
            entries: if batch.closes_segment {
                Vec::new()
            } else {
                old.entries
            },
        };
        batch::apply_to_segment(&mut open, &batch.changes);
        CompareAndSwap {
            expected_revision: self.replica.open_revision(),
            open: open.encode(SegmentRole::Open),
            close,
            remove: batch.removed_segment,
        }
    }

    /// The oldest closed segment, if all its entries are expired and none can be settled any more.
    fn expired_segment(&mut self, now: Micros) -> Option<u64> {
        if now < self.last_expiry_check + EXPIRY_INTERVAL {
            return None;
        }
        self.last_expiry_check = now;
        let expired_before_s = now.saturating_sub(self.limits.retention) / SECOND;
        let number = self
            .replica
            .oldest_segment_written_before(expired_before_s)?;
        if self.replica.has_unsettled_claims(number) {
            return None;
        }
        // The next segment may have expired as well: check again at once.
        self.last_expiry_check = now - EXPIRY_INTERVAL;
        Some(number)
    }

    pub(super) fn on_batch_applied(&mut self, revision: u64) {
        self.applied_batches += 1;
        let Some(batch) = self.batch_in_flight.take() else {
            self.phase = SyncPhase::Stale;
            return;
        };
        if batch.closes_segment {
            self.replica.close_open_segment();
        }
        self.replica.apply(&batch.changes, revision);
        self.outcomes
            .extend(batch.changes.iter().map(written_outcome));
        if let Some(number) = batch.removed_segment {
            self.replica.remove_segment(number);
        }
    }
}

fn written_outcome(change: &Change) -> ChangeOutcome {
    match change {
        Change::Entry(change) => ChangeOutcome::Entry {
            key: change.key,
            written_version: Some(change.resulting_entry().version),
        },
        Change::Consumer(change) => ChangeOutcome::Consumer {
            consumer: change.consumer,
            succeeded: true,
        },
    }
}
