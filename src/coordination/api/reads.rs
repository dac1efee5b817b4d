//! Requests that wait for a read of the state store, and lookups of how jobs ended.

use super::requests::RequestKind;
use super::{PendingRequest, final_status};
use crate::coordination::Controller;
use crate::protocol::state::{CallError, StateResponse};
use crate::protocol::user::{JobStatus, UserResponse};
use crate::storage::ids::JobId;
use crate::storage::job::{FinalRecord, JobSpec};

/// What is known of the jobs that a submission depends on.
enum DependencyCheck {
    /// All of them were accepted.
    Accepted,
    /// It is unknown whether this job was ever accepted.
    Missing(JobId),
    /// The job can never run.
    Unsatisfiable(&'static str),
}

impl Controller {
    /// Decides on the submission of a job that depends on others: all of them must have been accepted, and must be jobs
    /// that end by themselves. An accepted job is live or has ended, and an ended job never becomes live again. So a check
    /// after a read that looks first for a live job and then for an ended one finds every accepted job.
    ///
    /// `after_read`: whether a read has completed since the request arrived.
    pub(super) fn check_dependencies(&mut self, mut request: PendingRequest, after_read: bool) {
        let RequestKind::Submit(spec) = &request.kind else {
            return;
        };
        if !self.replica.is_ready() {
            // While the replica is listed again, jobs that it does not show may be live.
            return self.respond(&request, Self::RETRY_AFTER);
        }
        match self.find_dependencies(request.job, spec, after_read) {
            DependencyCheck::Unsatisfiable(reason) => {
                request.kind = RequestKind::Refuse(UserResponse::Unsatisfiable(reason.into()));
                self.await_read(request);
            }
            DependencyCheck::Accepted => self.users.push_submission(request),
            DependencyCheck::Missing(_) if !after_read => self.await_read(request),
            DependencyCheck::Missing(job) => self.users.push_final_lookup(request, job),
        }
    }

    fn find_dependencies(&self, id: JobId, spec: &JobSpec, after_read: bool) -> DependencyCheck {
        let mut check = DependencyCheck::Accepted;
        for dependency in &spec.dependencies {
            let found = self.find_dependency(id, *dependency, after_read);
            check = match (check, found) {
                // A dependency that makes the job impossible takes precedence over an unknown one; among several of the
                // same kind, the last one is reported.
                (check, DependencyCheck::Accepted) => check,
                (DependencyCheck::Unsatisfiable(reason), DependencyCheck::Missing(_)) => {
                    DependencyCheck::Unsatisfiable(reason)
                }
                (_, found) => found,
            };
        }
        check
    }

    fn find_dependency(&self, id: JobId, dependency: JobId, after_read: bool) -> DependencyCheck {
        if dependency == id {
            return DependencyCheck::Unsatisfiable("it awaits itself");
        }
        match self.cell.jobs.get(&dependency) {
            Some(job) if job.spec().service => {
                DependencyCheck::Unsatisfiable("it awaits a job that does not end by itself")
            }
            Some(_) => DependencyCheck::Accepted,
            None if self.users.end_of(dependency).is_some() => DependencyCheck::Accepted,
            None if after_read && self.users.is_absent(dependency) => {
                DependencyCheck::Unsatisfiable("it awaits an unknown job")
            }
            None => DependencyCheck::Missing(dependency),
        }
    }

    /// Queues a request until a read that begins now or later has completed.
    pub(super) fn await_read(&mut self, mut request: PendingRequest) {
        request.read_after = self.next_call - 1;
        // Queries wait for a read that serves many of them.
        if request.is_query() {
            self.replica.request_barrier_for_queries();
        } else {
            self.replica.request_barrier();
        }
        self.users.push_read(request);
    }

    /// Continues the requests whose read has completed.
    pub(in crate::coordination) fn resume_pending_reads(&mut self) {
        if !self.users.has_reads() {
            return;
        }
        let replica = &self.replica;
        let ready = self
            .users
            .take_reads(|request| replica.has_read_since(request.read_after));
        if self.users.has_urgent_reads() {
            self.replica.request_barrier();
        } else if self.users.has_reads() {
            self.replica.request_barrier_for_queries();
        }
        for request in ready {
            if self.cell.jobs.contains_key(&request.job) {
                self.resolve_live(request);
            } else {
                self.resolve_not_live(request);
            }
        }
    }

    /// Continues a request after a read that shows its job as live.
    fn resolve_live(&mut self, request: PendingRequest) {
        let is_cancellation = matches!(request.kind, RequestKind::Cancel);
        match self.live_status(request.job) {
            Some(status) if !is_cancellation || status.status == JobStatus::Cancelled => {
                self.respond(&request, UserResponse::Status(status));
            }
            // A job can be cancelled whatever the state of the jobs that it depends on.
            _ if is_cancellation => self.users.push_cancellation(request),
            _ => self.await_read(request),
        }
    }

    /// Continues a request after a read that does not show its job.
    fn resolve_not_live(&mut self, request: PendingRequest) {
        if let Some(end) = self.users.end_of(request.job) {
            let status = final_status(request.job, end);
            self.respond(&request, UserResponse::Status(status));
        } else if request.has_dependencies() && !request.may_have_been_accepted() {
            self.check_dependencies(request, true);
        } else if self.users.is_absent(request.job) {
            self.resolve_absent(request);
        } else if request.is_query() && self.users.final_lookup_count() >= self.final_lookup_limit()
        {
            // Queries for jobs that never existed must not use up the requests that others need.
            self.respond(&request, Self::RETRY_AFTER);
        } else {
            let job = request.job;
            self.users.push_final_lookup(request, job);
        }
    }

    /// Continues a request that has waited for the final record of `job`: its own job, or a job that this one depends on.
    pub(in crate::coordination) fn on_final_lookup(
        &mut self,
        request: PendingRequest,
        job: JobId,
        result: Result<StateResponse, CallError>,
    ) {
        let Ok(StateResponse::Value(value)) = result else {
            return self.respond(&request, Self::RETRY_AFTER);
        };
        let Some(value) = value else {
            return self.on_no_final_record(request, job);
        };
        match serde_json::from_str::<FinalRecord>(value.get()) {
            Ok(end) => self.on_final_record(request, job, end),
            Err(_) => self.respond(&request, Self::RETRY_AFTER),
        }
    }

    fn on_final_record(&mut self, request: PendingRequest, job: JobId, end: FinalRecord) {
        self.users.record_end(job, end);
        if job == request.job {
            self.respond(&request, UserResponse::Status(final_status(job, end)));
        } else {
            self.check_dependencies(request, true);
        }
    }

    fn on_no_final_record(&mut self, request: PendingRequest, job: JobId) {
        if !self.cell.jobs.contains_key(&job) {
            self.users.record_absent(job);
        }
        if job == request.job {
            self.resolve_absent(request);
        } else {
            self.check_dependencies(request, true);
        }
    }

    /// Continues a request whose job was never accepted.
    fn resolve_absent(&mut self, request: PendingRequest) {
        match &request.kind {
            RequestKind::Query | RequestKind::Cancel => {
                self.respond(&request, UserResponse::NotFound);
            }
            RequestKind::Refuse(response) => {
                let response = response.clone();
                self.respond(&request, response);
            }
            RequestKind::Submit(_) => self.users.push_submission(request),
        }
    }

    /// A read has failed: the users of all requests that wait for a read have to retry.
    pub(in crate::coordination) fn fail_pending_reads(&mut self) {
        for request in self.users.take_reads(|_| true) {
            self.respond(&request, Self::RETRY_AFTER);
        }
    }
}
