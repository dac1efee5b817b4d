//! The replica of the cell state: listed in pages once, then kept current by a watch and by read barriers.

mod barrier;
mod changes;
mod listing;
mod watch;

use crate::coordination::{CallId, Controller};
use crate::time::Micros;
use barrier::ReadBarrier;
use listing::Listing;
use watch::Watch;

/// From this age of the last contact on, an answer with all changes since may be large. Longer than a watch that is
/// answered in its time can make contact look.
const FAR_BEHIND: Micros = Micros::secs(4);

/// A read that was answered within this time makes the replica fresh.
const FRESH_PERIOD: Micros = Micros::millis(8);

/// How far the replica has come, and the reads that bring it forward.
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
    /// A listing is to begin.
    #[default]
    Empty,
    /// Pages are being read.
    Listing,
    /// All pages are read; the first changes make the replica consistent.
    Listed,
    /// Complete and consistent.
    Ready,
}

/// What the reads that were applied prove.
#[derive(Debug, Default)]
struct ReadProgress {
    /// When the last completed read was sent.
    contact: Micros,
    /// The contact before the last applied read: what that read brought happened after it.
    previous_contact: Micros,
    /// When a read was last answered.
    answered: Micros,
    /// Every read up to this call has been answered, or a later one has.
    newest_call: u64,
}

impl ReadProgress {
    fn on_read(&mut self, id: CallId, sent: Micros, now: Micros) {
        self.previous_contact = self.contact;
        self.contact = self.contact.max(sent);
        self.answered = now;
        self.newest_call = self.newest_call.max(id.0);
    }
}

impl Replica {
    /// Whether the replica is complete and consistent.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// When the last completed read was sent, on the steady clock.
    pub fn last_contact(&self) -> Micros {
        self.progress.contact
    }

    /// What the last applied read brought happened after this time.
    pub fn previous_contact(&self) -> Micros {
        self.progress.previous_contact
    }

    /// Requests a read that begins now or later.
    pub fn request_barrier(&mut self) {
        self.barrier.request();
    }

    /// Requests a read that begins now or later, for queries alone: it may wait a little for others to share it, or for
    /// the watch.
    pub fn request_read(&mut self) {
        self.barrier.request_for_queries();
    }

    /// Whether the replica is as new as can be: a watch is in flight, which would have brought anything that changed
    /// since it was sent, or a read was answered just now.
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

    /// Whether the replica was so far behind at a time that an answer with all changes since may be large. Then there is
    /// one read at a time, for each would bring the same.
    fn is_far_behind(&self, at: Micros) -> bool {
        self.is_ready() && at.since(self.progress.contact) > FAR_BEHIND
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
