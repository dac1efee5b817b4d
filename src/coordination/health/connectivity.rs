//! Connectivity of this controller to the agents. A controller that receives nothing from agents while its peers do is
//! itself cut off: it withdraws, so that others claim its shards before the leases of the agents expire.
//!
//! This is suspicion, not proof. A withdrawal only removes the node's own record, as the expiry of its lease would;
//! claims of its shards begin new terms as after a crash.

use crate::coordination::{Controller, Effect, Purpose};
use crate::protocol::worker::command_body;
use crate::time::Micros;
use std::net::SocketAddrV4;

/// Probes without an answer that prove enough to withdraw, if there are so many machines.
const PROBES: usize = 3;

/// How long a probe waits for its answer.
const PROBE_TIMEOUT: Micros = Micros::millis(1_500);

/// Shortest time between two rounds of probes.
const PROBE_SPACING: Micros = Micros::millis(500);

/// Shortest withdrawal; it doubles with each one that follows soon after a return.
const MIN_WITHDRAWAL: Micros = Micros::secs(3);

/// Longest that a withdrawal becomes by doubling.
const MAX_WITHDRAWAL: Micros = Micros::secs(60);

/// A withdrawal this soon after a return lasts twice as long as the one before.
const REPEATED_WITHDRAWAL_PERIOD: Micros = Micros::secs(120);

/// Probes without an answer with which a withdrawn node may still return.
const MAX_FAILED_FOR_RETURN: usize = 1;

/// A withdrawn node returns only after agent contact within this time.
const RECENT_CONTACT: Micros = Micros::secs(2);

/// Time after which a withdrawn node returns if no other controller is alive.
const RETURN_IF_ALONE: Micros = Micros::secs(1);

/// After a takeover agents may first have to give up on another node.
const TAKEOVER_GRACE: Micros = Micros::millis(5_500);

/// Silence of all agents is never judged before this time.
const MIN_SILENCE: Micros = Micros::secs(1);

/// Silence is judged after this many times the average time between two heartbeats of any agent.
const SILENCE_IN_HEARTBEATS: u64 = 6;

/// A peer is in contact with agents if it received anything from one within this time.
const PEER_CONTACT_PERIOD: Micros = Micros::secs(3);

/// A controller withdraws only while its contact to the state store is newer than this.
const MAX_STATE_CONTACT_AGE: Micros = Micros::secs(4);

/// What is known of the connection to the agents.
#[derive(Debug, Default)]
pub struct Connectivity {
    /// When any agent last sent a heartbeat or an answer.
    last_contact: Option<Micros>,
    /// Probes without an answer since then.
    failed_probes: usize,
    probes_in_flight: usize,
    next_probe: Micros,
    /// Machines are probed in turn: index of the first in the next round.
    rotation: usize,
    /// When the node withdrew, unless it has returned.
    withdrawn_since: Option<Micros>,
    /// Shortest time of the current or last withdrawal.
    withdrawal: Micros,
    returned_at: Option<Micros>,
}

impl Connectivity {
    /// An agent sent a heartbeat or an answer.
    pub fn on_agent_contact(&mut self, now: Micros) {
        self.last_contact = Some(now);
        self.failed_probes = 0;
    }

    /// Whether the node has given up its shards.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_since.is_some()
    }

    fn may_probe(&self, now: Micros) -> bool {
        self.probes_in_flight == 0 && now >= self.next_probe
    }

    fn on_probes_sent(&mut self, count: usize, now: Micros) {
        self.rotation = self.rotation.wrapping_add(1);
        self.probes_in_flight = count;
        self.next_probe = now + PROBE_SPACING;
    }

    fn on_probe_answer(&mut self, answered: bool, now: Micros) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        if answered {
            self.on_agent_contact(now);
        } else {
            self.failed_probes += 1;
        }
    }

    /// Whether agents have been in contact since the withdrawal, and it has lasted long enough.
    fn is_restored(&self, withdrawn_since: Micros, now: Micros) -> bool {
        let in_contact = self
            .last_contact
            .is_some_and(|at| at > withdrawn_since && now.since(at) < RECENT_CONTACT);
        in_contact
            && self.failed_probes <= MAX_FAILED_FOR_RETURN
            && now.since(withdrawn_since) > self.withdrawal
    }

    fn withdraw(&mut self, now: Micros) {
        let repeated = self
            .returned_at
            .is_some_and(|at| now.since(at) < REPEATED_WITHDRAWAL_PERIOD);
        self.withdrawal = if repeated {
            Micros(self.withdrawal.0 * 2).min(MAX_WITHDRAWAL)
        } else {
            MIN_WITHDRAWAL
        };
        self.withdrawn_since = Some(now);
    }

    fn end_withdrawal(&mut self, now: Micros) {
        self.withdrawn_since = None;
        self.returned_at = Some(now);
    }
}

impl Controller {
    /// Milliseconds since the last contact of any agent; none if there was none yet.
    pub(in crate::coordination) fn agent_contact_age_ms(&self) -> Option<u64> {
        let last_contact = self.connectivity.last_contact?;
        Some(self.now.steady.since(last_contact).as_millis())
    }

    /// Whether the silence of agents is evidence on this node rather than on them.
    pub(in crate::coordination) fn is_isolated_from_agents(&self) -> bool {
        self.connectivity.is_withdrawn() || self.are_agents_silent() && self.are_peers_in_contact()
    }

    /// Whether all agents have been silent for too long for their number.
    fn are_agents_silent(&self) -> bool {
        let agents = self.agents.len() as u64;
        let Some(first_term) = self.oldest_term() else {
            return false;
        };
        if agents == 0 {
            return false;
        }
        let expected_from = first_term.max(self.stall.resumed_at());
        let last_contact = self
            .connectivity
            .last_contact
            .filter(|at| *at >= expected_from);
        let silent_since = last_contact.unwrap_or(expected_from + TAKEOVER_GRACE);
        let spacing = Micros(self.settings.heartbeat_interval.0 * SILENCE_IN_HEARTBEATS / agents);
        self.now.steady.since(silent_since) > MIN_SILENCE.max(spacing)
    }

    /// When the oldest of this process's leader terms began.
    fn oldest_term(&self) -> Option<Micros> {
        (0..self.cell.leaders.len())
            .filter_map(|shard| Some(self.leadership.leader_term(shard)?.since))
            .min()
    }

    /// Whether a peer has had contact with agents lately.
    fn are_peers_in_contact(&self) -> bool {
        self.peers.values().any(|(received, hint)| {
            let hint_age = self.now.steady.since(*received);
            hint.last_heartbeat_ms
                .is_some_and(|ms| Micros::millis(ms) + hint_age < PEER_CONTACT_PERIOD)
        })
    }

    /// Checks the contact with agents: probes some, withdraws, or ends a withdrawal.
    pub(in crate::coordination) fn tick_connectivity(&mut self) {
        if !self.replica.is_ready() {
            return;
        }
        if let Some(since) = self.connectivity.withdrawn_since {
            self.tick_withdrawn(since);
        } else if self.are_agents_silent() {
            self.tick_silence();
        }
    }

    fn tick_withdrawn(&mut self, since: Micros) {
        let now = self.now.steady;
        let duration = now.since(since);
        // Without any other live controller the shards must have a leader, even one without contact to agents.
        let alone = self.cell.nodes.is_empty() && duration > RETURN_IF_ALONE;
        if !alone && !self.connectivity.is_restored(since, now) {
            self.probe_agents();
            return;
        }
        tracing::info!(%duration, alone, "node withdrawal ended");
        self.connectivity.end_withdrawal(now);
        self.leadership.schedule_check();
    }

    fn tick_silence(&mut self) {
        let machines = self.cell.machines_up().count();
        let confirmed = self.connectivity.failed_probes >= PROBES.min(machines.max(1));
        if confirmed && self.are_peers_in_contact() && self.contact_age() < MAX_STATE_CONTACT_AGE {
            self.withdraw();
        } else {
            self.probe_agents();
        }
    }

    /// Gives the shards up: the node's own record is removed, and not written again until agents are in contact.
    fn withdraw(&mut self) {
        self.connectivity.withdraw(self.now.steady);
        let agents = self.agents.len();
        let minimum = self.connectivity.withdrawal;
        tracing::info!(agents, %minimum, "node withdrawn: no agent contact while peers have some");
    }

    /// Probes a few agents, of any shard, with an empty command. Its fencing token and incarnation are ones that no
    /// agent accepts: nothing is carried out, and the answer is the agent's heartbeat.
    fn probe_agents(&mut self) {
        let now = self.now.steady;
        if !self.connectivity.may_probe(now) {
            return;
        }
        let endpoints = self.endpoints_to_probe();
        if endpoints.is_empty() {
            return;
        }
        self.connectivity.on_probes_sent(endpoints.len(), now);
        for endpoint in endpoints {
            let call = self.call(Purpose::Probe);
            self.effects.push(Effect::PushCommand {
                call,
                endpoint: endpoint.to_string(),
                body: command_body(0, 0, &[]),
                limit: PROBE_TIMEOUT,
            });
        }
    }

    /// Endpoints for the next round of probes. They are spread over all, since machines that were added together may
    /// share a fault.
    fn endpoints_to_probe(&self) -> Vec<SocketAddrV4> {
        let machines = self.cell.machines_up();
        let endpoints: Vec<_> = machines
            .filter_map(|(_, machine)| machine.endpoint)
            .collect();
        let count = PROBES.min(endpoints.len());
        (0..count)
            .map(|probe| {
                let step = endpoints.len() / count;
                endpoints[(self.connectivity.rotation + probe * step) % endpoints.len()]
            })
            .collect()
    }

    /// An agent answered a probe, or did not.
    pub(in crate::coordination) fn on_probe_answer(&mut self, answered: bool) {
        let now = self.now.steady;
        self.connectivity.on_probe_answer(answered, now);
    }
}

#[cfg(test)]
mod tests;
