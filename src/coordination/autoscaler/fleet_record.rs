//! The fleet record: provision requests and releases in progress.
//!
//! Both are recorded before they are sent, so that a later leader knows of machines that no list contains yet.

use super::{CloudPurpose, FLEET_SHARD};
use crate::coordination::{Controller, Purpose};
use crate::protocol::cloud::CloudRequest;
use crate::protocol::state::{
    CallError, KeyChange, StateRequest, StateResponse, Transaction, encode,
};
use crate::storage::cell_state::{CellChanges, Change, Content};
use crate::storage::records::{FleetRecord, Key, ProvisionRecord};
use crate::time::Micros;
use serde_json::value::RawValue;

/// Added to four list lags; provision requests older than the sum are removed from the record.
const SETTLED_PROVISION_MARGIN: Micros = Micros::secs(60);

impl Controller {
    /// The fleet record without old provision requests and without confirmed releases.
    pub(super) fn fleet_record(&self) -> FleetRecord {
        let mut record = self.cell.fleet.value.clone();
        let settled = self.settings.max_list_lag * 4 + SETTLED_PROVISION_MARGIN;
        record
            .provision_requests
            .retain(|request| self.now.time_of_day.since(request.requested_at) < settled);
        record
            .releasing
            .retain(|machine| !self.autoscaler.releases.is_confirmed(*machine));
        record
    }

    /// Writes the fleet record. `new`: the provision requests in it that are to be sent once it is written.
    pub(super) fn write_fleet(&mut self, record: FleetRecord, new: Vec<ProvisionRecord>) {
        let limit = self.limits.stored_value_bytes();
        let Some(value) = encode(&record).filter(|value| value.get().len() <= limit) else {
            // The record was written under larger limits. It shrinks as requests are removed and releases are confirmed.
            return;
        };
        self.autoscaler.writing_fleet = true;
        let purpose = Purpose::Fleet(Box::new((record, new)));
        self.write_as_fleet_leader(vec![(Key::Fleet, Some(value))], purpose);
    }

    /// Writes keys, or removes those without a value, on condition that none of them has changed and that this process still
    /// leads the fleet.
    pub(super) fn write_as_fleet_leader(
        &mut self,
        writes: Vec<(Key, Option<Box<RawValue>>)>,
        purpose: Purpose,
    ) {
        let written = writes.iter().map(|(key, _)| key.clone());
        let conditions = [Key::ShardLeader(FLEET_SHARD)]
            .into_iter()
            .chain(written)
            .map(|key| {
                let mod_revision = self.cell.mod_revision(&key);
                (key, mod_revision)
            })
            .collect();
        let changes = writes
            .into_iter()
            .map(|(key, value)| KeyChange {
                key,
                value,
                lease_id: None,
            })
            .collect::<Vec<_>>();
        self.budget.charge(self.now.monotonic, changes.len());
        let txn = Transaction {
            conditions,
            changes,
        };
        self.send_state_request(purpose, StateRequest::Transaction(txn));
    }

    /// Handles the result of writing the fleet record. The new provision requests in it are passed along with the write rather
    /// than found by comparison with the replica, because the watch may have delivered the record before this response.
    pub(in crate::coordination) fn on_fleet_written(
        &mut self,
        (record, new): (FleetRecord, Vec<ProvisionRecord>),
        result: Result<StateResponse, CallError>,
    ) {
        self.autoscaler.writing_fleet = false;
        self.autoscaler.schedule_check();
        let Ok(StateResponse::Applied(mod_revision)) = result else {
            tracing::debug!(?result, "fleet record not written");
            self.replica.request_barrier();
            return;
        };
        let change = Change {
            key: Key::Fleet,
            content: Some(Content::Fleet(record)),
            mod_revision,
        };
        self.cell.apply([change], &mut CellChanges::default());
        if !self.leads(FLEET_SHARD) {
            return;
        }
        if self.stall.is_recovering() {
            // The requests were planned before a stall: by now another leader may have provisioned for the same demand. By the
            // record they are counted for as long as a request without a response.
            tracing::info!(
                requests = new.len(),
                "provision requests dropped after a stall"
            );
            return;
        }
        for request in new {
            self.send_provision_request(request);
        }
    }

    fn send_provision_request(&mut self, request: ProvisionRecord) {
        tracing::info!(
            provision = request.name,
            machine_type = request.machine_type,
            spot = request.spot,
            count = request.count,
            "provision requested"
        );
        self.autoscaler.provisions_in_flight += 1;
        let cloud_request = CloudRequest::Provision {
            name: request.name.clone(),
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            count: request.count,
        };
        self.send_cloud_request(CloudPurpose::Provision(request), cloud_request);
    }

    /// Removes a provision request whose outcome is known, so that its machines are no longer counted by the record. Only the
    /// replica of this process is corrected; another leader reads a machine list first.
    pub(super) fn forget_provision_request(&mut self, name: &str) {
        self.cell
            .fleet
            .value
            .provision_requests
            .retain(|request| request.name != name);
    }
}
