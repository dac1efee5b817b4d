//! Machines that the cloud charges for, offers that it has no capacity for, and releases sent to it.

use crate::protocol::cloud::{CloudMachine, CloudMachineState};
use crate::scheduler::provisioning::MachineOffer;
use crate::storage::ids::MachineId;
use crate::storage::records::ProvisionRecord;
use crate::time::Micros;
use std::collections::{BTreeSet, HashMap};

/// The offer that a provision request is for.
pub(super) fn offer_of(request: &ProvisionRecord) -> MachineOffer {
    MachineOffer {
        machine_type: request.machine_type.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
    }
}

/// A machine that the cloud is known to charge for.
#[derive(Clone, Debug)]
pub(super) struct RentedMachine {
    offer: MachineOffer,
    /// When it was requested; after a stall of this process later by as much.
    since: Micros,
    status: CloudMachineState,
    /// When the last list that held it was requested.
    listed_at: Option<Micros>,
    /// It has not come up yet, and its boot time counts for the estimates once it does.
    booting: bool,
}

impl RentedMachine {
    /// A machine that was provisioned just now.
    pub fn provisioned(offer: MachineOffer, now: Micros) -> RentedMachine {
        RentedMachine {
            offer,
            since: now,
            status: CloudMachineState::Starting,
            listed_at: None,
            booting: true,
        }
    }

    /// A machine that appears in a list for the first time. Of those that an earlier leader provisioned long ago only those are
    /// still starting that never come up: beyond the nominal boot time they do not count as booting.
    pub fn first_listed(machine: &CloudMachine, now: Micros, nominal_boot: Micros) -> Self {
        RentedMachine {
            offer: MachineOffer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            },
            since: now - machine.age,
            status: machine.status,
            listed_at: None,
            booting: machine.status == CloudMachineState::Starting && machine.age < nominal_boot,
        }
    }

    /// A list holds it; `requested_at`: when the list was requested.
    pub fn on_listed(&mut self, status: CloudMachineState, requested_at: Micros) {
        self.status = status;
        self.listed_at = Some(requested_at);
    }

    /// It came up, after this long.
    pub fn on_up(&mut self, now: Micros) -> Micros {
        self.booting = false;
        self.age(now)
    }

    /// This process did not run for this long. A booting machine may have come up meanwhile, so nothing is learned from its boot.
    pub fn on_stall(&mut self, duration: Micros) {
        if self.booting {
            self.booting = false;
            self.since += duration;
        }
    }

    pub fn offer(&self) -> &MachineOffer {
        &self.offer
    }

    pub fn machine_type(&self) -> &str {
        &self.offer.machine_type
    }

    pub fn age(&self, now: Micros) -> Micros {
        now.since(self.since)
    }

    pub fn is_booting(&self) -> bool {
        self.booting
    }

    pub fn has_failed(&self) -> bool {
        self.status == CloudMachineState::Failed
    }

    /// Whether no list that was requested at this time or later holds it.
    pub fn is_missing_since(&self, list_requested_at: Micros) -> bool {
        self.listed_at.is_none_or(|at| at < list_requested_at)
    }

    /// When it was last known to exist.
    pub fn last_known_at(&self) -> Micros {
        self.listed_at.unwrap_or(self.since)
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

    pub fn on_answered(&mut self, machine: MachineId) {
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

/// When an offer without capacity is requested again.
#[derive(Debug)]
struct Backoff {
    until: Micros,
    failures: u32,
}

/// Offers that the cloud had no capacity for lately.
#[derive(Debug, Default)]
pub(super) struct ExhaustedOffers(HashMap<MachineOffer, Backoff>);

impl ExhaustedOffers {
    /// The pause after a request that was fulfilled in part.
    const PARTIAL_PAUSE: Micros = Micros::secs(5);
    /// The pause after the first of several refusals in a row; it grows by as much with each.
    const REFUSED_PAUSE: Micros = Micros::secs(3);
    /// Refusals beyond this number do not lengthen the pause.
    const MAX_PAUSE_STEPS: u32 = 5;

    pub fn may_be_requested(&self, offer: &MachineOffer, now: Micros) -> bool {
        self.0.get(offer).is_none_or(|backoff| backoff.until <= now)
    }

    /// All machines of a request were provisioned.
    pub fn on_fulfilled(&mut self, offer: &MachineOffer) {
        self.0.remove(offer);
    }

    /// Fewer machines than requested were provisioned.
    pub fn on_partly_fulfilled(&mut self, offer: MachineOffer, now: Micros) {
        let backoff = Backoff {
            until: now + Self::PARTIAL_PAUSE,
            failures: 1,
        };
        self.0.insert(offer, backoff);
    }

    /// A request was refused; returns the pause until the next.
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
