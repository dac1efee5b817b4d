//! Marks the machines of lost zones as unreachable.

use crate::coordination::Controller;
use crate::coordination::agents::HealthChange;
use crate::storage::ids::MachineId;
use crate::storage::records::MachineHealth;

impl Controller {
    /// Marks all machines that this controller leads in lost zones, together and at once rather than each machine when its
    /// own silence is detected. So they get no more work, and other controllers see which machines are lost. A machine
    /// whose agent is in contact again is marked schedulable by its heartbeat.
    pub(super) fn mark_unreachable_zones(&mut self) {
        let mut marked = 0;
        for (machine, change) in self.machines_lost_with_zones() {
            if self.rounds.set_health(machine, change) {
                marked += 1;
            }
        }
        if marked > 0 {
            self.counters.unreachable_with_zones += marked;
            tracing::info!(
                machines = marked,
                "machines of lost zones marked unreachable"
            );
        }
    }

    /// Machines in lost zones that are not marked yet and whose agents have not been in contact since the loss.
    fn machines_lost_with_zones(&self) -> Vec<(MachineId, HealthChange)> {
        let lost = self.agents.iter().filter_map(|(machine, agent)| {
            let record = self.cell.machine(*machine)?;
            let lost_since = self.zones.lost_since(&record.zone)?;
            let in_contact = agent.last_contact().is_some_and(|at| at >= lost_since);
            if record.health >= MachineHealth::Unreachable || in_contact {
                return None;
            }
            let change = HealthChange {
                health: MachineHealth::Unreachable,
                fenced_incarnation: record.fenced_incarnation,
            };
            Some((*machine, change))
        });
        lost.collect()
    }
}
