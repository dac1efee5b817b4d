//! What the shard leader of a machine knows of the machine's agent, and what that proves.

use super::launches::{Launches, PushedCommand};
use super::liveness::longest_expected_silence;
use crate::protocol::settings::Settings;
use crate::protocol::worker::{Heartbeat, HeartbeatId, TaskState};
use crate::storage::cell_state::CellState;
use crate::storage::ids::{Attempt, JobId, ShardId};
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Number of different jobs that fail on a machine, with no completed task in between, before it is quarantined. A single job may
/// itself be the cause of its failures.
const FAILED_JOBS_FOR_QUARANTINE: usize = 2;
/// Number of consecutive heartbeats without evidence that the agent receives commands, from which on the agent is probed and may
/// be considered unreachable.
const UNCONFIRMED_HEARTBEATS_LIMIT: u32 = 2;

/// How long an agent may go without a heartbeat before its heartbeats count as lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatLossLimits {
    /// Counted from its last heartbeat.
    pub after_heartbeat: Micros,
    /// Counted from the beginning of the leader's term, if the agent has sent no heartbeat in the term. It may still be searching
    /// for the leader; after a lease duration its incarnation ends by itself.
    pub before_first: Micros,
}

impl HeartbeatLossLimits {
    pub(super) fn from_settings(settings: &Settings) -> HeartbeatLossLimits {
        HeartbeatLossLimits {
            after_heartbeat: longest_expected_silence(settings),
            before_first: settings.agent_lease,
        }
    }
}

/// The fencing tokens that a leader may give. At the replica's revision this process leads the shard, so every later claim, and with
/// it the term of every later leader, is above it.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenRange {
    /// The leader term: the lowest token.
    pub leader_term: u64,
    /// The replica's revision: the highest token.
    pub replica_revision: u64,
}

impl TokenRange {
    pub(super) fn of_shard(cell: &CellState, shard: ShardId) -> TokenRange {
        TokenRange {
            leader_term: cell.leaders[shard].mod_revision,
            replica_revision: cell.revision,
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
    /// The newest heartbeat, by incarnation and sequence number.
    latest_heartbeat: HeartbeatId,
    /// When the newest heartbeat arrived.
    latest_heartbeat_at: Micros,
    /// The agent reported a fencing token of this term, so it accepts no commands of earlier leaders any more.
    has_current_token: bool,
    /// When the last acknowledged heartbeat had certainly been sent.
    acknowledged_at: Option<Micros>,
    /// The latest time at which its lease may have begun, or may have been renewed by an earlier leader: when its current
    /// incarnation was first reported, or when it first reported a token of this term, whichever is later.
    latest_lease_start: Micros,
    /// When it last sent a new heartbeat or responded to a pushed command. Duplicates of earlier heartbeats do not count.
    last_contact: Option<Micros>,
    /// When the agent last sent a new heartbeat by itself, not in the response to a pushed command.
    last_heartbeat_at: Option<Micros>,
    /// A pushed command got no response, and nothing has shown since then that the agent receives commands.
    unreachable: bool,
    /// The last acknowledged heartbeat.
    acknowledged: Option<HeartbeatId>,
    /// The highest fencing token that it reported.
    fencing_token: u64,
    /// The fencing token of its commands, if it was raised above the leader term; else 0.
    raised_token: u64,
    /// Number of consecutive heartbeats that do not show that the agent receives commands: they may be duplicates.
    unconfirmed_heartbeats: u32,
    reported_tasks: Vec<(Attempt, TaskState)>,
    /// When each running attempt was first reported as running.
    running_since: BTreeMap<Attempt, Micros>,
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
            latest_heartbeat: HeartbeatId::NONE,
            latest_heartbeat_at: Micros::ZERO,
            has_current_token: false,
            acknowledged_at: None,
            latest_lease_start: Micros::ZERO,
            last_contact: None,
            last_heartbeat_at: None,
            unreachable: false,
            acknowledged: None,
            fencing_token: 0,
            raised_token: 0,
            unconfirmed_heartbeats: 0,
            reported_tasks: Vec::new(),
            running_since: BTreeMap::new(),
            fenced_incarnation: 0,
            reclaimed_at: None,
            launches: Launches::default(),
            failed_jobs: BTreeSet::new(),
            quarantined: false,
        }
    }

    /// The agent of a recorded machine that has sent nothing in this term.
    pub(super) fn from_record(record: &MachineRecord) -> Agent {
        let endpoint = record.endpoint.map(|e| e.to_string()).unwrap_or_default();
        let mut agent = Agent::new(&endpoint, &record.machine_type, &record.zone, record.spot);
        agent.fenced_incarnation = record.fenced_incarnation;
        agent
    }

    /// An agent that sends its first heartbeat.
    pub(super) fn from_heartbeat(heartbeat: &Heartbeat) -> Agent {
        Agent::new(
            &heartbeat.endpoint,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
        )
    }

    /// The machine record that adds its machine to the cell.
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

/// Heartbeats, and the proofs that are based on them.
impl Agent {
    pub(super) fn update_endpoint(&mut self, endpoint: &str) {
        if self.endpoint != endpoint {
            endpoint.clone_into(&mut self.endpoint);
        }
    }

    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.id > self.latest_heartbeat
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.latest_heartbeat.incarnation
    }

    /// Handles a new heartbeat that the agent sent by itself. Either of two observations shows that the agent receives commands:
    /// it reports a new fencing token, or it stays with this controller, because without a response it would send its next
    /// heartbeat to another one. `only_controller`: there is no other controller, so that the agent stays proves nothing.
    pub(super) fn on_new_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        first_term: u64,
        only_controller: bool,
    ) {
        self.last_heartbeat_at = Some(now);
        let stayed_with_controller = !only_controller
            && self.acknowledged == Some(self.latest_heartbeat)
            && heartbeat.id == self.latest_heartbeat.next();
        let first = self.latest_heartbeat == HeartbeatId::NONE;
        let received_token = heartbeat.fencing_token >= first_term
            && (first || only_controller || heartbeat.fencing_token > self.fencing_token);
        if stayed_with_controller || received_token {
            self.on_commands_received(now);
        } else {
            self.last_contact = Some(now);
            self.unconfirmed_heartbeats = self.unconfirmed_heartbeats.saturating_add(1);
        }
        self.fencing_token = self.fencing_token.max(heartbeat.fencing_token);
    }

    /// Updates the state from a newer heartbeat, whether the agent sent it by itself or in the response to a pushed command.
    pub(super) fn update_from_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        first_term: u64,
    ) {
        self.adopt_id_and_token(now, heartbeat, first_term);
        self.reported_tasks.clone_from(&heartbeat.tasks);
        self.launches.settle(heartbeat);
        self.record_running_tasks(now, &heartbeat.tasks);
        let reclaimed_at = heartbeat.preemption_notice.map(|notice| now + notice);
        if reclaimed_at.is_some() && self.reclaimed_at.is_none() {
            tracing::info!(machine = %heartbeat.machine, "machine preemption notice received");
        }
        self.reclaimed_at = reclaimed_at;
    }

    fn adopt_id_and_token(&mut self, now: Micros, heartbeat: &Heartbeat, first_term: u64) {
        if heartbeat.incarnation() != self.latest_heartbeat.incarnation {
            self.launches.on_new_incarnation();
            self.running_since.clear();
            if self.latest_heartbeat.incarnation != 0 {
                tracing::info!(machine = %heartbeat.machine, incarnation = heartbeat.incarnation(), "agent incarnation changed");
            }
            self.latest_lease_start = now;
        }
        self.latest_heartbeat = heartbeat.id;
        self.latest_heartbeat_at = now;
        if !self.has_current_token && heartbeat.fencing_token >= first_term {
            self.has_current_token = true;
            self.latest_lease_start = now;
        }
    }

    fn record_running_tasks(&mut self, now: Micros, tasks: &[(Attempt, TaskState)]) {
        for (attempt, state) in tasks {
            if *state == TaskState::Running {
                self.running_since.entry(*attempt).or_insert(now);
            }
        }
        if self.running_since.len() > tasks.len() {
            self.running_since
                .retain(|attempt, _| tasks.iter().any(|(reported, _)| reported == attempt));
        }
    }

    /// Records that a heartbeat is acknowledged, which renews the agent's lease from when the heartbeat was sent. One that is not
    /// newer than the newest was sent before that one arrived, however late it comes.
    pub(super) fn acknowledge(&mut self, heartbeat: HeartbeatId) {
        let renewed_by = self.acknowledged_at.max(Some(self.latest_heartbeat_at));
        self.acknowledged_at = renewed_by;
        self.acknowledged = Some(heartbeat);
    }

    pub(super) fn acknowledged_at(&self) -> Option<Micros> {
        self.acknowledged_at
    }

    /// Whether it reported a fencing token of this term, so that it accepts no commands of earlier leaders any more.
    pub(super) fn has_current_token(&self) -> bool {
        self.has_current_token
    }

    /// For how long its lease cannot have been renewed, if that is known: since the last acknowledged heartbeat. That heartbeat
    /// may have been a duplicate of an old one, or its response may have been lost. So the time never counts from before the
    /// current incarnation began, nor from before the agent had the token of this term: until then an earlier leader may have
    /// renewed the lease.
    pub(super) fn lease_unrenewed_for(&self, now: Micros) -> Option<Micros> {
        let acknowledged_at = self.acknowledged_at.filter(|_| self.has_current_token)?;
        Some(now.since(acknowledged_at.max(self.latest_lease_start)))
    }

    /// Incarnations up to this one are never acknowledged again.
    pub(super) fn fenced_incarnation(&self) -> u64 {
        self.fenced_incarnation
    }

    pub(super) fn fence(&mut self, incarnation: u64) {
        self.fenced_incarnation = self.fenced_incarnation.max(incarnation);
    }

    /// Whether its current incarnation is fenced, or none is known.
    pub(super) fn is_fenced(&self) -> bool {
        self.latest_heartbeat.incarnation <= self.fenced_incarnation
    }

    /// Whether it responds to pushed commands, but none of its heartbeats arrive. `since`: from when on this process could
    /// receive heartbeats.
    pub(super) fn heartbeats_are_lost(
        &self,
        now: Micros,
        since: Micros,
        limits: HeartbeatLossLimits,
    ) -> bool {
        let (from, limit) = self
            .last_heartbeat_at
            .map_or((since, limits.before_first), |at| {
                (at.max(since), limits.after_heartbeat)
            });
        now.since(from) > limit && self.last_contact.is_some_and(|at| at > from)
    }
}

/// Whether the agent receives commands.
impl Agent {
    /// Records evidence that the agent receives commands.
    pub(super) fn on_commands_received(&mut self, now: Micros) {
        self.last_contact = Some(now);
        self.unreachable = false;
        self.unconfirmed_heartbeats = 0;
    }

    /// Whether there is a one-way partition: its heartbeats arrive, but commands do not reach it.
    pub(super) fn commands_are_lost(&self) -> bool {
        self.unconfirmed_heartbeats >= UNCONFIRMED_HEARTBEATS_LIMIT && self.unreachable
    }

    pub(super) fn has_unconfirmed_heartbeats(&self) -> bool {
        self.unconfirmed_heartbeats > 0
    }

    /// Whether it has sent too many heartbeats without evidence that it receives commands. `marked_unreachable`: its machine is
    /// recorded as unreachable.
    pub(super) fn needs_probe(&self, marked_unreachable: bool) -> bool {
        let limit = if marked_unreachable {
            1
        } else {
            UNCONFIRMED_HEARTBEATS_LIMIT
        };
        self.can_be_probed() && self.unconfirmed_heartbeats >= limit
    }

    /// When it last sent a new heartbeat or responded to a pushed command in this term.
    pub fn last_contact(&self) -> Option<Micros> {
        self.last_contact
    }

    /// Whether a pushed command got no response, and nothing has shown since then that the agent receives commands.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Whether a command, even an empty one, can be pushed to it now: its endpoint is known and no other command is in flight.
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

    /// The fencing token of the next commands. A reported token above the replica's revision is that of a later leader.
    pub(super) fn command_token(&self, range: TokenRange) -> u64 {
        let token = range.leader_term.max(self.raised_token);
        if self.fencing_token <= range.replica_revision {
            token.max(self.fencing_token)
        } else {
            token
        }
    }

    /// Whether it refuses every copy of the launches pushed so far once it has executed the next commands.
    pub(super) fn is_fenced_from_pushed_launches(&self, range: TokenRange) -> bool {
        self.launches.are_refused_with(self.command_token(range))
    }

    /// Raises the token of the next commands if copies of the launches pushed so far would be accepted otherwise. Returns whether
    /// they will be refused. The token stays while a pushed command is in flight, because the agent would refuse that one too.
    pub(super) fn fence_pushed_launches(&mut self, range: TokenRange) -> bool {
        if self.is_fenced_from_pushed_launches(range) {
            return true;
        }
        if self.launches.is_push_in_flight()
            || !self.launches.are_refused_with(range.replica_revision)
        {
            return false;
        }
        self.raised_token = range.replica_revision;
        true
    }

    /// Handles a pushed command that got no response.
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
        self.running_since
            .get(attempt)
            .map_or(Micros::ZERO, |at| now.since(*at))
    }

    /// When the cloud reclaims the machine.
    pub(super) fn reclaimed_at(&self) -> Option<Micros> {
        self.reclaimed_at
    }

    /// Records that a task of this job failed on the machine; true if that quarantines the machine.
    pub(super) fn on_task_failed(&mut self, job: JobId) -> bool {
        self.failed_jobs.insert(job);
        let quarantine = self.failed_jobs.len() >= FAILED_JOBS_FOR_QUARANTINE && !self.quarantined;
        self.quarantined |= quarantine;
        quarantine
    }

    /// Records that a task completed on the machine: earlier failures no longer count against it.
    pub(super) fn on_task_done(&mut self) {
        self.failed_jobs.clear();
    }

    /// Discards the failures of this job, which no longer count against the machine; true if that ends its quarantine.
    pub(super) fn discard_failures_of(&mut self, job: JobId) -> bool {
        let was_counted = self.failed_jobs.remove(&job);
        let ends_quarantine =
            was_counted && self.quarantined && self.failed_jobs.len() < FAILED_JOBS_FOR_QUARANTINE;
        self.quarantined &= !ends_quarantine;
        ends_quarantine
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.quarantined
    }
}

#[cfg(test)]
mod tests;
