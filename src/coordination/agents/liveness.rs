//! Detection of silent agents: when silence proves that a lease has expired, and how silent machines are handled.

use super::agent::{Agent, HeartbeatLossLimits};
use super::cancellations::Cancellations;
use super::{AssignmentOutcome, HealthChange};
use crate::coordination::commit::Rounds;
use crate::coordination::leadership::Leadership;
use crate::coordination::{Controller, Counters};
use crate::protocol::settings::Settings;
use crate::storage::cell_state::CellState;
use crate::storage::ids::{MachineId, ShardId};
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::time::Micros;

/// Added to the lease duration and its clock drift before silence counts as proof that the lease has expired.
const LEASE_EXPIRY_MARGIN: Micros = Micros::millis(400);
/// Added to one and a quarter heartbeat intervals before a heartbeat counts as late.
const HEARTBEAT_DUE_MARGIN: Micros = Micros::millis(1_500);
/// The longest time that an agent may wait for another node before it sends its heartbeat to this one.
const OTHER_NODE_TIMEOUT: Micros = Micros::millis(5_500);

/// The time after the last contact by which the next heartbeat is due; after it the heartbeat is late.
fn heartbeat_due(settings: &Settings) -> Micros {
    let interval = settings.heartbeat_interval;
    interval + Micros(interval.0 / 4) + HEARTBEAT_DUE_MARGIN
}

/// Like `heartbeat_due`, for an agent that may first have to give up on another node.
pub(super) fn longest_expected_silence(settings: &Settings) -> Micros {
    heartbeat_due(settings) + OTHER_NODE_TIMEOUT
}

/// Durations of silence after which an agent is handled differently.
struct SilenceLimits {
    heartbeat_due: Micros,
    longest_expected_silence: Micros,
    /// An agent whose lease has not been renewed for longer than this has certainly lost it.
    lease_expiry: Micros,
    heartbeat_loss: HeartbeatLossLimits,
}

impl SilenceLimits {
    fn from_settings(settings: &Settings) -> SilenceLimits {
        SilenceLimits {
            heartbeat_due: heartbeat_due(settings),
            longest_expected_silence: longest_expected_silence(settings),
            lease_expiry: settings.agent_lease.with_drift() + LEASE_EXPIRY_MARGIN,
            heartbeat_loss: HeartbeatLossLimits::from_settings(settings),
        }
    }
}

/// Checks the agents of the shards that this process leads.
struct LivenessCheck<'a> {
    cell: &'a CellState,
    cancelled: &'a Cancellations,
    leadership: &'a mut Leadership,
    rounds: &'a mut Rounds,
    counters: &'a mut Counters,
    limits: SilenceLimits,
    now: Micros,
    /// When this process last resumed after a stall: silence before that is no evidence.
    stall_end: Micros,
    /// The silence of agents is evidence about this node rather than about the agents.
    is_isolated_from_agents: bool,
    /// Machines whose agents are to be probed.
    probes: Vec<MachineId>,
}

impl LivenessCheck<'_> {
    fn check(&mut self, machine: MachineId, agent: &mut Agent) {
        let shard = self.cell.shard_of_machine(machine);
        let Some(leader_term) = self.leadership.leader_term(shard) else {
            return;
        };
        let since = leader_term.since.max(self.stall_end);
        self.settle_cancelled_launches(shard, agent);
        self.mark_unreachable_if_heartbeats_lost(machine, agent, since);
        let last_contact = agent.last_contact().unwrap_or(leader_term.since);
        let silence = self.now.since(last_contact.max(self.stall_end));
        if silence <= self.limits.heartbeat_due {
            return;
        }
        let Some(record) = self.cell.machine(machine) else {
            return;
        };
        let expired_lease = agent
            .lease_unrenewed_for(self.now)
            .filter(|unrenewed| *unrenewed > self.limits.lease_expiry);
        if let Some(unrenewed) = expired_lease {
            self.fence_incarnation(machine, agent, record, unrenewed);
        } else {
            self.probe_or_mark_unreachable(machine, agent, record, silence);
        }
    }

    /// Requests a new term if a launch of a cancelled job is unsettled: the launch must not be executed any more, and the next
    /// heartbeat of the agent may not arrive soon.
    fn settle_cancelled_launches(&mut self, shard: ShardId, agent: &Agent) {
        if agent.launches().has_unsettled()
            && self
                .cancelled
                .earliest_report(agent.launches().in_flight())
                .is_some()
        {
            self.leadership
                .request_new_term(shard, agent.launches().unsettled_since(), self.now);
        }
    }

    fn mark_unreachable_if_heartbeats_lost(
        &mut self,
        machine: MachineId,
        agent: &Agent,
        since: Micros,
    ) {
        if !agent.heartbeats_are_lost(self.now, since, self.limits.heartbeat_loss) {
            return;
        }
        let Some(record) = self
            .cell
            .machine(machine)
            .filter(|r| r.health < MachineHealth::Unreachable)
        else {
            return;
        };
        if self.mark_unreachable(machine, record) {
            tracing::info!(%machine, "machine unreachable: it answers commands, but no heartbeat arrives");
        }
    }

    fn mark_unreachable(&mut self, machine: MachineId, record: &MachineRecord) -> bool {
        let change = HealthChange {
            health: MachineHealth::Unreachable,
            fenced_incarnation: record.fenced_incarnation,
        };
        self.rounds.set_health(machine, change)
    }

    /// Handles a lease that has certainly expired: fences the agent's incarnation and releases its assignments. From here on no
    /// heartbeat of the incarnation is acknowledged, whether or not the commit succeeds.
    fn fence_incarnation(
        &mut self,
        machine: MachineId,
        agent: &mut Agent,
        record: &MachineRecord,
        unrenewed: Micros,
    ) {
        let incarnation = agent.incarnation();
        if agent.fenced_incarnation() < incarnation {
            tracing::info!(%machine, incarnation, %unrenewed, "agent lease expired");
            agent.fence(incarnation);
            self.counters.expired_agents += 1;
        }
        if record.fenced_incarnation < agent.fenced_incarnation() {
            let change = HealthChange {
                health: record.health.max(MachineHealth::Unreachable),
                fenced_incarnation: agent.fenced_incarnation(),
            };
            self.rounds.set_health(machine, change);
        }
        for assignment in &record.tasks {
            self.rounds.release(
                machine,
                assignment.attempt(),
                AssignmentOutcome::Reassign,
                self.now,
            );
        }
    }

    /// Handles a late heartbeat. The heartbeat may have gone to another node, or this process may be slow, so the agent is probed
    /// first. An agent whose endpoint is unknown cannot be probed (a record may lack the endpoint, and the agent has sent nothing
    /// in this term); if its machine were not marked unreachable, the machine and its tasks would be waited for forever.
    fn probe_or_mark_unreachable(
        &mut self,
        machine: MachineId,
        agent: &Agent,
        record: &MachineRecord,
        silence: Micros,
    ) {
        let is_evidence =
            agent.last_contact().is_some() || silence > self.limits.longest_expected_silence;
        if self.is_isolated_from_agents
            || record.health >= MachineHealth::Unreachable
            || !is_evidence
        {
            return;
        }
        if !agent.is_unreachable() && agent.has_endpoint() {
            self.probes.push(machine);
        } else if self.mark_unreachable(machine, record) {
            tracing::info!(%machine, %silence, "machine unreachable: its agent is silent");
        }
    }
}

impl Controller {
    /// Periodically checks which agents are silent.
    pub(in crate::coordination) fn tick_agents(&mut self) {
        if self.rounds.has_suspect_jobs() {
            self.rounds.request();
        }
        let is_isolated_from_agents = self.is_isolated_from_agents();
        let mut check = LivenessCheck {
            cell: &self.cell,
            cancelled: &self.cancellations,
            leadership: &mut self.leadership,
            rounds: &mut self.rounds,
            counters: &mut self.counters,
            limits: SilenceLimits::from_settings(&self.settings),
            now: self.now.monotonic,
            stall_end: self.stall.resumed_at(),
            is_isolated_from_agents,
            probes: Vec::new(),
        };
        for (machine, agent) in &mut self.agents {
            check.check(*machine, agent);
        }
        for machine in check.probes {
            self.push_commands(machine, Vec::new(), Vec::new());
        }
    }
}
