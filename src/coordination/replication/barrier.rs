//! Read barriers: reads that are answered at once, for components that need everything that is committed by now.

use crate::coordination::{CallId, Controller, Purpose};
use crate::protocol::state::StateRequest;
use crate::time::Micros;

/// Minimum time between two barriers.
const MIN_BARRIER_INTERVAL: Micros = Micros::millis(60);

/// Minimum time between two barriers that only queries need; queries may wait for up to two seconds.
const MIN_QUERY_BARRIER_INTERVAL: Micros = Micros::millis(180);

/// Delay after a failed barrier.
const RETRY_DELAY: Micros = Micros::millis(250);

/// Once a query has waited for this long, a barrier is sent for it even if that leaves no request budget for other
/// requests.
const FULL_BUDGET_QUERY_WAIT: Micros = Micros::millis(700);

/// What kind of requests a barrier is requested for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Urgency {
    /// Only queries.
    Queries,
    /// At least one request that changes something or that delays work.
    Urgent,
}

/// The barrier in flight, and the requests for the next one.
#[derive(Debug, Default)]
pub(super) struct ReadBarrier {
    in_flight: Option<CallId>,
    requested: bool,
    requested_for_queries: bool,
    next: Micros,
    next_for_queries: Micros,
}

impl ReadBarrier {
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    pub(super) fn request_for_queries(&mut self) {
        self.requested_for_queries = true;
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    pub(super) fn on_answered(&mut self, id: CallId) {
        if self.in_flight == Some(id) {
            self.in_flight = None;
        }
    }

    pub(super) fn on_failed(&mut self, now: Micros) {
        self.requested = true;
        self.next = now + RETRY_DELAY;
    }

    fn on_sent(&mut self, id: CallId, now: Micros) {
        self.in_flight = Some(id);
        self.requested = false;
        self.requested_for_queries = false;
        self.next = now + MIN_BARRIER_INTERVAL;
        self.next_for_queries = now + MIN_QUERY_BARRIER_INTERVAL;
    }

    fn urgency(&self) -> Option<Urgency> {
        if self.requested {
            Some(Urgency::Urgent)
        } else if self.requested_for_queries {
            Some(Urgency::Queries)
        } else {
            None
        }
    }

    fn due(&self, urgency: Urgency) -> Micros {
        match urgency {
            Urgency::Urgent => self.next,
            Urgency::Queries => self.next_for_queries.max(self.next),
        }
    }
}

impl Controller {
    /// Sends the next barrier if one is requested and due.
    pub(super) fn drive_barrier(&mut self) {
        let now = self.now.monotonic;
        let Some(urgency) = self.replica.barrier.urgency() else {
            return;
        };
        if self.replica.barrier.is_in_flight()
            || !self.replica.is_ready()
            || self.is_catch_up_in_flight()
        {
            return;
        }
        let due = self.replica.barrier.due(urgency);
        if now < due {
            self.wake_at(due);
            return;
        }
        let reserve = self.barrier_reserve(urgency);
        if let Err(affordable_at) = self.budget.spend(now, 0, reserve) {
            self.wake_at(affordable_at);
            return;
        }
        let request = StateRequest::Changes {
            after: self.cell.revision,
            wait: Micros::ZERO,
        };
        let id = self.send_state_request(Purpose::Barrier, request);
        self.replica.barrier.on_sent(id, now);
    }

    /// Whether the replica is far behind and a watch in flight, sent when it already was, will return all changes since.
    fn is_catch_up_in_flight(&self) -> bool {
        let replica = &self.replica;
        let sent = replica.watch.sent();
        replica.is_far_behind(self.now.monotonic)
            && sent.is_some_and(|sent| replica.is_far_behind(sent))
    }

    /// Fraction of the request budget that a barrier leaves to other requests.
    fn barrier_reserve(&self, urgency: Urgency) -> f64 {
        match urgency {
            Urgency::Queries if self.can_queries_wait() => Self::QUERY_RESERVE_FRACTION,
            _ => 0.0,
        }
    }

    /// Whether all queries can wait longer: none has waited for [`FULL_BUDGET_QUERY_WAIT`].
    fn can_queries_wait(&self) -> bool {
        let oldest = self.users.oldest_pending_read(self.now.monotonic);
        oldest.is_none_or(|waited| waited < FULL_BUDGET_QUERY_WAIT)
    }
}

#[cfg(test)]
mod tests;
