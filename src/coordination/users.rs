//! Users: submissions, queries and cancellations.
//!
//! What is not final is answered only after a read that began after the request came: another
//! node may have told this user something newer than this copy knows.

use super::rules::NotTaken;
use super::{CallId, Controller, Effect, Purpose};
use crate::bookkeeping::ids::JobId;
use crate::bookkeeping::job::{FinalRecord, JobRecord, JobSpec};
use crate::bookkeeping::records::Key;
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::{Change, Content, Touched};
use crate::protocol::state::{CallError, Put, StateReply, StateRequest, Txn, encode};
use crate::protocol::user::{JobAnswer, JobStatus, UserAnswer, UserRequest};
use std::borrow::Cow;
use std::collections::{HashMap, HashSet, VecDeque};

#[derive(Clone, Debug)]
enum Wish {
    Submit(Box<JobSpec>),
    /// A submission that would be refused with this answer, unless its job is known already.
    Refuse(UserAnswer),
    Query,
    Abort,
}

/// A request on its way to an answer.
#[derive(Clone, Debug)]
pub struct Waiting {
    call: CallId,
    id: JobId,
    wish: Wish,
    since: Micros,
    /// Time of day when the request came.
    day: Micros,
    /// A read that began after this call must have completed.
    after: u64,
    tries: u32,
}

impl Waiting {
    /// Whether its user only asks, and changes nothing.
    fn only_asks(&self) -> bool {
        matches!(self.wish, Wish::Query)
    }
}

/// Requests that wait, and ends of jobs that were seen lately.
#[derive(Debug, Default)]
pub struct Users {
    submits: Vec<Waiting>,
    aborts: Vec<Waiting>,
    reads: Vec<Waiting>,
    /// Final records to be read: for whom, and of which job.
    finals: VecDeque<(Waiting, JobId)>,
    ended: HashMap<JobId, FinalRecord>,
    ended_order: VecDeque<JobId>,
    /// Jobs that were found to be neither live nor ended, and have not come up in the copy since.
    absent: HashSet<JobId>,
    absent_order: VecDeque<JobId>,
    /// Polls answered, told to come back for want of time, and refused at once.
    polls: Polls,
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
        self.reads.iter().map(|w| now.since(w.since)).max()
    }

    fn waiting(&self) -> usize {
        self.submits.len() + self.aborts.len() + self.reads.len() + self.finals.len()
    }
}

fn final_answer(id: JobId, f: FinalRecord) -> JobAnswer {
    JobAnswer {
        id,
        status: if f.cancelled { JobStatus::Cancelled } else { JobStatus::Done },
        done: f.done,
        running: 0,
        reason: None,
    }
}

impl Controller {
    const LATER: UserAnswer = UserAnswer::Later(1);
    /// Users go before rounds: their requests are few, and may overdraw what a round has left.
    const USERS: f64 = -1.0;
    /// What polls leave of the requests for everything else.
    pub(super) const POLLS: f64 = 0.4;
    /// Contact older than this means that a request could not be decided in time.
    const BLIND: Micros = Micros::millis(4_500);

    /// Reads of final records that may wait: about as many as can be made before their users give up.
    fn most_finals(&self) -> usize {
        (self.cfg.state_rps / self.cfg.controllers() as f64) as usize + 4
    }

    fn answer(&mut self, w: &Waiting, answer: UserAnswer) {
        if matches!(answer, UserAnswer::Later(_)) && !w.only_asks() {
            let waited = self.now.steady.since(w.since);
            tracing::info!(job = %w.id, %waited, "told its user to come back");
        }
        if w.only_asks() {
            let polls = &mut self.users.polls;
            *match answer {
                UserAnswer::Later(_) if w.since == self.now.steady => &mut polls.refused,
                UserAnswer::Later(_) => &mut polls.delayed,
                _ => &mut polls.answered,
            } += 1;
        }
        self.out.push(Effect::User(w.call, answer));
    }

    /// What a live job's user is told; nothing while it may be cancelled because of a job before it.
    fn live_answer(&self, id: JobId) -> Option<JobAnswer> {
        let job = self.view.jobs.get(&id)?;
        let running = self.view.booked_count(id);
        if job.stage.doubtful {
            return None;
        }
        let status = match (job.cancelled(), running) {
            (true, _) => JobStatus::Cancelled,
            (false, 0) => JobStatus::Queued,
            _ => JobStatus::Running,
        };
        Some(JobAnswer { id, status, done: job.done(), running, reason: self.rules.reason(id) })
    }

    /// Why a job could never run; `None` also while that is not known.
    fn never(&self, spec: &JobSpec) -> Option<&'static str> {
        let Some(types) = &self.view.types.value else {
            return None;
        };
        if !types.types.iter().any(|t| spec.fits_type(t)) {
            return Some("a task fits no allowed machine type");
        }
        let team = self.cfg.team(&spec.crew)?;
        let tasks = if spec.together() { u64::from(spec.pieces) } else { 1 };
        let need = spec.need.times(tasks);
        (!team.allows(need.cores, need.accelerators)).then_some("more than the team's limit")
    }

    pub(super) fn on_bad_submission(&mut self, call: CallId, id: JobId, why: Cow<'static, str>) {
        self.take_request(call, id, Wish::Refuse(UserAnswer::Bad(why)));
    }

    pub(super) fn on_user(&mut self, call: CallId, request: UserRequest) {
        let id = request.job();
        let wish = match request {
            UserRequest::Query(_) => Wish::Query,
            UserRequest::Abort(_) => Wish::Abort,
            UserRequest::Submit(_, spec) => Wish::Submit(spec),
        };
        self.take_request(call, id, wish);
    }

    fn take_request(&mut self, call: CallId, id: JobId, wish: Wish) {
        let mut w =
            Waiting { call, id, wish, since: self.now.steady, day: self.now.day, after: self.next_call, tries: 0 };
        if let Some(f) = self.users.ended.get(&id) {
            let answer = final_answer(id, *f);
            return self.answer(&w, UserAnswer::Is(answer));
        }
        if !self.reader.ready() || self.contact_age() > Self::BLIND || self.users.waiting() >= Users::WAITING {
            return self.answer(&w, Self::LATER);
        }
        let live = self.view.jobs.get(&id);
        match &w.wish {
            Wish::Submit(spec) if live.is_none() => {
                if self.cfg.team(&spec.crew).is_none() {
                    w.wish = Wish::Refuse(UserAnswer::Never("unknown team".into()));
                } else if self.view.types.value.is_none() || self.view.slices() == 0 {
                    return self.answer(&w, Self::LATER);
                } else if let Some(why) = self.never(spec) {
                    w.wish = Wish::Refuse(UserAnswer::Never(why.into()));
                } else if let Some(why) = self.not_taken(spec) {
                    match why {
                        NotTaken::Never(why) => w.wish = Wish::Refuse(UserAnswer::Never(why.into())),
                        NotTaken::Later => return self.answer(&w, Self::LATER),
                    }
                } else if spec.awaits.is_empty() {
                    self.users.submits.push(w);
                    return;
                } else if !self.takes_pipelines() {
                    // The others would start it too early.
                    return self.answer(&w, Self::LATER);
                } else {
                    return self.consider(w, false);
                }
            }
            Wish::Abort => match live {
                Some(j) if j.cancelled() => {
                    if let Some(a) = self.live_answer(id) {
                        self.answer(&w, UserAnswer::Is(a));
                    }
                    return;
                }
                Some(_) => {
                    self.users.aborts.push(w);
                    return;
                }
                None => {}
            },
            _ => {}
        }
        self.await_read(w);
    }

    /// Decides on the submission of a job that awaits others: each of them must have been accepted, and be
    /// none that runs until it is cancelled. Whoever is live or has ended was; a job goes from the one to
    /// the other and never back, so to look in this order after a read misses none.
    fn consider(&mut self, mut w: Waiting, read: bool) {
        let Wish::Submit(spec) = &w.wish else { return };
        if !self.reader.ready() {
            // While the copy is read anew, jobs that are not in it may be live.
            return self.answer(&w, Self::LATER);
        }
        let mut missing = None;
        let mut refuse = None;
        for name in &spec.awaits {
            match self.view.jobs.get(name) {
                _ if *name == w.id => refuse = Some("it awaits itself"),
                Some(j) if j.spec().standing => refuse = Some("it awaits a job that does not end by itself"),
                Some(_) => {}
                None if self.users.ended.contains_key(name) => {}
                None if read && self.users.absent.contains(name) => refuse = Some("it awaits an unknown job"),
                None => missing = Some(*name),
            }
        }
        match (refuse, missing) {
            (Some(why), _) => {
                w.wish = Wish::Refuse(UserAnswer::Never(why.into()));
                self.await_read(w);
            }
            (None, None) => self.users.submits.push(w),
            (None, Some(_)) if !read => self.await_read(w),
            (None, Some(name)) => self.users.finals.push_back((w, name)),
        }
    }

    fn await_read(&mut self, mut w: Waiting) {
        w.after = self.next_call - 1;
        // What changes something goes before what only asks.
        if w.only_asks() {
            self.reader.want_read();
        } else {
            self.reader.want_barrier();
        }
        self.users.reads.push(w);
    }

    pub(super) fn pump_users(&mut self) {
        let now = self.now.steady;
        while let Some(w) = self.users.aborts.pop() {
            if let Err(at) = self.budget.spend(now, 1, Self::USERS) {
                self.users.aborts.push(w);
                self.wake_at(at);
                return;
            }
            self.send_abort(w);
        }
        while !self.users.submits.is_empty() {
            let n = self.users.submits.len().min(self.limits.txn_ops());
            if let Err(at) = self.budget.spend(now, n.min(4), Self::USERS) {
                self.wake_at(at);
                return;
            }
            let mut batch: Vec<Waiting> = self.users.submits.drain(..n.min(4)).collect();
            // One name may be asked for twice at once.
            batch.sort_by_key(|w| w.id);
            let mut twins = Vec::new();
            batch.dedup_by(|b, a| {
                let same = a.id == b.id;
                if same {
                    twins.push(b.clone());
                }
                same
            });
            for t in twins {
                self.await_read(t);
            }
            self.send_submits(batch);
        }
        while let Some((w, of)) = self.users.finals.pop_front() {
            let reserve = if w.only_asks() { Self::POLLS } else { 0.0 };
            if let Err(at) = self.budget.spend(now, 0, reserve) {
                self.users.finals.push_front((w, of));
                self.wake_at(at);
                return;
            }
            self.ask_state(Purpose::Final(w, of), StateRequest::Get(Key::Final(of)));
        }
    }

    fn new_record(&self, spec: &JobSpec, submitted: Micros) -> JobRecord {
        let mut spec = spec.clone();
        if let (Some(builds), Some(types)) = (&mut spec.builds, &self.view.types.value) {
            // Types that the cloud does not know cannot be hired; an empty list stays one.
            builds.retain(|b| types.get(b).is_some());
        }
        JobRecord {
            spec,
            submitted,
            cancelled: false,
            finished: Default::default(),
            more: 0,
            full: 0,
            errors: 0,
            avoid: Vec::new(),
        }
    }

    fn send_submits(&mut self, batch: Vec<Waiting>) {
        let mut txn = Txn::default();
        let mut sent = Vec::new();
        for w in batch {
            let Wish::Submit(spec) = &w.wish else {
                continue;
            };
            let value = encode(&self.new_record(spec, w.day).terse(self.view.terse()));
            // Room for a full bitmap and the machines to avoid must be left.
            let size = value.as_ref().map_or(0, |v| v.get().len());
            let spare = 1_600.min(spec.pieces as usize / 4 + 200);
            if size + spare > self.limits.value_bytes() {
                self.answer(&w, UserAnswer::Bad("too large".into()));
                continue;
            }
            txn.when.push((Key::Job(w.id), 0));
            txn.when.push((Key::Final(w.id), 0));
            txn.then.push(Put { key: Key::Job(w.id), value, permit: None });
            sent.push(w);
        }
        if !sent.is_empty() {
            self.ask_state(Purpose::Submit(sent), StateRequest::Txn(txn));
        }
    }

    pub(super) fn on_submitted(&mut self, batch: Vec<Waiting>, result: Result<StateReply, CallError>) {
        match result {
            Ok(StateReply::Applied(epoch)) => {
                let mut touched = Touched::default();
                let changes: Vec<Change> = batch
                    .iter()
                    .filter_map(|w| {
                        let Wish::Submit(spec) = &w.wish else {
                            return None;
                        };
                        Some(Change {
                            key: Key::Job(w.id),
                            content: Some(Content::Job(Box::new(self.new_record(spec, w.day)))),
                            stamp: epoch,
                        })
                    })
                    .collect();
                self.view.apply(changes, &mut touched);
                for w in batch {
                    if let Wish::Submit(spec) = &w.wish {
                        tracing::info!(job = %w.id, lane = spec.lane, crew = spec.crew, pieces = spec.pieces, cores = spec.need.cores as f64 / 1e3, "accepted");
                    }
                    // The watch may have brought its cancellation, or its end, before this answer; and of a
                    // job that awaits others it may not be known yet whether one of these is cancelled.
                    match self.view.jobs.get(&w.id) {
                        Some(j) if !j.record.cancelled && !j.stage.doubtful => {
                            let status = if j.cancelled() { JobStatus::Cancelled } else { JobStatus::Queued };
                            let answer = JobAnswer { id: w.id, status, done: 0, running: 0, reason: None };
                            self.answer(&w, UserAnswer::Accepted(answer));
                        }
                        _ => self.await_read(w),
                    }
                }
                self.on_touched_view(&touched);
            }
            Ok(_) | Err(CallError::Unknown) => {
                // Known already, or the outcome is unknown: the state decides.
                for mut w in batch {
                    w.tries += 1;
                    if w.tries > 2 {
                        self.answer(&w, Self::LATER);
                    } else {
                        self.await_read(w);
                    }
                }
            }
            Err(_) => {
                for w in batch {
                    self.answer(&w, Self::LATER);
                }
            }
        }
    }

    fn send_abort(&mut self, w: Waiting) {
        let Some(job) = self.view.jobs.get(&w.id) else {
            return self.await_read(w);
        };
        let record = JobRecord { cancelled: true, ..job.record.clone().terse(self.view.terse()) };
        let txn = Txn {
            when: vec![(Key::Job(w.id), job.stamp)],
            then: vec![Put { key: Key::Job(w.id), value: encode(&record), permit: None }],
        };
        self.ask_state(Purpose::Abort(w), StateRequest::Txn(txn));
    }

    pub(super) fn on_aborted(&mut self, mut w: Waiting, result: Result<StateReply, CallError>) {
        match result {
            Ok(StateReply::Applied(epoch)) => {
                tracing::info!(job = %w.id, "cancelled by its user");
                let mut answer =
                    JobAnswer { id: w.id, status: JobStatus::Cancelled, done: 0, running: 0, reason: None };
                if let Some(job) = self.view.jobs.get(&w.id) {
                    let record = JobRecord { cancelled: true, ..job.record.clone() };
                    answer.done = job.done();
                    let change =
                        Change { key: Key::Job(w.id), content: Some(Content::Job(Box::new(record))), stamp: epoch };
                    let mut touched = Touched::default();
                    self.view.apply([change], &mut touched);
                    self.on_touched_view(&touched);
                }
                self.answer(&w, UserAnswer::Is(answer));
            }
            Ok(_) | Err(CallError::Unknown) => {
                w.tries += 1;
                if w.tries > 6 {
                    self.answer(&w, Self::LATER);
                } else {
                    self.await_read(w);
                }
            }
            Err(_) => self.answer(&w, Self::LATER),
        }
    }

    /// Resolves what waited for a read.
    pub(super) fn users_after_read(&mut self) {
        if self.users.reads.is_empty() {
            return;
        }
        let (ready, still): (Vec<Waiting>, Vec<Waiting>) =
            std::mem::take(&mut self.users.reads).into_iter().partition(|w| self.reader.passed(w.after));
        if still.iter().any(|w| !w.only_asks()) {
            self.reader.want_barrier();
        } else if !still.is_empty() {
            self.reader.want_read();
        }
        self.users.reads = still;
        for w in ready {
            let live = self.view.jobs.contains_key(&w.id);
            match (self.live_answer(w.id), &w.wish) {
                // How a job before it ended is being looked up; it may be cancelled whatever that is.
                (None, Wish::Abort) if live => self.users.aborts.push(w),
                (None, _) if live => self.await_read(w),
                (Some(a), Wish::Abort) if a.status != JobStatus::Cancelled => self.users.aborts.push(w),
                (Some(a), _) => self.answer(&w, UserAnswer::Is(a)),
                (None, _) => match self.users.ended.get(&w.id) {
                    Some(f) => {
                        let a = final_answer(w.id, *f);
                        self.answer(&w, UserAnswer::Is(a));
                    }
                    None if matches!(&w.wish, Wish::Submit(s) if !s.awaits.is_empty()) => self.consider(w, true),
                    None if self.users.absent.contains(&w.id) => self.decide_absent(w),
                    // Who asks about what nobody has submitted must not take the requests of others.
                    None if w.only_asks() && self.users.finals.len() >= self.most_finals() => {
                        self.answer(&w, Self::LATER);
                    }
                    None => self.users.finals.push_back((w.clone(), w.id)),
                },
            }
        }
    }

    pub(super) fn on_final(&mut self, w: Waiting, of: JobId, result: Result<StateReply, CallError>) {
        match result {
            Ok(StateReply::Value(Some(value))) => match serde_json::from_str::<FinalRecord>(value.get()) {
                Ok(f) if of != w.id => {
                    self.users.remember(of, f);
                    self.consider(w, true);
                }
                Ok(f) => {
                    self.users.remember(w.id, f);
                    self.answer(&w, UserAnswer::Is(final_answer(w.id, f)));
                }
                Err(_) => self.answer(&w, Self::LATER),
            },
            Ok(StateReply::Value(None)) => {
                if !self.view.jobs.contains_key(&of) {
                    self.users.remember_absent(of);
                }
                if of == w.id {
                    self.decide_absent(w);
                } else {
                    self.consider(w, true);
                }
            }
            _ => self.answer(&w, Self::LATER),
        }
    }

    /// Nobody has submitted this job before.
    fn decide_absent(&mut self, w: Waiting) {
        match &w.wish {
            Wish::Query | Wish::Abort => self.answer(&w, UserAnswer::Unknown),
            Wish::Refuse(answer) => {
                let answer = answer.clone();
                self.answer(&w, answer);
            }
            Wish::Submit(_) => self.users.submits.push(w),
        }
    }

    /// A read brought nothing: who waits for one is told to come back.
    pub(super) fn users_without_contact(&mut self) {
        for w in std::mem::take(&mut self.users.reads) {
            self.answer(&w, Self::LATER);
        }
    }

    /// Gives up on requests that took too long.
    pub(super) fn sweep_users(&mut self) {
        let now = self.now.steady;
        let limit = |w: &Waiting| match w.wish {
            Wish::Query => Micros::millis(1_500),
            _ => Micros::millis(3_000),
        };
        let mut late = Vec::new();
        let users = &mut self.users;
        for queue in [&mut users.submits, &mut users.aborts, &mut users.reads] {
            late.extend(queue.extract_if(.., |w| now.since(w.since) > limit(w)));
        }
        while users.finals.front().is_some_and(|(w, _)| now.since(w.since) > limit(w)) {
            late.extend(users.finals.pop_front().map(|(w, _)| w));
        }
        for w in late {
            self.answer(&w, Self::LATER);
        }
    }
}
