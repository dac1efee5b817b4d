//! What the agents' heartbeats and responses show about each zone.

use crate::coordination::Controller;
use crate::scheduler::zone_health::{ZoneEvidence, ZoneHealth};
use crate::storage::ids::MachineId;
use crate::storage::records::MachineHealth;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The contact with the agents of one zone.
#[derive(Debug, Default)]
pub(super) struct ZoneObservation {
    /// Machines led by this controller whose agents have been in contact.
    machines: usize,
    /// When any of their agents was last in contact.
    last_contact: Micros,
    /// Machines whose agents did not respond to a probe.
    unanswered: usize,
    /// Machines in contact since the zone was lost.
    reconnected: usize,
    /// Agents that were in contact before and can be probed.
    silent: Vec<SilentAgent>,
}

/// An agent that can be probed. The agent that has been silent for the longest time sorts first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SilentAgent {
    last_contact: Micros,
    machine: MachineId,
}

impl ZoneObservation {
    /// Whether the zone's agents are in contact as usual.
    pub(super) fn is_in_contact(&self, now: Micros, heartbeat_interval: Micros) -> bool {
        self.machines > 0
            && now.since(self.last_contact)
                <= ZoneHealth::usual_silence(self.machines, heartbeat_interval)
    }

    /// `other_zones_connected`: whether agents of other zones are in contact.
    pub(super) fn evidence(&self, now: Micros, other_zones_connected: bool) -> ZoneEvidence {
        ZoneEvidence {
            machines: self.machines,
            time_since_heartbeat: now.since(self.last_contact),
            unresponsive_machines: self.unanswered,
            reconnected: self.reconnected,
            other_zones_connected,
        }
    }

    /// Up to `count` machines to probe, the longest silent first.
    pub(super) fn longest_silent(mut self, count: usize) -> impl Iterator<Item = MachineId> {
        self.silent.sort_unstable();
        let silent = self.silent.into_iter().take(count);
        silent.map(|agent| agent.machine)
    }
}

impl Controller {
    /// Observations of all zones of the cell, including zones in which this controller leads no machine.
    pub(super) fn observe_zones(&self) -> BTreeMap<Arc<str>, ZoneObservation> {
        let mut zones: BTreeMap<Arc<str>, ZoneObservation> = BTreeMap::new();
        for (machine, agent) in &self.agents {
            let Some(record) = self
                .cell
                .machine(*machine)
                .filter(|record| record.health < MachineHealth::Decommissioning)
            else {
                continue;
            };
            let zone = zones.entry(record.zone.clone()).or_default();
            // The silence of an agent that was never in contact in this term is no evidence.
            let Some(last_contact) = agent.last_contact() else {
                continue;
            };
            let last_contact = last_contact
                .max(self.stall.resumed_at())
                .max(self.zones.contact_since);
            let lost_since = self.zones.lost_since(&record.zone);
            zone.machines += 1;
            zone.last_contact = zone.last_contact.max(last_contact);
            zone.reconnected += usize::from(lost_since.is_some_and(|since| last_contact > since));
            zone.unanswered += usize::from(agent.is_unreachable());
            if agent.can_be_probed() {
                zone.silent.push(SilentAgent {
                    last_contact,
                    machine: *machine,
                });
            }
        }
        for (_, _, record) in self.cell.machines() {
            if !zones.contains_key(&record.zone) {
                zones.entry(record.zone.clone()).or_default();
            }
        }
        zones
    }
}
