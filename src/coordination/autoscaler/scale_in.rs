//! Scale in: which machines are released, and when.

use super::CloudPurpose;
use crate::coordination::Controller;
use crate::protocol::cloud::{CloudRequest, RELEASE_LIMIT};
use crate::scheduler::provisioning::{MachineOffer, core_price};
use crate::storage::ids::{JobId, MachineId};
use crate::storage::records::{MachineHealth, MachineRecord};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// How long a machine is kept idle if its cores cost much more than the cheapest cores.
const EXPENSIVE_IDLE_LIMIT: Micros = Micros::secs(5);
/// Minimum time for which a machine is kept idle.
const MIN_IDLE_LIMIT: Micros = Micros::secs(2);
/// How long a machine is kept idle if its type is not in the catalog.
const UNKNOWN_TYPE_IDLE_LIMIT: Micros = Micros::secs(30);
/// Added to the lease duration: how long an unreachable machine without tasks is kept.
const UNREACHABLE_IDLE_GRACE_PERIOD: Micros = Micros::secs(20);
/// Added to the time after which a machine that has not come up is abandoned.
const ABANDON_MARGIN: Micros = Micros::secs(5);

/// Why a machine is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseReason {
    /// It was cordoned, and its tasks have ended.
    Drained,
    /// It is unreachable, and lists show that it no longer exists.
    Unlisted,
    /// It is unreachable, and some of its tasks meet their deadlines only if they are assigned elsewhere at once.
    Urgent,
    /// It has been unreachable for long.
    Unreachable,
    /// It has been idle for long.
    Idle,
    /// At least as many machines of its offer as are released were idle at every time of a window.
    Surplus,
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReleaseReason::Drained => "drained",
            ReleaseReason::Unlisted => "unreachable and not listed",
            ReleaseReason::Urgent => "unreachable with urgent tasks",
            ReleaseReason::Unreachable => "unreachable for long",
            ReleaseReason::Idle => "idle",
            ReleaseReason::Surplus => "surplus",
        })
    }
}

/// The result of a pass over all machines.
#[derive(Default)]
struct FleetSurvey {
    /// Machines that are being decommissioned, whose releases may be sent.
    decommissioning: Vec<MachineId>,
    /// Machines to decommission.
    to_decommission: Vec<(MachineId, ReleaseReason)>,
    /// Machines that are reserved for a gang.
    reserved_for_gang: BTreeSet<MachineId>,
    idle_since: HashMap<MachineId, Micros>,
    unreachable_since: HashMap<MachineId, Micros>,
    /// Schedulable machines that are idle but have not reached their idle limit, with the start of their idle time.
    idle_by_offer: BTreeMap<MachineOffer, Vec<(Micros, MachineId)>>,
}

impl Controller {
    /// Decommissions machines that are not needed any more, and sends the releases of machines decommissioned earlier.
    pub(super) fn scale_in(&mut self) {
        let mut survey = self.survey_fleet();
        self.add_surplus(&mut survey);
        self.autoscaler.idle_since = survey.idle_since;
        self.autoscaler.unreachable_since = survey.unreachable_since;
        self.decommission(survey.to_decommission);
        let overdue = self.overdue_booting_machines();
        let mut releases = survey.decommissioning;
        if overdue.is_empty() {
            // An earlier leader may have abandoned the machines in the record.
            let recorded = self.cell.fleet.value.releasing.iter();
            releases.extend(recorded.filter(|id| !self.autoscaler.releases.is_confirmed(**id)));
        } else {
            self.abandon_booting_machines(overdue);
        }
        self.send_releases(releases);
    }

    fn survey_fleet(&self) -> FleetSurvey {
        let urgent_in_lost_zones = self.lost_machines_to_release();
        let reserved = self.machines_reserved_for_gang();
        let mut survey = FleetSurvey {
            reserved_for_gang: reserved.cloned().unwrap_or_default(),
            ..FleetSurvey::default()
        };
        for (_, id, record) in self.cell.machines() {
            self.survey_machine(&mut survey, &urgent_in_lost_zones, id, record);
        }
        survey
    }

    fn survey_machine(
        &self,
        survey: &mut FleetSurvey,
        urgent_in_lost_zones: &BTreeSet<MachineId>,
        id: MachineId,
        record: &MachineRecord,
    ) {
        let now = self.now.monotonic;
        let is_idle = record.tasks.is_empty() && !survey.reserved_for_gang.contains(&id);
        let idle_since = is_idle.then(|| *self.autoscaler.idle_since.get(&id).unwrap_or(&now));
        if let Some(since) = idle_since {
            survey.idle_since.insert(id, since);
        }
        let reason = match record.health {
            MachineHealth::Decommissioning => {
                survey.decommissioning.push(id);
                None
            }
            MachineHealth::Cordoned => idle_since.map(|_| ReleaseReason::Drained),
            MachineHealth::Unreachable => {
                let since = *self.autoscaler.unreachable_since.get(&id).unwrap_or(&now);
                survey.unreachable_since.insert(id, since);
                self.reason_to_release_unreachable(urgent_in_lost_zones, id, record, since)
            }
            MachineHealth::Schedulable => {
                idle_since.and_then(|since| self.survey_idle_machine(survey, id, record, since))
            }
        };
        survey
            .to_decommission
            .extend(reason.map(|reason| (id, reason)));
    }

    fn reason_to_release_unreachable(
        &self,
        urgent_in_lost_zones: &BTreeSet<MachineId>,
        id: MachineId,
        record: &MachineRecord,
        since: Micros,
    ) -> Option<ReleaseReason> {
        // The machines of a lost zone are considered together. While a zone is only suspected, its machines wait for that
        // decision.
        let is_urgent = || {
            if self.zones.may_be_lost(&record.zone) {
                urgent_in_lost_zones.contains(&id)
            } else {
                let mut tasks = record.tasks.iter();
                tasks.any(|assignment| self.needs_immediate_restart(assignment.attempt().task.job))
            }
        };
        let grace = if record.tasks.is_empty() {
            UNREACHABLE_IDLE_GRACE_PERIOD
        } else {
            Micros::ZERO
        };
        if self.is_missing_from_list(id) {
            Some(ReleaseReason::Unlisted)
        } else if is_urgent() {
            Some(ReleaseReason::Urgent)
        } else if self.now.monotonic.since(since) > self.settings.agent_lease + grace {
            Some(ReleaseReason::Unreachable)
        } else {
            None
        }
    }

    fn survey_idle_machine(
        &self,
        survey: &mut FleetSurvey,
        id: MachineId,
        record: &MachineRecord,
        since: Micros,
    ) -> Option<ReleaseReason> {
        if self.now.monotonic.since(since) > self.idle_limit(&record.machine_type, record.spot) {
            return Some(ReleaseReason::Idle);
        }
        let offer = MachineOffer {
            machine_type: record.machine_type.to_string(),
            zone: record.zone.to_string(),
            spot: record.spot,
        };
        let idle = survey.idle_by_offer.entry(offer).or_default();
        idle.push((since, id));
        None
    }

    /// How long a machine is kept without tasks: as long as the boot of a replacement would take, up to twice the nominal boot
    /// time, but an expensive machine only for a short time. A release never saves less than the shortest charge.
    fn idle_limit(&self, machine_type: &str, spot: bool) -> Micros {
        let types = self.cell.machine_types();
        let cheapest = types
            .map(|t| core_price(t, true).min(core_price(t, false)))
            .min()
            .unwrap_or(0);
        let derived = match self.cell.machine_type(machine_type) {
            None => UNKNOWN_TYPE_IDLE_LIMIT,
            Some(t) if core_price(t, spot) > cheapest * 3 / 2 => EXPENSIVE_IDLE_LIMIT,
            Some(t) => self
                .expected_boot_time(machine_type)
                .min(t.boot_time * 2)
                .max(MIN_IDLE_LIMIT),
        };
        self.operator_settings
            .idle_s
            .map_or(derived, Micros::from_secs_f64)
    }

    /// Adds the surplus machines of each offer: those that have been idle the longest.
    fn add_surplus(&mut self, survey: &mut FleetSurvey) {
        let now = self.now.monotonic;
        let mut idle_by_offer = std::mem::take(&mut survey.idle_by_offer);
        for offer in self.autoscaler.idle_windows.keys() {
            idle_by_offer.entry(offer.clone()).or_default();
        }
        for (offer, mut idle) in idle_by_offer {
            let idle_limit = self.idle_limit(&offer.machine_type, offer.spot);
            let window = self.autoscaler.idle_windows.entry(offer).or_default();
            let surplus = window.record(now, idle.len(), idle_limit);
            window.subtract(surplus);
            idle.sort_unstable();
            let longest_idle = idle.into_iter().take(surplus);
            survey
                .to_decommission
                .extend(longest_idle.map(|(_, id)| (id, ReleaseReason::Surplus)));
        }
    }

    fn decommission(&mut self, machines: Vec<(MachineId, ReleaseReason)>) {
        for (machine, reason) in machines {
            if self.rounds.decommission(machine) {
                let unneeded = matches!(reason, ReleaseReason::Idle | ReleaseReason::Surplus);
                self.counters.idle_machines_scaled_in += u64::from(unneeded);
                tracing::info!(%machine, %reason, "machine decommissioning");
            }
        }
    }

    /// Machines that should have come up long ago but have not, with their ages.
    fn overdue_booting_machines(&self) -> Vec<(MachineId, Micros)> {
        let now = self.now.monotonic;
        let mut overdue = Vec::new();
        for (id, machine) in &self.autoscaler.provisioned_machines {
            let age = machine.age(now);
            let is_late = || {
                let name = machine.machine_type();
                self.cell.machine_type(name).is_none_or(|t| {
                    age > self.boot_timeout(name).max(t.boot_time * 3) + ABANDON_MARGIN
                })
            };
            let is_released = || {
                self.autoscaler.releases.was_sent(*id)
                    || self.cell.fleet.value.releasing.contains(id)
            };
            let is_unused = self.cell.machine(*id).is_none() && !machine.has_failed();
            if is_unused && is_late() && !is_released() {
                overdue.push((*id, age));
            }
        }
        overdue
    }

    /// Records that machines are abandoned, before their release is sent: the cloud may execute the release late, and the
    /// machines may come up until then. No controller uses an abandoned machine.
    fn abandon_booting_machines(&mut self, machines: Vec<(MachineId, Micros)>) {
        if self.autoscaler.writing_fleet {
            return;
        }
        let mut record = self.fleet_record();
        let max_releasing = self.limits.value_bytes() / 2 / 8;
        for (machine, age) in machines {
            if record.releasing.len() < max_releasing {
                tracing::info!(%machine, %age, "machine boot abandoned");
                record.releasing.push(machine);
            }
        }
        self.write_fleet(record, Vec::new());
    }

    fn send_releases(&mut self, mut machines: Vec<MachineId>) {
        machines.retain(|id| !self.autoscaler.releases.is_in_flight(*id));
        machines.truncate(RELEASE_LIMIT);
        if machines.is_empty() {
            return;
        }
        self.autoscaler.releases.on_sent(&machines);
        let request = CloudRequest::Release(machines.clone());
        self.send_cloud_request(CloudPurpose::Release(machines), request);
    }

    /// Whether a task of a job on an unreachable machine would be late if it had to wait for the machine's lease to expire, but
    /// not if it were restarted at once. The release of a machine proves at once that its tasks have ended.
    pub(in crate::coordination) fn needs_immediate_restart(&self, id: JobId) -> bool {
        self.cell.jobs.get(&id).is_some_and(|job| {
            let latest = self.latest_start(job);
            !job.is_cancelled()
                && !self.rounds.is_suspect(id)
                && latest >= self.now.time_of_day
                && latest < self.now.time_of_day + self.settings.agent_lease
        })
    }
}
