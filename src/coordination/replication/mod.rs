//! The replica of the cell state: read once in pages (a listing), then kept current by a watch and by read barriers.

mod barrier;
mod changes;
mod listing;
mod watch;

use crate::coordination::{CallId, Controller};
use crate::time::Micros;
use barrier::ReadBarrier;
use listing::Listing;
use watch::Watch;

/// If the last contact is older than this, a response with all changes since then may be large. The age stays below this
/// while watches are answered in time.
const FAR_BEHIND_CONTACT_AGE: Micros = Micros::secs(4);

/// The replica is fresh if a read was answered within this time.
const FRESH_PERIOD: Micros = Micros::millis(8);

/// How current the replica is, and the reads that keep it current.
#[derive(Debug, Default)]
pub struct Replica {
    phase: Phase,
    progress: ReadProgress,
    listing: Listing,
    watch: Watch,
    barrier: ReadBarrier,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// A listing has to begin.
    #[default]
    Empty,
    /// Pages are being read.
    Listing,
    /// All pages are read; the first changes make the replica consistent.
    Listed,
    /// Complete and consistent.
    Ready,
}

/// What is known from the reads that were applied.
#[derive(Debug, Default)]
struct ReadProgress {
    /// When the last completed read was sent.
    last_contact: Micros,
    /// The contact before the last applied read: the changes in that read happened after it.
    previous_contact: Micros,
    /// When a read was last answered.
    answered: Micros,
    /// The latest call whose read was applied.
    newest_call: u64,
}

impl ReadProgress {
    fn on_read(&mut self, id: CallId, sent: Micros, now: Micros) {
        self.previous_contact = self.last_contact;
        self.last_contact = self.last_contact.max(sent);
        self.answered = now;
        self.newest_call = self.newest_call.max(id.0);
    }
}

impl Replica {
    /// Whether the replica is complete and consistent.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// When the last completed read was sent, in monotonic time.
    pub fn last_contact(&self) -> Micros {
        self.progress.last_contact
    }

    /// The changes in the last applied read happened after this time.
    pub fn previous_contact(&self) -> Micros {
        self.progress.previous_contact
    }

    /// Requests a read that begins now or later.
    pub fn request_barrier(&mut self) {
        self.barrier.request();
    }

    /// Requests a read that begins now or later and is needed by queries alone: it may wait a little so that more queries
    /// share it, or until the watch is answered.
    pub fn request_barrier_for_queries(&mut self) {
        self.barrier.request_for_queries();
    }

    /// Whether the replica is as current as possible: a watch has been in flight for a while and would have returned any
    /// change since it was sent, or a read has just been answered.
    pub fn is_fresh(&self, now: Micros) -> bool {
        let watched = |sent| now.since(sent) >= FRESH_PERIOD;
        self.watch.sent().is_some_and(watched) || now.since(self.progress.answered) < FRESH_PERIOD
    }

    /// Whether a read that began after this call has completed.
    pub fn has_read_since(&self, call: u64) -> bool {
        self.progress.newest_call > call
    }

    /// Whether all pages are read, so that changes can be applied.
    fn is_listed(&self) -> bool {
        matches!(self.phase, Phase::Listed | Phase::Ready)
    }

    /// Whether the replica was so far behind at a time that a response with all changes since then may be large. Then only
    /// one read is in flight at a time, because each would return the same changes.
    fn is_far_behind(&self, at: Micros) -> bool {
        self.is_ready() && at.since(self.progress.last_contact) > FAR_BEHIND_CONTACT_AGE
    }
}

impl Controller {
    /// Sends the reads that are due.
    pub(super) fn drive_replica(&mut self) {
        match self.replica.phase {
            Phase::Empty => self.drive_listing(),
            Phase::Listing => {}
            Phase::Listed | Phase::Ready => {
                self.drive_barrier();
                self.drive_watch();
            }
        }
    }
}
