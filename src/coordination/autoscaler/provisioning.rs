//! Scale out: which machines are provisioned for waiting tasks.

use crate::coordination::Controller;
use crate::protocol::cloud::PROVISION_LIMIT;
use crate::scheduler::provisioning::{MachineOffer, MachinePools, plan};
use crate::storage::catalog::Catalog;
use crate::storage::ids::MachineId;
use crate::storage::machine_classes::ClassId;
use crate::storage::records::{FleetRecord, MachineRecord, ProvisionRecord, stored_bytes};
use crate::time::Micros;

/// Added to two list lags; the machines of a provision request younger than the sum count although no list contains them yet.
const UNLISTED_PROVISION_MARGIN: Micros = Micros::secs(8);

/// An offer and the number of its machines to provision.
type OfferCount = (MachineOffer, u32);

impl Controller {
    /// Plans which machines are missing, and records the requests for them. They are sent once the record is written.
    pub(super) fn provision_machines(&mut self) {
        let limits = self.transaction_limits();
        self.autoscaler.record_room.update(&self.cell, limits);
        let wanted = self.missing_machines();
        if wanted.is_empty() {
            return;
        }
        let mut record = self.fleet_record();
        let requests = self.new_provision_requests(&record, wanted);
        if requests.is_empty() {
            return;
        }
        record.provision_requests.extend(requests.iter().cloned());
        self.write_fleet(record, requests);
    }

    fn missing_machines(&self) -> Vec<OfferCount> {
        let Some(catalog) = &self.cell.types.value else {
            return Vec::new();
        };
        let demands = self.demands();
        if demands.is_empty() {
            return Vec::new();
        }
        let catalog = self.with_expected_boot_durations(catalog);
        let now = self.now.monotonic;
        let is_offered = |offer: &MachineOffer| {
            !self.zones.is_lost(&offer.zone)
                && self.autoscaler.exhausted.may_be_requested(offer, now)
        };
        let class_of = |offer: &MachineOffer| self.class_of_offer(offer);
        let mut pools = self.pools(&catalog);
        plan(&catalog, &demands, &mut pools, &is_offered, &class_of)
    }

    /// The catalog with the currently expected boot times, limited to twice the nominal ones: recent slow boots must not keep
    /// work from machines that may boot in the nominal time again.
    fn with_expected_boot_durations(&self, catalog: &Catalog) -> Catalog {
        let mut catalog = catalog.clone();
        for machine_type in &mut catalog.types {
            let expected = self.expected_boot_time(&machine_type.name);
            machine_type.boot_time = expected.min(machine_type.boot_time * 2);
        }
        catalog
    }

    /// The machine class of an offer, if any rules are active; otherwise it is not needed.
    fn class_of_offer(&self, offer: &MachineOffer) -> Option<ClassId> {
        self.class_of_machine_kind(&offer.machine_type, &offer.zone, offer.spot)
    }

    fn class_of_machine_kind(&self, machine_type: &str, zone: &str, spot: bool) -> Option<ClassId> {
        self.rules
            .active()
            .then(|| self.cell.classes.class_of_offer(machine_type, zone, spot))
            .flatten()
    }

    /// The machines that are up or expected to come up.
    fn pools<'a>(&'a self, catalog: &Catalog) -> MachinePools<'a> {
        let mut pools = MachinePools::default();
        self.add_machines_up(&mut pools, catalog);
        self.add_booting_machines(&mut pools, catalog);
        self.add_unlisted_provisions(&mut pools, catalog);
        pools
    }

    fn add_machines_up<'a>(&'a self, pools: &mut MachinePools<'a>, catalog: &Catalog) {
        let has_rules = self.rules.active();
        for (machine, record) in self.cell.schedulable_machines() {
            if !self.has_record_room(machine) {
                continue;
            }
            let class = has_rules
                .then(|| self.cell.classes.class_of_machine(machine))
                .flatten();
            let free = Some((self.cell.free_resources(record), Some(machine)));
            let kind = (&*record.machine_type, &*record.zone, record.spot);
            pools.add(kind, catalog, class, 1, free, self.remaining_work(record));
        }
    }

    /// Whether tasks can be assigned to a machine as far as the size of its group's record goes.
    fn has_record_room(&self, machine: MachineId) -> bool {
        let group = self.cell.group_of_machine(machine);
        group.is_none_or(|group| self.autoscaler.record_room.has_room(&self.cell, group))
    }

    /// The core time that a machine's tasks are expected to need still, on the assumption that half of the estimated runtime has
    /// passed on average.
    fn remaining_work(&self, record: &MachineRecord) -> u128 {
        record
            .tasks
            .iter()
            .filter_map(|assignment| self.cell.jobs.get(&assignment.attempt().task.job))
            .map(|job| {
                let spec = job.spec();
                u128::from(spec.need.cores) * u128::from(spec.estimated_runtime.0 / 2)
            })
            .sum()
    }

    fn add_booting_machines<'a>(&'a self, pools: &mut MachinePools<'a>, catalog: &Catalog) {
        for (id, machine) in &self.autoscaler.provisioned_machines {
            if self.is_expected_to_boot(*id, machine) {
                let offer = machine.offer();
                let kind = (&*offer.machine_type, &*offer.zone, offer.spot);
                pools.add(kind, catalog, self.class_of_offer(offer), 1, None, 0);
            }
        }
    }

    /// Adds the machines of recorded provision requests, such as an earlier leader's, that no list contains yet.
    fn add_unlisted_provisions<'a>(&'a self, pools: &mut MachinePools<'a>, catalog: &Catalog) {
        let limit = self.settings.max_list_lag * 2 + UNLISTED_PROVISION_MARGIN;
        for request in &self.cell.fleet.value.provision_requests {
            if self.now.time_of_day.since(request.requested_at) < limit {
                let kind = (&*request.machine_type, &*request.zone, request.spot);
                let class = self.class_of_machine_kind(kind.0, kind.1, kind.2);
                pools.add(kind, catalog, class, request.count.into(), None, 0);
            }
        }
    }

    /// Creates the requests for these machines, limited to what the fleet record has room for and to the number of requests that
    /// the cloud accepts in a second, at least one. A request must not be forgotten before its outcome is known, so no more are
    /// created while the record is full of them.
    fn new_provision_requests(
        &mut self,
        record: &FleetRecord,
        wanted: Vec<OfferCount>,
    ) -> Vec<ProvisionRecord> {
        let max_bytes = self.limits.value_bytes() / 8 * 7;
        let max_requests = self.settings.cloud_rps.max(1.0) as usize;
        let mut bytes = stored_bytes(record);
        let mut requests = Vec::new();
        for (offer, mut count) in wanted {
            while count > 0 {
                let request = self.provision_request(&offer, count.min(PROVISION_LIMIT));
                bytes += stored_bytes(&request) + 1;
                if bytes > max_bytes || requests.len() >= max_requests {
                    return requests;
                }
                count -= request.count;
                requests.push(request);
            }
        }
        requests
    }

    /// Creates a request with a name that is never used again, not even by another process or after a restart.
    fn provision_request(&mut self, offer: &MachineOffer, count: u32) -> ProvisionRecord {
        self.autoscaler.provision_counter += 1;
        ProvisionRecord {
            name: format!(
                "{}-{:016x}-{}",
                self.settings.node, self.incarnation.0, self.autoscaler.provision_counter
            ),
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            count,
            requested_at: self.now.time_of_day,
        }
    }
}
