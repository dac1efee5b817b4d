//! Machines that are booting, and how long boots take.

use super::Autoscaler;
use super::rented::{Releases, RentedMachine};
use crate::coordination::Controller;
use crate::storage::cell_state::CellState;
use crate::storage::ids::MachineId;
use crate::time::Micros;
use std::collections::{BTreeMap, HashMap};

/// The boot time of a type that the catalog does not hold.
const UNKNOWN_BOOT: Micros = Micros::secs(60);
/// Added to the time in which a machine has to come up.
const BOOT_MARGIN: Micros = Micros::secs(5);

/// The expected boot time of a machine type.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedBoot {
    current: Micros,
    /// As last logged.
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

/// The ages of the machines that are booting, by type.
fn ages_of_booting<'a>(
    rented: &'a BTreeMap<MachineId, RentedMachine>,
    releases: &Releases,
    now: Micros,
) -> HashMap<&'a str, Vec<Micros>> {
    let mut ages: HashMap<&str, Vec<Micros>> = HashMap::new();
    for (id, machine) in rented {
        if machine.is_booting() && !machine.has_failed() && !releases.was_sent(*id) {
            ages.entry(machine.machine_type())
                .or_default()
                .push(machine.age(now));
        }
    }
    ages
}

impl Autoscaler {
    fn note_finished_boots(&mut self, cell: &CellState, now: Micros) {
        for (id, machine) in &mut self.rented {
            if machine.is_booting() && cell.machine(*id).is_some() {
                let took = machine.on_up(now);
                tracing::debug!(machine = %id, %took, "machine up");
                self.boot_times.ended(machine.machine_type(), now, took);
            }
        }
    }
}

impl Controller {
    /// Whether a rented machine is still expected to come up.
    pub(super) fn is_expected_up(&self, id: MachineId, machine: &RentedMachine) -> bool {
        self.cell.machine(id).is_none()
            && !machine.has_failed()
            && !self.autoscaler.releases.was_sent(id)
            && machine.age(self.now.steady) < self.boot_patience(machine.machine_type())
    }

    /// Notes which machines have come up, and what that says about the boot times of their types.
    pub(super) fn update_boot_times(&mut self) {
        let now = self.now.steady;
        let cell = &self.cell;
        let autoscaler = &mut self.autoscaler;
        autoscaler.note_finished_boots(cell, now);
        let mut ages = ages_of_booting(&autoscaler.rented, &autoscaler.releases, now);
        for machine_type in cell.machine_types() {
            let name = machine_type.name.as_str();
            let nominal = machine_type.boot;
            let waiting = ages.remove(name).unwrap_or_default();
            let expected = autoscaler
                .boot_times
                .expected(name, nominal, now, waiting.into_iter());
            let changed = autoscaler
                .expected_boots
                .entry(name.to_owned())
                .or_insert(ExpectedBoot::new(nominal))
                .update(expected);
            if changed {
                tracing::info!(machine_type = name, %expected, %nominal, "expected boot time changed");
            }
        }
    }

    /// The boot time of this type by the catalog.
    pub(super) fn nominal_boot(&self, machine_type: &str) -> Micros {
        self.cell
            .machine_type(machine_type)
            .map_or(UNKNOWN_BOOT, |t| t.boot)
    }

    /// How long a machine of this type takes to come up at present.
    pub(in crate::coordination) fn expected_boot(&self, machine_type: &str) -> Micros {
        self.autoscaler
            .expected_boots
            .get(machine_type)
            .map_or_else(|| self.nominal_boot(machine_type), |boot| boot.current)
    }

    /// How long a machine of this type may take to come up before it no longer counts as booting: half
    /// as long again as boots take now, between one and a half and five times the nominal time.
    pub(super) fn boot_patience(&self, machine_type: &str) -> Micros {
        let nominal = self.nominal_boot(machine_type);
        let expected = self.expected_boot(machine_type);
        let patience = Micros(expected.0 / 2 * 3);
        patience.clamp(Micros(nominal.0 / 2 * 3), nominal * 5) + BOOT_MARGIN
    }
}
