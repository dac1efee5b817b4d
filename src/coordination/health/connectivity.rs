//! Connectivity of this controller to the agents. A controller that receives nothing from agents while its peers do is
//! itself isolated: it withdraws, so that others claim its shards before the leases of the agents expire.
//!
//! This rests on suspicion, not proof. A withdrawal only removes the node's own record, as the expiry of its lease would;
//! claims of its shards begin new terms, as after a crash.

use crate::coordination::{Controller, Effect, Purpose};
use crate::protocol::worker::command_body;
use crate::time::Micros;
use std::net::SocketAddrV4;

/// Number of probes in a round, and of probes without a response that a withdrawal requires; the number of machines, if that is
/// smaller.
const MAX_PROBES_PER_ROUND: usize = 3;

/// How long to wait for the response to a probe.
const PROBE_TIMEOUT: Micros = Micros::millis(1_500);

/// Minimum time between two rounds of probes.
const MIN_PROBE_INTERVAL: Micros = Micros::millis(500);

/// Minimum duration of a withdrawal; it doubles with each withdrawal that follows soon after a return.
const MIN_WITHDRAWAL_DURATION: Micros = Micros::secs(3);

/// Upper limit for the doubled minimum duration of a withdrawal.
const MAX_WITHDRAWAL_DURATION: Micros = Micros::secs(60);

/// A withdrawal that begins within this time after a return has twice the minimum duration of the previous one.
const REPEATED_WITHDRAWAL_PERIOD: Micros = Micros::secs(120);

/// Maximum number of probes without a response with which a withdrawn node may return.
const MAX_FAILED_PROBES_FOR_RETURN: usize = 1;

/// A withdrawn node returns only after agent contact within this time.
const MAX_CONTACT_AGE_FOR_RETURN: Micros = Micros::secs(2);

/// Time after which a withdrawn node returns if no other controller is alive.
const ALONE_RETURN_DELAY: Micros = Micros::secs(1);

/// Added to the allowed silence after a takeover: agents may first have to give up on another node.
const TAKEOVER_GRACE_PERIOD: Micros = Micros::millis(5_500);

/// Minimum silence of all agents that counts as evidence.
const MIN_SILENCE_LIMIT: Micros = Micros::secs(1);

/// Silence of all agents counts as evidence after this many times the average time between consecutive heartbeats
/// of all agents together.
const SILENCE_LIMIT_HEARTBEATS: u64 = 6;

/// A peer is in contact with agents if it received anything from any of them within this time.
const MAX_PEER_CONTACT_AGE: Micros = Micros::secs(3);

/// A controller withdraws only while its last contact with the state store is more recent than this.
const MAX_STATE_CONTACT_AGE: Micros = Micros::secs(4);

/// What is known of the connection to the agents.
#[derive(Debug, Default)]
pub struct Connectivity {
    /// When any agent last sent a heartbeat or a response.
    last_contact: Option<Micros>,
    /// Probes without a response since then.
    failed_probes: usize,
    probes_in_flight: usize,
    next_probe: Micros,
    /// Machines are probed in rotation: index of the first one in the next round.
    probe_rotation: usize,
    /// When the node withdrew, unless it has returned.
    withdrawn_since: Option<Micros>,
    /// Minimum duration of the current or last withdrawal.
    withdrawal_duration: Micros,
    returned_at: Option<Micros>,
}

impl Connectivity {
    /// Records that an agent sent a heartbeat or a response.
    pub fn on_agent_contact(&mut self, now: Micros) {
        self.last_contact = Some(now);
        self.failed_probes = 0;
    }

    /// Whether the node has withdrawn from leading its shards.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_since.is_some()
    }

    fn may_probe(&self, now: Micros) -> bool {
        self.probes_in_flight == 0 && now >= self.next_probe
    }

    fn on_probes_sent(&mut self, count: usize, now: Micros) {
        self.probe_rotation = self.probe_rotation.wrapping_add(1);
        self.probes_in_flight = count;
        self.next_probe = now + MIN_PROBE_INTERVAL;
    }

    fn on_probe_result(&mut self, answered: bool, now: Micros) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        if answered {
            self.on_agent_contact(now);
        } else {
            self.failed_probes += 1;
        }
    }

    /// Whether agents have been in contact since the withdrawal began, and the withdrawal has lasted long enough.
    fn is_restored(&self, withdrawn_since: Micros, now: Micros) -> bool {
        let in_contact = self
            .last_contact
            .is_some_and(|at| at > withdrawn_since && now.since(at) < MAX_CONTACT_AGE_FOR_RETURN);
        in_contact
            && self.failed_probes <= MAX_FAILED_PROBES_FOR_RETURN
            && now.since(withdrawn_since) > self.withdrawal_duration
    }

    fn withdraw(&mut self, now: Micros) {
        let repeated = self
            .returned_at
            .is_some_and(|at| now.since(at) < REPEATED_WITHDRAWAL_PERIOD);
        self.withdrawal_duration = if repeated {
            Micros(self.withdrawal_duration.0 * 2).min(MAX_WITHDRAWAL_DURATION)
        } else {
            MIN_WITHDRAWAL_DURATION
        };
        self.withdrawn_since = Some(now);
    }

    fn end_withdrawal(&mut self, now: Micros) {
        self.withdrawn_since = None;
        self.returned_at = Some(now);
    }
}

impl Controller {
    /// Milliseconds since the last contact with any agent; none if there was no contact yet.
    pub(in crate::coordination) fn agent_contact_age_ms(&self) -> Option<u64> {
        let last_contact = self.connectivity.last_contact?;
        Some(self.now.monotonic.since(last_contact).as_millis())
    }

    /// Whether the silence of agents is evidence about this node rather than about the agents.
    pub(in crate::coordination) fn is_isolated_from_agents(&self) -> bool {
        self.connectivity.is_withdrawn() || self.are_agents_silent() && self.are_peers_in_contact()
    }

    /// Whether all agents have been silent for longer than expected of their number.
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
        let silent_since = last_contact.unwrap_or(expected_from + TAKEOVER_GRACE_PERIOD);
        let silence_limit =
            Micros(self.settings.heartbeat_interval.0 * SILENCE_LIMIT_HEARTBEATS / agents);
        self.now.monotonic.since(silent_since) > MIN_SILENCE_LIMIT.max(silence_limit)
    }

    /// When the oldest of this process's leader terms began.
    fn oldest_term(&self) -> Option<Micros> {
        (0..self.cell.leaders.len())
            .filter_map(|shard| Some(self.leadership.leader_term(shard)?.since))
            .min()
    }

    /// Whether a peer has recently had contact with agents.
    fn are_peers_in_contact(&self) -> bool {
        self.peers.values().any(|(received, hint)| {
            let hint_age = self.now.monotonic.since(*received);
            hint.last_heartbeat_ms
                .is_some_and(|ms| Micros::millis(ms) + hint_age < MAX_PEER_CONTACT_AGE)
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
        let now = self.now.monotonic;
        let duration = now.since(since);
        // If no other controller is alive, the shards must still have a leader, even one without contact with agents.
        let alone = self.cell.nodes.is_empty() && duration > ALONE_RETURN_DELAY;
        if !alone && !self.connectivity.is_restored(since, now) {
            self.probe_agents();
            return;
        }
        tracing::info!(%duration, alone, "node withdrawal ended");
        self.connectivity.end_withdrawal(now);
        self.leadership.schedule_check();
    }

    fn tick_silence(&mut self) {
        let machines = self.cell.schedulable_machines().count();
        let confirmed =
            self.connectivity.failed_probes >= MAX_PROBES_PER_ROUND.min(machines.max(1));
        if confirmed && self.are_peers_in_contact() && self.contact_age() < MAX_STATE_CONTACT_AGE {
            self.withdraw();
        } else {
            self.probe_agents();
        }
    }

    /// Withdraws from leading shards: the node's own record is removed, and not written again until the withdrawal ends.
    fn withdraw(&mut self) {
        self.connectivity.withdraw(self.now.monotonic);
        let agents = self.agents.len();
        let minimum = self.connectivity.withdrawal_duration;
        tracing::info!(agents, %minimum, "node withdrawn: no agent contact while peers have some");
    }

    /// Probes a few agents, of any shard, with an empty command. No agent accepts its fencing token and incarnation, so
    /// nothing is executed, and the response is the agent's heartbeat.
    fn probe_agents(&mut self) {
        let now = self.now.monotonic;
        if !self.connectivity.may_probe(now) {
            return;
        }
        let endpoints = self.endpoints_to_probe();
        if endpoints.is_empty() {
            return;
        }
        self.connectivity.on_probes_sent(endpoints.len(), now);
        for endpoint in endpoints {
            let call = self.register_call(Purpose::Probe);
            self.effects.push(Effect::PushCommand {
                call,
                endpoint: endpoint.to_string(),
                body: command_body(0, 0, &[]),
                timeout: PROBE_TIMEOUT,
            });
        }
    }

    /// Endpoints for the next round of probes. They are spread over all machines, since machines that were added together
    /// may share a fault.
    fn endpoints_to_probe(&self) -> Vec<SocketAddrV4> {
        let machines = self.cell.schedulable_machines();
        let endpoints: Vec<_> = machines
            .filter_map(|(_, machine)| machine.endpoint)
            .collect();
        let count = MAX_PROBES_PER_ROUND.min(endpoints.len());
        (0..count)
            .map(|probe| {
                let step = endpoints.len() / count;
                endpoints[(self.connectivity.probe_rotation + probe * step) % endpoints.len()]
            })
            .collect()
    }

    /// Handles the result of a probe: the agent responded, or did not.
    pub(in crate::coordination) fn on_probe_result(&mut self, answered: bool) {
        let now = self.now.monotonic;
        self.connectivity.on_probe_result(answered, now);
    }
}

#[cfg(test)]
mod tests;
