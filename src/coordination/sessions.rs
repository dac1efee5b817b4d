//! Workers: their sessions, what they are told, and when a booking may be cleared.
//!
//! A booking is cleared only on proof that its attempt is not on the machine and cannot get there:
//! see `docs/design.md`, "When a booking may be cleared".

use super::{CallId, Controller};
use crate::bookkeeping::ids::{Attempt, JobId, MachineId, Slice};
use crate::bookkeeping::records::{Booking, Fitness, MachineRecord};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::View;
use crate::protocol::worker::{Report, TaskState};
use std::collections::{BTreeMap, BTreeSet};

mod commands;
mod reports;
#[cfg(test)]
mod tests;

/// A direct command that was sent and has not been answered yet.
#[derive(Debug)]
struct Direct {
    call: CallId,
    fencing_token: u64,
    session: u64,
    launches: Vec<Attempt>,
}

/// What this process knows of a machine during its tenure of the machine's slice.
#[derive(Debug)]
pub struct Session {
    endpoint: String,
    machine_type: String,
    zone: String,
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
    fencing_token: u64,
    /// Reports in a row that do not show that the worker hears: it may be deaf, or they may be copies.
    unheeding: u32,
    seen: Vec<(Attempt, TaskState)>,
    launched: BTreeSet<Attempt>,
    started: BTreeMap<Attempt, Micros>,

    /// Sessions up to this one are never answered 200 again.
    refused: u64,
    reclaimed_at: Option<Micros>,
    direct: Option<Direct>,
    /// Direct launches without an answer: attempt, token, session.
    unsettled: Vec<(Attempt, u64, u64)>,
    unsettled_since: Micros,
    wants_direct: bool,
    failed_jobs: BTreeSet<JobId>,
    faulty: bool,
}

impl Session {
    fn new(endpoint: &str, machine_type: &str, zone: &str, spot: bool) -> Session {
        Session {
            endpoint: endpoint.to_owned(),
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            order: (0, 0),
            heard: false,
            answered: None,
            bound: Micros::ZERO,
            word: None,
            last_report: None,
            unreachable: false,
            told: None,
            fencing_token: 0,
            unheeding: 0,
            seen: Vec::new(),
            launched: BTreeSet::new(),
            started: BTreeMap::new(),

            refused: 0,
            reclaimed_at: None,
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
        let stayed = !alone
            && self.told == Some(self.order)
            && report.order == (self.order.0, self.order.1 + 1);
        let first = self.order == (0, 0);
        if stayed
            || report.fencing_token >= first_term
                && (first || alone || report.fencing_token > self.fencing_token)
        {
            self.heeds(now);
        } else {
            self.word = Some(now);
            self.unheeding = self.unheeding.saturating_add(1);
        }
        self.fencing_token = self.fencing_token.max(report.fencing_token);
    }

    /// Whether reports come from it, but nothing that it is told arrives.
    fn is_deaf(&self) -> bool {
        self.unheeding >= 2 && self.unreachable
    }

    /// Whether it answers commands, but none of its reports arrive: for longer than usual, or since this process could hear it,
    /// in a tenure in which it has not reported, for a lease. It may be looking for its owner; beyond that its session ends by
    /// itself, whatever it is told.
    fn is_mute(&self, now: Micros, since: Micros, usual: Micros, lease: Micros) -> bool {
        let (from, most) = self
            .last_report
            .map_or((since, lease), |t| (t.max(since), usual));
        now.since(from) > most && self.word.is_some_and(|word| word > from)
    }

    /// Launches that may still be on their way.
    fn under_way(&self) -> impl Iterator<Item = &Attempt> {
        let direct = self.direct.iter().flat_map(|d| &d.launches);
        direct.chain(self.unsettled.iter().map(|(a, _, _)| a))
    }

    /// Whether no launch of the attempt can still be on its way by a direct command.
    fn settled(&self, a: &Attempt) -> bool {
        !self.unsettled.iter().any(|(u, _, _)| u == a)
            && self.direct.as_ref().is_none_or(|d| !d.launches.contains(a))
    }

    fn sees(&self, a: &Attempt) -> Option<TaskState> {
        self.seen.iter().find(|(s, _)| s == a).map(|(_, t)| *t)
    }

    /// Whether the worker has room for a launch: only in question while others are being stopped
    /// for it.
    fn has_room(&self, view: &View, record: Option<&MachineRecord>, a: &Attempt) -> bool {
        let Some(record) = record.filter(|r| !r.preempted.is_empty()) else {
            return true;
        };
        let mut room = view
            .machine_type(&record.machine_type)
            .map(|t| t.room)
            .unwrap_or_default();
        for (t, state) in &self.seen {
            if t != a && !matches!(state, TaskState::Exited(_)) {
                room -= view.need(t.task.job);
            }
        }
        for t in self
            .launched
            .iter()
            .filter(|t| *t != a && self.sees(t).is_none())
        {
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
        if !self.heard && report.fencing_token >= first_term {
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
            machine_type: self.machine_type.as_str().into(),
            zone: self.zone.as_str().into(),
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
    /// Removed machines that are remembered at least, however small the fleet is.
    const LEAST_REMOVED: usize = 4_096;
    /// Removed machines that are remembered for each machine of the fleet at its largest: all of it may be
    /// replaced, and what replaced it be returned as well, while reports are still under way.
    const REMOVED_EACH: usize = 2;

    /// How many removed machines are remembered.
    fn most_removed(&self) -> usize {
        Self::LEAST_REMOVED.max(self.largest_fleet * Self::REMOVED_EACH)
    }

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
                let mut s = Session::new(&endpoint, &r.machine_type, &r.zone, r.spot);
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

    pub(super) fn on_machine_changed(&mut self, m: MachineId) {
        if !self.owns(self.view.machine_slice(m)) {
            return;
        }
        let Some(s) = self.sessions.get_mut(&m) else {
            return;
        };
        match self.view.machine(m) {
            Some(r) => {
                if !r.preempted.is_empty()
                    || r.tasks.iter().any(|b| !s.launched.contains(&b.attempt()))
                {
                    self.to_command.insert(m);
                }
                s.launched.retain(|a| r.tasks.contains(&Booking::of(*a)));
            }
            // A late report of a machine that was removed must not bring it back.
            None => {
                self.largest_fleet = self.largest_fleet.max(self.sessions.len());
                self.sessions.remove(&m);
                self.removed.insert(m);
                if self.removed.len() > self.most_removed() {
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
        let machines: Vec<MachineId> = self
            .view
            .booked(job)
            .into_iter()
            .flat_map(|tasks| tasks.values().map(|p| p.machine))
            .collect();
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

    pub(super) fn sweep_sessions(&mut self) {
        let now = self.now.steady;
        if self.rounds.pausing() {
            self.rounds.look();
        }
        let silence = self.cfg.lease.with_drift() + Self::SILENCE_MARGIN;
        let (due, longest) = (
            Self::report_due(self.cfg.report),
            Self::longest_quiet(self.cfg.report),
        );
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
                && self.rounds.mark(
                    *m,
                    Mark {
                        fitness: Fitness::Lost,
                        dead: r.dead,
                    },
                )
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
                    self.rounds.mark(
                        *m,
                        Mark {
                            fitness,
                            dead: s.refused,
                        },
                    );
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
                } else if self.rounds.mark(
                    *m,
                    Mark {
                        fitness: Fitness::Lost,
                        dead,
                    },
                ) {
                    tracing::info!(machine = %m, quiet = %wordless, "silent, takes no more work");
                }
            }
        }
        for m in probes {
            self.command(m, Vec::new(), Vec::new());
        }
    }
}
