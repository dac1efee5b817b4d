//! Lists of the machines that the cloud charges for.
//!
//! A list may be older than the one before, so a machine that was provisioned lately may be missing from it.

use super::CloudPurpose;
use super::rented::RentedMachine;
use crate::coordination::Controller;
use crate::protocol::cloud::{CloudMachine, CloudMachineState, CloudReply, CloudRequest};
use crate::protocol::state::CallError;
use crate::storage::ids::MachineId;
use crate::time::Micros;

/// How long after a list the next is requested.
const INTERVAL: Micros = Micros::secs(4);
/// The same after one that could not be read.
const RETRY_INTERVAL: Micros = Micros::secs(2);
/// Added to three list lags: a machine that was not listed for so long, and is not on record, is forgotten.
const FORGET_MARGIN: Micros = Micros::secs(20);
/// Added to two list lags: a machine of that age is missing from a list only if it is gone.
const LISTED_MARGIN: Micros = Micros::secs(2);

impl Controller {
    /// A page of a list was read, or not. `machines`: those of the pages before.
    pub(super) fn on_list_page(
        &mut self,
        mut machines: Vec<CloudMachine>,
        result: Result<CloudReply, CallError>,
    ) {
        let now = self.now.steady;
        let Ok(CloudReply::Machines(page, more)) = result else {
            self.autoscaler.lists.poll.end(now + RETRY_INTERVAL);
            return;
        };
        machines.extend(page);
        if let (true, Some(last)) = (more, machines.last()) {
            let after = last.id;
            self.ask_cloud(
                CloudPurpose::List(machines),
                CloudRequest::List(Some(after)),
            );
            return;
        }
        self.on_list_read(machines);
    }

    fn on_list_read(&mut self, machines: Vec<CloudMachine>) {
        let lists = &mut self.autoscaler.lists;
        lists.poll.end(self.now.steady + INTERVAL);
        lists.completed += 1;
        lists.last_requested_at = lists.requested_at;
        for machine in machines {
            self.on_machine_listed(&machine);
        }
        self.forget_unlisted_machines();
    }

    fn on_machine_listed(&mut self, machine: &CloudMachine) {
        let now = self.now.steady;
        if machine.status == CloudMachineState::Failed && self.cell.machine(machine.id).is_some() {
            tracing::info!(machine = %machine.id, "machine failed according to the cloud");
            self.rounds.remove_machine(machine.id);
        }
        let nominal_boot = self.nominal_boot(&machine.machine_type);
        let requested_at = self.autoscaler.lists.last_requested_at;
        self.autoscaler
            .rented
            .entry(machine.id)
            .or_insert_with(|| RentedMachine::first_listed(machine, now, nominal_boot))
            .on_listed(machine.status, requested_at);
    }

    fn forget_unlisted_machines(&mut self) {
        let now = self.now.steady;
        let cell = &self.cell;
        let limit = self.settings.list_lag * 3 + FORGET_MARGIN;
        self.autoscaler.rented.retain(|id, machine| {
            cell.machine(*id).is_some() || now.since(machine.last_known_at()) < limit
        });
    }

    /// Whether the last list shows that a machine is gone.
    pub(super) fn is_gone_from_list(&self, id: MachineId) -> bool {
        let lists = &self.autoscaler.lists;
        let limit = self.settings.list_lag * 2 + LISTED_MARGIN;
        lists.completed > 0
            && self.autoscaler.rented.get(&id).is_none_or(|machine| {
                machine.is_missing_since(lists.last_requested_at)
                    && machine.age(self.now.steady) > limit
            })
    }
}
