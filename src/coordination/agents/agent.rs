//! What the leader of a machine's shard knows of the machine's agent, and what that proves.

use super::launches::{Launches, PushedCommand};
use super::liveness::longest_silence;
use crate::protocol::settings::Settings;
use crate::protocol::worker::{Heartbeat, HeartbeatId, TaskState};
use crate::storage::ids::{Attempt, JobId};
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Different jobs that fail in a row on a machine until it is quarantined. One may be to blame itself.
const FAILED_JOBS_OF_QUARANTINE: usize = 2;
/// Heartbeats in a row that leave open whether the agent receives commands, until that counts against it.
const UNCONFIRMED_HEARTBEATS_LIMIT: u32 = 2;

/// How long an agent may go without a heartbeat before its heartbeats count as lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatLossLimits {
    /// From its last heartbeat.
    pub after_heartbeat: Micros,
    /// From the beginning of the leader's term, if it has sent none in the term. It may be searching for the leader; after a
    /// lease its incarnation ends by itself.
    pub before_first: Micros,
}

impl HeartbeatLossLimits {
    pub(super) fn of(settings: &Settings) -> HeartbeatLossLimits {
        HeartbeatLossLimits {
            after_heartbeat: longest_silence(settings),
            before_first: settings.lease,
        }
    }
}

/// What this process knows of a machine's agent during its own term as the leader of the machine's shard.
#[derive(Debug)]
pub struct Agent {
    endpoint: String,
    machine_type: String,
    zone: String,
    spot: bool,
    latest: HeartbeatId,
    /// The agent reported a fencing token of this term: no earlier leader commands it any more.
    has_current_token: bool,
    /// When the last heartbeat that was acknowledged arrived.
    acknowledged_at: Option<Micros>,
    /// The latest time at which its lease may have begun, or may have been renewed by an earlier leader: when its present
    /// incarnation was first reported, or when it first reported a token of this term, whichever is later.
    lease_bound: Micros,
    /// When it last sent a new heartbeat or answered a pushed command. Duplicates of earlier heartbeats do not count.
    last_sign_of_life: Option<Micros>,
    /// When the last new heartbeat came from the agent itself, not as the answer to a pushed command.
    last_heartbeat: Option<Micros>,
    /// A pushed command had no answer, and nothing has shown since then that the agent receives commands.
    unreachable: bool,
    /// The last heartbeat that was acknowledged.
    acknowledged: Option<HeartbeatId>,
    /// The highest token that it reported.
    fencing_token: u64,
    /// Heartbeats in a row that do not show that the agent receives commands: they may be duplicates.
    unconfirmed_heartbeats: u32,
    reported_tasks: Vec<(Attempt, TaskState)>,
    started: BTreeMap<Attempt, Micros>,
    /// Incarnations up to this one are never acknowledged again.
    fenced_incarnation: u64,
    /// When the cloud reclaims the machine.
    reclaimed_at: Option<Micros>,
    launches: Launches,
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
            latest: HeartbeatId::NONE,
            has_current_token: false,
            acknowledged_at: None,
            lease_bound: Micros::ZERO,
            last_sign_of_life: None,
            last_heartbeat: None,
            unreachable: false,
            acknowledged: None,
            fencing_token: 0,
            unconfirmed_heartbeats: 0,
            reported_tasks: Vec::new(),
            started: BTreeMap::new(),
            fenced_incarnation: 0,
            reclaimed_at: None,
            launches: Launches::default(),
            failed_jobs: BTreeSet::new(),
            quarantined: false,
        }
    }

    /// The agent of a machine that is on record and has sent nothing in this term.
    pub(super) fn from_record(record: &MachineRecord) -> Agent {
        let endpoint = record.endpoint.map(|e| e.to_string()).unwrap_or_default();
        let mut agent = Agent::new(&endpoint, &record.machine_type, &record.zone, record.spot);
        agent.fenced_incarnation = record.fenced_incarnation;
        agent
    }

    /// The agent that sends its first heartbeat.
    pub(super) fn from_heartbeat(heartbeat: &Heartbeat) -> Agent {
        Agent::new(
            &heartbeat.endpoint,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
        )
    }

    /// The record with which its machine is added to the cell.
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

/// Heartbeats, and the proofs that rest on them.
impl Agent {
    pub(super) fn update_endpoint(&mut self, endpoint: &str) {
        if self.endpoint != endpoint {
            endpoint.clone_into(&mut self.endpoint);
        }
    }

    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.id > self.latest
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.latest.incarnation
    }

    /// A new heartbeat arrives from the agent itself. That the agent receives commands shows in the token that it reports, and in
    /// that it stays with this controller: without an answer it would send its next heartbeat to another one.
    /// `only_controller`: there is no other, so staying proves nothing.
    pub(super) fn on_new_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        first_term: u64,
        only_controller: bool,
    ) {
        self.last_heartbeat = Some(now);
        let stayed = !only_controller
            && self.acknowledged == Some(self.latest)
            && heartbeat.id == self.latest.next();
        let first = self.latest == HeartbeatId::NONE;
        let got_token = heartbeat.fencing_token >= first_term
            && (first || only_controller || heartbeat.fencing_token > self.fencing_token);
        if stayed || got_token {
            self.on_commands_received(now);
        } else {
            self.last_sign_of_life = Some(now);
            self.unconfirmed_heartbeats = self.unconfirmed_heartbeats.saturating_add(1);
        }
        self.fencing_token = self.fencing_token.max(heartbeat.fencing_token);
    }

    /// Adopts what a newer heartbeat reports, whether it came by itself or as the answer to a pushed command.
    pub(super) fn apply(&mut self, now: Micros, heartbeat: &Heartbeat, first_term: u64) {
        self.adopt_id_and_token(now, heartbeat, first_term);
        self.reported_tasks.clone_from(&heartbeat.tasks);
        self.launches.settle(heartbeat);
        self.note_started(now, &heartbeat.tasks);
        let reclaimed_at = heartbeat.preemption_notice.map(|notice| now + notice);
        if reclaimed_at.is_some() && self.reclaimed_at.is_none() {
            tracing::info!(machine = %heartbeat.machine, "machine preemption notice received");
        }
        self.reclaimed_at = reclaimed_at;
    }

    fn adopt_id_and_token(&mut self, now: Micros, heartbeat: &Heartbeat, first_term: u64) {
        if heartbeat.incarnation() != self.latest.incarnation {
            self.launches.on_new_incarnation();
            self.started.clear();
            if self.latest.incarnation != 0 {
                tracing::info!(machine = %heartbeat.machine, incarnation = heartbeat.incarnation(), "agent incarnation changed");
            }
            self.lease_bound = now;
        }
        self.latest = heartbeat.id;
        if !self.has_current_token && heartbeat.fencing_token >= first_term {
            self.has_current_token = true;
            self.lease_bound = now;
        }
    }

    fn note_started(&mut self, now: Micros, tasks: &[(Attempt, TaskState)]) {
        for (attempt, state) in tasks {
            if *state == TaskState::Running {
                self.started.entry(*attempt).or_insert(now);
            }
        }
        if self.started.len() > tasks.len() {
            self.started
                .retain(|attempt, _| tasks.iter().any(|(reported, _)| reported == attempt));
        }
    }

    /// A heartbeat is acknowledged, which renews the agent's lease.
    pub(super) fn acknowledge(&mut self, now: Micros, heartbeat: HeartbeatId) {
        self.acknowledged_at = Some(now);
        self.acknowledged = Some(heartbeat);
    }

    pub(super) fn acknowledged_at(&self) -> Option<Micros> {
        self.acknowledged_at
    }

    /// Whether it reported a fencing token of this term: no earlier leader commands it any more.
    pub(super) fn has_current_token(&self) -> bool {
        self.has_current_token
    }

    /// For how long its lease can't have been renewed: since the last acknowledged heartbeat. That may have been a duplicate of
    /// an old one, or its answer may have been lost. So nothing counts from before the present incarnation began, nor from before
    /// the agent had the token of this term: until then an earlier leader may have answered it.
    pub(super) fn lease_unrenewed_for(&self, now: Micros) -> Option<Micros> {
        let acknowledged_at = self.acknowledged_at.filter(|_| self.has_current_token)?;
        Some(now.since(acknowledged_at.max(self.lease_bound)))
    }

    /// Incarnations up to this one are never acknowledged again.
    pub(super) fn fenced_incarnation(&self) -> u64 {
        self.fenced_incarnation
    }

    pub(super) fn fence(&mut self, incarnation: u64) {
        self.fenced_incarnation = self.fenced_incarnation.max(incarnation);
    }

    /// Whether its present incarnation is fenced, or none is known.
    pub(super) fn is_fenced(&self) -> bool {
        self.latest.incarnation <= self.fenced_incarnation
    }

    /// Whether it answers pushed commands, but none of its heartbeats arrive. `since`: from when on this process could receive them.
    pub(super) fn heartbeats_are_lost(
        &self,
        now: Micros,
        since: Micros,
        limits: HeartbeatLossLimits,
    ) -> bool {
        let (from, limit) = self
            .last_heartbeat
            .map_or((since, limits.before_first), |at| {
                (at.max(since), limits.after_heartbeat)
            });
        now.since(from) > limit && self.last_sign_of_life.is_some_and(|at| at > from)
    }
}

/// Whether the agent receives commands.
impl Agent {
    /// Something showed that the agent receives commands.
    pub(super) fn on_commands_received(&mut self, now: Micros) {
        self.last_sign_of_life = Some(now);
        self.unreachable = false;
        self.unconfirmed_heartbeats = 0;
    }

    /// Whether its heartbeats arrive, but no command reaches it.
    pub(super) fn ignores_commands(&self) -> bool {
        self.unconfirmed_heartbeats >= UNCONFIRMED_HEARTBEATS_LIMIT && self.unreachable
    }

    pub(super) fn has_unconfirmed_heartbeats(&self) -> bool {
        self.unconfirmed_heartbeats > 0
    }

    /// Whether its heartbeats leave open for too long whether it receives commands. `marked`: its machine is on record as unreachable.
    pub(super) fn needs_probe(&self, marked: bool) -> bool {
        let limit = if marked {
            1
        } else {
            UNCONFIRMED_HEARTBEATS_LIMIT
        };
        self.can_be_probed() && self.unconfirmed_heartbeats >= limit
    }

    /// When it last sent a new heartbeat or answered a pushed command in this term.
    pub fn last_sign_of_life(&self) -> Option<Micros> {
        self.last_sign_of_life
    }

    /// Whether a pushed command has had no answer since then.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Whether a command can be pushed to it now.
    pub fn can_be_probed(&self) -> bool {
        !self.launches.is_push_in_flight() && self.has_endpoint()
    }

    pub(super) fn has_endpoint(&self) -> bool {
        !self.endpoint.is_empty()
    }

    pub(super) fn endpoint(&self) -> &str {
        &self.endpoint
    }
}

/// Launches.
impl Agent {
    pub(super) fn launches(&self) -> &Launches {
        &self.launches
    }

    pub(super) fn launches_mut(&mut self) -> &mut Launches {
        &mut self.launches
    }

    /// A pushed command had no answer.
    pub(super) fn on_push_lost(&mut self, now: Micros, command: PushedCommand) {
        self.unreachable = true;
        self.launches.on_push_lost(now, command);
    }
}

/// The machine and its tasks.
impl Agent {
    /// The tasks of the latest heartbeat.
    pub(super) fn reported_tasks(&self) -> &[(Attempt, TaskState)] {
        &self.reported_tasks
    }

    pub(super) fn reported_state(&self, attempt: &Attempt) -> Option<TaskState> {
        self.reported_tasks
            .iter()
            .find(|(reported, _)| reported == attempt)
            .map(|(_, state)| *state)
    }

    /// For how long an attempt has been running; zero if that is not known.
    pub(super) fn running_for(&self, attempt: &Attempt, now: Micros) -> Micros {
        self.started
            .get(attempt)
            .map_or(Micros::ZERO, |at| now.since(*at))
    }

    /// When the cloud reclaims the machine.
    pub(super) fn reclaimed_at(&self) -> Option<Micros> {
        self.reclaimed_at
    }

    /// A task of this job failed on the machine; true if that quarantines the machine.
    pub(super) fn on_task_failed(&mut self, job: JobId) -> bool {
        self.failed_jobs.insert(job);
        let quarantine = self.failed_jobs.len() >= FAILED_JOBS_OF_QUARANTINE && !self.quarantined;
        self.quarantined |= quarantine;
        quarantine
    }

    /// A task completed on the machine: earlier failures no longer count against it.
    pub(super) fn on_task_done(&mut self) {
        self.failed_jobs.clear();
    }

    /// The failures of this job no longer count against the machine; true if that ends its quarantine.
    pub(super) fn forgive_failures_of(&mut self, job: JobId) -> bool {
        let counted = self.failed_jobs.remove(&job);
        let lift =
            counted && self.quarantined && self.failed_jobs.len() < FAILED_JOBS_OF_QUARANTINE;
        self.quarantined &= !lift;
        lift
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.quarantined
    }
}

#[cfg(test)]
mod tests;
