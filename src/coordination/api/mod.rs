//! The users' interface: submissions, queries and cancellations.
//!
//! Requests are idempotent: jobs are identified by name, so a repeated submission returns the job's status. A status that
//! may still change is returned only after a read of the state store that began after the request arrived, because
//! another controller may already have returned a newer status to this user than this replica shows.

mod cancellations;
pub mod connections;
pub(super) mod dependencies;
mod history;
mod reads;
mod requests;
mod submissions;

pub use requests::{PendingRequest, QueryCounts, UserRequests};

use crate::coordination::constraints::Rejection;
use crate::coordination::{CallId, Controller, Effect, Purpose};
use crate::protocol::state::StateRequest;
use crate::protocol::user::{JobStatus, JobStatusResponse, UserRequest, UserResponse};
use crate::storage::ids::JobId;
use crate::storage::job::{FinalRecord, JobSpec};
use crate::storage::records::Key;
use crate::time::Micros;
use requests::RequestKind;
use std::borrow::Cow;

/// The status of a job that has ended.
fn final_status(id: JobId, end: FinalRecord) -> JobStatusResponse {
    let status = if end.cancelled {
        JobStatus::Cancelled
    } else {
        JobStatus::Done
    };
    JobStatusResponse {
        id,
        status,
        done: end.done,
        running: 0,
        reason: None,
    }
}

impl Controller {
    /// The response to requests that cannot be decided now.
    const RETRY_AFTER: UserResponse = UserResponse::RetryAfter(1);
    /// Fraction of the request budget that queries leave to other requests.
    pub(super) const QUERY_RESERVE_FRACTION: f64 = 0.4;
    /// If the last contact with the state store is older than this, no request can be decided in time.
    const CONTACT_TIMEOUT: Micros = Micros::millis(4_500);
    /// Number of lookups of final records that may be queued in addition to those that can be sent in one second.
    const FINAL_LOOKUP_MARGIN: usize = 4;

    /// Maximum number of queued lookups of final records: about as many as can be sent before their users give up.
    fn final_lookup_limit(&self) -> usize {
        let per_second = self.settings.state_rps / self.settings.controller_count() as f64;
        per_second as usize + Self::FINAL_LOOKUP_MARGIN
    }

    fn respond(&mut self, request: &PendingRequest, response: UserResponse) {
        let now = self.now.monotonic;
        let retry = matches!(response, UserResponse::RetryAfter(_));
        if request.is_query() {
            self.users.count_query(request, retry, now);
        } else if retry {
            let waited = now.since(request.arrived);
            tracing::info!(job = %request.job, %waited, "user request deferred");
        }
        self.effects.push(Effect::User(request.call, response));
    }

    /// The status of a live job; `None` if the job is not live, or while it may be cancelled because of a dependency whose
    /// end is unknown.
    fn live_status(&self, id: JobId) -> Option<JobStatusResponse> {
        let job = self.cell.jobs.get(&id)?;
        if job.dependency_state.cancellation_unknown {
            return None;
        }
        let running = self.cell.assigned_count(id);
        let status = match (job.is_cancelled(), running) {
            (true, _) => JobStatus::Cancelled,
            (false, 0) => JobStatus::Queued,
            _ => JobStatus::Running,
        };
        Some(JobStatusResponse {
            id,
            status,
            done: job.finished_count(),
            running,
            reason: self.rules.reason(id),
        })
    }

    pub(super) fn on_invalid_submission(
        &mut self,
        call: CallId,
        id: JobId,
        reason: Cow<'static, str>,
    ) {
        self.admit(call, id, RequestKind::Refuse(UserResponse::Invalid(reason)));
    }

    pub(super) fn on_user(&mut self, call: CallId, request: UserRequest) {
        let id = request.job();
        let kind = match request {
            UserRequest::Query(_) => RequestKind::Query,
            UserRequest::Cancel(_) => RequestKind::Cancel,
            UserRequest::Submit(_, spec) => RequestKind::Submit(spec),
        };
        self.admit(call, id, kind);
    }

    /// Responds to a request at once if that is possible, or queues it.
    fn admit(&mut self, call: CallId, job: JobId, kind: RequestKind) {
        let request = PendingRequest {
            call,
            job,
            kind,
            arrived: self.now.monotonic,
            arrived_day: self.now.time_of_day,
            read_after: self.next_call,
            attempts: 0,
        };
        if let Some(end) = self.users.end_of(job) {
            return self.respond(&request, UserResponse::Status(final_status(job, end)));
        }
        let reachable = self.replica.is_ready() && self.contact_age() <= Self::CONTACT_TIMEOUT;
        if !reachable || self.users.is_full() {
            return self.respond(&request, Self::RETRY_AFTER);
        }
        let is_live = self.cell.jobs.contains_key(&job);
        match request.kind {
            RequestKind::Submit(_) if !is_live => self.admit_submission(request),
            RequestKind::Cancel if is_live => self.admit_cancellation(request),
            _ => self.await_read(request),
        }
    }

    /// Admits the submission of a job that is not live.
    fn admit_submission(&mut self, mut request: PendingRequest) {
        let RequestKind::Submit(spec) = &request.kind else {
            return;
        };
        match self.validate(spec) {
            Err(rejection) => {
                request.kind = RequestKind::Refuse(match rejection {
                    Rejection::RetryAfter => Self::RETRY_AFTER,
                    Rejection::Unsatisfiable(reason) => UserResponse::Unsatisfiable(reason.into()),
                });
                self.await_read(request);
            }
            Ok(()) if spec.dependencies.is_empty() => self.users.push_submission(request),
            // A controller that ignores dependencies would start the job too early.
            Ok(()) if !self.supports_dependencies() => {
                request.kind = RequestKind::Refuse(Self::RETRY_AFTER);
                self.await_read(request);
            }
            Ok(()) => self.check_dependencies(request, false),
        }
    }

    /// Checks whether the settings, the catalog and the placement rules allow a job to run.
    fn validate(&self, spec: &JobSpec) -> Result<(), Rejection> {
        if self.settings.team(&spec.team).is_none() {
            return Err(Rejection::Unsatisfiable("unknown team".to_owned()));
        }
        if self.cell.types.value.is_none() || self.cell.shards() == 0 {
            return Err(Rejection::RetryAfter);
        }
        if let Some(reason) = self.unsatisfiable_reason(spec) {
            return Err(Rejection::Unsatisfiable(reason.to_owned()));
        }
        self.rejection(spec).map_or(Ok(()), Err)
    }

    /// Why a job could never run; `None` if it could, and also while that is not known.
    fn unsatisfiable_reason(&self, spec: &JobSpec) -> Option<&'static str> {
        let catalog = self.cell.types.value.as_ref()?;
        if !catalog.types.iter().any(|t| spec.fits_type(t)) {
            return Some("a task fits no allowed machine type");
        }
        let team = self.settings.team(&spec.team)?;
        let tasks = if spec.runs_all_tasks_at_once() {
            u64::from(spec.task_count)
        } else {
            1
        };
        let need = spec.need.times(tasks);
        (!team.allows(need.cores, need.accelerators)).then_some("more than the team's limit")
    }

    /// Sends the queued requests that the rates of the state store allow.
    pub(super) fn drive_users(&mut self) {
        let sent = match self.users.pause_end(self.now.monotonic) {
            Some(until) => Err(until),
            None => self.send_due_requests(),
        };
        if let Err(at) = sent {
            self.wake_at(at);
        }
    }

    /// Sends cancellations first, since they free machines, and lookups of final records last. Fails with the time at
    /// which the rates allow the next request.
    fn send_due_requests(&mut self) -> Result<(), Micros> {
        self.drive_cancellations()?;
        self.drive_submissions()?;
        self.drive_final_lookups()
    }

    fn drive_final_lookups(&mut self) -> Result<(), Micros> {
        let now = self.now.monotonic;
        while let Some(lookup) = self.users.pop_final_lookup() {
            let reserve = if lookup.request.is_query() {
                Self::QUERY_RESERVE_FRACTION
            } else {
                0.0
            };
            if let Err(at) = self.budget.spend(now, 0, reserve) {
                self.users.requeue_final_lookup(lookup);
                return Err(at);
            }
            let key = Key::Final(lookup.job);
            let purpose = Purpose::FinalLookup(lookup.request, lookup.job);
            self.send_state_request(purpose, StateRequest::Get(key));
        }
        Ok(())
    }

    /// Asks the users of requests that have waited too long to retry.
    pub(super) fn tick_users(&mut self) {
        for request in self.users.take_expired(self.now.monotonic) {
            self.respond(&request, Self::RETRY_AFTER);
        }
    }
}
