//! Machines that the cloud charges for, offers for which it has no capacity, and releases that were sent to it.

use crate::protocol::cloud::{CloudMachine, CloudMachineState};
use crate::scheduler::provisioning::MachineOffer;
use crate::storage::ids::MachineId;
use crate::storage::records::ProvisionRecord;
use crate::time::Micros;
use std::collections::{BTreeSet, HashMap};

/// The machine offer of a provision request.
pub(super) fn offer_of(request: &ProvisionRecord) -> MachineOffer {
    MachineOffer {
        machine_type: request.machine_type.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
    }
}

/// A machine that the cloud is known to charge for.
#[derive(Clone, Debug)]
pub(super) struct ProvisionedMachine {
    offer: MachineOffer,
    /// When it was requested; if this process stalled during the boot, moved later by the duration of the stall.
    requested_at: Micros,
    status: CloudMachineState,
    /// When the last list that contained it was requested.
    listed_at: Option<Micros>,
    /// It has not come up yet, and its boot time will be used for the estimates once it does.
    booting: bool,
}

impl ProvisionedMachine {
    /// A machine that has just been provisioned.
    pub fn new(offer: MachineOffer, now: Micros) -> ProvisionedMachine {
        ProvisionedMachine {
            offer,
            requested_at: now,
            status: CloudMachineState::Starting,
            listed_at: None,
            booting: true,
        }
    }

    /// A machine that appears in a list for the first time. Of the machines that an earlier leader provisioned long ago, only
    /// those that never come up are still starting, so a machine older than the nominal boot time does not count as booting.
    pub fn first_listed(machine: &CloudMachine, now: Micros, nominal_boot_time: Micros) -> Self {
        ProvisionedMachine {
            offer: MachineOffer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            },
            requested_at: now - machine.age,
            status: machine.status,
            listed_at: None,
            booting: machine.status == CloudMachineState::Starting
                && machine.age < nominal_boot_time,
        }
    }

    /// Records that a list contains it. `list_requested_at`: when the list was requested.
    pub fn on_listed(&mut self, status: CloudMachineState, list_requested_at: Micros) {
        self.status = status;
        self.listed_at = Some(list_requested_at);
    }

    /// Records that it has come up; returns how long that took.
    pub fn on_boot_completed(&mut self, now: Micros) -> Micros {
        self.booting = false;
        self.age(now)
    }

    /// Handles a stall of this process. A booting machine may have come up during the stall, so its boot time is not used for the
    /// estimates.
    pub fn on_stall(&mut self, duration: Micros) {
        if self.booting {
            self.booting = false;
            self.requested_at += duration;
        }
    }

    pub fn offer(&self) -> &MachineOffer {
        &self.offer
    }

    pub fn machine_type(&self) -> &str {
        &self.offer.machine_type
    }

    pub fn age(&self, now: Micros) -> Micros {
        now.since(self.requested_at)
    }

    pub fn is_booting(&self) -> bool {
        self.booting
    }

    pub fn has_failed(&self) -> bool {
        self.status == CloudMachineState::Failed
    }

    /// Whether no list that was requested at this time or later contains it.
    pub fn is_missing_since(&self, list_requested_at: Micros) -> bool {
        self.listed_at.is_none_or(|at| at < list_requested_at)
    }

    /// When it was last known to exist.
    pub fn last_known_at(&self) -> Micros {
        self.listed_at.unwrap_or(self.requested_at)
    }
}

/// Releases that were sent to the cloud in this term.
#[derive(Debug, Default)]
pub(super) struct Releases {
    sent: BTreeSet<MachineId>,
    in_flight: BTreeSet<MachineId>,
    confirmed: BTreeSet<MachineId>,
}

impl Releases {
    pub fn on_sent(&mut self, machines: &[MachineId]) {
        self.in_flight.extend(machines);
        self.sent.extend(machines);
    }

    pub fn on_response(&mut self, machine: MachineId) {
        self.in_flight.remove(&machine);
    }

    pub fn on_confirmed(&mut self, machine: MachineId) {
        self.confirmed.insert(machine);
    }

    /// Whether a release of the machine was ever sent.
    pub fn was_sent(&self, machine: MachineId) -> bool {
        self.sent.contains(&machine)
    }

    pub fn is_in_flight(&self, machine: MachineId) -> bool {
        self.in_flight.contains(&machine)
    }

    pub fn is_confirmed(&self, machine: MachineId) -> bool {
        self.confirmed.contains(&machine)
    }
}

/// Backoff of an offer without capacity.
#[derive(Debug)]
struct Backoff {
    until: Micros,
    failures: u32,
}

/// Offers for which the cloud recently had no capacity.
#[derive(Debug, Default)]
pub(super) struct ExhaustedOffers(HashMap<MachineOffer, Backoff>);

impl ExhaustedOffers {
    /// The pause after a partly fulfilled request.
    const PARTIAL_PAUSE: Micros = Micros::secs(5);
    /// The pause after the first of several consecutive refusals; each further refusal lengthens it by the same amount.
    const REFUSED_PAUSE: Micros = Micros::secs(3);
    /// Refusals beyond this number do not lengthen the pause.
    const MAX_PAUSE_STEPS: u32 = 5;

    pub fn may_be_requested(&self, offer: &MachineOffer, now: Micros) -> bool {
        self.0.get(offer).is_none_or(|backoff| backoff.until <= now)
    }

    /// Handles a request of which all machines were provisioned.
    pub fn on_fulfilled(&mut self, offer: &MachineOffer) {
        self.0.remove(offer);
    }

    /// Handles a request of which fewer machines than requested were provisioned.
    pub fn on_partly_fulfilled(&mut self, offer: MachineOffer, now: Micros) {
        let backoff = Backoff {
            until: now + Self::PARTIAL_PAUSE,
            failures: 1,
        };
        self.0.insert(offer, backoff);
    }

    /// Handles a refused request; returns the pause until the next one.
    pub fn on_refused(&mut self, offer: MachineOffer, now: Micros) -> Micros {
        let failures = self.0.get(&offer).map_or(0, |backoff| backoff.failures) + 1;
        let pause = Self::REFUSED_PAUSE * u64::from(failures.min(Self::MAX_PAUSE_STEPS));
        let backoff = Backoff {
            until: now + pause,
            failures,
        };
        self.0.insert(offer, backoff);
        pause
    }
}

#[cfg(test)]
mod tests;
