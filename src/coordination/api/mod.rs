//! Users: submissions, queries and cancellations.
//!
//! What is not final is answered only after a read that began after the request came: another
//! node may have told this user something newer than this copy knows.

pub mod connections;
pub(super) mod dependencies;
mod reads;
mod submissions;

use crate::coordination::constraints::Rejection;
use crate::coordination::{CallId, Controller, Effect, Purpose};
use crate::protocol::state::StateRequest;
use crate::protocol::user::{JobStatus, JobStatusResponse, UserRequest, UserResponse};
use crate::storage::ids::JobId;
use crate::storage::job::{FinalRecord, JobSpec};
use crate::storage::records::Key;
use crate::time::Micros;
use std::borrow::Cow;
use std::collections::{HashMap, HashSet, VecDeque};

#[derive(Clone, Debug)]
enum RequestKind {
    Submit(Box<JobSpec>),
    /// A submission that would be refused with this answer, unless its job is known already.
    Refuse(UserResponse),
    Query,
    Abort,
}

/// A request on its way to an answer.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    call: CallId,
    id: JobId,
    kind: RequestKind,
    since: Micros,
    /// Time of day when the request came.
    day: Micros,
    /// A read that began after this call must have completed.
    after: u64,
    tries: u32,
}

impl PendingRequest {
    /// Whether its user only asks, and changes nothing.
    fn is_query(&self) -> bool {
        matches!(self.kind, RequestKind::Query)
    }
}

/// Requests that wait, and ends of jobs that were seen lately.
#[derive(Debug, Default)]
pub struct Users {
    submits: Vec<PendingRequest>,
    aborts: Vec<PendingRequest>,
    reads: Vec<PendingRequest>,
    /// Final records to be read: for whom, and of which job.
    finals: VecDeque<(PendingRequest, JobId)>,
    ended: HashMap<JobId, FinalRecord>,
    ended_order: VecDeque<JobId>,
    /// Jobs that were found to be neither live nor ended, and have not come up in the copy since.
    absent: HashSet<JobId>,
    absent_order: VecDeque<JobId>,
    /// Polls answered, told to come back for want of time, and refused at once.
    polls: Polls,
    /// Nothing of users is sent before this: the state service refused for its rate.
    paused_until: Micros,
}

/// How polls fared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polls {
    /// Answered with a state, or that there is no such job.
    pub answered: u64,
    /// Told to come back after they had waited.
    pub delayed: u64,
    /// Told to come back at once.
    pub refused: u64,
}

impl Users {
    const REMEMBERED: usize = 4_096;
    const WAITING: usize = 512;

    /// Remembers how a job ended.
    pub fn remember(&mut self, id: JobId, f: FinalRecord) {
        if self.ended.insert(id, f).is_none() {
            self.ended_order.push_back(id);
            if self.ended_order.len() > Self::REMEMBERED
                && let Some(old) = self.ended_order.pop_front()
            {
                self.ended.remove(&old);
            }
        }
    }

    /// How a job ended, if that is remembered.
    pub fn end_of(&self, id: JobId) -> Option<FinalRecord> {
        self.ended.get(&id).copied()
    }

    /// A job is neither live nor ended. That stays so until the copy shows it: a job ends after it was
    /// live, and the copy misses no change.
    fn remember_absent(&mut self, id: JobId) {
        if self.absent.insert(id) {
            self.absent_order.push_back(id);
            if self.absent_order.len() > Self::REMEMBERED
                && let Some(old) = self.absent_order.pop_front()
            {
                self.absent.remove(&old);
            }
        }
    }

    /// A job came up in the copy.
    pub fn appeared(&mut self, id: JobId) {
        self.absent.remove(&id);
    }

    /// The copy is read anew and may miss what was there meanwhile.
    pub fn forget_absent(&mut self) {
        self.absent.clear();
        self.absent_order.clear();
    }

    /// How polls fared.
    pub fn polls(&self) -> Polls {
        self.polls
    }

    /// How long the oldest read has waited.
    pub fn oldest_read(&self, now: Micros) -> Option<Micros> {
        self.reads
            .iter()
            .map(|request| now.since(request.since))
            .max()
    }

    fn waiting(&self) -> usize {
        self.submits.len() + self.aborts.len() + self.reads.len() + self.finals.len()
    }
}

fn final_answer(id: JobId, f: FinalRecord) -> JobStatusResponse {
    JobStatusResponse {
        id,
        status: if f.cancelled {
            JobStatus::Cancelled
        } else {
            JobStatus::Done
        },
        done: f.done,
        running: 0,
        reason: None,
    }
}

impl Controller {
    const RETRY_AFTER: UserResponse = UserResponse::RetryAfter(1);
    /// What polls leave of the requests for everything else.
    pub(super) const POLLS: f64 = 0.4;
    /// Contact older than this means that a request could not be decided in time.
    const BLIND: Micros = Micros::millis(4_500);

    /// Reads of final records that may wait: about as many as can be made before their users give up.
    fn most_finals(&self) -> usize {
        (self.settings.state_rps / self.settings.controllers() as f64) as usize + 4
    }

    fn answer(&mut self, request: &PendingRequest, answer: UserResponse) {
        if matches!(answer, UserResponse::RetryAfter(_)) && !request.is_query() {
            let waited = self.now.steady.since(request.since);
            tracing::info!(job = %request.id, %waited, "told its user to come back");
        }
        if request.is_query() {
            let polls = &mut self.users.polls;
            *match answer {
                UserResponse::RetryAfter(_) if request.since == self.now.steady => {
                    &mut polls.refused
                }
                UserResponse::RetryAfter(_) => &mut polls.delayed,
                _ => &mut polls.answered,
            } += 1;
        }
        self.effects.push(Effect::User(request.call, answer));
    }

    /// What a live job's user is told; nothing while it may be cancelled because of a job before it.
    fn live_answer(&self, id: JobId) -> Option<JobStatusResponse> {
        let job = self.cell.jobs.get(&id)?;
        let running = self.cell.assigned_count(id);
        if job.dependency_state.doubtful {
            return None;
        }
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

    /// Why a job could never run; `None` also while that is not known.
    fn never(&self, spec: &JobSpec) -> Option<&'static str> {
        let Some(types) = &self.cell.types.value else {
            return None;
        };
        if !types.types.iter().any(|t| spec.fits_type(t)) {
            return Some("a task fits no allowed machine type");
        }
        let team = self.settings.team(&spec.team)?;
        let tasks = if spec.together() {
            u64::from(spec.task_count)
        } else {
            1
        };
        let need = spec.need.times(tasks);
        (!team.allows(need.cores, need.accelerators)).then_some("more than the team's limit")
    }

    pub(super) fn on_bad_submission(&mut self, call: CallId, id: JobId, why: Cow<'static, str>) {
        self.take_request(call, id, RequestKind::Refuse(UserResponse::Bad(why)));
    }

    pub(super) fn on_user(&mut self, call: CallId, request: UserRequest) {
        let id = request.job();
        let kind = match request {
            UserRequest::Query(_) => RequestKind::Query,
            UserRequest::Abort(_) => RequestKind::Abort,
            UserRequest::Submit(_, spec) => RequestKind::Submit(spec),
        };
        self.take_request(call, id, kind);
    }

    fn take_request(&mut self, call: CallId, id: JobId, kind: RequestKind) {
        let mut request = PendingRequest {
            call,
            id,
            kind,
            since: self.now.steady,
            day: self.now.day,
            after: self.next_call,
            tries: 0,
        };
        if let Some(f) = self.users.ended.get(&id) {
            let answer = final_answer(id, *f);
            return self.answer(&request, UserResponse::Is(answer));
        }
        if !self.replica.ready()
            || self.contact_age() > Self::BLIND
            || self.users.waiting() >= Users::WAITING
        {
            return self.answer(&request, Self::RETRY_AFTER);
        }
        let live = self.cell.jobs.get(&id);
        match &request.kind {
            RequestKind::Submit(spec) if live.is_none() => {
                if self.settings.team(&spec.team).is_none() {
                    request.kind = RequestKind::Refuse(UserResponse::Never("unknown team".into()));
                } else if self.cell.types.value.is_none() || self.cell.shards() == 0 {
                    return self.answer(&request, Self::RETRY_AFTER);
                } else if let Some(why) = self.never(spec) {
                    request.kind = RequestKind::Refuse(UserResponse::Never(why.into()));
                } else if let Some(why) = self.rejection(spec) {
                    match why {
                        Rejection::Never(why) => {
                            request.kind = RequestKind::Refuse(UserResponse::Never(why.into()))
                        }
                        Rejection::RetryAfter => return self.answer(&request, Self::RETRY_AFTER),
                    }
                } else if spec.dependencies.is_empty() {
                    self.users.submits.push(request);
                    return;
                } else if !self.supports_dependencies() {
                    // The others would start it too early.
                    return self.answer(&request, Self::RETRY_AFTER);
                } else {
                    return self.consider(request, false);
                }
            }
            RequestKind::Abort => match live {
                Some(j) if j.cancelled() => {
                    if let Some(a) = self.live_answer(id) {
                        self.answer(&request, UserResponse::Is(a));
                    }
                    return;
                }
                Some(_) => {
                    self.users.aborts.push(request);
                    return;
                }
                None => {}
            },
            _ => {}
        }
        self.await_read(request);
    }

    pub(super) fn drive_users(&mut self) {
        let now = self.now.steady;
        let paused = self.users.paused_until;
        let sent = if now < paused {
            Err(paused)
        } else {
            self.drive_submissions()
                .and_then(|()| self.drive_final_lookups())
        };
        if let Err(at) = sent {
            self.wake_at(at);
        }
    }

    /// Sends cancellations, then submissions; when to go on if the rates leave no room for all.
    fn drive_submissions(&mut self) -> Result<(), Micros> {
        let now = self.now.steady;
        let round = self.limits.txn_ops();
        while let Some(request) = self.users.aborts.pop() {
            if let Err(at) = self.budget.spend_for_users(now, 1, round) {
                self.users.aborts.push(request);
                return Err(at);
            }
            self.send_abort(request);
        }
        while !self.users.submits.is_empty() {
            let n = self.users.submits.len().min(round).min(Self::MOST_SUBMITS);
            self.budget.spend_for_users(now, n, round)?;
            let batch: Vec<PendingRequest> = self.users.submits.drain(..n).collect();
            self.send_distinct(batch);
        }
        Ok(())
    }

    /// Sends submissions. One name may be asked for twice at once: the second waits for a read.
    fn send_distinct(&mut self, mut batch: Vec<PendingRequest>) {
        batch.sort_by_key(|request| request.id);
        let mut twins = Vec::new();
        batch.dedup_by(|b, a| {
            let same = a.id == b.id;
            if same {
                twins.push(b.clone());
            }
            same
        });
        twins.into_iter().for_each(|twin| self.await_read(twin));
        self.send_submits(batch);
    }

    /// Looks up how jobs ended; when to go on if the rates leave no room for all.
    fn drive_final_lookups(&mut self) -> Result<(), Micros> {
        let now = self.now.steady;
        while let Some((request, of)) = self.users.finals.pop_front() {
            let reserve = if request.is_query() { Self::POLLS } else { 0.0 };
            if let Err(at) = self.budget.spend(now, 0, reserve) {
                self.users.finals.push_front((request, of));
                return Err(at);
            }
            self.ask_state(
                Purpose::Final(request, of),
                StateRequest::Get(Key::Final(of)),
            );
        }
        Ok(())
    }

    /// Gives up on requests that took too long.
    pub(super) fn tick_users(&mut self) {
        let now = self.now.steady;
        let limit = |request: &PendingRequest| match request.kind {
            RequestKind::Query => Micros::millis(1_500),
            _ => Micros::millis(3_000),
        };
        let mut late = Vec::new();
        let users = &mut self.users;
        for queue in [&mut users.submits, &mut users.aborts, &mut users.reads] {
            late.extend(queue.extract_if(.., |request| now.since(request.since) > limit(request)));
        }
        while users
            .finals
            .front()
            .is_some_and(|(request, _)| now.since(request.since) > limit(request))
        {
            late.extend(users.finals.pop_front().map(|(request, _)| request));
        }
        for request in late {
            self.answer(&request, Self::RETRY_AFTER);
        }
    }
}
