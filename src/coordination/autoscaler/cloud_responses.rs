//! What the cloud answers, and the plan of the fleet that follows from it.

use super::{CloudPurpose, Known};
use crate::coordination::{Call, CallId, Controller, Effect, Purpose};
use crate::protocol::cloud::{CloudMachine, CloudMachineState, CloudReply, CloudRequest};
use crate::protocol::state::{CallError, Put, StateReply, StateRequest, Txn, encode};
use crate::scheduler::provisioning::MachineOffer;
use crate::storage::catalog::Catalog;
use crate::storage::cell_state::{CellChanges, Change, Content};
use crate::storage::ids::MachineId;
use crate::storage::records::{FleetRecord, Key, ProvisionRecord};
use crate::time::Micros;

impl Controller {
    pub(super) fn ask_cloud(&mut self, purpose: CloudPurpose, request: CloudRequest) {
        let id = self.call(Purpose::Cloud(purpose));
        self.effects
            .push(Effect::Cloud(id, request, Self::CLOUD_LIMIT));
    }

    /// The fleet's record without what is long settled.
    pub(super) fn fleet_record(&self) -> FleetRecord {
        let mut record = self.cell.fleet.value.clone();
        let old = self.settings.list_lag * 4 + Micros::secs(60);
        record
            .provision_requests
            .retain(|h| self.now.day.since(h.at) < old);
        record
            .releasing
            .retain(|m| !self.autoscaler.confirmed.contains(m));
        record
    }

    pub(super) fn write_fleet(&mut self, record: FleetRecord, new: Vec<ProvisionRecord>) {
        let value = encode(&record);
        if value
            .as_ref()
            .is_none_or(|v| v.get().len() > self.limits.taken_bytes())
        {
            // Written under larger limits. Rentals are soon old enough to be left out, and releases answered.
            return;
        }
        let txn = Txn {
            when: vec![
                (
                    Key::ShardLeader(0),
                    self.cell.mod_revision(&Key::ShardLeader(0)),
                ),
                (Key::Fleet, self.cell.fleet.mod_revision),
            ],
            then: vec![Put {
                key: Key::Fleet,
                value,
                lease_id: None,
            }],
        };
        self.autoscaler.writing = true;
        self.budget.force(self.now.steady, 1);
        self.ask_state(
            Purpose::Fleet(Box::new((record, new))),
            StateRequest::Txn(txn),
        );
    }

    /// The plan is on record: what is new in it is rented now. That is known by what was written,
    /// not by comparing with the copy: the watch may have brought the record before this answer.
    pub(in crate::coordination) fn on_fleet_written(
        &mut self,
        (record, new): (FleetRecord, Vec<ProvisionRecord>),
        result: Result<StateReply, CallError>,
    ) {
        self.autoscaler.writing = false;
        self.autoscaler.looking = true;
        let Ok(StateReply::Applied(mod_revision)) = result else {
            tracing::debug!(?result, "the plan of the fleet was not written");
            self.replica.want_barrier();
            return;
        };
        let change = Change {
            key: Key::Fleet,
            content: Some(Content::Fleet(record)),
            mod_revision,
        };
        self.cell.apply([change], &mut CellChanges::default());
        if !self.leads(0) {
            return;
        }
        if self.stall.in_doubt() {
            // Written before an absence: by now another owner may have hired for the same need. The record keeps what
            // was planned counted for as long as a rental without an answer.
            tracing::info!(rentals = new.len(), "planned before the absence, not sent");
            return;
        }
        for h in new {
            tracing::info!(
                provision = h.name,
                machine_type = h.machine_type,
                spot = h.spot,
                count = h.count,
                "hiring"
            );
            self.autoscaler.provisioning += 1;
            let request = CloudRequest::Provision {
                name: h.name.clone(),
                machine_type: h.machine_type.clone(),
                zone: h.zone.clone(),
                spot: h.spot,
                count: h.count,
            };
            self.ask_cloud(CloudPurpose::Provision(h), request);
        }
    }

    pub(in crate::coordination) fn on_cloud(
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
        if !self.leads(0) {
            return;
        }
        let now = self.now.steady;
        if matches!(
            result,
            Err(CallError::Unavailable | CallError::TooMany | CallError::Unknown)
        ) {
            self.autoscaler.trouble_until = now + Micros::millis(1_500);
        }
        match purpose {
            CloudPurpose::Catalog => {
                self.autoscaler.asking_catalog = false;
                match result {
                    Ok(CloudReply::Catalog(c)) => {
                        self.autoscaler.next_catalog = now + Micros::secs(30);
                        self.on_catalog(c);
                    }
                    _ => self.autoscaler.next_catalog = now + Micros::secs(1),
                }
            }
            CloudPurpose::List(pages) => self.on_list(pages, result),
            CloudPurpose::Provision(h) => self.on_provisioned(&h, result),
            CloudPurpose::Release(machines) => self.on_released(&machines, result),
        }
    }

    fn on_catalog(&mut self, new: Catalog) {
        let moved = |a: u64, b: u64| a.abs_diff(b) * 20 > b.max(1);
        let same = self.cell.types.value.as_ref().is_some_and(|old| {
            old.types.len() == new.types.len()
                && old.types.iter().zip(&new.types).all(|(a, b)| {
                    let mut b = b.clone();
                    let small = !moved(a.spot_price, b.spot_price);
                    b.spot_price = a.spot_price;
                    small && *a == b
                })
        });
        let value = encode(&new);
        let size = value.as_ref().map_or(0, |v| v.get().len());
        if same || size > self.limits.value_bytes() {
            return;
        }
        let txn = Txn {
            when: vec![
                (
                    Key::ShardLeader(0),
                    self.cell.mod_revision(&Key::ShardLeader(0)),
                ),
                (Key::Types, self.cell.types.mod_revision),
            ],
            then: vec![Put {
                key: Key::Types,
                value,
                lease_id: None,
            }],
        };
        self.budget.force(self.now.steady, 1);
        self.ask_state(Purpose::Types(new), StateRequest::Txn(txn));
    }

    pub(in crate::coordination) fn on_types_written(
        &mut self,
        types: Catalog,
        result: Result<StateReply, CallError>,
    ) {
        match result {
            Ok(StateReply::Applied(mod_revision)) => {
                let change = Change {
                    key: Key::Types,
                    content: Some(Content::Types(types)),
                    mod_revision,
                };
                let mut changes_seen = CellChanges::default();
                self.cell.apply([change], &mut changes_seen);
                self.on_cell_changed(&changes_seen);
            }
            _ => {
                self.autoscaler.next_catalog = self.now.steady + Micros::secs(1);
                self.replica.want_barrier();
            }
        }
    }

    fn on_provisioned(&mut self, h: &ProvisionRecord, result: Result<CloudReply, CallError>) {
        let now = self.now.steady;
        self.autoscaler.provisioning = self.autoscaler.provisioning.saturating_sub(1);
        self.autoscaler.looking = true;
        let offer = MachineOffer {
            machine_type: h.machine_type.clone(),
            zone: h.zone.clone(),
            spot: h.spot,
        };
        match result {
            Ok(CloudReply::Provisioned(machines)) => {
                tracing::info!(
                    provision = h.name,
                    asked = h.count,
                    got = machines.len(),
                    "hired"
                );
                if (machines.len() as u32) < h.count {
                    self.autoscaler
                        .none_left
                        .insert(offer, (now + Micros::secs(5), 1));
                } else {
                    self.autoscaler.none_left.remove(&offer);
                }
                for m in machines {
                    self.autoscaler.known.entry(m).or_insert(Known {
                        machine_type: h.machine_type.clone(),
                        zone: h.zone.clone(),
                        spot: h.spot,
                        since: now,
                        status: CloudMachineState::Starting,
                        listed: None,
                        booting: true,
                    });
                }
                self.forget_provision_request(&h.name);
            }
            Ok(CloudReply::NoCapacity) | Err(CallError::Refused) => {
                let tries = self.autoscaler.none_left.get(&offer).map_or(0, |(_, n)| *n) + 1;
                let pause = Micros::secs(3 * u64::from(tries.min(5)));
                tracing::info!(machine_type = h.machine_type, spot = h.spot, pause = %pause, "none to be had");
                self.autoscaler
                    .none_left
                    .insert(offer, (now + pause, tries));
                self.forget_provision_request(&h.name);
            }
            // Perhaps hired: the record keeps it counted until a list would show it.
            other => tracing::info!(provision = h.name, ?other, "the rental had no answer"),
        }
    }

    /// What came of a rental is known: it no longer counts by its record. The copy of this
    /// process alone is corrected; another owner would read the list first.
    fn forget_provision_request(&mut self, name: &str) {
        self.cell
            .fleet
            .value
            .provision_requests
            .retain(|h| h.name != name);
    }

    fn on_list(&mut self, mut hosts: Vec<CloudMachine>, result: Result<CloudReply, CallError>) {
        let now = self.now.steady;
        let Ok(CloudReply::Hosts(page, more)) = result else {
            self.autoscaler.listing = false;
            self.autoscaler.next_list = now + Micros::secs(2);
            return;
        };
        hosts.extend(page);
        if let (true, Some(last)) = (more, hosts.last()) {
            let after = last.id;
            self.ask_cloud(CloudPurpose::List(hosts), CloudRequest::List(Some(after)));
            return;
        }
        self.autoscaler.listing = false;
        self.autoscaler.next_list = now + Micros::secs(4);
        self.autoscaler.lists += 1;
        let sent = self.autoscaler.list_sent;
        self.autoscaler.last_list = sent;
        for h in hosts {
            if h.status == CloudMachineState::Failed && self.cell.machine(h.id).is_some() {
                tracing::info!(machine = %h.id, "failed, says the cloud");
                self.rounds.gone(h.id);
            }
            let nominal = self.nominal_boot(&h.machine_type);
            let known = self.autoscaler.known.entry(h.id).or_insert_with(|| Known {
                machine_type: h.machine_type.clone(),
                zone: h.zone.clone(),
                spot: h.spot,
                since: now - h.age,
                status: h.status,
                listed: None,
                // Of one that an earlier owner hired long ago only those are left that never come up.
                booting: h.status == CloudMachineState::Starting && h.age < nominal,
            });
            known.status = h.status;
            known.listed = Some(sent);
        }
        let cell = &self.cell;
        let old = self.settings.list_lag * 3 + Micros::secs(20);
        self.autoscaler.known.retain(|m, k| {
            let last = k.listed.unwrap_or(k.since);
            cell.machine(*m).is_some() || now.since(last) < old
        });
    }

    fn on_released(&mut self, machines: &[MachineId], result: Result<CloudReply, CallError>) {
        for m in machines {
            self.autoscaler.releasing.remove(m);
            if result == Ok(CloudReply::Released) {
                tracing::info!(machine = %m, "returned");
                self.autoscaler.known.remove(m);
                self.autoscaler.confirmed.insert(*m);
                self.rounds.gone(*m);
            }
        }
    }
}
