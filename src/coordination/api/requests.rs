//! Requests of users that wait for a response, by what they wait for.

use super::history::JobHistory;
use crate::coordination::CallId;
use crate::protocol::user::UserResponse;
use crate::storage::ids::JobId;
use crate::storage::job::{FinalRecord, JobSpec};
use crate::time::Micros;
use std::collections::VecDeque;

/// What a pending request asks for.
#[derive(Clone, Debug)]
pub(super) enum RequestKind {
    /// Submits a job.
    Submit(Box<JobSpec>),
    /// A submission that gets this response, unless its job was accepted before.
    Refuse(UserResponse),
    /// Queries a job's status.
    Query,
    /// Cancels a job.
    Cancel,
}

/// A user's request that has no response yet.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    pub(super) call: CallId,
    pub(super) job: JobId,
    pub(super) kind: RequestKind,
    /// When the request arrived, in monotonic time.
    pub(super) arrived: Micros,
    /// Time of day when the request arrived.
    pub(super) arrived_day: Micros,
    /// A read of the state store that began after this call must have completed.
    pub(super) read_after: u64,
    /// Number of transactions for this request that conflicted or had an unknown outcome.
    pub(super) attempts: u32,
}

impl PendingRequest {
    /// Maximum time that a query waits.
    const QUERY_TIMEOUT: Micros = Micros::millis(1_500);
    /// Maximum time that a submission or a cancellation waits.
    const CHANGE_TIMEOUT: Micros = Micros::millis(3_000);

    /// Whether the request changes nothing.
    pub(super) fn is_query(&self) -> bool {
        matches!(self.kind, RequestKind::Query)
    }

    /// Whether the request submits a job that depends on others.
    pub(super) fn has_dependencies(&self) -> bool {
        matches!(&self.kind, RequestKind::Submit(spec) if !spec.dependencies.is_empty())
    }

    /// Whether a transaction of the request failed or had an unknown outcome. A submission's transaction fails if its job was
    /// accepted before.
    pub(super) fn may_have_been_accepted(&self) -> bool {
        self.attempts > 0
    }

    fn is_expired(&self, now: Micros) -> bool {
        let timeout = if self.is_query() {
            Self::QUERY_TIMEOUT
        } else {
            Self::CHANGE_TIMEOUT
        };
        now.since(self.arrived) > timeout
    }
}

/// A request that waits until it is known how a job ended: its own job, or a job that this one depends on.
#[derive(Debug)]
pub(super) struct FinalLookup {
    pub(super) request: PendingRequest,
    pub(super) job: JobId,
}

/// Numbers of responses to queries.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueryCounts {
    /// Responses with a status, or with the result that there is no such job.
    pub answered: u64,
    /// Responses that ask the user to retry, after the query had waited.
    pub delayed: u64,
    /// Responses that ask the user to retry, sent at once.
    pub refused: u64,
}

/// The pending requests of users, and the history of jobs.
#[derive(Debug, Default)]
pub struct UserRequests {
    submissions: Vec<PendingRequest>,
    cancellations: Vec<PendingRequest>,
    /// Requests that wait for a read of the state store.
    reads: Vec<PendingRequest>,
    final_lookups: VecDeque<FinalLookup>,
    history: JobHistory,
    query_counts: QueryCounts,
    /// Nothing is sent before this time, since the state store has rejected a request because of its rate.
    paused_until: Micros,
}

impl UserRequests {
    /// Maximum number of pending requests.
    const MAX_PENDING: usize = 512;

    /// Remembers how a job ended.
    pub fn record_end(&mut self, job: JobId, end: FinalRecord) {
        self.history.record_end(job, end);
    }

    /// How a job ended, if that is remembered.
    pub fn end_of(&self, job: JobId) -> Option<FinalRecord> {
        self.history.end_of(job)
    }

    /// A job has become live in the replica.
    pub fn on_job_live(&mut self, job: JobId) {
        self.history.on_live(job);
    }

    /// Forgets which jobs are absent: the replica is listed again, and does not show jobs that were live only meanwhile.
    pub fn forget_absent(&mut self) {
        self.history.clear_absent();
    }

    /// Remembers that a job is neither live nor ended.
    pub(super) fn record_absent(&mut self, job: JobId) {
        self.history.record_absent(job);
    }

    /// Whether a job is known to be neither live nor ended.
    pub(super) fn is_absent(&self, job: JobId) -> bool {
        self.history.is_absent(job)
    }

    /// Numbers of responses to queries so far.
    pub fn query_counts(&self) -> QueryCounts {
        self.query_counts
    }

    /// Counts the response to a query.
    pub(super) fn count_query(&mut self, request: &PendingRequest, retry: bool, now: Micros) {
        let counter = match (retry, request.arrived == now) {
            (true, true) => &mut self.query_counts.refused,
            (true, false) => &mut self.query_counts.delayed,
            (false, _) => &mut self.query_counts.answered,
        };
        *counter += 1;
    }

    /// How long the oldest request that waits for a read has waited.
    pub fn oldest_pending_read(&self, now: Micros) -> Option<Micros> {
        self.reads
            .iter()
            .map(|request| now.since(request.arrived))
            .max()
    }

    /// Whether no further request can be queued.
    pub(super) fn is_full(&self) -> bool {
        let pending = self.submissions.len()
            + self.cancellations.len()
            + self.reads.len()
            + self.final_lookups.len();
        pending >= Self::MAX_PENDING
    }

    /// When requests may be sent again after a pause; `None` without one.
    pub(super) fn pause_end(&self, now: Micros) -> Option<Micros> {
        (now < self.paused_until).then_some(self.paused_until)
    }

    /// Sends nothing until this time.
    pub(super) fn pause_until(&mut self, until: Micros) {
        self.paused_until = until;
    }

    /// Queues a submission for the next transaction.
    pub(super) fn push_submission(&mut self, request: PendingRequest) {
        self.submissions.push(request);
    }

    /// Number of queued submissions.
    pub(super) fn submission_count(&self) -> usize {
        self.submissions.len()
    }

    /// Takes the first `count` submissions.
    pub(super) fn take_submissions(&mut self, count: usize) -> Vec<PendingRequest> {
        self.submissions.drain(..count).collect()
    }

    /// Queues a cancellation.
    pub(super) fn push_cancellation(&mut self, request: PendingRequest) {
        self.cancellations.push(request);
    }

    /// Takes the newest cancellation.
    pub(super) fn pop_cancellation(&mut self) -> Option<PendingRequest> {
        self.cancellations.pop()
    }

    /// Queues a request until a read has completed.
    pub(super) fn push_read(&mut self, request: PendingRequest) {
        self.reads.push(request);
    }

    /// Whether any request waits for a read.
    pub(super) fn has_reads(&self) -> bool {
        !self.reads.is_empty()
    }

    /// Whether a request that changes something waits for a read.
    pub(super) fn has_urgent_reads(&self) -> bool {
        self.reads.iter().any(|request| !request.is_query())
    }

    /// Takes those requests that wait for a read and satisfy a condition.
    pub(super) fn take_reads(
        &mut self,
        is_ready: impl Fn(&PendingRequest) -> bool,
    ) -> Vec<PendingRequest> {
        self.reads
            .extract_if(.., |request| is_ready(request))
            .collect()
    }

    /// Number of queued lookups of final records.
    pub(super) fn final_lookup_count(&self) -> usize {
        self.final_lookups.len()
    }

    /// Queues a lookup of how a job ended.
    pub(super) fn push_final_lookup(&mut self, request: PendingRequest, job: JobId) {
        self.final_lookups.push_back(FinalLookup { request, job });
    }

    /// Puts a lookup back to the front of the queue.
    pub(super) fn requeue_final_lookup(&mut self, lookup: FinalLookup) {
        self.final_lookups.push_front(lookup);
    }

    /// Takes the oldest lookup.
    pub(super) fn pop_final_lookup(&mut self) -> Option<FinalLookup> {
        self.final_lookups.pop_front()
    }

    /// Takes the requests that have waited too long.
    pub(super) fn take_expired(&mut self, now: Micros) -> Vec<PendingRequest> {
        let mut expired = Vec::new();
        for queue in [
            &mut self.submissions,
            &mut self.cancellations,
            &mut self.reads,
        ] {
            expired.extend(queue.extract_if(.., |request| request.is_expired(now)));
        }
        // Lookups are queued only roughly by age. An expired lookup behind an unexpired one is taken later.
        while let Some(lookup) = self.final_lookups.front()
            && lookup.request.is_expired(now)
        {
            expired.extend(self.final_lookups.pop_front().map(|lookup| lookup.request));
        }
        expired
    }
}
