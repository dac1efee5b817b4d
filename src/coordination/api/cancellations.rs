//! Cancellations by users: transactions that mark a job's record as cancelled.

use super::PendingRequest;
use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{
    CallError, KeyChange, StateRequest, StateResponse, Transaction, encode,
};
use crate::protocol::user::{JobStatus, JobStatusResponse, UserResponse};
use crate::storage::cell_state::{CellChanges, Change, Content, Job};
use crate::storage::ids::JobId;
use crate::storage::job::JobRecord;
use crate::storage::records::Key;
use crate::time::Micros;

impl Controller {
    /// Maximum number of transactions with an unknown outcome or a conflict; after one more, the user has to retry.
    const MAX_CANCELLATION_ATTEMPTS: u32 = 6;

    /// Admits the cancellation of a live job.
    pub(super) fn admit_cancellation(&mut self, request: PendingRequest) {
        match self.live_status(request.job) {
            Some(status) if status.status == JobStatus::Cancelled => {
                self.respond(&request, UserResponse::Status(status));
            }
            _ => self.users.push_cancellation(request),
        }
    }

    /// Sends queued cancellations. Fails with the time at which the rates allow the next one.
    pub(super) fn drive_cancellations(&mut self) -> Result<(), Micros> {
        let max_changes = self.limits.max_changes();
        while let Some(request) = self.users.pop_cancellation() {
            if let Err(at) = self
                .budget
                .spend_for_users(self.now.monotonic, 1, max_changes)
            {
                self.users.push_cancellation(request);
                return Err(at);
            }
            self.send_cancellation(request);
        }
        Ok(())
    }

    fn send_cancellation(&mut self, request: PendingRequest) {
        let Some(job) = self.cell.jobs.get(&request.job) else {
            return self.await_read(request);
        };
        let key = Key::Job(request.job);
        let txn = Transaction {
            conditions: vec![(key.clone(), job.mod_revision)],
            changes: vec![KeyChange {
                key,
                value: encode(&self.cancelled_record(job)),
                lease_id: None,
            }],
        };
        self.send_state_request(Purpose::Cancel(request), StateRequest::Transaction(txn));
    }

    /// The record of a job, marked as cancelled, and small enough for the limits that are or will be in force.
    fn cancelled_record(&self, job: &Job) -> JobRecord {
        job.cancelled_record(self.limits.value_bytes(), self.cell.uses_compact_encoding())
    }

    pub(in crate::coordination) fn on_cancellation_result(
        &mut self,
        request: PendingRequest,
        result: Result<StateResponse, CallError>,
    ) {
        match result {
            Ok(StateResponse::Applied(revision)) => {
                self.on_cancellation_applied(&request, revision);
            }
            Ok(_) | Err(CallError::OutcomeUnknown) => {
                self.verify_by_read(request, Self::MAX_CANCELLATION_ATTEMPTS);
            }
            Err(CallError::RateLimited) => self.retry_after_backoff(request),
            Err(_) => self.respond(&request, Self::RETRY_AFTER),
        }
    }

    fn on_cancellation_applied(&mut self, request: &PendingRequest, revision: u64) {
        tracing::info!(job = %request.job, "job cancelled by user");
        let done = self.apply_cancellation(request.job, revision);
        let status = JobStatusResponse {
            id: request.job,
            status: JobStatus::Cancelled,
            done,
            running: 0,
            reason: None,
        };
        self.respond(request, UserResponse::Status(status));
    }

    /// Marks a live job as cancelled in the replica. Returns how many of its tasks have completed.
    fn apply_cancellation(&mut self, id: JobId, revision: u64) -> u32 {
        let Some(job) = self.cell.jobs.get(&id) else {
            return 0;
        };
        let done = job.finished_count();
        let record = self.cancelled_record(job);
        let change = Change {
            key: Key::Job(id),
            content: Some(Content::Job(Box::new(record))),
            mod_revision: revision,
        };
        let mut changes_seen = CellChanges::default();
        self.cell.apply([change], &mut changes_seen);
        self.on_cell_changed(&changes_seen);
        done
    }
}
