//! Workers: their sessions, what they are told, and when a booking may be cleared.
//!
//! A booking is cleared only on proof that its attempt is not on the machine and cannot get there:
//! see `docs/design.md`, "When a booking may be cleared".

use super::rules::log_forbidden;
use super::{CallId, Controller, Effect, Purpose};
use crate::bookkeeping::ids::{Attempt, JobId, MachineId, Slice};
use crate::bookkeeping::records::{Booking, Fitness, MachineRecord};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::{Job, View};
use crate::protocol::settings::Settings;
use crate::protocol::worker::{Ended, Order, Report, ReportAnswer, TaskState, direct_body};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// A direct command that was sent and has not been answered yet.
#[derive(Debug)]
struct Direct {
    call: CallId,
    baton: u64,
    session: u64,
    launches: Vec<Attempt>,
}

/// What this process knows of a machine during its tenure of the machine's slice.
#[derive(Debug)]
pub struct Session {
    endpoint: String,
    build: String,
    yard: String,
    spot: bool,
    order: (u64, u64),
    /// The worker reported a token of this tenure: no earlier owner commands it any more.
    heard: bool,
    /// When the last report that was answered 200 came in.
    answered: Option<Micros>,
    /// When its present session was first seen, or it first reported a token of this tenure, whichever came later: its lease may
    /// have begun, or been renewed by an earlier owner, up to then.
    bound: Micros,
    /// When there was last any word of it: a report, or an answer to a direct command. Copies of earlier reports are none.
    word: Option<Micros>,
    /// When the last newer report came from the worker itself, not as the answer to a command.
    last_report: Option<Micros>,
    /// A direct command had no answer, and nothing has shown since then that the worker hears.
    unreachable: bool,
    /// The last report that was answered 200, and the highest token that was reported.
    told: Option<(u64, u64)>,
    baton: u64,
    /// Reports in a row that do not show that the worker hears: it may be deaf, or they may be copies.
    unheeding: u32,
    seen: Vec<(Attempt, TaskState)>,
    launched: BTreeSet<Attempt>,
    started: BTreeMap<Attempt, Micros>,

    /// Sessions up to this one are never answered 200 again.
    refused: u64,
    recall_at: Option<Micros>,
    direct: Option<Direct>,
    /// Direct launches without an answer: attempt, token, session.
    unsettled: Vec<(Attempt, u64, u64)>,
    unsettled_since: Micros,
    wants_direct: bool,
    failed_jobs: BTreeSet<JobId>,
    faulty: bool,
}

impl Session {
    fn new(endpoint: &str, build: &str, yard: &str, spot: bool) -> Session {
        Session {
            endpoint: endpoint.to_owned(),
            build: build.to_owned(),
            yard: yard.to_owned(),
            spot,
            order: (0, 0),
            heard: false,
            answered: None,
            bound: Micros::ZERO,
            word: None,
            last_report: None,
            unreachable: false,
            told: None,
            baton: 0,
            unheeding: 0,
            seen: Vec::new(),
            launched: BTreeSet::new(),
            started: BTreeMap::new(),

            refused: 0,
            recall_at: None,
            direct: None,
            unsettled: Vec::new(),
            unsettled_since: Micros::ZERO,
            wants_direct: false,
            failed_jobs: BTreeSet::new(),
            faulty: false,
        }
    }

    /// A direct command was answered.
    fn heeds(&mut self, now: Micros) {
        self.word = Some(now);
        self.unreachable = false;
        self.unheeding = 0;
    }

    /// A report that is newer than all before. Whether its worker hears what it is told shows in its token, and in
    /// that it stays: without an answer it would have gone to another controller with its next report.
    fn reported(&mut self, now: Micros, report: &Report, first_term: u64, alone: bool) {
        self.last_report = Some(now);
        let stayed = !alone && self.told == Some(self.order) && report.order == (self.order.0, self.order.1 + 1);
        let first = self.order == (0, 0);
        if stayed || report.baton >= first_term && (first || alone || report.baton > self.baton) {
            self.heeds(now);
        } else {
            self.word = Some(now);
            self.unheeding = self.unheeding.saturating_add(1);
        }
        self.baton = self.baton.max(report.baton);
    }

    /// Whether reports come from it, but nothing that it is told arrives.
    fn is_deaf(&self) -> bool {
        self.unheeding >= 2 && self.unreachable
    }

    /// Whether it answers commands, but none of its reports arrive: for longer than usual, or since this process could hear it,
    /// in a tenure in which it has not reported, for a lease. It may be looking for its owner; beyond that its session ends by
    /// itself, whatever it is told.
    fn is_mute(&self, now: Micros, since: Micros, usual: Micros, lease: Micros) -> bool {
        let (from, most) = self.last_report.map_or((since, lease), |t| (t.max(since), usual));
        now.since(from) > most && self.word.is_some_and(|word| word > from)
    }

    /// Launches that may still be on their way.
    fn under_way(&self) -> impl Iterator<Item = &Attempt> {
        let direct = self.direct.iter().flat_map(|d| &d.launches);
        direct.chain(self.unsettled.iter().map(|(a, _, _)| a))
    }

    /// Whether no launch of the attempt can still be on its way by a direct command.
    fn settled(&self, a: &Attempt) -> bool {
        !self.unsettled.iter().any(|(u, _, _)| u == a) && self.direct.as_ref().is_none_or(|d| !d.launches.contains(a))
    }

    fn sees(&self, a: &Attempt) -> Option<TaskState> {
        self.seen.iter().find(|(s, _)| s == a).map(|(_, t)| *t)
    }

    /// Whether the worker has room for a launch: only in question while others are being stopped
    /// for it.
    fn has_room(&self, view: &View, record: Option<&MachineRecord>, a: &Attempt) -> bool {
        let Some(record) = record.filter(|r| !r.preempted.is_empty()) else { return true };
        let mut room = view.machine_type(&record.build).map(|t| t.room).unwrap_or_default();
        for (t, state) in &self.seen {
            if t != a && !matches!(state, TaskState::Exited(_)) {
                room -= view.need(t.task.job);
            }
        }
        for t in self.launched.iter().filter(|t| *t != a && self.sees(t).is_none()) {
            room -= view.need(t.task.job);
        }
        view.need(a.task.job).fits(&room)
    }

    /// Takes a newer report's session and token.
    fn takes(&mut self, now: Micros, report: &Report, first_term: u64) {
        if report.session() != self.order.0 {
            self.launched.clear();
            self.started.clear();
            if self.order.0 != 0 {
                tracing::info!(machine = %report.machine, session = report.session(), "a new session");
            }
            self.bound = now;
        }
        self.order = report.order;
        if !self.heard && report.baton >= first_term {
            self.heard = true;
            self.bound = now;
        }
    }

    /// For how long its lease can't have been renewed: since the last of its reports that was answered. That may have been a
    /// copy of an old one, or one whose answer was lost, so nothing from before its present session began counts, nor from
    /// before the worker had the token of this tenure: until then an earlier owner may have answered it.
    fn unrenewed(&self, now: Micros) -> Option<Micros> {
        let answered = self.answered.filter(|_| self.heard)?;
        Some(now.since(answered.max(self.bound)))
    }

    /// When there was last any word of it in this tenure.
    pub fn last_word(&self) -> Option<Micros> {
        self.word
    }

    /// Whether a question since then had no answer.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Whether it can be asked now.
    pub fn may_be_asked(&self) -> bool {
        self.direct.is_none() && !self.endpoint.is_empty()
    }

    /// The record of a machine that is heard for the first time.
    pub fn record(&self) -> MachineRecord {
        MachineRecord {
            build: self.build.as_str().into(),
            yard: self.yard.as_str().into(),
            spot: self.spot,
            endpoint: self.endpoint.parse().ok(),
            fitness: Fitness::Up,
            dead: self.refused,
            images: Vec::new(),
            tasks: Vec::new(),
            preempted: Vec::new(),
        }
    }
}

/// Whether more is booked for a job's team than it may have. Nobody books that who knows the limit, so it was booked
/// before a later deploy file brought it: what has not begun of it is not launched any more, but given back.
fn beyond_limit(view: &View, cfg: &Settings, job: JobId) -> bool {
    let Some(spec) = view.jobs.get(&job).map(Job::spec) else { return false };
    let Some(team) = cfg.team(&spec.crew) else { return false };
    if team.cores_limit.is_none() && team.accelerators_limit.is_none() {
        return false;
    }
    let used = view.used(view.job_slice(job, spec), &spec.crew);
    team.cores_limit.is_some_and(|most| used.0 > most) || team.accelerators_limit.is_some_and(|most| used.1 > most)
}

/// The time that a task of this job is given to save when it is stopped.
fn leeway(job: Option<&Job>) -> Micros {
    let spec = job.map(Job::spec);
    spec.filter(|s| s.bookmark > Micros::ZERO).map_or(Micros::ZERO, |s| s.stash.with_drift())
}

/// Why a booking is cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Completed.
    Done,
    /// Failed on its machine.
    Failed,
    /// Not on the machine, and not coming: planned again.
    Again,
}

/// What is to become of a machine's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Its new fitness.
    pub fitness: Fitness,
    /// Sessions up to this one are over.
    pub dead: u64,
}

impl Controller {
    /// Added to the lease before silence counts as proof, beside the drift.
    const SILENCE_MARGIN: Micros = Micros::millis(400);
    const DIRECT_LIMIT: Micros = Micros::millis(2_500);
    /// Removed machines that are remembered.
    const REMOVED: usize = 4_096;

    /// A report is due by then, and a little late.
    fn report_due(report: Micros) -> Micros {
        report + Micros(report.0 / 4) + Micros::millis(1_500)
    }

    /// The same where the worker may first have to give up on another node.
    fn longest_quiet(report: Micros) -> Micros {
        Self::report_due(report) + Micros::millis(5_500)
    }

    pub(super) fn begin_sessions(&mut self, k: Slice) {
        self.end_sessions(k);
        let machines: Vec<(MachineId, Session)> = self
            .view
            .machines_of(k)
            .map(|(m, r)| {
                let endpoint = r.endpoint.map(|e| e.to_string()).unwrap_or_default();
                let mut s = Session::new(&endpoint, &r.build, &r.yard, r.spot);
                s.refused = r.dead;
                (m, s)
            })
            .collect();
        self.sessions.extend(machines);
    }

    pub(super) fn end_sessions(&mut self, k: Slice) {
        let view = &self.view;
        self.sessions.retain(|m, _| view.machine_slice(*m) != k);
        let view = &self.view;
        self.rounds.drop_machines(|m| view.machine_slice(m) == k);
    }

    pub(super) fn on_report(&mut self, report: &Report) -> ReportAnswer {
        if !self.reader.ready() || self.view.slices() == 0 {
            return ReportAnswer::Unavailable;
        }
        let k = self.view.machine_slice(report.machine);
        if !self.owns(k) {
            let owner = self.view.own[k].value.as_ref().filter(|o| {
                o.node != self.cfg.node && self.view.nodes.get(&o.node).is_some_and(|n| n.value.run == o.run)
            });
            return match owner {
                Some(o) => ReportAnswer::Elsewhere(Some(o.node.clone())),
                None => ReportAnswer::Unavailable,
            };
        }
        if self.is_out_of_contact() {
            return ReportAnswer::Unavailable;
        }
        let baton = self.view.own[k].stamp;
        if report.baton > baton {
            tracing::info!(machine = %report.machine, theirs = report.baton, ours = baton, "a worker has a newer token");
            self.reader.want_barrier();
            return ReportAnswer::Unavailable;
        }
        // One that was given up while it booted is never used: its release is under way.
        if self.removed.contains(&report.machine) || self.view.fleet.value.releasing.contains(&report.machine) {
            return ReportAnswer::Unavailable;
        }
        let dead = self.view.machine(report.machine).map_or(0, |r| r.dead);
        let session = self.sessions.entry(report.machine).or_insert_with(|| {
            tracing::info!(machine = %report.machine, build = report.build, spot = report.spot, "heard for the first time");
            Session::new(&report.endpoint, &report.build, &report.yard, report.spot)
        });
        if session.endpoint != report.endpoint {
            session.endpoint.clone_from(&report.endpoint);
        }
        session.refused = session.refused.max(dead);
        if report.session() <= session.refused {
            return ReportAnswer::Unavailable;
        }
        let now = self.now.steady;
        // An older one may be a copy, which is no sign of life; or the worker's own, overtaken by its answer to a direct
        // command, so it is answered.
        let newer = report.order > session.order;
        if newer {
            let first = self.ownership.tenure(k).map_or(u64::MAX, |t| t.first);
            session.reported(now, report, first, self.cfg.others.is_empty());
            self.take_report(k, report);
        }
        if self.overdue(report.machine) {
            return ReportAnswer::Unavailable;
        }
        if let Some(s) = self.sessions.get_mut(&report.machine) {
            s.answered = Some(now);
            s.told = Some(report.order);
        }
        let orders = self.orders(k, report.machine, newer);
        self.ask_whether_it_hears(report.machine);
        ReportAnswer::Orders { baton, orders }
    }

    /// Whether a launch may still reach a machine whose job was cancelled so long ago that its lease must end.
    fn overdue(&self, m: MachineId) -> bool {
        let Some(s) = self.sessions.get(&m) else { return false };
        let overdue = self.is_overdue(self.cancelled.earliest(s.under_way()));
        if overdue {
            tracing::info!(machine = %m, "not answered: a launch of a cancelled job may still be on its way to it");
        }
        overdue
    }

    /// A machine that reports and may be deaf is asked: it gets no work until it answers, or is seen to hear.
    fn ask_whether_it_hears(&mut self, m: MachineId) {
        let lost = self.view.machine(m).is_some_and(|r| r.fitness == Fitness::Lost);
        let asks = |s: &Session| s.may_be_asked() && s.unheeding >= if lost { 1 } else { 2 };
        if self.sessions.get(&m).is_some_and(asks) {
            self.command(m, Vec::new(), Vec::new());
        }
    }

    /// Takes a newer report of a machine, by whichever way it came.
    fn take_report(&mut self, k: Slice, report: &Report) {
        let now = self.now.steady;
        let Some(tenure) = self.ownership.tenure(k) else {
            return;
        };
        let Some(s) = self.sessions.get_mut(&report.machine) else {
            return;
        };
        s.takes(now, report, tenure.first);
        s.seen.clone_from(&report.tasks);
        s.unsettled.retain(|(_, baton, session)| report.baton <= *baton && report.session() <= *session);
        for (a, state) in &report.tasks {
            if *state == TaskState::Running {
                s.started.entry(*a).or_insert(now);
            }
        }
        if s.started.len() > report.tasks.len() {
            s.started.retain(|a, _| report.tasks.iter().any(|(t, _)| t == a));
        }
        let recall_at = report.recall.map(|r| now + r);
        if recall_at.is_some() && s.recall_at.is_none() {
            tracing::info!(machine = %report.machine, "the cloud will take it back");
        }
        s.recall_at = recall_at;
        // The first word of a machine may be a copy of a report of one that is gone. Who owns the slice for long
        // remembers those.
        let copies = self.cfg.lease * 3;
        let since = tenure.since.max(self.absence.back());
        let mute = s.is_mute(now, since, Self::longest_quiet(self.cfg.report), self.cfg.lease);
        match self.view.machine(report.machine) {
            None if !s.heard && now.since(tenure.since) < copies => {}
            None => self.rounds.add(report.machine),
            Some(r) => {
                let wanted = if r.fitness == Fitness::Releasing {
                    Fitness::Releasing
                } else if s.is_deaf() || r.fitness == Fitness::Lost && (mute || s.unheeding > 0) {
                    if r.fitness != Fitness::Lost {
                        tracing::info!(machine = %report.machine, "deaf: it reports, but hears nothing");
                    }
                    Fitness::Lost
                } else if recall_at.is_some() || s.faulty {
                    Fitness::Draining
                } else {
                    Fitness::Up
                };
                if wanted != r.fitness {
                    self.rounds.mark(report.machine, Mark { fitness: wanted, dead: r.dead });
                }
            }
        }
    }

    /// What the worker must be told, by its newest report and the copy. What the report proves is
    /// handed to the next round. `in_answer`: to a report; otherwise an earlier answer may still be
    /// on its way.
    fn orders(&mut self, k: Slice, machine: MachineId, in_answer: bool) -> Vec<Order> {
        let mut orders = Vec::new();
        let now = self.now.steady;
        let Some(s) = self.sessions.get_mut(&machine) else {
            return orders;
        };
        let record = self.view.machine(machine);
        let booked = record.map_or(&[][..], |r| &r.tasks);
        let preempted = record.map_or(&[][..], |r| &r.preempted);
        let fitness = record.map_or(Fitness::Up, |r| r.fitness);
        for (a, state) in &s.seen {
            let is_booked = booked.contains(&Booking::of(*a));
            match (is_booked, state) {
                (true, TaskState::Exited(ended)) => {
                    // A report of an earlier term proves nothing about who commands the worker.
                    if !s.heard {
                        continue;
                    }
                    let outcome = match ended {
                        Ended::Done => Outcome::Done,
                        Ended::Error => Outcome::Failed,
                        _ => Outcome::Again,
                    };
                    if self.rounds.clear(machine, *a, outcome, now) {
                        tracing::info!(task = %a, machine = %machine, ?ended, "exited");
                        match outcome {
                            // That a suspect job fails says nothing about the machine.
                            Outcome::Failed if self.rounds.is_suspect(a.task.job) => {}
                            Outcome::Failed => {
                                s.failed_jobs.insert(a.task.job);
                                // One job that fails may be to blame itself; two point at the machine.
                                if s.failed_jobs.len() >= 2 && !s.faulty {
                                    tracing::info!(machine = %machine, "faulty, will be left");
                                    s.faulty = true;
                                }
                            }
                            Outcome::Done => s.failed_jobs.clear(),
                            Outcome::Again => {}
                        }
                    }
                }
                (true, state) => {
                    let job = self.view.jobs.get(&a.task.job);
                    if job.is_none_or(Job::cancelled) {
                        orders.push(Order::Stop(*a, Micros::ZERO));
                    } else if preempted.contains(&Booking::of(*a)) {
                        orders.push(Order::Stop(*a, leeway(job)));
                    } else if *state == TaskState::Fetching && self.rules.forbid_start(&self.view, machine, a.task.job)
                    {
                        log_forbidden(a.task, machine);
                        orders.push(Order::Stop(*a, Micros::ZERO));
                    } else if let (Some(at), Some(job), TaskState::Running) = (s.recall_at, job, state) {
                        let spec = job.spec();
                        let left = at.since(now);
                        let ran = s.started.get(a).map_or(Micros::ZERO, |t| now.since(*t));
                        let saves = spec.bookmark > Micros::ZERO;
                        if saves && left < spec.stash + self.cfg.report * 2 {
                            orders.push(Order::Stop(*a, spec.stash.with_drift()));
                        } else if !saves && spec.guess.since(ran) > left * 2 {
                            orders.push(Order::Stop(*a, Micros::ZERO));
                        }
                    }
                }
                // Cleared, so the outcome is kept. Forgotten only when no launch of it can come
                // any more: it would run again.
                (false, TaskState::Exited(_)) => {
                    if s.heard && s.settled(a) {
                        orders.push(Order::Forget(*a));
                    } else if s.heard && !s.unsettled.is_empty() {
                        self.ownership.raise_later(k, s.unsettled_since, now);
                    }
                }
                (false, _) => orders.push(Order::Stop(*a, Micros::ZERO)),
            }
        }
        for b in booked {
            let a = b.attempt();
            // What is being cleared is never launched again in this tenure: the commit may be applied
            // at any time, and the task be booked elsewhere. A session may end in between.
            if s.sees(&a).is_some() || self.rounds.clearing(machine, a) {
                continue;
            }
            let job = self.view.jobs.get(&a.task.job);
            let forbidden = record.is_some_and(|r| self.rules.forbid_launch(&self.view, machine, r, a.task.job));
            let beyond = beyond_limit(&self.view, &self.cfg, a.task.job);
            let unwanted = job.is_none_or(Job::cancelled)
                || fitness != Fitness::Up
                || s.recall_at.is_some()
                || preempted.contains(b)
                || beyond
                || forbidden;
            if !unwanted && !s.has_room(&self.view, record, &a) {
                continue;
            }
            if !unwanted {
                s.launched.insert(a);
                if in_answer {
                    orders.push(Order::Launch(a));
                } else {
                    self.to_command.insert(machine);
                    s.launched.remove(&a);
                }
            } else if in_answer && s.heard {
                // Any earlier launch answered an earlier report, and that answer has been taken or
                // given up by now; only a direct one can still come.
                if s.settled(&a) {
                    if self.rounds.clear(machine, a, Outcome::Again, now) {
                        if forbidden {
                            log_forbidden(a.task, machine);
                        } else if beyond {
                            tracing::info!(task = %a, machine = %machine, "given back: its team is beyond its limit");
                        }
                    }
                } else {
                    self.ownership.raise_later(k, s.unsettled_since, now);
                }
            }
        }
        orders
    }

    pub(super) fn on_machine_changed(&mut self, m: MachineId) {
        if !self.owns(self.view.machine_slice(m)) {
            return;
        }
        let Some(s) = self.sessions.get_mut(&m) else {
            return;
        };
        match self.view.machine(m) {
            Some(r) => {
                if !r.preempted.is_empty() || r.tasks.iter().any(|b| !s.launched.contains(&b.attempt())) {
                    self.to_command.insert(m);
                }
                s.launched.retain(|a| r.tasks.contains(&Booking::of(*a)));
            }
            // A late report of a machine that was removed must not bring it back.
            None => {
                self.sessions.remove(&m);
                self.removed.insert(m);
                if self.removed.len() > Self::REMOVED {
                    self.removed.pop_first();
                }
            }
        }
    }

    pub(super) fn on_job_changed(&mut self, job: JobId) {
        match self.view.jobs.get(&job) {
            None => {
                self.rounds.clear_suspect(job);
                return;
            }
            Some(j) => {
                let (errors, cancelled) = (j.record.errors, j.cancelled());
                if cancelled {
                    self.cancelled.note(job, self.reader.before());
                }
                if j.suspect() {
                    if self.rounds.suspect(job, errors, self.now.steady) {
                        tracing::info!(%job, errors, "suspect: its tasks fail on several machines and none is completed");
                        self.lift_marks(job);
                    }
                } else if self.rounds.clear_suspect(job) {
                    tracing::info!(%job, "no longer suspect");
                }
                if !cancelled {
                    return;
                }
            }
        }
        let machines: Vec<MachineId> =
            self.view.booked(job).into_iter().flat_map(|tasks| tasks.values().map(|p| p.machine)).collect();
        for m in machines {
            self.to_command.insert(m);
        }
    }

    /// Takes back what a job's failures made believe of machines.
    fn lift_marks(&mut self, job: JobId) {
        for (m, s) in &mut self.sessions {
            if s.failed_jobs.remove(&job) && s.faulty && s.failed_jobs.len() < 2 {
                tracing::info!(machine = %m, %job, "not faulty after all, it was the job");
                s.faulty = false;
            }
        }
    }

    pub(super) fn pump_sessions(&mut self) {
        let now = self.now.steady;
        for m in std::mem::take(&mut self.to_command) {
            let contact = self.contact_age();
            let Some(s) = self.sessions.get_mut(&m) else {
                continue;
            };
            if s.direct.is_some() {
                // Looked at again when that command is answered or given up.
                s.wants_direct = true;
                continue;
            }
            // A worker that was not heard lately is told by the answer to its next report, but for what has to end: it may
            // reach nobody, and hear commands all the same.
            let lately = self.cfg.report * 2 + Micros::millis(500);
            let heard = s.answered.is_some_and(|t| now.since(t) < lately);
            if s.order.0 <= s.refused || contact > Micros::secs(4) {
                continue;
            }
            let Some(record) = self.view.machine(m) else {
                continue;
            };
            let mut orders = Vec::new();
            let mut launches = Vec::new();
            for b in &record.tasks {
                let a = b.attempt();
                let job = self.view.jobs.get(&a.task.job);
                let cancelled = job.is_none_or(Job::cancelled);
                let seen = s.sees(&a);
                let preempted = record.preempted.contains(b);
                if (cancelled || preempted) && seen.is_some_and(|t| !matches!(t, TaskState::Exited(_))) {
                    orders.push(Order::Stop(a, if cancelled { Micros::ZERO } else { leeway(job) }));
                } else if heard
                    && !cancelled
                    && !preempted
                    && seen.is_none()
                    && s.has_room(&self.view, Some(record), &a)
                    && record.fitness == Fitness::Up
                    && s.recall_at.is_none()
                    && !self.rounds.clearing(m, a)
                    && !beyond_limit(&self.view, &self.cfg, a.task.job)
                    && !self.rules.forbid_launch(&self.view, m, record, a.task.job)
                    && s.launched.insert(a)
                {
                    orders.push(Order::Launch(a));
                    launches.push(a);
                }
            }
            if orders.is_empty() {
                continue;
            }
            self.command(m, orders, launches);
        }
    }

    pub(super) fn on_direct(&mut self, call: CallId, machine: MachineId, result: Option<(bool, Report)>) {
        let now = self.now.steady;
        let k = self.view.machine_slice(machine);
        let Some(s) = self.sessions.get_mut(&machine) else {
            return;
        };
        // A session that began anew since then has forgotten the call, and is a new tenure.
        let Some(direct) = s.direct.take_if(|d| d.call == call) else {
            return;
        };
        if std::mem::take(&mut s.wants_direct) {
            self.to_command.insert(machine);
        }
        let Some((executed, report)) = result else {
            s.unreachable = true;
            // It may be held somewhere and carried out much later.
            if s.unsettled.is_empty() {
                s.unsettled_since = now;
            }
            for a in direct.launches {
                s.launched.remove(&a);
                s.unsettled.push((a, direct.baton, direct.session));
            }
            return;
        };
        s.heeds(now);
        if !executed {
            for a in &direct.launches {
                s.launched.remove(a);
            }
        }
        if report.machine == machine && report.order > s.order && report.session() > s.refused {
            self.take_report(k, &report);
            self.orders(k, machine, false);
        }
    }

    pub(super) fn sweep_sessions(&mut self) {
        let now = self.now.steady;
        if self.rounds.pausing() {
            self.rounds.look();
        }
        let silence = self.cfg.lease.with_drift() + Self::SILENCE_MARGIN;
        let (due, longest) = (Self::report_due(self.cfg.report), Self::longest_quiet(self.cfg.report));
        // What nobody's worker can be heard by says nothing about the workers.
        let deaf = self.deaf();
        let back = self.absence.back();
        let mut probes = Vec::new();
        for (m, s) in &mut self.sessions {
            let k = self.view.machine_slice(*m);
            let Some(tenure) = self.ownership.tenure(k) else {
                continue;
            };
            // Its reports may be seldom, and what it may still start must not run.
            if !s.unsettled.is_empty() && self.cancelled.earliest(s.under_way()).is_some() {
                self.ownership.raise_later(k, s.unsettled_since, now);
            }
            if s.is_mute(now, tenure.since.max(back), longest, self.cfg.lease)
                && let Some(r) = self.view.machine(*m).filter(|r| r.fitness < Fitness::Lost)
                && self.rounds.mark(*m, Mark { fitness: Fitness::Lost, dead: r.dead })
            {
                tracing::info!(machine = %m, "mute: it answers commands, but no report arrives; takes no more work");
            }
            let wordless = now.since(s.word.unwrap_or(tenure.since).max(back));
            if wordless <= due {
                continue;
            }
            let Some(record) = self.view.machine(*m) else {
                continue;
            };
            let (fitness, dead) = (record.fitness, record.dead);
            if let Some(quiet) = s.unrenewed(now).filter(|quiet| *quiet > silence) {
                // Decided: the session is never answered again, whatever comes of the commit.
                if s.refused < s.order.0 {
                    tracing::info!(machine = %m, session = s.order.0, quiet = %quiet, "silent, its session is over");
                    s.refused = s.order.0;
                    self.counters.silenced += 1;
                }
                if dead < s.refused {
                    let fitness = fitness.max(Fitness::Lost);
                    self.rounds.mark(*m, Mark { fitness, dead: s.refused });
                }
                for b in &record.tasks {
                    self.rounds.clear(*m, b.attempt(), Outcome::Again, now);
                }
            } else if !deaf && fitness < Fitness::Lost && (s.word.is_some() || wordless > longest) {
                // Its reports may have gone elsewhere, or this process may be behind: it is asked. One whose address
                // is not known (records keep no names, and it was never heard here) cannot be: without this it and
                // its tasks would be waited for without end.
                if !s.unreachable && !s.endpoint.is_empty() {
                    probes.push(*m);
                } else if self.rounds.mark(*m, Mark { fitness: Fitness::Lost, dead }) {
                    tracing::info!(machine = %m, quiet = %wordless, "silent, takes no more work");
                }
            }
        }
        for m in probes {
            self.command(m, Vec::new(), Vec::new());
        }
    }

    /// Sends a direct command, which may have no orders: then its answer only tells how the worker is.
    pub(super) fn command(&mut self, m: MachineId, orders: Vec<Order>, launches: Vec<Attempt>) {
        let k = self.view.machine_slice(m);
        let baton = self.view.own[k].stamp;
        let Some(s) = self.sessions.get(&m).filter(|s| s.direct.is_none() && !s.endpoint.is_empty()) else {
            return;
        };
        let (endpoint, session) = (s.endpoint.clone(), s.order.0);
        let body = direct_body(baton, session, &orders);
        let call = self.call(Purpose::Direct(m));
        if let Some(s) = self.sessions.get_mut(&m) {
            s.direct = Some(Direct { call, baton, session, launches });
        }
        self.out.push(Effect::Direct { call, endpoint, body, limit: Self::DIRECT_LIMIT });
    }
}
