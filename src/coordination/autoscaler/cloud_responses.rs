//! Requests to the cloud, and the handling of its responses.

use super::provisioned_machines::{ProvisionedMachine, offer_of};
use super::{CloudPurpose, FLEET_SHARD};
use crate::coordination::{Call, CallId, Controller, Effect, Purpose};
use crate::protocol::cloud::{CloudReply, CloudRequest};
use crate::protocol::state::CallError;
use crate::storage::ids::MachineId;
use crate::storage::records::ProvisionRecord;
use crate::time::Micros;

/// How long to wait for the cloud's response.
const REQUEST_TIMEOUT: Micros = Micros::secs(5);
/// The pause after a missing response, or a response that showed that the cloud is overloaded.
const OVERLOAD_BACKOFF: Micros = Micros::millis(1_500);

impl Controller {
    pub(super) fn send_cloud_request(&mut self, purpose: CloudPurpose, request: CloudRequest) {
        let id = self.register_call(Purpose::Cloud(purpose));
        self.effects
            .push(Effect::Cloud(id, request, REQUEST_TIMEOUT));
    }

    /// Handles the result of a request to the cloud.
    pub(in crate::coordination) fn on_cloud_response(
        &mut self,
        id: CallId,
        result: Result<CloudReply, CallError>,
    ) {
        let Some(Call {
            purpose: Purpose::Cloud(purpose),
            ..
        }) = self.calls.remove(&id)
        else {
            return;
        };
        if !self.leads(FLEET_SHARD) {
            return;
        }
        if matches!(
            result,
            Err(CallError::Unavailable | CallError::RateLimited | CallError::OutcomeUnknown)
        ) {
            self.autoscaler.cloud_backoff_until = self.now.monotonic + OVERLOAD_BACKOFF;
        }
        match purpose {
            CloudPurpose::Catalog => self.on_catalog_read(result),
            CloudPurpose::List(machines) => self.on_list_page(machines, result),
            CloudPurpose::Provision(request) => self.on_provisioned(&request, result),
            CloudPurpose::Release(machines) => self.on_released(&machines, result),
        }
    }

    fn on_provisioned(&mut self, request: &ProvisionRecord, result: Result<CloudReply, CallError>) {
        let autoscaler = &mut self.autoscaler;
        autoscaler.provisions_in_flight = autoscaler.provisions_in_flight.saturating_sub(1);
        autoscaler.schedule_check();
        match result {
            Ok(CloudReply::Provisioned(machines)) => self.add_provisioned(request, machines),
            Ok(CloudReply::NoCapacity) | Err(CallError::Rejected) => self.on_no_capacity(request),
            // The machines may have been provisioned: the fleet record keeps them counted until a list would contain them.
            other => {
                tracing::info!(
                    provision = request.name,
                    ?other,
                    "provision outcome unknown"
                );
            }
        }
    }

    fn add_provisioned(&mut self, request: &ProvisionRecord, machines: Vec<MachineId>) {
        let now = self.now.monotonic;
        let offer = offer_of(request);
        tracing::info!(
            provision = request.name,
            requested = request.count,
            provisioned = machines.len(),
            "machines provisioned"
        );
        let autoscaler = &mut self.autoscaler;
        if (machines.len() as u32) < request.count {
            autoscaler.exhausted.on_partly_fulfilled(offer.clone(), now);
        } else {
            autoscaler.exhausted.on_fulfilled(&offer);
        }
        for id in machines {
            autoscaler
                .provisioned_machines
                .entry(id)
                .or_insert_with(|| ProvisionedMachine::new(offer.clone(), now));
        }
        self.forget_provision_request(&request.name);
    }

    fn on_no_capacity(&mut self, request: &ProvisionRecord) {
        let now = self.now.monotonic;
        let pause = self.autoscaler.exhausted.on_refused(offer_of(request), now);
        tracing::info!(machine_type = request.machine_type, spot = request.spot, %pause, "no cloud capacity");
        self.forget_provision_request(&request.name);
    }

    fn on_released(&mut self, machines: &[MachineId], result: Result<CloudReply, CallError>) {
        let released = result == Ok(CloudReply::Released);
        for id in machines {
            self.autoscaler.releases.on_response(*id);
            if released {
                tracing::info!(machine = %id, "machine released");
                self.autoscaler.provisioned_machines.remove(id);
                self.autoscaler.releases.on_confirmed(*id);
                self.rounds.remove_machine(*id);
            }
        }
    }
}
