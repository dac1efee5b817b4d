//! Heartbeats of agents: which controller responds to them, and what they change.

use super::HealthChange;
use super::agent::{Agent, HeartbeatLossLimits, TokenRange};
use super::commands::Delivery;
use crate::coordination::Controller;
use crate::protocol::worker::{Heartbeat, HeartbeatResponse};
use crate::storage::ids::{MachineId, ShardId};
use crate::storage::records::{MachineHealth, MachineRecord};

impl Controller {
    /// Number of lease durations after the beginning of a term in which a heartbeat may be a duplicate from a machine that was
    /// removed before, because the leader does not remember that machine.
    const DUPLICATE_HEARTBEAT_LEASES: u64 = 3;

    /// Responds to a heartbeat. A response with commands renews the agent's lease.
    pub(in crate::coordination) fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
    ) -> HeartbeatResponse {
        if !self.replica.is_ready() || self.cell.shards() == 0 {
            return HeartbeatResponse::Unavailable;
        }
        let machine = heartbeat.machine;
        let shard = self.cell.shard_of_machine(machine);
        if !self.leads(shard) {
            return self.redirect_to_leader(shard);
        }
        if self.is_state_contact_too_old()
            || self.has_newer_token(shard, heartbeat)
            || self.is_removed(machine)
            || !self.admit_heartbeat(heartbeat)
        {
            return HeartbeatResponse::Unavailable;
        }
        let newer = self.apply_if_newer(shard, heartbeat);
        if self.must_let_lease_expire(machine) {
            return HeartbeatResponse::Unavailable;
        }
        if let Some(agent) = self.agents.get_mut(&machine) {
            agent.acknowledge(heartbeat.id);
        }
        let delivery = if newer {
            Delivery::InResponse
        } else {
            Delivery::OutOfOrder
        };
        let commands = self.build_commands(shard, machine, delivery);
        self.probe_if_unconfirmed(machine);
        let fencing_token = self.command_token(shard, machine);
        if !commands.is_empty() {
            tracing::debug!(%machine, token = fencing_token, revision = self.cell.revision, ?commands, "commands sent");
        }
        HeartbeatResponse::Commands {
            fencing_token,
            commands,
        }
    }

    /// The response of a controller that does not lead the shard: the leader's name, if the leader is another registered node
    /// that has not been restarted since it became the leader.
    fn redirect_to_leader(&self, shard: ShardId) -> HeartbeatResponse {
        let leader = self.cell.leaders[shard].value.as_ref().filter(|leader| {
            leader.node != self.settings.node
                && self
                    .cell
                    .nodes
                    .get(&leader.node)
                    .is_some_and(|node| node.value.incarnation == leader.incarnation)
        });
        match leader {
            Some(leader) => HeartbeatResponse::NotLeader(Some(leader.node.clone())),
            None => HeartbeatResponse::Unavailable,
        }
    }

    /// Whether the agent has the fencing token of a later leader. If so, this replica is out of date, and a barrier is requested.
    fn has_newer_token(&mut self, shard: ShardId, heartbeat: &Heartbeat) -> bool {
        let highest = TokenRange::of_shard(&self.cell, shard).replica_revision;
        let newer = heartbeat.fencing_token > highest;
        if newer {
            tracing::info!(machine = %heartbeat.machine, theirs = heartbeat.fencing_token, ours = highest, "agent has a newer fencing token");
            self.replica.request_barrier();
        }
        newer
    }

    /// Whether the machine was removed recently, or was abandoned while it booted. An abandoned machine is being released, so it
    /// is never used.
    fn is_removed(&self, machine: MachineId) -> bool {
        self.removed_machines.contains(&machine)
            || self.cell.fleet.value.releasing.contains(&machine)
    }

    /// Registers the agent if it is not known yet; returns false if its incarnation is fenced.
    fn admit_heartbeat(&mut self, heartbeat: &Heartbeat) -> bool {
        let fenced_incarnation = self
            .cell
            .machine(heartbeat.machine)
            .map_or(0, |r| r.fenced_incarnation);
        let agent = self.agents.entry(heartbeat.machine).or_insert_with(|| {
            tracing::info!(machine = %heartbeat.machine, machine_type = heartbeat.machine_type, spot = heartbeat.spot, "agent registered");
            Agent::from_heartbeat(heartbeat)
        });
        agent.update_endpoint(&heartbeat.endpoint);
        agent.fence(fenced_incarnation);
        heartbeat.incarnation() > agent.fenced_incarnation()
    }

    /// Applies the heartbeat if it is newer than all earlier ones. A heartbeat that is not newer may be a duplicate, so it does
    /// not show that the agent is alive. But the agent may also have sent it before it responded to a pushed command, so it gets
    /// a response all the same.
    fn apply_if_newer(&mut self, shard: ShardId, heartbeat: &Heartbeat) -> bool {
        let now = self.now.monotonic;
        let Some(agent) = self.agents.get_mut(&heartbeat.machine) else {
            return false;
        };
        if !agent.is_newer(heartbeat) {
            return false;
        }
        let first_term = self
            .leadership
            .leader_term(shard)
            .map_or(u64::MAX, |term| term.first_token);
        let only_controller = self.settings.peers.is_empty();
        agent.on_new_heartbeat(now, heartbeat, first_term, only_controller);
        self.apply_heartbeat(shard, heartbeat);
        true
    }

    /// Whether a launch in flight to the machine belongs to a job that was cancelled so long ago that the machine's lease must
    /// expire.
    fn must_let_lease_expire(&self, machine: MachineId) -> bool {
        let Some(agent) = self.agents.get(&machine) else {
            return false;
        };
        let due = self.requires_lease_expiry(
            self.cancellations
                .earliest_report(agent.launches().in_flight()),
        );
        if due {
            tracing::info!(%machine, "heartbeat not acknowledged: a launch of a cancelled job may still be in flight");
        }
        due
    }

    /// Probes an agent whose heartbeats do not show whether it receives commands. Its machine gets no work until the agent
    /// responds, or shows in another way that it receives commands.
    fn probe_if_unconfirmed(&mut self, machine: MachineId) {
        let marked_unreachable = self
            .cell
            .machine(machine)
            .is_some_and(|r| r.health == MachineHealth::Unreachable);
        let probe = self
            .agents
            .get(&machine)
            .is_some_and(|agent| agent.needs_probe(marked_unreachable));
        if probe {
            self.push_commands(machine, Vec::new(), Vec::new());
        }
    }

    /// Applies a newer heartbeat, whether the agent sent it by itself or in the response to a pushed command.
    pub(super) fn apply_heartbeat(&mut self, shard: ShardId, heartbeat: &Heartbeat) {
        let now = self.now.monotonic;
        let Some(leader_term) = self.leadership.leader_term(shard) else {
            return;
        };
        let Some(agent) = self.agents.get_mut(&heartbeat.machine) else {
            return;
        };
        agent.update_from_heartbeat(now, heartbeat, leader_term.first_token);
        let heartbeats_lost = agent.heartbeats_are_lost(
            now,
            leader_term.since.max(self.stall.resumed_at()),
            HeartbeatLossLimits::from_settings(&self.settings),
        );
        match self.cell.machine(heartbeat.machine) {
            None => {
                let term_age = now.since(leader_term.since);
                if agent.has_current_token()
                    || term_age >= self.settings.agent_lease * Self::DUPLICATE_HEARTBEAT_LEASES
                {
                    self.rounds.add_machine(heartbeat.machine);
                }
            }
            Some(record) => {
                let health = health_from_heartbeat(agent, record, heartbeats_lost);
                if health == record.health {
                    return;
                }
                if health == MachineHealth::Unreachable {
                    tracing::info!(machine = %heartbeat.machine, "machine unreachable: its heartbeats arrive, but it receives no commands");
                }
                let change = HealthChange {
                    health,
                    fenced_incarnation: record.fenced_incarnation,
                };
                self.rounds.set_health(heartbeat.machine, change);
            }
        }
    }
}

/// The health that a machine's newest heartbeat shows.
fn health_from_heartbeat(
    agent: &Agent,
    record: &MachineRecord,
    heartbeats_are_lost: bool,
) -> MachineHealth {
    let stays_unreachable = record.health == MachineHealth::Unreachable
        && (heartbeats_are_lost || agent.has_unconfirmed_heartbeats());
    if record.health == MachineHealth::Decommissioning {
        MachineHealth::Decommissioning
    } else if agent.commands_are_lost() || stays_unreachable {
        MachineHealth::Unreachable
    } else if agent.reclaimed_at().is_some() || agent.is_quarantined() {
        MachineHealth::Cordoned
    } else {
        MachineHealth::Schedulable
    }
}
