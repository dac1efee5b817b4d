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
mod provisioning;
mod rented;
mod scale_in;

use crate::coordination::Controller;
use crate::protocol::cloud::{CloudMachine, CloudRequest};
use crate::scheduler::boot_times::BootTimeEstimates;
use crate::scheduler::provisioning::MachineOffer;
use crate::storage::ids::{MachineId, ShardId};
use crate::storage::records::ProvisionRecord;
use crate::time::Micros;
use boots::ExpectedBoot;
use idle_window::IdleWindow;
use rented::{ExhaustedOffers, Releases, RentedMachine};
use std::collections::{BTreeMap, HashMap};

/// The shard whose leader runs the autoscaler.
const FLEET_SHARD: ShardId = 0;
/// How often the autoscaler runs.
const INTERVAL: Micros = Micros::millis(500);
/// How often it looks for missing machines, even if nothing seems to have changed: machines that were expected to come up may
/// not have.
const CHECK_INTERVAL: Micros = Micros::secs(2);

/// Why the cloud was asked.
#[derive(Debug)]
pub enum CloudPurpose {
    /// To read the machine types and prices.
    Catalog,
    /// To provision machines.
    Provision(ProvisionRecord),
    /// To release machines.
    Release(Vec<MachineId>),
    /// To read a page of the machine list; the machines of the pages before.
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

    /// The request ends, whether answered or not.
    fn end(&mut self, next: Micros) {
        self.in_flight = false;
        self.next = next;
    }
}

/// Lists of the machines that the cloud charges for.
#[derive(Debug, Default)]
struct MachineLists {
    poll: Poll,
    /// When the list that is being read was requested.
    requested_at: Micros,
    /// How many were read since the term began.
    completed: u32,
    /// When the last of them was requested.
    last_requested_at: Micros,
}

/// The state of the autoscaler during a term.
#[derive(Debug, Default)]
pub struct Autoscaler {
    next_run: Micros,
    next_check: Micros,
    /// Something changed that may call for machines.
    check_requested: bool,
    /// Nothing new is requested before this time: the cloud did not answer, or was overloaded.
    cloud_backoff_until: Micros,
    catalog: Poll,
    lists: MachineLists,
    rented: BTreeMap<MachineId, RentedMachine>,
    boot_times: BootTimeEstimates,
    /// By machine type.
    expected_boots: BTreeMap<String, ExpectedBoot>,
    idle_since: HashMap<MachineId, Micros>,
    idle_windows: BTreeMap<MachineOffer, IdleWindow>,
    unreachable_since: HashMap<MachineId, Micros>,
    releases: Releases,
    exhausted: ExhaustedOffers,
    provisions_in_flight: usize,
    writing_fleet: bool,
    /// Numbers the provision requests of this process.
    provision_counter: u64,
}

impl Autoscaler {
    /// Something changed that may call for machines.
    pub fn schedule_check(&mut self) {
        self.check_requested = true;
    }

    /// This process did not run for so long: that time does not count for how long machines were idle, unreachable or booting.
    pub fn on_stall(&mut self, now: Micros, duration: Micros) {
        self.idle_since.clear();
        self.unreachable_since.clear();
        self.idle_windows.clear();
        for machine in self.rented.values_mut() {
            machine.on_stall(duration);
        }
        self.lists.poll.next = now;
    }

    /// Whether missing machines are to be looked for now.
    fn take_check(&mut self, now: Micros) -> bool {
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
    /// Ends the term as the leader of the fleet. Names of provision requests are never used again.
    pub(super) fn end_autoscaler(&mut self) {
        let provision_counter = self.autoscaler.provision_counter;
        self.autoscaler = Autoscaler {
            provision_counter,
            ..Autoscaler::default()
        };
        self.rounds.drop_fleet_requests();
    }

    /// Runs the autoscaler, if that is due.
    pub(super) fn drive_autoscaler(&mut self) {
        let now = self.now.steady;
        if !self.leads(FLEET_SHARD) || !self.replica.is_ready() {
            return;
        }
        if now < self.autoscaler.next_run {
            self.wake_at(self.autoscaler.next_run);
            return;
        }
        self.autoscaler.next_run = now + INTERVAL;
        self.wake_at(self.autoscaler.next_run);
        if now < self.autoscaler.cloud_backoff_until {
            return;
        }
        self.poll_cloud();
        // Before the first list it is not known what an earlier leader has provisioned.
        if self.cell.types.value.is_none() || self.autoscaler.lists.completed == 0 {
            return;
        }
        self.update_boot_times();
        self.scale_in();
        if self.autoscaler.take_check(now) {
            self.refresh_rules();
            self.provision_machines();
        }
    }

    fn poll_cloud(&mut self) {
        let now = self.now.steady;
        if self.autoscaler.catalog.begin_if_due(now) {
            self.ask_cloud(CloudPurpose::Catalog, CloudRequest::Catalog);
        }
        if self.autoscaler.lists.poll.begin_if_due(now) {
            self.autoscaler.lists.requested_at = now;
            self.ask_cloud(CloudPurpose::List(Vec::new()), CloudRequest::List(None));
        }
    }
}
