//! Requests that wait for a read, and look-ups of how jobs ended.

use super::{PendingRequest, RequestKind, final_answer};
use crate::coordination::Controller;
use crate::protocol::state::{CallError, StateReply};
use crate::protocol::user::{JobStatus, UserResponse};
use crate::storage::ids::JobId;
use crate::storage::job::FinalRecord;

impl Controller {
    /// Decides on the submission of a job that awaits others: each of them must have been accepted, and be
    /// none that runs until it is cancelled. Whoever is live or has ended was; a job goes from the one to
    /// the other and never back, so to look in this order after a read misses none.
    pub(super) fn consider(&mut self, mut request: PendingRequest, read: bool) {
        let RequestKind::Submit(spec) = &request.kind else {
            return;
        };
        if !self.replica.ready() {
            // While the copy is read anew, jobs that are not in it may be live.
            return self.answer(&request, Self::RETRY_AFTER);
        }
        let mut missing = None;
        let mut refuse = None;
        for name in &spec.dependencies {
            match self.cell.jobs.get(name) {
                _ if *name == request.id => refuse = Some("it awaits itself"),
                Some(j) if j.spec().service => {
                    refuse = Some("it awaits a job that does not end by itself")
                }
                Some(_) => {}
                None if self.users.ended.contains_key(name) => {}
                None if read && self.users.absent.contains(name) => {
                    refuse = Some("it awaits an unknown job")
                }
                None => missing = Some(*name),
            }
        }
        match (refuse, missing) {
            (Some(why), _) => {
                request.kind = RequestKind::Refuse(UserResponse::Never(why.into()));
                self.await_read(request);
            }
            (None, None) => self.users.submits.push(request),
            (None, Some(_)) if !read => self.await_read(request),
            (None, Some(name)) => self.users.finals.push_back((request, name)),
        }
    }

    pub(super) fn await_read(&mut self, mut request: PendingRequest) {
        request.after = self.next_call - 1;
        // What changes something goes before what only asks.
        if request.is_query() {
            self.replica.want_read();
        } else {
            self.replica.want_barrier();
        }
        self.users.reads.push(request);
    }

    /// Resolves what waited for a read.
    pub(in crate::coordination) fn users_after_read(&mut self) {
        if self.users.reads.is_empty() {
            return;
        }
        let (ready, still): (Vec<PendingRequest>, Vec<PendingRequest>) =
            std::mem::take(&mut self.users.reads)
                .into_iter()
                .partition(|request| self.replica.passed(request.after));
        if still.iter().any(|request| !request.is_query()) {
            self.replica.want_barrier();
        } else if !still.is_empty() {
            self.replica.want_read();
        }
        self.users.reads = still;
        for request in ready {
            let live = self.cell.jobs.contains_key(&request.id);
            match (self.live_answer(request.id), &request.kind) {
                // How a job before it ended is being looked up; it may be cancelled whatever that is.
                (None, RequestKind::Abort) if live => self.users.aborts.push(request),
                (None, _) if live => self.await_read(request),
                (Some(a), RequestKind::Abort) if a.status != JobStatus::Cancelled => {
                    self.users.aborts.push(request)
                }
                (Some(a), _) => self.answer(&request, UserResponse::Is(a)),
                (None, _) => match self.users.ended.get(&request.id) {
                    Some(f) => {
                        let a = final_answer(request.id, *f);
                        self.answer(&request, UserResponse::Is(a));
                    }
                    None if matches!(&request.kind, RequestKind::Submit(s) if !s.dependencies.is_empty()) => {
                        self.consider(request, true)
                    }
                    None if self.users.absent.contains(&request.id) => self.decide_absent(request),
                    // Who asks about what nobody has submitted must not take the requests of others.
                    None if request.is_query() && self.users.finals.len() >= self.most_finals() => {
                        self.answer(&request, Self::RETRY_AFTER);
                    }
                    None => self.users.finals.push_back((request.clone(), request.id)),
                },
            }
        }
    }

    pub(in crate::coordination) fn on_final(
        &mut self,
        request: PendingRequest,
        of: JobId,
        result: Result<StateReply, CallError>,
    ) {
        match result {
            Ok(StateReply::Value(Some(value))) => {
                match serde_json::from_str::<FinalRecord>(value.get()) {
                    Ok(f) if of != request.id => {
                        self.users.remember(of, f);
                        self.consider(request, true);
                    }
                    Ok(f) => {
                        self.users.remember(request.id, f);
                        self.answer(&request, UserResponse::Is(final_answer(request.id, f)));
                    }
                    Err(_) => self.answer(&request, Self::RETRY_AFTER),
                }
            }
            Ok(StateReply::Value(None)) => {
                if !self.cell.jobs.contains_key(&of) {
                    self.users.remember_absent(of);
                }
                if of == request.id {
                    self.decide_absent(request);
                } else {
                    self.consider(request, true);
                }
            }
            _ => self.answer(&request, Self::RETRY_AFTER),
        }
    }

    /// Nobody has submitted this job before.
    pub(super) fn decide_absent(&mut self, request: PendingRequest) {
        match &request.kind {
            RequestKind::Query | RequestKind::Abort => self.answer(&request, UserResponse::Unknown),
            RequestKind::Refuse(answer) => {
                let answer = answer.clone();
                self.answer(&request, answer);
            }
            RequestKind::Submit(_) => self.users.submits.push(request),
        }
    }

    /// A read brought nothing: who waits for one is told to come back.
    pub(in crate::coordination) fn users_without_contact(&mut self) {
        for request in std::mem::take(&mut self.users.reads) {
            self.answer(&request, Self::RETRY_AFTER);
        }
    }
}
