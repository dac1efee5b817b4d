//! Workers: their sessions, what they are told, and when a booking may be cleared.
//!
//! A booking is cleared only on proof that its attempt is not on the machine and cannot get there:
//! see `docs/design.md`, "When a booking may be cleared".

pub(super) mod cancellations;
mod commands;
mod heartbeats;
#[cfg(test)]
mod tests;

use crate::coordination::{CallId, Controller};
use crate::protocol::worker::{Heartbeat, TaskState};
use crate::storage::cell_state::CellState;
use crate::storage::ids::{Attempt, JobId, MachineId, ShardId};
use crate::storage::records::{Assignment, MachineHealth, MachineRecord};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A direct command that was sent and has not been answered yet.
#[derive(Debug)]
struct PushedCommand {
    call: CallId,
    fencing_token: u64,
    incarnation: u64,
    launches: Vec<Attempt>,
}

/// What this process knows of a machine during its tenure of the machine's slice.
#[derive(Debug)]
pub struct Agent {
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
    lease_bound: Micros,
    /// When there was last any word of it: a report, or an answer to a direct command. Copies of earlier reports are none.
    last_sign_of_life: Option<Micros>,
    /// When the last newer report came from the worker itself, not as the answer to a command.
    last_heartbeat: Option<Micros>,
    /// A direct command had no answer, and nothing has shown since then that the worker hears.
    unreachable: bool,
    /// The last report that was answered 200, and the highest token that was reported.
    acknowledged: Option<(u64, u64)>,
    fencing_token: u64,
    /// Reports in a row that do not show that the worker hears: it may be deaf, or they may be copies.
    unconfirmed_heartbeats: u32,
    seen: Vec<(Attempt, TaskState)>,
    launched: BTreeSet<Attempt>,
    started: BTreeMap<Attempt, Micros>,

    /// Sessions up to this one are never answered 200 again.
    fenced_incarnation: u64,
    reclaimed_at: Option<Micros>,
    pushed: Option<PushedCommand>,
    /// Direct launches without an answer: attempt, token, session.
    unsettled: Vec<(Attempt, u64, u64)>,
    unsettled_since: Micros,
    wants_push: bool,
    failed_jobs: BTreeSet<JobId>,
    quarantined: bool,
}

impl Agent {
    fn new(endpoint: &str, machine_type: &str, zone: &str, spot: bool) -> Agent {
        Agent {
            endpoint: endpoint.to_owned(),
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            order: (0, 0),
            heard: false,
            answered: None,
            lease_bound: Micros::ZERO,
            last_sign_of_life: None,
            last_heartbeat: None,
            unreachable: false,
            acknowledged: None,
            fencing_token: 0,
            unconfirmed_heartbeats: 0,
            seen: Vec::new(),
            launched: BTreeSet::new(),
            started: BTreeMap::new(),

            fenced_incarnation: 0,
            reclaimed_at: None,
            pushed: None,
            unsettled: Vec::new(),
            unsettled_since: Micros::ZERO,
            wants_push: false,
            failed_jobs: BTreeSet::new(),
            quarantined: false,
        }
    }

    /// A direct command was answered.
    fn on_command_heard(&mut self, now: Micros) {
        self.last_sign_of_life = Some(now);
        self.unreachable = false;
        self.unconfirmed_heartbeats = 0;
    }

    /// A report that is newer than all before. Whether its worker hears what it is told shows in its token, and in
    /// that it stays: without an answer it would have gone to another controller with its next report.
    fn reported(&mut self, now: Micros, heartbeat: &Heartbeat, first_term: u64, alone: bool) {
        self.last_heartbeat = Some(now);
        let stayed = !alone
            && self.acknowledged == Some(self.order)
            && heartbeat.order == (self.order.0, self.order.1 + 1);
        let first = self.order == (0, 0);
        if stayed
            || heartbeat.fencing_token >= first_term
                && (first || alone || heartbeat.fencing_token > self.fencing_token)
        {
            self.on_command_heard(now);
        } else {
            self.last_sign_of_life = Some(now);
            self.unconfirmed_heartbeats = self.unconfirmed_heartbeats.saturating_add(1);
        }
        self.fencing_token = self.fencing_token.max(heartbeat.fencing_token);
    }

    /// Whether reports come from it, but nothing that it is told arrives.
    fn ignores_commands(&self) -> bool {
        self.unconfirmed_heartbeats >= 2 && self.unreachable
    }

    /// Whether it answers commands, but none of its reports arrive: for longer than usual, or since this process could hear it,
    /// in a tenure in which it has not reported, for a lease. It may be looking for its owner; beyond that its session ends by
    /// itself, whatever it is told.
    fn heartbeats_are_lost(
        &self,
        now: Micros,
        since: Micros,
        usual: Micros,
        lease: Micros,
    ) -> bool {
        let (from, most) = self
            .last_heartbeat
            .map_or((since, lease), |t| (t.max(since), usual));
        now.since(from) > most
            && self
                .last_sign_of_life
                .is_some_and(|last_sign_of_life| last_sign_of_life > from)
    }

    /// Launches that may still be on their way.
    fn under_way(&self) -> impl Iterator<Item = &Attempt> {
        let pushed = self.pushed.iter().flat_map(|d| &d.launches);
        pushed.chain(self.unsettled.iter().map(|(a, _, _)| a))
    }

    /// Whether no launch of the attempt can still be on its way by a direct command.
    fn settled(&self, a: &Attempt) -> bool {
        !self.unsettled.iter().any(|(u, _, _)| u == a)
            && self.pushed.as_ref().is_none_or(|d| !d.launches.contains(a))
    }

    fn sees(&self, a: &Attempt) -> Option<TaskState> {
        self.seen.iter().find(|(s, _)| s == a).map(|(_, t)| *t)
    }

    /// Whether the worker has room for a launch: only in question while others are being stopped
    /// for it.
    fn has_room(&self, cell: &CellState, record: Option<&MachineRecord>, a: &Attempt) -> bool {
        let Some(record) = record.filter(|r| !r.preempted.is_empty()) else {
            return true;
        };
        let mut room = cell
            .machine_type(&record.machine_type)
            .map(|t| t.room)
            .unwrap_or_default();
        for (t, state) in &self.seen {
            if t != a && !matches!(state, TaskState::Exited(_)) {
                room -= cell.need(t.task.job);
            }
        }
        for t in self
            .launched
            .iter()
            .filter(|t| *t != a && self.sees(t).is_none())
        {
            room -= cell.need(t.task.job);
        }
        cell.need(a.task.job).fits(&room)
    }

    /// Takes a newer report's session and token.
    fn takes(&mut self, now: Micros, heartbeat: &Heartbeat, first_term: u64) {
        if heartbeat.incarnation() != self.order.0 {
            self.launched.clear();
            self.started.clear();
            if self.order.0 != 0 {
                tracing::info!(machine = %heartbeat.machine, incarnation = heartbeat.incarnation(), "a new session");
            }
            self.lease_bound = now;
        }
        self.order = heartbeat.order;
        if !self.heard && heartbeat.fencing_token >= first_term {
            self.heard = true;
            self.lease_bound = now;
        }
    }

    /// For how long its lease can't have been renewed: since the last of its reports that was answered. That may have been a
    /// copy of an old one, or one whose answer was lost, so nothing from before its present session began counts, nor from
    /// before the worker had the token of this tenure: until then an earlier owner may have answered it.
    fn unrenewed_for(&self, now: Micros) -> Option<Micros> {
        let answered = self.answered.filter(|_| self.heard)?;
        Some(now.since(answered.max(self.lease_bound)))
    }

    /// When there was last any word of it in this tenure.
    pub fn last_sign_of_life(&self) -> Option<Micros> {
        self.last_sign_of_life
    }

    /// Whether a question since then had no answer.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Whether it can be asked now.
    pub fn may_be_asked(&self) -> bool {
        self.pushed.is_none() && !self.endpoint.is_empty()
    }

    /// The record of a machine that is heard for the first time.
    pub fn record(&self) -> MachineRecord {
        MachineRecord {
            machine_type: self.machine_type.as_str().into(),
            zone: self.zone.as_str().into(),
            spot: self.spot,
            endpoint: self.endpoint.parse().ok(),
            health: MachineHealth::Schedulable,
            fenced_incarnation: self.fenced_incarnation,
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
pub struct HealthChange {
    /// Its new fitness.
    pub health: MachineHealth,
    /// Sessions up to this one are over.
    pub fenced_incarnation: u64,
}

impl Controller {
    /// Added to the lease before silence counts as proof, beside the drift.
    const SILENCE_MARGIN: Micros = Micros::millis(400);
    const PUSH_TIMEOUT: Micros = Micros::millis(2_500);
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
    fn heartbeat_due(heartbeat: Micros) -> Micros {
        heartbeat + Micros(heartbeat.0 / 4) + Micros::millis(1_500)
    }

    /// The same where the worker may first have to give up on another node.
    fn longest_silence(heartbeat: Micros) -> Micros {
        Self::heartbeat_due(heartbeat) + Micros::millis(5_500)
    }

    pub(super) fn begin_agents(&mut self, k: ShardId) {
        self.end_agents(k);
        let machines: Vec<(MachineId, Agent)> = self
            .cell
            .machines_of(k)
            .map(|(m, r)| {
                let endpoint = r.endpoint.map(|e| e.to_string()).unwrap_or_default();
                let mut s = Agent::new(&endpoint, &r.machine_type, &r.zone, r.spot);
                s.fenced_incarnation = r.fenced_incarnation;
                (m, s)
            })
            .collect();
        self.agents.extend(machines);
    }

    pub(super) fn end_agents(&mut self, k: ShardId) {
        let cell = &self.cell;
        self.agents.retain(|m, _| cell.shard_of_machine(*m) != k);
        let cell = &self.cell;
        self.rounds.drop_machines(|m| cell.shard_of_machine(m) == k);
    }

    pub(super) fn on_machine_changed(&mut self, m: MachineId) {
        if !self.leads(self.cell.shard_of_machine(m)) {
            return;
        }
        let Some(s) = self.agents.get_mut(&m) else {
            return;
        };
        match self.cell.machine(m) {
            Some(r) => {
                if !r.preempted.is_empty()
                    || r.tasks.iter().any(|b| !s.launched.contains(&b.attempt()))
                {
                    self.agents_to_command.insert(m);
                }
                s.launched.retain(|a| r.tasks.contains(&Assignment::of(*a)));
            }
            // A late report of a machine that was removed must not bring it back.
            None => {
                self.largest_fleet = self.largest_fleet.max(self.agents.len());
                self.agents.remove(&m);
                self.removed_machines.insert(m);
                if self.removed_machines.len() > self.most_removed() {
                    self.removed_machines.pop_first();
                }
            }
        }
    }

    pub(super) fn on_job_changed(&mut self, job: JobId) {
        match self.cell.jobs.get(&job) {
            None => {
                self.rounds.clear_suspect(job);
                return;
            }
            Some(j) => {
                let (errors, cancelled) = (j.record.errors, j.cancelled());
                if cancelled {
                    self.cancelled.note(job, self.replica.before());
                }
                if j.suspect() {
                    if self.rounds.suspect(job, errors, self.now.steady) {
                        tracing::info!(%job, errors, "suspect: its tasks fail on several machines and none is completed");
                        self.lift_quarantine(job);
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
            .cell
            .assigned(job)
            .into_iter()
            .flat_map(|tasks| tasks.values().map(|p| p.machine))
            .collect();
        for m in machines {
            self.agents_to_command.insert(m);
        }
    }

    /// Takes back what a job's failures made believe of machines.
    fn lift_quarantine(&mut self, job: JobId) {
        for (m, s) in &mut self.agents {
            if s.failed_jobs.remove(&job) && s.quarantined && s.failed_jobs.len() < 2 {
                tracing::info!(machine = %m, %job, "not faulty after all, it was the job");
                s.quarantined = false;
            }
        }
    }

    pub(super) fn tick_agents(&mut self) {
        let now = self.now.steady;
        if self.rounds.pausing() {
            self.rounds.request();
        }
        let silence = self.settings.lease.with_drift() + Self::SILENCE_MARGIN;
        let (due, longest) = (
            Self::heartbeat_due(self.settings.heartbeat_interval),
            Self::longest_silence(self.settings.heartbeat_interval),
        );
        // What nobody's worker can be heard by says nothing about the workers.
        let deaf = self.cannot_hear_agents();
        let back = self.stall.back();
        let mut probes = Vec::new();
        for (m, s) in &mut self.agents {
            let k = self.cell.shard_of_machine(*m);
            let Some(leader_term) = self.leadership.leader_term(k) else {
                continue;
            };
            // Its reports may be seldom, and what it may still start must not run.
            if !s.unsettled.is_empty() && self.cancelled.earliest(s.under_way()).is_some() {
                self.leadership.request_new_term(k, s.unsettled_since, now);
            }
            if s.heartbeats_are_lost(
                now,
                leader_term.since.max(back),
                longest,
                self.settings.lease,
            ) && let Some(r) = self
                .cell
                .machine(*m)
                .filter(|r| r.health < MachineHealth::Unreachable)
                && self.rounds.set_health(
                    *m,
                    HealthChange {
                        health: MachineHealth::Unreachable,
                        fenced_incarnation: r.fenced_incarnation,
                    },
                )
            {
                tracing::info!(machine = %m, "mute: it answers commands, but no report arrives; takes no more work");
            }
            let wordless = now.since(s.last_sign_of_life.unwrap_or(leader_term.since).max(back));
            if wordless <= due {
                continue;
            }
            let Some(record) = self.cell.machine(*m) else {
                continue;
            };
            let (health, fenced_incarnation) = (record.health, record.fenced_incarnation);
            if let Some(quiet) = s.unrenewed_for(now).filter(|quiet| *quiet > silence) {
                // Decided: the session is never answered again, whatever comes of the commit.
                if s.fenced_incarnation < s.order.0 {
                    tracing::info!(machine = %m, incarnation = s.order.0, quiet = %quiet, "silent, its session is over");
                    s.fenced_incarnation = s.order.0;
                    self.counters.silenced += 1;
                }
                if fenced_incarnation < s.fenced_incarnation {
                    let health = health.max(MachineHealth::Unreachable);
                    self.rounds.set_health(
                        *m,
                        HealthChange {
                            health,
                            fenced_incarnation: s.fenced_incarnation,
                        },
                    );
                }
                for b in &record.tasks {
                    self.rounds.release(*m, b.attempt(), Outcome::Again, now);
                }
            } else if !deaf
                && health < MachineHealth::Unreachable
                && (s.last_sign_of_life.is_some() || wordless > longest)
            {
                // Its reports may have gone elsewhere, or this process may be behind: it is asked. One whose address
                // is not known (records keep no names, and it was never heard here) cannot be: without this it and
                // its tasks would be waited for without end.
                if !s.unreachable && !s.endpoint.is_empty() {
                    probes.push(*m);
                } else if self.rounds.set_health(
                    *m,
                    HealthChange {
                        health: MachineHealth::Unreachable,
                        fenced_incarnation,
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
