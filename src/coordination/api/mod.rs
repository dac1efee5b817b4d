//! The users' interface: submissions, queries and cancellations.
//!
//! Requests are idempotent: the name of a job makes a repeated submission get the job's status. A status that may still
//! change is given only after a read of the state store that began after the request arrived: another controller may
//! have given this user a newer status than this replica shows.

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
    /// Share of the request budget that queries leave for everything else.
    pub(super) const QUERY_RESERVE: f64 = 0.4;
    /// Without contact to the state store for longer than this no request could be decided in time.
    const CONTACT_TIMEOUT: Micros = Micros::millis(4_500);
    /// Lookups of final records that may wait in addition to those of one second.
    const FINAL_LOOKUP_MARGIN: usize = 4;

    /// Lookups of final records that may wait: about as many as can be made before their users give up.
    fn final_lookup_limit(&self) -> usize {
        let per_second = self.settings.state_rps / self.settings.controllers() as f64;
        per_second as usize + Self::FINAL_LOOKUP_MARGIN
    }

    fn respond(&mut self, request: &PendingRequest, response: UserResponse) {
        let now = self.now.steady;
        let retry = matches!(response, UserResponse::RetryAfter(_));
        if request.is_query() {
            self.users.count_query(request, retry, now);
        } else if retry {
            let waited = now.since(request.arrived);
            tracing::info!(job = %request.job, %waited, "user request deferred");
        }
        self.effects.push(Effect::User(request.call, response));
    }

    /// The status of a live job; `None` while it may be cancelled because of a dependency whose end is unknown.
    fn live_status(&self, id: JobId) -> Option<JobStatusResponse> {
        let job = self.cell.jobs.get(&id)?;
        if job.dependency_state.cancellation_unknown {
            return None;
        }
        let running = self.cell.assigned_count(id);
        let status = match (job.cancelled(), running) {
            (true, _) => JobStatus::Cancelled,
            (false, 0) => JobStatus::Queued,
            _ => JobStatus::Running,
        };
        Some(JobStatusResponse {
            id,
            status,
            done: job.done(),
            running,
            reason: self.rules.reason(id),
        })
    }

    pub(super) fn on_invalid_submission(
        &mut self,
        call: CallId,
        id: JobId,
        why: Cow<'static, str>,
    ) {
        self.admit(call, id, RequestKind::Refuse(UserResponse::Invalid(why)));
    }

    pub(super) fn on_user(&mut self, call: CallId, request: UserRequest) {
        let id = request.job();
        let kind = match request {
            UserRequest::Query(_) => RequestKind::Query,
            UserRequest::Abort(_) => RequestKind::Cancel,
            UserRequest::Submit(_, spec) => RequestKind::Submit(spec),
        };
        self.admit(call, id, kind);
    }

    /// Answers a request at once if that is possible, or queues it.
    fn admit(&mut self, call: CallId, job: JobId, kind: RequestKind) {
        let request = PendingRequest {
            call,
            job,
            kind,
            arrived: self.now.steady,
            arrived_day: self.now.day,
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
        let live = self.cell.jobs.contains_key(&job);
        match request.kind {
            RequestKind::Submit(_) if !live => self.admit_submission(request),
            RequestKind::Cancel if live => self.admit_cancellation(request),
            _ => self.await_read(request),
        }
    }

    /// Admits the submission of a job that is not live.
    fn admit_submission(&mut self, mut request: PendingRequest) {
        let RequestKind::Submit(spec) = &request.kind else {
            return;
        };
        match self.validate(spec) {
            Err(Rejection::RetryAfter) => self.respond(&request, Self::RETRY_AFTER),
            Err(Rejection::Never(why)) => {
                request.kind = RequestKind::Refuse(UserResponse::Unsatisfiable(why.into()));
                self.await_read(request);
            }
            Ok(()) if spec.dependencies.is_empty() => self.users.push_submission(request),
            // A controller that ignores dependencies would start the job too early.
            Ok(()) if !self.supports_dependencies() => {
                self.respond(&request, Self::RETRY_AFTER);
            }
            Ok(()) => self.check_dependencies(request, false),
        }
    }

    /// Whether a job can run by the settings, the catalog and the placement rules.
    fn validate(&self, spec: &JobSpec) -> Result<(), Rejection> {
        if self.settings.team(&spec.team).is_none() {
            return Err(Rejection::Never("unknown team".to_owned()));
        }
        if self.cell.types.value.is_none() || self.cell.shards() == 0 {
            return Err(Rejection::RetryAfter);
        }
        if let Some(why) = self.unsatisfiable_reason(spec) {
            return Err(Rejection::Never(why.to_owned()));
        }
        self.rejection(spec).map_or(Ok(()), Err)
    }

    /// Why a job could never run; `None` also while that is not known.
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

    /// Sends what the rates of the state store allow.
    pub(super) fn drive_users(&mut self) {
        let sent = match self.users.pause_end(self.now.steady) {
            Some(until) => Err(until),
            None => self.send_due_requests(),
        };
        if let Err(at) = sent {
            self.wake_at(at);
        }
    }

    /// Cancellations first, since they free machines; lookups of final records last. Fails with the time at which the
    /// rates allow the next request.
    fn send_due_requests(&mut self) -> Result<(), Micros> {
        self.drive_cancellations()?;
        self.drive_submissions()?;
        self.drive_final_lookups()
    }

    fn drive_final_lookups(&mut self) -> Result<(), Micros> {
        let now = self.now.steady;
        while let Some(lookup) = self.users.pop_final_lookup() {
            let reserve = if lookup.request.is_query() {
                Self::QUERY_RESERVE
            } else {
                0.0
            };
            if let Err(at) = self.budget.spend(now, 0, reserve) {
                self.users.unpop_final_lookup(lookup);
                return Err(at);
            }
            let key = Key::Final(lookup.job);
            let purpose = Purpose::Final(lookup.request, lookup.job);
            self.ask_state(purpose, StateRequest::Get(key));
        }
        Ok(())
    }

    /// Asks the users of requests that have waited too long to retry.
    pub(super) fn tick_users(&mut self) {
        for request in self.users.take_expired(self.now.steady) {
            self.respond(&request, Self::RETRY_AFTER);
        }
    }
}
