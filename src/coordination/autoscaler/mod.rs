//! Scale out and scale in: provisioning and releasing machines.
//!
//! This is the work of the leader of shard 0. No other controller talks to the cloud.

mod boots;
mod catalog;
mod cloud_responses;
mod demand;
mod fleet_record;
mod idle_window;
mod machine_list;
mod provisioned_machines;
mod provisioning;
mod scale_in;

use crate::coordination::Controller;
use crate::coordination::commit::transaction::RecordRoom;
use crate::protocol::cloud::{CloudMachine, CloudRequest};
use crate::scheduler::boot_times::BootTimeEstimates;
use crate::scheduler::provisioning::MachineOffer;
use crate::storage::ids::{MachineId, ShardId};
use crate::storage::records::ProvisionRecord;
use crate::time::Micros;
use boots::ExpectedBoot;
use idle_window::IdleWindow;
use provisioned_machines::{ExhaustedOffers, ProvisionedMachine, Releases};
use std::collections::{BTreeMap, HashMap};

/// The shard whose leader runs the autoscaler.
const FLEET_SHARD: ShardId = 0;
/// How often the autoscaler runs.
const RUN_INTERVAL: Micros = Micros::millis(500);
/// How often it checks for missing machines, even if nothing seems to have changed: machines that were expected to come up may
/// not have come up.
const CHECK_INTERVAL: Micros = Micros::secs(2);

/// Purpose of a request to the cloud.
#[derive(Debug)]
pub enum CloudPurpose {
    /// To read the machine types and prices.
    Catalog,
    /// To provision machines.
    Provision(ProvisionRecord),
    /// To release machines.
    Release(Vec<MachineId>),
    /// To read a page of the machine list; holds the machines of the earlier pages.
    List(Vec<CloudMachine>),
}

/// A request that is repeated periodically, one at a time.
#[derive(Debug, Default)]
struct Poll {
    next: Micros,
    in_flight: bool,
}

impl Poll {
    /// Whether a request is due; if so, it counts as sent.
    fn begin_if_due(&mut self, now: Micros) -> bool {
        let due = now >= self.next && !self.in_flight;
        self.in_flight |= due;
        due
    }

    /// Ends the request in flight, whether it got a response or not.
    fn end(&mut self, next: Micros) {
        self.in_flight = false;
        self.next = next;
    }
}

/// State of reading the list of machines that the cloud charges for.
#[derive(Debug, Default)]
struct MachineLists {
    poll: Poll,
    /// When the list that is being read was requested.
    requested_at: Micros,
    /// Number of lists that were read completely since the term began.
    completed: u32,
    /// When the last list that was read completely was requested.
    last_requested_at: Micros,
}

/// The state of the autoscaler during a term.
#[derive(Debug, Default)]
pub struct Autoscaler {
    next_run: Micros,
    next_check: Micros,
    /// Something changed that may require more machines.
    check_requested: bool,
    /// Nothing new is requested before this time, because the cloud did not respond or was overloaded.
    cloud_backoff_until: Micros,
    catalog: Poll,
    lists: MachineLists,
    provisioned_machines: BTreeMap<MachineId, ProvisionedMachine>,
    boot_times: BootTimeEstimates,
    /// Expected boot times by machine type.
    expected_boot_durations: BTreeMap<String, ExpectedBoot>,
    idle_since: HashMap<MachineId, Micros>,
    idle_windows: BTreeMap<MachineOffer, IdleWindow>,
    unreachable_since: HashMap<MachineId, Micros>,
    releases: Releases,
    exhausted: ExhaustedOffers,
    provisions_in_flight: usize,
    /// Machine groups whose records have room for assignments.
    record_room: RecordRoom,
    writing_fleet: bool,
    /// Numbers the provision requests of this process.
    provision_counter: u64,
}

impl Autoscaler {
    /// Schedules a check for missing machines, after a change that may require more.
    pub fn schedule_check(&mut self) {
        self.check_requested = true;
    }

    /// Handles a stall of this process. Its duration does not count for how long machines were idle, unreachable or booting.
    pub fn on_stall(&mut self, now: Micros, duration: Micros) {
        self.idle_since.clear();
        self.unreachable_since.clear();
        self.idle_windows.clear();
        for machine in self.provisioned_machines.values_mut() {
            machine.on_stall(duration);
        }
        self.lists.poll.next = now;
    }

    /// Whether to check for missing machines now; if so, the check counts as done.
    fn take_due_check(&mut self, now: Micros) -> bool {
        if now >= self.next_check {
            self.next_check = now + CHECK_INTERVAL;
            self.check_requested = true;
        }
        let check = self.check_requested && self.provisions_in_flight == 0 && !self.writing_fleet;
        if check {
            self.check_requested = false;
        }
        check
    }
}

impl Controller {
    /// Ends the term as the leader of the fleet. The counter of provision requests is kept, so that their names are never reused.
    pub(super) fn reset_autoscaler(&mut self) {
        let provision_counter = self.autoscaler.provision_counter;
        self.autoscaler = Autoscaler {
            provision_counter,
            ..Autoscaler::default()
        };
        self.rounds.drop_fleet_requests();
    }

    /// Runs the autoscaler if a run is due.
    pub(super) fn drive_autoscaler(&mut self) {
        let now = self.now.monotonic;
        if !self.leads(FLEET_SHARD) || !self.replica.is_ready() {
            return;
        }
        if now < self.autoscaler.next_run {
            self.wake_at(self.autoscaler.next_run);
            return;
        }
        self.autoscaler.next_run = now + RUN_INTERVAL;
        self.wake_at(self.autoscaler.next_run);
        if now < self.autoscaler.cloud_backoff_until {
            return;
        }
        self.poll_cloud();
        // Until the first list is read, the machines that an earlier leader has provisioned are not known.
        if self.cell.types.value.is_none() || self.autoscaler.lists.completed == 0 {
            return;
        }
        self.update_boot_times();
        self.scale_in();
        if self.autoscaler.take_due_check(now) {
            self.refresh_rules();
            self.provision_machines();
        }
    }

    fn poll_cloud(&mut self) {
        let now = self.now.monotonic;
        if self.autoscaler.catalog.begin_if_due(now) {
            self.send_cloud_request(CloudPurpose::Catalog, CloudRequest::Catalog);
        }
        if self.autoscaler.lists.poll.begin_if_due(now) {
            self.autoscaler.lists.requested_at = now;
            self.send_cloud_request(CloudPurpose::List(Vec::new()), CloudRequest::List(None));
        }
    }
}
