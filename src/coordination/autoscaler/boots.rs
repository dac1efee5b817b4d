//! Machines that are booting, and how long boots take.

use super::Autoscaler;
use super::provisioned_machines::{ProvisionedMachine, Releases};
use crate::coordination::Controller;
use crate::storage::cell_state::CellState;
use crate::storage::ids::MachineId;
use crate::time::Micros;
use std::collections::{BTreeMap, HashMap};

/// The boot time of a machine type that is not in the catalog.
const UNKNOWN_TYPE_BOOT_TIME: Micros = Micros::secs(60);
/// Added to the time within which a machine has to come up.
const BOOT_TIMEOUT_MARGIN: Micros = Micros::secs(5);

/// The expected boot time of a machine type.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedBoot {
    current: Micros,
    /// The value that was last logged.
    logged: Micros,
}

impl ExpectedBoot {
    fn new(nominal: Micros) -> ExpectedBoot {
        ExpectedBoot {
            current: nominal,
            logged: nominal,
        }
    }

    /// Sets the expected time; true if it has at least doubled or halved since it was last logged.
    fn update(&mut self, expected: Micros) -> bool {
        self.current = expected;
        let changed = expected > self.logged * 2 || self.logged > expected * 2;
        if changed {
            self.logged = expected;
        }
        changed
    }
}

/// The ages of the booting machines, by machine type.
fn ages_of_booting<'a>(
    provisioned_machines: &'a BTreeMap<MachineId, ProvisionedMachine>,
    releases: &Releases,
    now: Micros,
) -> HashMap<&'a str, Vec<Micros>> {
    let mut ages: HashMap<&str, Vec<Micros>> = HashMap::new();
    for (id, machine) in provisioned_machines {
        if machine.is_booting() && !machine.has_failed() && !releases.was_sent(*id) {
            ages.entry(machine.machine_type())
                .or_default()
                .push(machine.age(now));
        }
    }
    ages
}

impl Autoscaler {
    fn record_boot_durations(&mut self, cell: &CellState, now: Micros) {
        for (id, machine) in &mut self.provisioned_machines {
            if machine.is_booting() && cell.machine(*id).is_some() {
                let took = machine.on_boot_completed(now);
                tracing::debug!(machine = %id, %took, "machine up");
                self.boot_times
                    .record_boot(machine.machine_type(), now, took);
            }
        }
    }
}

impl Controller {
    /// Whether a provisioned machine is still expected to come up.
    pub(super) fn is_expected_to_boot(&self, id: MachineId, machine: &ProvisionedMachine) -> bool {
        self.cell.machine(id).is_none()
            && !machine.has_failed()
            && !self.autoscaler.releases.was_sent(id)
            && machine.age(self.now.monotonic) < self.boot_timeout(machine.machine_type())
    }

    /// Records which machines have come up, and updates the expected boot times of their types.
    pub(super) fn update_boot_times(&mut self) {
        let now = self.now.monotonic;
        let cell = &self.cell;
        let autoscaler = &mut self.autoscaler;
        autoscaler.record_boot_durations(cell, now);
        let mut ages = ages_of_booting(&autoscaler.provisioned_machines, &autoscaler.releases, now);
        for machine_type in cell.machine_types() {
            let name = machine_type.name.as_str();
            let nominal = machine_type.boot_time;
            let waiting = ages.remove(name).unwrap_or_default();
            let expected =
                autoscaler
                    .boot_times
                    .expected_boot_time(name, nominal, now, waiting.into_iter());
            let changed = autoscaler
                .expected_boot_durations
                .entry(name.to_owned())
                .or_insert(ExpectedBoot::new(nominal))
                .update(expected);
            if changed {
                tracing::info!(machine_type = name, %expected, %nominal, "expected boot time changed");
            }
        }
    }

    /// The boot time of this machine type according to the catalog.
    pub(super) fn nominal_boot_time(&self, machine_type: &str) -> Micros {
        self.cell
            .machine_type(machine_type)
            .map_or(UNKNOWN_TYPE_BOOT_TIME, |t| t.boot_time)
    }

    /// How long a machine of this type is currently expected to take to come up.
    pub(in crate::coordination) fn expected_boot_time(&self, machine_type: &str) -> Micros {
        self.autoscaler
            .expected_boot_durations
            .get(machine_type)
            .map_or_else(|| self.nominal_boot_time(machine_type), |boot| boot.current)
    }

    /// How long a machine of this type may take to come up before it no longer counts as booting: one and a half times the
    /// current boot time, limited to between one and a half and five times the nominal time, plus a margin.
    pub(super) fn boot_timeout(&self, machine_type: &str) -> Micros {
        let nominal = self.nominal_boot_time(machine_type);
        let expected = self.expected_boot_time(machine_type);
        let timeout = Micros(expected.0 / 2 * 3);
        timeout.clamp(Micros(nominal.0 / 2 * 3), nominal * 5) + BOOT_TIMEOUT_MARGIN
    }
}
