//! Submissions: transactions that create the records of several jobs.

use super::PendingRequest;
use super::requests::RequestKind;
use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{
    CallError, KeyChange, StateRequest, StateResponse, Transaction, encode,
};
use crate::protocol::user::{JobStatus, JobStatusResponse, UserResponse};
use crate::storage::cell_state::{CellChanges, Change, Content};
use crate::storage::job::{JobRecord, JobSpec};
use crate::storage::records::Key;
use crate::time::Micros;

impl Controller {
    /// Maximum number of submissions in one transaction.
    const MAX_SUBMISSIONS_PER_TRANSACTION: usize = 12;
    /// Maximum size of the records in one transaction. The state store accepts 64 KiB, including the conditions.
    const MAX_SUBMITTED_BYTES: usize = 48 * 1024;
    /// Maximum number of transactions with an unknown outcome or a conflict; after one more, the user has to retry.
    const MAX_SUBMISSION_ATTEMPTS: u32 = 2;
    /// Delay after the state store has rejected a transaction because of the rate.
    const RATE_LIMIT_BACKOFF: Micros = Micros::millis(120);
    /// A request that is older than this is not sent again after a rejection because of the rate.
    const RATE_LIMIT_RETRY_TIMEOUT: Micros = Micros::millis(2_000);

    /// Sends queued submissions. Fails with the time at which the rates allow the next transaction.
    pub(super) fn drive_submissions(&mut self) -> Result<(), Micros> {
        let max_changes = self.limits.max_changes();
        let limit = max_changes.min(Self::MAX_SUBMISSIONS_PER_TRANSACTION);
        while self.users.submission_count() > 0 {
            let count = self.users.submission_count().min(limit);
            self.budget
                .spend_for_users(self.now.monotonic, count, max_changes)?;
            let batch = self.users.take_submissions(count);
            self.send_distinct(batch);
        }
        Ok(())
    }

    /// Sends one submission of each job. Further submissions of the same job wait for a read, which shows the job.
    fn send_distinct(&mut self, mut batch: Vec<PendingRequest>) {
        batch.sort_by_key(|request| request.job);
        let mut duplicates = Vec::new();
        batch.dedup_by(|later, earlier| {
            let is_duplicate = earlier.job == later.job;
            if is_duplicate {
                duplicates.push(later.clone());
            }
            is_duplicate
        });
        for duplicate in duplicates {
            self.await_read(duplicate);
        }
        self.send_submissions(batch);
    }

    /// Sends a transaction with as many submissions as fit into it, and queues the others again.
    fn send_submissions(&mut self, batch: Vec<PendingRequest>) {
        let mut txn = Transaction::default();
        let mut sent = Vec::new();
        let mut bytes = 0;
        for mut request in batch {
            let RequestKind::Submit(spec) = &request.kind else {
                continue;
            };
            let record = self.new_record(spec, request.arrived_day);
            let value = encode(&record.with_compact_encoding(self.cell.uses_compact_encoding()));
            let size = value.as_ref().map_or(0, |value| value.get().len());
            if size + spec.max_growth_bytes() > self.limits.value_bytes() {
                request.kind = RequestKind::Refuse(UserResponse::Invalid("too large".into()));
                self.await_read(request);
                continue;
            }
            if bytes + size > Self::MAX_SUBMITTED_BYTES && !sent.is_empty() {
                self.users.push_submission(request);
                continue;
            }
            bytes += size;
            txn.conditions.push((Key::Job(request.job), 0));
            txn.conditions.push((Key::Final(request.job), 0));
            txn.changes.push(KeyChange {
                key: Key::Job(request.job),
                value,
                lease_id: None,
            });
            sent.push(request);
        }
        if !sent.is_empty() {
            self.send_state_request(Purpose::Submit(sent), StateRequest::Transaction(txn));
        }
    }

    fn new_record(&self, spec: &JobSpec, submitted: Micros) -> JobRecord {
        let mut spec = spec.clone();
        if let (Some(allowed), Some(catalog)) = (&mut spec.machine_types, &self.cell.types.value) {
            // Types outside the catalog cannot be provisioned. A list that becomes empty is kept, because without a list
            // all types would be allowed.
            allowed.retain(|name| catalog.get(name).is_some());
        }
        JobRecord::new(spec, submitted)
    }

    pub(in crate::coordination) fn on_submissions_result(
        &mut self,
        batch: Vec<PendingRequest>,
        result: Result<StateResponse, CallError>,
    ) {
        if let Ok(StateResponse::Applied(revision)) = result {
            return self.on_submissions_applied(batch, revision);
        }
        for request in batch {
            match &result {
                // A conflict means that a job of the transaction already exists. A read shows for each request whether its
                // job does; it also resolves an unknown outcome.
                Ok(_) | Err(CallError::OutcomeUnknown) => {
                    self.verify_by_read(request, Self::MAX_SUBMISSION_ATTEMPTS);
                }
                Err(CallError::RateLimited) => self.retry_after_backoff(request),
                Err(_) => self.respond(&request, Self::RETRY_AFTER),
            }
        }
    }

    fn on_submissions_applied(&mut self, batch: Vec<PendingRequest>, revision: u64) {
        let changes: Vec<Change> = batch
            .iter()
            .filter_map(|request| self.submitted_change(request, revision))
            .collect();
        let mut changes_seen = CellChanges::default();
        self.cell.apply(changes, &mut changes_seen);
        for request in batch {
            if let RequestKind::Submit(spec) = &request.kind {
                // The fields are named as in the submission: log analysis joins the two by these names.
                tracing::info!(job = %request.job, lane = spec.job_class, crew = spec.team, pieces = spec.task_count, cores = spec.need.cores as f64 / 1e3, "accepted");
            }
            self.respond_accepted(request);
        }
        self.on_cell_changed(&changes_seen);
    }

    fn submitted_change(&self, request: &PendingRequest, revision: u64) -> Option<Change> {
        let RequestKind::Submit(spec) = &request.kind else {
            return None;
        };
        let record = self.new_record(spec, request.arrived_day);
        Some(Change {
            key: Key::Job(request.job),
            content: Some(Content::Job(Box::new(record))),
            mod_revision: revision,
        })
    }

    /// Responds to an applied submission. If the replica already shows the job's cancellation or end, or if it is unknown
    /// whether a job that it depends on is cancelled, the request waits for a read instead.
    fn respond_accepted(&mut self, request: PendingRequest) {
        let job = self.cell.jobs.get(&request.job);
        let Some(job) =
            job.filter(|job| !job.record.cancelled && !job.dependency_state.cancellation_unknown)
        else {
            return self.await_read(request);
        };
        let status = if job.is_cancelled() {
            JobStatus::Cancelled
        } else {
            JobStatus::Queued
        };
        let response = JobStatusResponse {
            id: request.job,
            status,
            done: 0,
            running: 0,
            reason: None,
        };
        self.respond(&request, UserResponse::Accepted(response));
    }

    /// Queues a request for a read that shows whether its transaction took effect, or asks the user to retry if the request
    /// has used all its attempts.
    pub(super) fn verify_by_read(&mut self, mut request: PendingRequest, max_attempts: u32) {
        request.attempts += 1;
        if request.attempts > max_attempts {
            self.respond(&request, Self::RETRY_AFTER);
        } else {
            self.await_read(request);
        }
    }

    /// Queues a request again after its transaction was rejected because of the rate, and so took no effect.
    pub(super) fn retry_after_backoff(&mut self, request: PendingRequest) {
        let now = self.now.monotonic;
        if now.since(request.arrived) > Self::RATE_LIMIT_RETRY_TIMEOUT {
            return self.respond(&request, Self::RETRY_AFTER);
        }
        self.users.pause_until(now + Self::RATE_LIMIT_BACKOFF);
        match request.kind {
            RequestKind::Cancel => self.users.push_cancellation(request),
            _ => self.users.push_submission(request),
        }
    }
}
