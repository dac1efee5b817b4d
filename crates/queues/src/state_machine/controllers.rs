//! Requests to the controllers: submissions, cancellations and status queries.

use super::{ControllerResponse, DeliveryStateMachine, Effect, MIN_RETRY_DELAY, RequestId};
use crate::message::{JobRequest, MessageKey};
use crate::pending_message::{PendingMessage, Stage};
use crate::reply::{Outcome, Progress};
use crate::schedule::ScheduledRequest;
use crate::time::{Micros, SECOND};

const MAX_RETRY_DELAY: Micros = 30 * SECOND;
/// The retry delay is doubled at most this often.
const MAX_RETRY_DOUBLINGS: u32 = 6;
/// A job that runs longer than expected is expected to run on for its runtime so far, divided by this number.
const OVERDUE_EXTENSION_DIVISOR: Micros = 8;

impl DeliveryStateMachine {
    /// Sends as many scheduled requests as the limits permit.
    pub(super) fn send_controller_requests(&mut self) {
        let in_flight = self.requests_in_flight.len();
        let free = self.limits.max_requests.saturating_sub(in_flight);
        for key in self.schedule.take(self.now, free) {
            self.last_request_id += 1;
            let request = self.last_request_id;
            let pending = self.messages.get_mut(&key);
            let Some(pending) = pending.filter(|p| p.stage == Stage::Scheduled) else {
                continue;
            };
            let Some(effect) = request_effect(pending, request) else {
                continue;
            };
            self.counters.status_queries += u64::from(matches!(effect, Effect::QueryStatus(..)));
            pending.stage = Stage::RequestInFlight(request);
            self.messages_by_request.insert(request, key);
            self.requests_in_flight.insert(request);
            self.effects.push(effect);
        }
    }

    pub(super) fn on_controller_response(
        &mut self,
        request: RequestId,
        response: ControllerResponse,
    ) {
        self.requests_in_flight.remove(&request);
        let Some(key) = self.messages_by_request.remove(&request) else {
            return;
        };
        let pending = self.messages.get_mut(&key);
        let Some(pending) = pending.filter(|p| p.stage == Stage::RequestInFlight(request)) else {
            return;
        };
        pending.stage = Stage::Scheduled;
        match response {
            ControllerResponse::Live => self.on_live(key),
            ControllerResponse::Ended(outcome) => self.on_ended(key, outcome),
            ControllerResponse::UnknownJob => {
                pending.accepted_at = None;
                let submission = pending.submission();
                self.schedule_retry(key, submission, MIN_RETRY_DELAY);
            }
            ControllerResponse::RetryAfter(delay) => self.on_overload(key, delay),
            ControllerResponse::NoResponse => {
                self.counters.lost_responses += 1;
                let repeated = repeated_request(pending);
                self.schedule_retry(key, repeated, MIN_RETRY_DELAY);
            }
        }
    }

    fn on_live(&mut self, key: MessageKey) {
        let now = self.now;
        let Some(pending) = self.messages.get_mut(&key) else {
            return;
        };
        pending.attempts = 0;
        let is_first = pending.accepted_at.is_none();
        let accepted_at = *pending.accepted_at.get_or_insert(now);
        let expected_end = (accepted_at + pending.estimated_runtime())
            .max(now + (now - accepted_at) / OVERDUE_EXTENSION_DIVISOR);
        if is_first {
            self.counters.accepted += 1;
            self.schedule.submissions.speed_up();
            tracing::info!(job = pending.job(), message = %key, "accepted");
            if pending.is_settled_on_acceptance() {
                self.settle(key);
                return;
            }
            let update = pending.status_update(key, Progress::Accepted);
            self.status_updates.extend(update);
        }
        if !self.is_stopping {
            let query = ScheduledRequest::Query { expected_end };
            self.schedule
                .add(now + self.limits.query_interval, query, key);
        }
    }

    fn on_ended(&mut self, key: MessageKey, outcome: Outcome) {
        let is_first = self
            .messages
            .get(&key)
            .is_some_and(|pending| pending.accepted_at.is_none());
        if is_first && !matches!(outcome, Outcome::Refused(_)) {
            self.counters.accepted += 1;
            self.schedule.submissions.speed_up();
        }
        self.on_outcome(key, outcome);
    }

    fn on_overload(&mut self, key: MessageKey, delay: Micros) {
        self.counters.overload_responses += 1;
        let Some(pending) = self.messages.get_mut(&key) else {
            return;
        };
        if pending.accepted_at.is_none() {
            self.schedule.submissions.slow_down(self.now);
            let update = pending.status_update(key, Progress::Delayed(delay));
            self.status_updates.extend(update);
        }
        let repeated = repeated_request(pending);
        self.schedule_retry(key, repeated, delay.max(MIN_RETRY_DELAY));
    }

    /// Schedules a request again, with a delay that doubles from attempt to attempt.
    fn schedule_retry(&mut self, key: MessageKey, request: ScheduledRequest, min_delay: Micros) {
        let Some(pending) = self.messages.get_mut(&key) else {
            return;
        };
        let doublings = pending.attempts.min(MAX_RETRY_DOUBLINGS);
        pending.attempts += 1;
        let delay_us = (min_delay << doublings).min(MAX_RETRY_DELAY.max(min_delay));
        tracing::debug!(job = pending.job(), message = %key, delay_us, attempts = pending.attempts, "retrying later");
        let at = self.now + self.with_jitter(delay_us);
        if !self.is_stopping {
            self.schedule.add(at, request, key);
        }
    }
}

/// The request that a message needs next; `None` for a message without a valid one.
fn request_effect(pending: &PendingMessage, request: RequestId) -> Option<Effect> {
    let effect = match pending.request.as_ref().ok()? {
        JobRequest::Submit { job, .. } if pending.accepted_at.is_some() => {
            Effect::QueryStatus(request, job.clone())
        }
        JobRequest::Submit { body, .. } => Effect::Submit(request, body.clone()),
        JobRequest::Cancel { job } => Effect::Cancel(request, job.clone()),
    };
    Some(effect)
}

/// The request to repeat: a query for an accepted job, otherwise the submission or cancellation.
fn repeated_request(pending: &PendingMessage) -> ScheduledRequest {
    match pending.accepted_at {
        Some(accepted_at) => ScheduledRequest::Query {
            expected_end: accepted_at,
        },
        None => pending.submission(),
    }
}
