//! Loss and recovery of zones: how this controller assesses each zone, and how that affects the work there.
//!
//! See docs/zones.md. The assessment affects only order, provisioning and waiting. Assignments are released as everywhere
//! else: machine by machine, and on proof. In a cell with one zone none of this applies.

mod observations;
mod releases;
mod replacements;
mod unreachable;

use crate::coordination::Controller;
use crate::scheduler::zone_health::{ZoneEvidence, ZoneHealth, ZoneState};
use crate::storage::ids::MachineId;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A controller without contact with the state store for longer than this assesses no zone: it may itself be in the lost
/// zone.
const MAX_STATE_CONTACT_AGE: Micros = Micros::secs(4);

/// The health of each zone according to this controller.
#[derive(Debug, Default)]
pub struct Zones {
    by_zone: BTreeMap<Arc<str>, ZoneHealth>,
    /// Since when this controller has had uninterrupted contact with the state store; silence before that is no evidence.
    contact_since: Micros,
}

impl Zones {
    /// Whether the zone may be lost or appears to be lost.
    pub fn may_be_lost(&self, zone: &str) -> bool {
        self.by_zone.get(zone).is_some_and(ZoneHealth::may_be_lost)
    }

    /// Since when the zone appears to be disconnected or down, if it does.
    fn lost_since(&self, zone: &str) -> Option<Micros> {
        self.by_zone
            .get(zone)
            .filter(|health| health.state() == ZoneState::Lost)
            .map(ZoneHealth::in_state_since)
    }

    /// Whether the zone appears to be disconnected or down.
    pub fn is_lost(&self, zone: &str) -> bool {
        self.lost_since(zone).is_some()
    }

    /// Whether any zone appears to be disconnected or down.
    pub fn any_lost(&self) -> bool {
        self.by_zone
            .values()
            .any(|health| health.state() == ZoneState::Lost)
    }

    /// Whether a machine of a zone accepts new tasks. In a recovering zone a growing share of the machines does.
    pub fn accepts_tasks(&self, zone: &str, machine: MachineId, now: Micros) -> bool {
        self.by_zone
            .get(zone)
            .is_none_or(|health| health.accepts_tasks(machine.0, now))
    }

    /// Discards all assessments, because contact with the state store is lost.
    fn reset(&mut self, now: Micros) {
        *self = Zones {
            contact_since: now,
            ..Zones::default()
        };
    }
}

impl Controller {
    /// Assesses each zone, probes a few machines of suspected zones, and marks the machines of lost zones unreachable.
    pub(in crate::coordination) fn tick_zones(&mut self) {
        let now = self.now.monotonic;
        if self.contact_age() > MAX_STATE_CONTACT_AGE {
            self.zones.reset(now);
            return;
        }
        let observations = self.observe_zones();
        if observations.len() < 2 {
            self.zones.by_zone.clear();
            return;
        }
        let interval = self.settings.heartbeat_interval;
        let zones_in_contact = observations
            .values()
            .filter(|observation| observation.is_in_contact(now, interval))
            .count();
        let isolated = self.is_isolated_from_agents();
        let mut machines_to_probe = Vec::new();
        for (zone, observation) in observations {
            let this_zone_in_contact = usize::from(observation.is_in_contact(now, interval));
            let other_zones_connected = !isolated && zones_in_contact > this_zone_in_contact;
            self.update_zone(&zone, &observation.evidence(now, other_zones_connected));
            if self.zones.may_be_lost(&zone) {
                machines_to_probe.extend(observation.longest_silent(ZoneHealth::PROBED_MACHINES));
            }
        }
        for machine in machines_to_probe {
            self.push_commands(machine, Vec::new(), Vec::new());
        }
        if self.zones.any_lost() {
            self.mark_unreachable_zones();
        }
    }

    fn update_zone(&mut self, zone: &Arc<str>, evidence: &ZoneEvidence) {
        let health = self.zones.by_zone.entry(zone.clone()).or_default();
        let interval = self.settings.heartbeat_interval;
        let Some(state) = health.apply_evidence(self.now.monotonic, interval, evidence) else {
            return;
        };
        tracing::info!(
            zone = &**zone,
            ?state,
            machines = evidence.machines,
            silence = %evidence.time_since_heartbeat,
            unanswered = evidence.unresponsive_machines,
            reconnected = evidence.reconnected,
            "zone state changed"
        );
        self.rounds.request();
        self.autoscaler.schedule_check();
    }
}
