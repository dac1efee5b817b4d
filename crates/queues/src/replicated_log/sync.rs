//! Reads: brings the replica up to date with the segments at the state service.

use super::segment::{Segment, SegmentError};
use super::{ClosedSegment, MAX_RETRY_DELAY, ReplicatedLog, SyncPhase};
use crate::time::Micros;

const MIN_RETRY_DELAY: Micros = 200_000;
/// The retry delay is doubled at most this often.
const MAX_RETRY_DOUBLINGS: u32 = 5;

impl ReplicatedLog {
    pub(super) fn update_backoff(&mut self, now: Micros, failed: bool) {
        if !failed {
            self.consecutive_failures = 0;
            return;
        }
        let doublings = self.consecutive_failures.min(MAX_RETRY_DOUBLINGS);
        self.consecutive_failures += 1;
        self.not_before = now + (MIN_RETRY_DELAY << doublings).min(MAX_RETRY_DELAY);
    }

    /// Reads the segment again after a delay, since what another version of the program wrote is never overwritten.
    pub(super) fn on_undecodable_segment(
        &mut self,
        now: Micros,
        segment: &str,
        error: &SegmentError,
    ) {
        tracing::error!(segment, %error, "cannot decode a log segment");
        self.not_before = now + MAX_RETRY_DELAY;
        self.phase = SyncPhase::Stale;
    }

    pub(super) fn load_open(&mut self, open: Segment, revision: u64) {
        if let Some(next) = self.replica.first_missing(&open) {
            self.phase = SyncPhase::CatchingUp {
                next,
                open,
                revision,
            };
            return;
        }
        self.replica.load_open(open, revision);
        self.last_completed_read = self.reads_started;
        self.phase = SyncPhase::Current;
    }

    pub(super) fn load_closed(
        &mut self,
        now: Micros,
        segments: Vec<ClosedSegment>,
        has_more: bool,
    ) {
        let phase = std::mem::replace(&mut self.phase, SyncPhase::Stale);
        let SyncPhase::CatchingUp {
            mut next,
            open,
            revision,
        } = phase
        else {
            self.phase = phase;
            return;
        };
        for closed in segments {
            // A gap means that a segment was removed meanwhile: the open segment has to be read again.
            if closed.number != next || next >= open.number {
                break;
            }
            match Segment::decode(&closed.text) {
                Ok(segment) => self.replica.load_closed(next, segment),
                Err(error) => return self.on_undecodable_segment(now, "closed", &error),
            }
            next += 1;
        }
        if next >= open.number {
            self.load_open(open, revision);
        } else if has_more {
            self.phase = SyncPhase::CatchingUp {
                next,
                open,
                revision,
            };
        }
    }
}
