//! Workers' reports: who answers them, and what they prove.

use super::{Agent, HealthChange};
use crate::coordination::Controller;
use crate::protocol::worker::{Heartbeat, HeartbeatResponse, TaskState};
use crate::storage::ids::{MachineId, ShardId};
use crate::storage::records::MachineHealth;

impl Controller {
    pub(in crate::coordination) fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
    ) -> HeartbeatResponse {
        if !self.replica.ready() || self.cell.shards() == 0 {
            return HeartbeatResponse::Unavailable;
        }
        let k = self.cell.shard_of_machine(heartbeat.machine);
        if !self.leads(k) {
            let owner = self.cell.leaders[k].value.as_ref().filter(|o| {
                o.node != self.settings.node
                    && self
                        .cell
                        .nodes
                        .get(&o.node)
                        .is_some_and(|n| n.value.run == o.run)
            });
            return match owner {
                Some(o) => HeartbeatResponse::Elsewhere(Some(o.node.clone())),
                None => HeartbeatResponse::Unavailable,
            };
        }
        if self.is_out_of_contact() {
            return HeartbeatResponse::Unavailable;
        }
        let fencing_token = self.cell.leaders[k].mod_revision;
        if heartbeat.fencing_token > fencing_token {
            tracing::info!(machine = %heartbeat.machine, theirs = heartbeat.fencing_token, ours = fencing_token, "a worker has a newer token");
            self.replica.want_barrier();
            return HeartbeatResponse::Unavailable;
        }
        // One that was given up while it booted is never used: its release is under way.
        if self.removed_machines.contains(&heartbeat.machine)
            || self.cell.fleet.value.releasing.contains(&heartbeat.machine)
        {
            return HeartbeatResponse::Unavailable;
        }
        let fenced_incarnation = self
            .cell
            .machine(heartbeat.machine)
            .map_or(0, |r| r.fenced_incarnation);
        let agent = self.agents.entry(heartbeat.machine).or_insert_with(|| {
            tracing::info!(machine = %heartbeat.machine, machine_type = heartbeat.machine_type, spot = heartbeat.spot, "heard for the first time");
            Agent::new(&heartbeat.endpoint, &heartbeat.machine_type, &heartbeat.zone, heartbeat.spot)
        });
        if agent.endpoint != heartbeat.endpoint {
            agent.endpoint.clone_from(&heartbeat.endpoint);
        }
        agent.fenced_incarnation = agent.fenced_incarnation.max(fenced_incarnation);
        if heartbeat.incarnation() <= agent.fenced_incarnation {
            return HeartbeatResponse::Unavailable;
        }
        let now = self.now.steady;
        // An older one may be a copy, which is no sign of life; or the worker's own, overtaken by its answer to a direct
        // command, so it is answered.
        let newer = heartbeat.order > agent.order;
        if newer {
            let first = self.leadership.leader_term(k).map_or(u64::MAX, |t| t.first);
            agent.reported(now, heartbeat, first, self.settings.others.is_empty());
            self.apply_heartbeat(k, heartbeat);
        }
        if self.overdue(heartbeat.machine) {
            return HeartbeatResponse::Unavailable;
        }
        if let Some(s) = self.agents.get_mut(&heartbeat.machine) {
            s.answered = Some(now);
            s.acknowledged = Some(heartbeat.order);
        }
        let commands = self.commands(k, heartbeat.machine, newer);
        self.probe_for_commands_heard(heartbeat.machine);
        HeartbeatResponse::Commands {
            fencing_token,
            commands,
        }
    }

    /// Whether a launch may still reach a machine whose job was cancelled so long ago that its lease must end.
    pub(super) fn overdue(&self, m: MachineId) -> bool {
        let Some(s) = self.agents.get(&m) else {
            return false;
        };
        let overdue = self.is_overdue(self.cancelled.earliest(s.under_way()));
        if overdue {
            tracing::info!(machine = %m, "not answered: a launch of a cancelled job may still be on its way to it");
        }
        overdue
    }

    /// A machine that reports and may be deaf is asked: it gets no work until it answers, or is seen to hear.
    pub(super) fn probe_for_commands_heard(&mut self, m: MachineId) {
        let lost = self
            .cell
            .machine(m)
            .is_some_and(|r| r.health == MachineHealth::Unreachable);
        let asks =
            |s: &Agent| s.may_be_asked() && s.unconfirmed_heartbeats >= if lost { 1 } else { 2 };
        if self.agents.get(&m).is_some_and(asks) {
            self.command(m, Vec::new(), Vec::new());
        }
    }

    /// Takes a newer report of a machine, by whichever way it came.
    pub(super) fn apply_heartbeat(&mut self, k: ShardId, heartbeat: &Heartbeat) {
        let now = self.now.steady;
        let Some(leader_term) = self.leadership.leader_term(k) else {
            return;
        };
        let Some(s) = self.agents.get_mut(&heartbeat.machine) else {
            return;
        };
        s.takes(now, heartbeat, leader_term.first);
        s.seen.clone_from(&heartbeat.tasks);
        s.unsettled.retain(|(_, fencing_token, incarnation)| {
            heartbeat.fencing_token <= *fencing_token && heartbeat.incarnation() <= *incarnation
        });
        for (a, state) in &heartbeat.tasks {
            if *state == TaskState::Running {
                s.started.entry(*a).or_insert(now);
            }
        }
        if s.started.len() > heartbeat.tasks.len() {
            s.started
                .retain(|a, _| heartbeat.tasks.iter().any(|(t, _)| t == a));
        }
        let reclaimed_at = heartbeat.preemption_notice.map(|r| now + r);
        if reclaimed_at.is_some() && s.reclaimed_at.is_none() {
            tracing::info!(machine = %heartbeat.machine, "the cloud will take it back");
        }
        s.reclaimed_at = reclaimed_at;
        // The first word of a machine may be a copy of a report of one that is gone. Who owns the slice for long
        // remembers those.
        let copies = self.settings.lease * 3;
        let since = leader_term.since.max(self.stall.back());
        let mute = s.heartbeats_are_lost(
            now,
            since,
            Self::longest_silence(self.settings.heartbeat_interval),
            self.settings.lease,
        );
        match self.cell.machine(heartbeat.machine) {
            None if !s.heard && now.since(leader_term.since) < copies => {}
            None => self.rounds.add(heartbeat.machine),
            Some(r) => {
                let wanted = if r.health == MachineHealth::Decommissioning {
                    MachineHealth::Decommissioning
                } else if s.ignores_commands()
                    || r.health == MachineHealth::Unreachable
                        && (mute || s.unconfirmed_heartbeats > 0)
                {
                    if r.health != MachineHealth::Unreachable {
                        tracing::info!(machine = %heartbeat.machine, "deaf: it reports, but hears nothing");
                    }
                    MachineHealth::Unreachable
                } else if reclaimed_at.is_some() || s.quarantined {
                    MachineHealth::Cordoned
                } else {
                    MachineHealth::Schedulable
                };
                if wanted != r.health {
                    self.rounds.set_health(
                        heartbeat.machine,
                        HealthChange {
                            health: wanted,
                            fenced_incarnation: r.fenced_incarnation,
                        },
                    );
                }
            }
        }
    }
}
