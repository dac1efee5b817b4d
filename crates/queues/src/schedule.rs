//! Order and rate of the requests to the controllers.
//!
//! The number of requests in flight and the rates of submissions and status queries are bounded, however many messages
//! wait in the queues. Submissions are ordered by the rank of their queue. Status queries are ordered by the expected
//! end of the job, so that jobs which are probably over come first. When the controllers report overload, the
//! submission rate falls at once and recovers slowly.

use crate::message::MessageKey;
use crate::rate_limiter::RateLimiter;
use crate::time::Micros;
use std::collections::BTreeSet;

/// A request to the controllers. Requests are sent in the order of these values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScheduledRequest {
    /// Submission or cancellation.
    Submit {
        /// Rank of the queue; lower ranks go first.
        rank: u8,
        /// Number of the message in the order of arrival.
        arrival: u64,
    },
    /// Status query.
    Query {
        /// When the job is expected to end.
        expected_end: Micros,
    },
}

/// Sorts after all submissions and before all status queries.
const FIRST_QUERY: (ScheduledRequest, MessageKey) =
    (ScheduledRequest::Query { expected_end: 0 }, MessageKey(0));

/// All requests that wait to be sent.
#[derive(Debug)]
pub struct RequestSchedule {
    delayed: BTreeSet<(Micros, ScheduledRequest, MessageKey)>,
    ready: BTreeSet<(ScheduledRequest, MessageKey)>,
    /// Rate of submissions.
    pub submissions: RateLimiter,
    queries: RateLimiter,
}

impl RequestSchedule {
    /// An empty schedule with these rates per second.
    pub fn new(submissions_per_s: u32, queries_per_s: u32) -> RequestSchedule {
        RequestSchedule {
            delayed: BTreeSet::new(),
            ready: BTreeSet::new(),
            submissions: RateLimiter::new(submissions_per_s),
            queries: RateLimiter::new(queries_per_s),
        }
    }

    /// Discards all waiting requests. The adapted rates stay.
    pub fn clear(&mut self) {
        self.delayed.clear();
        self.ready.clear();
    }

    /// Adds a request that is not sent before `at`.
    pub fn add(&mut self, at: Micros, request: ScheduledRequest, key: MessageKey) {
        self.delayed.insert((at, request, key));
    }

    /// Removes and returns up to `limit` messages whose requests are to be sent now.
    pub fn take(&mut self, now: Micros, limit: usize) -> Vec<MessageKey> {
        self.promote_due(now);
        let mut taken = Vec::new();
        while taken.len() < limit {
            let Some((request, key)) = self.next_permitted(now, taken.len()) else {
                break;
            };
            self.ready.remove(&(request, key));
            match request {
                ScheduledRequest::Submit { .. } => self.submissions.record(now),
                ScheduledRequest::Query { .. } => self.queries.record(now),
            }
            taken.push(key);
        }
        taken
    }

    fn promote_due(&mut self, now: Micros) {
        while let Some(&(at, request, key)) = self.delayed.first()
            && at <= now
        {
            self.delayed.remove(&(at, request, key));
            self.ready.insert((request, key));
        }
    }

    /// Submissions and queries alternate where both rates permit, so that neither starves the other.
    fn next_permitted(&self, now: Micros, taken: usize) -> Option<(ScheduledRequest, MessageKey)> {
        let submission = self
            .next_submission()
            .filter(|_| self.submissions.is_permitted(now));
        let query = self.next_query().filter(|_| self.queries.is_permitted(now));
        if taken.is_multiple_of(2) {
            submission.or(query)
        } else {
            query.or(submission)
        }
    }

    fn next_submission(&self) -> Option<(ScheduledRequest, MessageKey)> {
        self.ready.range(..FIRST_QUERY).next().copied()
    }

    fn next_query(&self) -> Option<(ScheduledRequest, MessageKey)> {
        self.ready.range(FIRST_QUERY..).next().copied()
    }

    /// When a request may be due next; [`Micros::MAX`] if none waits.
    pub fn next_wake(&self) -> Micros {
        let delayed = self.delayed.first().map(|(at, ..)| *at);
        let submission = self
            .next_submission()
            .map(|_| self.submissions.next_permitted_at());
        let query = self.next_query().map(|_| self.queries.next_permitted_at());
        let all = [delayed, submission, query];
        all.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }
}
