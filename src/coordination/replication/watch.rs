//! The watch: a read that the state store answers once something changes or the read's wait time is over.

use crate::coordination::{Controller, Purpose};
use crate::protocol::state::StateRequest;
use crate::time::Micros;

/// Time between a response and the next watch. Without it, every single change would cost a request.
const WATCH_DELAY: Micros = Micros::millis(90);

/// Delay after a failed watch.
const RETRY_DELAY: Micros = Micros::millis(250);

/// Maximum time that the state store waits for a change. It is short enough that the last contact does not look old while
/// nothing changes.
const MAX_WAIT: Micros = Micros::millis(2_000);

/// Fraction of the request budget that a watch leaves to other requests.
const RESERVE_FRACTION: f64 = 0.1;

/// The watch in flight, or when the next one is due.
#[derive(Debug, Default)]
pub(super) struct Watch {
    sent: Option<Micros>,
    next: Micros,
}

impl Watch {
    /// When the watch in flight was sent.
    pub(super) fn sent(&self) -> Option<Micros> {
        self.sent
    }

    pub(super) fn schedule(&mut self, at: Micros) {
        self.next = at;
    }

    pub(super) fn on_answered(&mut self, now: Micros) {
        self.sent = None;
        self.next = now + WATCH_DELAY;
    }

    pub(super) fn on_failed(&mut self, now: Micros) {
        self.next = now + RETRY_DELAY;
    }
}

impl Controller {
    /// Sends the next watch if it is due.
    pub(super) fn drive_watch(&mut self) {
        let now = self.now.monotonic;
        let far_behind = self.replica.is_far_behind(now);
        let watch = &self.replica.watch;
        if watch.sent.is_some() || far_behind && self.replica.barrier.is_in_flight() {
            return;
        }
        if now < watch.next {
            self.wake_at(watch.next);
            return;
        }
        if let Err(affordable_at) = self.budget.spend(now, 0, RESERVE_FRACTION) {
            self.wake_at(affordable_at);
            return;
        }
        let wait = if self.replica.is_ready() && !far_behind {
            MAX_WAIT
        } else {
            Micros::ZERO
        };
        let after = self.cell.revision;
        self.replica.watch.sent = Some(now);
        self.send_state_request(Purpose::Watch, StateRequest::Changes { after, wait });
    }
}
