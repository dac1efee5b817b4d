//! Lists of the machines that the cloud charges for.
//!
//! A list may be older than the previous one, so a recently provisioned machine may be missing from it.

use super::CloudPurpose;
use super::provisioned_machines::ProvisionedMachine;
use crate::coordination::Controller;
use crate::protocol::cloud::{CloudMachine, CloudMachineState, CloudReply, CloudRequest};
use crate::protocol::state::CallError;
use crate::storage::ids::MachineId;
use crate::time::Micros;

/// Delay between a list and the request for the next one.
const LIST_INTERVAL: Micros = Micros::secs(4);
/// Delay before the next request after a list that could not be read.
const RETRY_INTERVAL: Micros = Micros::secs(2);
/// Added to three list lags; a machine that was not listed for that long and has no machine record is forgotten.
const FORGET_MARGIN: Micros = Micros::secs(20);
/// Added to two list lags; a machine older than that is missing from a list only if it no longer exists.
const MISSING_MARGIN: Micros = Micros::secs(2);

impl Controller {
    /// Handles the result of reading a page of a list. `machines`: the machines of the earlier pages.
    pub(super) fn on_list_page(
        &mut self,
        mut machines: Vec<CloudMachine>,
        result: Result<CloudReply, CallError>,
    ) {
        let now = self.now.monotonic;
        let Ok(CloudReply::Machines(page, more)) = result else {
            self.autoscaler.lists.poll.end(now + RETRY_INTERVAL);
            return;
        };
        machines.extend(page);
        if let (true, Some(last)) = (more, machines.last()) {
            let after = last.id;
            self.send_cloud_request(
                CloudPurpose::List(machines),
                CloudRequest::List(Some(after)),
            );
            return;
        }
        self.on_list_read(machines);
    }

    fn on_list_read(&mut self, machines: Vec<CloudMachine>) {
        let lists = &mut self.autoscaler.lists;
        lists.poll.end(self.now.monotonic + LIST_INTERVAL);
        lists.completed += 1;
        lists.last_requested_at = lists.requested_at;
        for machine in machines {
            self.on_machine_listed(&machine);
        }
        self.forget_unlisted_machines();
    }

    fn on_machine_listed(&mut self, machine: &CloudMachine) {
        let now = self.now.monotonic;
        if machine.status == CloudMachineState::Failed && self.cell.machine(machine.id).is_some() {
            tracing::info!(machine = %machine.id, "machine failed according to the cloud");
            self.rounds.remove_machine(machine.id);
        }
        let nominal_boot_time = self.nominal_boot_time(&machine.machine_type);
        let requested_at = self.autoscaler.lists.last_requested_at;
        self.autoscaler
            .provisioned_machines
            .entry(machine.id)
            .or_insert_with(|| ProvisionedMachine::first_listed(machine, now, nominal_boot_time))
            .on_listed(machine.status, requested_at);
    }

    fn forget_unlisted_machines(&mut self) {
        let now = self.now.monotonic;
        let cell = &self.cell;
        let limit = self.settings.max_list_lag * 3 + FORGET_MARGIN;
        self.autoscaler.provisioned_machines.retain(|id, machine| {
            cell.machine(*id).is_some() || now.since(machine.last_known_at()) < limit
        });
    }

    /// Whether the last list shows that a machine no longer exists.
    pub(super) fn is_missing_from_list(&self, id: MachineId) -> bool {
        let lists = &self.autoscaler.lists;
        let limit = self.settings.max_list_lag * 2 + MISSING_MARGIN;
        lists.completed > 0
            && self
                .autoscaler
                .provisioned_machines
                .get(&id)
                .is_none_or(|machine| {
                    machine.is_missing_since(lists.last_requested_at)
                        && machine.age(self.now.monotonic) > limit
                })
    }
}
