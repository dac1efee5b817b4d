//! The replicated log: each process holds a full copy of all progress entries and writes them in batches by
//! compare-and-swap.
//!
//! Entries are appended to one open segment at the state service, on condition that the segment still has the revision
//! which this copy knows. A full segment is closed, and a new one is opened, in the same transaction. A process that
//! loses the race reads what others have added, checks its own changes again, and retries those whose conditions still
//! hold. A batch therefore costs one write or two whatever it contains, and no process ever asks for a single entry.
//!
//! A batch without a response may still be carried out, but only while the open segment stays as it is; the next batch
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
/// How often the copy is searched for segments that have expired.
const EXPIRY_INTERVAL: Micros = 10 * SECOND;

/// Limits of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Largest value at the state service, in bytes.
    pub max_value_bytes: usize,
    /// Most batches a second. A batch is one write, one more if it closes a segment, one more if it removes one.
    pub batches_per_s: u32,
    /// How long entries are kept at least.
    pub retention: Micros,
}

/// How far the copy is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SyncPhase {
    /// The open segment has to be read.
    Stale,
    /// The open segment was read; closed ones before it have to be read.
    CatchingUp {
        /// Number of the next one to read.
        next: u64,
        open: Segment,
        revision: u64,
    },
    /// The copy is as new as is known.
    Current,
}

/// A batch without a response yet.
#[derive(Debug)]
struct BatchInFlight {
    changes: Vec<Change>,
    closes_segment: bool,
    removes: Option<u64>,
    /// Its changes are not to be retried, since nobody waits for them any more.
    is_abandoned: bool,
}

/// A process's copy of the log, with its changes that wait to be written.
///
/// Pure logic: [`next_request`](Self::next_request) says what to send to the state service, and
/// [`handle_response`](Self::handle_response) takes what came back.
#[derive(Debug)]
pub struct ReplicatedLog {
    limits: LogLimits,
    replica: Replica,
    phase: SyncPhase,
    request_in_flight: bool,
    /// No request before this time.
    not_before: Micros,
    consecutive_failures: u32,
    /// Reads of the open segment: how many were begun, the last one that was completed, the one that is wanted.
    reads_begun: u64,
    last_completed_read: u64,
    wanted_read: u64,
    batch_rate: RateLimiter,
    pending: VecDeque<Change>,
    batch_in_flight: Option<BatchInFlight>,
    outcomes: Vec<ChangeOutcome>,
    last_expiry_check: Micros,
    applied_batches: u64,
    conflicts: u64,
}

impl ReplicatedLog {
    /// An empty copy, which reads the log first.
    pub fn new(limits: LogLimits) -> ReplicatedLog {
        ReplicatedLog {
            limits,
            replica: Replica::default(),
            phase: SyncPhase::Stale,
            request_in_flight: false,
            not_before: 0,
            consecutive_failures: 0,
            reads_begun: 0,
            last_completed_read: 0,
            wanted_read: 0,
            batch_rate: RateLimiter::new(limits.batches_per_s),
            pending: VecDeque::new(),
            batch_in_flight: None,
            outcomes: Vec::new(),
            last_expiry_check: 0,
            applied_batches: 0,
            conflicts: 0,
        }
    }

    /// A message's entry, as far as this copy knows.
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
        self.pending.push_back(Change::Entry(EntryChange {
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
        self.pending.push_back(Change::Consumer(change));
    }

    /// Requests a read of everything that others have written until now.
    ///
    /// A copy that writes nothing has no conflicts, and so learns nothing otherwise. The returned number tells
    /// [`has_completed_read`](Self::has_completed_read) which read is meant.
    pub fn refresh(&mut self) -> u64 {
        // A read under way may have been answered before now, so another one is needed.
        self.wanted_read = self.reads_begun + 1;
        self.wanted_read
    }

    /// Whether the read that [`refresh`](Self::refresh) returned is completed.
    pub fn has_completed_read(&self, number: u64) -> bool {
        self.phase == SyncPhase::Current && self.last_completed_read >= number
    }

    /// Discards queued changes, except for deregistrations of consumers.
    pub fn abandon_changes(&mut self) {
        self.pending.retain(Change::is_deregistration);
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
        if self.phase != SyncPhase::Current || self.last_completed_read < self.wanted_read {
            return self.not_before;
        }
        let batch_at = self.not_before.max(self.batch_rate.next_permitted_at());
        if self.pending.is_empty() {
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
            SyncPhase::Current if self.last_completed_read >= self.wanted_read => {
                StateRequest::CompareAndSwap(self.next_batch(now)?)
            }
            SyncPhase::Stale | SyncPhase::Current => {
                self.reads_begun += 1;
                StateRequest::ReadOpenSegment
            }
        };
        self.request_in_flight = true;
        Some(request)
    }

    /// Takes the response to the request in flight.
    pub fn handle_response(&mut self, now: Micros, response: StateResponse) {
        self.request_in_flight = false;
        self.update_backoff(now, response == StateResponse::NoResponse);
        match response {
            StateResponse::OpenSegment(None) => self.load_open(Segment::default(), 0),
            StateResponse::OpenSegment(Some(open)) => match Segment::decode(&open.text) {
                Ok(segment) => self.load_open(segment, open.revision),
                Err(error) => self.on_unreadable_segment(now, "open", &error),
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
