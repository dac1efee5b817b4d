//! The replicated log: each process holds a full replica of all progress entries and writes them in batches by
//! compare-and-swap.
//!
//! Entries are appended to one open segment at the state service, on condition that the segment still has the revision
//! that this replica knows. A full segment is closed, and a new one is opened, in the same transaction. After a
//! conflict, a process reads what others have added, checks its own changes again, and retries those whose conditions
//! still hold. A batch therefore costs one write, one more if it closes a segment, and one more if it removes an expired
//! one, whatever it contains. No process ever reads a single entry.
//!
//! A batch without a response may still be carried out, but only while the open segment is unchanged; the next batch
//! depends on the same revision. So at most one of the two is carried out, and a change that turns out to be in
//! the log already counts as written.

mod batch;
mod change;
mod protocol;
mod replica;
mod segment;
mod sync;
mod writes;

pub use change::ChangeOutcome;
pub use protocol::{ClosedSegment, CompareAndSwap, OpenSegment, StateRequest, StateResponse};
pub use segment::SegmentError;

use crate::message::MessageKey;
use crate::progress::{ConsumerId, ConsumerState, ProgressEntry, VersionedEntry};
use crate::rate_limiter::RateLimiter;
use crate::time::{Micros, SECOND};
use change::{Change, ConsumerChange, EntryChange};
use replica::Replica;
use segment::Segment;
use std::collections::{BTreeMap, VecDeque};

/// Longest delay before a request is repeated.
const MAX_RETRY_DELAY: Micros = 5 * SECOND;
/// How often the replica is searched for expired segments.
const EXPIRY_INTERVAL: Micros = 10 * SECOND;

/// Limits of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Largest value at the state service, in bytes.
    pub max_value_bytes: usize,
    /// Most batches a second. A batch is one write, one more if it closes a segment, one more if it removes one.
    pub batches_per_s: u32,
    /// Shortest time for which entries are kept.
    pub retention: Micros,
}

/// Synchronization state of the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SyncPhase {
    /// The open segment has to be read.
    Stale,
    /// The open segment was read; closed segments before it have to be read.
    CatchingUp {
        /// Number of the next closed segment to read.
        next: u64,
        open: Segment,
        revision: u64,
    },
    /// No newer state of the log is known.
    Current,
}

/// A batch without a response yet.
#[derive(Debug)]
struct BatchInFlight {
    changes: Vec<Change>,
    closes_segment: bool,
    removed_segment: Option<u64>,
    /// Its changes are not retried, since nothing waits for them any more.
    is_abandoned: bool,
}

/// A process's replica of the log, with the changes that wait to be written.
///
/// Pure logic: [`next_request`](Self::next_request) returns the request to send to the state service, and
/// [`handle_response`](Self::handle_response) handles the response to it.
#[derive(Debug)]
pub struct ReplicatedLog {
    limits: LogLimits,
    replica: Replica,
    phase: SyncPhase,
    request_in_flight: bool,
    /// No request is sent before this time.
    not_before: Micros,
    consecutive_failures: u32,
    /// Number of reads of the open segment that were started.
    reads_started: u64,
    /// Number of the last read that was completed.
    last_completed_read: u64,
    /// Number of the read that [`refresh`](Self::refresh) requested last.
    requested_read: u64,
    batch_rate: RateLimiter,
    pending_changes: VecDeque<Change>,
    batch_in_flight: Option<BatchInFlight>,
    outcomes: Vec<ChangeOutcome>,
    last_expiry_check: Micros,
    applied_batches: u64,
    conflicts: u64,
}

impl ReplicatedLog {
    /// An empty replica, which first reads the log.
    pub fn new(limits: LogLimits) -> ReplicatedLog {
        ReplicatedLog {
            limits,
            replica: Replica::default(),
            phase: SyncPhase::Stale,
            request_in_flight: false,
            not_before: 0,
            consecutive_failures: 0,
            reads_started: 0,
            last_completed_read: 0,
            requested_read: 0,
            batch_rate: RateLimiter::new(limits.batches_per_s),
            pending_changes: VecDeque::new(),
            batch_in_flight: None,
            outcomes: Vec::new(),
            last_expiry_check: 0,
            applied_batches: 0,
            conflicts: 0,
        }
    }

    /// A message's entry in this replica.
    pub fn entry(&self, key: MessageKey) -> Option<VersionedEntry> {
        self.replica.entry(key)
    }

    /// All registered consumers with their states.
    pub fn consumers(&self) -> &BTreeMap<ConsumerId, ConsumerState> {
        self.replica.consumers()
    }

    /// The state of a consumer; `None` if it is not registered.
    pub fn consumer_state(&self, consumer: ConsumerId) -> Option<ConsumerState> {
        self.replica.consumers().get(&consumer).copied()
    }

    /// Whether any entry is a claim of this consumer. Scans all entries.
    pub fn has_claims_of(&self, consumer: ConsumerId) -> bool {
        self.replica.has_claims_of(consumer)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.replica.entry_count()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of batches that were written.
    pub fn applied_batches(&self) -> u64 {
        self.applied_batches
    }

    /// Number of batches that were not written because the open segment had changed.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Queues a compare-and-swap of a message's entry: it must have this version, or not exist if that is 0.
    pub fn write_entry(&mut self, key: MessageKey, expected_version: u16, entry: ProgressEntry) {
        self.pending_changes.push_back(Change::Entry(EntryChange {
            key,
            expected_version,
            entry,
        }));
    }

    /// Queues a compare-and-swap of a consumer's state. `None` stands for a consumer that is not registered.
    pub fn change_consumer(
        &mut self,
        consumer: ConsumerId,
        from: Option<ConsumerState>,
        to: Option<ConsumerState>,
    ) {
        let change = ConsumerChange { consumer, from, to };
        self.pending_changes.push_back(Change::Consumer(change));
    }

    /// Requests a read of everything that others have written until now.
    ///
    /// A replica that writes nothing has no conflicts, so it would not notice the writes of others. The returned number
    /// identifies the read for [`has_completed_read`](Self::has_completed_read).
    pub fn refresh(&mut self) -> u64 {
        // The response to a read in flight may be older than this call, so another read is needed.
        self.requested_read = self.reads_started + 1;
        self.requested_read
    }

    /// Whether the read with a number that [`refresh`](Self::refresh) returned is completed.
    pub fn has_completed_read(&self, number: u64) -> bool {
        self.phase == SyncPhase::Current && self.last_completed_read >= number
    }

    /// Discards queued changes, except for deregistrations of consumers.
    pub fn abandon_changes(&mut self) {
        self.pending_changes.retain(Change::is_deregistration);
        // A batch in flight may still be written and is then part of the log; but it is not retried.
        if let Some(batch) = &mut self.batch_in_flight {
            batch.is_abandoned = true;
        }
    }

    /// Removes and returns the outcomes of changes.
    pub fn take_outcomes(&mut self) -> Vec<ChangeOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// When [`next_request`](Self::next_request) may have a request next; [`Micros::MAX`] while one is in flight.
    pub fn next_wake(&self) -> Micros {
        if self.request_in_flight {
            return Micros::MAX;
        }
        if self.phase != SyncPhase::Current || self.last_completed_read < self.requested_read {
            return self.not_before;
        }
        let batch_at = self.not_before.max(self.batch_rate.next_permitted_at());
        if self.pending_changes.is_empty() {
            batch_at.max(self.last_expiry_check + EXPIRY_INTERVAL)
        } else {
            batch_at
        }
    }

    /// The next request to the state service, if one is to be sent now.
    pub fn next_request(&mut self, now: Micros) -> Option<StateRequest> {
        if self.request_in_flight || now < self.not_before {
            return None;
        }
        let request = match self.phase {
            SyncPhase::CatchingUp { next, .. } => StateRequest::ReadClosedSegments { from: next },
            SyncPhase::Current if self.last_completed_read >= self.requested_read => {
                StateRequest::CompareAndSwap(self.next_batch(now)?)
            }
            SyncPhase::Stale | SyncPhase::Current => {
                self.reads_started += 1;
                StateRequest::ReadOpenSegment
            }
        };
        self.request_in_flight = true;
        Some(request)
    }

    /// Handles the response to the request in flight.
    pub fn handle_response(&mut self, now: Micros, response: StateResponse) {
        self.request_in_flight = false;
        self.update_backoff(now, response == StateResponse::NoResponse);
        match response {
            StateResponse::OpenSegment(None) => self.load_open(Segment::default(), 0),
            StateResponse::OpenSegment(Some(open)) => match Segment::decode(&open.text) {
                Ok(segment) => self.load_open(segment, open.revision),
                Err(error) => self.on_undecodable_segment(now, "open", &error),
            },
            StateResponse::ClosedSegments { segments, has_more } => {
                self.load_closed(now, segments, has_more);
            }
            StateResponse::Applied { revision } => self.on_batch_applied(revision),
            StateResponse::Conflict => {
                self.conflicts += 1;
                self.retry_batch();
            }
            StateResponse::NoResponse if self.batch_in_flight.is_some() => self.retry_batch(),
            StateResponse::NoResponse => {}
        }
    }
}
