//! Zones that are lost and return: how this controller judges each, and what follows for the work there.
//!
//! See docs/zones.md. All of it concerns order, provisioning and waiting. Assignments are released as everywhere else:
//! machine by machine, and on proof. In a cell with one zone nothing of this applies.

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

/// Without contact to the state store for longer than this a controller judges no zone: it may itself be in the lost one.
const MAX_STATE_CONTACT_AGE: Micros = Micros::secs(4);

/// The health of each zone as this controller judges it.
#[derive(Debug, Default)]
pub struct Zones {
    all: BTreeMap<Arc<str>, ZoneHealth>,
    /// Since when this controller has had unbroken contact to the state store; silence before that is no evidence.
    contact_since: Micros,
}

impl Zones {
    /// Whether the zone may be lost, or seems to be.
    pub fn is_suspected(&self, zone: &str) -> bool {
        self.all.get(zone).is_some_and(ZoneHealth::is_suspected)
    }

    /// Since when the zone seems to be cut off or dead, if it does.
    fn lost_since(&self, zone: &str) -> Option<Micros> {
        self.all
            .get(zone)
            .filter(|health| health.state() == ZoneState::Lost)
            .map(ZoneHealth::since)
    }

    /// Whether the zone seems to be cut off or dead.
    pub fn is_lost(&self, zone: &str) -> bool {
        self.lost_since(zone).is_some()
    }

    /// Whether any zone seems to be cut off or dead.
    pub fn any_lost(&self) -> bool {
        self.all
            .values()
            .any(|health| health.state() == ZoneState::Lost)
    }

    /// Whether a machine of a zone takes new work. In a zone that returns, a growing share of the machines does.
    pub fn accepts_tasks(&self, zone: &str, machine: MachineId, now: Micros) -> bool {
        self.all
            .get(zone)
            .is_none_or(|health| health.accepts_tasks(machine.0, now))
    }

    /// Forgets everything: contact to the state store is broken.
    fn reset(&mut self, now: Micros) {
        *self = Zones {
            contact_since: now,
            ..Zones::default()
        };
    }
}

impl Controller {
    /// Judges each zone, probes a few machines of those in doubt, and marks the machines of lost ones.
    pub(in crate::coordination) fn tick_zones(&mut self) {
        let now = self.now.steady;
        if self.contact_age() > MAX_STATE_CONTACT_AGE {
            self.zones.reset(now);
            return;
        }
        let observations = self.observe_zones();
        if observations.len() < 2 {
            self.zones.all.clear();
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
            let itself = usize::from(observation.is_in_contact(now, interval));
            let other_zones_connected = !isolated && zones_in_contact > itself;
            self.update_zone(&zone, &observation.evidence(now, other_zones_connected));
            if self.zones.is_suspected(&zone) {
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
        let health = self.zones.all.entry(zone.clone()).or_default();
        let interval = self.settings.heartbeat_interval;
        let Some(state) = health.note(self.now.steady, interval, evidence) else {
            return;
        };
        tracing::info!(
            zone = &**zone,
            ?state,
            machines = evidence.machines,
            silence = %evidence.quiet,
            unanswered = evidence.unanswered,
            reconnected = evidence.reconnected,
            "zone state changed"
        );
        self.rounds.request();
        self.autoscaler.schedule_check();
    }
}
